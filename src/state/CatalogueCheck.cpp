#include "state/CatalogueCheck.h"

#include "jobs/JobRules.h"
#include "placement/ResourceAmount.h"
#include "state/BuildValue.h"
#include "state/EntryRules.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace magnoliadrum {

namespace {

using Findings = std::vector<CatalogueFinding>;
using Differences = std::vector<CatalogueDifference>;

constexpr double kMsPerSecond = 1000;

std::string
indexed(const char* aList, std::size_t aIndex)
{
  return std::string(aList) + "[" + std::to_string(aIndex) + "]";
}

/** Splits a fault "PATH: WHAT" of the server's validation. */
CatalogueFinding
errorOfFault(const std::string& aFault)
{
  const std::size_t colon = aFault.find(": ");
  if (colon == std::string::npos) {
    return { FindingLevel::eError, "", aFault };
  }
  return { FindingLevel::eError, aFault.substr(0, colon), aFault.substr(colon + 2) };
}

void
warnIf(bool aHolds, const std::string& aPath, const std::string& aReason, Findings& aFindings)
{
  if (aHolds) {
    aFindings.push_back({ FindingLevel::eWarning, aPath, aReason });
  }
}

/** Finds what keeps a queue from ever matching a request, or limits what matches. */
void
checkMatching(const QueueCatalogue& aCatalogue, std::size_t aIndex, Findings& aFindings)
{
  const JobQueue& queue = aCatalogue.queues()[aIndex];
  const std::string path = indexed("queues", aIndex);
  const bool hasUpperCase =
    std::any_of(queue.host().begin(), queue.host().end(), [](unsigned char aCharacter) {
      return std::isupper(aCharacter) != 0;
    });
  warnIf(hasUpperCase,
         path + ".host",
         "never matches: requests have their host in lower case",
         aFindings);
  const std::string& prefix = queue.pathPrefix();
  warnIf(!prefix.starts_with('/'),
         path + ".pathPrefix",
         "never matches: the path of a request starts with '/'",
         aFindings);
  warnIf(prefix.find_first_of("?#") != std::string::npos,
         path + ".pathPrefix",
         "never matches: the path of a request has no query or fragment",
         aFindings);
  for (const JobQueue& other : aCatalogue.queues()) {
    const bool takesPart = other.host() == queue.host() && other.pathPrefix() != prefix &&
                           other.pathPrefix().starts_with(prefix);
    if (takesPart) {
      aFindings.push_back(
        { FindingLevel::eNote,
          path + ".pathPrefix",
          "paths that start with " + other.pathPrefix() + " go to queue " + other.name() });
    }
  }
}

void
checkLimits(const JobQueue& aQueue, const std::string& aPath, Findings& aFindings)
{
  warnIf(aQueue.stretch() < 1 && aQueue.objectiveMs() == 0,
         aPath + ".stretch",
         "below 1 without objectiveMs: the objective is shorter than the work",
         aFindings);
  if (const std::optional<QueueAdvice>& advice = aQueue.advice()) {
    const std::int64_t answerMs = advice->decideMs() + advice->perWorkerMs();
    warnIf(advice->validMs() > 0 && advice->validMs() <= answerMs,
           aPath + ".advice.validMs",
           "a ticket has expired before the advice for one worker arrives (" +
             std::to_string(answerMs) + " ms)",
           aFindings);
    warnIf(advice->decideMs() > aQueue.objectiveMs() && aQueue.stretch() <= 1,
           aPath + ".advice.decideMs",
           "longer than objectiveMs: every job with one step is late",
           aFindings);
  }
}

void
checkPools(const QueueCatalogue& aCatalogue, Findings& aFindings)
{
  for (std::size_t index = 0; index < aCatalogue.pools().size(); index++) {
    const WorkerPool& pool = aCatalogue.pools()[index];
    const std::string path = indexed("pools", index);
    const bool isUsed =
      std::any_of(aCatalogue.queues().begin(),
                  aCatalogue.queues().end(),
                  [&pool](const JobQueue& aQueue) { return aQueue.poolName() == pool.name(); });
    warnIf(!isUsed, path, "no queue uses pool " + pool.name(), aFindings);
    warnIf(isUsed && pool.standby(),
           path + ".standby",
           "the workers of pool " + pool.name() + " are off, but queues use it",
           aFindings);
  }
}

/** A quota with the sums that its owner's entries declare. */
struct OwnerSum
{
  ResourceAmount standing;
  std::size_t entries = 0;
};

ResourceAmount
times(const ResourceAmount& aAmount, std::int64_t aCount)
{
  return { aAmount.cpuMilli * aCount, aAmount.memoryMb * aCount, aAmount.accelerators * aCount };
}

/** Whether an amount exceeds a limit; a limit of 0 is none. */
bool
exceeds(const ResourceAmount& aAmount, const ResourceAmount& aLimit)
{
  return (aLimit.cpuMilli > 0 && aAmount.cpuMilli > aLimit.cpuMilli) ||
         (aLimit.memoryMb > 0 && aAmount.memoryMb > aLimit.memoryMb) ||
         (aLimit.accelerators > 0 && aAmount.accelerators > aLimit.accelerators);
}

bool
allows(const CatalogueEntry& aEntry, const std::string& aDataCentre)
{
  const std::vector<std::string>& allowed = aEntry.dataCentres();
  return std::find(allowed.begin(), allowed.end(), aDataCentre) != allowed.end();
}

void
checkTargets(const CatalogueEntry& aEntry,
             const std::string& aPath,
             const std::vector<TargetDescription>& aTargets,
             Findings& aFindings)
{
  if (aTargets.empty()) {
    return;
  }
  for (std::size_t index = 0; index < aEntry.dataCentres().size(); index++) {
    const std::string& name = aEntry.dataCentres()[index];
    const bool isKnown =
      std::any_of(aTargets.begin(), aTargets.end(), [&name](const TargetDescription& aTarget) {
        return aTarget.dataCentre() == name;
      });
    warnIf(!isKnown,
           aPath + ".dataCentres[" + std::to_string(index) + "]",
           "no target is registered in " + name,
           aFindings);
  }
  const bool isService = aEntry.kind() == EntryKind::eService;
  const ResourceAmount size = ResourceAmount::of(aEntry.resources());
  const bool canRun =
    std::any_of(aTargets.begin(), aTargets.end(), [&](const TargetDescription& aTarget) {
      if (!allows(aEntry, aTarget.dataCentre())) {
        return false;
      }
      if (isService) {
        return aTarget.targetKind() == TargetKind::eExecutor &&
               aTarget.entryName() == aEntry.name();
      }
      return aTarget.targetKind() == TargetKind::eWorker &&
             size.fitsIn(ResourceAmount::of(aTarget.capacity()));
    });
  warnIf(!canRun,
         aPath + (isService ? "" : ".resources"),
         isService ? "no executor in its data centres serves it"
                   : "fits no worker in its data centres",
         aFindings);
}

void
checkEntryLimits(const CatalogueEntry& aEntry,
                 const OwnerQuota* aQuota,
                 const std::string& aPath,
                 Findings& aFindings)
{
  const EntryLimits& limits = aEntry.limits();
  if (aEntry.objective() && limits.requestsPerSecond() > 0 && limits.concurrentRequests() > 0) {
    const double open = limits.requestsPerSecond() *
                        static_cast<double>(aEntry.objective()->latencyMs()) / kMsPerSecond;
    warnIf(open > static_cast<double>(limits.concurrentRequests()),
           aPath + ".limits.concurrentRequests",
           "below requestsPerSecond times the latency objective, so the rate is never reached",
           aFindings);
  }
  warnIf(limits.finishWithinMs() > 0 && limits.silenceMs() >= limits.finishWithinMs(),
         aPath + ".limits.silenceMs",
         "not below finishWithinMs: a run that hangs is never noticed in time",
         aFindings);
  if (aQuota == nullptr) {
    return;
  }
  warnIf(aQuota->requestsPerSecond() > 0 &&
           limits.requestsPerSecond() > aQuota->requestsPerSecond(),
         aPath + ".limits.requestsPerSecond",
         "above the quota of " + aQuota->owner(),
         aFindings);
  warnIf(aQuota->concurrentRequests() > 0 &&
           limits.concurrentRequests() > aQuota->concurrentRequests(),
         aPath + ".limits.concurrentRequests",
         "above the quota of " + aQuota->owner(),
         aFindings);
  warnIf(aEntry.kind() != EntryKind::eService &&
           exceeds(ResourceAmount::of(aEntry.resources()), ResourceAmount::of(aQuota->resources())),
         aPath + ".resources",
         "one task exceeds the quota of " + aQuota->owner(),
         aFindings);
}

/** The records that are in force after aChange is applied to aBefore, by name. */
template<typename Record, typename Name>
std::map<std::string, Record>
merged(const std::vector<Record>& aBefore, const std::vector<Record>& aChange, const Name& aName)
{
  std::map<std::string, Record> records;
  for (const std::vector<Record>* list : { &aBefore, &aChange }) {
    for (const Record& record : *list) {
      records.insert_or_assign(aName(record), record);
    }
  }
  return records;
}

const auto kEntryName = [](const CatalogueEntry& aEntry) { return aEntry.name(); };
const auto kOwnerName = [](const OwnerQuota& aQuota) { return aQuota.owner(); };

/** Sorts the lists of names in a value, whose order means nothing. */
nlohmann::json
normalized(nlohmann::json aValue)
{
  if (aValue.is_object()) {
    for (auto& [name, field] : aValue.items()) {
      field = normalized(field);
    }
  } else if (aValue.is_array()) {
    std::sort(aValue.begin(), aValue.end());
  }
  return aValue;
}

std::string
textOf(const nlohmann::json& aValue)
{
  return aValue.is_null() ? std::string() : aValue.dump();
}

void
compareValues(const std::string& aPath,
              const nlohmann::json& aBefore,
              const nlohmann::json& aAfter,
              Differences& aDifferences)
{
  if (!aBefore.is_object() || !aAfter.is_object()) {
    if (aBefore != aAfter) {
      aDifferences.push_back({ aPath, textOf(aBefore), textOf(aAfter) });
    }
    return;
  }
  std::set<std::string> names;
  for (const nlohmann::json* value : { &aBefore, &aAfter }) {
    for (const auto& [name, field] : value->items()) {
      names.insert(name);
    }
  }
  for (const std::string& name : names) {
    compareValues(aPath + "." + name,
                  aBefore.value(name, nlohmann::json()),
                  aAfter.value(name, nlohmann::json()),
                  aDifferences);
  }
}

/** Compares two lists of named records; those that are missing in aAfter only if aShowsRemoved. */
template<typename Record, typename Name>
void
compareRecords(const std::string& aKind,
               const std::vector<Record>& aBefore,
               const std::vector<Record>& aAfter,
               const Name& aName,
               bool aShowsRemoved,
               Differences& aDifferences)
{
  std::map<std::string, std::pair<nlohmann::json, nlohmann::json>> byName;
  for (const Record& record : aBefore) {
    byName[aName(record)].first = normalized(record.toJson());
  }
  for (const Record& record : aAfter) {
    byName[aName(record)].second = normalized(record.toJson());
  }
  for (const auto& [name, values] : byName) {
    if (!values.second.is_null() || aShowsRemoved) {
      compareValues(aKind + " " + name, values.first, values.second, aDifferences);
    }
  }
}

} // namespace

