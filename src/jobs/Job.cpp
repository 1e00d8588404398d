#include "jobs/Job.h"

#include "core/core.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace magnoliadrum {

namespace {

/** Removes the open lapses for which aIsExplained holds. */
template<typename Predicate>
void
eraseLapses(JobTaskRecord::Fields& aRecord, Predicate aIsExplained)
{
  if (!aRecord.lapses) {
    return;
  }
  std::erase_if(*aRecord.lapses, aIsExplained);
  if (aRecord.lapses->empty()) {
    aRecord.lapses.reset();
  }
}

/** Removes the open lapses that a harmless run refutes: a later run that has ended by itself or has
 * worked for twice as long. */
void
refuteLapses(JobTaskRecord::Fields& aRecord, const RunEnding& aEnd)
{
  const bool hasEndedByItself = aEnd.how() == RunEnd::eDone || aEnd.how() == RunEnd::eFailed;
  eraseLapses(aRecord, [&](const LapsedRun& aLapse) {
    return hasEndedByItself || aEnd.ranMs() >= std::max(kHarmlessRunMs, 2 * aLapse.ranMs());
  });
}

} // namespace

Job
Job::accept(const JobQueue& aQueue, const JobDescription& aDescription, std::int64_t aAcceptedAtMs)
{
  Job job;
  job.mJobId = aDescription.jobId();
  job.mQueue = aQueue;
  job.mPayload = aDescription.payload();
  job.mSteps = aDescription.steps();
  job.mFirstDueMs = aDescription.firstDueMs();
  job.mIntervalMs = aDescription.intervalMs();
  job.mOccurrences = aDescription.occurrences();
  job.mAcceptedAtMs = aAcceptedAtMs;
  // The first call determines the number of tasks, the second one counts them as open.
  job.rebuildIndexes();
  job.mTasks.resize(job.mTasksPerOccurrence * static_cast<std::size_t>(job.mOccurrences));
  job.rebuildIndexes();
  return job;
}

Job
Job::fromRecord(const JobRecord& aRecord)
{
  Job job;
  job.mJobId = aRecord.jobId();
  job.mQueue = aRecord.queue();
  job.mPayload = aRecord.payload();
  job.mSteps = aRecord.steps();
  job.mFirstDueMs = aRecord.firstDueMs();
  job.mIntervalMs = aRecord.intervalMs();
  job.mOccurrences = aRecord.occurrences();
  job.mAcceptedAtMs = aRecord.acceptedAtMs();
  job.mOutcome = aRecord.outcome();
  for (const JobTaskRecord& task : aRecord.tasks()) {
    job.mTasks.push_back(task.fields());
  }
  job.rebuildIndexes();
  return job;
}

JobRecord
Job::record() const
{
  JobRecord::Fields fields{ .jobId = mJobId,
                            .queue = mQueue,
                            .payload = mPayload,
                            .steps = mSteps,
                            .firstDueMs = mFirstDueMs,
                            .intervalMs = mIntervalMs,
                            .occurrences = mOccurrences,
                            .acceptedAtMs = mAcceptedAtMs,
                            .outcome = mOutcome };
  for (const JobTaskRecord::Fields& task : mTasks) {
    fields.tasks.push_back(valueOf(JobTaskRecord::create(task)));
  }
  return valueOf(JobRecord::create(std::move(fields)));
}

void
Job::followQueue(const JobQueue& aQueue)
{
  JobQueue::Fields fields = aQueue.fields();
  fields.host = mQueue.host();
  fields.pathPrefix = mQueue.pathPrefix();
  fields.maxAttempts = mQueue.maxAttempts();
  fields.stretch = mQueue.stretch();
  fields.objectiveMs = mQueue.objectiveMs();
  if (fields != mQueue.fields()) {
    mQueue = valueOf(JobQueue::create(std::move(fields)));
  }
}

