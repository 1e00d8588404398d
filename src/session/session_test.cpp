#include "session/session.h"
#include "transport/LoopbackHost.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

const std::string kLeaderAddress = loopbackHost(1) + ":7001";
const std::string kFollowerAddress = loopbackHost(1) + ":7002";
const std::string kReplacementAddress = loopbackHost(1) + ":7003";
constexpr std::int64_t kTestTimeoutMs = 20000;
constexpr std::int64_t kLeaseMs = 3000;
constexpr std::int64_t kHeartbeatMs = 100;
constexpr std::int64_t kLeaderTimeoutMs = 300;

/** Control replica that answers as the leader, or as a follower that names the leader. */
class FakeControlReplica
{
public:
  FakeControlReplica(EventLoop& aLoop, const std::string& aAddress, bool aIsLeader)
    : mIsLeader(aIsLeader)
  {
    MessageHandlers handlers;
    handlers.onOpen = [](MessageConnection& /*aConnection*/) {};
    handlers.onMessage = [this](MessageConnection& aConnection, const Message& aMessage) {
      onMessage(aConnection, aMessage);
    };
    handlers.onClosed = [](MessageConnection& /*aConnection*/, const Error& /*aError*/) {};
    const Hello hello = valueOf(Hello::create({ ProcessKind::eControl, "control", "1" }));
    mServer = takeValue(MessageServer::listen(aLoop, aAddress, hello, handlers));
  }

  int mSessionOpenCount = 0;
  int mQueryCount = 0;
  bool mClosesOnFirstQuery = false;
  bool mAnswersQueries = true;
  bool mIgnoresSessionOpen = false;
  std::vector<std::string> mReplicas;

private:
  void onMessage(MessageConnection& aConnection, const Message& aMessage)
  {
    if (const SessionOpen* open = std::get_if<SessionOpen>(&aMessage)) {
      mSessionOpenCount++;
      if (mIgnoresSessionOpen) {
        return;
      }
      if (!mIsLeader) {
        aConnection.send(valueOf(SessionRefused::create(
          { .reason = SessionRefusal::eNotLeader, .leaderAddress = kLeaderAddress })));
        return;
      }
      aConnection.send(valueOf(SessionGranted::create({ .session = 7,
                                                        .leaseUntilMs = open->sentAtMs() + kLeaseMs,
                                                        .term = 1,
                                                        .replicas = mReplicas })));
    } else if (const StatusQuery* query = std::get_if<StatusQuery>(&aMessage)) {
      mQueryCount++;
      if (!mAnswersQueries) {
        return;
      }
      if (mClosesOnFirstQuery && mQueryCount == 1) {
        const MessageConnectionPointer connection = aConnection.shared_from_this();
        connection->close("test");
        return;
      }
      aConnection.send(valueOf(OperationDone::create({ .requestId = query->requestId() })));
    }
  }

  bool mIsLeader;
  std::unique_ptr<MessageServer> mServer;
};

struct ControlLinkFixture
{
  ControlLinkFixture()
    : mLoop(takeValue(EventLoop::create()))
    , mTestTimer(mLoop->runAt(mLoop->now().plusMs(kTestTimeoutMs), [this]() {
      mTimedOut = true;
      mLoop->stop();
    }))
  {
  }

  std::unique_ptr<ControlLink> createLink(ControlLinkHandlers aHandlers)
  {
    aHandlers.fillOpen = [](SessionOpen::Fields& /*aFields*/) { return true; };
    aHandlers.fillHeartbeat = [](SessionHeartbeat::Fields& /*aFields*/) {};
    return ControlLink::create(*mLoop,
                               { .mProcessKind = ProcessKind::eGateway,
                                 .mProcessId = "gateway-1",
                                 .mIncarnation = "1",
                                 .mControlAddresses = { kFollowerAddress, kLeaderAddress },
                                 .mLeaseMs = kLeaseMs,
                                 .mHeartbeatMs = kHeartbeatMs,
                                 .mSilenceMs = kLeaderTimeoutMs },
                               std::move(aHandlers));
  }