std::vector<CatalogueFinding>
CatalogueCheck::check(const QueueCatalogue& aCatalogue)
{
  Findings findings;
  for (const std::string& fault : findFaults(aCatalogue)) {
    findings.push_back(errorOfFault(fault));
  }
  for (std::size_t index = 0; index < aCatalogue.queues().size(); index++) {
    checkMatching(aCatalogue, index, findings);
    checkLimits(aCatalogue.queues()[index], indexed("queues", index), findings);
  }
  checkPools(aCatalogue, findings);
  return findings;
}

std::vector<CatalogueFinding>
CatalogueCheck::check(const CatalogueRecords& aRecords,
                      const CatalogueRecords& aInForce,
                      const std::vector<TargetDescription>& aTargets)
{
  Findings findings;
  const std::map<std::string, CatalogueEntry> entries =
    merged(aInForce.entries, aRecords.entries, kEntryName);
  const std::map<std::string, OwnerQuota> quotas =
    merged(aInForce.quotas, aRecords.quotas, kOwnerName);
  std::map<std::string, OwnerSum> sums;
  for (const auto& [name, entry] : entries) {
    OwnerSum& sum = sums[entry.owner()];
    sum.entries++;
    if (entry.kind() == EntryKind::eStanding) {
      sum.standing =
        sum.standing.plus(times(ResourceAmount::of(entry.resources()), entry.limits().replicas()));
    }
  }
  std::set<std::string> names;
  for (std::size_t index = 0; index < aRecords.entries.size(); index++) {
    const CatalogueEntry& entry = aRecords.entries[index];
    const std::string path = "entry " + entry.name();
    const auto change = buildValue<CatalogueChange>(
      { .changeId = "check", .recordName = entry.name(), .expectedVersion = 0, .entry = entry });
    for (const std::string& fault : findChangeFaults(change)) {
      CatalogueFinding finding = errorOfFault(fault);
      finding.path = path + finding.path.substr(std::min(finding.path.size(), sizeof("entry") - 1));
      findings.push_back(std::move(finding));
    }
    if (!names.insert(entry.name()).second) {
      findings.push_back({ FindingLevel::eError, path, "occurs more than once" });
    }
    const auto quota = quotas.find(entry.owner());
    checkEntryLimits(entry, quota == quotas.end() ? nullptr : &quota->second, path, findings);
    checkTargets(entry, path, aTargets, findings);
  }
  ResourceAmount room;
  for (const TargetDescription& target : aTargets) {
    if (target.targetKind() == TargetKind::eWorker) {
      room = room.plus(ResourceAmount::of(target.capacity()));
    }
  }
  std::set<std::string> owners;
  for (const OwnerQuota& quota : aRecords.quotas) {
    const std::string path = "quota " + quota.owner();
    if (!owners.insert(quota.owner()).second) {
      findings.push_back({ FindingLevel::eError, path, "occurs more than once" });
    }
    const ResourceAmount limit = ResourceAmount::of(quota.resources());
    warnIf(sums[quota.owner()].entries == 0, path, "no entry has this owner", findings);
    warnIf(exceeds(sums[quota.owner()].standing, limit),
           path + ".resources",
           "the standing tasks of the owner need more",
           findings);
    warnIf(!aTargets.empty() && !limit.fitsIn(room),
           path + ".resources",
           "above the room of all registered workers",
           findings);
  }
  return findings;
}

