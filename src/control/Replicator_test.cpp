#include "consensus/consensus.h"
#include "control/ConnectionReplicaTransport.h"
#include "control/PendingProposals.h"
#include "control/Replicator.h"
#include "storage/storage.h"
#include "transport/LoopbackHost.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <numeric>
#include <thread>
#include <unistd.h>
#include <utility>

using namespace magnoliadrum;

namespace {

/** Long enough that a slow disk or a busy machine does not make the leader lose its quorum. */
constexpr std::int64_t kElectionTimeoutMs = 1000;
constexpr std::int64_t kWaitMs = 20000;

/** The operating system's files. Counts the syncs and can make them fail. */
class CountingFileOperations : public PosixFileOperations
{
public:
  struct Counters
  {
    int syncs = 0;
    bool syncFails = false;
  };

  explicit CountingFileOperations(std::shared_ptr<Counters> aCounters)
    : mCounters(std::move(aCounters))
  {
  }

  Result<Done> sync(FileHandle aFile) override
  {
    mCounters->syncs++;
    if (mCounters->syncFails) {
      return Error::create(ErrorCode::eIo, "test", "local", "injected");
    }
    return PosixFileOperations::sync(aFile);
  }

private:
  std::shared_ptr<Counters> mCounters;
};

Hello
makeHello(const std::string& aName)
{
  return valueOf(Hello::create(
    { .processKind = ProcessKind::eControl, .processId = aName, .incarnation = "1" }));
}

/** A replica with its message server. Its state is the sequence of the applied commands. */
struct TestReplica
{
  std::string address;
  std::unique_ptr<MessageServer> server;
  std::unique_ptr<Replicator> replicator;
  std::vector<std::string> applied;
  std::vector<bool> leadership;
  /** The number of commands that were applied at the last change of the leadership. */
  std::size_t appliedAtLeadershipChange = 0;
  std::optional<Error> failure;
  std::shared_ptr<CountingFileOperations::Counters> fileCounters =
    std::make_shared<CountingFileOperations::Counters>();
};

/** Replicas that share an event loop and are connected over the loopback interface. */
class ReplicaGroup
{
public:
  ReplicaGroup()
    : mLoop(takeValue(EventLoop::create()))
    , mRoot(std::filesystem::temp_directory_path() /
            ("replicator_test." + std::to_string(getpid())))
  {
  }

  ~ReplicaGroup()
  {
    mReplicas.clear();
    std::filesystem::remove_all(mRoot);
  }

  ReplicaGroup(const ReplicaGroup&) = delete;
  ReplicaGroup& operator=(const ReplicaGroup&) = delete;

  std::string folder(int aNumber) const { return (mRoot / std::to_string(aNumber)).string(); }

  static std::string address(int aNumber)
  {
    return loopbackHost(1) + ":" + std::to_string(7001 + aNumber);
  }

  /** Starts a replica. Returns the error when Replicator::create() fails. */
  Result<Done> start(int aNumber, ReplicaStart aStart, int aInitialReplicas = 3)
  {
    TestReplica& replica = mReplicas[aNumber];
    replica.address = address(aNumber);
    ReplicatorSettings settings{ .dataFolder = folder(aNumber),
                                 .address = replica.address,
                                 .start = aStart,
                                 .initialReplicas = {},
                                 .electionTimeoutMs = kElectionTimeoutMs,
                                 .heartbeatMs = 50,
                                 .snapshotEveryEntries = mSnapshotEveryEntries };
    for (int number = 0; number < aInitialReplicas; number++) {
      settings.initialReplicas.push_back(address(number));
    }
    const Hello hello = makeHello(replica.address);
    auto created = Replicator::create(
      *mLoop,
      settings,
      std::make_unique<ConnectionReplicaTransport>(*mLoop, hello, 3 * kElectionTimeoutMs),
      makeCallbacks(replica),
      std::make_unique<CountingFileOperations>(replica.fileCounters));
    if (!isOk(created)) {
      return errorOf(created);
    }
    replica.replicator = takeValue(std::move(created));
    MessageHandlers handlers;
    handlers.onOpen = [](MessageConnection& /*aConnection*/) {};
    handlers.onMessage = [&replica](MessageConnection& aConnection, const Message& aMessage) {
      const std::weak_ptr<MessageConnection> connection = aConnection.weak_from_this();
      replica.replicator->receive(aMessage, [connection](const Message& aReply) {
        if (const auto open = connection.lock()) {
          open->send(aReply);
        }
      });
    };
    handlers.onClosed = [](MessageConnection& /*aConnection*/, const Error& /*aError*/) {};
    auto server = MessageServer::listen(*mLoop, replica.address, hello, handlers);
    BOOST_REQUIRE(isOk(server));
    replica.server = takeValue(std::move(server));
    return Done{};
  }

