#pragma once

#include "control/EvacuationDriver.h"
#include "control/RequestHandler.h"

#include <string>

namespace magnoliadrum {

/**
 * Answers requests about evacuations. A request is answered once it is committed and applied by the
 * leader, which alone gives orders, so from then on nothing is ordered to start in an evacuated
 * data centre. Repeating a request is harmless; of opposite ones the last in the log counts.
 */
class EvacuationService : private RequestHandler
{
public:
  EvacuationService(ControlContext& aContext, const EvacuationDriver& aDriver);

  void onRequest(ConnectionId aConnection, const EvacuationRequest& aRequest);
  void onRequest(ConnectionId aConnection, const EvacuationQuery& aRequest);

private:
  /** Whether the settings, the catalogue, a target, a worker or an earlier evacuation names the
   * data centre. */
  bool isKnown(const std::string& aDataCentre) const;
  void answer(const RequestOrigin& aOrigin, bool aIsChanged);

  const EvacuationDriver& mDriver;
};

} // namespace magnoliadrum
