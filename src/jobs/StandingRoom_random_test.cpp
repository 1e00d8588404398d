#include "jobs/JobsFixture.h"
#include "jobs/StandingWaitMeter.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr std::int64_t kStepMs = 100;
constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

/** "From 6 s after its last run": the wait in ms that callers take for an ordinary restart. */
constexpr std::int64_t kToleratedMs = StandingWaitMeter::kToleratedMs;
/** "For 3 s ... there is capacity for it twice over". */
constexpr std::int64_t kRoomMs = 3000;
/** "If these 3 s and the 4 s before them are calm": a crash, a lost worker or a change of the
 * leader isn't. A failed run and a worker that drains are. */
constexpr std::int64_t kCalmMs = 4000;
/** Longest time in ms without a start of a short task while one waits that some worker could hold
 * beside its standing runs. */
constexpr std::int64_t kLongestShortPauseMs = 5000;

/** A worker and what is wrong with it. */
struct PoolWorker
{
  WorkerCandidate description;
  /** It fails the runs that it starts until then. */
  std::int64_t failsUntilMs = 0;
  /** It rejects starts as unhealthy instead of failing them. */
  bool isRejecting = false;
  /** It leaves, and gets no runs any more; its runs end at awayFromMs. */
  std::int64_t awayFromMs = kNever;
  std::int64_t awayUntilMs = 0;
  /** Its runs lapse instead of being stopped by it. */
  bool isLost = false;

  bool isOpen(std::int64_t aNowMs) const { return awayFromMs == kNever && awayUntilMs <= aNowMs; }
  bool isFailing(std::int64_t aNowMs) const { return aNowMs < failsUntilMs; }
};

/** What the runs of a job do. Each job has one step. */
struct PoolJob
{
  JobStep step;
  std::int64_t priority = 0;
  /** Run time of a short run; of a standing one if its task fails everywhere. */
  std::int64_t runMs = kNever;
  /** Runs of 100 that fail. */
  std::int64_t failPercent = 0;
  /** Time after which each run crashes its worker. */
  std::int64_t crashAfterMs = kNever;
};

struct PoolRun
{
  TaskId task;
  std::int64_t run = 0;
  std::string worker;
  std::int64_t startedAtMs = 0;
  std::int64_t endsAtMs = kNever;
  std::int64_t crashesAtMs = kNever;
  RunEnd how = RunEnd::eDone;
  bool isStopping = false;
  /** The reliability of the worker includes this standing run. */
  bool isCountedAsSuccess = false;
};

/** What a pool draws. */
enum class PoolEvents
{
  eSound, /**< Its workers neither crash nor fail their runs, nor do its jobs. */
  eAll
};

/** Where a waiting task has room. */
enum class SeenRoom
{
  eLeftFree,    /**< Reading A or B holds after each round. */
  eTaken,       /**< Reading A or B holds before each round: seen from outside, room is free between
                   the end of a short run and the next start, too. */
  eOfShortRuns, /**< Reading D holds after each round, for a task of the first priority. */
};

const char*
toText(SeenRoom aRoom)
{
  switch (aRoom) {
    case SeenRoom::eLeftFree:
      return "room is left free";
    case SeenRoom::eTaken:
      return "room is taken by others";
    case SeenRoom::eOfShortRuns:
      break;
  }
  return "short runs have room";
}

/** A kind of fault: the room, and what keeps the task out. */
using FaultKind = std::pair<SeenRoom, std::string>;

/** For how long on end a waiting task has had room. */
struct Reads
{
  std::array<std::int64_t, kRoomReadings> readMs{};
  std::map<SeenRoom, std::int64_t> seenMs{};
};

/** How long waits beside room were, over all seeds. */
struct RoomTotals
{
  /** Seeds in which a standing task waits beside room, by what keeps it out. */
  std::map<FaultKind, std::int64_t> broken{};
  std::int64_t shortRuns = 0;
  std::int64_t standingRuns = 0;
  std::int64_t crashes = 0;
  std::int64_t suspects = 0;
  std::int64_t limitedSteps = 0;
  std::int64_t overdueSteps = 0;
  /** Steps of overdue tasks by RoomReading, and the longest time on end. */
  std::array<std::int64_t, kRoomReadings> steps{};
  std::array<std::int64_t, kRoomReadings> longestMs{};
};

/**
 * A pool in steps of virtual time, drawn by seed, with standing and short jobs of two priorities,
 * crowds, failures, crashes, draining and lost workers and new leaders.
 *
 * Left out are gangs and opportunistic tasks, for which the readings don't tell whether there is
 * room: a gang needs room for all its tasks, an opportunistic task unused processor time.
 */
class RandomPool
{
public:
  RandomPool(unsigned aSeed, PoolEvents aEvents, RoomTotals& aTotals)
    : mRandom(aSeed)
    , mEvents(aEvents)
    , mTotals(aTotals)
    , mJobs(registryWithQueues())
  {
    drawWorkers();
    drawRates();
    drawStandingJobs();
  }

