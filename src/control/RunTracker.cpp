#include "control/RunTracker.h"

#include "control/CrashBlame.h"
#include "observability/observability.h"
#include "state/BuildValue.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kFullPercent = 100;

/** Differs from every pace, so that the pace is ordered again. */
constexpr std::int64_t kUnknownPacePercent = -1;

bool
isDue(const std::optional<MonotonicTime>& aSentAt, MonotonicTime aNow)
{
  return !aSentAt || aNow.msSince(*aSentAt) >= RunTracker::kResendMs;
}

} // namespace

void
RunTracker::clear()
{
  mRuns.clear();
  mTasksByIncarnation.clear();
}

void
RunTracker::add(const TaskId& aTask, std::int64_t aRun, const IncarnationKey& aKey, const Job* aJob)
{
  TrackedRun tracked;
  tracked.task = aTask;
  tracked.run = aRun;
  tracked.incarnation = aKey;
  tracked.job = aJob;
  const std::string name = aTask.text();
  mTasksByIncarnation[aKey].insert(name);
  mRuns.insert_or_assign(name, std::move(tracked));
}

void
RunTracker::remove(const std::string& aTask, std::int64_t aRun)
{
  const auto position = mRuns.find(aTask);
  if (position == mRuns.end() || position->second.run != aRun) {
    return;
  }
  const auto runs = mTasksByIncarnation.find(position->second.incarnation);
  runs->second.erase(aTask);
  if (runs->second.empty()) {
    mTasksByIncarnation.erase(runs);
  }
  mRuns.erase(position);
}

TrackedRun*
RunTracker::find(const std::string& aTask, std::int64_t aRun)
{
  const auto position = mRuns.find(aTask);
  return position != mRuns.end() && position->second.run == aRun ? &position->second : nullptr;
}

const std::set<std::string>&
RunTracker::tasksOn(const IncarnationKey& aKey) const
{
  static const std::set<std::string> sNoTasks;
  const auto position = mTasksByIncarnation.find(aKey);
  return position == mTasksByIncarnation.end() ? sNoTasks : position->second;
}

std::vector<ListedRun>
RunTracker::applyListedRuns(const IncarnationKey& aKey, const WorkerReport& aReport)
{
  std::vector<ListedRun> unassigned;
  for (const ListedRun& running : aReport.running()) {
    TrackedRun* run = find(running.task(), running.run());
    if (run == nullptr || run->incarnation != aKey) {
      unassigned.push_back(running);
      continue;
    }
    run->isConfirmed = true;
    run->missingSince.reset();
    run->firstListedClockMs = run->firstListedClockMs.value_or(aReport.clockMs());
    run->listedMs = std::max(run->listedMs, aReport.clockMs() - *run->firstListedClockMs);
    run->progressPercent = running.percent();
    run->meter.observe(aReport.clockMs(), running.percent(), run->orderedPacePercent);
    run->latencyMsOrCpuMilli = running.figure();
    if (!running.checkpoint().empty() && running.checkpoint() != run->checkpoint) {
      run->checkpoint = running.checkpoint();
      run->checkpointPercent = running.percent();
    }
  }
  return unassigned;
}