  std::unique_ptr<EventLoop> mLoop;
  bool mTimedOut = false;
  EventHandlePointer mTestTimer;
};

CatalogueUpdate
createUpdate(std::int64_t aTerm, bool aComplete, std::int64_t aFrom, std::int64_t aTo)
{
  return valueOf(CatalogueUpdate::create(
    { .term = aTerm, .complete = aComplete, .fromVersion = aFrom, .toVersion = aTo }));
}

} // namespace

BOOST_FIXTURE_TEST_CASE(link_follows_leader_address_in_refusal_and_gets_lease, ControlLinkFixture)
{
  const FakeControlReplica follower(*mLoop, kFollowerAddress, false);
  const FakeControlReplica leader(*mLoop, kLeaderAddress, true);
  ControlLinkHandlers handlers;
  handlers.onSession = [&](std::int64_t aSession) {
    BOOST_TEST(aSession == 7);
    mLoop->stop();
  };
  const std::unique_ptr<ControlLink> link = createLink(handlers);
  BOOST_TEST(!link->holdsLease(mLoop->now()));
  link->start();
  mLoop->run();
  BOOST_REQUIRE(!mTimedOut);
  BOOST_TEST(link->holdsLease(mLoop->now()));
  BOOST_TEST(!link->holdsLease(mLoop->now().plusMs(kLeaseMs)));
}

// Guards against losing a call when its connection closes before the answer.
BOOST_FIXTURE_TEST_CASE(unanswered_call_is_sent_again_after_reconnection, ControlLinkFixture)
{
  const FakeControlReplica follower(*mLoop, kFollowerAddress, false);
  FakeControlReplica leader(*mLoop, kLeaderAddress, true);
  leader.mClosesOnFirstQuery = true;
  const std::unique_ptr<ControlLink> link = createLink({});
  link->start();
  int answers = 0;
  link->call(valueOf(StatusQuery::create({ .requestId = "q" })),
             mLoop->now().plusMs(kTestTimeoutMs),
             [&](const Result<Message>& aResult) {
               answers += isOk(aResult) ? 1 : 0;
               mLoop->stop();
             });
  mLoop->run();
  BOOST_REQUIRE(!mTimedOut);
  BOOST_TEST(answers == 1);
  BOOST_TEST(leader.mQueryCount == 2);
}

BOOST_FIXTURE_TEST_CASE(call_without_leader_fails_with_not_sent_at_deadline, ControlLinkFixture)
{
  const std::unique_ptr<ControlLink> link = createLink({});
  link->start();
  std::optional<ErrorCode> code;
  link->call(valueOf(StatusQuery::create({ .requestId = "q" })),
             mLoop->now().plusMs(200),
             [&](const Result<Message>& aResult) {
               code = errorOf(aResult).code();
               mLoop->stop();
             });
  mLoop->run();
  BOOST_TEST((code == ErrorCode::eNotSent), "a call that was never sent must fail with eNotSent");
}

// Guards against reporting a call as "not run" although it may have reached a leader.
BOOST_FIXTURE_TEST_CASE(call_unanswered_by_leader_fails_with_timeout, ControlLinkFixture)
{
  FakeControlReplica leader(*mLoop, kLeaderAddress, true);
  leader.mAnswersQueries = false;
  const std::unique_ptr<ControlLink> link = createLink({});
  std::optional<ErrorCode> code;
  constexpr std::int64_t kCallTimeoutMs = 2000;
  link->start();
  link->call(valueOf(StatusQuery::create({ .requestId = "q" })),
             mLoop->now().plusMs(kCallTimeoutMs),
             [&](const Result<Message>& aResult) {
               code = errorOf(aResult).code();
               mLoop->stop();
             });
  mLoop->run();
  BOOST_TEST(leader.mQueryCount >= 1);
  BOOST_TEST((code == ErrorCode::eTimeout));
}

