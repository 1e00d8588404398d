#include "gateway/RouterFixture.h"

#include <algorithm>
#include <random>
#include <set>

using namespace magnoliadrum;

namespace {

constexpr int kTargetCount = 4;
constexpr int kStepCount = 400;

/** A dispatched message and what the simulated executor and network did with it. */
struct Delivery
{
  RouterFixture::Dispatch mDispatch;
  bool mRan = false;
  bool mLost = false;
};

/**
 * Simulates callers, agents and control with random events. Agents run or refuse dispatched
 * requests and answer late, twice, from the wrong connection or not at all. Connections break.
 * Control grants keys and commits intents after a random delay.
 */
class RandomCluster
{
public:
  explicit RandomCluster(unsigned aSeed)
    : mRandom(aSeed)
    , mFixture(5, aSeed)
  {
    mFixture.addTargets(kTargetCount);
    for (std::uint64_t number = 1; number <= kTargetCount; number++) {
      mConnections.push_back(number);
    }
  }

  void run()
  {
    for (int step = 0; step < kStepCount; step++) {
      performRandomAction();
      executeDispatches();
    }
    for (int step = 0; step < 100; step++) {
      mFixture.advance(200);
      executeDispatches();
      serveIntents(1);
    }
    checkInvariants();
  }

private:
  std::size_t pick(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }

  void performRandomAction()
  {
    switch (pick(8)) {
      case 0:
      case 1:
        submit();
        return;
      case 2:
        mFixture.advance(static_cast<std::int64_t>(pick(60)));
        return;
      case 3:
        serveIntents(2);
        return;
      case 4:
        breakConnection();
        return;
      case 5:
        reportStatus();
        return;
      default:
        deliverRandomAnswer();
    }
  }

  void submit()
  {
    const bool isRepeatable = pick(2) == 0;
    const std::string key = isRepeatable ? "" : "key" + std::to_string(mSubmitted.size());
    const std::int64_t deadlineMs = static_cast<std::int64_t>(1 + pick(1000));
    mSubmitted[mFixture.submit(deadlineMs, key)] = isRepeatable;
  }

  /** Grants each requested key and commits each ended intent with a probability of 1 in aOneIn. */
  void serveIntents(std::size_t aOneIn)
  {
    for (const auto& [request, message] : mFixture.mIntentBegins) {
      if (!mGranted.contains(request) && pick(aOneIn) == 0) {
        mGranted.insert(request);
        mFixture.grantIntent(request);
      }
    }
    for (const auto& [request, message] : std::map(mFixture.mIntentEnds)) {
      if (!mCommitted.contains(request) && pick(aOneIn) == 0) {
        mCommitted.insert(request);
        mFixture.mRouter.intentEnded(request);
      }
    }
  }

  void breakConnection()
  {
    const std::size_t target = pick(kTargetCount);
    const std::uint64_t old = mConnections[target];
    mConnections[target] = ++mLastConnection;
    for (Delivery& delivery : mDeliveries) {
      delivery.mLost = delivery.mLost || delivery.mDispatch.mConnection == old;
    }
    mFixture.mRouter.connectionLost(old, mFixture.mNow);
    mFixture.connect(static_cast<int>(target) + 1, mConnections[target]);
  }

  void reportStatus()
  {
    const std::size_t target = pick(kTargetCount);
    mFixture.sendStatus(static_cast<int>(target) + 1, mConnections[target], pick(10) == 0);
  }

  /** Decides whether each dispatched request runs; deliverRandomAnswer() sends the answer later. */
  void executeDispatches()
  {
    for (const RouterFixture::Dispatch& dispatch : mFixture.mDispatches) {
      const bool ran = pick(4) != 0;
      mDeliveries.push_back({ dispatch, ran, false });
      mRuns[dispatch.mMessage.body()] += ran ? 1 : 0;
    }
    mFixture.mDispatches.clear();
  }

  void deliverRandomAnswer()
  {
    if (mDeliveries.empty()) {
      return;
    }
    Delivery delivery = mDeliveries[pick(mDeliveries.size())];
    if (delivery.mLost) {
      return;
    }
    if (pick(5) == 0) {
      delivery.mDispatch.mConnection = mConnections[pick(kTargetCount)];
    }
    if (!delivery.mRan) {
      const auto reasons = { RefusalReason::eNoSlot, RefusalReason::eNoLease };
      mFixture.refuse(delivery.mDispatch, *(reasons.begin() + pick(reasons.size())));
    } else if (pick(5) == 0) {
      mFixture.fail(delivery.mDispatch);
    } else {
      mFixture.answer(delivery.mDispatch);
    }
  }

  void checkInvariants()
  {
    BOOST_TEST(mFixture.mRouter.isIdle());
    for (const auto& [request, isRepeatable] : mSubmitted) {
      const std::string body = std::to_string(request);
      const std::string outcome = mFixture.outcome(request);
      BOOST_REQUIRE(!outcome.empty());
      if (outcome == "done") {
        BOOST_TEST(mFixture.mAnswers.at(request).body() == body);
        BOOST_TEST(mRuns[body] >= 1);
      }
      if (outcome == "not-run") {
        BOOST_TEST(mRuns[body] == 0);
      }
      if (!isRepeatable) {
        BOOST_TEST(mRuns[body] <= 1);
        checkIntent(request, outcome);
      }
    }
  }

  void checkIntent(std::uint64_t aRequest, const std::string& aOutcome)
  {
    if (!mFixture.mIntentBegins.contains(aRequest)) {
      return;
    }
    BOOST_REQUIRE(mFixture.mIntentEnds.contains(aRequest));
    const IntentOutcome end = mFixture.mIntentEnds.at(aRequest).outcome();
    if (end == IntentOutcome::eNotRun) {
      BOOST_TEST(mRuns[std::to_string(aRequest)] == 0);
    }
    if (end == IntentOutcome::eDone) {
      BOOST_TEST(mRuns[std::to_string(aRequest)] == 1);
    }
    BOOST_TEST((aOutcome != "done" || end == IntentOutcome::eDone));
  }

  std::mt19937 mRandom;
  RouterFixture mFixture;
  std::vector<std::uint64_t> mConnections;
  std::uint64_t mLastConnection = 100;
  std::vector<Delivery> mDeliveries;
  std::map<std::uint64_t, bool> mSubmitted;
  std::map<std::string, int> mRuns;
  std::set<std::uint64_t> mGranted;
  std::set<std::uint64_t> mCommitted;
};

} // namespace

// Guards against event orders in which a caller gets two responses, another caller's response or a
// false "not-run", a non-repeatable request runs twice, or a request or key is never released.
BOOST_AUTO_TEST_CASE(random_interleavings_give_each_request_one_correct_outcome)
{
  for (unsigned seed = 0; seed < 1000; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      RandomCluster(seed).run();
    }
  }
}