  void run()
  {
    constexpr std::int64_t kPlayedMs = 30000;
    while (mNowMs < kPlayedMs) {
      mNowMs += kStepMs;
      moveWorkers();
      drawEvents();
      submitJobs();
      if (mNowMs >= mLeaderFromMs) {
        endRuns();
        const std::vector<WorkerCandidate> before = candidates();
        schedule(before);
        check(before, candidates());
      }
    }
  }

  /** What was seen first of each kind. */
  const std::map<FaultKind, std::string>& faults() const { return mFaults; }

private:
  // Drawing

  std::int64_t pick(std::int64_t aLow, std::int64_t aHigh)
  {
    return std::uniform_int_distribution<std::int64_t>(aLow, aHigh)(mRandom);
  }

  bool isDrawn(std::int64_t aPercent) { return pick(1, 100) <= aPercent; }

  void drawWorkers()
  {
    const std::int64_t count = pick(2, 12);
    const bool isLabelled = isDrawn(35);
    for (std::int64_t index = 0; index < count; index++) {
      const std::int64_t cpuMilli = isDrawn(33) ? 96000 : 64000;
      PoolWorker worker{ .description =
                           workerOf("w" + std::to_string(index), cpuMilli, cpuMilli * 4) };
      worker.description.relay = "relay" + std::to_string(index);
      if (isLabelled && isDrawn(60)) {
        worker.description.labels.push_back("b");
      }
      mCpuMilli += cpuMilli;
      mWorkers.emplace(worker.description.worker, worker);
    }
    mHasLabels = isLabelled;
  }

  /** The events of a seed, each as the mean time between two of a kind in ms; 0 for none. */
  void drawRates()
  {
    const auto rate = [this](std::int64_t aPercent, std::int64_t aLowMs, std::int64_t aHighMs) {
      return isDrawn(aPercent) ? pick(aLowMs, aHighMs) : 0;
    };
    mCrashMs = rate(25, 10000, 30000);
    mLossMs = rate(20, 12000, 30000);
    mLeaderMs = rate(20, 12000, 30000);
    mDrainMs = rate(30, 6000, 20000);
    mFailingMs = rate(40, 4000, 15000);
    mRunFailureMs = rate(60, 1000, 10000);
    mCancelMs = rate(20, 5000, 15000);
    mDeadlyPercent = isDrawn(15) ? pick(1, 3) : 0;
    mBadPercent = isDrawn(30) ? pick(2, 20) : 0;
    if (mEvents == PoolEvents::eSound) {
      mCrashMs = 0;
      mFailingMs = 0;
      mDeadlyPercent = 0;
      mBadPercent = 0;
      mRareFailurePercent = 0;
    }
    mShortShare = pick(10, 70);
    mCrowdFromMs = pick(0, 20000);
    mCrowdUntilMs = mCrowdFromMs + pick(5000, 30000);
    mCrowdShare = pick(100, 250);
    mLargestShortCpuMilli = isDrawn(25) ? 16000 : 4000;
    mShortPriorityPercent = pick(0, 100);
  }

  void drawStandingJobs()
  {
    const std::int64_t wanted = mCpuMilli * pick(30, 115) / 100;
    const std::int64_t smallest = pick(1, 16) * 1000;
    const std::int64_t largest = smallest + pick(0, 20) * 1000;
    for (std::int64_t cpuMilli = 0; cpuMilli < wanted;) {
      JobStep::Fields step = stepOf(pick(1, 8), pick(smallest, largest), pick(100, 4000));
      step.longRunning = true;
      step.latencyObjectiveMs = isDrawn(60) ? 150 : 0;
      step.image = "image" + std::to_string(pick(0, 4));
      step.requiredLabel = mHasLabels && isDrawn(30) ? "b" : "";
      step.maxPerWorker = isDrawn(20) ? pick(1, 3) : 0;
      cpuMilli += step.count * step.resources.cpuMilli();
      mStandingAt.emplace(isDrawn(70) ? kStepMs : pick(1, 200) * kStepMs, step);
    }
  }

  bool isDue(std::int64_t aMeanMs) { return aMeanMs > 0 && pick(1, aMeanMs) <= kStepMs; }

  PoolWorker* drawOpenWorker()
  {
    const auto position = std::next(mWorkers.begin(), pick(0, std::ssize(mWorkers) - 1));
    return position->second.isOpen(mNowMs) ? &position->second : nullptr;
  }

  // Events

  void drawEvents()
  {
    if (isDue(mCrashMs)) {
      if (PoolWorker* worker = drawOpenWorker()) {
        crash(*worker);
      }
    }
    if (isDue(mLossMs)) {
      if (PoolWorker* worker = drawOpenWorker()) {
        constexpr std::int64_t kLeaseMs = 2000;
        leave(*worker, mNowMs + kLeaseMs, pick(1000, 20000));
        worker->isLost = true;
        mDisturbedAtMs = mNowMs;
      }
    }
    if (isDue(mDrainMs)) {
      if (PoolWorker* worker = drawOpenWorker()) {
        leave(*worker, mNowMs + pick(500, 4000), pick(500, 10000));
      }
    }
    if (isDue(mFailingMs)) {
      if (PoolWorker* worker = drawOpenWorker()) {
        worker->failsUntilMs = mNowMs + pick(1000, 15000);
        worker->isRejecting = isDrawn(30);
      }
    }
    if (isDue(mLeaderMs)) {
      mLeaderFromMs = mNowMs + pick(300, 2000);
      mReliability.clear();
      mDisturbedAtMs = mNowMs;
    }
    if (isDue(mRunFailureMs)) {
      failStandingRun();
    }
    if (isDue(mCancelMs)) {
      cancelStandingJob();
    }
  }

