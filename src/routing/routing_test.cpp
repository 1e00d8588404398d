#include "routing/routing.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

MonotonicTime
at(std::int64_t aMs)
{
  return MonotonicTime::fromMs(aMs);
}

QueuedRequest
queuedRequest(std::uint64_t aRequest,
              WorkClass aClass,
              std::int64_t aDeadlineMs,
              std::size_t aBytes = 1)
{
  return { aRequest, "entry", aClass, at(aDeadlineMs), aBytes, aDeadlineMs };
}

constexpr WorkClass kLatencyCritical = WorkClass::eLatencyCritical;
constexpr WorkClass kBatch = WorkClass::eBatch;

} // namespace

// Guards against a translated deadline that is later than the original because a reading was
// delayed or the clocks drift.
BOOST_AUTO_TEST_CASE(translated_deadline_is_never_late)
{
  RandomEngine engine(1);
  std::uniform_int_distribution<std::int64_t> delayMs(0, 300);
  for (const double rate : { 0.99, 1.0, 1.01 }) {
    ClockOffset offset;
    const auto peerClock = [rate](double aMs) { return 7000 + aMs * rate; };
    for (std::int64_t sentMs = 0; sentMs < 60000; sentMs += 500) {
      const MonotonicTime arrived = at(sentMs + delayMs(engine));
      offset.record(at(static_cast<std::int64_t>(peerClock(static_cast<double>(sentMs)))), arrived);
      const std::int64_t deadlineMs = arrived.ms() + 2000;
      const auto translated = offset.translate(at(deadlineMs), arrived);
      BOOST_REQUIRE(translated.has_value());
      BOOST_TEST(translated->ms() <= peerClock(static_cast<double>(deadlineMs)));
      BOOST_TEST(translated->ms() >= peerClock(static_cast<double>(deadlineMs)) - 600);
    }
  }
}

// Guards against a deadline translated with a reading from before the agent's VM was restarted.
BOOST_AUTO_TEST_CASE(old_clock_readings_are_not_used)
{
  ClockOffset offset;
  BOOST_TEST(!offset.translate(at(100), at(0)).has_value());
  offset.record(at(5000), at(0));
  BOOST_TEST(offset.translate(at(10100), at(10000)).has_value());
  BOOST_TEST(!offset.translate(at(10101), at(10001)).has_value());
}

// Guards against retries that multiply the load when all targets fail.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget)
{
  RetryBudget budget(0.1);
  int retries = 0;
  for (int request = 0; request < 10000; request++) {
    budget.recordFirstAttempt();
    retries += budget.tryConsumeRetry() ? 1 : 0;
  }
  BOOST_TEST(retries >= 1000);
  BOOST_TEST(retries <= 1010);
  BOOST_TEST(!RetryBudget(0).tryConsumeRetry());
}

// Guards against an owner that exceeds its rate by using several entries, or uses up another
// owner's rate.
BOOST_AUTO_TEST_CASE(owner_limit_applies_across_its_entries_and_not_to_other_owners)
{
  RequestLimiter limits;
  limits.setOwnerLimit("guild", { 10, 0 });
  int admitted = 0;
  for (int request = 0; request < 100; request++) {
    admitted += limits.admit(request % 2 == 0 ? "a" : "b", "guild", at(0)) ? 0 : 1;
  }
  BOOST_TEST(admitted == 10);
  BOOST_TEST((limits.admit("a", "guild", at(50)) == RefusalReason::eRateLimit));
  BOOST_TEST(!limits.admit("a", "guild", at(100)).has_value());
  BOOST_TEST(!limits.admit("c", "delta", at(100)).has_value());
}

// Guards against concurrency that is not released, and against tokens consumed by a refused
// request.
BOOST_AUTO_TEST_CASE(release_frees_concurrency_and_a_refusal_consumes_nothing)
{
  RequestLimiter limits;
  limits.setEntryLimit("a", { 0, 2 });
  limits.setOwnerLimit("guild", { 2, 0 });
  BOOST_TEST(!limits.admit("a", "guild", at(0)).has_value());
  BOOST_TEST(!limits.admit("a", "guild", at(0)).has_value());
  BOOST_TEST((limits.admit("a", "guild", at(5000)) == RefusalReason::eConcurrencyLimit));
  BOOST_TEST(!limits.admit("b", "guild", at(5000)).has_value());
  BOOST_TEST(!limits.admit("b", "guild", at(5000)).has_value());
  limits.release("a", "guild");
  BOOST_TEST((limits.admit("a", "guild", at(5000)) == RefusalReason::eRateLimit));
  BOOST_TEST(!limits.admit("a", "guild", at(5500)).has_value());
}

// Guards against a burst of requests each time a catalogue is sent again and its limits are set.
BOOST_AUTO_TEST_CASE(setting_the_same_limit_again_does_not_refill_the_bucket)
{
  RequestLimiter limits;
  limits.setEntryLimit("a", { 1, 0 });
  BOOST_TEST(!limits.admit("a", "guild", at(0)).has_value());
  limits.setEntryLimit("a", { 1, 5 });
  BOOST_TEST((limits.admit("a", "guild", at(0)) == RefusalReason::eRateLimit));
  limits.setEntryLimit("a", { 2, 5 });
  BOOST_TEST((limits.admit("a", "guild", at(0)) == RefusalReason::eRateLimit));
}

