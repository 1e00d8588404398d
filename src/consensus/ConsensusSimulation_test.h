#pragma once

#include "consensus/consensus.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <queue>
#include <set>

namespace magnoliadrum {

inline constexpr std::int64_t kElectionTimeoutMs = 100;
inline constexpr std::int64_t kTickMs = 5;
inline constexpr std::int64_t kSnapshotEvery = 25;
inline constexpr int kMostReplicas = 14;

/** Settings with small limits, so that every limit is reached. */
ConsensusSettings
testSettings(const std::string& aId);

GroupConfiguration
votersNamed(const std::vector<std::string>& aIds);

/** The first entry of a new group. */
LogEntry
configurationEntry(const GroupConfiguration& aConfiguration);

/** The digest of the state as snapshot data, long enough for several chunks. */
std::string
snapshotData(std::size_t aDigest);

/** One replica with its disk. Only what persist() copied to mDisk survives a crash. */
struct SimulatedReplica
{
  std::string id;
  double clockRate = 1;
  std::int64_t clockOffset = 0;
  ConsensusStart disk;
  std::unique_ptr<ConsensusNode> node;
  /** Until then the replica neither reads messages nor checks its timeouts; its clock goes on. */
  std::int64_t standsStillUntil = 0;
  std::int64_t applied = 0;
  std::size_t digest = 0;
};

/** A group of replicas with a simulated network, in simulated time. Checks the invariants. */
class Simulation
{
public:
  Simulation(std::uint64_t aSeed, int aReplicas)
    : mRandom(aSeed)
  {
    std::vector<std::string> ids;
    for (int number = 0; number < aReplicas; number++) {
      ids.push_back("r" + std::to_string(number));
    }
    for (const std::string& id : ids) {
      addReplica(id).disk.entries = { configurationEntry(votersNamed(ids)) };
      start(mReplicas.at(id));
    }
  }

  void run(std::int64_t aMs, bool aFaults)
  {
    const std::int64_t end = mNow + aMs;
    while (mNow < end) {
      mNow++;
      if (aFaults && chance(0.01)) {
        injectFault();
      }
      if (aFaults && chance(0.008)) {
        stopOneReplica();
      }
      if (chance(0.15)) {
        propose();
      }
      deliver();
      for (auto& [id, replica] : mReplicas) {
        if (replica.node && !standsStill(replica) && mNow % kTickMs == 0) {
          replica.node->tick(clockOf(replica));
          process(replica, aFaults);
        }
      }
      checkLeases();
      if (mNow % 50 == 0) {
        checkLogMatching();
      }
    }
  }

  /** Ends all faults and expects that the members agree on everything committed. */
  void expectConvergence()
  {
    heal();
    for (auto& [id, replica] : mReplicas) {
      if (!replica.node) {
        start(replica);
      }
    }
    const std::int64_t before = mLastCommitted;
    run(3000, false);
    BOOST_TEST(mLastCommitted > before + 10, "no progress after the faults ended");
    mLossShare = 0;
    run(500, false);
    const SimulatedReplica* leader = findLeader();
    BOOST_REQUIRE(leader != nullptr);
    for (const Replica& member : leader->node->configuration().replicas()) {
      const SimulatedReplica& replica = mReplicas.at(member.replicaId());
      BOOST_TEST(replica.applied + 50 >= mLastCommitted, member.replicaId() << " is behind");
    }
  }

  std::int64_t committed() const { return mLastCommitted; }
  std::int64_t installedSnapshots() const { return mInstalledSnapshots; }
  std::int64_t crashes() const { return mCrashes; }
  std::size_t elections() const { return mLeaderOfTerm.size(); }
  std::int64_t membershipChanges() const { return mMembershipChanges; }

private:
  struct Commit
  {
    std::int64_t entryTerm;
    /** The term of the leader that committed the entry. */
    std::int64_t leaderTerm;
  };

