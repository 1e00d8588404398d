#include "testbench/PolicyExperiment.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>

namespace magnoliadrum {

namespace {

double
quantile(std::vector<float> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto position =
    static_cast<std::ptrdiff_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + position, aValues.end());
  return aValues[static_cast<std::size_t>(position)];
}

constexpr double kP50 = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;

template<TaskPolicy Policy>
PolicyScore
score(const std::string& aName, Policy aPolicy, const Scenario& aScenario, std::uint64_t aSeed)
{
  ScenarioModel model(aScenario, aSeed);
  for (std::int64_t second = 0; second < aScenario.seconds; ++second) {
    const PlacementView view = model.advance();
    model.carryOut(aPolicy.decide(view, MonotonicTime::fromMs(second * 1000)));
  }
  PolicyScore result;
  result.policy = aName;
  result.outcome = model.finish();
  result.p50Ms = quantile(result.outcome.latenciesMs, kP50);
  result.p99Ms = quantile(result.outcome.latenciesMs, kP99);
  result.p999Ms = quantile(result.outcome.latenciesMs, kP999);
  return result;
}

} // namespace

std::vector<PlacementDecision>
FirstFitPolicy::decide(const PlacementView& aView, MonotonicTime /*aNow*/)
{
  std::map<std::string, const CatalogueEntry*> entries;
  for (const CatalogueEntry& entry : aView.entries) {
    entries[entry.name()] = &entry;
  }
  std::map<std::int64_t, Resources::Fields> room;
  for (const WorkerView& worker : aView.workers) {
    room[worker.session] = { worker.target.capacity().cpuMilli() - worker.reserved.cpuMilli(),
                             worker.target.capacity().memoryMb() - worker.reserved.memoryMb(),
                             0 };
  }
  for (const TaskView& task : aView.tasks) {
    if (task.session != 0) {
      room[task.session].cpuMilli -= entries[task.entryName]->resources().cpuMilli();
      room[task.session].memoryMb -= entries[task.entryName]->resources().memoryMb();
    }
  }
  std::vector<PlacementDecision> result;
  for (const TaskView& task : aView.tasks) {
    if (task.state != TaskState::ePending) {
      continue;
    }
    const CatalogueEntry& entry = *entries[task.entryName];
    for (const WorkerView& worker : aView.workers) {
      Resources::Fields& left = room[worker.session];
      const std::vector<std::string>& sites = entry.dataCentres();
      if (std::find(sites.begin(), sites.end(), worker.target.dataCentre()) == sites.end() ||
          entry.resources().cpuMilli() > left.cpuMilli ||
          entry.resources().memoryMb() > left.memoryMb) {
        continue;
      }
      left.cpuMilli -= entry.resources().cpuMilli();
      left.memoryMb -= entry.resources().memoryMb();
      result.emplace_back(PlaceDecision{ task.taskId, task.epoch + 1, worker.session });
      break;
    }
  }
  return result;
}

Result<PolicyComparison>
comparePolicies(const std::string& aScenario, const std::string& aWeights, std::uint64_t aSeed)
{
  const Result<Scenario> created = Scenario::create(aScenario, aWeights);
  if (!isOk(created)) {
    return errorOf(created);
  }
  const Scenario& scenario = valueOf(created);
  PlacementOptions chosen;
  chosen.settings = scenario.settings;
  PlacementOptions unaware = chosen;
  unaware.learnInterference = false;
  PlacementOptions passive = chosen;
  passive.throttleAndEvict = false;
  const auto policy = [aSeed](const PlacementOptions& aOptions) {
    return PlacementPolicy(aOptions, std::mt19937_64(aSeed));
  };
  PolicyComparison result;
  result.scenario = aScenario;
  result.weights = aWeights;
  result.seed = aSeed;
  result.scores.push_back(score("chosen", policy(chosen), scenario, aSeed));
  result.scores.push_back(score("no-interference", policy(unaware), scenario, aSeed));
  result.scores.push_back(score("no-reaction", policy(passive), scenario, aSeed));
  result.scores.push_back(score("first-fit", FirstFitPolicy(), scenario, aSeed));
  const ScenarioOutcome& first = result.scores.front().outcome;
  result.aloneP50Ms = quantile(first.aloneMs, kP50);
  result.aloneP99Ms = quantile(first.aloneMs, kP99);
  result.aloneP999Ms = quantile(first.aloneMs, kP999);
  result.boundCoreHours = first.boundCoreHours;
  result.ruleBoundCoreHours = first.ruleBoundCoreHours;
  return result;
}

