#include "agent/ExecutorAdapter.h"

#include <utility>

namespace magnoliadrum {

namespace {

/**
 * A forwarded request cannot be cancelled and keeps its slot after its deadline. The executor is
 * considered stuck only if it has not answered this long after the deadline.
 */
constexpr std::int64_t kAnswerGraceMs = 30000;

ExecutorResult
readResult(Result<HttpAnswer> aResult)
{
  if (isOk(aResult)) {
    return takeValue(std::move(aResult));
  }
  const Error& error = errorOf(aResult);
  // HttpClient reports eRefused only if no byte of the request was written.
  if (error.code() == ErrorCode::eRefused) {
    return ExecutorUnreachable{ error.text() };
  }
  return ExecutorOutcomeUnknown{ error.text() };
}

} // namespace

ExecutorAdapter::ExecutorAdapter(std::unique_ptr<HttpClient> aClient)
  : mClient(std::move(aClient))
{
}

Result<std::unique_ptr<ExecutorAdapter>>
ExecutorAdapter::create(EventLoop& aLoop, const std::string& aAddress, std::size_t aConnections)
{
  Result<std::unique_ptr<HttpClient>> client = HttpClient::create(aLoop, aAddress, aConnections);
  if (!isOk(client)) {
    return errorOf(client);
  }
  return std::unique_ptr<ExecutorAdapter>(new ExecutorAdapter(takeValue(std::move(client))));
}

void
ExecutorAdapter::forward(const RequestDispatch& aRequest, Callback aCallback)
{
  HttpCall call;
  call.mMethod = aRequest.method();
  call.mPath = aRequest.path();
  call.mHeaders = aRequest.headers();
  call.mHeaders.push_back(
    valueOf(HttpHeader::create({ .name = "X-Request-Id", .value = aRequest.requestId() })));
  call.mBody = aRequest.body();
  call.mDeadline = MonotonicTime::fromMs(aRequest.deadlineMs()).plusMs(kAnswerGraceMs);
  mClient->send(call, [aCallback = std::move(aCallback)](Result<HttpAnswer> aResult) {
    aCallback(readResult(std::move(aResult)));
  });
}

} // namespace magnoliadrum
