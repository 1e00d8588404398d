#pragma once

#include "control/MembershipPlanner.h"
#include "control/RequestAnswerer.h"

namespace magnoliadrum {

/** Handles join requests and maintains the number of voters and spares while this replica leads. */
class GroupSteward : private RequestAnswerer
{
public:
  explicit GroupSteward(ControlContext& aContext);

  void onRequest(ConnectionId aConnection, const JoinRequest& aRequest);

  /** Proposes the next membership change unless one is in progress. */
  void tick();

private:
  MembershipPlanner mPlanner;
  bool mChangeInProgress = false;
};

} // namespace magnoliadrum
