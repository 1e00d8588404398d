#include "routing/AttemptTracker.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace magnoliadrum;

// Guards against the outcome eNotRun for a request whose first attempt was lost and whose second
// attempt was refused.
BOOST_AUTO_TEST_CASE(lost_attempt_keeps_the_outcome_unknown_after_later_refusals)
{
  AttemptTracker tracker(true);
  const std::size_t first = tracker.beginAttempt(1);
  BOOST_TEST((tracker.recordFailure(first, 1) == RequestAction::eRetry));
  const std::size_t second = tracker.beginAttempt(2);
  BOOST_TEST((tracker.recordRefusal(second, 2) == RequestAction::eRetry));
  BOOST_TEST((tracker.finish() == RequestOutcome::eUnknown));
}

// Guards against running a non-repeatable request twice.
BOOST_AUTO_TEST_CASE(non_repeatable_request_is_retried_only_after_a_refusal)
{
  AttemptTracker tracker(false);
  const std::size_t first = tracker.beginAttempt(1);
  BOOST_TEST(!tracker.mayDispatch());
  BOOST_TEST((tracker.recordRefusal(first, 1) == RequestAction::eRetry));
  tracker.beginAttempt(2);
  BOOST_TEST((tracker.recordConnectionLost(2) == RequestAction::eRespond));
  BOOST_TEST((tracker.outcome() == RequestOutcome::eUnknown));
  BOOST_TEST(!tracker.mayDispatch());
}

// Guards against the outcome eNotRun when the deadline passes while an attempt is in progress.
BOOST_AUTO_TEST_CASE(attempt_in_progress_at_the_deadline_makes_the_outcome_unknown)
{
  AttemptTracker tracker(true);
  const std::size_t attempt = tracker.beginAttempt(1);
  BOOST_TEST((tracker.finish() == RequestOutcome::eUnknown));
  BOOST_TEST((tracker.recordResponse(attempt, 1) == RequestAction::eIgnore));
}

namespace {

/**
 * A request in a simulated network that loses, delays, duplicates and misdirects messages. Executor
 * runs are counted independently of the tracker, so that its outcome can be compared with them.
 */
class SimulatedRequest
{
public:
  SimulatedRequest(bool aRepeatable, std::mt19937& aRandom)
    : mRepeatable(aRepeatable)
    , mTracker(aRepeatable)
    , mRandom(aRandom)
  {
  }

  void run()
  {
    constexpr int kMaxSteps = 30;
    for (int step = 0; step < kMaxSteps && !mTracker.outcome(); step++) {
      if (mTracker.mayDispatch()) {
        dispatch();
      } else {
        deliver();
      }
    }
    if (!mTracker.outcome()) {
      mTracker.finish();
      mResponses++;
    }
    // Delivers late messages after the outcome.
    for (int late = 0; late < kMaxSteps; late++) {
      deliver();
    }
    check();
  }

private:
  enum class Event
  {
    eResponse,
    eRefusal,
    eFailure
  };

  struct Attempt
  {
    std::uint64_t mConnection;
    Event mEvent;
  };

  std::size_t randomIndex(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }

  void dispatch()
  {
    const std::uint64_t connection = mAttempts.size() + 1;
    const std::size_t attempt = mTracker.beginAttempt(connection);
    const std::size_t outcome = randomIndex(5);
    mAttempts.push_back({ connection, outcome == 1 ? Event::eRefusal : Event::eResponse });
    if (outcome == 0) {
      mAttempts.back().mEvent = Event::eRefusal;
      recordAction(mTracker.recordNotWritten(attempt, connection));
    } else if (outcome > 1) {
      mExecutorRuns++;
      mAttempts.back().mEvent = outcome == 2 ? Event::eFailure : Event::eResponse;
    }
  }

  void deliver()
  {
    const std::size_t index = randomIndex(mAttempts.size());
    const Attempt attempt = mAttempts[index];
    // One message in four arrives on a connection other than its attempt's.
    const std::uint64_t connection =
      randomIndex(4) == 0 ? attempt.mConnection + 1 : attempt.mConnection;
    if (randomIndex(6) == 0) {
      recordAction(mTracker.recordConnectionLost(connection));
    } else if (attempt.mEvent == Event::eResponse) {
      recordAction(mTracker.recordResponse(index, connection));
    } else if (attempt.mEvent == Event::eRefusal) {
      recordAction(mTracker.recordRefusal(index, connection));
    } else {
      recordAction(mTracker.recordFailure(index, connection));
    }
  }

  void recordAction(RequestAction aAction)
  {
    mResponses += aAction == RequestAction::eRespond ? 1 : 0;
  }

  void check() const
  {
    BOOST_REQUIRE(mTracker.outcome().has_value());
    BOOST_TEST(mResponses == 1);
    if (!mRepeatable) {
      BOOST_TEST(mExecutorRuns <= 1);
    }
    if (mTracker.outcome() == RequestOutcome::eNotRun) {
      BOOST_TEST(mExecutorRuns == 0);
    }
    if (mTracker.outcome() == RequestOutcome::eDone) {
      BOOST_TEST(mExecutorRuns >= 1);
    }
  }

  bool mRepeatable;
  AttemptTracker mTracker;
  std::mt19937& mRandom;
  std::vector<Attempt> mAttempts;
  int mExecutorRuns = 0;
  int mResponses = 0;
};

} // namespace

// Guards against misdirected, late or duplicate messages that lead to a false outcome, to a second
// response, or to a second run of a non-repeatable request.
BOOST_AUTO_TEST_CASE(random_message_orders_give_correct_outcomes)
{
  for (unsigned seed = 0; seed < 20000; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      std::mt19937 random(seed);
      SimulatedRequest(seed % 2 == 0, random).run();
    }
  }
}
