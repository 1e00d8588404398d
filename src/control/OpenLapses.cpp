#include "control/OpenLapses.h"

#include "control/CrashBlame.h"
#include "state/BuildValue.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

namespace {

LapseFinding
findingOf(const std::string& aTask, std::int64_t aRun, LapseCause aCause)
{
  return buildValue<LapseFinding>({ .task = aTask, .run = aRun, .cause = aCause });
}

/** Returns the record of a task if its lapse is still open in the log; otherwise null: a later run
 * of the task has been harmless, or the job is over. */
const JobTaskRecord::Fields*
openRecord(const JobRegistry& aJobs, const TaskId& aTask, std::int64_t aRun)
{
  const Job* job = aJobs.find(aTask.jobId);
  const JobTaskRecord::Fields* record = job != nullptr ? job->find(aTask) : nullptr;
  if (record == nullptr || job->isFinished()) {
    return nullptr;
  }
  const std::vector<LapsedRun>& lapses = CrashAttribution::openLapses(*record);
  const bool isOpen = std::any_of(
    lapses.begin(), lapses.end(), [aRun](const LapsedRun& aLapse) { return aLapse.run() == aRun; });
  return isOpen ? record : nullptr;
}

/** Whether a job has ended without having completed, so that nothing shows that its tasks are
 * harmless. */
bool
isEndedIncomplete(const JobRegistry& aJobs, const std::string& aTask)
{
  const std::optional<TaskId> task = TaskId::parse(aTask);
  const Job* job = task ? aJobs.find(task->jobId) : nullptr;
  return job != nullptr && job->isFinished() && job->state() != JobState::eCompleted;
}

} // namespace

void
OpenLapses::add(const TaskId& aTask, const LapsedRun& aLapse, MonotonicTime aNow)
{
  const IncarnationKey key{ aLapse.worker(), aLapse.bornMs() };
  const RunName name{ aTask.text(), aLapse.run() };
  mIncarnations[key].insert_or_assign(name, Lapse{ .task = aTask, .run = aLapse, .addedAt = aNow });
  mKeys.insert_or_assign(name, key);
}

void
OpenLapses::remove(const std::string& aTask, std::int64_t aRun)
{
  const auto position = mKeys.find({ aTask, aRun });
  if (position == mKeys.end()) {
    return;
  }
  const auto incarnation = mIncarnations.find(position->second);
  incarnation->second.erase(position->first);
  if (incarnation->second.empty()) {
    mIncarnations.erase(incarnation);
  }
  mKeys.erase(position);
}

std::vector<LapseFinding>
OpenLapses::findingsOf(Lapses& aLapses, LapseCause aCause)
{
  std::vector<LapseFinding> findings;
  for (auto& [name, lapse] : aLapses) {
    if (!std::exchange(lapse.isExplained, true)) {
      findings.push_back(findingOf(name.first, name.second, aCause));
    }
  }
  return findings;
}

std::vector<LapseFinding>
OpenLapses::crashFindings(Lapses& aLapses, const CrashSuspects* aSuspects, const JobRegistry& aJobs)
{
  std::map<std::string, CrashSuspect> evidence;
  if (aSuspects != nullptr) {
    evidence = crashSuspectsOf(*aSuspects);
  } else {
    for (const auto& [name, lapse] : aLapses) {
      // A run that no leader has seen at work is not taken for one that has just begun.
      evidence[name.first] = { .run = lapse.run.run(),
                               .hasBegun = lapse.run.begun(),
                               .ranMs = lapse.run.begun() ? lapse.run.ranMs() : kHarmlessRunMs,
                               .evidence = CrashEvidence::eLaterIncarnation };
    }
  }
  CrashBlame blame;
  std::vector<LapseFinding> findings;
  std::vector<LapseFinding::Fields> crashes;
  for (auto& [name, lapse] : aLapses) {
    if (std::exchange(lapse.isExplained, true)) {
      continue;
    }
    const auto& [task, run] = name;
    const auto suspect = evidence.find(task);
    const JobTaskRecord::Fields* record = openRecord(aJobs, lapse.task, run);
    const bool isSuspect =
      record != nullptr && suspect != evidence.end() && suspect->second.run == run;
    const JobStep* step =
      isSuspect ? &aJobs.find(lapse.task.jobId)->steps()[static_cast<std::size_t>(lapse.task.step)]
                : nullptr;
    if (!isSuspect ||
        !blame.add(
          *step, *record, suspect->second, std::max(suspect->second.ranMs, lapse.run.ranMs()))) {
      findings.push_back(findingOf(task, run, LapseCause::eSurvived));
      continue;
    }
    evidence.erase(suspect);
    crashes.push_back({ .task = task, .run = run, .cause = LapseCause::eCrashed });
  }
  for (const auto& [task, suspect] : evidence) {
    if (isEndedIncomplete(aJobs, task)) {
      blame.addUnknown(suspect);
    }
  }
  const std::vector<CrashBlame::Verdict> verdicts = blame.verdicts();
  for (std::size_t index = 0; index < crashes.size(); index++) {
    crashes[index].ranMs = verdicts[index].ranMs;
    crashes[index].crashSuspects = blame.suspects();
    crashes[index].crashShare = verdicts[index].share;
    crashes[index].crashCertain = verdicts[index].isCertain;
    findings.push_back(buildValue<LapseFinding>(std::move(crashes[index])));
  }
  return findings;
}

std::vector<LapseFinding>
OpenLapses::explain(const WorkerReport& aReport,
                    const std::string& aRelay,
                    bool aIsSynced,
                    const JobRegistry& aJobs)
{
  const IncarnationKey reported{ aReport.worker().workerId(), aReport.worker().bornMs() };
  std::vector<LapseFinding> findings;
  for (auto& [key, lapses] : mIncarnations) {
    const auto named = std::find_if(aReport.crashSuspects().begin(),
                                    aReport.crashSuspects().end(),
                                    [incarnation = key](const CrashSuspects& aSuspects) {
                                      return aSuspects.worker() == incarnation.worker &&
                                             aSuspects.bornMs() == incarnation.startedAtMs;
                                    });
    const bool isSuccessor =
      reported.startedAtMs > key.startedAtMs &&
      (reported.worker == key.worker || lapses.begin()->second.run.place() == aRelay);
    std::vector<LapseFinding> found;
    if (named != aReport.crashSuspects().end()) {
      found = crashFindings(lapses, &*named, aJobs);
    } else if (aIsSynced && key == reported) {
      found = findingsOf(lapses, LapseCause::eSurvived);
    } else if (aIsSynced && isSuccessor) {
      found = crashFindings(lapses, nullptr, aJobs);
    }
    findings.insert(findings.end(), found.begin(), found.end());
  }
  return findings;
}

std::vector<LapseFinding>
OpenLapses::takeExpired(MonotonicTime aNow)
{
  std::vector<LapseFinding> findings;
  for (auto& [key, lapses] : mIncarnations) {
    for (auto& [name, lapse] : lapses) {
      if (aNow.msSince(lapse.addedAt) >= kEvidenceMs && !std::exchange(lapse.isExplained, true)) {
        findings.push_back(findingOf(name.first, name.second, LapseCause::eUnknown));
      }
    }
  }
  return findings;
}

void
OpenLapses::reopen(const std::vector<LapseFinding>& aFindings)
{
  for (const LapseFinding& finding : aFindings) {
    const RunName name{ finding.task(), finding.run() };
    if (const auto position = mKeys.find(name); position != mKeys.end()) {
      mIncarnations.at(position->second).at(name).isExplained = false;
    }
  }
}

} // namespace magnoliadrum
