#pragma once

#include "control/ControlContext.h"

#include <functional>
#include <string>

namespace magnoliadrum {

/** The connection and request id that a reply is sent to. */
struct RequestOrigin
{
  ConnectionId mConnection = 0;
  std::string mRequestId;
};

/** Base class of the services that handle messages with a requestId. */
class RequestHandler
{
public:
  explicit RequestHandler(ControlContext& aContext)
    : mContext(aContext)
  {
  }

protected:
  /** Returns whether this replica may serve requests; if not, sends a failure to aOrigin. */
  bool checkLeadership(const RequestOrigin& aOrigin);
  void fail(const RequestOrigin& aOrigin, const Error& aError);

  /** Proposes a command. Sends a failure for an error; any other outcome is passed to aOnOutcome,
   * which sends the answer. aOnFailure is called after a failure was sent. */
  void propose(
    const RequestOrigin& aOrigin,
    const Command& aCommand,
    std::function<void(const Outcome&)> aOnOutcome,
    std::function<void()> aOnFailure = []() {});

  ControlContext& mContext;
};

} // namespace magnoliadrum
