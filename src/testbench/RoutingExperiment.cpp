#include "testbench/RoutingExperiment.h"

#include "routing/routing.h"
#include "testbench/RoutingModel.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <random>

namespace magnoliadrum {

namespace {

using namespace routing_model;

constexpr int kExecutors = 11;
constexpr std::int64_t kSlots = 8;
constexpr std::int64_t kNetworkUs = 1000;
constexpr std::int64_t kDeadlineUs = 250000;
constexpr std::int64_t kStatusUs = 500000;
constexpr std::int64_t kRetryScanUs = 10000;
constexpr std::size_t kQueueLength = 256;
/** From the moment at which a target starts to leave until the gateways know. */
constexpr std::int64_t kAnnouncementUs = 1000000;
constexpr const char* kEntry = "entry";

/** Which fault a scenario has, from one third to two thirds of the run. */
enum class Scenario
{
  eSteady,
  eSlowTargets,
  eLeavingTarget,
  eBurst,
  eUnequalSlots
};

struct NamedScenario
{
  const char* mName;
  Scenario mScenario;
};

constexpr NamedScenario kScenarios[] = {
  { "steady", Scenario::eSteady },
  { "slow-targets", Scenario::eSlowTargets },
  { "leaving-target", Scenario::eLeavingTarget },
  { "burst", Scenario::eBurst },
  { "unequal-slots", Scenario::eUnequalSlots },
};

constexpr int kSlowExecutors = 2;
constexpr double kSlowFactor = 10;
constexpr double kBurstFactor = 3;
constexpr std::int64_t kFewSlots = 4;

struct RoutingScore
{
  std::vector<double> mLatenciesMs;
  std::int64_t mOffered = 0;
  std::int64_t mRefused = 0;
  std::int64_t mTimedOut = 0;
  std::int64_t mAgentRefusals = 0;
};

/** The routing of one gateway, built from the classes of module routing. */
template<SelectionRule Rule>
class Gateway
{
public:
  Gateway(Simulation& aSimulation,
          std::vector<Executor>& aExecutors,
          RoutingScore& aScore,
          std::uint64_t aSeed,
          bool aEject)
    : mSimulation(aSimulation)
    , mExecutors(aExecutors)
    , mScore(aScore)
    , mSelector(RandomEngine(aSeed))
    , mQueue({ kQueueLength, std::size_t{ 1 } << 30 })
    , mBudget(0.1)
    , mEject(aEject)
    , mLoads(aExecutors.size())
    , mKnownLeaving(aExecutors.size(), false)
  {
    std::vector<std::string> ids;
    for (std::size_t index = 0; index < aExecutors.size(); index++) {
      mLoads[index].setSlots(aExecutors[index].slots());
      ids.push_back(std::to_string(index));
    }
    mOutliers.setTargets(ids);
  }

  void submit()
  {
    mScore.mOffered++;
    const std::uint64_t request = mNextRequest++;
    mSubmittedUs.push_back(mSimulation.nowUs());
    mBudget.recordFirstAttempt();
    if (mQueue.size() > 0 || !dispatch(request)) {
      enqueue(request);
    }
  }

  /** Handles deadlines and retries of requests that wait. */
  void scan()
  {
    drop(mQueue.dropExpired(mSimulation.now()));
    pump();
  }

  void takeStatus(std::size_t aIndex)
  {
    mLoads[aIndex].recordReport(mExecutors[aIndex].outstanding(), mSimulation.now());
    pump();
  }

  void takeAnnouncement(std::size_t aIndex) { mKnownLeaving[aIndex] = true; }

private:
  using Availability = OutlierDetector::Availability;

  void enqueue(std::uint64_t aRequest)
  {
    const Deadline deadline =
      MonotonicTime::fromMs((mSubmittedUs[aRequest] + kDeadlineUs) / kUsPerMs);
    drop(mQueue.push(
      { aRequest, kEntry, WorkClass::eLatencyCritical, deadline, 1, kDeadlineUs / kUsPerMs },
      mSimulation.now()));
  }

