#include "control/GroupBootstrap.h"

#include <utility>

namespace magnoliadrum {

namespace {
constexpr std::int64_t kFirstTerm = 1;
} // namespace

GroupBootstrap::GroupBootstrap(std::string aReplicaId, std::vector<std::string> aAddresses)
  : mReplicaId(std::move(aReplicaId))
  , mAddresses(std::move(aAddresses))
{
  assert(!mAddresses.empty());
  mReplicaIds[mAddresses.front()] = mReplicaId;
}

VoteRequest
GroupBootstrap::preVoteRequest() const
{
  return makeChecked<VoteRequest>(
    { .term = kFirstTerm, .candidateId = mReplicaId, .preVote = true });
}

std::vector<std::string>
GroupBootstrap::addressesWithoutReply() const
{
  std::vector<std::string> addresses;
  for (const std::string& address : mAddresses) {
    if (mReplicaIds.count(address) == 0) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

Result<Done>
GroupBootstrap::onReply(const std::string& aAddress, const VoteReply& aReply)
{
  if (!aReply.preVote()) {
    return Done{};
  }
  if (!aReply.granted()) {
    return Error::create(ErrorCode::eConflict,
                         "group.bootstrap",
                         aAddress,
                         "the replica is a member of a group; start with --join and an empty data "
                         "folder instead");
  }
  for (const auto& [address, id] : mReplicaIds) {
    if (id == aReply.voterId() && address != aAddress) {
      return Error::create(ErrorCode::eConflict,
                           "group.bootstrap",
                           aAddress,
                           "the same replica also replied from " + address);
    }
  }
  mReplicaIds[aAddress] = aReply.voterId();
  return Done{};
}

std::optional<GroupConfiguration>
GroupBootstrap::configuration() const
{
  if (!addressesWithoutReply().empty()) {
    return std::nullopt;
  }
  GroupConfiguration::Fields fields;
  for (const std::string& address : mAddresses) {
    fields.replicas.push_back(
      makeChecked<Replica>({ .replicaId = mReplicaIds.at(address), .address = address }));
  }
  return makeChecked<GroupConfiguration>(std::move(fields));
}

} // namespace magnoliadrum
