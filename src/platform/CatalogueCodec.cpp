#include "platform/CatalogueCodec.h"

#include "platform/HostName.h"
#include "platform/JsonReader.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace magnoliadrum::platform {

namespace {

const char* const kStep = "decode catalogue";

template<typename Type>
void
appendOrAddFault(const Result<Type>& aValue,
                 const std::string& aPath,
                 std::vector<Type>& aValues,
                 std::vector<std::string>& aFaults)
{
  if (isOk(aValue)) {
    aValues.push_back(valueOf(aValue));
  } else {
    aFaults.push_back(aPath + ": " + errorOf(aValue).detail());
  }
}

Result<JobQueue>
decodeQueue(const JsonReader& aRoute)
{
  JobQueue::Fields fields{ .name = aRoute.string("Name", true),
                           .host = lowerCaseHost(aRoute.string("Host", true)),
                           .pathPrefix = aRoute.string("PathPrefix", true),
                           // A "Service" of the platform is a pool of workers.
                           .poolName = aRoute.string("Service", true),
                           .priority = aRoute.integer("Priority"),
                           .maxAttempts = aRoute.integer("MaxAttempts", 1),
                           .stretch = aRoute.number("Stretch", 1),
                           .objectiveMs = aRoute.integer("TargetLatencyMs"),
                           .timeoutMs = aRoute.integer("TimeoutMs", 0, true) };
  if (const std::optional<JsonReader> advice = aRoute.object("Advice")) {
    const Result<QueueAdvice> decoded =
      QueueAdvice::create({ .decideMs = advice->integer("DecideMs"),
                            .perWorkerMs = advice->integer("PeriodMs"),
                            .validMs = advice->integer("ValidMs") });
    if (!isOk(decoded)) {
      return errorOf(decoded);
    }
    fields.advice = valueOf(decoded);
  }
  return JobQueue::create(std::move(fields));
}

} // namespace

Result<QueueCatalogue>
decodeCatalogue(const std::string& aBody, const std::string& aPeer)
{
  const std::optional<nlohmann::json> body = parseBody(aBody, kMaxDocumentValues);
  if (!body) {
    return Error::create(
      ErrorCode::eInvalid, kStep, aPeer, "body: not valid JSON, or too many values");
  }
  std::vector<std::string> faults;
  const JsonReader reader(*body, "", faults);
  QueueCatalogue::Fields fields{ .version = reader.integer("Version", 0, true), .source = aBody };
  for (const JsonReader& service : reader.items("Services", true)) {
    const Result<WorkerPool> pool =
      WorkerPool::create({ .name = service.string("Name", true),
                           .rejectsOverload = service.boolean("RejectsOverload"),
                           .standby = service.boolean("Standby") });
    appendOrAddFault(pool, service.path(), fields.pools, faults);
  }
  for (const JsonReader& route : reader.items("Routes", true)) {
    appendOrAddFault(decodeQueue(route), route.path(), fields.queues, faults);
  }
  if (!faults.empty()) {
    return Error::create(ErrorCode::eInvalid, kStep, aPeer, joinFaults(faults));
  }
  const Result<QueueCatalogue> catalogue = QueueCatalogue::create(std::move(fields));
  if (!isOk(catalogue)) {
    return Error::create(ErrorCode::eInvalid, kStep, aPeer, errorOf(catalogue).detail());
  }
  return catalogue;
}

} // namespace magnoliadrum::platform