// Guards against selection by absolute load, which overloads the smaller of two targets.
BOOST_AUTO_TEST_CASE(selection_compares_load_relative_to_slots)
{
  const std::vector<TargetCandidate> candidates{ { 3, 4 }, { 4, 16 } };
  TargetSelector<LeastRelativeLoadOfTwo> relative{ RandomEngine(1) };
  TargetSelector<LeastOutstandingOfTwo> absolute{ RandomEngine(1) };
  TargetSelector<LeastRelativeLoadOfAll> all{ RandomEngine(1) };
  for (int draw = 0; draw < 50; draw++) {
    BOOST_TEST(relative.select(candidates) == 1);
    BOOST_TEST(absolute.select(candidates) == 0);
    BOOST_TEST(all.select(candidates) == 1);
  }
}

// Guards against a selection that always prefers the same one of several idle targets.
BOOST_AUTO_TEST_CASE(idle_targets_are_chosen_evenly)
{
  const std::vector<TargetCandidate> candidates(5, TargetCandidate{ 0, 8 });
  TargetSelector<LeastRelativeLoadOfTwo> selector{ RandomEngine(2) };
  std::vector<int> counts(candidates.size(), 0);
  for (int draw = 0; draw < 10000; draw++) {
    counts[selector.select(candidates)]++;
  }
  BOOST_TEST(*std::min_element(counts.begin(), counts.end()) > 1800);
}

// Guards against a target that stays idle because of an old report of load from other gateways.
BOOST_AUTO_TEST_CASE(reported_load_of_other_gateways_decays)
{
  TargetLoad load;
  load.setSlots(8);
  load.recordDispatch();
  load.recordReport(8, at(0));
  BOOST_TEST(!load.hasFreeSlot(at(0)));
  BOOST_TEST(load.hasFreeSlot(at(200)));
  for (int request = 0; request < 7; request++) {
    load.recordDispatch();
  }
  BOOST_TEST(!load.hasFreeSlot(at(10000)));
}

// Guards against batch requests that delay latency-critical ones.
BOOST_AUTO_TEST_CASE(latency_critical_requests_are_dispatched_first)
{
  RequestQueue queue({ 10, 100 });
  queue.push(queuedRequest(1, kBatch, 1000), at(0));
  queue.push(queuedRequest(2, kLatencyCritical, 1000), at(0));
  queue.push(queuedRequest(3, kLatencyCritical, 500), at(0));
  BOOST_TEST((queue.pop("entry", at(0), 0).mRequest == 2));
  BOOST_TEST((queue.pop("entry", at(0), 0).mRequest == 3));
  BOOST_TEST((queue.pop("entry", at(0), 0).mRequest == 1));
  BOOST_TEST(!queue.pop("entry", at(0), 0).mRequest.has_value());
  BOOST_TEST(queue.bytes() == 0);
}

// Guards against dropping requests that can still be answered in time before those that probably
// cannot.
BOOST_AUTO_TEST_CASE(overflow_drops_batch_first_and_then_the_earliest_deadline)
{
  RequestQueue queue({ 2, 100 });
  queue.push(queuedRequest(1, kLatencyCritical, 300), at(0));
  queue.push(queuedRequest(2, kBatch, 9000), at(0));
  const std::vector<DroppedRequest> droppedBatch{ { 2, RefusalReason::eShed } };
  BOOST_TEST((queue.push(queuedRequest(3, kLatencyCritical, 900), at(0)) == droppedBatch));
  const std::vector<DroppedRequest> droppedEarliest{ { 1, RefusalReason::eShed } };
  BOOST_TEST((queue.push(queuedRequest(4, kLatencyCritical, 800), at(0)) == droppedEarliest));
  const std::vector<DroppedRequest> droppedNew{ { 5, RefusalReason::eQueueFull } };
  BOOST_TEST((queue.push(queuedRequest(5, kLatencyCritical, 100), at(0)) == droppedNew));
}

// Guards against queued requests that fill the gateway's memory because each entry is bounded
// alone.
BOOST_AUTO_TEST_CASE(memory_bound_applies_across_entries)
{
  RequestQueue queue({ 100, 100 });
  queue.push({ 1, "a", kBatch, at(1000), 60, 1000 }, at(0));
  const std::vector<DroppedRequest> dropped{ { 1, RefusalReason::eShed } };
  BOOST_TEST((queue.push({ 2, "b", kLatencyCritical, at(1000), 60, 1000 }, at(0)) == dropped));
  BOOST_TEST(queue.bytes() == 60);
}

