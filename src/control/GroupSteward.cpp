#include "control/GroupSteward.h"

#include "observability/observability.h"
#include "state/BuildValue.h"

namespace magnoliadrum {

GroupSteward::GroupSteward(ControlContext& aContext)
  : RequestAnswerer(aContext)
  , mPlan(aContext.mSettings.lostReplicas())
{
}

void
GroupSteward::onRequest(ConnectionId aConnection, const JoinRequest& aRequest)
{
  const Asker asker{ aConnection, aRequest.requestId() };
  if (!canAnswer(asker)) {
    return;
  }
  mPlan.ask(aRequest.replicaId(), aRequest.address(), mContext.mNow());
  mContext.mOutlet.send(aConnection,
                        buildValue<OperationDone>({ .requestId = aRequest.requestId() }));
}

void
GroupSteward::tick()
{
  if (mChanging || !mContext.mayAnswer()) {
    return;
  }
  const std::optional<GroupChange> change = mPlan.next(mContext.mLog.replicas(), mContext.mNow());
  if (!change) {
    return;
  }
  logInfo("control group changes",
          { { "operation", toText(change->operation) },
            { "replica", change->replicaId },
            { "address", change->address },
            { "reason", change->reason } });
  mChanging = true;
  mContext.mLog.changeMembership(buildValue<MembershipRequest>({ .requestId = "steward",
                                                                 .operation = change->operation,
                                                                 .replicaId = change->replicaId,
                                                                 .address = change->address }),
                                 [this](const Result<Done>& aResult) {
                                   mChanging = false;
                                   if (!isOk(aResult)) {
                                     logInfo("control group does not change now",
                                             { { "code", errorCodeName(errorOf(aResult).code()) },
                                               { "detail", errorOf(aResult).detail() } });
                                   }
                                 });
}

} // namespace magnoliadrum
