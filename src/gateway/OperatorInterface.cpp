#include "gateway/OperatorInterface.h"

#include "gateway/CallerAnswers.h"
#include "gateway/CallerRequest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace magnoliadrum {

namespace {

using nlohmann::json;
using ReadResult = std::variant<Message, HttpAnswer>;

/** Input of the functions that translate a request. */
struct RequestContext
{
  const HttpRequest& mRequest;
  const std::string& mRequestId;
  /** Decoded rest of the path after the path of the route. */
  std::string mPathSuffix;
};

HttpAnswer
jsonAnswer(int aStatus, const json& aBody)
{
  constexpr int kNoIndent = -1;
  return textAnswer(aStatus,
                    "application/json",
                    aBody.dump(kNoIndent, ' ', false, json::error_handler_t::replace) + "\n");
}

HttpAnswer
rejectionAnswer(int aStatus, const std::string& aPeer, const std::string& aDetail)
{
  const ErrorCode code = aStatus == kStatusNotFound ? ErrorCode::eNotFound : ErrorCode::eInvalid;
  return errorAnswer(aStatus, Error::create(code, "read operator request", aPeer, aDetail));
}

/** Converts a result into a message, or into an answer with status 422 that lists the errors. */
template<typename Type>
ReadResult
toMessage(const Result<Type>& aResult)
{
  if (!isOk(aResult)) {
    return errorAnswer(kStatusUnprocessable, errorOf(aResult));
  }
  return Message(valueOf(aResult));
}

/** Parses the body; returns an answer with status 400 if it is not a JSON object. */
std::variant<json, HttpAnswer>
parseBody(const RequestContext& aContext)
{
  json body = json::parse(aContext.mRequest.mBody, nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return rejectionAnswer(kStatusBadRequest, aContext.mRequest.mPeer, "body is not a JSON object");
  }
  return body;
}

/** Reads a message from the fields of the body and sets its request id. */
template<typename Type>
ReadResult
readBody(const RequestContext& aContext)
{
  std::variant<json, HttpAnswer> body = parseBody(aContext);
  if (const HttpAnswer* answer = std::get_if<HttpAnswer>(&body)) {
    return *answer;
  }
  json& fields = std::get<json>(body);
  fields["requestId"] = aContext.mRequestId;
  return toMessage(Type::fromJson(fields, "read operator request", aContext.mRequest.mPeer));
}

ReadResult
readChange(const RequestContext& aContext)
{
  std::variant<json, HttpAnswer> body = parseBody(aContext);
  if (const HttpAnswer* answer = std::get_if<HttpAnswer>(&body)) {
    return *answer;
  }
  json& fields = std::get<json>(body);
  fields.emplace("recordName", aContext.mPathSuffix);
  if (fields["recordName"] != aContext.mPathSuffix) {
    return rejectionAnswer(kStatusUnprocessable,
                           aContext.mRequest.mPeer,
                           "recordName: differs from the record in the path");
  }
  const Result<CatalogueChange> change =
    CatalogueChange::fromJson(fields, "read operator request", aContext.mRequest.mPeer);
  if (!isOk(change)) {
    return errorAnswer(kStatusUnprocessable, errorOf(change));
  }
  return toMessage(
    ChangeSubmit::create({ .requestId = aContext.mRequestId, .change = valueOf(change) }));
}

ReadResult
readCatalogueQuery(const RequestContext& aContext)
{
  return toMessage(CatalogueQuery::create(
    { .requestId = aContext.mRequestId, .recordName = aContext.mPathSuffix }));
}

ReadResult
readChangeStatusQuery(const RequestContext& aContext)
{
  std::int64_t version = 0;
  const std::string& text = aContext.mPathSuffix;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), version);
  if (error != std::errc() || rest != text.data() + text.size()) {
    return rejectionAnswer(
      kStatusBadRequest, aContext.mRequest.mPeer, "catalogue version is not an integer");
  }
  return toMessage(
    ChangeStatusQuery::create({ .requestId = aContext.mRequestId, .catalogueVersion = version }));
}

ReadResult
readTaskQuery(const RequestContext& aContext)
{
  return toMessage(
    TaskQuery::create({ .requestId = aContext.mRequestId,
                        .taskId = aContext.mRequest.queryParameter("task").value_or(""),
                        .entryName = aContext.mRequest.queryParameter("entry").value_or("") }));
}

ReadResult
readStatusQuery(const RequestContext& aContext)
{
  return toMessage(StatusQuery::create({ .requestId = aContext.mRequestId }));
}

ReadResult
readReportQuery(const RequestContext& aContext)
{
  return toMessage(
    ReportQuery::create({ .requestId = aContext.mRequestId,
                          .entryName = aContext.mRequest.queryParameter("entry").value_or("") }));
}

/** Reads a query for the state of a job or, without the parameter "job", for the number of waiting
 * jobs of a queue. */
ReadResult
readJobQuery(const RequestContext& aContext)
{
  const Result<QueueSelector> queue = QueueSelector::create(
    { .name = aContext.mRequest.queryParameter("queue").value_or(""), .host = "", .path = "" });
  if (!isOk(queue) || valueOf(queue).name().empty()) {
    return rejectionAnswer(
      kStatusUnprocessable, aContext.mRequest.mPeer, "queue: the query must name a queue");
  }
  const std::optional<std::string> jobId = aContext.mRequest.queryParameter("job");
  if (!jobId) {
    return toMessage(
      QueueQuery::create({ .requestId = aContext.mRequestId, .queue = valueOf(queue) }));
  }
  return toMessage(JobQuery::create(
    { .requestId = aContext.mRequestId, .queue = valueOf(queue), .jobId = *jobId }));
}