void
Job::rebuildIndexes()
{
  mOffsets.clear();
  mTasksPerOccurrence = 0;
  for (const JobStep& step : mSteps) {
    mOffsets.push_back(mTasksPerOccurrence);
    mTasksPerOccurrence += static_cast<std::size_t>(step.count());
  }
  mOpenTasks.assign(mSteps.size() * static_cast<std::size_t>(mOccurrences), 0);
  mOpenTaskCount = 0;
  mActiveRuns = 0;
  mCrashSuspects = 0;
  if (mTasks.empty()) {
    return;
  }
  forEachTask([this](const TaskId& aTask, const JobTaskRecord::Fields& aRecord) {
    mActiveRuns += aRecord.active ? 1 : 0;
    mStarted = mStarted || aRecord.run > 0;
    if (!aRecord.done) {
      mCrashSuspects += aRecord.crashes > 0 ? 1 : 0;
      mOpenTasks[stepPosition(aTask.occurrence, aTask.step)]++;
      mOpenTaskCount++;
    }
  });
}

std::int64_t
Job::dueMs(std::int64_t aOccurrence) const
{
  return mFirstDueMs + aOccurrence * mIntervalMs;
}

JobState
Job::state() const
{
  if (mOutcome) {
    return *mOutcome;
  }
  return mStarted ? JobState::eRunning : JobState::eQueued;
}

std::size_t
Job::stepPosition(std::int64_t aOccurrence, std::int64_t aStep) const
{
  return static_cast<std::size_t>(aOccurrence) * mSteps.size() + static_cast<std::size_t>(aStep);
}