  static void leave(PoolWorker& aWorker, std::int64_t aFromMs, std::int64_t aForMs)
  {
    aWorker.awayFromMs = aFromMs;
    aWorker.awayUntilMs = aFromMs + aForMs;
    aWorker.isLost = false;
  }

  /** Ends the runs of the workers that have left, and takes those back that return. */
  void moveWorkers()
  {
    for (auto& [id, worker] : mWorkers) {
      if (worker.awayFromMs <= mNowMs) {
        worker.awayFromMs = kNever;
        worker.description.startedAtMs = worker.awayUntilMs;
        endRunsOf(id, worker.isLost ? RunEnd::eLapsed : RunEnd::eStopped);
      }
    }
  }

  void endRunsOf(const std::string& aWorker, RunEnd aHow)
  {
    for (auto& [name, run] : mRuns) {
      if (run.worker == aWorker) {
        run.endsAtMs = mNowMs;
        run.crashesAtMs = kNever;
        run.how = aHow;
      }
    }
  }

  /** Ends all runs of a worker, with the part of each in the blame. */
  void crash(PoolWorker& aWorker)
  {
    mTotals.crashes++;
    mDisturbedAtMs = mNowMs;
    std::vector<RunAtCrash> atCrash;
    std::vector<RunEnding::Fields> ends;
    const bool isWitnessed = isDrawn(80);
    for (const auto& [name, run] : mRuns) {
      if (run.worker != aWorker.description.worker) {
        continue;
      }
      const std::int64_t ranMs = mNowMs - run.startedAtMs;
      ends.push_back({ .task = name, .run = run.run, .how = RunEnd::eLapsed, .ranMs = ranMs });
      const JobTaskRecord::Fields* record = recordOf(run.task);
      if (record == nullptr || mJobs.find(run.task.jobId)->isFinished()) {
        atCrash.push_back({ .ranMs = CrashAttribution::kLongestCrashDelayMs + 1 });
        continue;
      }
      const bool mayHaveEnded =
        CrashAttribution::mayHaveEnded(jobOfTask(run.task).step, ranMs, 0, kStepMs);
      ends.back().harmless = ranMs >= CrashAttribution::provingMs(*record);
      ends.back().crashCertain = isWitnessed && !mayHaveEnded;
      atCrash.push_back({ .ranMs = ranMs,
                          .hasBegun = true,
                          .mayHaveEnded = mayHaveEnded,
                          .harmlessMs = record->harmlessMs,
                          .suspicion = record->suspicion });
    }
    const std::vector<std::int64_t> shares = CrashAttribution::shares(atCrash);
    const std::int64_t suspects =
      std::count_if(atCrash.begin(), atCrash.end(), [](const RunAtCrash& aRun) {
        return aRun.ranMs <= CrashAttribution::kLongestCrashDelayMs;
      });
    EndRuns::Fields command;
    for (std::size_t index = 0; index < ends.size(); index++) {
      if (atCrash[index].ranMs <= CrashAttribution::kLongestCrashDelayMs) {
        ends[index].crashSuspects = suspects;
        ends[index].crashShare = shares[index];
        ends[index].harmless =
          ends[index].harmless && shares[index] < CrashAttribution::kTrialSuspicion;
      }
      forget(ends[index].task);
      command.ends.push_back(valueOf(RunEnding::create(ends[index])));
    }
    mTotals.suspects += suspects;
    mJobs.apply(valueOf(EndRuns::create(std::move(command))));
    aWorker.awayUntilMs = mNowMs + pick(500, 5000);
    aWorker.description.startedAtMs = aWorker.awayUntilMs;
  }

  /** The names of the standing runs. */
  std::vector<std::string> standingRuns() const
  {
    std::vector<std::string> names;
    for (const auto& [name, run] : mRuns) {
      if (jobOfTask(run.task).step.longRunning()) {
        names.push_back(name);
      }
    }
    return names;
  }

  void failStandingRun()
  {
    const std::vector<std::string> names = standingRuns();
    if (!names.empty()) {
      PoolRun& run = mRuns.at(names[static_cast<std::size_t>(pick(0, std::ssize(names) - 1))]);
      run.endsAtMs = std::min(run.endsAtMs, mNowMs);
      run.how = RunEnd::eFailed;
    }
  }

