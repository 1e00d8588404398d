#include "jobs/InterferenceGuard.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace magnoliadrum;

namespace {

constexpr std::int64_t kReportMs = 250;
constexpr double kAloneMs = 40;
constexpr double kObjectiveMs = 150;
constexpr double kNoisyShare = 0.1;
/** At kNoisyShare the latency is 296 ms. */
constexpr double kNoisyGrowthPerShare = 20;
const MonotonicTime kChangeAt = MonotonicTime::fromMs(1000000);

std::vector<ServingTask>
frail(double aNoisyPercent)
{
  const double growth = kNoisyGrowthPerShare * kNoisyShare * aNoisyPercent / 100;
  return { { "frail", kAloneMs * std::exp(growth), kObjectiveMs, "f" } };
}

std::vector<OpportunisticTask>
noisy(std::int64_t aPercent)
{
  const double used = kNoisyShare * static_cast<double>(aPercent) / 100;
  return { { "n", "noisy", kNoisyShare, used, aPercent } };
}

/** A guard that has seen a task alone and then beside the image that interferes with it. */
InterferenceGuard
trainedGuard()
{
  InterferenceGuard guard;
  InterferenceGuard::State state;
  constexpr int kReports = 20;
  for (int report = -2 * kReports; report < 0; report++) {
    const bool isAlone = report < -kReports;
    guard.observe(state,
                  frail(isAlone ? 0 : 100),
                  isAlone ? std::vector<OpportunisticTask>() : noisy(100),
                  kChangeAt.plusMs(report * kReportMs));
  }
  return guard;
}

/** Plays a worker on which the interference goes on, as a leader without state for it sees it.
 * Returns the time for which the objective is missed, in ms. */
std::int64_t
missedMs(InterferenceGuard aGuard, MonotonicTime aStart)
{
  InterferenceGuard::State state;
  std::int64_t percent = 100;
  std::int64_t missed = 0;
  for (int report = 0; report < 8 && percent > 0; report++) {
    const MonotonicTime now = aStart.plusMs(report * kReportMs);
    aGuard.observe(state, frail(100), noisy(percent), now);
    for (const PaceDecision& decision : aGuard.decide(state, frail(100), noisy(percent), now)) {
      percent = decision.percent;
    }
    missed += percent > 0 ? kReportMs : 0;
  }
  return missed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(image_interference_model)

// The leader is lost while an image interferes with a serving task. A new leader that knows nothing
// takes the raised latency for the usual one and lets the task miss its objective until it stops
// everything.
BOOST_AUTO_TEST_CASE(a_new_leader_with_saved_figures_acts_on_the_first_report)
{
  constexpr std::int64_t kElectionMs = 2000;
  LearnedFigures::Fields saved;
  trainedGuard().model().writeTo(saved, kChangeAt);
  BOOST_REQUIRE(saved.interference.size() == 1u);

  // The new leader has a clock of its own.
  const MonotonicTime now = MonotonicTime::fromMs(777);
  LearnedFigures::Fields aged;
  LearnedInterference::Fields pair = saved.interference.front().fields();
  pair.ageMs += kElectionMs;
  aged.interference = { valueOf(LearnedInterference::create(pair)) };
  InterferenceGuard successor;
  successor.setModel(ImageInterferenceModel::fromFigures(aged, now));

  BOOST_TEST(missedMs(InterferenceGuard(), now) >= InterferenceGuard::kUnexplainedMissStopMs);
  BOOST_TEST(missedMs(successor, now) == 0);
}

// Standing tasks and batch tasks of many images meet again and again, with pauses of some seconds.
// A model that forgets within the pause lets an interfering image in each time, and keeps harmless
// ones out.
BOOST_AUTO_TEST_CASE(what_a_pair_does_is_known_after_a_pause)
{
  ImageInterferenceModel model;
  constexpr double kStrongGrowth = 8;
  constexpr int kReports = 60;
  for (int report = 0; report < kReports; report++) {
    const MonotonicTime now = kChangeAt.plusMs(report * kReportMs);
    model.learn("frail", kStrongGrowth * kNoisyShare, { { "noisy", kNoisyShare } }, now);
    model.learn("frail", 0, { { "quiet", kNoisyShare } }, now);
  }
  // A report of another pair ends the pause.
  constexpr std::int64_t kPauseMs = 60000;
  model.learn("robust", 0, { { "other", kNoisyShare } }, kChangeAt.plusMs(kPauseMs));
  BOOST_TEST(model.growth("frail", "noisy", 1) >= kStrongGrowth / 2);
  BOOST_TEST(model.cautiousGrowth("frail", "quiet", 1) < 2);
}

// The first tasks of an image that was never beside a serving image: with nothing known, few are
// tried; an image that was harmless beside several others gets more, one that was not stays
// careful.
BOOST_AUTO_TEST_CASE(an_unseen_pair_borrows_from_what_the_image_did_elsewhere)
{
  ImageInterferenceModel model;
  const double unknown = model.cautiousGrowth("frail", "harmless", 1);
  constexpr double kStrongGrowth = 8;
  constexpr int kReports = 60;
  for (int report = 0; report < kReports; report++) {
    for (const std::string serving : { "a", "b", "c" }) {
      const MonotonicTime now = kChangeAt.plusMs(report * kReportMs);
      model.learn(serving, 0, { { "harmless", kNoisyShare } }, now);
      model.learn(serving, kStrongGrowth * kNoisyShare, { { "strong", kNoisyShare } }, now);
    }
  }
  BOOST_TEST(model.cautiousGrowth("frail", "harmless", 1) < unknown / 2);
  BOOST_TEST(model.cautiousGrowth("frail", "strong", 1) >
             1.5 * model.cautiousGrowth("frail", "harmless", 1));
}

BOOST_AUTO_TEST_CASE(saved_figures_are_bounded_and_keep_the_strongest_pairs)
{
  ImageInterferenceModel model;
  constexpr int kPairs = 700;
  for (int pair = 0; pair < kPairs; pair++) {
    model.learn("frail", pair == 0 ? 2 : 0, { { std::to_string(pair), 0.1 } }, kChangeAt);
  }
  LearnedFigures::Fields saved;
  model.writeTo(saved, kChangeAt.plusMs(100));
  BOOST_TEST(LearnedFigures::create(saved).index() == 0u);
  BOOST_TEST(saved.interference.size() == 500u);
  BOOST_TEST(saved.interference.front().image() == "0");
  BOOST_TEST(saved.interference.front().ageMs() == 100);
}

BOOST_AUTO_TEST_SUITE_END()
