#include "control/GroupSteward.h"

#include "observability/observability.h"
#include "state/BuildValue.h"

namespace magnoliadrum {

GroupSteward::GroupSteward(ControlContext& aContext)
  : RequestAnswerer(aContext)
  , mPlanner(aContext.mSettings.lostReplicas())
{
}

void
GroupSteward::onRequest(ConnectionId aConnection, const JoinRequest& aRequest)
{
  const Asker asker{ aConnection, aRequest.requestId() };
  if (!canAnswer(asker)) {
    return;
  }
  mPlanner.recordJoinRequest(aRequest.replicaId(), aRequest.address(), mContext.mNow());
  mContext.mOutlet.send(aConnection,
                        buildValue<OperationDone>({ .requestId = aRequest.requestId() }));
}

void
GroupSteward::tick()
{
  if (mChangeInProgress || !mContext.mayAnswer()) {
    return;
  }
  const std::optional<MembershipChange> change =
    mPlanner.nextChange(mContext.mLog.replicas(), mContext.mNow());
  if (!change) {
    return;
  }
  logInfo("changing control group membership",
          { { "operation", toText(change->operation) },
            { "replica", change->replicaId },
            { "address", change->address },
            { "reason", change->reason } });
  mChangeInProgress = true;
  mContext.mLog.changeMembership(buildValue<MembershipRequest>({ .requestId = "steward",
                                                                 .operation = change->operation,
                                                                 .replicaId = change->replicaId,
                                                                 .address = change->address }),
                                 [this](const Result<Done>& aResult) {
                                   mChangeInProgress = false;
                                   if (!isOk(aResult)) {
                                     logInfo("control group membership change failed",
                                             { { "code", errorCodeName(errorOf(aResult).code()) },
                                               { "detail", errorOf(aResult).detail() } });
                                   }
                                 });
}

} // namespace magnoliadrum
