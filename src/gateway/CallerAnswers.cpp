#include "gateway/CallerAnswers.h"

#include <boost/algorithm/string/predicate.hpp>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace magnoliadrum {

namespace {

constexpr std::size_t kMaxHeaders = 100;

int
statusOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::eUnknownEntry:
      return kStatusNotFound;
    case RefusalReason::eDeadlinePassed:
      return kStatusTimeout;
    case RefusalReason::eRateLimit:
    case RefusalReason::eConcurrencyLimit:
      return kStatusTooManyRequests;
    case RefusalReason::eKeyRequired:
    case RefusalReason::eInvalidRequest:
      return kStatusBadRequest;
    default:
      return kStatusUnavailable;
  }
}

const char*
describe(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::eNoLease:
      return "the gateway has no valid lease from control";
    case RefusalReason::eUnknownEntry:
      return "the catalogue has no such entry";
    case RefusalReason::eWrongSession:
      return "the target has a new session that is not announced yet";
    case RefusalReason::eWrongTarget:
      return "the target does not serve this entry";
    case RefusalReason::eDeadlinePassed:
      return "the deadline passed before the request could be run";
    case RefusalReason::eNoSlot:
      return "no target has a free slot";
    case RefusalReason::eNoConnection:
      return "no connection to a target is open";
    case RefusalReason::eLeaving:
      return "the target takes no new requests";
    case RefusalReason::eRateLimit:
      return "the rate limit of the entry or its owner is reached";
    case RefusalReason::eConcurrencyLimit:
      return "the concurrency limit of the entry or its owner is reached";
    case RefusalReason::eQueueFull:
      return "too many requests are waiting";
    case RefusalReason::eNoTarget:
      return "no target in the allowed data centres is available";
    case RefusalReason::eShed:
      return "the request was dropped in favour of others under overload";
    case RefusalReason::eKeyRequired:
      return "a request that may not be repeated needs an Idempotency-Key";
    case RefusalReason::eControlUnavailable:
      return "control did not grant the Idempotency-Key in time";
    case RefusalReason::eShuttingDown:
      return "the gateway is shutting down";
    case RefusalReason::eRetryBudget:
      return "a target refused the request and the retry budget is used up";
    case RefusalReason::eExecutorUnreachable:
      return "the executor cannot be reached";
    case RefusalReason::eInvalidRequest:
      return "the request cannot be passed on to this entry";
  }
  return "";
}

HttpHeader
header(const std::string& aName, const std::string& aValue)
{
  return valueOf(HttpHeader::create({ .name = aName, .value = aValue }));
}

/** Serialises JSON. Text from peers may contain invalid UTF-8, which is replaced. */
std::string
dumpJson(const nlohmann::json& aJson)
{
  constexpr int kNoIndent = -1;
  return aJson.dump(kNoIndent, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

HttpAnswer
jsonAnswer(int aStatus, std::vector<HttpHeader> aHeaders, const nlohmann::json& aBody)
{
  aHeaders.push_back(header("Content-Type", "application/json"));
  return valueOf(HttpAnswer::create(
    { .status = aStatus, .headers = std::move(aHeaders), .body = dumpJson(aBody) }));
}

HttpAnswer
refusalWithStatus(int aStatus, RefusalReason aReason, const std::string& aDetail)
{
  const char* outcome = outcomeText(RequestOutcome::eNotRun);
  return jsonAnswer(
    aStatus,
    { header("X-Outcome", outcome), header("X-Reason", toText(aReason)) },
    { { "outcome", outcome }, { "reason", toText(aReason) }, { "detail", aDetail } });
}

} // namespace

const char*
outcomeText(RequestOutcome aOutcome)
{
  switch (aOutcome) {
    case RequestOutcome::eDone:
      return "done";
    case RequestOutcome::eNotRun:
      return "not-run";
    case RequestOutcome::eUnknown:
      return "unknown";
  }
  return "unknown";
}

HttpAnswer
doneAnswer(const HttpAnswer& aAnswer)
{
  HttpAnswer::Fields fields = aAnswer.fields();
  std::erase_if(fields.headers, [](const HttpHeader& aHeader) {
    return boost::algorithm::iequals(aHeader.name(), "X-Outcome") ||
           boost::algorithm::iequals(aHeader.name(), "X-Reason");
  });
  if (fields.headers.size() >= kMaxHeaders) {
    fields.headers.resize(kMaxHeaders - 1);
  }
  fields.headers.push_back(header("X-Outcome", outcomeText(RequestOutcome::eDone)));
  return valueOf(HttpAnswer::create(std::move(fields)));
}

HttpAnswer
refusalAnswer(RefusalReason aReason, const std::string& aDetail)
{
  return refusalWithStatus(
    statusOf(aReason), aReason, aDetail.empty() ? describe(aReason) : aDetail);
}

HttpAnswer
bodyTooLargeAnswer(std::int64_t aMaxBytes)
{
  return refusalWithStatus(kStatusTooLarge,
                           RefusalReason::eInvalidRequest,
                           "body is larger than " + std::to_string(aMaxBytes) + " bytes");
}

HttpAnswer
unknownAnswer(int aStatus, const std::string& aDetail)
{
  const char* outcome = outcomeText(RequestOutcome::eUnknown);
  return jsonAnswer(
    aStatus, { header("X-Outcome", outcome) }, { { "outcome", outcome }, { "detail", aDetail } });
}

HttpAnswer
errorAnswer(int aStatus, const Error& aError)
{
  return jsonAnswer(aStatus,
                    {},
                    { { "error",
                        { { "code", errorCodeName(aError.code()) },
                          { "step", aError.step() },
                          { "peer", aError.peer() },
                          { "detail", aError.detail() } } } });
}

HttpAnswer
textAnswer(int aStatus, const std::string& aContentType, std::string aBody)
{
  return valueOf(HttpAnswer::create({ .status = aStatus,
                                      .headers = { header("Content-Type", aContentType) },
                                      .body = std::move(aBody) }));
}

} // namespace magnoliadrum
