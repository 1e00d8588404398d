#include "jobs/JobsFixture.h"
#include "jobs/StandingWaitMeter.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <utility>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr std::int64_t kStepMs = 50;
constexpr std::int64_t kPlayedMs = 50000;
constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

/** "From 6 s after its last run": the wait in ms that callers take for an ordinary restart. */
constexpr std::int64_t kToleratedMs = StandingWaitMeter::kToleratedMs;
/** "For 3 s ... there is capacity for it twice over". */
constexpr std::int64_t kRoomMs = 3000;

/** Time from the announcement of a worker to its end in ms, as on the users' platform. */
constexpr std::int64_t kAnnouncedMs = 4000;
/** For how long room comes back, in ms. */
constexpr std::int64_t kStreamMs = 14000;
/** Time in ms after which the leader ends the runs of a worker that has left. */
constexpr std::int64_t kShutdownGraceMs = 500;

struct PoolWorker
{
  WorkerCandidate description;
  std::int64_t joinsAtMs = 0;
  std::int64_t announcedAtMs = kNever;
  std::int64_t goneAtMs = kNever;

  bool isUp(std::int64_t aNowMs) const { return joinsAtMs <= aNowMs && aNowMs < goneAtMs; }
  bool isOpen(std::int64_t aNowMs) const { return isUp(aNowMs) && aNowMs < announcedAtMs; }
};

struct PoolJob
{
  JobStep step;
  std::int64_t priority = 0;
  /** Run time of a short run. */
  std::int64_t runMs = kNever;
};

/** A run; its times are those at the worker. */
struct PoolRun
{
  TaskId task;
  std::int64_t run = 0;
  std::string worker;
  std::int64_t startsAtMs = 0;
  std::int64_t endsAtMs = kNever;
  /** When the leader has committed the end. */
  std::int64_t knownAtMs = kNever;
  RunEnd how = RunEnd::eDone;
  bool isStopping = false;

  bool isOnWorker(std::int64_t aNowMs) const { return startsAtMs <= aNowMs && aNowMs < endsAtMs; }
};

/** What was seen over all seeds. */
struct RoomTotals
{
  std::int64_t longestRoomMs = 0;
  std::int64_t longestRoomAfterRoundsMs = 0;
  std::int64_t mostOverdueTasks = 0;
  std::int64_t overdueSteps = 0;
  std::int64_t standingSteps = 0;
  std::int64_t shortRuns = 0;
};

/**
 * A full pool in steps of virtual time that loses a quarter to a third of its workers one after the
 * other, each with an announcement, beside a crowd of short jobs and standing jobs that arrive.
 * With a backlog of standing tasks, room comes back in bursts: standing jobs are cancelled, workers
 * join, the crowd ends. The leader learns of ends, and the workers of orders, with a delay.
 */
class ShrinkingPool
{
public:
  ShrinkingPool(unsigned aSeed, RoomTotals& aTotals)
    : mRandom(aSeed)
    , mTotals(aTotals)
    , mJobs(registryWithQueues())
  {
    drawWorkers();
    drawDelays();
    submitStandingJobs();
  }

  void run()
  {
    while (mNowMs < kPlayedMs) {
      mNowMs += kStepMs;
      drawEvents();
      submitShortJobs();
      endKnownRuns();
      schedule();
      check();
    }
  }

  /** What was seen first of a task that waited beside room as the workers have it for kRoomMs;
   * empty if none did. */
  const std::string& fault() const { return mFault; }

  /** What was seen first of a task that waited beside room that a round of the leader had left;
   * empty if none did. */
  const std::string& faultAfterRound() const { return mFaultAfterRound; }

private:
  std::int64_t pick(std::int64_t aLow, std::int64_t aHigh)
  {
    return std::uniform_int_distribution<std::int64_t>(aLow, aHigh)(mRandom);
  }

  // Drawing

