#include "agent/RequestForwarder.h"

#include "faults/faults.h"
#include <cassert>
#include <utility>

namespace magnoliadrum {

namespace {

/** Maximum size of the detail field in RequestRefused and RequestFailed. */
constexpr std::size_t kMaxDetailBytes = 2000;

} // namespace

RequestForwarder::RequestForwarder(EventLoop& aLoop,
                                   AdmissionGate::Limits aLimits,
                                   std::unique_ptr<ExecutorAdapter> aExecutor,
                                   MetricsRegistry& aMetrics)
  : mLoop(aLoop)
  , mGate(std::move(aLimits))
  , mExecutor(std::move(aExecutor))
  , mMetrics(aMetrics)
{
}

Result<std::unique_ptr<RequestForwarder>>
RequestForwarder::create(EventLoop& aLoop,
                         const AgentSettings& aSettings,
                         MetricsRegistry& aMetrics)
{
  if (aSettings.entryName().empty() || aSettings.slots() <= 0 || aSettings.connections() <= 0) {
    return Error::create(ErrorCode::eInvalid,
                         "agent.start",
                         aSettings.processId(),
                         "an executor requires entryName, slots > 0 and connections > 0");
  }
  Result<std::unique_ptr<ExecutorAdapter>> executor = ExecutorAdapter::create(
    aLoop, aSettings.targetAddress(), static_cast<std::size_t>(aSettings.connections()));
  if (!isOk(executor)) {
    return errorOf(executor);
  }
  AdmissionGate::Limits limits{ .mEntryName = aSettings.entryName(),
                                .mDataCentre = aSettings.dataCentre(),
                                .mSlots = aSettings.slots(),
                                .mConnections = aSettings.connections() };
  return std::unique_ptr<RequestForwarder>(
    new RequestForwarder(aLoop, std::move(limits), takeValue(std::move(executor)), aMetrics));
}

void
RequestForwarder::dispatch(const RequestDispatch& aRequest,
                           const SessionLease& aLease,
                           const CatalogueEntry* aEntry,
                           Reply aReply)
{
  faultPoint("dispatch.received");
  assert(aReply);
  if (!mGate.recordArrival(aRequest, mLoop.now())) {
    logWarning("duplicate dispatch dropped", { { "request", aRequest.requestId() } });
    return;
  }
  if (const auto reason = mGate.admit(aRequest, aLease, aEntry, mLoop.now())) {
    refuse(aRequest, *reason, "", aReply);
    return;
  }
  const MonotonicTime startedAt = mLoop.now();
  mExecutor->forward(aRequest, [this, aRequest, aReply, startedAt](const ExecutorResult& aResult) {
    mMetrics.recordLatency(
      "agent_request_ms", "", static_cast<double>(mLoop.now().msSince(startedAt)));
    finish(aRequest, aResult, aReply);
  });
}

void
RequestForwarder::refuse(const RequestDispatch& aRequest,
                         RefusalReason aReason,
                         const std::string& aDetail,
                         const Reply& aReply)
{
  mMetrics.count("agent_requests_refused", std::string("reason=\"") + toText(aReason) + "\"");
  logDebug(
    "request refused",
    { { "request", aRequest.requestId() }, { "reason", toText(aReason) }, { "detail", aDetail } });
  aReply(valueOf(RequestRefused::create({ .requestId = aRequest.requestId(),
                                          .reason = aReason,
                                          .detail = aDetail.substr(0, kMaxDetailBytes),
                                          .outstanding = mGate.outstanding() })));
}

void
RequestForwarder::finish(const RequestDispatch& aRequest,
                         const ExecutorResult& aResult,
                         const Reply& aReply)
{
  faultPoint("executor.answered");
  mGate.release(aRequest.requestId());
  if (const ExecutorUnreachable* unreachable = std::get_if<ExecutorUnreachable>(&aResult)) {
    refuse(aRequest, RefusalReason::eExecutorUnreachable, unreachable->mDetail, aReply);
    return;
  }
  if (const ExecutorOutcomeUnknown* unknown = std::get_if<ExecutorOutcomeUnknown>(&aResult)) {
    fail(aRequest, unknown->mDetail, aReply);
    return;
  }
  const Result<RequestAnswer> answer =
    RequestAnswer::create({ .requestId = aRequest.requestId(),
                            .answer = std::get<HttpAnswer>(aResult),
                            .outstanding = mGate.outstanding() });
  if (!isOk(answer)) {
    fail(aRequest, errorOf(answer).text(), aReply);
    return;
  }
  mMetrics.count("agent_requests_answered");
  aReply(valueOf(answer));
}

void
RequestForwarder::fail(const RequestDispatch& aRequest,
                       const std::string& aDetail,
                       const Reply& aReply)
{
  mMetrics.count("agent_requests_unknown");
  logInfo("request outcome is unknown",
          { { "request", aRequest.requestId() }, { "detail", aDetail } });
  aReply(valueOf(RequestFailed::create({ .requestId = aRequest.requestId(),
                                         .detail = aDetail.substr(0, kMaxDetailBytes),
                                         .outstanding = mGate.outstanding() })));
}

} // namespace magnoliadrum