  struct Delivery
  {
    std::int64_t at;
    std::uint64_t order;
    std::string from;
    std::string to;
    ConsensusMessage message;

    bool operator<(const Delivery& aOther) const
    {
      return std::tie(aOther.at, aOther.order) < std::tie(at, order);
    }
  };

  bool chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
  }

  std::int64_t between(std::int64_t aFrom, std::int64_t aTo)
  {
    return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(mRandom);
  }

  SimulatedReplica& addReplica(const std::string& aId)
  {
    SimulatedReplica& replica = mReplicas[aId];
    replica.id = aId;
    // The rates of any two clocks differ by at most 1%.
    replica.clockRate = 1 + static_cast<double>(between(-50, 50)) / 10000;
    replica.clockOffset = between(0, 1000000);
    return replica;
  }

  bool standsStill(const SimulatedReplica& aReplica) const
  {
    return mNow < aReplica.standsStillUntil;
  }

  MonotonicTime clockOf(const SimulatedReplica& aReplica) const
  {
    const double reading = static_cast<double>(mNow) * aReplica.clockRate;
    return MonotonicTime::fromMs(static_cast<std::int64_t>(reading) + aReplica.clockOffset);
  }

  void start(SimulatedReplica& aReplica)
  {
    ConsensusSettings settings = testSettings(aReplica.id);
    settings.maxMessageBytes = 64;
    settings.maxUnansweredBytes = 160;
    aReplica.node = std::make_unique<ConsensusNode>(
      std::move(settings), aReplica.disk, std::mt19937_64(mRandom()), clockOf(aReplica));
    aReplica.applied = 0;
    aReplica.digest = 0;
    if (aReplica.disk.snapshot) {
      install(aReplica, *aReplica.disk.snapshot);
    }
  }

  void crash(SimulatedReplica& aReplica)
  {
    mCrashes++;
    aReplica.node.reset();
    aReplica.standsStillUntil = 0;
  }

  void send(const std::string& aFrom, const std::vector<OutgoingMessage>& aMessages)
  {
    for (const OutgoingMessage& message : aMessages) {
      const int copies = chance(mLossShare) ? 0 : (chance(0.05) ? 2 : 1);
      for (int copy = 0; copy < copies; copy++) {
        // Some messages are older than an election when they arrive.
        const std::int64_t delay = chance(0.02) ? between(20, 400) : between(1, mMostDelayMs);
        mNetwork.push({ mNow + delay, mOrder++, aFrom, message.receiverId, message.message });
      }
    }
  }

  void deliver()
  {
    while (!mNetwork.empty() && mNetwork.top().at <= mNow) {
      const Delivery delivery = mNetwork.top();
      mNetwork.pop();
      const auto receiver = mReplicas.find(delivery.to);
      const bool blocked = mBlocked.count({ delivery.from, delivery.to }) > 0;
      if (blocked || receiver == mReplicas.end() || !receiver->second.node) {
        continue;
      }
      if (standsStill(receiver->second)) {
        mNetwork.push({ receiver->second.standsStillUntil,
                        mOrder++,
                        delivery.from,
                        delivery.to,
                        delivery.message });
        continue;
      }
      receiver->second.node->receive(delivery.message, clockOf(receiver->second));
      process(receiver->second, mCrashShare > 0);
    }
  }

  void process(SimulatedReplica& aReplica, bool aMayCrash)
  {
    checkElection(aReplica);
    recordCommits(aReplica);
    for (int round = 0; round < 3; round++) {
      ConsensusOutput output = aReplica.node->takeOutput(clockOf(aReplica));
      send(aReplica.id, output.earlyMessages);
      if (aMayCrash && chance(mCrashShare)) {
        // A crash during the sync: a part of what was to be stored may be on the disk.
        output.entries.resize(
          static_cast<std::size_t>(between(0, static_cast<std::int64_t>(output.entries.size()))));
        if (chance(0.5)) {
          persist(aReplica, output);
        }
        crash(aReplica);
        return;
      }
      persist(aReplica, output);
      send(aReplica.id, output.messages);
      if (output.snapshot) {
        mInstalledSnapshots++;
        install(aReplica, *output.snapshot);
      }
      for (const LogEntry& entry : output.committed) {
        apply(aReplica, entry);
      }
      if (!output.entries.empty()) {
        aReplica.node->onStored(output.entries.back().index(), output.entries.back().term());
      }
      recordCommits(aReplica);
      takeSnapshot(aReplica);
    }
  }

