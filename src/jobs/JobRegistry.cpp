#include "jobs/JobRegistry.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace magnoliadrum {

JobRegistry
JobRegistry::fromSnapshot(const StateSnapshot& aSnapshot)
{
  JobRegistry registry;
  registry.mCatalogue = aSnapshot.queueCatalogue();
  for (const JobRecord& record : aSnapshot.jobs()) {
    registry.mJobs.emplace(record.jobId(), Job::fromRecord(record));
    registry.updateIndexes(registry.mJobs.at(record.jobId()));
  }
  if (aSnapshot.cancelledIds()) {
    registry.mCancelledIds = CancelledIds::fromRecords(*aSnapshot.cancelledIds());
  }
  // Earlier versions of this program kept the queues as they were at the acceptance.
  registry.updateQueuesOfJobs();
  return registry;
}

void
JobRegistry::writeTo(StateSnapshot::Fields& aSnapshot) const
{
  aSnapshot.queueCatalogue = mCatalogue;
  const std::deque<CancelledId>& cancelled = mCancelledIds.records();
  if (!cancelled.empty()) {
    aSnapshot.cancelledIds.emplace(cancelled.begin(), cancelled.end());
  }
  for (const std::string& jobId : mFinishedOrder) {
    aSnapshot.jobs.push_back(mJobs.at(jobId).record());
  }
  for (const std::string& jobId : mOpenJobs) {
    aSnapshot.jobs.push_back(mJobs.at(jobId).record());
  }
}

QueueCatalogueSet
JobRegistry::apply(const SetQueueCatalogue& aCommand)
{
  const QueueCatalogue& catalogue = aCommand.catalogue();
  if (mCatalogue && mCatalogue->version() >= catalogue.version()) {
    return { mCatalogue->version(), false };
  }
  mCatalogue = catalogue;
  updateQueuesOfJobs();
  mShortWork.followQueues(catalogue.queues());
  return { catalogue.version(), true };
}

void
JobRegistry::updateQueuesOfJobs()
{
  if (!mCatalogue) {
    return;
  }
  std::map<std::string_view, const JobQueue*> byName;
  std::map<std::pair<std::string_view, std::string_view>, const JobQueue*> byAddress;
  for (const JobQueue& queue : mCatalogue->queues()) {
    byName.emplace(queue.name(), &queue);
    byAddress.emplace(std::pair(queue.host(), queue.pathPrefix()), &queue);
  }
  for (const std::string& jobId : mOpenJobs) {
    Job& job = mJobs.at(jobId);
    const auto sameName = byName.find(job.queue().name());
    const auto sameAddress = byAddress.find({ job.queue().host(), job.queue().pathPrefix() });
    if (sameName != byName.end()) {
      job.followQueue(*sameName->second);
    } else if (sameAddress != byAddress.end()) {
      job.followQueue(*sameAddress->second);
    }
  }
}

std::variant<JobChanged, Error>
JobRegistry::apply(const SubmitJob& aCommand)
{
  const std::string& jobId = aCommand.job().jobId();
  if (const Job* known = find(jobId)) {
    return JobChanged{ jobId, known->state(), false };
  }
  const JobQueue* queue = findQueue(
    valueOf(QueueSelector::create({ .name = aCommand.queueName(), .host = "", .path = "" })));
  if (queue == nullptr) {
    return Error::create(ErrorCode::eNotFound,
                         "job.submit",
                         jobId,
                         "queue " + aCommand.queueName() + " does not exist");
  }
  Job& job = mJobs.emplace(jobId, Job::accept(*queue, aCommand.job(), aCommand.acceptedAtMs()))
               .first->second;
  if (mCancelledIds.contains(jobId)) {
    job.cancel();
    updateIndexes(job);
    return JobChanged{ jobId, JobState::eCancelled, false };
  }
  mOpenJobs.insert(jobId);
  mShortWork.add(*queue, aCommand.job(), aCommand.acceptedAtMs());
  return JobChanged{ jobId, JobState::eQueued, true };
}

