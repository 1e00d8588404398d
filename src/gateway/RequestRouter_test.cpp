#include "gateway/RouterFixture.h"

using namespace magnoliadrum;

namespace {

CatalogueEntry::Fields&
nonRepeatable(CatalogueEntry::Fields& aFields)
{
  aFields.repeatable = false;
  return aFields;
}

} // namespace

BOOST_AUTO_TEST_CASE(request_is_dispatched_and_response_returned)
{
  RouterFixture fixture;
  fixture.addTargets(1);
  const std::uint64_t request = fixture.submit();
  BOOST_REQUIRE(fixture.mDispatches.size() == 1);
  const RequestDispatch& dispatch = fixture.mDispatches.front().mMessage;
  // The agent's clock is ahead by kClockOffsetMs. 1% of the remaining 1000 ms allows for drift.
  BOOST_TEST(dispatch.deadlineMs() ==
             fixture.mNow.ms() + RouterFixture::kClockOffsetMs + 1000 - 10);
  BOOST_TEST(dispatch.session() == 1);
  fixture.answer(fixture.mDispatches.front());
  BOOST_TEST(fixture.outcome(request) == "done");
  BOOST_TEST(fixture.mAnswers.at(request).body() == std::to_string(request));
  BOOST_TEST(fixture.mRouter.isIdle());
}

// Guards against accepting a response from an agent that did not receive the request.
BOOST_AUTO_TEST_CASE(responses_from_wrong_connection_and_duplicates_are_ignored)
{
  RouterFixture fixture;
  fixture.addTargets(2);
  const std::uint64_t request = fixture.submit();
  RouterFixture::Dispatch misdirected = fixture.mDispatches.front();
  misdirected.mConnection = misdirected.mConnection == 1 ? 2 : 1;
  fixture.answer(misdirected);
  BOOST_TEST(fixture.outcome(request).empty());
  fixture.answer(fixture.mDispatches.front());
  fixture.answer(fixture.mDispatches.front());
  BOOST_TEST(fixture.outcome(request) == "done");
}

// Guards against dispatching to targets that are leaving, silent, in a data centre that the entry
// does not allow, or in another session than the announced one.
BOOST_AUTO_TEST_CASE(unusable_targets_get_no_requests)
{
  RouterFixture fixture;
  fixture.addTargets(1);
  fixture.sendStatus(1, 1, true);
  fixture.submit();
  BOOST_TEST(fixture.mDispatches.empty(), "a leaving target got a request");
  fixture.sendStatus(1, 1);
  BOOST_TEST(fixture.mDispatches.size() == 1);
  fixture.advance(301);
  fixture.submit();
  BOOST_TEST(fixture.mDispatches.size() == 1, "a silent target got a request");
  fixture.sendStatus(2, 1);
  BOOST_TEST(fixture.mDispatches.size() == 1, "a target with another session got a request");
  fixture.addTargets(1, 2, "Temple");
  BOOST_TEST(fixture.mDispatches.size() == 1, "a forbidden data centre got a request");
}

// Guards against requests that wait until their deadline although no target can serve them.
BOOST_AUTO_TEST_CASE(request_without_usable_target_is_refused_after_timeout)
{
  RouterFixture fixture;
  const std::uint64_t waiting = fixture.submit(60000);
  fixture.advance(900);
  BOOST_TEST(fixture.reason(waiting).empty());
  fixture.advance(200);
  BOOST_TEST(fixture.reason(waiting) == "no-target");
  BOOST_TEST(fixture.reason(fixture.submit()) == "no-target");
}

// Guards against serving with an outdated catalogue, and against applying the exception for
// serveWithoutControl to entries that do not set it.
BOOST_AUTO_TEST_CASE(without_lease_only_entries_with_serve_without_control_are_served)
{
  RouterFixture fixture;
  fixture.addTargets(1);
  fixture.mRouter.setLease({ false, true });
  BOOST_TEST(fixture.reason(fixture.submit()) == "no-lease");
  fixture.setEntry([](auto& aFields) { aFields.serveWithoutControl = true; });
  fixture.submit();
  BOOST_TEST(fixture.mDispatches.size() == 1);
  BOOST_TEST(fixture.reason(fixture.submit(1000, "key")) == "no-lease");
  fixture.mRouter.setLease({ false, false });
  BOOST_TEST(fixture.reason(fixture.submit()) == "no-lease");
}