std::vector<RunEnding>
RunTracker::applyAbsentRuns(const IncarnationKey& aKey,
                            const WorkerReport& aReport,
                            MonotonicTime aNow)
{
  std::vector<RunEnding> neverRan;
  if (aReport.hasMoreEnds()) {
    // A run that is not listed may be among the ends that the list leaves out.
    return neverRan;
  }
  std::set<std::pair<std::string_view, std::int64_t>> listed;
  for (const ListedRun& running : aReport.running()) {
    listed.emplace(running.task(), running.run());
  }
  for (const ListedEnd& ended : aReport.ended()) {
    listed.emplace(ended.task(), ended.run());
  }
  for (const std::string& name : tasksOn(aKey)) {
    TrackedRun& run = mRuns.at(name);
    if (listed.contains({ name, run.run }) || run.endProposed) {
      continue;
    }
    // Lists with the same clock reading may have been read before the run was closed.
    if (run.closedAtClockMs && aReport.clockMs() > *run.closedAtClockMs) {
      run.endProposed = true;
      logInfo("closed run is missing from the lists",
              { { "task", name },
                { "run", run.run },
                { "worker", aKey.worker },
                { "closedBy", toText(run.closedBy) },
                { "closedClock", *run.closedAtClockMs },
                { "listClock", aReport.clockMs() } });
      neverRan.push_back(buildValue<RunEnding>({ .task = name,
                                                 .run = run.run,
                                                 .how = RunEnd::eNeverRan,
                                                 .checkpoint = run.checkpoint,
                                                 .checkpointPercent = run.checkpointPercent }));
    } else if (run.isConfirmed) {
      run.missingSince = run.missingSince.value_or(aNow);
      run.shouldStop = run.shouldStop || aNow.msSince(*run.missingSince) >= kMissingTimeoutMs;
    }
  }
  return neverRan;
}

void
RunTracker::close(TrackedRun& aRun, const OrderAnswer& aAnswer)
{
  // Without a clock reading no lists are known to be newer. The stop order is sent again.
  if (aAnswer.clockMs() > 0) {
    aRun.closedAtClockMs = aAnswer.clockMs();
    aRun.closedBy = aAnswer.kind();
  } else if (aAnswer.kind() == OrderKind::eStart) {
    aRun.shouldStop = true;
  }
}

void
RunTracker::applyAnswers(const IncarnationKey& aKey, const std::vector<OrderAnswer>& aAnswers)
{
  for (const OrderAnswer& answer : aAnswers) {
    TrackedRun* run = find(answer.task(), answer.run());
    if (run == nullptr || run->incarnation != aKey) {
      continue;
    }
    if (answer.kind() == OrderKind::eStop && answer.result() == OrderResult::eAccepted) {
      close(*run, answer);
      continue;
    }
    if (answer.kind() != OrderKind::eStart) {
      continue;
    }
    switch (answer.result()) {
      case OrderResult::eAccepted:
        run->isConfirmed = true;
        break;
      case OrderResult::eClosed:
        close(*run, answer);
        break;
      case OrderResult::eLate:
      case OrderResult::eFenced:
        // The next order carries a newer lease and fence.
        run->startSentAt.reset();
        break;
      case OrderResult::eNoAnswer:
      case OrderResult::eNotSent:
      case OrderResult::eOtherLife:
        break;
      case OrderResult::eRoom:
      case OrderResult::eTicket:
      case OrderResult::eInvalid:
      case OrderResult::eUnhealthy:
        // An earlier copy of the order may still be in transit, so the run is closed first.
        run->shouldStop = true;
        break;
    }
  }
}

bool
RunTracker::withdrawUnstartedRuns(const IncarnationKey& aKey, const ResourceAmount& aCapacity)
{
  ResourceAmount used;
  for (const std::string& name : tasksOn(aKey)) {
    used = used.plus(requiredResources(mRuns.at(name).step()));
  }
  if (used.fitsIn(aCapacity)) {
    return true;
  }
  for (const std::string& name : tasksOn(aKey)) {
    TrackedRun& run = mRuns.at(name);
    if (run.isConfirmed || used.fitsIn(aCapacity)) {
      continue;
    }
    used = used.minus(requiredResources(run.step()));
    if (!needsStop(run)) {
      // An order may be in transit, so the run is closed before it is assigned again.
      run.shouldStop = true;
      logInfo("run withdrawn: its worker's capacity has shrunk",
              { { "task", name }, { "run", run.run }, { "worker", aKey.worker } });
    }
  }
  return false;
}