ReadResult
readQueueCatalogueQuery(const RequestContext& aContext)
{
  return toMessage(QueueCatalogueQuery::create({ .requestId = aContext.mRequestId }));
}

ReadResult
readEvacuationQuery(const RequestContext& aContext)
{
  return toMessage(EvacuationQuery::create({ .requestId = aContext.mRequestId }));
}

/** Maps a method and a path to a reader. A path that ends with '/' is a prefix before a name. */
struct Route
{
  const char* mMethod;
  std::string_view mPath;
  ReadResult (*mReader)(const RequestContext&);

  bool matches(const std::string& aPath) const
  {
    const bool isPrefix = mPath.ends_with('/');
    return isPrefix ? aPath.starts_with(mPath) && aPath.size() > mPath.size() : aPath == mPath;
  }
};

constexpr std::array<Route, 18> kRoutes = { {
  { "PUT", "/v1/catalogue/", readChange },
  { "GET", "/v1/catalogue/", readCatalogueQuery },
  { "GET", "/v1/catalogue", readCatalogueQuery },
  { "GET", "/v1/changes/", readChangeStatusQuery },
  { "POST", "/v1/tasks", readBody<TaskSubmit> },
  { "GET", "/v1/tasks", readTaskQuery },
  { "POST", "/v1/tasks/cancel", readBody<TaskCancelRequest> },
  { "POST", "/v1/targets/drain", readBody<TargetDrainRequest> },
  { "GET", "/v1/status", readStatusQuery },
  { "POST", "/v1/members", readBody<MembershipRequest> },
  { "GET", "/v1/report", readReportQuery },
  { "POST", "/v1/jobs", readBody<JobSubmit> },
  { "GET", "/v1/jobs", readJobQuery },
  { "POST", "/v1/jobs/cancel", readBody<JobCancel> },
  { "PUT", "/v1/queues", readBody<QueueCatalogueSubmit> },
  { "GET", "/v1/queues", readQueueCatalogueQuery },
  { "POST", "/v1/evacuations", readBody<EvacuationRequest> },
  { "GET", "/v1/evacuations", readEvacuationQuery },
} };

int
statusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::eInvalid:
      return kStatusUnprocessable;
    case ErrorCode::eNotFound:
      return kStatusNotFound;
    case ErrorCode::eConflict:
    case ErrorCode::eRefused:
      return kStatusConflict;
    case ErrorCode::eNotLeader:
    case ErrorCode::eUnavailable:
    case ErrorCode::eNotSent:
      return kStatusUnavailable;
    case ErrorCode::eTimeout:
      return kStatusTimeout;
    case ErrorCode::eCorrupt:
    case ErrorCode::eIo:
    case ErrorCode::eNoSpace:
      return kStatusInternalError;
  }
  return kStatusInternalError;
}

int
statusOf(ChangeOutcome aOutcome)
{
  switch (aOutcome) {
    case ChangeOutcome::eAccepted:
      return kStatusOk;
    case ChangeOutcome::eConflict:
      return kStatusConflict;
    case ChangeOutcome::eInvalid:
      return kStatusUnprocessable;
  }
  return kStatusInternalError;
}

int
statusOf(JobOutcome aOutcome)
{
  switch (aOutcome) {
    case JobOutcome::eAccepted:
    case JobOutcome::eKnown:
    case JobOutcome::ePending:
      return kStatusOk;
    case JobOutcome::eUnknownJob:
    case JobOutcome::eUnknownQueue:
      return kStatusNotFound;
    case JobOutcome::eNoCatalogue:
      return kStatusUnavailable;
    case JobOutcome::eRefused:
      return kStatusConflict;
  }
  return kStatusInternalError;
}

} // namespace

std::variant<Message, HttpAnswer>
readOperatorRequest(const HttpRequest& aRequest, const std::string& aRequestId)
{
  bool isKnownPath = false;
  for (const Route& route : kRoutes) {
    if (!route.matches(aRequest.mPath)) {
      continue;
    }
    isKnownPath = true;
    if (aRequest.mMethod != route.mMethod) {
      continue;
    }
    const std::optional<std::string> name =
      decodePercent(aRequest.mPath.substr(route.mPath.size()));
    if (!name) {
      return rejectionAnswer(
        kStatusBadRequest, aRequest.mPeer, "path is not valid percent-encoding");
    }
    return route.mReader({ aRequest, aRequestId, *name });
  }
  return isKnownPath
           ? rejectionAnswer(kStatusMethodNotAllowed, aRequest.mPeer, "method not allowed")
           : rejectionAnswer(kStatusNotFound, aRequest.mPeer, "unknown path");
}

HttpAnswer
operatorAnswer(const Message& aControlRequest, const Result<Message>& aAnswer)
{
  if (!isOk(aAnswer)) {
    return errorAnswer(statusOf(errorOf(aAnswer).code()), errorOf(aAnswer));
  }
  const Message& answer = valueOf(aAnswer);
  if (const ChangeResult* change = std::get_if<ChangeResult>(&answer)) {
    return jsonAnswer(statusOf(change->answer().outcome()), change->answer().toJson());
  }
  if (const JobReply* job = std::get_if<JobReply>(&answer)) {
    return jsonAnswer(statusOf(job->outcome()), job->toJson());
  }
  int status = kStatusOk;
  const CatalogueListing* listing = std::get_if<CatalogueListing>(&answer);
  const CatalogueQuery* query = std::get_if<CatalogueQuery>(&aControlRequest);
  if (listing != nullptr && query != nullptr && !query->recordName().empty() &&
      listing->records().empty()) {
    status = kStatusNotFound;
  }
  return std::visit([status](const auto& aBody) { return jsonAnswer(status, aBody.toJson()); },
                    answer);
}

} // namespace magnoliadrum
