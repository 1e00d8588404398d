#include "control/MembershipManager.h"

#include "observability/observability.h"
#include "state/BuildValue.h"

namespace magnoliadrum {

MembershipManager::MembershipManager(ControlContext& aContext)
  : RequestHandler(aContext)
  , mPlanner(aContext.mSettings.lostReplicas())
{
}

void
MembershipManager::onRequest(ConnectionId aConnection, const JoinRequest& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (!checkLeadership(origin)) {
    return;
  }
  mPlanner.recordJoinRequest(aRequest.replicaId(), aRequest.address(), mContext.mNow());
  mContext.mMessageSender.send(aConnection,
                               buildValue<OperationDone>({ .requestId = aRequest.requestId() }));
}

void
MembershipManager::tick()
{
  if (mChangeInProgress || !mContext.isLeaderWithLease()) {
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
