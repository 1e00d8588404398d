#include "control/Replicator.h"

#include "control/ReplicaDriver.h"

#include <utility>

namespace magnoliadrum {

Result<std::unique_ptr<Replicator>>
Replicator::create(EventLoop& aLoop,
                   ReplicatorSettings aSettings,
                   std::unique_ptr<ReplicaTransport> aTransport,
                   ReplicatorCallbacks aCallbacks,
                   std::unique_ptr<FileOperations> aFiles)
{
  if (!aFiles) {
    aFiles = std::make_unique<PosixFileOperations>();
  }
  auto storage = ReplicaStorage::open(std::move(aFiles), aSettings.dataFolder, aSettings.start);
  if (!isOk(storage)) {
    return errorOf(storage);
  }
  std::unique_ptr<ReplicaDriver> driver =
    std::make_unique<ReplicaDriver>(aLoop,
                                    std::move(aSettings),
                                    std::move(aTransport),
                                    std::move(aCallbacks),
                                    takeValue(std::move(storage)));
  const Result<Done> started = driver->start();
  if (!isOk(started)) {
    return errorOf(started);
  }
  return std::unique_ptr<Replicator>(new Replicator(std::move(driver)));
}

Replicator::Replicator(std::unique_ptr<ReplicaDriver> aDriver)
  : mDriver(std::move(aDriver))
{
}

Replicator::~Replicator() = default;

bool
Replicator::accepts(const Message& aMessage)
{
  return std::holds_alternative<VoteRequest>(aMessage) ||
         std::holds_alternative<VoteReply>(aMessage) ||
         std::holds_alternative<AppendRequest>(aMessage) ||
         std::holds_alternative<AppendReply>(aMessage) ||
         std::holds_alternative<EntryPart>(aMessage) ||
         std::holds_alternative<EntryPartReply>(aMessage) ||
         std::holds_alternative<SnapshotChunk>(aMessage) ||
         std::holds_alternative<SnapshotReply>(aMessage) ||
         std::holds_alternative<TimeoutNow>(aMessage);
}

void
Replicator::receive(const Message& aMessage, std::function<void(const Message&)> aReply)
{
  mDriver->receive(aMessage, std::move(aReply));
}

void
Replicator::propose(std::string aCommand, ProposalCallback aCallback)
{
  mDriver->propose(std::move(aCommand), std::move(aCallback));
}

void
Replicator::changeMembership(MembershipOperation aOperation,
                             const std::string& aReplicaId,
                             const std::string& aAddress,
                             ProposalCallback aCallback)
{
  mDriver->changeMembership(aOperation, aReplicaId, aAddress, std::move(aCallback));
}

void
Replicator::stepDown(std::function<void(const Result<Done>&)> aDone)
{
  mDriver->stepDown(std::move(aDone));
}

bool
Replicator::isLeader() const
{
  return mDriver->isLeader();
}

bool
Replicator::hasLeaderLease() const
{
  return mDriver->hasLeaderLease();
}

MonotonicTime
Replicator::electedAt() const
{
  return mDriver->node().electedAt();
}

std::int64_t
Replicator::term() const
{
  return mDriver->node().term();
}

std::int64_t
Replicator::commitIndex() const
{
  return mDriver->node().commitIndex();
}

std::int64_t
Replicator::appliedIndex() const
{
  return mDriver->appliedIndex();
}

const std::string&
Replicator::replicaId() const
{
  return mDriver->replicaId();
}

std::string
Replicator::leaderId() const
{
  return mDriver->node().leaderId();
}

std::string
Replicator::leaderAddress() const
{
  return mDriver->addressOf(leaderId());
}

std::vector<ReplicaStatus>
Replicator::replicas() const
{
  std::vector<ReplicaStatus> replicas;
  for (const Replica& replica : mDriver->node().configuration().replicas()) {
    replicas.push_back(makeChecked<ReplicaStatus>(
      { .replicaId = replica.replicaId(),
        .address = replica.address(),
        .voter = replica.voter(),
        .matchIndex = mDriver->node().matchIndex(replica.replicaId()),
        .contactAgeMs = mDriver->node().contactAgeMs(replica.replicaId()) }));
  }
  return replicas;
}

} // namespace magnoliadrum