void
printTable(const PolicyComparison& aComparison, std::ostream& aOut)
{
  aOut << "scenario " << aComparison.scenario << ", weights " << aComparison.weights << ", seed "
       << aComparison.seed << "\n"
       << std::left << std::setw(16) << "policy" << std::right;
  for (const char* column : { "p50 ms",
                              "p99 ms",
                              "p99.9 ms",
                              "p99/alone",
                              "core h",
                              "of bound",
                              "of rule b.",
                              "held",
                              "completed",
                              "evictions",
                              "failures",
                              "out of mem",
                              "lost",
                              "impossible",
                              "throttles" }) {
    aOut << std::setw(11) << column;
  }
  aOut << "\n" << std::fixed;
  for (const PolicyScore& row : aComparison.scores) {
    const ScenarioOutcome& outcome = row.outcome;
    aOut << std::left << std::setw(16) << row.policy << std::right << std::setprecision(1)
         << std::setw(11) << row.p50Ms << std::setw(11) << row.p99Ms << std::setw(11) << row.p999Ms
         << std::setprecision(2) << std::setw(11) << row.p99Ms / aComparison.aloneP99Ms
         << std::setprecision(1) << std::setw(11) << outcome.usefulCoreHours << std::setprecision(3)
         << std::setw(11) << outcome.usefulCoreHours / outcome.boundCoreHours << std::setw(11)
         << outcome.usefulCoreHours / outcome.ruleBoundCoreHours << std::setw(11)
         << outcome.heldShare << std::setw(11) << outcome.completed << std::setw(11)
         << outcome.evictions << std::setw(11) << outcome.failures << std::setw(11)
         << outcome.outOfMemory << std::setw(11) << outcome.lost << std::setw(11)
         << outcome.toldImpossible << std::setw(11) << outcome.throttles << "\n";
  }
  aOut << std::left << std::setw(16) << "bound" << std::right << std::setprecision(1)
       << std::setw(11) << aComparison.aloneP50Ms << std::setw(11) << aComparison.aloneP99Ms
       << std::setw(11) << aComparison.aloneP999Ms << std::setw(11) << "1.00" << std::setw(11)
       << aComparison.boundCoreHours << std::setw(11) << "1.000" << std::setprecision(3)
       << std::setw(11) << aComparison.boundCoreHours / aComparison.ruleBoundCoreHours
       << std::setw(11) << "1.000" << std::setw(11) << "-" << std::setw(11) << 0 << "\n";
}

void
printJson(const PolicyComparison& aComparison, std::ostream& aOut)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const PolicyScore& row : aComparison.scores) {
    rows.push_back({ { "policy", row.policy },
                     { "p50Ms", row.p50Ms },
                     { "p99Ms", row.p99Ms },
                     { "p999Ms", row.p999Ms },
                     { "usefulCoreHours", row.outcome.usefulCoreHours },
                     { "heldShare", row.outcome.heldShare },
                     { "completed", row.outcome.completed },
                     { "evictions", row.outcome.evictions },
                     { "failures", row.outcome.failures },
                     { "outOfMemory", row.outcome.outOfMemory },
                     { "lost", row.outcome.lost },
                     { "toldImpossible", row.outcome.toldImpossible },
                     { "throttles", row.outcome.throttles } });
  }
  const nlohmann::json bound = { { "p50Ms", aComparison.aloneP50Ms },
                                 { "p99Ms", aComparison.aloneP99Ms },
                                 { "p999Ms", aComparison.aloneP999Ms },
                                 { "usefulCoreHours", aComparison.boundCoreHours },
                                 { "ruleCoreHours", aComparison.ruleBoundCoreHours },
                                 { "evictions", 0 } };
  const nlohmann::json result = { { "scenario", aComparison.scenario },
                                  { "weights", aComparison.weights },
                                  { "seed", aComparison.seed },
                                  { "scores", rows },
                                  { "bound", bound } };
  aOut << result.dump(2) << "\n";
}

} // namespace magnoliadrum
