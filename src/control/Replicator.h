#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "storage/FileOperations.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnoliadrum {

class EventLoop;

class ReplicaDriver;

/** Sends messages to the other replicas. Messages may be lost, and are dropped while unconnected.
 */
class ReplicaTransport
{
public:
  /** Called with the address a message was sent to and an answer that came back from there. */
  using ReplyHandler = std::function<void(const std::string& aAddress, const Message& aReply)>;

  virtual ~ReplicaTransport() = default;

  virtual void setReplyHandler(ReplyHandler aHandler) = 0;

  /** Queues a message for the replica at aAddress (IP:port). */
  virtual void send(const std::string& aAddress, const Message& aMessage) = 0;

  /** Closes the connections to all addresses that are not listed. */
  virtual void closeConnectionsExcept(const std::vector<std::string>& aAddresses) = 0;
};

/** How a replica with an empty data folder starts. */
enum class ReplicaStart
{
  eExisting,  /**< The data folder must hold an identity. */
  eBootstrap, /**< First start of a new group; needs initialReplicas. */
  eJoin       /**< Waits until the leader of a group adds this replica. */
};

struct ReplicatorSettings
{
  std::string dataFolder;
  /** IP:port under which the other replicas reach this one. */
  std::string address;
  ReplicaStart start = ReplicaStart::eExisting;
  /** IP:port of all replicas of a new group. The lowest one creates the group's configuration. */
  std::vector<std::string> initialReplicas;
  std::int64_t electionTimeoutMs = 1000;
  std::int64_t heartbeatMs = 100;
  std::int64_t snapshotEveryEntries = 20000;
};

/** Why a proposal failed. */
struct ProposalFailure
{
  Error error;
  /** False: the proposal never takes effect. True: it may have taken effect, now or later. */
  bool outcomeUnknown = false;
};

/** The log index at which a proposal was committed and applied, or why it failed. */
using ProposalResult = std::variant<std::int64_t, ProposalFailure>;
using ProposalCallback = std::function<void(const ProposalResult&)>;

/** What the replicated state machine and the process provide. All calls come from the loop thread.
 */
struct ReplicatorCallbacks
{
  /**
   * Applies a committed command, on every replica, in log order. The callback of the proposal, if
   * it was made here, runs directly after it and before the next apply.
   */
  std::function<void(std::int64_t aIndex, std::string_view aCommand)> apply;
  /** Encodes the state after the last applied command. */
  std::function<std::string()> encodeSnapshot;
  /** Replaces the state by a decoded snapshot. */
  std::function<Result<Done>(std::string_view aSnapshot)> restoreSnapshot;
  /**
   * The replica became the leader and has applied all commands of its predecessors (true), or is no
   * longer the leader (false).
   */
  std::function<void(bool aLeads)> leadershipChanged;
  /** Storage failed or is corrupt: the process must stop at once. Nothing is sent after this call.
   */
  std::function<void(const Error&)> failed;
};

/**
 * The replicated log of one control replica: joins ConsensusNode, LogStore and SnapshotStore with
 * the event loop and the transport.
 *
 * All proposals and messages of one loop iteration share one sync. No callback may destroy this
 * object.
 */
class Replicator
{
public:
  /**
   * Loads the data folder and applies the stored snapshot. aFiles is for tests; null stands for the
   * operating system's files. Errors: eNotFound (no identity and eExisting), eConflict (another
   * process uses the folder), eInvalid (initialReplicas), eCorrupt, eIo.
   */
  static Result<std::unique_ptr<Replicator>> create(
    EventLoop& aLoop,
    ReplicatorSettings aSettings,
    std::unique_ptr<ReplicaTransport> aTransport,
    ReplicatorCallbacks aCallbacks,
    std::unique_ptr<FileOperations> aFiles = nullptr);

  Replicator(const Replicator&) = delete;
  Replicator& operator=(const Replicator&) = delete;
  ~Replicator();

  /** Whether a message belongs to the replicated log, so that receive() takes it. */
  static bool accepts(const Message& aMessage);

  /**
   * Takes a message that another replica sent to this process's server. aReply sends an answer on
   * the same connection and must stay callable after the connection is closed.
   */
  void receive(const Message& aMessage, std::function<void(const Message&)> aReply);

  /** Proposes a command (an encoded Command). The callback is called exactly once, or never after
   * this object is destroyed. It is never called from within propose(). */
  void propose(std::string aCommand, ProposalCallback aCallback);

  /** Adds a non-voter, promotes a non-voter that has caught up, or removes a replica. */
  void changeMembership(MembershipOperation aOperation,
                        const std::string& aReplicaId,
                        const std::string& aAddress,
                        ProposalCallback aCallback);

  /**
   * Hands the leadership to the follower that is most up to date and refuses further proposals.
   * aDone is called when another replica leads, with an error when that took longer than two
   * election timeouts; at once when this replica is not the leader.
   */
  void stepDown(std::function<void(const Result<Done>&)> aDone);

  /** Whether this replica leads and has applied all commands of its predecessors. */
  bool isLeader() const;

  /** Whether a majority replied to requests sent within the last election timeout. */
  bool hasLeaderLease() const;

  /** When this replica last won an election. */
  MonotonicTime electedAt() const;

  std::int64_t term() const;
  std::int64_t commitIndex() const;
  std::int64_t appliedIndex() const;
  const std::string& replicaId() const;

  /** Id of the leader; empty when unknown. */
  std::string leaderId() const;

  /** IP:port of the leader; empty when unknown. */
  std::string leaderAddress() const;

  /** The members. matchIndex is known only on the leader and 0 elsewhere. */
  std::vector<ReplicaStatus> replicas() const;

private:
  explicit Replicator(std::unique_ptr<ReplicaDriver> aDriver);

  std::unique_ptr<ReplicaDriver> mDriver;
};

} // namespace magnoliadrum
