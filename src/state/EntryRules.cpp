#include "state/EntryRules.h"

#include <algorithm>
#include <set>

namespace magnoliadrum {

namespace {

using Faults = std::vector<std::string>;

bool
isEntryName(std::string_view aName)
{
  return !aName.empty() && std::all_of(aName.begin(), aName.end(), [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= '0' && aCharacter <= '9') ||
           aCharacter == '-';
  });
}

void
addFaultUnless(bool aHolds, const char* aFault, Faults& aFaults)
{
  if (!aHolds) {
    aFaults.emplace_back(aFault);
  }
}

void
checkDataCentres(const CatalogueEntry& aEntry, Faults& aFaults)
{
  std::set<std::string> seen;
  for (std::size_t index = 0; index < aEntry.dataCentres().size(); index++) {
    if (!seen.insert(aEntry.dataCentres()[index]).second) {
      aFaults.push_back("entry.dataCentres[" + std::to_string(index) + "]: listed twice");
    }
  }
}

void
checkService(const CatalogueEntry& aEntry, Faults& aFaults)
{
  const EntryLimits::Fields defaults;
  const EntryLimits& limits = aEntry.limits();
  addFaultUnless(limits.replicas() == defaults.replicas,
                 "entry.limits.replicas: only standing entries have replicas",
                 aFaults);
  addFaultUnless(limits.finishWithinMs() == 0,
                 "entry.limits.finishWithinMs: only batch entries have a run time limit",
                 aFaults);
  addFaultUnless(limits.maxAttempts() == defaults.maxAttempts,
                 "entry.limits.maxAttempts: only batch entries have attempts",
                 aFaults);
  addFaultUnless(!aEntry.urgent(), "entry.urgent: only tasks are placed", aFaults);
  addFaultUnless(aEntry.payload().empty(), "entry.payload: only tasks have parameters", aFaults);
  addFaultUnless(!aEntry.serveWithoutControl() || aEntry.repeatable(),
                 "entry.serveWithoutControl: needs a repeatable entry",
                 aFaults);
}

void
checkTaskEntry(const CatalogueEntry& aEntry, Faults& aFaults)
{
  const EntryLimits& limits = aEntry.limits();
  addFaultUnless(limits.requestsPerSecond() == 0,
                 "entry.limits.requestsPerSecond: only service entries get requests",
                 aFaults);
  addFaultUnless(limits.concurrentRequests() == 0,
                 "entry.limits.concurrentRequests: only service entries get requests",
                 aFaults);
  addFaultUnless(
    aEntry.repeatable(), "entry.repeatable: only service entries may be non-repeatable", aFaults);
  addFaultUnless(!aEntry.serveWithoutControl(),
                 "entry.serveWithoutControl: only service entries may set it",
                 aFaults);
  addFaultUnless(
    !aEntry.objective(), "entry.objective: only service entries get requests", aFaults);
}

void
checkEntry(const CatalogueEntry& aEntry, Faults& aFaults)
{
  addFaultUnless(
    isEntryName(aEntry.name()), "entry.name: only a-z, 0-9 and '-' are allowed", aFaults);
  checkDataCentres(aEntry, aFaults);
  if (aEntry.kind() == EntryKind::eService) {
    checkService(aEntry, aFaults);
    return;
  }
  checkTaskEntry(aEntry, aFaults);
  if (aEntry.kind() == EntryKind::eBatch) {
    addFaultUnless(aEntry.workClass() == WorkClass::eBatch,
                   "entry.class: a batch entry is of class batch",
                   aFaults);
    addFaultUnless(aEntry.limits().replicas() == EntryLimits::Fields().replicas,
                   "entry.limits.replicas: only standing entries have replicas",
                   aFaults);
    return;
  }
  addFaultUnless(aEntry.limits().finishWithinMs() == 0,
                 "entry.limits.finishWithinMs: only batch entries have a run time limit",
                 aFaults);
}

void
checkDeletionName(const std::string& aName, Faults& aFaults)
{
  const bool isQuota = aName.starts_with(kQuotaPrefix) && aName.size() > kQuotaPrefix.size();
  addFaultUnless(
    isQuota || isEntryName(aName), "recordName: neither an entry nor a quota", aFaults);
}

} // namespace

std::vector<std::string>
findChangeFaults(const CatalogueChange& aChange)
{
  Faults faults;
  if (aChange.entry() && aChange.quota()) {
    faults.emplace_back("quota: a change has either an entry or a quota");
  }
  if (aChange.entry()) {
    addFaultUnless(aChange.recordName() == aChange.entry()->name(),
                   "recordName: differs from entry.name",
                   faults);
    checkEntry(*aChange.entry(), faults);
  } else if (aChange.quota()) {
    addFaultUnless(aChange.recordName() == std::string(kQuotaPrefix) + aChange.quota()->owner(),
                   "recordName: differs from 'quota:' and quota.owner",
                   faults);
  } else {
    checkDeletionName(aChange.recordName(), faults);
  }
  return faults;
}

} // namespace magnoliadrum
