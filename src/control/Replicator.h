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

/**
 * Sends messages to the other replicas. Messages may be lost; an implementation may drop messages
 * to a replica to which it has no connection.
 */
class ReplicaTransport
{
public:
  /** Receives the replies to sent messages, with the address of the replica that replied. */
  using ReplyHandler = std::function<void(const std::string& aAddress, const Message& aReply)>;

  virtual ~ReplicaTransport() = default;

  virtual void setReplyHandler(ReplyHandler aHandler) = 0;

  /** Queues a message for the replica at aAddress (IP:port). */
  virtual void send(const std::string& aAddress, const Message& aMessage) = 0;

  virtual void closeConnectionsExcept(const std::vector<std::string>& aAddresses) = 0;
};

/** How a replica starts when its data folder is empty. */
enum class ReplicaStart
{
  eExisting,  /**< Fails: the data folder must contain an identity. */
  eBootstrap, /**< Creates a new group together with the others in initialReplicas. */
  eJoin       /**< Waits until the leader of an existing group adds this replica. */
};

struct ReplicatorSettings
{
  std::string dataFolder;
  /** IP:port at which the other replicas reach this one. */
  std::string address;
  ReplicaStart start = ReplicaStart::eExisting;
  /**
   * IP:port of all replicas of a new group. The replica with the lowest address creates the group's
   * configuration.
   */
  std::vector<std::string> initialReplicas;
  std::int64_t electionTimeoutMs = 1000;
  std::int64_t heartbeatMs = 100;
  std::int64_t snapshotEveryEntries = 20000;
  /** A snapshot is also taken after this many bytes of commands, because the commands since the
   * last snapshot are all held in memory, and those since the one before on the disk. */
  std::int64_t snapshotEveryBytes = std::int64_t{ 24 } << 20U;
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

/**
 * Callbacks to the replicated state machine and the process. All of them are called on the event
 * loop's thread.
 */
struct ReplicatorCallbacks
{
  /**
   * Applies a committed command; called on every replica, in log order. If the command was proposed
   * on this replica, the callback of the proposal runs directly afterwards, before the next apply.
   */
  std::function<void(std::int64_t aIndex, std::string_view aCommand)> apply;
  /** Encodes the state as of the last applied command. */
  std::function<std::string()> encodeSnapshot;
  /** Decodes a snapshot and replaces the state by it. */
  std::function<Result<Done>(std::string_view aSnapshot)> restoreSnapshot;
  /**
   * Called with true when the replica has become the leader and has applied all commands of earlier
   * leaders, and with false when it is no longer the leader.
   */
  std::function<void(bool aIsLeader)> leadershipChanged;
  /**
   * The replica cannot continue, for example because storage failed or is corrupt, and the process
   * must terminate immediately. Nothing is sent after this call.
   */
  std::function<void(const Error&)> failed;
};

/**
 * The replicated log of one control replica. Connects ConsensusNode, LogStore and SnapshotStore to
 * the event loop and the transport.
 *
 * All proposals and messages of one loop iteration are stored with a single sync. No callback may
 * destroy this object.
 */
class Replicator
{
public:
  /**
   * Opens the data folder and restores the stored snapshot. aFiles is for tests; null selects the
   * operating system's files. Errors: eNotFound (the start is eExisting and there is no identity),
   * eConflict (another process uses the folder), eInvalid (the own address is not in
   * initialReplicas), eCorrupt, eIo.
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

  /** Whether a message belongs to the replication protocol and must be passed to receive(). */
  static bool accepts(const Message& aMessage);

  /**
   * Handles a message that another replica sent to this process's server. aReply sends a reply on
   * the same connection and must remain callable after the connection is closed.
   */
  void receive(const Message& aMessage, std::function<void(const Message&)> aReply);

  /**
   * Proposes an encoded Command. The callback is called exactly once, but not after this object was
   * destroyed, and never from within propose().
   */
  void propose(std::string aCommand, ProposalCallback aCallback);

  /** Adds a non-voter, promotes a non-voter that has caught up, or removes a replica. */
  void changeMembership(MembershipOperation aOperation,
                        const std::string& aReplicaId,
                        const std::string& aAddress,
                        ProposalCallback aCallback);

  /**
   * Transfers the leadership to the most up-to-date follower and refuses further proposals. aDone
   * is called when another replica leads, with an error when that takes longer than two election
   * timeouts, and without delay when this replica is not the leader.
   */
  void stepDown(std::function<void(const Result<Done>&)> aDone);

  /** Whether this replica is the leader and has applied all commands of earlier leaders. */
  bool isLeader() const;

  /** Whether a majority has replied to requests sent within the last election timeout. */
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

  /** Status of all members. Only the leader knows matchIndex; on other replicas it is 0. */
  std::vector<ReplicaStatus> replicas() const;

private:
  explicit Replicator(std::unique_ptr<ReplicaDriver> aDriver);

  std::unique_ptr<ReplicaDriver> mDriver;
};

} // namespace magnoliadrum
