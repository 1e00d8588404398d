#include "control/GroupFounder.h"

#include <utility>

namespace magnoliadrum {

namespace {
constexpr std::int64_t kFirstTerm = 1;
} // namespace

GroupFounder::GroupFounder(std::string aReplicaId, std::vector<std::string> aAddresses)
  : mReplicaId(std::move(aReplicaId))
  , mAddresses(std::move(aAddresses))
{
  assert(!mAddresses.empty());
  mAnswers[mAddresses.front()] = mReplicaId;
}

VoteRequest
GroupFounder::question() const
{
  return makeChecked<VoteRequest>(
    { .term = kFirstTerm, .candidateId = mReplicaId, .preVote = true });
}

std::vector<std::string>
GroupFounder::unanswered() const
{
  std::vector<std::string> addresses;
  for (const std::string& address : mAddresses) {
    if (mAnswers.count(address) == 0) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

Result<Done>
GroupFounder::onAnswer(const std::string& aAddress, const VoteReply& aAnswer)
{
  if (!aAnswer.preVote()) {
    return Done{};
  }
  if (!aAnswer.granted()) {
    return Error::create(ErrorCode::eConflict,
                         "group.bootstrap",
                         aAddress,
                         "the replica is a member of a group; start with --join and an empty data "
                         "folder instead");
  }
  for (const auto& [address, id] : mAnswers) {
    if (id == aAnswer.voterId() && address != aAddress) {
      return Error::create(ErrorCode::eConflict,
                           "group.bootstrap",
                           aAddress,
                           "the replica also answers at " + address);
    }
  }
  mAnswers[aAddress] = aAnswer.voterId();
  return Done{};
}

std::optional<GroupConfiguration>
GroupFounder::configuration() const
{
  if (!unanswered().empty()) {
    return std::nullopt;
  }
  GroupConfiguration::Fields fields;
  for (const std::string& address : mAddresses) {
    fields.replicas.push_back(
      makeChecked<Replica>({ .replicaId = mAnswers.at(address), .address = address }));
  }
  return makeChecked<GroupConfiguration>(std::move(fields));
}

} // namespace magnoliadrum