std::vector<CatalogueDifference>
CatalogueCheck::compare(const QueueCatalogue& aBefore, const QueueCatalogue& aAfter)
{
  Differences differences;
  constexpr bool kShowsRemoved = true;
  compareRecords(
    "queue",
    aBefore.queues(),
    aAfter.queues(),
    [](const JobQueue& aQueue) { return aQueue.name(); },
    kShowsRemoved,
    differences);
  compareRecords(
    "pool",
    aBefore.pools(),
    aAfter.pools(),
    [](const WorkerPool& aPool) { return aPool.name(); },
    kShowsRemoved,
    differences);
  return differences;
}

std::vector<CatalogueDifference>
CatalogueCheck::compare(const CatalogueRecords& aBefore, const CatalogueRecords& aAfter)
{
  Differences differences;
  constexpr bool kShowsRemoved = false;
  compareRecords("entry", aBefore.entries, aAfter.entries, kEntryName, kShowsRemoved, differences);
  compareRecords("quota", aBefore.quotas, aAfter.quotas, kOwnerName, kShowsRemoved, differences);
  return differences;
}

std::vector<CatalogueFinding>
CatalogueCheck::checkVersion(const QueueCatalogue& aBefore, const QueueCatalogue& aAfter)
{
  if (aAfter.version() > aBefore.version()) {
    return {};
  }
  const std::string versions =
    std::to_string(aAfter.version()) + " is not above " + std::to_string(aBefore.version());
  return { { FindingLevel::eWarning,
             "version",
             versions + ", so the catalogue is acknowledged and changes nothing" } };
}

} // namespace magnoliadrum