  void stop(int aNumber) { mReplicas.erase(aNumber); }

  void setSnapshotEveryEntries(std::int64_t aEntries) { mSnapshotEveryEntries = aEntries; }

  /** Makes every apply of a command on any replica block the loop for this time. */
  void setApplyTime(std::chrono::microseconds aTime) { mApplyTime = aTime; }

  /**
   * Runs the loop until a condition holds. Returns how many commands were applied at most in one
   * turn of the loop, in which no message is read.
   */
  int mostAppliedInOneTurn(const std::string& aWhat, const std::function<bool()>& aCondition)
  {
    int most = 0;
    mAppliedInTurn = 0;
    const auto timer =
      mLoop->runEvery(1, [&] { most = std::max(most, std::exchange(mAppliedInTurn, 0)); });
    waitFor(aWhat, aCondition);
    return std::max(most, mAppliedInTurn);
  }

  TestReplica& at(int aNumber) { return mReplicas.at(aNumber); }

  /** Runs the loop until a condition holds; fails the test with aWhat after kWaitMs. */
  void waitFor(const std::string& aWhat, const std::function<bool()>& aCondition)
  {
    const Deadline limit = mLoop->now().plusMs(kWaitMs);
    const auto timer = mLoop->runEvery(2, [&] {
      if (aCondition() || mLoop->now() >= limit) {
        mLoop->stop();
      }
    });
    mLoop->run();
    BOOST_REQUIRE_MESSAGE(aCondition(), aWhat);
  }

  TestReplica* leader()
  {
    for (auto& [number, replica] : mReplicas) {
      if (replica.replicator && replica.replicator->isLeader()) {
        return &replica;
      }
    }
    return nullptr;
  }

  TestReplica& waitForLeader()
  {
    waitFor("no leader", [&] { return leader() != nullptr; });
    return *leader();
  }

  /** Proposes commands in one loop iteration and waits for all results. */
  void proposeAndWait(TestReplica& aReplica, int aCount)
  {
    int done = 0;
    for (int number = 0; number < aCount; number++) {
      const std::string command = "command " + std::to_string(mCommands++);
      aReplica.replicator->propose(command, [&, command](const ProposalResult& aResult) {
        BOOST_TEST(std::holds_alternative<std::int64_t>(aResult));
        BOOST_TEST(aReplica.applied.back() == command,
                   "the callback did not run directly after its command was applied");
        done++;
      });
    }
    BOOST_TEST(done == 0, "a callback was called from within propose()");
    waitFor("not all proposals completed", [&] { return done == aCount; });
  }

  /** Waits until every replica has applied the same sequence of aCommands commands. */
  void waitForEqualStates(std::size_t aCommands)
  {
    waitFor("the replicas have not applied the same commands", [&] {
      return std::all_of(mReplicas.begin(), mReplicas.end(), [&](const auto& aEntry) {
        return aEntry.second.applied == mReplicas.begin()->second.applied &&
               aEntry.second.applied.size() == aCommands;
      });
    });
  }

  void startAll()
  {
    for (const int number : { 2, 0, 1 }) {
      BOOST_REQUIRE(isOk(start(number, ReplicaStart::eBootstrap)));
    }
  }

private:
  ReplicatorCallbacks makeCallbacks(TestReplica& aReplica)
  {
    ReplicatorCallbacks callbacks;
    callbacks.apply = [this, &aReplica](std::int64_t /*aIndex*/, std::string_view aCommand) {
      mAppliedInTurn++;
      if (mApplyTime.count() > 0) {
        std::this_thread::sleep_for(mApplyTime);
      }
      aReplica.applied.emplace_back(aCommand);
    };
    callbacks.encodeSnapshot = [&aReplica] {
      return std::accumulate(
        aReplica.applied.begin(),
        aReplica.applied.end(),
        std::string(),
        [](const std::string& aAll, const std::string& aNext) { return aAll + aNext + "\n"; });
    };
    callbacks.restoreSnapshot = [&aReplica](std::string_view aSnapshot) -> Result<Done> {
      aReplica.applied.clear();
      for (std::size_t start = 0; start < aSnapshot.size();) {
        const std::size_t end = aSnapshot.find('\n', start);
        aReplica.applied.emplace_back(aSnapshot.substr(start, end - start));
        start = end + 1;
      }
      return Done{};
    };
    callbacks.leadershipChanged = [&aReplica](bool aIsLeader) {
      aReplica.leadership.push_back(aIsLeader);
      aReplica.appliedAtLeadershipChange = aReplica.applied.size();
    };
    callbacks.failed = [&aReplica](const Error& aError) { aReplica.failure = aError; };
    return callbacks;
  }