std::optional<std::size_t>
Job::taskPosition(const TaskId& aTask) const
{
  const bool hasStep = aTask.step >= 0 && aTask.step < std::ssize(mSteps);
  const bool hasOccurrence = aTask.occurrence >= 0 && aTask.occurrence < mOccurrences;
  if (mTasks.empty() || !hasStep || !hasOccurrence || aTask.index < 0 ||
      aTask.index >= mSteps[static_cast<std::size_t>(aTask.step)].count()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(aTask.occurrence) * mTasksPerOccurrence +
         mOffsets[static_cast<std::size_t>(aTask.step)] + static_cast<std::size_t>(aTask.index);
}

const JobTaskRecord::Fields*
Job::find(const TaskId& aTask) const
{
  const std::optional<std::size_t> found = taskPosition(aTask);
  return found ? &mTasks[*found] : nullptr;
}

std::int64_t
Job::openTasks(std::int64_t aOccurrence, std::int64_t aStep) const
{
  return mOpenTasks[stepPosition(aOccurrence, aStep)];
}

bool
Job::isStepReady(std::int64_t aOccurrence, std::int64_t aStep) const
{
  const std::vector<std::int64_t>& after = mSteps[static_cast<std::size_t>(aStep)].after();
  return std::all_of(after.begin(), after.end(), [this, aOccurrence](std::int64_t aEarlier) {
    return openTasks(aOccurrence, aEarlier) == 0;
  });
}

void
Job::forEachTask(
  const std::function<void(const TaskId&, const JobTaskRecord::Fields&)>& aVisit) const
{
  if (mTasks.empty()) {
    return;
  }
  TaskId task{ .jobId = mJobId };
  std::size_t position = 0;
  for (task.occurrence = 0; task.occurrence < mOccurrences; task.occurrence++) {
    for (task.step = 0; task.step < std::ssize(mSteps); task.step++) {
      const std::int64_t count = mSteps[static_cast<std::size_t>(task.step)].count();
      for (task.index = 0; task.index < count; task.index++) {
        aVisit(task, mTasks[position]);
        position++;
      }
    }
  }
}

std::int64_t
Job::nextRun(const TaskId& aTask) const
{
  const JobStep& step = mSteps[static_cast<std::size_t>(aTask.step)];
  if (!step.gang()) {
    const JobTaskRecord::Fields* record = find(aTask);
    return record == nullptr ? 1 : record->run + 1;
  }
  std::int64_t run = 0;
  TaskId member = aTask;
  for (member.index = 0; member.index < step.count(); member.index++) {
    run = std::max(run, find(member)->run);
  }
  return run + 1;
}

bool
Job::start(const TaskId& aTask, const RunStart& aStart)
{
  const std::optional<std::size_t> found = taskPosition(aTask);
  if (!found || isFinished()) {
    return false;
  }
  JobTaskRecord::Fields& record = mTasks[*found];
  if (record.done || record.active || aStart.run() <= record.run) {
    return false;
  }
  record.run = aStart.run();
  record.active = true;
  record.worker = aStart.worker();
  record.bornMs = aStart.bornMs();
  record.place = aStart.place();
  if (mSteps[static_cast<std::size_t>(aTask.step)].gang()) {
    const JobTaskRecord::Fields best = gangCheckpoint(aTask);
    record.checkpoint = best.checkpoint;
    record.checkpointRun = best.checkpointRun;
    record.checkpointPercent = best.checkpointPercent;
  }
  mActiveRuns++;
  mStarted = true;
  return true;
}

bool
Job::end(const TaskId& aTask, const RunEnding& aEnd)
{
  const std::optional<std::size_t> found = taskPosition(aTask);
  if (!found || !mTasks[*found].active || mTasks[*found].run != aEnd.run()) {
    return false;
  }
  JobTaskRecord::Fields& record = mTasks[*found];
  record.active = false;
  mActiveRuns--;
  if (!aEnd.checkpoint().empty()) {
    record.checkpoint = aEnd.checkpoint();
    record.checkpointRun = aEnd.run();
    record.checkpointPercent = aEnd.checkpointPercent();
  }
  if (aEnd.crashSuspects() == 0 && aEnd.how() != RunEnd::eLapsed) {
    record.harmlessMs = std::max(record.harmlessMs, aEnd.ranMs());
  }
  if (aEnd.harmless()) {
    clearCrashes(record);
    refuteLapses(record, aEnd);
  }
  if (!isFinished() && aEnd.how() == RunEnd::eDone) {
    finishTask(aTask, record);
  } else if (!isFinished() && aEnd.how() == RunEnd::eFailed) {
    countFailure(aTask, aEnd.run());
  } else if (!isFinished() && aEnd.crashSuspects() > 0) {
    countCrash(record,
               { .place = record.place,
                 .ranMs = aEnd.ranMs(),
                 .share = aEnd.crashShare(),
                 .isCertain = aEnd.crashCertain() });
  } else if (!isFinished() && aEnd.unexplained()) {
    addLapse(record, aEnd);
  }
  dropContentIfUnused();
  return true;
}

void
Job::addLapse(JobTaskRecord::Fields& aRecord, const RunEnding& aEnd)
{
  if (aRecord.done) {
    return;
  }
  if (!aRecord.lapses) {
    aRecord.lapses.emplace();
  }
  aRecord.lapses->push_back(
    valueOf(LapsedRun::create({ .run = aEnd.run(),
                                .worker = aRecord.worker,
                                .bornMs = aRecord.bornMs,
                                .place = aRecord.place,
                                .ranMs = aEnd.ranMs(),
                                .begun = aEnd.unexplained() == UnexplainedLapse::eBegun })));
  if (aRecord.lapses->size() > kMaxOpenLapses) {
    aRecord.lapses->erase(aRecord.lapses->begin());
  }
}

bool
Job::explainLapse(const TaskId& aTask, const LapseFinding& aFinding)
{
  const std::optional<std::size_t> found = taskPosition(aTask);
  if (!found) {
    return false;
  }
  JobTaskRecord::Fields& record = mTasks[*found];
  const std::vector<LapsedRun>& lapses = CrashAttribution::openLapses(record);
  const auto isExplained = [&aFinding](const LapsedRun& aLapse) {
    return aLapse.run() == aFinding.run();
  };
  const auto lapse = std::find_if(lapses.begin(), lapses.end(), isExplained);
  if (lapse == lapses.end()) {
    return false;
  }
  // Without evidence a lapse counts only if its task may not start again unless it was no crash.
  const bool isCounted =
    aFinding.cause() == LapseCause::eCrashed ||
    (aFinding.cause() == LapseCause::eUnknown && CrashAttribution::awaitsEvidence(record));
  const std::string place = lapse->place();
  eraseLapses(record, isExplained);
  if (!isFinished() && isCounted) {
    countCrash(record,
               { .place = place,
                 .ranMs = aFinding.ranMs(),
                 .share = aFinding.crashShare(),
                 .isCertain = aFinding.crashCertain() });
  }
  dropContentIfUnused();
  return true;
}

const JobTaskRecord::Fields&
Job::gangCheckpoint(const TaskId& aMember) const
{
  const std::int64_t count = mSteps[static_cast<std::size_t>(aMember.step)].count();
  TaskId member = aMember;
  member.index = 0;
  const JobTaskRecord::Fields* best = find(member);
  for (member.index = 1; member.index < count; member.index++) {
    const JobTaskRecord::Fields* record = find(member);
    // A run starts from the checkpoint of an earlier one, so what a later run saved goes first.
    const auto progress = [](const JobTaskRecord::Fields& aRecord) {
      return std::tuple(
        !aRecord.checkpoint.empty(), aRecord.checkpointRun, aRecord.checkpointPercent);
    };
    if (progress(*record) > progress(*best)) {
      best = record;
    }
  }
  return *best;
}

void
Job::finishTask(const TaskId& aTask, JobTaskRecord::Fields& aRecord)
{
  const JobStep& step = mSteps[static_cast<std::size_t>(aTask.step)];
  if (step.longRunning()) {
    return;
  }
  const auto markDone = [this, &aTask](JobTaskRecord::Fields& aTaskRecord) {
    if (!std::exchange(aTaskRecord.done, true)) {
      mOpenTasks[stepPosition(aTask.occurrence, aTask.step)]--;
      mOpenTaskCount--;
      mCrashSuspects -= aTaskRecord.crashes > 0 ? 1 : 0;
      aTaskRecord.lapses.reset();
    }
  };
  markDone(aRecord);
  if (step.gang()) {
    // A gang is done as soon as one of its members is done.
    TaskId member = aTask;
    for (member.index = 0; member.index < step.count(); member.index++) {
      markDone(mTasks[*taskPosition(member)]);
    }
  }
  if (mOpenTaskCount == 0) {
    setOutcome(JobState::eCompleted);
  }
}

void
Job::countFailure(const TaskId& aTask, std::int64_t aRun)
{
  const JobStep& step = mSteps[static_cast<std::size_t>(aTask.step)];
  if (step.longRunning()) {
    return;
  }
  TaskId counted = aTask;
  if (step.gang()) {
    // The failures of a gang are counted on its first member, once per run.
    counted.index = 0;
  }
  JobTaskRecord::Fields& record = mTasks[*taskPosition(counted)];
  if (aRun <= record.failedRun) {
    return;
  }
  record.failedRun = aRun;
  record.failures++;
  if (record.failures >= mQueue.maxAttempts()) {
    setOutcome(JobState::eFailed);
  }
}

void
Job::countCrash(JobTaskRecord::Fields& aRecord, const CountedCrash& aCrash)
{
  if (aRecord.done) {
    // Another member of its gang has ended the task, which is no longer counted as a suspect.
    return;
  }
  mCrashSuspects += aRecord.crashes == 0 ? 1 : 0;
  aRecord.crashes++;
  aRecord.crashAfterMs = std::max(aRecord.crashAfterMs, aCrash.ranMs);
  aRecord.suspicion += aCrash.share;
  aRecord.certainCrashes += aCrash.isCertain ? 1 : 0;
  // Two crashes in a row at the same place may be the worker's own fault.
  const bool isElsewhere = aCrash.place != aRecord.crashPlace;
  aRecord.crashPlace = aCrash.place;
  // Later into a run, a worker is likelier to have crashed by itself.
  const bool isLate = aRecord.crashAfterMs >= kHarmlessRunMs;
  const std::int64_t needed =
    CrashAttribution::kMaxCrashesAlone + (isElsewhere ? 0 : 1) + (isLate ? 1 : 0);
  const bool isCause = aCrash.isCertain && aCrash.share >= CrashAttribution::kCausingShare &&
                       aRecord.certainCrashes >= needed;
  if (isCause || aRecord.crashes >= kMaxCrashes) {
    setOutcome(JobState::eFailed);
  }
}

void
Job::clearCrashes(JobTaskRecord::Fields& aRecord)
{
  if (aRecord.crashes > 0 && !aRecord.done) {
    mCrashSuspects--;
  }
  aRecord.crashes = 0;
  aRecord.certainCrashes = 0;
  aRecord.crashPlace = "";
  aRecord.crashAfterMs = 0;
  aRecord.suspicion = 0;
}

bool
Job::cancel()
{
  if (isFinished()) {
    return false;
  }
  setOutcome(JobState::eCancelled);
  dropContentIfUnused();
  return true;
}

void
Job::setOutcome(JobState aOutcome)
{
  assert(!mOutcome);
  mOutcome = aOutcome;
}

void
Job::dropContentIfUnused()
{
  if (!isFinished() || mActiveRuns > 0) {
    return;
  }
  mTasks = {};
  mSteps = {};
  mOffsets = {};
  mOpenTasks = {};
  mPayload = {};
}

} // namespace magnoliadrum