  void cancelStandingJob()
  {
    const std::vector<std::string> names = standingRuns();
    if (names.empty()) {
      return;
    }
    const std::string jobId =
      TaskId::parse(names[static_cast<std::size_t>(pick(0, std::ssize(names) - 1))])->jobId;
    mJobs.apply(valueOf(CancelJob::create({ .jobId = jobId })));
    for (auto& [name, run] : mRuns) {
      if (run.task.jobId == jobId) {
        stop(run);
      }
    }
  }

  void stop(PoolRun& aRun)
  {
    aRun.isStopping = true;
    aRun.endsAtMs = std::min(aRun.endsAtMs, mNowMs + pick(1, 3) * kStepMs);
    aRun.how = RunEnd::eStopped;
  }

  // Jobs

  void submit(const std::string& aJobId, const JobStep::Fields& aStep, PoolJob aJob)
  {
    aJob.priority = aJob.priority == 0 ? 0 : 2;
    mJobs.apply(
      submitOf(aJob.priority == 0 ? "urgent" : "tally", jobOf(aJobId, { aStep }), mNowMs));
    mJobModels.emplace(aJobId, std::move(aJob));
    mAcceptedAtMs[aJobId] = mNowMs;
  }

  void submitJobs()
  {
    for (auto position = mStandingAt.begin();
         position != mStandingAt.end() && position->first <= mNowMs;
         position = mStandingAt.erase(position)) {
      const JobStep::Fields& step = position->second;
      PoolJob job{ .step = valueOf(JobStep::create(step)), .priority = isDrawn(70) ? 0 : 2 };
      if (isDrawn(mBadPercent)) {
        job.runMs = pick(200, 3000);
        job.failPercent = 100;
      }
      if (isDrawn(mDeadlyPercent)) {
        job.crashAfterMs = pick(100, 3000);
      }
      mStandingJobs++;
      submit("s" + std::to_string(mStandingJobs), step, std::move(job));
    }
    submitShortJobs();
  }

  /** Submits short jobs until the work that was demanded is met; a few wait at most. */
  void submitShortJobs()
  {
    const bool isCrowd = mNowMs >= mCrowdFromMs && mNowMs < mCrowdUntilMs;
    mDemand += mCpuMilli * (isCrowd ? mCrowdShare : mShortShare) / 100 * kStepMs;
    const std::int64_t mostWaiting = mCpuMilli;
    while (mDemand > 0) {
      JobStep::Fields step = stepOf(pick(1, 12), pick(500, mLargestShortCpuMilli), pick(50, 1000));
      PoolJob job{ .step = valueOf(JobStep::create(step)),
                   .priority = isDrawn(mShortPriorityPercent) ? 2 : 0,
                   .runMs = pick(300, 3000) };
      step.estimateMs = job.runMs;
      step.requiredLabel = mHasLabels && isDrawn(10) ? "b" : "";
      job.step = valueOf(JobStep::create(step));
      job.failPercent = isDrawn(mBadPercent) ? 100 : isDrawn(mRareFailurePercent) ? 30 : 0;
      if (isDrawn(mDeadlyPercent)) {
        job.crashAfterMs = pick(100, 3000);
      }
      mDemand -= step.count * step.resources.cpuMilli() * job.runMs;
      if (mWaitingShortCpuMilli < mostWaiting) {
        mWaitingShortCpuMilli += step.count * step.resources.cpuMilli();
        mShortJobs++;
        submit("z" + std::to_string(mShortJobs), step, std::move(job));
      }
    }
  }

  const PoolJob& jobOfTask(const TaskId& aTask) const { return mJobModels.at(aTask.jobId); }

  const JobTaskRecord::Fields* recordOf(const TaskId& aTask) const
  {
    const Job* job = mJobs.find(aTask.jobId);
    return job == nullptr ? nullptr : job->find(aTask);
  }

  // Runs

  void forget(const std::string& aTask)
  {
    mEndedAtMs[aTask] = mNowMs;
    mRuns.erase(aTask);
  }

  /** Counts the standing runs that have worked for long enough as successes of their workers. */
  void recordStandingRuns()
  {
    for (auto& [name, run] : mRuns) {
      const std::int64_t ranMs = mNowMs - run.startedAtMs;
      if (jobOfTask(run.task).step.longRunning() &&
          ranMs >= WorkerReliability::kStandingSuccessMs &&
          !std::exchange(run.isCountedAsSuccess, true)) {
        mReliability.recordStandingRun(run.worker, now().plusMs(-ranMs), now());
      }
    }
  }

