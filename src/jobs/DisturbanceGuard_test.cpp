#include "jobs/DisturbanceGuard.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

const MonotonicTime kStart = MonotonicTime::fromMs(1000000);

ServingTask
serving(const std::string& aImage, double aLatencyMs)
{
  return { aImage, aLatencyMs, 150, aImage };
}

OpportunisticTask
other(const std::string& aTask, const std::string& aImage, std::int64_t aPercent = 100)
{
  return { aTask, aImage, 0.1, 0.1 * static_cast<double>(aPercent) / 100, aPercent };
}

/** Time between two reports of a worker. */
constexpr std::int64_t kReportMs = 250;

/** A guard that has just seen "noisy" disturb "frail", and "quiet" disturb nothing. */
DisturbanceGuard
experienced()
{
  DisturbanceGuard guard;
  DisturbanceGuard::State calm;
  DisturbanceGuard::State disturbed;
  constexpr int kReports = 60;
  for (int report = 0; report < kReports; report++) {
    const MonotonicTime now = kStart.plusMs((report - kReports) * kReportMs);
    guard.observe(
      calm, { serving("frail", 40), serving("robust", 40) }, { other("q", "quiet") }, now);
    // The first reports show the tasks alone.
    if (report < kReports / 2) {
      guard.observe(disturbed, { serving("frail", 40), serving("robust", 40) }, {}, now);
    } else {
      guard.observe(disturbed,
                    { serving("frail", 400), serving("robust", 45) },
                    { other("q", "quiet"), other("n", "noisy") },
                    now);
    }
  }
  return guard;
}

} // namespace

BOOST_AUTO_TEST_SUITE(disturbance_guard)

// Load pattern: batch work of several images beside serving tasks of which only some are disturbed.
BOOST_AUTO_TEST_CASE(only_the_image_that_disturbs_is_stopped_and_moved)
{
  const DisturbanceGuard guard = experienced();
  DisturbanceGuard::State state;
  const auto decisions = guard.decide(
    state, { serving("frail", 300) }, { other("q", "quiet"), other("n", "noisy") }, kStart);
  BOOST_REQUIRE(decisions.size() == 1u);
  BOOST_TEST(decisions.front().task == "n");
  BOOST_TEST(decisions.front().percent == 0);
  BOOST_TEST(decisions.front().moves);
}

BOOST_AUTO_TEST_CASE(near_the_objective_the_disturbing_image_is_slowed_down)
{
  const DisturbanceGuard guard = experienced();
  DisturbanceGuard::State state;
  const auto decisions = guard.decide(
    state, { serving("frail", 130) }, { other("q", "quiet"), other("n", "noisy") }, kStart);
  BOOST_REQUIRE(decisions.size() == 1u);
  BOOST_TEST((decisions.front() == PaceDecision{ "n", 50, false }));
}

BOOST_AUTO_TEST_CASE(an_undisturbed_neighbour_changes_nothing)
{
  const DisturbanceGuard guard = experienced();
  DisturbanceGuard::State state;
  const auto decisions =
    guard.decide(state, { serving("robust", 45) }, { other("n", "noisy") }, kStart);
  BOOST_TEST(decisions.empty());
}

BOOST_AUTO_TEST_CASE(a_missed_objective_without_a_known_cause_stops_all_after_a_while)
{
  const DisturbanceGuard guard;
  DisturbanceGuard::State state;
  const std::vector<ServingTask> missed = { serving("frail", 200) };
  const std::vector<OpportunisticTask> others = { other("q", "quiet"), other("n", "noisy") };
  BOOST_TEST(guard.decide(state, missed, others, kStart).empty());
  const MonotonicTime later = kStart.plusMs(DisturbanceGuard::kStopAllMs);
  BOOST_TEST(guard.decide(state, missed, others, later).size() == 2u);
}