  void drawWorkers()
  {
    const std::int64_t count = pick(48, 96);
    mLargestStandingCpuMilli = pick(0, 1) == 0 ? 5000 : 20000;
    mWorkerCpuMilli = mLargestStandingCpuMilli == 5000 ? 16000 : 64000;
    for (std::int64_t index = 0; index < count; index++) {
      addWorker(index, 0);
    }
    mFirstRemovalMs = 6000 + pick(0, 20) * kStepMs;
    const std::int64_t gapMs = pick(8, 12) * kStepMs;
    const std::int64_t removed = count * pick(25, 35) / 100;
    std::int64_t index = 0;
    for (auto& [id, worker] : mWorkers) {
      if (index < removed) {
        worker.announcedAtMs = mFirstRemovalMs + index * gapMs;
        worker.goneAtMs = worker.announcedAtMs + kAnnouncedMs;
      }
      index++;
    }
    mRoomReturnsAtMs = mFirstRemovalMs + removed * gapMs + pick(80, 240) * kStepMs;
    const std::int64_t joining = pick(0, removed / 3);
    const std::int64_t joinGapMs = pick(4, 20) * kStepMs;
    for (std::int64_t joined = 0; joined < joining; joined++) {
      addWorker(count + joined, mRoomReturnsAtMs + joined * joinGapMs);
    }
  }

  void addWorker(std::int64_t aIndex, std::int64_t aJoinsAtMs)
  {
    PoolWorker worker{ .description = workerOf(
                         "w" + std::to_string(1000 + aIndex), mWorkerCpuMilli, mWorkerCpuMilli * 4),
                       .joinsAtMs = aJoinsAtMs };
    worker.description.relay = "relay" + std::to_string(aIndex);
    mWorkers.emplace(worker.description.worker, worker);
  }

  void drawDelays()
  {
    mReportMs = pick(20, 300);
    mStartMs = pick(20, 300);
    mLongestStopMs = pick(400, 900);
    mBurstGapMs = pick(12, 24) * kStepMs;
    mBurstPercent = pick(3, 10);
    mArrivalGapMs = pick(6, 40) * kStepMs;
    mShortPriorityPercent = pick(0, 60);
    mCrowdUntilMs = mRoomReturnsAtMs + pick(-3000, 3000);
  }

  void submitStandingJobs()
  {
    std::int64_t wanted = std::ssize(mWorkers) * mWorkerCpuMilli * pick(100, 120) / 100;
    while (wanted > 0) {
      wanted -= submitStandingJob(pick(6, 20));
    }
  }

  /** Submits a standing job; returns the processor time of its tasks in thousandths of a core. */
  std::int64_t submitStandingJob(std::int64_t aTasks)
  {
    JobStep::Fields step = stepOf(
      aTasks, pick(mLargestStandingCpuMilli * 45 / 100, mLargestStandingCpuMilli), pick(100, 2000));
    step.longRunning = true;
    step.latencyObjectiveMs = 150;
    step.image = "image" + std::to_string(pick(0, 9));
    step.maxPerWorker = pick(0, 1);
    mStandingJobCount++;
    mStandingJobs.push_back("s" + std::to_string(1000 + mStandingJobCount));
    submit(mStandingJobs.back(), step, 0, kNever);
    return aTasks * step.resources.cpuMilli();
  }

  void submit(const std::string& aJobId,
              const JobStep::Fields& aStep,
              std::int64_t aPriority,
              std::int64_t aRunMs)
  {
    mJobs.apply(submitOf(aPriority == 0 ? "urgent" : "tally", jobOf(aJobId, { aStep }), mNowMs));
    mJobModels.emplace(
      aJobId,
      PoolJob{ .step = valueOf(JobStep::create(aStep)), .priority = aPriority, .runMs = aRunMs });
  }

  /** Short jobs of two priorities: small ones of the first, larger ones of the second. */
  void submitShortJobs()
  {
    const std::int64_t share = mNowMs < mCrowdUntilMs ? 30 : 8;
    mDemand += std::ssize(mWorkers) * mWorkerCpuMilli * share / 100 * kStepMs;
    while (mDemand > 0) {
      const bool isFirst = pick(1, 100) > mShortPriorityPercent;
      const std::int64_t largest = mLargestStandingCpuMilli / (isFirst ? 8 : 2);
      JobStep::Fields step = stepOf(pick(1, 10), pick(largest / 3, largest), 50);
      step.estimateMs = isFirst ? pick(300, 1000) : pick(1000, 3000);
      mDemand -= step.count * step.resources.cpuMilli() * step.estimateMs;
      if (mWaitingShortTasks < 200) {
        mWaitingShortTasks += step.count;
        mShortJobs++;
        submit("z" + std::to_string(mShortJobs), step, isFirst ? 0 : 2, step.estimateMs);
      }
    }
  }

  // Events

