#include "testbench/Scenario.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

constexpr int kWorkers = 11;
constexpr int kWorkersPerRack = 3;
constexpr std::int64_t kMbPerGb = 1000;

/** Positions in Scenario::batch that every scenario has. */
constexpr std::size_t kPlans = 0;
constexpr std::size_t kTally = 1;
constexpr std::size_t kLarge = 2;
constexpr std::size_t kNoisy = 3;

struct Size
{
  std::int64_t cpuMilli;
  std::int64_t memoryMb;
};

/** One of the two users: its VMs, its weights and what scales with the size of a VM. */
struct Profile
{
  std::int64_t cores = 32;
  std::int64_t memoryGb = 125;
  std::vector<std::string> dataCentres;
  PolicySettings::Fields weights;

  Size part(double aCoreShare, double aMemoryShare) const
  {
    return { static_cast<std::int64_t>(static_cast<double>(cores * 1000) * aCoreShare),
             static_cast<std::int64_t>(static_cast<double>(memoryGb * kMbPerGb) * aMemoryShare) };
  }
};

Profile
guild()
{
  return { 32,
           125,
           { "waco", "temple", "killeen" },
           { .tailLatencyWeight = 10, .evictionWeight = 1, .throughputWeight = 1 } };
}

Profile
delta()
{
  return { 64,
           250,
           { "tulcea", "galati", "braila", "constanta" },
           { .tailLatencyWeight = 1, .evictionWeight = 10, .throughputWeight = 5 } };
}

Resources
resourcesOf(const Size& aSize)
{
  return takeValue(Resources::create({ .cpuMilli = aSize.cpuMilli, .memoryMb = aSize.memoryMb }));
}

CatalogueEntry::Fields
entryFields(const Profile& aProfile, const std::string& aName, const Size& aDeclared)
{
  CatalogueEntry::Fields fields;
  fields.name = aName;
  fields.owner = aName == "basket" ? "shop" : "back-office";
  fields.kind = EntryKind::eBatch;
  fields.workClass = WorkClass::eBatch;
  fields.resources = resourcesOf(aDeclared);
  fields.dataCentres = aProfile.dataCentres;
  return fields;
}

TrueBehaviour
behaviour(const Profile& aProfile,
          const std::string& aName,
          const Size& aDeclared,
          const Size& aTrue,
          double aRunSeconds,
          double aInterference)
{
  TrueBehaviour result;
  result.entry = takeValue(CatalogueEntry::create(entryFields(aProfile, aName, aDeclared)));
  result.cpuMilli = static_cast<double>(aTrue.cpuMilli);
  result.memoryMb = static_cast<double>(aTrue.memoryMb);
  result.runSeconds = aRunSeconds;
  result.interference = aInterference;
  return result;
}

/** The part that all scenarios share: VMs, service and four batch entries with a steady supply. */
Scenario
common(const Profile& aProfile)
{
  Scenario result;
  result.settings = takeValue(PolicySettings::create(aProfile.weights));
  for (int i = 0; i < kWorkers; ++i) {
    TargetDescription::Fields fields;
    fields.targetId = "worker-" + std::to_string(i);
    fields.targetKind = TargetKind::eWorker;
    fields.agentAddress = "127.0.0.1:" + std::to_string(i + 1);
    fields.dataCentre =
      aProfile.dataCentres.at(static_cast<std::size_t>(i) % aProfile.dataCentres.size());
    fields.rack = "rack-" + std::to_string(i / kWorkersPerRack);
    fields.capacity = resourcesOf(aProfile.part(1, 1));
    result.workers.push_back(takeValue(TargetDescription::create(std::move(fields))));
  }
  result.serviceWorkers = kWorkers;
  result.serviceReserved = resourcesOf(aProfile.part(0.25, 0.2));
  CatalogueEntry::Fields service = entryFields(aProfile, "basket", aProfile.part(0.25, 0.2));
  service.kind = EntryKind::eService;
  service.workClass = WorkClass::eLatencyCritical;
  service.objective = takeValue(Objective::create({ .latencyMs = 100, .share = 0.99 }));
  result.service = takeValue(CatalogueEntry::create(std::move(service)));
  result.loads = { { 0, 0.4 } };
  result.batch = {
    behaviour(aProfile, "plans", aProfile.part(0.05, 0.04), aProfile.part(0.05, 0.04), 120, 0.3),
    behaviour(aProfile, "tally", aProfile.part(0.1, 0.1), aProfile.part(0.06, 0.08), 300, 0.1),
    behaviour(aProfile, "large", aProfile.part(0.5, 0.4), aProfile.part(0.45, 0.4), 600, 0.3),
    behaviour(aProfile, "noisy", aProfile.part(0.05, 0.03), aProfile.part(0.1, 0.03), 90, 4.0),
  };
  for (std::int64_t at = 0; at < result.seconds; at += 300) {
    result.submissions.push_back({ at, kPlans, 120 });
    result.submissions.push_back({ at, kTally, 60 });
    result.submissions.push_back({ at, kLarge, 3 });
  }
  return result;
}

