#pragma once

#include "control/MembershipPlanner.h"
#include "control/RequestAnswerer.h"

namespace magnoliadrum {

/** Keeps the control group at its size while this replica leads. */
class GroupSteward : private RequestAnswerer
{
public:
  explicit GroupSteward(ControlContext& aContext);

  void onRequest(ConnectionId aConnection, const JoinRequest& aRequest);

  /** Proposes the next change unless one is on its way. */
  void tick();

private:
  MembershipPlanner mPlanner;
  bool mChangeInProgress = false;
};

} // namespace magnoliadrum