  void endRuns()
  {
    std::vector<std::string> crashed;
    for (const auto& [name, run] : mRuns) {
      if (run.crashesAtMs <= std::min(mNowMs, run.endsAtMs)) {
        crashed.push_back(run.worker);
      }
    }
    for (const std::string& id : crashed) {
      PoolWorker& worker = mWorkers.at(id);
      if (worker.awayUntilMs <= mNowMs) {
        crash(worker);
      }
    }
    recordStandingRuns();
    EndRuns::Fields command;
    for (auto position = mRuns.begin(); position != mRuns.end();) {
      const auto& [name, run] = *position++;
      if (run.endsAtMs > mNowMs) {
        continue;
      }
      const std::int64_t ranMs = mNowMs - run.startedAtMs;
      const JobTaskRecord::Fields* record = recordOf(run.task);
      if (run.how == RunEnd::eDone || run.how == RunEnd::eFailed || run.how == RunEnd::eNeverRan) {
        recordEnd(run, record);
      }
      mTotals.shortRuns += run.how == RunEnd::eDone ? 1 : 0;
      command.ends.push_back(valueOf(RunEnding::create(
        { .task = name,
          .run = run.run,
          .how = run.how,
          .ranMs = ranMs,
          .harmless = run.how == RunEnd::eDone ||
                      (record != nullptr && ranMs >= CrashAttribution::provingMs(*record)) })));
      forget(std::string(name));
    }
    mJobs.apply(valueOf(EndRuns::create(std::move(command))));
  }

  /** Counts the end of a run for its worker; the record is that before the end. */
  void recordEnd(const PoolRun& aRun, const JobTaskRecord::Fields* aRecord)
  {
    const JobStep& step = jobOfTask(aRun.task).step;
    if (aRun.how != RunEnd::eDone && aRecord != nullptr && isDoubtful(step, *aRecord)) {
      mReliability.recordDoubtfulFailure(aRun.worker, now());
      return;
    }
    mReliability.record(aRun.worker, aRun.how == RunEnd::eDone, now());
    if (aRun.how != RunEnd::eDone && step.longRunning()) {
      mReliability.recordStandingFailure(aRun.worker, now());
    }
  }

  void start(const Assignment& aAssignment)
  {
    const PoolJob& job = jobOfTask(aAssignment.task);
    const std::string worker = aAssignment.start.worker();
    PoolRun run{ .task = aAssignment.task,
                 .run = aAssignment.start.run(),
                 .worker = worker,
                 .startedAtMs = mNowMs };
    const PoolWorker& host = mWorkers.at(worker);
    if (host.isFailing(mNowMs)) {
      run.endsAtMs = mNowMs + pick(1, 3) * kStepMs;
      run.how = host.isRejecting ? RunEnd::eNeverRan : RunEnd::eFailed;
    } else if (job.runMs != kNever) {
      run.endsAtMs = mNowMs + job.runMs * pick(70, 130) / 100;
      run.how = isDrawn(job.failPercent) ? RunEnd::eFailed : RunEnd::eDone;
    }
    if (job.crashAfterMs != kNever) {
      run.crashesAtMs = mNowMs + job.crashAfterMs;
    }
    if (job.step.longRunning()) {
      mTotals.standingRuns++;
    } else {
      mShortStartedAtMs = mNowMs;
    }
    mRuns[aAssignment.task.text()] = std::move(run);
  }

  MonotonicTime now() const { return MonotonicTime::fromMs(mNowMs); }

  /** The open workers as the leader sees them. */
  std::vector<WorkerCandidate> candidates() const
  {
    std::vector<WorkerCandidate> found;
    std::map<std::string, std::size_t> positions;
    std::vector<std::string> names;
    for (const auto& [id, worker] : mWorkers) {
      if (worker.isOpen(mNowMs)) {
        positions[id] = found.size();
        names.push_back(id);
        found.push_back(worker.description);
        const double share = mReliability.successShare(id, now());
        found.back().failureTenths = static_cast<std::int64_t>((1 - share) * 10);
        found.back().failureRank = share >= 0.5 ? 0 : found.back().failureTenths;
        found.back().hasJustFailedStandingRun = mReliability.hasJustFailedStandingRun(id, now());
        found.back().hasJustFailedDoubtfulRun = mReliability.hasJustFailedDoubtfulRun(id, now());
      }
    }
    const std::vector<std::int64_t> limits = mReliability.runLimits(names, now());
    for (std::size_t index = 0; index < found.size(); index++) {
      found[index].maxRuns = limits[index];
    }
    for (const auto& [name, run] : mRuns) {
      const auto position = positions.find(run.worker);
      if (position != positions.end()) {
        addTo(found[position->second], run);
      }
    }
    return found;
  }

  void addTo(WorkerCandidate& aWorker, const PoolRun& aRun) const
  {
    const PoolJob& job = jobOfTask(aRun.task);
    addRun(aWorker, job.step, aRun.task);
    const JobTaskRecord::Fields& record = *recordOf(aRun.task);
    const bool isFinished = mJobs.find(aRun.task.jobId)->isFinished();
    const bool needsTrial = CrashAttribution::needsTrial(record);
    const std::int64_t ranMs = mNowMs - aRun.startedAtMs;
    if (ranMs < kHarmlessRunMs ||
        (needsTrial && !isFinished && ranMs < CrashAttribution::provingMs(record))) {
      aWorker.unprovenRuns++;
      aWorker.suspects += needsTrial ? 1 : 0;
      aWorker.youngSuspects += needsTrial && ranMs < CrashAttribution::kClosedTrialMs ? 1 : 0;
      aWorker.isReserved =
        aWorker.isReserved || (needsTrial && CrashAttribution::needsOwnWorker(job.step, record));
    }
    const bool isOld = ranMs >= WorkerReliability::kStandingSuccessMs;
    if (job.step.longRunning() && (isOld || isDoubtful(job.step, record))) {
      aWorker.youngStandingRuns--;
      aWorker.youngDoubtfulRuns += isOld ? 0 : 1;
    }
    if (aRun.isStopping || isFinished) {
      aWorker.releasing = aWorker.releasing.plus(requiredResources(job.step));
    } else if (!job.step.longRunning()) {
      aWorker.evictable.push_back({ aRun.task,
                                    aRun.run,
                                    job.priority,
                                    requiredResources(job.step),
                                    static_cast<double>(ranMs) });
    }
  }