void
RunTracker::withdrawUnorderedRuns(const IncarnationKey& aKey, MonotonicTime aNow)
{
  for (const std::string& name : tasksOn(aKey)) {
    TrackedRun& run = mRuns.at(name);
    if (run.isConfirmed || needsStop(run) || !isDue(run.startSentAt, aNow)) {
      continue;
    }
    // An order of an earlier leader may be in transit, so the run is closed before it is assigned
    // again.
    run.shouldStop = true;
    logInfo("run withdrawn: its worker's data centre is evacuated",
            { { "task", name }, { "run", run.run }, { "worker", aKey.worker } });
  }
}

void
RunTracker::addDueOrders(const IncarnationKey& aKey,
                         const ResourceAmount& aCapacity,
                         bool aMayStart,
                         MonotonicTime aNow,
                         WorkerOrders::Fields& aOrders)
{
  const bool canStart = withdrawUnstartedRuns(aKey, aCapacity) && aMayStart;
  for (const std::string& name : tasksOn(aKey)) {
    TrackedRun& run = mRuns.at(name);
    if (needsStop(run)) {
      const bool isOnWorker = run.isConfirmed && !run.missingSince;
      if ((!run.closedAtClockMs || isOnWorker) && isDue(run.stopSentAt, aNow)) {
        run.stopSentAt = aNow;
        run.firstStopSentAt = run.firstStopSentAt.value_or(aNow);
        aOrders.stops.push_back(buildValue<StopOrder>({ .task = name, .run = run.run }));
      }
      continue;
    }
    // A run with a proposed end has ended or never starts. Its start could reach the worker after
    // the acknowledgement of the end.
    const bool mayStart = !run.isConfirmed && !run.closedAtClockMs && !run.endProposed;
    if (canStart && mayStart && isDue(run.startSentAt, aNow)) {
      run.startSentAt = aNow;
      const JobTaskRecord::Fields* record = run.job->find(run.task);
      aOrders.starts.push_back(buildValue<StartOrder>({ .task = name,
                                                        .run = run.run,
                                                        .payload = run.job->payload(),
                                                        .checkpoint = record->checkpoint }));
    }
    addDuePaceOrder(run, aNow, aOrders);
  }
}

void
RunTracker::markUnsent(const WorkerOrders& aOrders)
{
  for (const StartOrder& order : aOrders.starts()) {
    if (TrackedRun* run = find(order.task(), order.run())) {
      run->startSentAt.reset();
    }
  }
  for (const StopOrder& order : aOrders.stops()) {
    if (TrackedRun* run = find(order.task(), order.run())) {
      if (run->firstStopSentAt == run->stopSentAt) {
        run->firstStopSentAt.reset();
      }
      run->stopSentAt.reset();
    }
  }
  for (const PaceOrder& order : aOrders.paces()) {
    if (TrackedRun* run = find(order.task(), order.run())) {
      run->orderedPacePercent = kUnknownPacePercent;
    }
  }
}

void
RunTracker::addDuePaceOrder(TrackedRun& aRun, MonotonicTime aNow, WorkerOrders::Fields& aOrders)
{
  if (!aRun.step().opportunistic() || !aRun.isConfirmed) {
    return;
  }
  const std::int64_t percent = aRun.desiredPacePercent;
  const bool isSlowed = percent < kFullPercent;
  const bool needsResend = isSlowed && aNow.msSince(aRun.paceSentAt) >= kPaceResendMs;
  if (aRun.orderedPacePercent == percent && !needsResend) {
    return;
  }
  aRun.orderedPacePercent = percent;
  aRun.paceSentAt = aNow;
  aOrders.paces.push_back(
    buildValue<PaceOrder>({ .task = aRun.task.text(), .run = aRun.run, .percent = percent }));
}