  /**
   * Records in which term each entry was committed; its leader knows that first. Guards against a
   * leader that commits an entry after one of a later term has.
   */
  void recordCommits(const SimulatedReplica& aReplica)
  {
    const ReplicatedLog& log = aReplica.node->log();
    for (std::int64_t index = std::max(std::ssize(mCommits), log.baseIndex()) + 1;
         index <= aReplica.node->commitIndex();
         index++) {
      BOOST_REQUIRE(index == std::ssize(mCommits) + 1);
      BOOST_REQUIRE(mCommits.empty() || mCommits.back().leaderTerm <= aReplica.node->term());
      mCommits.push_back({ log.at(index).term(), aReplica.node->term() });
    }
  }

  static void persist(SimulatedReplica& aReplica, const ConsensusOutput& aOutput)
  {
    ConsensusStart& disk = aReplica.disk;
    disk.hardState = aOutput.hardState.value_or(disk.hardState);
    if (aOutput.snapshot) {
      disk.snapshot = aOutput.snapshot;
      disk.entries.clear();
    }
    for (const LogEntry& entry : aOutput.entries) {
      std::erase_if(disk.entries,
                    [&](const LogEntry& aOld) { return aOld.index() >= entry.index(); });
      disk.entries.push_back(entry);
    }
  }

  void takeSnapshot(SimulatedReplica& aReplica)
  {
    if (aReplica.applied - aReplica.node->snapshotIndex() < kSnapshotEvery) {
      return;
    }
    aReplica.disk.snapshot = std::make_shared<const ConsensusSnapshot>(
      aReplica.node->describeSnapshot(aReplica.applied, snapshotData(aReplica.digest)));
    aReplica.node->compact(aReplica.disk.snapshot);
    std::erase_if(aReplica.disk.entries,
                  [&](const LogEntry& aOld) { return aOld.index() <= aReplica.applied; });
  }

  /** Guards against replicas that apply different entries, and against a committed entry that is
   * lost. */
  void apply(SimulatedReplica& aReplica, const LogEntry& aEntry)
  {
    BOOST_REQUIRE(aEntry.index() == aReplica.applied + 1);
    const auto [position, isNew] = mCommitted.emplace(aEntry.index(), aEntry);
    BOOST_REQUIRE_MESSAGE(position->second == aEntry, "index " << aEntry.index() << " differs");
    aReplica.applied = aEntry.index();
    boost::hash_combine(aReplica.digest, aEntry.data());
    if (isNew) {
      mDigests[aEntry.index()] = aReplica.digest;
      mLastCommitted = std::max(mLastCommitted, aEntry.index());
    }
    BOOST_REQUIRE(mDigests.at(aEntry.index()) == aReplica.digest);
  }

  void install(SimulatedReplica& aReplica, const ConsensusSnapshot& aSnapshot)
  {
    aReplica.digest = mDigests.at(aSnapshot.lastIndex);
    aReplica.applied = aSnapshot.lastIndex;
    BOOST_REQUIRE(aSnapshot.data == snapshotData(aReplica.digest));
    BOOST_REQUIRE(mCommitted.at(aSnapshot.lastIndex).term() == aSnapshot.lastTerm);
  }