  void drop(const std::vector<DroppedRequest>& aDropped)
  {
    mScore.mRefused += static_cast<std::int64_t>(aDropped.size());
  }

  void pump()
  {
    while (mQueue.size() > 0 && !free().empty()) {
      const PoppedRequest popped =
        mQueue.pop(kEntry, mSimulation.now(), mResponseTime.requiredMs());
      drop(popped.mDropped);
      if (!popped.mRequest || !dispatch(*popped.mRequest)) {
        return;
      }
    }
  }

  std::vector<std::size_t> free() const
  {
    std::vector<std::size_t> free;
    for (std::size_t index = 0; index < mExecutors.size(); index++) {
      const bool isEjected =
        mEject &&
        mOutliers.availability(std::to_string(index), mSimulation.now()) == Availability::eEjected;
      if (!mKnownLeaving[index] && !isEjected && mLoads[index].hasFreeSlot(mSimulation.now())) {
        free.push_back(index);
      }
    }
    return free;
  }

  std::optional<std::size_t> choose()
  {
    const std::vector<std::size_t> indexes = free();
    if (indexes.empty()) {
      return std::nullopt;
    }
    std::vector<TargetCandidate> candidates;
    for (const std::size_t index : indexes) {
      if (mEject && mOutliers.availability(std::to_string(index), mSimulation.now()) ==
                      Availability::eProbe) {
        mOutliers.beginProbe(std::to_string(index));
        return index;
      }
      candidates.push_back({ mLoads[index].outstanding(mSimulation.now()), mLoads[index].slots() });
    }
    return indexes[mSelector.select(candidates)];
  }

  bool dispatch(std::uint64_t aRequest)
  {
    const std::optional<std::size_t> index = choose();
    if (!index) {
      return false;
    }
    mLoads[*index].recordDispatch();
    const std::int64_t startedUs = mSimulation.nowUs();
    mSimulation.after(kNetworkUs, [this, aRequest, target = *index, startedUs]() {
      const auto answer = [this, aRequest, target, startedUs]() {
        mSimulation.after(kNetworkUs, [=, this]() { onAnswer(aRequest, target, startedUs); });
      };
      if (!mExecutors[target].start(answer)) {
        mSimulation.after(kNetworkUs, [=, this]() { onRefused(aRequest, target); });
      }
    });
    return true;
  }

  void onAnswer(std::uint64_t aRequest, std::size_t aTarget, std::int64_t aStartedUs)
  {
    mLoads[aTarget].recordEnd();
    mLoads[aTarget].recordReport(mExecutors[aTarget].outstanding(), mSimulation.now());
    const std::int64_t latencyMs = (mSimulation.nowUs() - aStartedUs) / kUsPerMs;
    mOutliers.recordResponse(std::to_string(aTarget), true, latencyMs, mSimulation.now());
    mResponseTime.record(latencyMs);
    const std::int64_t elapsedUs = mSimulation.nowUs() - mSubmittedUs[aRequest];
    if (elapsedUs > kDeadlineUs) {
      mScore.mTimedOut++;
    } else {
      mScore.mLatenciesMs.push_back(static_cast<double>(elapsedUs) / kUsPerMs);
    }
    pump();
  }

  void onRefused(std::uint64_t aRequest, std::size_t aTarget)
  {
    mScore.mAgentRefusals++;
    mLoads[aTarget].recordEnd();
    mLoads[aTarget].recordReport(mLoads[aTarget].slots(), mSimulation.now());
    mOutliers.cancelProbe(std::to_string(aTarget));
    if (mExecutors[aTarget].isLeaving()) {
      // The agent says so in its refusal; the gateway need not wait for the announcement.
      mKnownLeaving[aTarget] = true;
      if (!mBudget.tryConsumeRetry()) {
        mScore.mRefused++;
        return;
      }
    }
    enqueue(aRequest);
    pump();
  }