// Guards against staying with a replica until the lease ends after its VM has lost power.
BOOST_FIXTURE_TEST_CASE(link_leaves_unresponsive_replica_within_half_a_lease, ControlLinkFixture)
{
  FakeControlReplica unresponsive(*mLoop, kFollowerAddress, true);
  unresponsive.mIgnoresSessionOpen = true;
  const FakeControlReplica leader(*mLoop, kLeaderAddress, true);
  ControlLinkHandlers handlers;
  handlers.onSession = [&](std::int64_t /*aSession*/) { mLoop->stop(); };
  const std::unique_ptr<ControlLink> link = createLink(handlers);
  const MonotonicTime start = mLoop->now();
  link->start();
  mLoop->run();
  BOOST_REQUIRE(!mTimedOut);
  BOOST_TEST(unresponsive.mSessionOpenCount >= 1);
  BOOST_TEST(mLoop->now().msSince(start) < kLeaseMs / 2);
}

// Guards against a catalogue change that is reverted by an old leader or a late message.
BOOST_AUTO_TEST_CASE(catalogue_copy_rejects_outdated_and_non_consecutive_updates)
{
  CatalogueCopy copy;
  BOOST_TEST(!copy.apply(createUpdate(1, false, 0, 1)));
  BOOST_TEST(copy.apply(createUpdate(2, true, 0, 5)));
  BOOST_TEST(!copy.apply(createUpdate(1, true, 0, 9)));
  BOOST_TEST(!copy.apply(createUpdate(2, true, 0, 4)));
  BOOST_TEST(!copy.apply(createUpdate(2, false, 6, 7)));
  BOOST_TEST(copy.apply(createUpdate(3, false, 5, 6)));
  BOOST_TEST(copy.version() == 6);
}

// Guards against a process that never finds the leader again after all replicas that its settings
// named at its start were replaced, one after the other.
BOOST_FIXTURE_TEST_CASE(link_finds_leader_at_address_that_an_earlier_leader_named,
                        ControlLinkFixture)
{
  auto first = std::make_unique<FakeControlReplica>(*mLoop, kLeaderAddress, true);
  first->mReplicas = { kLeaderAddress, kReplacementAddress };
  const FakeControlReplica replacement(*mLoop, kReplacementAddress, true);
  int grants = 0;
  ControlLinkHandlers handlers;
  handlers.onGranted = [&]() {
    grants++;
    if (grants > 1) {
      mLoop->stop();
      return;
    }
    mLoop->post([&]() { first.reset(); });
  };
  const std::unique_ptr<ControlLink> link = createLink(handlers);
  link->start();
  mLoop->run();
  BOOST_REQUIRE(!mTimedOut);
  BOOST_TEST(replacement.mSessionOpenCount == 1);
}

// The same failure when no session was open while the replicas were replaced.
BOOST_FIXTURE_TEST_CASE(link_reads_addresses_again_when_none_leads_to_a_leader, ControlLinkFixture)
{
  const FakeControlReplica replacement(*mLoop, kReplacementAddress, true);
  ControlLinkHandlers handlers;
  handlers.onGranted = [&]() { mLoop->stop(); };
  const std::unique_ptr<ControlLink> link = createLink(handlers);
  int reads = 0;
  link->setAddressReader([&reads]() {
    reads++;
    return reads == 1 ? std::vector<std::string>()
                      : std::vector<std::string>{ kReplacementAddress };
  });
  link->start();
  mLoop->run();
  BOOST_REQUIRE(!mTimedOut);
  BOOST_TEST(reads == 2, "an invalid settings file is read again after the next round");
}

BOOST_AUTO_TEST_CASE(learned_addresses_are_tried_before_configured_ones)
{
  ControlAddresses addresses;
  addresses.setConfigured({ "a", "b" });
  addresses.setLearned({ "c", "a" });
  std::vector<std::string> tried;
  while (!addresses.hasTriedAll()) {
    tried.push_back(addresses.takeNext());
  }
  const std::vector<std::string> expected = { "c", "a", "b" };
  BOOST_TEST(tried == expected, boost::test_tools::per_element());
  addresses.onLeaderFound();
  BOOST_TEST(!addresses.hasTriedAll());
  BOOST_TEST(addresses.takeNext() == "c");
}