  SimulatedReplica* findLeader()
  {
    SimulatedReplica* leader = nullptr;
    for (auto& [id, replica] : mReplicas) {
      const bool leads = replica.node && replica.node->role() == ConsensusRole::eLeader;
      if (leads && (leader == nullptr || leader->node->term() < replica.node->term())) {
        leader = &replica;
      }
    }
    return leader;
  }

  void propose()
  {
    for (auto& [id, replica] : mReplicas) {
      if (replica.node && !standsStill(replica) && replica.node->role() == ConsensusRole::eLeader) {
        // Some entries need several parts.
        const std::size_t padding = chance(0.03) ? 100 : 0;
        replica.node->propose("command " + std::to_string(mOrder++) + std::string(padding, ' '));
        process(replica, mCrashShare > 0);
      }
    }
  }

  void changeMembership()
  {
    SimulatedReplica* leader = findLeader();
    if (leader == nullptr || standsStill(*leader)) {
      return;
    }
    const auto members = leader->node->configuration().replicas();
    const auto& chosen = members[static_cast<std::size_t>(between(0, std::ssize(members) - 1))];
    MembershipOperation operation = MembershipOperation::eRemove;
    std::string id = chosen.replicaId();
    if (!chosen.voter()) {
      operation = MembershipOperation::ePromote;
    } else if (members.size() < 5 && std::ssize(mReplicas) < kMostReplicas) {
      operation = MembershipOperation::eAdd;
      id = "r" + std::to_string(mReplicas.size());
      start(addReplica(id));
    } else if (members.size() <= 3) {
      return;
    }
    const auto index = leader->node->changeMembership(operation, id, id, clockOf(*leader));
    mMembershipChanges += isOk(index) ? 1 : 0;
    process(*leader, false);
  }

  void heal()
  {
    mBlocked.clear();
    mCrashShare = 0;
    mMostDelayMs = 12;
    for (auto& [id, replica] : mReplicas) {
      replica.standsStillUntil = 0;
    }
  }

  void cutOff(const SimulatedReplica& aReplica)
  {
    const std::int64_t direction = between(0, 2);
    for (const auto& [id, replica] : mReplicas) {
      if (direction != 0) {
        mBlocked.insert({ aReplica.id, id });
      }
      if (direction != 1) {
        mBlocked.insert({ id, aReplica.id });
      }
    }
  }

  /** Lets a replica stand still for a time, as a long callback or a slow disk does. */
  void stopOneReplica()
  {
    SimulatedReplica& chosen = chooseReplica();
    SimulatedReplica& stopped = chance(0.5) && findLeader() != nullptr ? *findLeader() : chosen;
    stopped.standsStillUntil = mNow + between(1, 3 * kElectionTimeoutMs);
  }

  SimulatedReplica& chooseReplica()
  {
    auto position = mReplicas.begin();
    std::advance(position, between(0, std::ssize(mReplicas) - 1));
    return position->second;
  }

  void injectFault()
  {
    SimulatedReplica& chosen = chooseReplica();
    switch (between(0, 15)) {
      case 0:
      case 1:
        heal();
        break;
      case 2: // Cuts one replica off, in one or both directions.
      case 3:
      case 4:
        cutOff(chance(0.5) && findLeader() != nullptr ? *findLeader() : chosen);
        break;
      case 5: // Blocks one direction between random pairs.
        for (const auto& [from, sender] : mReplicas) {
          for (const auto& [to, receiver] : mReplicas) {
            if (chance(0.25)) {
              mBlocked.insert({ from, to });
            }
          }
        }
        break;
      case 6:
        if (chosen.node) {
          crash(chosen);
        }
        break;
      case 7: // Restarts some replicas at once, so that they may break a promise they have just
              // made.
      case 8:
        for (auto& [id, replica] : mReplicas) {
          if (replica.node && chance(0.3)) {
            crash(replica);
            start(replica);
          }
        }
        break;
      case 9:
        mCrashShare = 0.002;
        break;
      case 10: // A slow network, in which answers are as old as an election timeout.
        mMostDelayMs = chance(0.5) ? 60 : 4;
        break;
      case 11:
        if (SimulatedReplica* leader = findLeader(); leader != nullptr && !standsStill(*leader)) {
          leader->node->transferLeadership(clockOf(*leader));
          process(*leader, false);
        }
        break;
      default:
        changeMembership();
    }
    for (auto& [id, replica] : mReplicas) {
      if (!replica.node && chance(0.6)) {
        start(replica);
      }
    }
  }