  Simulation& mSimulation;
  std::vector<Executor>& mExecutors;
  RoutingScore& mScore;
  TargetSelector<Rule> mSelector;
  RequestQueue mQueue;
  RetryBudget mBudget;
  OutlierDetector mOutliers;
  bool mEject;
  std::vector<TargetLoad> mLoads;
  std::vector<bool> mKnownLeaving;
  ResponseTimeEstimator mResponseTime;
  std::uint64_t mNextRequest = 0;
  std::vector<std::int64_t> mSubmittedUs;
};

/** One run of one scenario with one rule. */
template<SelectionRule Rule>
class RoutingRun
{
public:
  RoutingRun(const RoutingExperimentOptions& aOptions, Scenario aScenario, bool aEject)
    : mOptions(aOptions)
    , mScenario(aScenario)
    , mRandom(aOptions.mSeed)
  {
    for (int index = 0; index < kExecutors; index++) {
      const bool hasFewSlots = aScenario == Scenario::eUnequalSlots && index % 2 == 1;
      mExecutors.emplace_back(mSimulation, mRandom, hasFewSlots ? kFewSlots : kSlots);
    }
    mGateways.reserve(static_cast<std::size_t>(aOptions.mGateways));
    for (int index = 0; index < aOptions.mGateways; index++) {
      mGateways.emplace_back(mSimulation,
                             mExecutors,
                             mScore,
                             aOptions.mSeed + 100 + static_cast<unsigned>(index),
                             aEject);
    }
  }

  RoutingScore run()
  {
    scheduleFault();
    scheduleArrival();
    every(kStatusUs, [this]() { reportStatus(); });
    every(kRetryScanUs, [this]() { scanGateways(); });
    mSimulation.run();
    return std::move(mScore);
  }

private:
  std::int64_t endUs() const { return mOptions.mDurationMs * kUsPerMs; }

  bool isFaultActive() const
  {
    return mSimulation.nowUs() >= endUs() / 3 && mSimulation.nowUs() < endUs() * 2 / 3;
  }

  void every(std::int64_t aPeriodUs, const std::function<void()>& aCallback)
  {
    mSimulation.after(aPeriodUs, [this, aPeriodUs, aCallback]() {
      aCallback();
      // Requests that are under way at the end of the load still need the periodic work.
      if (mSimulation.nowUs() < endUs() + 2 * kDeadlineUs) {
        every(aPeriodUs, aCallback);
      }
    });
  }

  void reportStatus()
  {
    for (std::size_t index = 0; index < mExecutors.size(); index++) {
      for (Gateway<Rule>& gateway : mGateways) {
        gateway.takeStatus(index);
      }
    }
  }

  void scanGateways()
  {
    for (Gateway<Rule>& gateway : mGateways) {
      gateway.scan();
    }
  }

  void scheduleFault()
  {
    const std::int64_t beginUs = endUs() / 3;
    if (mScenario == Scenario::eSlowTargets) {
      mSimulation.after(beginUs, [this]() { setSlowdown(kSlowFactor); });
      mSimulation.after(2 * beginUs, [this]() { setSlowdown(1); });
    }
    if (mScenario == Scenario::eLeavingTarget) {
      mSimulation.after(beginUs, [this]() { mExecutors.front().leave(); });
      mSimulation.after(beginUs + kAnnouncementUs, [this]() {
        for (Gateway<Rule>& gateway : mGateways) {
          gateway.takeAnnouncement(0);
        }
      });
    }
  }

  void setSlowdown(double aFactor)
  {
    for (int index = 0; index < kSlowExecutors; index++) {
      mExecutors[static_cast<std::size_t>(index)].setSlowdown(aFactor);
    }
  }