  std::unique_ptr<EventLoop> mLoop;
  std::filesystem::path mRoot;
  std::map<int, TestReplica> mReplicas;
  int mCommands = 0;
  std::int64_t mSnapshotEveryEntries = 30;
  std::chrono::microseconds mApplyTime{ 0 };
  int mAppliedInTurn = 0;
};

std::string
resultCode(const ProposalResult& aResult)
{
  const ProposalFailure* failure = std::get_if<ProposalFailure>(&aResult);
  if (failure == nullptr) {
    return "done";
  }
  return errorCodeName(failure->error.code()) + std::string(failure->outcomeUnknown ? "?" : "");
}

} // namespace

BOOST_AUTO_TEST_CASE(new_group_replicates_commands_and_keeps_them_after_all_replicas_restart)
{
  ReplicaGroup group;
  group.startAll();
  TestReplica& leader = group.waitForLeader();
  const int before = leader.fileCounters->syncs;
  group.proposeAndWait(leader, 100);
  BOOST_TEST(leader.fileCounters->syncs - before <= 10, "proposals of one iteration share a sync");
  group.waitForEqualStates(100);
  BOOST_TEST(leader.replicator->replicas().size() == 3u);
  for (int number = 0; number < 3; number++) {
    group.stop(number);
  }
  for (int number = 0; number < 3; number++) {
    BOOST_REQUIRE(isOk(group.start(number, ReplicaStart::eExisting)));
  }
  group.proposeAndWait(group.waitForLeader(), 5);
  group.waitForEqualStates(105);
}

// Guards against a group without a leader after all replicas restarted: each new leader applied its
// whole log at once, sent no heartbeat meanwhile, and the others elected the next one.
BOOST_AUTO_TEST_CASE(new_leader_sends_heartbeats_while_it_applies_a_long_log)
{
  constexpr int kCommands = 500;
  constexpr std::chrono::microseconds kApplyTime{ 3000 };
  ReplicaGroup group;
  group.setSnapshotEveryEntries(std::int64_t{ 10 } * kCommands);
  group.startAll();
  group.proposeAndWait(group.waitForLeader(), kCommands);
  group.waitForEqualStates(kCommands);
  for (int number = 0; number < 3; number++) {
    group.stop(number);
  }
  for (int number = 0; number < 3; number++) {
    BOOST_REQUIRE(isOk(group.start(number, ReplicaStart::eExisting)));
  }
  group.setApplyTime(kApplyTime);
  const int most =
    group.mostAppliedInOneTurn("no leader", [&] { return group.leader() != nullptr; });
  BOOST_TEST(most <= kCommands / 5, "the replicas applied " << most << " commands in one turn");
  BOOST_TEST(group.leader()->appliedAtLeadershipChange == std::size_t{ kCommands },
             "the leader has not applied all commands of earlier leaders");
  const std::int64_t term = group.leader()->replicator->term();
  group.setApplyTime(std::chrono::microseconds{ 0 });
  group.proposeAndWait(*group.leader(), 5);
  group.waitForEqualStates(kCommands + 5);
  BOOST_TEST(group.leader()->replicator->term() == term, "the group changed its leader");
}

// Guards against parts of a large entry that a connection does not carry, or that are put together
// in another way than they were sent.
BOOST_AUTO_TEST_CASE(largest_proposal_reaches_all_replicas_in_parts)
{
  ReplicaGroup group;
  group.startAll();
  TestReplica& leader = group.waitForLeader();
  std::string command(ConsensusSettings().maxProposalBytes, '\0');
  for (std::size_t position = 0; position < command.size(); position++) {
    command[position] = static_cast<char>(position % 251);
  }
  std::optional<std::string> code;
  leader.replicator->propose(command,
                             [&](const ProposalResult& aResult) { code = resultCode(aResult); });
  group.waitFor("no result of the proposal", [&] { return code.has_value(); });
  BOOST_TEST(*code == "done");
  group.proposeAndWait(leader, 5);
  group.waitForEqualStates(6);
  BOOST_TEST((leader.applied.front() == command));
}