// Guards against dispatching requests whose deadline has passed, because their caller has given up.
BOOST_AUTO_TEST_CASE(requests_past_their_deadline_are_dropped)
{
  RequestQueue queue({ 10, 100 });
  queue.push(queuedRequest(1, kLatencyCritical, 100), at(0));
  queue.push(queuedRequest(2, kBatch, 200), at(0));
  const PoppedRequest popped = queue.pop("entry", at(100), 0);
  BOOST_TEST((popped.mRequest == 2));
  const std::vector<DroppedRequest> expired{ { 1, RefusalReason::eDeadlinePassed } };
  BOOST_TEST((popped.mDropped == expired));
  queue.push(queuedRequest(1, kLatencyCritical, 200), at(100));
  BOOST_TEST((queue.dropExpired(at(200)) == expired));
  BOOST_TEST(queue.size() == 0);
}

// Guards against an overloaded queue that dispatches only requests that are about to time out.
BOOST_AUTO_TEST_CASE(requests_without_enough_time_are_shed_while_others_wait)
{
  RequestQueue queue({ 10, 100 });
  queue.push(queuedRequest(1, kLatencyCritical, 110), at(0));
  queue.push(queuedRequest(2, kLatencyCritical, 200), at(0));
  queue.push(queuedRequest(3, kLatencyCritical, 110), at(0));
  const PoppedRequest popped = queue.pop("entry", at(100), 20);
  const std::vector<DroppedRequest> shed{ { 1, RefusalReason::eShed } };
  BOOST_TEST((popped.mDropped == shed));
  BOOST_TEST((popped.mRequest == 2));
  BOOST_TEST((queue.pop("entry", at(100), 20).mRequest == 3),
             "the last request of an entry is not shed");
  queue.push(queuedRequest(4, kLatencyCritical, 30), at(0));
  queue.push(queuedRequest(5, kLatencyCritical, 30), at(0));
  BOOST_TEST((queue.pop("entry", at(10), 100).mRequest == 4),
             "a short timeout is not a reason to shed");
}

namespace {

/** Returns a detector with four healthy targets that have a latency of 20 ms each. */
OutlierDetector
detectorWithSamples()
{
  OutlierDetector detector;
  detector.setTargets({ "a", "b", "c", "d" });
  for (int sample = 0; sample < 20; sample++) {
    for (const char* id : { "a", "b", "c", "d" }) {
      detector.recordResponse(id, true, 20, at(0));
    }
  }
  return detector;
}

void
recordFailures(OutlierDetector& aDetector, const std::string& aTargetId, MonotonicTime aNow)
{
  for (int sample = 0; sample < 20; sample++) {
    aDetector.recordResponse(aTargetId, false, 1, aNow);
  }
}

using Availability = OutlierDetector::Availability;

} // namespace

// Guards against a target that fails immediately and attracts most requests because it is idle.
BOOST_AUTO_TEST_CASE(failing_target_is_ejected_for_a_growing_period_and_probed_once)
{
  OutlierDetector detector = detectorWithSamples();
  recordFailures(detector, "a", at(0));
  BOOST_TEST((detector.availability("a", at(999)) == Availability::eEjected));
  BOOST_TEST((detector.availability("a", at(1000)) == Availability::eProbe));
  detector.beginProbe("a");
  BOOST_TEST((detector.availability("a", at(1000)) == Availability::eEjected));
  detector.recordResponse("a", false, 1, at(1000));
  BOOST_TEST((detector.availability("a", at(2999)) == Availability::eEjected));
  BOOST_TEST((detector.availability("a", at(3000)) == Availability::eProbe));
  detector.beginProbe("a");
  detector.recordResponse("a", true, 20, at(3000));
  BOOST_TEST((detector.availability("a", at(3000)) == Availability::eNormal));
}

// Guards against slow targets that keep getting requests, and against readmission of a target whose
// probe is slow.
BOOST_AUTO_TEST_CASE(slow_target_is_ejected_and_a_slow_probe_does_not_readmit_it)
{
  OutlierDetector detector = detectorWithSamples();
  for (int sample = 0; sample < 20; sample++) {
    detector.recordTimeout("a", 400, at(0));
  }
  BOOST_TEST((detector.availability("a", at(0)) == Availability::eEjected));
  detector.beginProbe("a");
  detector.recordResponse("a", true, 400, at(1000));
  BOOST_TEST((detector.availability("a", at(1500)) == Availability::eEjected));
}

// Guards against ejecting healthy targets because callers set short deadlines.
BOOST_AUTO_TEST_CASE(timeouts_shorter_than_the_mean_latency_do_not_eject_a_target)
{
  OutlierDetector detector = detectorWithSamples();
  for (int sample = 0; sample < 100; sample++) {
    detector.recordTimeout("a", 5, at(0));
  }
  BOOST_TEST((detector.availability("a", at(0)) == Availability::eNormal));
}

// Guards against ejecting every target when a fault affects the whole service.
BOOST_AUTO_TEST_CASE(never_more_than_half_of_the_targets_are_ejected)
{
  OutlierDetector detector = detectorWithSamples();
  for (const char* id : { "a", "b", "c", "d" }) {
    recordFailures(detector, id, at(0));
  }
  BOOST_TEST(detector.ejectedCount() == 2);
  detector.setTargets({ "a", "b", "c" });
  BOOST_TEST(detector.ejectedCount() == 1);
  detector.setTargets({ "a" });
  BOOST_TEST(detector.ejectedCount() == 0);
}