// Guards against running a non-repeatable request again after its response was lost, and against
// not retrying a refused request.
BOOST_AUTO_TEST_CASE(refused_request_is_retried_and_lost_non_repeatable_request_is_not)
{
  RouterFixture fixture;
  fixture.addTargets(2);
  const std::uint64_t refused = fixture.submit();
  fixture.refuse(fixture.mDispatches.at(0), RefusalReason::eNoLease);
  BOOST_REQUIRE(fixture.mDispatches.size() == 2);
  BOOST_TEST(fixture.mDispatches.at(1).mConnection != fixture.mDispatches.at(0).mConnection);
  fixture.answer(fixture.mDispatches.at(1));
  BOOST_TEST(fixture.outcome(refused) == "done");

  fixture.sendStatus(1, 1);
  fixture.sendStatus(2, 2);
  fixture.setEntry([](auto& aFields) { nonRepeatable(aFields); });
  const std::uint64_t lost = fixture.submit(1000, "key");
  fixture.grantIntent(lost);
  fixture.mRouter.connectionLost(fixture.mDispatches.at(2).mConnection, fixture.mNow);
  BOOST_TEST(fixture.mDispatches.size() == 3);
  BOOST_TEST(fixture.outcome(lost) == "unknown");
  BOOST_TEST((fixture.mIntentEnds.at(lost).outcome() == IntentOutcome::eUnknown));
}

// Guards against the outcome "unknown" for a request of which no byte was written.
BOOST_AUTO_TEST_CASE(unwritten_request_is_not_run)
{
  RouterFixture fixture;
  fixture.addTargets(2);
  fixture.mDispatchFails = true;
  const std::uint64_t request = fixture.submit(500);
  fixture.advance(500);
  BOOST_TEST(fixture.outcome(request) == "not-run");
}

// Guards against requests that wait for an unresponsive agent although another target is free.
BOOST_AUTO_TEST_CASE(repeatable_request_on_silent_target_is_retried_elsewhere)
{
  RouterFixture fixture;
  fixture.addTargets(2);
  const std::uint64_t moved = fixture.submit(5000);
  const std::uint64_t kept = fixture.submit(5000, "key");
  fixture.grantIntent(kept);
  BOOST_REQUIRE(fixture.mDispatches.size() == 2);
  const RouterFixture::Dispatch first = fixture.mDispatches.at(0);
  const std::uint64_t other = first.mConnection == 1 ? 2 : 1;
  fixture.advance(301);
  fixture.sendStatus(static_cast<int>(other), other);
  fixture.advance(1);
  BOOST_REQUIRE(fixture.mDispatches.size() == 3);
  BOOST_TEST(fixture.mDispatches.at(2).mConnection == other);
  fixture.answer(first);
  BOOST_TEST(fixture.outcome(moved).empty(), "the response to the abandoned attempt was accepted");
  fixture.answer(fixture.mDispatches.at(2));
  BOOST_TEST(fixture.outcome(moved) == "done");
  BOOST_TEST(fixture.outcome(kept).empty());
}

// Guards against an outage of an entry whose only reachable target was ejected before the other
// targets were lost.
BOOST_AUTO_TEST_CASE(ejected_target_is_used_when_no_other_is_usable)
{
  RouterFixture fixture;
  fixture.addTargets(2);
  for (int request = 0; request < 40; request++) {
    fixture.submit();
    const RouterFixture::Dispatch last = fixture.mDispatches.back();
    if (last.mConnection == 1) {
      fixture.fail(last);
    }
    if (fixture.mDispatches.back().mConnection == 2) {
      fixture.answer(fixture.mDispatches.back());
    }
  }
  fixture.submit();
  BOOST_TEST(fixture.mDispatches.back().mConnection == 2, "target 1 is ejected");
  fixture.answer(fixture.mDispatches.back());
  fixture.mRouter.connectionLost(2, fixture.mNow);
  fixture.submit();
  BOOST_TEST(fixture.mDispatches.back().mConnection == 1);
}

// Guards against reusing a slot while an executor still processes a request past its deadline.
BOOST_AUTO_TEST_CASE(slot_stays_in_use_until_late_attempt_ends)
{
  RouterFixture fixture;
  fixture.addTargets(1, 1);
  const std::uint64_t late = fixture.submit(100);
  fixture.advance(100);
  BOOST_TEST(fixture.outcome(late) == "unknown");
  fixture.submit();
  BOOST_TEST(fixture.mDispatches.size() == 1);
  fixture.answer(fixture.mDispatches.front());
  BOOST_TEST(fixture.mDispatches.size() == 2);
}

// Guards against queueing without bound under overload, and against dropping requests in the wrong
// order, such as latency-critical requests in favour of batch requests.
BOOST_AUTO_TEST_CASE(full_queue_drops_request_with_earliest_deadline)
{
  RouterFixture fixture(1);
  fixture.addTargets(1, 1);
  fixture.submit();
  const std::uint64_t waiting = fixture.submit(500);
  const std::uint64_t shorter = fixture.submit(400);
  BOOST_TEST(fixture.reason(shorter) == "queue-full");
  const std::uint64_t longer = fixture.submit(600);
  BOOST_TEST(fixture.reason(waiting) == "shed");
  BOOST_TEST(fixture.reason(longer).empty());
}