BOOST_AUTO_TEST_CASE(the_pace_rises_step_by_step_while_the_objective_is_far)
{
  const DisturbanceGuard guard = experienced();
  DisturbanceGuard::State state;
  std::int64_t percent = 0;
  MonotonicTime now = kStart;
  std::vector<std::int64_t> steps;
  while (percent < 100 && steps.size() < 10) {
    const auto decisions =
      guard.decide(state, { serving("robust", 40) }, { other("q", "quiet", percent) }, now);
    if (!decisions.empty()) {
      percent = decisions.front().percent;
      steps.push_back(percent);
    }
    now = now.plusMs(DisturbanceGuard::kRaiseEveryMs);
  }
  BOOST_TEST(steps == std::vector<std::int64_t>({ 30, 60, 100 }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_image_that_would_disturb_is_not_sped_up)
{
  const DisturbanceGuard guard = experienced();
  DisturbanceGuard::State state;
  const auto decisions =
    guard.decide(state, { serving("frail", 90) }, { other("n", "noisy", 0) }, kStart);
  BOOST_TEST(decisions.empty());
}

BOOST_AUTO_TEST_CASE(an_image_that_was_hardly_observed_is_tried_with_few_tasks)
{
  const DisturbanceGuard guard;
  const std::vector<ServingTask> calm = { serving("frail", 60) };
  BOOST_TEST(guard.expectedRatio(calm, { { "new", 0.1 } }) < 0.85);
  BOOST_TEST(guard.expectedRatio(calm, { { "new", 0.4 } }) > 0.85);
}

// Load pattern: the disturbance of a pair of images comes and goes within seconds.
BOOST_AUTO_TEST_CASE(an_image_that_disturbed_a_while_ago_is_tried_again_slowly)
{
  DisturbanceGuard guard = experienced();
  DisturbanceGuard::State state;
  const std::vector<ServingTask> calm = { serving("frail", 40) };
  constexpr std::int64_t kLaterMs = 12000;
  guard.observe(state, calm, {}, kStart.plusMs(kLaterMs));
  const auto decisions =
    guard.decide(state, calm, { other("n", "noisy", 0) }, kStart.plusMs(kLaterMs));
  BOOST_REQUIRE(decisions.size() == 1u);
  BOOST_TEST(decisions.front().percent == 30);
}

BOOST_AUTO_TEST_CASE(an_image_that_begins_to_disturb_is_found_within_two_reports)
{
  DisturbanceGuard guard;
  DisturbanceGuard::State state;
  MonotonicTime now = kStart;
  const std::vector<OpportunisticTask> both = { other("q", "quiet"), other("n", "noisy") };
  for (int report = 0; report < 20; report++) {
    now = now.plusMs(kReportMs);
    guard.observe(state, { serving("frail", 50) }, { other("q", "quiet") }, now);
  }
  for (const double latencyMs : { 200.0, 400.0 }) {
    now = now.plusMs(kReportMs);
    guard.observe(state, { serving("frail", latencyMs) }, both, now);
  }
  const auto decisions = guard.decide(state, { serving("frail", 400) }, both, now);
  BOOST_REQUIRE(decisions.size() == 1u);
  BOOST_TEST(decisions.front().task == "n");
}

// Load pattern: a serving task that nears its objective by its own load, beside harmless images.
BOOST_AUTO_TEST_CASE(a_harmless_image_goes_on_beside_a_task_near_its_objective)
{
  const DisturbanceGuard guard = experienced();
  DisturbanceGuard::State state;
  BOOST_TEST(
    guard.decide(state, { serving("frail", 140) }, { other("q", "quiet") }, kStart).empty());
  BOOST_TEST(guard.expectedRatio({ serving("robust", 140) }, { { "quiet", 0.01 } }) < 0.8);
  BOOST_TEST(guard.expectedRatio({ serving("robust", 160) }, { { "quiet", 0.01 } }) > 1,
             "nothing is added beside a task over its objective");
}

// Load pattern: a task was stopped for disturbing; the latencies fall only after a second.
BOOST_AUTO_TEST_CASE(other_images_go_on_while_a_latency_falls_after_the_culprit_stopped)
{
  DisturbanceGuard guard;
  DisturbanceGuard::State state;
  MonotonicTime now = kStart;
  for (int report = 0; report < 20; report++) {
    now = now.plusMs(kReportMs);
    guard.observe(state, { serving("frail", 50) }, { other("q", "quiet") }, now);
  }
  for (const double latencyMs : { 300.0, 500.0 }) {
    now = now.plusMs(kReportMs);
    guard.observe(
      state, { serving("frail", latencyMs) }, { other("q", "quiet"), other("n", "noisy") }, now);
  }
  for (const double latencyMs : { 500.0, 320.0, 200.0, 130.0, 85.0 }) {
    now = now.plusMs(kReportMs);
    const std::vector<ServingTask> falling = { serving("frail", latencyMs) };
    const std::vector<OpportunisticTask> others = { other("q", "quiet"), other("n", "noisy", 0) };
    guard.observe(state, falling, others, now);
    BOOST_TEST(guard.decide(state, falling, others, now).empty(), "at " << latencyMs << " ms");
  }
}

// Load pattern: batch work of an image that is taken for harmless beside a task that stays over its
// objective, as in 'mix --seed 725590453363' of lsibg-drum (HARM).
BOOST_AUTO_TEST_CASE(nothing_works_long_beside_a_task_over_its_objective_whoever_is_to_blame)
{
  DisturbanceGuard guard = experienced();
  DisturbanceGuard::State state;
  const std::vector<ServingTask> over = { serving("frail", 170) };
  std::vector<OpportunisticTask> others = { other("q", "quiet"), other("n", "noisy", 20) };
  bool allStopped = false;
  MonotonicTime now = kStart;
  for (; now < kStart.plusMs(DisturbanceGuard::kAlwaysStopMs + kReportMs);
       now = now.plusMs(kReportMs)) {
    guard.observe(state, over, others, now);
    for (const PaceDecision& decision : guard.decide(state, over, others, now)) {
      for (OpportunisticTask& task : others) {
        task.percent = task.task == decision.task ? decision.percent : task.percent;
      }
    }
    allStopped = others.front().percent == 0 && others.back().percent == 0;
  }
  BOOST_TEST(allStopped);
  BOOST_TEST(guard.decide(state, over, others, now).empty(), "and nothing is sped up meanwhile");
}

BOOST_AUTO_TEST_SUITE_END()
