#pragma once

#include "generated/generated.h"
#include "transport/transport.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace magnoliadrum {

/** The request was not sent, so the executor has not run it. */
struct ExecutorUnreachable
{
  std::string mDetail;
};

/** The executor may have run the request, but no complete answer arrived. */
struct ExecutorOutcomeUnknown
{
  std::string mDetail;
};

using ExecutorResult = std::variant<HttpAnswer, ExecutorUnreachable, ExecutorOutcomeUnknown>;

/** Forwards requests to the executor on the same VM over HTTP. */
class ExecutorAdapter
{
public:
  using Callback = std::function<void(ExecutorResult)>;

  static Result<std::unique_ptr<ExecutorAdapter>> create(EventLoop& aLoop,
                                                         const std::string& aAddress,
                                                         std::size_t aConnections);

  /**
   * Sends a request. Calls aCallback once, with the answer or, if the call fails or the executor
   * does not answer within a grace period after the deadline, with the kind of failure.
   */
  void forward(const RequestDispatch& aRequest, Callback aCallback);

private:
  explicit ExecutorAdapter(std::unique_ptr<HttpClient> aClient);

  std::unique_ptr<HttpClient> mClient;
};

} // namespace magnoliadrum
