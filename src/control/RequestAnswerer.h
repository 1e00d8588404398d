#pragma once

#include "control/ControlContext.h"

#include <functional>
#include <string>

namespace magnoliadrum {

/** Where an answer goes. */
struct Asker
{
  ConnectionId mConnection = 0;
  std::string mRequestId;
};

/** What all services share that answer messages with a requestId. */
class RequestAnswerer
{
public:
  explicit RequestAnswerer(ControlContext& aContext)
    : mContext(aContext)
  {
  }

protected:
  /** Answers with a failure and returns false when this replica cannot answer. */
  bool canAnswer(const Asker& aAsker);
  void fail(const Asker& aAsker, const Error& aError);

  /** Proposes a command; errors are answered here, any other outcome by aOnOutcome. */
  void propose(const Asker& aAsker,
               const Command& aCommand,
               std::function<void(const Outcome&)> aOnOutcome);

  ControlContext& mContext;
};

} // namespace magnoliadrum