  void schedule(std::vector<WorkerCandidate> aWorkers)
  {
    const InterferenceGuard guard;
    const SchedulePlan plan = JobScheduler::decide(mJobs, guard, aWorkers, mNowMs);
    mReserved.clear();
    for (const WorkerCandidate& worker : aWorkers) {
      if (worker.isReserved) {
        mReserved.insert(worker.worker);
      }
    }
    StartRuns::Fields starts;
    for (const Assignment& assignment : plan.assignments) {
      starts.runs.push_back(assignment.start);
      start(assignment);
    }
    mJobs.apply(valueOf(StartRuns::create(std::move(starts))));
    for (const EvictableRun& evicted : plan.evictions) {
      stop(mRuns.at(evicted.task.text()));
    }
  }

  // Invariants

  /** Leaves out the workers of which the rule says that they have no room: "there is capacity for
   * it" does not hold for one that fails all that it starts. */
  std::vector<WorkerCandidate> withoutFailing(std::vector<WorkerCandidate> aWorkers) const
  {
    std::erase_if(aWorkers, [this](const WorkerCandidate& aWorker) {
      return aWorker.maxRuns == 0 && mWorkers.at(aWorker.worker).isFailing(mNowMs);
    });
    return aWorkers;
  }

  /** Checks the tasks that wait after a round. In both lists of workers, what the leader keeps free
   * for a task is free, as it is seen from outside. */
  void check(const std::vector<WorkerCandidate>& aBefore,
             const std::vector<WorkerCandidate>& aAfter)
  {
    for (const WorkerCandidate& worker : aAfter) {
      mTotals.limitedSteps += worker.maxRuns == WorkerReliability::kNoLimit ? 0 : 1;
    }
    const std::vector<WorkerCandidate> before = withoutFailing(aBefore);
    const std::vector<WorkerCandidate> after = withoutFailing(aAfter);
    mWaitingShortCpuMilli = 0;
    bool mayShortStart = false;
    for (const std::string& jobId : mJobs.openJobs()) {
      const Job* job = mJobs.find(jobId);
      if (job->isFinished()) {
        continue;
      }
      const JobStep& step = mJobModels.at(jobId).step;
      job->forEachTask([&](const TaskId& aTask, const JobTaskRecord::Fields& aRecord) {
        if (aRecord.active || aRecord.done) {
          return;
        }
        if (step.longRunning()) {
          checkWait(aTask, step, aRecord, before, after);
          return;
        }
        mWaitingShortCpuMilli += step.resources().cpuMilli();
        mayShortStart = mayShortStart || (!CrashAttribution::needsTrial(aRecord) &&
                                          hasRoomBesideStandingRuns(step, after));
      });
    }
    if (!mayShortStart || mNowMs - mDisturbedAtMs < kCalmMs) {
      mShortStartedAtMs = mNowMs;
    }
    if (mNowMs - mShortStartedAtMs > kLongestShortPauseMs) {
      addFault({ SeenRoom::eTaken, "no short task starts" }, "", after);
    }
  }

  static bool hasRoomBesideStandingRuns(const JobStep& aStep,
                                        const std::vector<WorkerCandidate>& aWorkers)
  {
    return std::any_of(aWorkers.begin(), aWorkers.end(), [&aStep](const WorkerCandidate& aWorker) {
      return aWorker.maxRuns == WorkerReliability::kNoLimit && !aWorker.isReserved &&
             hasLabel(aWorker, aStep.requiredLabel()) &&
             aStep.resources().cpuMilli() <=
               aWorker.capacity.cpuMilli - aWorker.longRunningCpuMilli;
    });
  }

