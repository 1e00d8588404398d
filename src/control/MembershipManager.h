#pragma once

#include "control/MembershipPlanner.h"
#include "control/RequestHandler.h"

namespace magnoliadrum {

/** Handles join requests and maintains the number of voters and spares while this replica leads. */
class MembershipManager : private RequestHandler
{
public:
  explicit MembershipManager(ControlContext& aContext);

  void onRequest(ConnectionId aConnection, const JoinRequest& aRequest);

  /** Proposes the next membership change unless one is in progress. */
  void tick();

private:
  MembershipPlanner mPlanner;
  bool mChangeInProgress = false;
};

} // namespace magnoliadrum