std::variant<JobChanged, JobIdCancelled, Error>
JobRegistry::apply(const CancelJob& aCommand)
{
  const auto position = mJobs.find(aCommand.jobId());
  if (position == mJobs.end()) {
    if (mCancelledIds.add(aCommand.jobId(), aCommand.cancelledAtMs())) {
      return JobIdCancelled{ aCommand.jobId() };
    }
    return Error::create(ErrorCode::eRefused,
                         "job.cancel",
                         aCommand.jobId(),
                         "too many unknown jobs were cancelled before");
  }
  const bool applied = position->second.cancel();
  updateIndexes(position->second);
  return JobChanged{ aCommand.jobId(), position->second.state(), applied };
}

RunsChanged
JobRegistry::apply(const StartRuns& aCommand)
{
  RunsChanged outcome;
  for (const RunStart& start : aCommand.runs()) {
    const std::optional<TaskId> task = TaskId::parse(start.task());
    const auto position = task ? mJobs.find(task->jobId) : mJobs.end();
    if (position != mJobs.end() && position->second.start(*task, start)) {
      outcome.mAppliedCount++;
    }
  }
  return outcome;
}

RunsChanged
JobRegistry::apply(const EndRuns& aCommand)
{
  RunsChanged outcome;
  for (const RunEnding& end : aCommand.ends()) {
    const std::optional<TaskId> task = TaskId::parse(end.task());
    const auto position = task ? mJobs.find(task->jobId) : mJobs.end();
    if (position != mJobs.end() && position->second.end(*task, end)) {
      outcome.mAppliedCount++;
      updateIndexes(position->second);
    }
  }
  return outcome;
}

RunsChanged
JobRegistry::apply(const ExplainLapses& aCommand)
{
  RunsChanged outcome;
  for (const LapseFinding& finding : aCommand.findings()) {
    const std::optional<TaskId> task = TaskId::parse(finding.task());
    const auto position = task ? mJobs.find(task->jobId) : mJobs.end();
    if (position != mJobs.end() && position->second.explainLapse(*task, finding)) {
      outcome.mAppliedCount++;
      updateIndexes(position->second);
    }
  }
  return outcome;
}

void
JobRegistry::updateIndexes(const Job& aJob)
{
  if (!aJob.isFinished() || aJob.hasActiveRuns()) {
    mOpenJobs.insert(aJob.jobId());
    return;
  }
  if (!mFinishedIds.insert(aJob.jobId()).second) {
    return;
  }
  mOpenJobs.erase(aJob.jobId());
  mFinishedOrder.push_back(aJob.jobId());
  if (mFinishedOrder.size() > kMaxFinishedJobs) {
    mJobs.erase(mFinishedOrder.front());
    mFinishedIds.erase(mFinishedOrder.front());
    mFinishedOrder.pop_front();
  }
}

bool
JobRegistry::isSelected(const JobQueue& aQueue, const QueueSelector& aSelector)
{
  return aSelector.name().empty()
           ? aQueue.host() == aSelector.host() && aSelector.path().starts_with(aQueue.pathPrefix())
           : aQueue.name() == aSelector.name();
}

const JobQueue*
JobRegistry::findQueueOfJob(const QueueSelector& aSelector, const std::string& aJobId) const
{
  const JobQueue* queue = findQueue(aSelector);
  const Job* job = queue == nullptr ? find(aJobId) : nullptr;
  return job != nullptr && isSelected(job->queue(), aSelector) ? &job->queue() : queue;
}

const JobQueue*
JobRegistry::findQueue(const QueueSelector& aSelector) const
{
  const JobQueue* best = nullptr;
  if (!mCatalogue) {
    return best;
  }
  for (const JobQueue& queue : mCatalogue->queues()) {
    if (isSelected(queue, aSelector) &&
        (best == nullptr || queue.pathPrefix().size() > best->pathPrefix().size())) {
      best = &queue;
    }
  }
  return best;
}

bool
JobRegistry::usesPool(const std::string& aName) const
{
  const auto isNamed = [&aName](const WorkerPool& aPool) { return aPool.name() == aName; };
  const auto isNeeded = [this, &aName](const std::string& aJobId) {
    return mJobs.at(aJobId).queue().poolName() == aName;
  };
  return (mCatalogue &&
          std::any_of(mCatalogue->pools().begin(), mCatalogue->pools().end(), isNamed)) ||
         std::any_of(mOpenJobs.begin(), mOpenJobs.end(), isNeeded);
}

const Job*
JobRegistry::find(const std::string& aJobId) const
{
  const auto position = mJobs.find(aJobId);
  return position == mJobs.end() ? nullptr : &position->second;
}

} // namespace magnoliadrum