  void checkWait(const TaskId& aTask,
                 const JobStep& aStep,
                 const JobTaskRecord::Fields& aRecord,
                 const std::vector<WorkerCandidate>& aBefore,
                 const std::vector<WorkerCandidate>& aAfter)
  {
    const std::string name = aTask.text();
    const auto ended = mEndedAtMs.find(name);
    const std::int64_t sinceMs =
      ended == mEndedAtMs.end() ? mAcceptedAtMs.at(aTask.jobId) : ended->second;
    Reads& reads = mReads[name];
    if (mNowMs - sinceMs <= kToleratedMs || mNowMs - mDisturbedAtMs < kCalmMs) {
      reads = {};
      return;
    }
    mTotals.overdueSteps++;
    const std::string step = stepName(aTask);
    const std::array<bool, kRoomReadings> before = readRoom(aBefore, "desk", aStep, step);
    const std::array<bool, kRoomReadings> after = readRoom(aAfter, "desk", aStep, step);
    for (std::size_t reading = 0; reading < kRoomReadings; reading++) {
      reads.readMs[reading] = after[reading] ? reads.readMs[reading] + kStepMs : 0;
      mTotals.steps[reading] += after[reading] ? 1 : 0;
      mTotals.longestMs[reading] = std::max(mTotals.longestMs[reading], reads.readMs[reading]);
    }
    const auto hasTwiceTheRoom = [](const std::array<bool, kRoomReadings>& aReadings) {
      return aReadings[static_cast<std::size_t>(RoomReading::eTwoWorkers)] ||
             aReadings[static_cast<std::size_t>(RoomReading::eOneWorker)];
    };
    const std::int64_t priority = mJobModels.at(aTask.jobId).priority;
    const bool isOfShortRuns =
      priority == 0 && after[static_cast<std::size_t>(RoomReading::eTwoWorkersWithShort)];
    for (const auto& [room, isSeen] :
         std::map<SeenRoom, bool>{ { SeenRoom::eLeftFree, hasTwiceTheRoom(after) },
                                   { SeenRoom::eTaken, hasTwiceTheRoom(before) },
                                   { SeenRoom::eOfShortRuns, isOfShortRuns } }) {
      std::int64_t& seenMs = reads.seenMs[room];
      seenMs = isSeen ? seenMs + kStepMs : 0;
      if (seenMs >= kRoomMs) {
        addFault(
          { room,
            findCause(aTask, aStep, aRecord, aAfter) + ", priority " + std::to_string(priority) },
          name + " of " + std::to_string(aStep.resources().cpuMilli()) + " has waited for " +
            std::to_string(mNowMs - sinceMs) + " ms, run " + std::to_string(aRecord.run),
          aAfter);
      }
    }
  }

  /** Returns what keeps a task out that has room; the reasons of StandingWaitCause do not tell room
   * that the round keeps for others. */
  std::string findCause(const TaskId& aTask,
                        const JobStep& aStep,
                        const JobTaskRecord::Fields& aRecord,
                        const std::vector<WorkerCandidate>& aWorkers) const
  {
    if (CrashAttribution::needsTrial(aRecord)) {
      return "suspected";
    }
    std::string cause = "no room";
    for (const WorkerCandidate& worker : aWorkers) {
      if (!isPermitted(worker, "desk", aStep, stepName(aTask)) || !fits(worker, aStep)) {
        continue;
      }
      if (mReserved.contains(worker.worker)) {
        cause = "reserved for trials";
      } else if (isLimited(worker, aStep, aRecord)) {
        cause = "limited";
      } else {
        return "kept for others";
      }
    }
    return cause;
  }

  /** Returns how long the trial runs on a worker have worked, and for how long they have to. */
  std::string describeTrials(const std::string& aWorker) const
  {
    std::string text;
    for (const auto& [name, run] : mRuns) {
      const JobTaskRecord::Fields* record = recordOf(run.task);
      if (run.worker == aWorker && record != nullptr && CrashAttribution::needsTrial(*record)) {
        text += " trial " + std::to_string(mNowMs - run.startedAtMs) + " of " +
                std::to_string(CrashAttribution::provingMs(*record)) + " ms";
      }
    }
    return text;
  }

  void addFault(const FaultKind& aKind,
                const std::string& aFault,
                const std::vector<WorkerCandidate>& aWorkers)
  {
    if (mFaults.contains(aKind)) {
      return;
    }
    std::ostringstream text;
    text << toText(aKind.first) << ", " << aKind.second << ", at " << mNowMs << " ms: " << aFault
         << "; workers (free, standing, limit, ending runs, unproven runs):";
    for (const WorkerCandidate& worker : aWorkers) {
      text << " " << worker.worker << " " << worker.capacity.cpuMilli - worker.used.cpuMilli << " "
           << worker.longRunningCpuMilli << " " << worker.maxRuns << " " << worker.endingRuns << " "
           << worker.unprovenRuns << (mReserved.contains(worker.worker) ? " reserved" : "")
           << describeTrials(worker.worker)
           << (mWorkers.at(worker.worker).isFailing(mNowMs) ? " failing" : "") << ";";
    }
    mFaults[aKind] = text.str();
  }

