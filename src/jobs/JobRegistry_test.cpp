#include "jobs/JobRules.h"
#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

std::size_t
appliedCount(const RunsChanged& aChanged)
{
  return aChanged.mAppliedCount;
}

QueueSelector
byPath(const std::string& aHost, const std::string& aPath)
{
  return valueOf(QueueSelector::create({ .name = "", .host = aHost, .path = aPath }));
}

/** The end of a run whose lease has lapsed without evidence of a crash. */
EndRuns
unexplainedEndOf(const std::string& aTask, std::int64_t aRun)
{
  return valueOf(EndRuns::create(
    { .ends = { valueOf(RunEnding::create({ .task = aTask,
                                            .run = aRun,
                                            .how = RunEnd::eLapsed,
                                            .ranMs = 300,
                                            .unexplained = UnexplainedLapse::eBegun })) } }));
}

ExplainLapses
findingOf(const std::string& aTask, std::int64_t aRun, LapseCause aCause)
{
  return valueOf(ExplainLapses::create(
    { .findings = { valueOf(LapseFinding::create(
        { .task = aTask, .run = aRun, .cause = aCause, .ranMs = 300, .crashShare = 100 })) } }));
}

SetQueueCatalogue
setQueues(std::int64_t aVersion, std::vector<JobQueue> aQueues)
{
  return valueOf(SetQueueCatalogue::create(
    { .catalogue = queueCatalogue(aVersion, std::move(aQueues), { "desk", "annex" }) }));
}

/** A version of a queue in which everything but its name differs. */
JobQueue
movedQueue(const std::string& aName)
{
  return valueOf(JobQueue::create({ .name = aName,
                                    .host = "other.example",
                                    .pathPrefix = "/moved/",
                                    .poolName = "annex",
                                    .priority = 1,
                                    .maxAttempts = 7,
                                    .stretch = 9,
                                    .objectiveMs = 9000 }));
}

/** A registry with an accepted job "j" of two tasks. */
struct RegistryWithJob
{
  RegistryWithJob() { mRegistry.apply(submitOf("tally", jobOf("j", { stepOf(2, 100, 10) }))); }

  const Job& job() const { return *mRegistry.find("j"); }

  JobRegistry mRegistry = registryWithQueues();
};

} // namespace

BOOST_AUTO_TEST_SUITE(job_registry)