BOOST_AUTO_TEST_CASE(non_repeatable_request_without_a_key_is_refused)
{
  RouterFixture fixture;
  fixture.addTargets(1);
  fixture.setEntry([](auto& aFields) { nonRepeatable(aFields); });
  BOOST_TEST(fixture.reason(fixture.submit()) == "key-required");
  BOOST_TEST(fixture.mIntentBegins.empty());
}

// Guards against running a request whose key another request already uses.
BOOST_AUTO_TEST_CASE(key_in_use_returns_stored_response_or_unknown)
{
  RouterFixture fixture;
  fixture.addTargets(1);
  const auto submitAgainst = [&](IntentOutcome aOutcome, bool aDigestMatches) {
    const std::uint64_t request = fixture.submit(1000, "key");
    IntentRecord::Fields record{ .key = "key", .entryName = "svc", .outcome = aOutcome };
    if (aOutcome == IntentOutcome::eDone) {
      record.answer = valueOf(HttpAnswer::create({ .status = 201, .body = "stored" }));
    }
    fixture.mRouter.intentAnswered(
      request,
      valueOf(IntentStatus::create({ .requestId = "r",
                                     .granted = false,
                                     .digestMatches = aDigestMatches,
                                     .intent = valueOf(IntentRecord::create(record)) })),
      fixture.mNow);
    return request;
  };
  const std::uint64_t done = submitAgainst(IntentOutcome::eDone, true);
  BOOST_TEST(fixture.outcome(done) == "done");
  BOOST_TEST(fixture.mAnswers.at(done).body() == "stored");
  for (const IntentOutcome outcome : { IntentOutcome::eOpen, IntentOutcome::eUnknown }) {
    const std::uint64_t request = submitAgainst(outcome, true);
    BOOST_TEST(fixture.outcome(request) == "unknown");
    BOOST_TEST(fixture.mAnswers.at(request).status() == 409);
  }
  const std::uint64_t other = submitAgainst(IntentOutcome::eDone, false);
  BOOST_TEST(fixture.reason(other) == "invalid-request");
  BOOST_TEST(fixture.mDispatches.empty());
  BOOST_TEST(fixture.mIntentEnds.empty());
  BOOST_TEST(fixture.mRouter.isIdle());
}

// Guards against losing the outcome when the response arrives after the deadline; a resend must
// find it.
BOOST_AUTO_TEST_CASE(late_response_of_a_non_repeatable_request_is_recorded)
{
  RouterFixture fixture;
  fixture.addTargets(1);
  const std::uint64_t request = fixture.submit(100, "key");
  fixture.grantIntent(request);
  fixture.advance(100);
  BOOST_TEST(fixture.outcome(request) == "unknown");
  BOOST_TEST(fixture.mIntentEnds.empty());
  fixture.answer(fixture.mDispatches.front());
  BOOST_TEST((fixture.mIntentEnds.at(request).outcome() == IntentOutcome::eDone));
  fixture.mRouter.intentEnded(request);
  BOOST_TEST(fixture.mRouter.isIdle());
}

// Guards against a caller that receives "not-run", reuses the key and finds it still in use.
BOOST_AUTO_TEST_CASE(not_run_response_is_sent_after_key_is_released)
{
  RouterFixture fixture;
  fixture.addTargets(1);
  const std::uint64_t request = fixture.submit(1000, "key");
  fixture.grantIntent(request);
  fixture.refuse(fixture.mDispatches.front(), RefusalReason::eDeadlinePassed);
  BOOST_TEST(fixture.outcome(request).empty());
  BOOST_TEST((fixture.mIntentEnds.at(request).outcome() == IntentOutcome::eNotRun));
  fixture.mRouter.intentEnded(request);
  BOOST_TEST(fixture.outcome(request) == "not-run");
}

// Guards against a key that stays in use when control grants it after the request has ended.
BOOST_AUTO_TEST_CASE(key_granted_after_deadline_is_released)
{
  RouterFixture fixture;
  fixture.addTargets(1);
  const std::uint64_t request = fixture.submit(100, "key");
  fixture.advance(100);
  BOOST_TEST(fixture.outcome(request) == "not-run");
  fixture.grantIntent(request);
  BOOST_TEST(fixture.mDispatches.empty());
  BOOST_TEST((fixture.mIntentEnds.at(request).outcome() == IntentOutcome::eNotRun));
}
