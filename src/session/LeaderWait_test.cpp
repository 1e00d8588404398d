#include "session/LeaderWait.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <vector>

using namespace magnoliadrum;

namespace {

struct Reply
{
  Result<Message> message;
  std::string leaderAddress;
};

Reply
failure(ErrorCode aCode, const std::string& aLeaderAddress = "")
{
  return { Error::create(aCode, "test", "local", ""), aLeaderAddress };
}

Message
query()
{
  return valueOf(QueueCatalogueQuery::create({ .requestId = "q" }));
}

struct LeaderWaitFixture
{
  LeaderWaitFixture()
    : mWait(LeaderWait<Reply>::create(
        { .now = [this]() { return mNow; },
          .runAt =
            [this](Deadline aDeadline, std::function<void()> aFunction) {
              mTimers.emplace(aDeadline, std::move(aFunction));
            } },
        [this](const Message& /*aMessage*/, const LeaderWait<Reply>::Callback& aDone) {
          mAttempts++;
          aDone(mReply);
        }))
  {
  }

  void call()
  {
    mWait->call(
      query(), mNow.plusMs(800), [this](const Reply& aReply) { mReceived.push_back(aReply); });
  }

  void advance(std::int64_t aMs)
  {
    const MonotonicTime end = mNow.plusMs(aMs);
    while (!mTimers.empty() && mTimers.begin()->first <= end) {
      mNow = mTimers.begin()->first;
      const std::function<void()> function = mTimers.begin()->second;
      mTimers.erase(mTimers.begin());
      function();
    }
    mNow = end;
  }

  MonotonicTime mNow = MonotonicTime::fromMs(1000);
  std::multimap<MonotonicTime, std::function<void()>> mTimers;
  Reply mReply = failure(ErrorCode::eNotLeader);
  int mAttempts = 0;
  std::vector<Reply> mReceived;
  std::shared_ptr<LeaderWait<Reply>> mWait;
};

} // namespace

BOOST_AUTO_TEST_SUITE(leader_wait)

// Guards against operators that are refused during an election and return only seconds later.
BOOST_FIXTURE_TEST_CASE(a_call_during_an_election_is_answered_once_a_leader_is_known,
                        LeaderWaitFixture)
{
  call();
  advance(500);
  BOOST_TEST(mReceived.empty());
  mReply = failure(ErrorCode::eNotLeader, "10.0.0.1:1");
  advance(LeaderWait<Reply>::kRetryPeriodMs);
  BOOST_REQUIRE(mReceived.size() == 1u);
  BOOST_TEST(mReceived.front().leaderAddress == "10.0.0.1:1");
}

BOOST_FIXTURE_TEST_CASE(the_refusal_is_passed_on_at_the_deadline, LeaderWaitFixture)
{
  call();
  advance(2000);
  BOOST_REQUIRE(mReceived.size() == 1u);
  const int attempts = mAttempts;
  advance(2000);
  BOOST_TEST(mAttempts == attempts, "it is not repeated after its deadline");
}

BOOST_FIXTURE_TEST_CASE(other_refusals_are_passed_on_at_once, LeaderWaitFixture)
{
  mReply = failure(ErrorCode::eInvalid);
  call();
  BOOST_TEST(mReceived.size() == 1u);
  BOOST_TEST(mTimers.empty());
}

BOOST_FIXTURE_TEST_CASE(a_waiting_call_ends_with_its_process, LeaderWaitFixture)
{
  call();
  mWait.reset();
  advance(2000);
  BOOST_TEST(mAttempts == 1);
  BOOST_TEST(mReceived.empty());
}

BOOST_AUTO_TEST_SUITE_END()