std::optional<std::map<std::string, CrashSuspect>>
RunTracker::crashSuspects(const IncarnationKey& aKey, const WorkerIncarnation& aIncarnation) const
{
  if (aIncarnation.description.gone()) {
    return std::map<std::string, CrashSuspect>();
  }
  if (aIncarnation.crashSuspects || aIncarnation.isLeaving()) {
    return aIncarnation.crashSuspects.value_or(std::map<std::string, CrashSuspect>());
  }
  if (!aIncarnation.leftAt) {
    return std::nullopt;
  }
  std::map<std::string, CrashSuspect> suspects;
  for (const std::string& name : tasksOn(aKey)) {
    const TrackedRun& run = mRuns.at(name);
    // A run that this leader has not seen at work is not taken for one that has just begun.
    suspects[name] = { .run = run.run,
                       .hasBegun = run.isConfirmed,
                       .ranMs = run.isConfirmed ? run.listedMs : kHarmlessRunMs,
                       .evidence = CrashEvidence::eLaterIncarnation };
  }
  return suspects;
}

std::vector<RunEnding>
RunTracker::takeLapsedEnds(const IncarnationKey& aKey,
                           const WorkerIncarnation& aIncarnation,
                           MonotonicTime aNow)
{
  const std::optional<std::map<std::string, CrashSuspect>> evidence =
    crashSuspects(aKey, aIncarnation);
  const std::map<std::string, CrashSuspect> suspects =
    evidence.value_or(std::map<std::string, CrashSuspect>());
  CrashBlame blame;
  std::vector<RunEnding::Fields> ends;
  /** Positions in ends of the runs that share the blame. */
  std::vector<std::size_t> positions;
  for (const std::string& name : tasksOn(aKey)) {
    TrackedRun& run = mRuns.at(name);
    if (std::exchange(run.endProposed, true)) {
      continue;
    }
    ends.push_back({ .task = name,
                     .run = run.run,
                     .how = RunEnd::eLapsed,
                     .checkpoint = run.checkpoint,
                     .checkpointPercent = run.checkpointPercent,
                     .ranMs = run.listedMs,
                     .harmless = run.isProvenHarmless() });
    if (!evidence) {
      ends.back().unexplained =
        run.isConfirmed ? UnexplainedLapse::eBegun : UnexplainedLapse::eNotBegun;
    }
    const auto suspect = suspects.find(name);
    // A finished job has dropped its steps and tasks.
    if (suspect == suspects.end() || suspect->second.run != run.run || run.job->isFinished()) {
      continue;
    }
    // A run that has worked for long enough refutes the earlier crashes and may still have caused
    // this one.
    ends.back().ranMs = std::max(suspect->second.ranMs, run.listedMs);
    if (blame.add(run.step(), *run.job->find(run.task), suspect->second, ends.back().ranMs)) {
      positions.push_back(ends.size() - 1);
    }
  }
  const std::vector<CrashBlame::Verdict> verdicts = blame.verdicts();
  for (std::size_t index = 0; index < positions.size(); index++) {
    RunEnding::Fields& end = ends[positions[index]];
    end.crashSuspects = blame.suspects();
    end.crashShare = verdicts[index].share;
    end.crashCertain = verdicts[index].isCertain;
    // The run has refuted the earlier crashes only if it is not the likely cause of this one.
    end.harmless = end.harmless && end.crashShare < CrashAttribution::kTrialSuspicion;
    const TrackedRun& run = mRuns.at(end.task);
    const CrashSuspect& suspect = suspects.at(end.task);
    logInfo("lapsed run counts as a crash of its worker",
            { { "task", end.task },
              { "run", run.run },
              { "worker", aKey.worker },
              { "evidence", toText(suspect.evidence) },
              { "certain", end.crashCertain },
              { "silentMs", aNow.msSince(aIncarnation.reportedAt) },
              { "listAgeMs", suspect.listAgeMs },
              { "ranMs", end.ranMs },
              { "share", end.crashShare },
              { "crashesBefore", run.job->find(run.task)->crashes } });
  }
  std::vector<RunEnding> endings;
  for (RunEnding::Fields& end : ends) {
    endings.push_back(buildValue<RunEnding>(std::move(end)));
  }
  return endings;
}

} // namespace magnoliadrum