BOOST_AUTO_TEST_CASE(task_ids_are_formatted_and_parsed_and_malformed_ones_are_rejected)
{
  const TaskId task{ "5c0e7a21d94b36f8", 3, 1, 17 };
  BOOST_TEST(task.text() == "5c0e7a21d94b36f8.3.1.17");
  BOOST_TEST((TaskId::parse(task.text()) == task));
  for (const char* text : { "", "a", "a.1.2", ".0.0.1", "a.0.0.", "a.0.x.1", "a.0.0.-1" }) {
    BOOST_TEST(!TaskId::parse(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(a_catalogue_is_replaced_only_by_one_with_a_higher_version)
{
  JobRegistry registry;
  const auto set = [&registry](std::int64_t aVersion, const std::string& aQueue) {
    return registry.apply(valueOf(
      SetQueueCatalogue::create({ .catalogue = queueCatalogue(aVersion, { jobQueue(aQueue) }) })));
  };
  BOOST_TEST(set(7, "seven").mChanged);
  BOOST_TEST(!set(5, "five").mChanged);
  BOOST_TEST(!set(7, "other").mChanged);
  BOOST_TEST(registry.catalogue()->queues().front().name() == "seven");
  BOOST_TEST(set(9, "nine").mChanged);
  BOOST_TEST(registry.catalogue()->version() == 9);
}

BOOST_AUTO_TEST_CASE(the_queue_with_the_longest_matching_path_prefix_is_selected)
{
  JobRegistry registry;
  JobQueue::Fields inner = jobQueue("inner").fields();
  inner.pathPrefix = "/outer/inner/";
  registry.apply(valueOf(SetQueueCatalogue::create(
    { .catalogue = queueCatalogue(1, { jobQueue("outer"), valueOf(JobQueue::create(inner)) }) })));
  BOOST_TEST(registry.findQueue(byPath("guild.example", "/outer/inner/1"))->name() == "inner");
  BOOST_TEST(registry.findQueue(byPath("guild.example", "/outer/1"))->name() == "outer");
  BOOST_TEST(registry.findQueue(byPath("guild.example", "/other/1")) == nullptr);
  BOOST_TEST(registry.findQueue(byPath("delta.example", "/outer/1")) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(submitting_a_known_job_id_again_changes_nothing, RegistryWithJob)
{
  const auto again = mRegistry.apply(submitOf("urgent", jobOf("j", { stepOf(9, 100, 10) })));
  BOOST_TEST(!std::get<JobChanged>(again).mApplied);
  BOOST_TEST(job().steps().front().count() == 2);
}

BOOST_FIXTURE_TEST_CASE(at_most_one_run_of_a_task_is_active, RegistryWithJob)
{
  BOOST_TEST(appliedCount(mRegistry.apply(startOf("j.0.0.0", 1))) == 1u);
  BOOST_TEST(appliedCount(mRegistry.apply(startOf("j.0.0.0", 2))) == 0u);
  BOOST_TEST(appliedCount(mRegistry.apply(endOf("j.0.0.0", 2, RunEnd::eDone))) == 0u);
  BOOST_TEST(appliedCount(mRegistry.apply(endOf("j.0.0.0", 1, RunEnd::eLapsed, "half"))) == 1u);
  BOOST_TEST(appliedCount(mRegistry.apply(startOf("j.0.0.0", 1))) == 0u,
             "a run number is used once");
  BOOST_TEST(appliedCount(mRegistry.apply(startOf("j.0.0.0", 2))) == 1u);
  BOOST_TEST(job().find({ "j", 0, 0, 0 })->checkpoint == "half");
}

BOOST_FIXTURE_TEST_CASE(a_job_is_completed_when_all_tasks_are_done, RegistryWithJob)
{
  for (const char* task : { "j.0.0.0", "j.0.0.1" }) {
    BOOST_TEST((job().state() != JobState::eCompleted));
    mRegistry.apply(startOf(task, 1));
    mRegistry.apply(endOf(task, 1, RunEnd::eDone));
  }
  BOOST_TEST((job().state() == JobState::eCompleted));
  BOOST_TEST(mRegistry.openJobs().empty());
  BOOST_TEST(appliedCount(mRegistry.apply(startOf("j.0.0.0", 2))) == 0u);
}

BOOST_FIXTURE_TEST_CASE(only_failures_count_as_attempts, RegistryWithJob)
{
  mRegistry.apply(startOf("j.0.0.0", 1));
  mRegistry.apply(endOf("j.0.0.0", 1, RunEnd::eLapsed));
  mRegistry.apply(startOf("j.0.0.0", 2));
  mRegistry.apply(endOf("j.0.0.0", 2, RunEnd::eFailed));
  BOOST_TEST((job().state() == JobState::eRunning));
  mRegistry.apply(startOf("j.0.0.1", 1));
  mRegistry.apply(startOf("j.0.0.0", 3));
  mRegistry.apply(endOf("j.0.0.0", 3, RunEnd::eFailed));
  BOOST_TEST((job().state() == JobState::eFailed));
  BOOST_TEST(job().hasActiveRuns(), "the other task's run may still be active");
  mRegistry.apply(endOf("j.0.0.1", 1, RunEnd::eStopped));
  BOOST_TEST((job().state() == JobState::eFailed));
  BOOST_TEST(mRegistry.openJobs().empty());
}

// Guards against a crash that is counted twice, or forgotten, because its evidence came after the
// lapse of the run: with a new leader, over a snapshot, and while the next run is active.
BOOST_FIXTURE_TEST_CASE(late_evidence_of_a_crash_counts_once, RegistryWithJob)
{
  const TaskId task{ "j", 0, 0, 0 };
  mRegistry.apply(startOf("j.0.0.0", 1));
  mRegistry.apply(unexplainedEndOf("j.0.0.0", 1));
  BOOST_TEST(job().find(task)->crashes == 0, "a lapse alone is no crash");
  mRegistry.apply(startOf("j.0.0.0", 2));
  StateSnapshot::Fields snapshot{ .appliedIndex = 1, .catalogueVersion = 0, .nextSession = 1 };
  mRegistry.writeTo(snapshot);
  mRegistry = JobRegistry::fromSnapshot(valueOf(StateSnapshot::create(std::move(snapshot))));
  BOOST_REQUIRE(CrashAttribution::openLapses(*job().find(task)).size() == 1u);
  BOOST_TEST(job().find(task)->lapses->front().worker() == "w1");
  BOOST_TEST(appliedCount(mRegistry.apply(findingOf("j.0.0.0", 2, LapseCause::eCrashed))) == 0u);
  BOOST_TEST(appliedCount(mRegistry.apply(findingOf("j.0.0.0", 1, LapseCause::eCrashed))) == 1u);
  BOOST_TEST(job().find(task)->crashes == 1);
  BOOST_TEST(job().hasCrashSuspects());
  BOOST_TEST(appliedCount(mRegistry.apply(findingOf("j.0.0.0", 1, LapseCause::eCrashed))) == 0u);
  BOOST_TEST(job().find(task)->crashes == 1);
}

BOOST_FIXTURE_TEST_CASE(lapse_that_its_worker_survived_leaves_no_crash, RegistryWithJob)
{
  for (std::int64_t run = 1; run <= 2 * Job::kMaxCrashes; run++) {
    mRegistry.apply(startOf("j.0.0.0", run));
    mRegistry.apply(unexplainedEndOf("j.0.0.0", run));
    mRegistry.apply(
      findingOf("j.0.0.0", run, run % 2 == 0 ? LapseCause::eSurvived : LapseCause::eUnknown));
  }
  BOOST_TEST((job().state() == JobState::eRunning));
  BOOST_TEST(!job().hasCrashSuspects());
  BOOST_TEST(!job().find({ "j", 0, 0, 0 })->lapses.has_value());
}

// Guards against blaming a task for a lapse that a later run of it has refuted.
BOOST_FIXTURE_TEST_CASE(harmless_run_refutes_the_open_lapses_before_it, RegistryWithJob)
{
  mRegistry.apply(startOf("j.0.0.0", 1));
  mRegistry.apply(unexplainedEndOf("j.0.0.0", 1));
  mRegistry.apply(startOf("j.0.0.0", 2));
  mRegistry.apply(valueOf(EndRuns::create(
    { .ends = { valueOf(RunEnding::create(
        { .task = "j.0.0.0", .run = 2, .how = RunEnd::eFailed, .harmless = true })) } })));
  BOOST_TEST(appliedCount(mRegistry.apply(findingOf("j.0.0.0", 1, LapseCause::eCrashed))) == 0u);
  BOOST_TEST(!job().hasCrashSuspects());
}

// Guards against BUDGET: a task with four counted crashes was started again while a lapse of it was
// open that nobody could explain any more.
BOOST_FIXTURE_TEST_CASE(task_awaits_evidence_before_it_starts_beyond_the_bound, RegistryWithJob)
{
  const TaskId task{ "j", 0, 0, 0 };
  for (std::int64_t run = 1; run <= Job::kMaxCrashes; run++) {
    BOOST_TEST(!CrashAttribution::awaitsEvidence(*job().find(task)));
    mRegistry.apply(startOf("j.0.0.0", run));
    mRegistry.apply(unexplainedEndOf("j.0.0.0", run));
    if (run > 1) {
      mRegistry.apply(findingOf("j.0.0.0", run, LapseCause::eCrashed));
    }
  }
  BOOST_TEST(CrashAttribution::awaitsEvidence(*job().find(task)));
  JobRegistry survived = mRegistry;
  survived.apply(findingOf("j.0.0.0", 1, LapseCause::eSurvived));
  BOOST_TEST(!CrashAttribution::awaitsEvidence(*survived.find("j")->find(task)));
  BOOST_TEST((survived.find("j")->state() == JobState::eRunning));
  mRegistry.apply(findingOf("j.0.0.0", 1, LapseCause::eUnknown));
  BOOST_TEST((job().state() == JobState::eFailed));
}

BOOST_FIXTURE_TEST_CASE(late_crashes_give_a_job_up_and_its_active_run_is_kept_until_its_end,
                        RegistryWithJob)
{
  for (std::int64_t run = 1; run <= Job::kMaxCrashes; run++) {
    mRegistry.apply(startOf("j.0.0.0", run));
    mRegistry.apply(unexplainedEndOf("j.0.0.0", run));
  }
  mRegistry.apply(startOf("j.0.0.0", Job::kMaxCrashes + 1));
  for (std::int64_t run = 1; run <= Job::kMaxCrashes; run++) {
    BOOST_TEST((job().state() == JobState::eRunning));
    mRegistry.apply(findingOf("j.0.0.0", run, LapseCause::eCrashed));
  }
  BOOST_TEST((job().state() == JobState::eFailed));
  BOOST_TEST(mRegistry.openJobs().contains("j"));
  mRegistry.apply(endOf("j.0.0.0", Job::kMaxCrashes + 1, RunEnd::eStopped));
  BOOST_TEST(mRegistry.openJobs().empty());
}

BOOST_AUTO_TEST_CASE(long_running_tasks_have_no_attempt_limit_and_never_end_their_job)
{
  JobRegistry registry = registryWithQueues();
  registry.apply(submitOf("urgent", standingJobOf("s", 1, 100)));
  for (std::int64_t run = 1; run <= 5; run++) {
    BOOST_TEST(appliedCount(registry.apply(startOf("s.0.0.0", run))) == 1u);
    registry.apply(endOf("s.0.0.0", run, run % 2 == 0 ? RunEnd::eDone : RunEnd::eFailed));
    BOOST_TEST((registry.find("s")->state() == JobState::eRunning));
  }
}

// Guards against GANG: after a crash the members start with different checkpoints, so they do not
// work together, end alone and are started in the same way again.
BOOST_AUTO_TEST_CASE(all_members_of_a_gang_start_from_the_checkpoint_with_the_most_progress)
{
  JobRegistry registry = registryWithQueues();
  JobStep::Fields step = stepOf(3, 100, 10);
  step.gang = true;
  step.checkpoints = true;
  registry.apply(submitOf("urgent", jobOf("g", { step })));
  const auto startAll = [&registry](std::int64_t aRun) {
    for (const char* task : { "g.0.0.0", "g.0.0.1", "g.0.0.2" }) {
      registry.apply(startOf(task, aRun));
    }
  };
  const auto endMember = [&registry](const std::string& aTask,
                                     std::int64_t aRun,
                                     const std::string& aCheckpoint,
                                     double aPercent) {
    registry.apply(valueOf(EndRuns::create(
      { .ends = { valueOf(RunEnding::create({ .task = aTask,
                                              .run = aRun,
                                              .how = RunEnd::eBroken,
                                              .checkpoint = aCheckpoint,
                                              .checkpointPercent = aPercent })) } })));
  };
  const auto allStartFrom = [&registry](const std::string& aCheckpoint) {
    const Job* job = registry.find("g");
    for (std::int64_t index = 0; index < 3; index++) {
      BOOST_TEST(job->find({ "g", 0, 0, index })->checkpoint == aCheckpoint);
    }
  };
  startAll(1);
  endMember("g.0.0.0", 1, "a1", 40);
  endMember("g.0.0.1", 1, "b1", 45);
  endMember("g.0.0.2", 1, "c1", 42);
  startAll(2);
  allStartFrom("b1");
  endMember("g.0.0.0", 2, "", 0);
  endMember("g.0.0.2", 2, "c2", 30);
  endMember("g.0.0.1", 2, "", 0);
  StateSnapshot::Fields snapshot{ .appliedIndex = 1, .catalogueVersion = 0, .nextSession = 1 };
  registry.writeTo(snapshot);
  registry = JobRegistry::fromSnapshot(valueOf(StateSnapshot::create(std::move(snapshot))));
  startAll(3);
  allStartFrom("c2");
  endMember("g.0.0.0", 3, "", 0);
  endMember("g.0.0.1", 3, "", 0);
  endMember("g.0.0.2", 3, "", 0);
  startAll(4);
  allStartFrom("c2");
}

BOOST_AUTO_TEST_CASE(a_gang_is_done_when_one_member_is_done_and_a_failed_run_counts_once)
{
  JobRegistry registry = registryWithQueues();
  JobStep::Fields step = stepOf(2, 100, 10);
  step.gang = true;
  registry.apply(submitOf("tally", jobOf("g", { step })));
  const auto startBoth = [&registry](std::int64_t aRun) {
    registry.apply(startOf("g.0.0.0", aRun));
    registry.apply(startOf("g.0.0.1", aRun));
  };
  startBoth(1);
  registry.apply(endOf("g.0.0.1", 1, RunEnd::eFailed));
  registry.apply(endOf("g.0.0.0", 1, RunEnd::eBroken));
  BOOST_TEST((registry.find("g")->state() == JobState::eRunning));
  BOOST_TEST(registry.find("g")->nextRun({ "g", 0, 0, 0 }) == 2);
  startBoth(2);
  registry.apply(endOf("g.0.0.0", 2, RunEnd::eDone));
  BOOST_TEST((registry.find("g")->state() == JobState::eCompleted));
  BOOST_TEST(registry.find("g")->hasActiveRuns());
}

BOOST_FIXTURE_TEST_CASE(a_cancelled_job_starts_no_runs, RegistryWithJob)
{
  mRegistry.apply(startOf("j.0.0.0", 1));
  const auto cancelled = mRegistry.apply(valueOf(CancelJob::create({ .jobId = "j" })));
  BOOST_TEST(std::get<JobChanged>(cancelled).mApplied);
  BOOST_TEST(appliedCount(mRegistry.apply(startOf("j.0.0.1", 1))) == 0u);
  mRegistry.apply(endOf("j.0.0.0", 1, RunEnd::eDone));
  BOOST_TEST((job().state() == JobState::eCancelled));
}

// Guards against UNASKED: a submission that comes after the acknowledged cancelling of its id.
BOOST_FIXTURE_TEST_CASE(job_submitted_after_its_cancelling_is_cancelled, RegistryWithJob)
{
  const std::variant<JobChanged, JobIdCancelled, Error> unknown =
    mRegistry.apply(valueOf(CancelJob::create({ .jobId = "x", .cancelledAtMs = 5 })));
  BOOST_TEST(std::holds_alternative<JobIdCancelled>(unknown));
  BOOST_TEST((mRegistry.find("x") == nullptr), "nobody has submitted it");
  StateSnapshot::Fields fields{ .appliedIndex = 1, .catalogueVersion = 0, .nextSession = 1 };
  mRegistry.writeTo(fields);
  JobRegistry restored = JobRegistry::fromSnapshot(valueOf(StateSnapshot::create(fields)));
  for (JobRegistry* registry : { &mRegistry, &restored }) {
    const std::variant<JobChanged, Error> submitted =
      registry->apply(submitOf("tally", jobOf("x", { stepOf(1, 100, 10) })));
    BOOST_TEST((std::get<JobChanged>(submitted) == JobChanged{ "x", JobState::eCancelled, false }));
    BOOST_TEST(appliedCount(registry->apply(startOf("x.0.0.0", 1))) == 0u);
    BOOST_TEST(!registry->openJobs().contains("x"));
    BOOST_TEST((registry->find("x")->state() == JobState::eCancelled));
  }
}

// Guards against LOST: a job stayed in the pool that its queue had at the acceptance.
BOOST_FIXTURE_TEST_CASE(accepted_job_follows_its_queue_and_keeps_its_promises, RegistryWithJob)
{
  mRegistry.apply(setQueues(2, { movedQueue("tally") }));
  BOOST_TEST(job().queue().poolName() == "annex");
  BOOST_TEST(job().queue().priority() == 1);
  BOOST_TEST(job().queue().maxAttempts() == 2, "the attempts are those of the acceptance");
  BOOST_TEST(job().queue().stretch() == 2);
  BOOST_TEST(job().queue().objectiveMs() == 1000);
  BOOST_TEST(job().queue().pathPrefix() == "/tally/", "the caller asks for the job there");
  BOOST_TEST((mRegistry.findQueueOfJob(byPath("guild.example", "/tally/j"), "j") != nullptr));
  mRegistry.apply(setQueues(1, { jobQueue("tally") }));
  BOOST_TEST(job().queue().poolName() == "annex", "an earlier catalogue comes too late");
  mRegistry.apply(setQueues(3, { jobQueue("tally", 3) }));
  BOOST_TEST(job().queue().poolName() == "desk");
  BOOST_TEST(job().queue().priority() == 3);
}

BOOST_FIXTURE_TEST_CASE(accepted_job_keeps_a_removed_queue_until_it_comes_back, RegistryWithJob)
{
  mRegistry.apply(setQueues(2, { movedQueue("tally") }));
  mRegistry.apply(setQueues(3, {}));
  BOOST_TEST(job().queue().poolName() == "annex");
  BOOST_TEST((mRegistry.findQueueOfJob(byPath("guild.example", "/tally/j"), "j") != nullptr));
  mRegistry.apply(setQueues(4, { jobQueue("tally", 2) }));
  BOOST_TEST(job().queue().poolName() == "desk");
}

// A queue with another name and the same address continues the queue for its callers.
BOOST_FIXTURE_TEST_CASE(accepted_job_follows_a_queue_that_was_renamed, RegistryWithJob)
{
  JobQueue::Fields renamed = movedQueue("books").fields();
  renamed.host = "guild.example";
  renamed.pathPrefix = "/tally/";
  mRegistry.apply(setQueues(2, { valueOf(JobQueue::create(std::move(renamed))) }));
  BOOST_TEST(job().queue().name() == "books");
  BOOST_TEST(job().queue().poolName() == "annex");
}

// A log of an earlier version of this program holds the queues as they were at the acceptance.
BOOST_FIXTURE_TEST_CASE(job_follows_its_queue_from_a_snapshot_on, RegistryWithJob)
{
  StateSnapshot::Fields fields{ .appliedIndex = 1, .catalogueVersion = 0, .nextSession = 1 };
  mRegistry.writeTo(fields);
  fields.queueCatalogue = setQueues(2, { movedQueue("tally") }).catalogue();
  const JobRegistry restored =
    JobRegistry::fromSnapshot(valueOf(StateSnapshot::create(std::move(fields))));
  BOOST_TEST(restored.find("j")->queue().poolName() == "annex");
  mRegistry.apply(setQueues(2, { movedQueue("tally") }));
  BOOST_TEST((restored.find("j")->record() == job().record()), "as on a replica with the log");
}

BOOST_FIXTURE_TEST_CASE(a_registry_is_restored_from_its_snapshot, RegistryWithJob)
{
  mRegistry.apply(submitOf("urgent", jobOf("over", { stepOf(1, 100, 10) })));
  mRegistry.apply(valueOf(CancelJob::create({ .jobId = "over" })));
  mRegistry.apply(startOf("j.0.0.0", 1));
  mRegistry.apply(endOf("j.0.0.0", 1, RunEnd::eStopped, "saved"));
  mRegistry.apply(startOf("j.0.0.1", 1));
  const auto snapshotOf = [](const JobRegistry& aRegistry) {
    StateSnapshot::Fields fields{ .appliedIndex = 1, .catalogueVersion = 0, .nextSession = 1 };
    aRegistry.writeTo(fields);
    return valueOf(StateSnapshot::create(fields));
  };
  const StateSnapshot snapshot = snapshotOf(mRegistry);
  const JobRegistry restored = JobRegistry::fromSnapshot(snapshot);
  BOOST_TEST((snapshotOf(restored) == snapshot));
  BOOST_TEST((restored.find("over")->state() == JobState::eCancelled));
  BOOST_TEST(restored.find("j")->find({ "j", 0, 0, 0 })->checkpoint == "saved");
  BOOST_TEST(restored.find("j")->hasActiveRuns());
}

BOOST_AUTO_TEST_CASE(invalid_jobs_and_catalogues_are_reported)
{
  JobStep::Fields later = stepOf(1, 100, 10);
  later.after = { 1 };
  BOOST_TEST(findFaults(jobOf("j", { later, stepOf(1, 100, 10) })).size() == 1u);
  BOOST_TEST(findFaults(jobOf("j", { stepOf(1, 100, 10) })).empty());
  JobQueue::Fields unknownPool = jobQueue("lost").fields();
  unknownPool.poolName = "nowhere";
  const QueueCatalogue catalogue =
    queueCatalogue(1, { jobQueue("a"), jobQueue("a"), valueOf(JobQueue::create(unknownPool)) });
  BOOST_TEST(findFaults(catalogue).size() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()