// Guards against a follower that applies entries of its log on top of a snapshot that holds them.
BOOST_AUTO_TEST_CASE(snapshot_replaces_committed_entries_that_are_not_applied_yet)
{
  ReplicaGroup group;
  BOOST_REQUIRE(isOk(group.start(0, ReplicaStart::eJoin)));
  group.setApplyTime(std::chrono::microseconds{ 10000 });
  TestReplica& follower = group.at(0);
  const GroupConfiguration configuration = makeChecked<GroupConfiguration>(
    { .replicas = {
        makeChecked<Replica>({ .replicaId = "leader", .address = group.address(1) }) } });
  AppendRequest::Fields append{ .term = 1, .leaderId = "leader", .commitIndex = 20, .round = 1 };
  append.entries.push_back(makeChecked<LogEntry>({ .index = 1,
                                                   .term = 0,
                                                   .kind = LogEntryKind::eConfiguration,
                                                   .data = encodeConfiguration(configuration) }));
  for (std::int64_t index = 2; index <= 20; index++) {
    append.entries.push_back(
      makeChecked<LogEntry>({ .index = index, .term = 1, .data = std::to_string(index) }));
  }
  follower.replicator->receive(makeChecked<AppendRequest>(append), {});
  group.waitFor("no command was applied", [&] { return !follower.applied.empty(); });
  BOOST_TEST(follower.applied.size() < 19u, "all commands were applied in one turn");
  const std::string data = "2 to 30\n";
  follower.replicator->receive(makeChecked<SnapshotChunk>({ .term = 1,
                                                            .leaderId = "leader",
                                                            .lastIndex = 30,
                                                            .lastTerm = 1,
                                                            .totalBytes = std::ssize(data),
                                                            .round = 2,
                                                            .configuration = configuration,
                                                            .data = data }),
                               {});
  append.previousIndex = 30;
  append.previousTerm = 1;
  append.commitIndex = 31;
  append.entries = { makeChecked<LogEntry>({ .index = 31, .term = 1, .data = "31" }) };
  follower.replicator->receive(makeChecked<AppendRequest>(append), {});
  const std::vector<std::string> expected{ "2 to 30", "31" };
  group.waitFor("the follower has not applied the snapshot and the entry after it",
                [&] { return follower.applied == expected; });
  BOOST_TEST(follower.replicator->appliedIndex() == 31);
  BOOST_TEST(!follower.failure.has_value());
}

// Guards against a planned shutdown in which the proposals in flight are lost or fail.
BOOST_AUTO_TEST_CASE(step_down_transfers_leadership_and_proposals_in_flight_succeed)
{
  ReplicaGroup group;
  group.startAll();
  TestReplica& leader = group.waitForLeader();
  std::vector<std::string> results;
  const auto record = [&](const ProposalResult& aResult) {
    results.push_back(resultCode(aResult));
  };
  std::optional<Result<Done>> done;
  leader.replicator->propose("in flight", record);
  leader.replicator->stepDown([&](const Result<Done>& aResult) { done = aResult; });
  leader.replicator->propose("too late", record);
  group.waitFor("the leadership transfer did not complete", [&] { return done.has_value(); });
  BOOST_TEST(isOk(*done));
  BOOST_TEST((results == std::vector<std::string>{ "not-leader", "done" } ||
              results == std::vector<std::string>{ "done", "not-leader" }));
  BOOST_TEST(!leader.replicator->isLeader());
  group.waitFor("no other leader",
                [&] { return group.leader() != nullptr && group.leader() != &leader; });
  BOOST_TEST(leader.leadership.back() == false);
  BOOST_TEST(leader.replicator->leaderAddress() == group.leader()->address);
  done.reset();
  leader.replicator->stepDown([&](const Result<Done>& aResult) { done = aResult; });
  group.waitFor("stepDown() of a follower did not complete", [&] { return done.has_value(); });
  BOOST_TEST(isOk(*done));
}

// Guards against a replica that continues with state that is not durable after a sync has failed.
BOOST_AUTO_TEST_CASE(replica_with_failed_disk_stops_and_the_others_continue)
{
  ReplicaGroup group;
  group.startAll();
  TestReplica& failing = group.waitForLeader();
  failing.fileCounters->syncFails = true;
  bool called = false;
  failing.replicator->propose("x", [&](const ProposalResult& /*aResult*/) { called = true; });
  group.waitFor("no failure", [&] { return failing.failure.has_value(); });
  BOOST_TEST((failing.failure->code() == ErrorCode::eIo));
  BOOST_TEST(!failing.replicator->isLeader());
  BOOST_TEST(!failing.replicator->hasLeaderLease());
  const int syncs = failing.fileCounters->syncs;
  group.proposeAndWait(group.waitForLeader(), 3);
  BOOST_TEST(!called);
  BOOST_TEST(failing.fileCounters->syncs == syncs, "the replica wrote after the failure");
}