  /** Guards against two leaders in one term, and a leader that lacks a committed entry. */
  void checkElection(const SimulatedReplica& aReplica)
  {
    if (aReplica.node->role() != ConsensusRole::eLeader) {
      return;
    }
    const auto [position, isNew] = mLeaderOfTerm.emplace(aReplica.node->term(), aReplica.id);
    BOOST_REQUIRE_MESSAGE(position->second == aReplica.id,
                          "two leaders in term " << aReplica.node->term());
    if (!isNew) {
      return;
    }
    const ReplicatedLog& log = aReplica.node->log();
    for (std::int64_t index = log.baseIndex() + 1; index <= std::ssize(mCommits); index++) {
      const Commit& commit = mCommits[static_cast<std::size_t>(index - 1)];
      // A candidate that stood still reads its votes late: meanwhile the leader of a later term may
      // have committed entries, also of earlier terms, that its voters lacked. It can't commit, as
      // its voters are in the later term.
      BOOST_REQUIRE_MESSAGE(log.termAt(index) == commit.entryTerm ||
                              commit.leaderTerm >= aReplica.node->term(),
                            "new leader lacks committed entry " << index);
    }
  }

  /** Guards against two replicas that act as the leader at the same time. */
  void checkLeases()
  {
    std::string holder;
    for (const auto& [id, replica] : mReplicas) {
      if (replica.node && replica.node->hasLeaderLease(clockOf(replica))) {
        BOOST_REQUIRE_MESSAGE(holder.empty(), holder << " and " << id << " hold a lease");
        holder = id;
      }
    }
  }

  /** Guards against logs that agree on an entry but not on those before it. */
  void checkLogMatching()
  {
    std::map<std::pair<std::int64_t, std::int64_t>, std::pair<std::int64_t, LogEntry>> known;
    for (const auto& [id, replica] : mReplicas) {
      if (!replica.node) {
        continue;
      }
      const ReplicatedLog& log = replica.node->log();
      for (std::int64_t index = log.baseIndex() + 1; index <= log.lastIndex(); index++) {
        const LogEntry& entry = log.at(index);
        const std::int64_t termBefore = log.termAt(index - 1).value_or(0);
        const auto [position, isNew] =
          known.emplace(std::pair(index, entry.term()), std::pair(termBefore, entry));
        BOOST_REQUIRE(position->second.first == termBefore);
        BOOST_REQUIRE(position->second.second == entry);
      }
    }
  }

  std::mt19937_64 mRandom;
  std::int64_t mNow = 1;
  std::uint64_t mOrder = 0;
  double mLossShare = 0.05;
  double mCrashShare = 0;
  std::int64_t mMostDelayMs = 12;
  std::map<std::string, SimulatedReplica> mReplicas;
  std::priority_queue<Delivery> mNetwork;
  std::set<std::pair<std::string, std::string>> mBlocked;
  std::map<std::int64_t, LogEntry> mCommitted;
  /** Of all committed entries, from index 1 on. */
  std::vector<Commit> mCommits;
  std::map<std::int64_t, std::size_t> mDigests;
  std::map<std::int64_t, std::string> mLeaderOfTerm;
  std::int64_t mLastCommitted = 0;
  std::int64_t mInstalledSnapshots = 0;
  std::int64_t mCrashes = 0;
  std::int64_t mMembershipChanges = 0;
};

} // namespace magnoliadrum