  void scheduleArrival()
  {
    std::int64_t slots = 0;
    for (const Executor& executor : mExecutors) {
      slots += executor.slots();
    }
    double perMs = static_cast<double>(slots) / kMeanServiceMs * mOptions.mUtilization;
    if (mScenario == Scenario::eBurst && isFaultActive()) {
      perMs *= kBurstFactor;
    }
    const double gapMs = std::exponential_distribution<double>(perMs)(mRandom);
    mSimulation.after(static_cast<std::int64_t>(gapMs * kUsPerMs), [this]() {
      if (mSimulation.nowUs() >= endUs()) {
        return;
      }
      std::uniform_int_distribution<std::size_t> anyGateway(0, mGateways.size() - 1);
      mGateways[anyGateway(mRandom)].submit();
      scheduleArrival();
    });
  }

  RoutingExperimentOptions mOptions;
  Scenario mScenario;
  std::mt19937_64 mRandom;
  Simulation mSimulation;
  RoutingScore mScore;
  std::vector<Executor> mExecutors;
  std::vector<Gateway<Rule>> mGateways;
};

double
quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const std::ptrdiff_t index =
    static_cast<std::ptrdiff_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + index, aValues.end());
  return aValues[static_cast<std::size_t>(index)];
}

template<SelectionRule Rule>
void
printRow(const RoutingExperimentOptions& aOptions,
         const NamedScenario& aScenario,
         const char* aRule,
         bool aEject,
         std::ostream& aOut)
{
  RoutingScore score = RoutingRun<Rule>(aOptions, aScenario.mScenario, aEject).run();
  const auto share = [&](std::size_t aCount) {
    return 100.0 * static_cast<double>(aCount) / static_cast<double>(score.mOffered);
  };
  aOut << "| " << aScenario.mName << " | " << aRule << " | " << (aEject ? "yes" : "no") << " | "
       << std::fixed << std::setprecision(1) << quantile(score.mLatenciesMs, 0.5) << " | "
       << quantile(score.mLatenciesMs, 0.99) << " | " << quantile(score.mLatenciesMs, 0.999)
       << " | " << std::setprecision(3) << share(score.mLatenciesMs.size()) << " | "
       << score.mRefused << " | " << score.mTimedOut << " | " << score.mAgentRefusals << " | "
       << score.mOffered << " |\n";
}

void
printScenario(const RoutingExperimentOptions& aOptions,
              const NamedScenario& aScenario,
              std::ostream& aOut)
{
  for (const bool eject : { false, true }) {
    printRow<RandomSelection>(aOptions, aScenario, "random", eject, aOut);
    printRow<LeastOutstandingOfTwo>(aOptions, aScenario, "least of two", eject, aOut);
    printRow<LeastRelativeLoadOfTwo>(aOptions, aScenario, "least relative of two", eject, aOut);
    printRow<LeastRelativeLoadOfAll>(aOptions, aScenario, "least relative of all", eject, aOut);
  }
}

} // namespace

std::vector<std::string>
routingScenarioNames()
{
  std::vector<std::string> names;
  for (const NamedScenario& scenario : kScenarios) {
    names.emplace_back(scenario.mName);
  }
  return names;
}

Result<Done>
runRoutingExperiment(const RoutingExperimentOptions& aOptions, std::ostream& aOut)
{
  const std::vector<std::string> names = routingScenarioNames();
  if (aOptions.mScenario != "all" &&
      std::find(names.begin(), names.end(), aOptions.mScenario) == names.end()) {
    return Error::create(
      ErrorCode::eNotFound, "routing experiment", "local", "no scenario " + aOptions.mScenario);
  }
  aOut << "| scenario | rule | ejection | p50 ms | p99 ms | p99.9 ms | goodput % | refused | "
          "timed out | agent refusals | offered |\n"
       << "|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const NamedScenario& scenario : kScenarios) {
    if (aOptions.mScenario == "all" || aOptions.mScenario == scenario.mName) {
      printScenario(aOptions, scenario, aOut);
    }
  }
  return Done{};
}

} // namespace magnoliadrum