  void drawEvents()
  {
    for (auto& [id, worker] : mWorkers) {
      if (worker.goneAtMs == mNowMs) {
        for (auto& [name, run] : mRuns) {
          if (run.worker == id && run.endsAtMs > mNowMs) {
            end(run, mNowMs, RunEnd::eLapsed);
            run.knownAtMs += kShutdownGraceMs;
          }
        }
      }
    }
    if (mNowMs % mArrivalGapMs == 0) {
      submitStandingJob(pick(1, 8));
    }
    const bool isReturning = mNowMs >= mRoomReturnsAtMs && mNowMs < mRoomReturnsAtMs + kStreamMs;
    if (isReturning && (mNowMs - mRoomReturnsAtMs) % mBurstGapMs == 0) {
      cancelStandingJobs();
    }
  }

  /** Cancels standing jobs until mBurstPercent of the pool is freed. */
  void cancelStandingJobs()
  {
    std::int64_t wanted = std::ssize(mWorkers) * mWorkerCpuMilli * mBurstPercent / 100;
    while (wanted > 0 && mStandingJobs.size() > 4) {
      const std::int64_t position = pick(0, std::ssize(mStandingJobs) - 1);
      wanted -= cancel(mStandingJobs[static_cast<std::size_t>(position)]);
      mStandingJobs.erase(mStandingJobs.begin() + position);
    }
  }

  /** Returns the processor time of the runs that are stopped in thousandths of a core. */
  std::int64_t cancel(const std::string& aJobId)
  {
    mJobs.apply(valueOf(CancelJob::create({ .jobId = aJobId })));
    std::int64_t stopped = 0;
    for (auto& [name, run] : mRuns) {
      if (run.task.jobId == aJobId) {
        stop(run);
        stopped += jobOfTask(run.task).step.resources().cpuMilli();
      }
    }
    return stopped;
  }

  void stop(PoolRun& aRun)
  {
    aRun.isStopping = true;
    const std::int64_t arrivesAtMs = std::max(mNowMs + mStartMs, aRun.startsAtMs);
    const std::int64_t endsAtMs = arrivesAtMs + pick(100, mLongestStopMs);
    if (endsAtMs < aRun.endsAtMs) {
      end(aRun, endsAtMs, RunEnd::eStopped);
    }
  }

  void end(PoolRun& aRun, std::int64_t aEndsAtMs, RunEnd aHow) const
  {
    aRun.endsAtMs = aEndsAtMs;
    aRun.knownAtMs = aEndsAtMs + mReportMs;
    aRun.how = aHow;
  }

  void endKnownRuns()
  {
    EndRuns::Fields command;
    for (auto position = mRuns.begin(); position != mRuns.end();) {
      const auto& [name, run] = *position;
      if (run.knownAtMs > mNowMs) {
        ++position;
        continue;
      }
      mTotals.shortRuns += run.how == RunEnd::eDone ? 1 : 0;
      command.ends.push_back(
        valueOf(RunEnding::create({ .task = name, .run = run.run, .how = run.how })));
      mEndedAtMs[name] = run.endsAtMs;
      position = mRuns.erase(position);
    }
    mJobs.apply(valueOf(EndRuns::create(std::move(command))));
  }

  // Scheduling

  const PoolJob& jobOfTask(const TaskId& aTask) const { return mJobModels.at(aTask.jobId); }

  /** The workers for which aIsIncluded holds, with the runs for which aIsCounted holds. */
  template<typename IsIncluded, typename IsCounted>
  std::vector<WorkerCandidate> workersWith(const IsIncluded& aIsIncluded,
                                           const IsCounted& aIsCounted) const
  {
    std::vector<WorkerCandidate> found;
    std::map<std::string, std::size_t> positions;
    for (const auto& [id, worker] : mWorkers) {
      if (aIsIncluded(worker)) {
        positions[id] = found.size();
        found.push_back(worker.description);
      }
    }
    for (const auto& [name, run] : mRuns) {
      const auto position = positions.find(run.worker);
      if (position == positions.end() || !aIsCounted(run)) {
        continue;
      }
      WorkerCandidate& worker = found[position->second];
      const PoolJob& job = jobOfTask(run.task);
      addRun(worker, job.step, run.task);
      worker.youngStandingRuns = 0;
      if (run.isStopping) {
        worker.releasing = worker.releasing.plus(requiredResources(job.step));
      } else if (!job.step.longRunning()) {
        worker.evictable.push_back({ run.task,
                                     run.run,
                                     job.priority,
                                     requiredResources(job.step),
                                     static_cast<double>(mNowMs - run.startsAtMs) });
      }
    }
    return found;
  }

