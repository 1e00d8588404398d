#include "routing/AttemptTracker.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace magnoliadrum;

// Guards against reporting "not run" for a request whose second attempt was refused after the first
// was lost.
BOOST_AUTO_TEST_CASE(lost_attempt_keeps_the_outcome_unknown_after_later_refusals)
{
  AttemptTracker ledger(true);
  const std::size_t first = ledger.beginAttempt(1);
  BOOST_TEST((ledger.recordFailure(first, 1) == RequestAction::eRetry));
  const std::size_t second = ledger.beginAttempt(2);
  BOOST_TEST((ledger.recordRefusal(second, 2) == RequestAction::eRetry));
  BOOST_TEST((ledger.finish() == RequestOutcome::eUnknown));
}

// Guards against a second run of a request that may not be repeated.
BOOST_AUTO_TEST_CASE(non_repeatable_request_is_repeated_only_after_a_proven_refusal)
{
  AttemptTracker ledger(false);
  const std::size_t first = ledger.beginAttempt(1);
  BOOST_TEST(!ledger.mayDispatch());
  BOOST_TEST((ledger.recordRefusal(first, 1) == RequestAction::eRetry));
  ledger.beginAttempt(2);
  BOOST_TEST((ledger.recordConnectionLost(2) == RequestAction::eRespond));
  BOOST_TEST((ledger.outcome() == RequestOutcome::eUnknown));
  BOOST_TEST(!ledger.mayDispatch());
}

// Guards against "not run" at a deadline that passes while an attempt is in progress.
BOOST_AUTO_TEST_CASE(open_attempt_at_the_deadline_is_unknown)
{
  AttemptTracker ledger(true);
  const std::size_t attempt = ledger.beginAttempt(1);
  BOOST_TEST((ledger.finish() == RequestOutcome::eUnknown));
  BOOST_TEST((ledger.recordResponse(attempt, 1) == RequestAction::eIgnore));
}

namespace {

/**
 * A request in a simulated network that loses, delays, duplicates and crosses messages. The
 * executor's side is recorded apart from the ledger, so that the ledger's claims can be compared
 * with what happened.
 */
class SimulatedRequest
{
public:
  SimulatedRequest(bool aRepeatable, std::mt19937& aRandom)
    : mRepeatable(aRepeatable)
    , mLedger(aRepeatable)
    , mRandom(aRandom)
  {
  }

  void run()
  {
    constexpr int kSteps = 30;
    for (int step = 0; step < kSteps && !mLedger.outcome(); step++) {
      if (mLedger.mayDispatch()) {
        dispatch();
      } else {
        deliver();
      }
    }
    if (!mLedger.outcome()) {
      mLedger.finish();
      mResponses++;
    }
    // Everything that is still under way arrives after the outcome.
    for (int late = 0; late < kSteps; late++) {
      deliver();
    }
    check();
  }

private:
  enum class Event
  {
    eAnswer,
    eRefusal,
    eFailure
  };

  struct Attempt
  {
    std::uint64_t mConnection;
    Event mEvent;
  };

  std::size_t pick(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }

  void dispatch()
  {
    const std::uint64_t connection = mAttempts.size() + 1;
    const std::size_t attempt = mLedger.beginAttempt(connection);
    const std::size_t fate = pick(5);
    mAttempts.push_back({ connection, fate == 1 ? Event::eRefusal : Event::eAnswer });
    if (fate == 0) {
      mAttempts.back().mEvent = Event::eRefusal;
      note(mLedger.recordNotWritten(attempt, connection));
    } else if (fate > 1) {
      mRuns++;
      mAttempts.back().mEvent = fate == 2 ? Event::eFailure : Event::eAnswer;
    }
  }

  void deliver()
  {
    const std::size_t index = pick(mAttempts.size());
    const Attempt attempt = mAttempts[index];
    // One message in four arrives on another connection than its attempt's.
    const std::uint64_t connection = pick(4) == 0 ? attempt.mConnection + 1 : attempt.mConnection;
    if (pick(6) == 0) {
      note(mLedger.recordConnectionLost(connection));
    } else if (attempt.mEvent == Event::eAnswer) {
      note(mLedger.recordResponse(index, connection));
    } else if (attempt.mEvent == Event::eRefusal) {
      note(mLedger.recordRefusal(index, connection));
    } else {
      note(mLedger.recordFailure(index, connection));
    }
  }

  void note(RequestAction aStep) { mResponses += aStep == RequestAction::eRespond ? 1 : 0; }

  void check() const
  {
    BOOST_REQUIRE(mLedger.outcome().has_value());
    BOOST_TEST(mResponses == 1);
    if (!mRepeatable) {
      BOOST_TEST(mRuns <= 1);
    }
    if (mLedger.outcome() == RequestOutcome::eNotRun) {
      BOOST_TEST(mRuns == 0);
    }
    if (mLedger.outcome() == RequestOutcome::eDone) {
      BOOST_TEST(mRuns >= 1);
    }
  }

  bool mRepeatable;
  AttemptTracker mLedger;
  std::mt19937& mRandom;
  std::vector<Attempt> mAttempts;
  int mRuns = 0;
  int mResponses = 0;
};

} // namespace

// Guards against any order of crossed, late and duplicate messages that breaks the rules of an
// outcome.
BOOST_AUTO_TEST_CASE(random_message_orders_keep_the_rules_of_outcomes)
{
  for (unsigned seed = 0; seed < 20000; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      std::mt19937 random(seed);
      SimulatedRequest(seed % 2 == 0, random).run();
    }
  }
}