void
addWrongSizes(const Profile& aProfile, Scenario& aScenario)
{
  aScenario.batch.push_back(
    behaviour(aProfile, "hungry", aProfile.part(0.03, 0.03), aProfile.part(0.09, 0.12), 240, 0.5));
  aScenario.batch.push_back(
    behaviour(aProfile, "modest", aProfile.part(0.2, 0.2), aProfile.part(0.03, 0.02), 60, 0.2));
  for (std::int64_t at = 0; at < aScenario.seconds; at += 300) {
    aScenario.submissions.push_back({ at, aScenario.batch.size() - 2, 40 });
    aScenario.submissions.push_back({ at, aScenario.batch.size() - 1, 20 });
  }
}

void
addNoisyWaves(Scenario& aScenario)
{
  for (const std::int64_t at : { 600, 1500, 2400 }) {
    aScenario.submissions.push_back({ at, kNoisy, 150 });
  }
}

void
addLoadShift(Scenario& aScenario)
{
  aScenario.loads = { { 0, 0.3 }, { 1200, 0.9 }, { 2000, 0.5 }, { 2600, 1.0 }, { 3200, 0.3 } };
  for (std::int64_t at = 0; at < aScenario.seconds; at += 300) {
    aScenario.submissions.push_back({ at, kNoisy, 15 });
  }
}

void
addCancellations(Scenario& aScenario)
{
  for (const std::int64_t at : { 600, 1500, 2400 }) {
    aScenario.submissions.push_back({ at, kPlans, 600, 60, 500 });
    aScenario.submissions.push_back({ at, kNoisy, 100, 45, 80 });
  }
}

void
addImpossibleJobs(const Profile& aProfile, Scenario& aScenario)
{
  const Size normal = aProfile.part(0.05, 0.04);
  aScenario.batch.push_back(
    behaviour(aProfile, "too-large", aProfile.part(1.5, 0.5), normal, 60, 0));
  aScenario.batch.push_back(behaviour(aProfile, "no-site", normal, normal, 60, 0));
  CatalogueEntry::Fields elsewhere = entryFields(aProfile, "no-site", normal);
  elsewhere.dataCentres = { "closed" };
  aScenario.batch.back().entry = takeValue(CatalogueEntry::create(std::move(elsewhere)));
  aScenario.batch.push_back(behaviour(aProfile, "crashes", normal, normal, 60, 0));
  aScenario.batch.back().alwaysFails = true;
  for (std::int64_t at = 0; at < aScenario.seconds; at += 600) {
    for (std::size_t back = 1; back <= 3; ++back) {
      aScenario.submissions.push_back({ at, aScenario.batch.size() - back, 40 });
    }
  }
}

void
addPairInterference(Scenario& aScenario)
{
  constexpr std::size_t kSharedWorkers = 6;
  aScenario.serviceWorkers = kSharedWorkers;
  for (std::int64_t at = 0; at < aScenario.seconds; at += 300) {
    aScenario.submissions.push_back({ at, kNoisy, 60 });
  }
}

} // namespace

const std::vector<std::string>&
Scenario::names()
{
  static const std::vector<std::string> sNames = { "wrong-sizes",      "noisy-wave",
                                                   "load-shift",       "cancellation-wave",
                                                   "bad-worker",       "impossible-jobs",
                                                   "pair-interference" };
  return sNames;
}

Result<Scenario>
Scenario::create(const std::string& aName, const std::string& aWeights)
{
  const auto invalid = [](const std::string& aDetail) {
    return Error::create(ErrorCode::eInvalid, "scenario.create", "local", aDetail);
  };
  if (aWeights != "guild" && aWeights != "delta") {
    return invalid("unknown weights '" + aWeights + "', expected guild or delta");
  }
  const std::vector<std::string>& known = names();
  if (std::find(known.begin(), known.end(), aName) == known.end()) {
    return invalid("unknown scenario '" + aName + "'");
  }
  const Profile profile = aWeights == "guild" ? guild() : delta();
  Scenario result = common(profile);
  result.name = aName;
  if (aName == "wrong-sizes") {
    addWrongSizes(profile, result);
  } else if (aName == "noisy-wave") {
    addNoisyWaves(result);
  } else if (aName == "load-shift") {
    addLoadShift(result);
  } else if (aName == "cancellation-wave") {
    addCancellations(result);
  } else if (aName == "bad-worker") {
    result.badWorker = 3;
  } else if (aName == "impossible-jobs") {
    addImpossibleJobs(profile, result);
  } else {
    addPairInterference(result);
  }
  return result;
}

} // namespace magnoliadrum