  void schedule()
  {
    std::vector<WorkerCandidate> workers =
      workersWith([this](const PoolWorker& aWorker) { return aWorker.isOpen(mNowMs); },
                  [](const PoolRun&) { return true; });
    const InterferenceGuard guard;
    const SchedulePlan plan = JobScheduler::decide(mJobs, guard, workers, mNowMs);
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

  void start(const Assignment& aAssignment)
  {
    const PoolJob& job = jobOfTask(aAssignment.task);
    PoolRun run{ .task = aAssignment.task,
                 .run = aAssignment.start.run(),
                 .worker = aAssignment.start.worker(),
                 .startsAtMs = mNowMs + mStartMs };
    if (!job.step.longRunning()) {
      end(run, run.startsAtMs + job.runMs * pick(70, 130) / 100, RunEnd::eDone);
    }
    const std::int64_t goneAtMs = mWorkers.at(run.worker).goneAtMs;
    if (goneAtMs != kNever && goneAtMs < run.endsAtMs) {
      end(run, goneAtMs, RunEnd::eLapsed);
      run.knownAtMs += kShutdownGraceMs;
    }
    mRuns[aAssignment.task.text()] = std::move(run);
  }

  // Invariant

  /** Checks the standing tasks that do not run, against the room as the workers have it. */
  void check()
  {
    const auto isOpen = [this](const PoolWorker& aWorker) { return aWorker.isOpen(mNowMs); };
    const std::vector<WorkerCandidate> seen =
      workersWith(isOpen, [this](const PoolRun& aRun) { return aRun.isOnWorker(mNowMs); });
    const std::vector<WorkerCandidate> counted =
      workersWith(isOpen, [](const PoolRun&) { return true; });
    for (const WorkerCandidate& worker : seen) {
      BOOST_TEST(worker.used.fitsIn(worker.capacity), worker.worker << " has more than it holds");
    }
    std::int64_t overdue = 0;
    mWaitingShortTasks = 0;
    for (const std::string& jobId : mJobs.openJobs()) {
      const Job* job = mJobs.find(jobId);
      if (job->isFinished()) {
        continue;
      }
      const JobStep& step = mJobModels.at(jobId).step;
      job->forEachTask([&](const TaskId& aTask, const JobTaskRecord::Fields& aRecord) {
        const std::string name = aTask.text();
        const auto run = mRuns.find(name);
        if (!step.longRunning()) {
          mWaitingShortTasks += !aRecord.active && !aRecord.done ? 1 : 0;
          return;
        }
        mTotals.standingSteps += run != mRuns.end() && run->second.isOnWorker(mNowMs) ? 1 : 0;
        const bool hasEnded = mEndedAtMs.contains(name) || run != mRuns.end();
        const bool isWaiting = run == mRuns.end() || !run->second.isOnWorker(mNowMs);
        std::int64_t& seenMs = mSeenMs[name];
        std::int64_t& countedMs = mCountedMs[name];
        const std::int64_t endedAtMs = run != mRuns.end() && run->second.endsAtMs <= mNowMs
                                         ? run->second.endsAtMs
                                       : mEndedAtMs.contains(name) ? mEndedAtMs.at(name)
                                                                   : mNowMs;
        if (!hasEnded || !isWaiting || mNowMs - endedAtMs <= kToleratedMs) {
          seenMs = 0;
          countedMs = 0;
          return;
        }
        overdue++;
        const auto hasRoom = [&](const std::vector<WorkerCandidate>& aWorkers) {
          const std::array<bool, kRoomReadings> readings =
            readRoom(aWorkers, "desk", step, stepName(aTask));
          return readings[static_cast<std::size_t>(RoomReading::eTwoWorkers)];
        };
        seenMs = hasRoom(seen) ? seenMs + kStepMs : 0;
        countedMs = !aRecord.active && hasRoom(counted) ? countedMs + kStepMs : 0;
        mTotals.longestRoomMs = std::max(mTotals.longestRoomMs, seenMs);
        mTotals.longestRoomAfterRoundsMs = std::max(mTotals.longestRoomAfterRoundsMs, countedMs);
        const auto fault = [&](std::int64_t aForMs) {
          return name + " of " + std::to_string(step.resources().cpuMilli()) +
                 " has had room on two workers for " + std::to_string(aForMs) + " ms at " +
                 std::to_string(mNowMs) + " ms, its run ended at " + std::to_string(endedAtMs) +
                 " ms";
        };
        if (seenMs >= kRoomMs && mFault.empty()) {
          mFault = fault(seenMs);
        }
        if (countedMs > 0 && mFaultAfterRound.empty()) {
          mFaultAfterRound = fault(countedMs);
        }
      });
    }
    mTotals.overdueSteps += overdue;
    mTotals.mostOverdueTasks = std::max(mTotals.mostOverdueTasks, overdue);
  }

  std::mt19937 mRandom;
  RoomTotals& mTotals;
  JobRegistry mJobs;
  std::map<std::string, PoolWorker> mWorkers;
  std::map<std::string, PoolJob> mJobModels;
  std::map<std::string, PoolRun> mRuns;
  std::vector<std::string> mStandingJobs;
  std::int64_t mWorkerCpuMilli = 0;
  std::int64_t mLargestStandingCpuMilli = 0;
  std::int64_t mFirstRemovalMs = 0;
  std::int64_t mRoomReturnsAtMs = 0;
  std::int64_t mCrowdUntilMs = 0;
  // Time between two bursts of cancels and the share of the pool that each frees.
  std::int64_t mBurstGapMs = 0;
  std::int64_t mBurstPercent = 0;
  /** Time between two standing jobs that arrive. */
  std::int64_t mArrivalGapMs = 0;
  std::int64_t mStandingJobCount = 0;
  std::int64_t mShortPriorityPercent = 0;
  // Time in ms from the end of a run to its commit by the leader, from a decision of the leader to
  // its effect at the worker, and the longest that a stop takes.
  std::int64_t mReportMs = 0;
  std::int64_t mStartMs = 0;
  std::int64_t mLongestStopMs = 0;
  /** Short work that was demanded and not submitted yet. */
  std::int64_t mDemand = 0;
  std::int64_t mWaitingShortTasks = 0;
  std::int64_t mShortJobs = 0;
  std::int64_t mNowMs = 0;
  std::map<std::string, std::int64_t> mEndedAtMs;
  /** For how long on end a waiting task has had room, as the workers have it and as the leader
   * counts it after its rounds. */
  std::map<std::string, std::int64_t> mSeenMs;
  std::map<std::string, std::int64_t> mCountedMs;
  std::string mFault;
  std::string mFaultAfterRound;
};

/** Plays the seeds; aFaultOf returns what was seen in a pool, which has to be empty. */
template<typename FaultOf>
void
playSeeds(unsigned long aDefaultFirst, unsigned long aDefaultCount, const FaultOf& aFaultOf)
{
  const auto numberFrom = [](const char* aName, unsigned long aDefault) {
    const char* const text = std::getenv(aName);
    return text == nullptr ? aDefault : std::strtoul(text, nullptr, 10);
  };
  const unsigned long first = numberFrom("RETURNING_ROOM_FIRST_SEED", aDefaultFirst);
  const unsigned long last = first - 1 + numberFrom("RETURNING_ROOM_SEEDS", aDefaultCount);
  RoomTotals totals;
  std::int64_t broken = 0;
  for (unsigned long seed = first; seed <= last; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      ShrinkingPool pool(static_cast<unsigned>(seed), totals);
      pool.run();
      const std::string fault = aFaultOf(pool);
      BOOST_TEST(fault.empty(), fault);
      broken += fault.empty() ? 0 : 1;
    }
  }
  BOOST_TEST_MESSAGE(
    "seeds " << first << " to " << last << ": " << broken << " broken, longest room "
             << totals.longestRoomMs << " ms, after rounds " << totals.longestRoomAfterRoundsMs
             << " ms, at most " << totals.mostOverdueTasks << " tasks overdue at a time, "
             << totals.overdueSteps << " overdue and " << totals.standingSteps
             << " standing task steps, " << totals.shortRuns << " short runs");
  BOOST_TEST(totals.overdueSteps > 0, "no standing task waited for longer than tolerated");
}

} // namespace

BOOST_AUTO_TEST_SUITE(returning_room_random)

// Guards against a standing task that waits beside room that comes back in a stream: for 3 s on
// end, from 6 s after its last run, two workers could hold it.
BOOST_AUTO_TEST_CASE(no_standing_task_waits_while_room_comes_back)
{
  playSeeds(30, 4, [](const ShrinkingPool& aPool) { return aPool.fault(); });
}

// Guards against room that a round gives to a task in front which cannot use it yet: from 6 s after
// its last run, no waiting task may have room on two workers after a round.
BOOST_AUTO_TEST_CASE(no_round_leaves_room_beside_an_overdue_standing_task)
{
  playSeeds(1, 4, [](const ShrinkingPool& aPool) { return aPool.faultAfterRound(); });
}

BOOST_AUTO_TEST_SUITE_END()
