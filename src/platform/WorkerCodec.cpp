#include "platform/WorkerCodec.h"

#include "observability/observability.h"
#include "platform/JsonReader.h"

#include <utility>

namespace magnoliadrum::platform {

namespace {

using nlohmann::json;

constexpr std::int64_t kOk = 200;
constexpr std::int64_t kConflict = 409;
constexpr std::int64_t kMisdirectedRequest = 421;
constexpr std::int64_t kTooManyRequests = 429;
constexpr std::int64_t kServiceUnavailable = 503;

/** Index of the rack in a worker's labels, which are its kind and its rack, in this order. */
constexpr std::size_t kRackLabelIndex = 1;

/** Largest number of ended runs in one answer of a worker. */
constexpr std::size_t kMaxListedEnds = 500;

OrderResult
resultForReason(const std::string& aReason)
{
  if (aReason == "fence") {
    return OrderResult::eFenced;
  }
  if (aReason == "old") {
    return OrderResult::eClosed;
  }
  if (aReason == "late") {
    return OrderResult::eLate;
  }
  if (aReason == "room") {
    return OrderResult::eRoom;
  }
  if (aReason == "ticket") {
    return OrderResult::eTicket;
  }
  return OrderResult::eInvalid;
}

/** Decodes a row [task, run, checkpoint, percent, figure]; the last two columns are optional. */
Result<ListedRun>
decodeRunningRow(const json& aRow)
{
  constexpr std::size_t kMinColumns = 3;
  constexpr std::size_t kPercentColumn = 3;
  constexpr std::size_t kFigureColumn = 4;
  const bool isValid = aRow.is_array() && aRow.size() >= kMinColumns && aRow[0].is_string() &&
                       aRow[1].is_number_integer() && aRow[2].is_string();
  if (!isValid) {
    return Error::create(ErrorCode::eInvalid, "decode lists", "worker", "malformed row in Running");
  }
  const auto numberAt = [&aRow](std::size_t aIndex) {
    return aRow.size() > aIndex && aRow[aIndex].is_number() ? aRow[aIndex].get<double>() : 0.0;
  };
  return ListedRun::create({ .task = aRow[0].get<std::string>(),
                             .run = aRow[1].get<std::int64_t>(),
                             .checkpoint = aRow[2].get<std::string>(),
                             .percent = numberAt(kPercentColumn),
                             .figure = numberAt(kFigureColumn) });
}

/** Decodes a row [number, task, run, how, checkpoint]. */
Result<ListedEnd>
decodeEndedRow(const json& aRow)
{
  constexpr std::size_t kColumns = 5;
  const bool isValid = aRow.is_array() && aRow.size() >= kColumns && aRow[0].is_number_integer() &&
                       aRow[1].is_string() && aRow[2].is_number_integer() && aRow[3].is_string() &&
                       aRow[4].is_string();
  const std::optional<RunEnd> how =
    isValid ? parseRunEnd(aRow[3].get<std::string>()) : std::nullopt;
  if (!how) {
    return Error::create(
      ErrorCode::eInvalid, "decode lists", "worker", "malformed row in EndedRuns");
  }
  return ListedEnd::create({ .number = aRow[0].get<std::int64_t>(),
                             .task = aRow[1].get<std::string>(),
                             .run = aRow[2].get<std::int64_t>(),
                             .how = *how,
                             .checkpoint = aRow[4].get<std::string>() });
}

template<typename Type, typename Decode>
std::vector<Type>
decodeRows(const json& aBody, const char* aName, const Decode& aDecode)
{
  std::vector<Type> rows;
  const auto list = aBody.find(aName);
  if (list == aBody.end() || !list->is_array()) {
    return rows;
  }
  for (const json& row : *list) {
    Result<Type> decoded = aDecode(row);
    if (isOk(decoded)) {
      rows.push_back(takeValue(std::move(decoded)));
    } else {
      logWarning("malformed row of a worker's run lists skipped", errorOf(decoded));
    }
  }
  return rows;
}

} // namespace

Result<Registration>
decodeRegistration(const std::string& aWorkerId, const std::string& aBody, const std::string& aPeer)
{
  const char* const kStep = "decode registration";
  const std::optional<json> body = parseBody(aBody, kMaxDocumentValues);
  if (!body) {
    return Error::create(
      ErrorCode::eInvalid, kStep, aPeer, "body: not valid JSON, or too many values");
  }
  std::vector<std::string> faults;
  const JsonReader reader(*body, "", faults);
  const std::string state = reader.string("State", true);
  if (faults.empty() && state != "ready" && state != "draining") {
    faults.push_back("State: unknown value " + state);
  }
  Registration registration;
  registration.address = reader.string("Address", true);
  registration.sequence = reader.integer("Seq");
  Resources::Fields capacity;
  if (const std::optional<JsonReader> capacityObject = reader.object("Capacity")) {
    capacity = { .cpuMilli = capacityObject->integer("Cpu"),
                 .memoryMb = capacityObject->integer("MemMb"),
                 .accelerators = capacityObject->integer("Gpu") };
  }
  const std::vector<std::string> labels = reader.strings("Labels");
  const Result<Resources> resources = Resources::create(capacity);
  if (!isOk(resources)) {
    faults.push_back("Capacity: " + errorOf(resources).detail());
  }
  if (!faults.empty()) {
    return Error::create(ErrorCode::eInvalid, kStep, aPeer, joinFaults(faults));
  }
  const Result<WorkerDescription> worker = WorkerDescription::create(
    { .workerId = aWorkerId,
      .bornMs = reader.integer("born"),
      .poolName = reader.string("Service", true),
      .dataCentre = reader.string("Zone"),
      .rack = labels.size() > kRackLabelIndex ? labels[kRackLabelIndex] : "",
      .labels = labels,
      .capacity = valueOf(resources),
      .coldMs = reader.integer("ColdRemainingMs"),
      .draining = state == "draining",
      .drainRemainingMs = reader.integer("DrainRemainingMs") });
  if (!isOk(worker) || !faults.empty()) {
    const std::string detail = isOk(worker) ? joinFaults(faults) : errorOf(worker).detail();
    return Error::create(ErrorCode::eInvalid, kStep, aPeer, detail);
  }
  registration.worker = valueOf(worker);
  return registration;
}

std::string
encodeStart(const StartOrder& aOrder, std::int64_t aFence, std::int64_t aLeaseUntilMs)
{
  json body = { { "Task", aOrder.task() },
                { "Run", aOrder.run() },
                { "Spec", aOrder.payload() },
                { "DeadlineMs", aLeaseUntilMs },
                { "Fence", aFence } };
  if (!aOrder.checkpoint().empty()) {
    body["Checkpoint"] = aOrder.checkpoint();
  }
  if (!aOrder.ticket().empty()) {
    body["Ticket"] = aOrder.ticket();
  }
  return dumpBody(body);
}

std::string
encodeStop(const StopOrder& aOrder, std::int64_t aFence)
{
  return dumpBody({ { "Task", aOrder.task() }, { "Run", aOrder.run() }, { "Fence", aFence } });
}

std::string
encodePace(const PaceOrder& aOrder, std::int64_t aFence)
{
  return dumpBody({ { "Task", aOrder.task() },
                    { "Run", aOrder.run() },
                    { "Percent", aOrder.percent() },
                    { "Fence", aFence } });
}

std::string
encodeRunListRequest(const RunListRequest& aRequest)
{
  json body = { { "Fence", aRequest.fence }, { "AckCursor", aRequest.ackedEnds } };
  if (aRequest.leaseUntilMs > 0) {
    body["DeadlineMs"] = aRequest.leaseUntilMs;
  }
  if (aRequest.waitMs > 0) {
    body["WaitMs"] = aRequest.waitMs;
  }
  return dumpBody(body);
}

Result<RunLists>
decodeRunLists(const std::string& aBody, const std::string& aPeer)
{
  const std::optional<json> body = parseBody(aBody, kMaxDocumentValues);
  if (!body || !body->is_object()) {
    return Error::create(ErrorCode::eInvalid, "decode lists", aPeer, "body: not a JSON object");
  }
  std::vector<std::string> faults;
  const JsonReader reader(*body, "", faults);
  RunLists lists;
  lists.bornMs = reader.integer("born");
  lists.clockMs = reader.integer("ClockMs", 0, true);
  lists.running = decodeRows<ListedRun>(*body, "Running", decodeRunningRow);
  lists.ended = decodeRows<ListedEnd>(*body, "EndedRuns", decodeEndedRow);
  lists.hasMoreEnds = lists.ended.size() >= kMaxListedEnds;
  if (!faults.empty()) {
    return Error::create(ErrorCode::eInvalid, "decode lists", aPeer, joinFaults(faults));
  }
  return lists;
}

OrderOutcome
decodeOrderOutcome(std::int64_t aStatus, const std::string& aBody)
{
  OrderOutcome outcome;
  std::string reason;
  if (const std::optional<json> body = parseBody(aBody, kMaxDocumentValues);
      body && body->is_object()) {
    std::vector<std::string> faults;
    const JsonReader reader(*body, "", faults);
    outcome.clockMs = reader.integer("ClockMs");
    reason = reader.string("Reason");
  }
  if (aStatus == kOk) {
    outcome.result = OrderResult::eAccepted;
  } else if (aStatus == kConflict) {
    outcome.result = resultForReason(reason);
  } else if (aStatus == kMisdirectedRequest) {
    outcome.result = OrderResult::eOtherLife;
  } else if (aStatus == kTooManyRequests || aStatus == kServiceUnavailable) {
    outcome.result = OrderResult::eUnhealthy;
  } else {
    outcome.result = OrderResult::eInvalid;
  }
  return outcome;
}

} // namespace magnoliadrum::platform