  std::mt19937 mRandom;
  PoolEvents mEvents = PoolEvents::eAll;
  RoomTotals& mTotals;
  JobRegistry mJobs;
  WorkerReliability mReliability;
  std::map<std::string, PoolWorker> mWorkers;
  std::map<std::string, PoolJob> mJobModels;
  std::map<std::string, PoolRun> mRuns;
  /** Steps of the standing jobs by the time at which they are submitted. */
  std::multimap<std::int64_t, JobStep::Fields> mStandingAt;
  /** Processor time of all workers, and of the short tasks that wait. */
  std::int64_t mCpuMilli = 0;
  std::int64_t mWaitingShortCpuMilli = 0;
  bool mHasLabels = false;
  // Mean times between two events.
  std::int64_t mCrashMs = 0;
  std::int64_t mLossMs = 0;
  std::int64_t mLeaderMs = 0;
  std::int64_t mDrainMs = 0;
  std::int64_t mFailingMs = 0;
  std::int64_t mRunFailureMs = 0;
  std::int64_t mCancelMs = 0;
  // Shares of jobs and of the pool's processor time in percent.
  std::int64_t mDeadlyPercent = 0;
  std::int64_t mBadPercent = 0;
  std::int64_t mRareFailurePercent = 5;
  std::int64_t mShortPriorityPercent = 0;
  std::int64_t mShortShare = 0;
  std::int64_t mCrowdShare = 0;
  std::int64_t mCrowdFromMs = 0;
  std::int64_t mCrowdUntilMs = 0;
  std::int64_t mLargestShortCpuMilli = 0;
  /** Short work that was demanded and not submitted yet. */
  std::int64_t mDemand = 0;
  std::int64_t mStandingJobs = 0;
  std::int64_t mShortJobs = 0;
  std::int64_t mNowMs = 0;
  std::int64_t mLeaderFromMs = 0;
  std::int64_t mDisturbedAtMs = 0;
  std::int64_t mShortStartedAtMs = 0;
  std::map<std::string, std::int64_t> mAcceptedAtMs;
  std::map<std::string, std::int64_t> mEndedAtMs;
  std::map<std::string, Reads> mReads;
  /** The workers that the last round kept for trials. */
  std::set<std::string> mReserved;
  std::map<FaultKind, std::string> mFaults;
};

/** Plays the seeds, in which none of aRooms may be seen, and reports what was. */
void
playSeeds(PoolEvents aEvents, const std::set<SeenRoom>& aRooms)
{
  const char* const seeds = std::getenv("STANDING_ROOM_SEEDS");
  const unsigned long count = seeds == nullptr ? 80 : std::strtoul(seeds, nullptr, 10);
  RoomTotals totals;
  std::map<SeenRoom, std::int64_t> brokenSeeds;
  for (unsigned long seed = 1; seed <= count; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      RandomPool pool(static_cast<unsigned>(seed), aEvents, totals);
      pool.run();
      std::set<SeenRoom> seen;
      for (const auto& [kind, text] : pool.faults()) {
        totals.broken[kind]++;
        seen.insert(kind.first);
        BOOST_TEST(!aRooms.contains(kind.first), text);
      }
      for (const SeenRoom room : seen) {
        brokenSeeds[room]++;
      }
    }
  }
  BOOST_TEST_MESSAGE("seeds 1 to "
                     << count << ": " << totals.shortRuns << " short runs, " << totals.standingRuns
                     << " standing runs, " << totals.crashes << " crashes with " << totals.suspects
                     << " suspects, " << totals.limitedSteps << " steps of limited workers, "
                     << totals.overdueSteps << " steps of tasks that wait for over 6 s");
  for (const auto& [room, seedsBroken] : brokenSeeds) {
    BOOST_TEST_MESSAGE(toText(room) << ": " << seedsBroken << " seeds");
  }
  for (const auto& [kind, seedsBroken] : totals.broken) {
    BOOST_TEST_MESSAGE(toText(kind.first)
                       << ", " << kind.second << ": " << seedsBroken << " seeds");
  }
  for (std::size_t reading = 0; reading < kRoomReadings; reading++) {
    BOOST_TEST_MESSAGE(toText(static_cast<RoomReading>(reading))
                       << ": " << totals.steps[reading] << " steps, " << totals.longestMs[reading]
                       << " ms on end");
  }
  std::vector<std::int64_t> drawn = { totals.shortRuns, totals.standingRuns, totals.overdueSteps };
  if (aEvents == PoolEvents::eAll) {
    drawn.push_back(totals.suspects);
    drawn.push_back(totals.limitedSteps);
  }
  for (const std::int64_t total : drawn) {
    BOOST_TEST(total > 0, "a kind of event never occurred");
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(standing_room_random)

// Guards against a standing task that waits although, for 3 calm seconds from 6 s after its last
// run, two workers have room for it or one has it twice over.
BOOST_AUTO_TEST_CASE(no_standing_task_waits_beside_room_that_rounds_leave_free)
{
  playSeeds(PoolEvents::eAll, { SeenRoom::eLeftFree });
}

// Guards against a standing task that waits while other tasks take such room at each round, and
// against room that is kept for standing tasks until no short one starts.
BOOST_AUTO_TEST_CASE(no_standing_task_waits_beside_room_that_others_take)
{
  playSeeds(PoolEvents::eAll, { SeenRoom::eTaken });
}

// Guards against a standing task of the first priority that waits although the room of short runs
// could hold it, where neither crashes nor failures keep workers from it.
BOOST_AUTO_TEST_CASE(no_standing_task_of_the_first_priority_waits_behind_short_runs)
{
  playSeeds(PoolEvents::eSound, { SeenRoom::eLeftFree, SeenRoom::eOfShortRuns });
}

BOOST_AUTO_TEST_SUITE_END()