// Guards against a second group created by a replica that lost its data folder, and against the
// reuse of its old id.
BOOST_AUTO_TEST_CASE(replica_that_lost_its_data_folder_gets_a_new_id_and_does_not_bootstrap_a_group)
{
  ReplicaGroup group;
  group.startAll();
  group.proposeAndWait(group.waitForLeader(), 3);
  const std::string oldId = group.at(0).replicator->replicaId();
  group.stop(0);
  std::filesystem::remove_all(group.folder(0));
  const Result<Done> refused = group.start(0, ReplicaStart::eExisting);
  BOOST_REQUIRE(!isOk(refused));
  BOOST_TEST((errorOf(refused).code() == ErrorCode::eNotFound));
  BOOST_REQUIRE(isOk(group.start(0, ReplicaStart::eBootstrap)));
  BOOST_TEST(group.at(0).replicator->replicaId() != oldId);
  group.waitFor("the restarted replica neither failed nor received commands",
                [&] { return group.at(0).failure.has_value() || !group.at(0).applied.empty(); });
  BOOST_TEST(!group.at(0).replicator->isLeader());
  group.proposeAndWait(group.waitForLeader(), 3);
}

BOOST_AUTO_TEST_CASE(replica_joins_by_snapshot_and_replaces_a_removed_voter)
{
  ReplicaGroup group;
  group.startAll();
  TestReplica& leader = group.waitForLeader();
  group.proposeAndWait(leader, 1200);
  group.proposeAndWait(leader, 40);
  BOOST_REQUIRE(isOk(group.start(3, ReplicaStart::eJoin)));
  const auto change = [&](MembershipOperation aOperation, const TestReplica& aReplica) {
    std::optional<std::string> code;
    leader.replicator->changeMembership(
      aOperation,
      aReplica.replicator->replicaId(),
      aReplica.address,
      [&](const ProposalResult& aResult) { code = resultCode(aResult); });
    group.waitFor("no result of a membership change", [&] { return code.has_value(); });
    return *code;
  };
  BOOST_TEST(change(MembershipOperation::eAdd, group.at(3)) == "done");
  group.waitForEqualStates(1240);
  group.waitFor("the leader does not know that the new replica has caught up", [&] {
    return leader.replicator->replicas().back().matchIndex() == leader.replicator->commitIndex();
  });
  BOOST_TEST(change(MembershipOperation::ePromote, group.at(3)) == "done");
  const int removed = &leader == &group.at(0) ? 1 : 0;
  BOOST_TEST(change(MembershipOperation::eRemove, group.at(removed)) == "done");
  group.stop(removed);
  group.proposeAndWait(leader, 5);
  group.waitForEqualStates(1245);
  BOOST_TEST(leader.replicator->replicas().size() == 3u);
}

// Guards against reporting a definite failure although the next leader may still commit the entry.
BOOST_AUTO_TEST_CASE(former_leader_reports_unknown_outcome_unless_the_entry_was_replaced)
{
  PendingProposals pending;
  std::map<int, std::string> results;
  const auto callbackOf = [&](int aNumber) {
    return [&results, aNumber](const ProposalResult& aResult) {
      results[aNumber] = resultCode(aResult);
    };
  };
  const auto call = [](const std::vector<PendingProposals::CompletedProposal>& aCompleted) {
    for (const auto& completed : aCompleted) {
      completed.callback(completed.result);
    }
  };
  pending.setLeader(true, MonotonicTime());
  for (const int index : { 5, 6, 7, 8 }) {
    pending.add(index, 2, callbackOf(index));
  }
  call(pending.takeExpired(MonotonicTime::fromMs(1000)));
  BOOST_TEST(results.empty());
  pending.setLeader(false, MonotonicTime::fromMs(2000));
  call(pending.takeExpired(MonotonicTime::fromMs(1999)));
  call(pending.onSnapshotInstalled(5));
  call(pending.onEntryApplied(6, 2));
  pending.add(7, 4, callbackOf(70));
  call(pending.onEntryApplied(7, 4));
  call(pending.takeExpired(MonotonicTime::fromMs(2000)));
  const std::map<int, std::string> expected = {
    { 5, "unavailable?" }, { 6, "done" }, { 7, "not-leader" }, { 8, "unavailable?" }, { 70, "done" }
  };
  BOOST_TEST((results == expected));
  BOOST_TEST(pending.size() == 0u);
}
