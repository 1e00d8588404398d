#include "consensus/GroupMembership.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace magnoliadrum {

namespace {

const char* const kStep = "consensus.membership";

Result<GroupConfiguration>
withReplica(const GroupConfiguration& aConfiguration,
            const std::string& aReplicaId,
            const std::string& aAddress)
{
  for (const Replica& replica : aConfiguration.replicas()) {
    if (replica.replicaId() == aReplicaId || replica.address() == aAddress) {
      return Error::create(ErrorCode::eConflict,
                           kStep,
                           aReplicaId,
                           "replica " + replica.replicaId() + " at " + replica.address() +
                             " is a member");
    }
  }
  Result<Replica> added =
    Replica::create({ .replicaId = aReplicaId, .address = aAddress, .voter = false });
  if (!isOk(added)) {
    return errorOf(added);
  }
  GroupConfiguration::Fields fields = aConfiguration.fields();
  fields.replicas.push_back(takeValue(std::move(added)));
  return GroupConfiguration::create(std::move(fields));
}

} // namespace

std::string
encodeConfiguration(const GroupConfiguration& aConfiguration)
{
  std::string bytes;
  nlohmann::json::to_cbor(aConfiguration.toJson(), bytes);
  return bytes;
}

Result<GroupConfiguration>
decodeConfiguration(std::string_view aBytes, const std::string& aPeer)
{
  const nlohmann::json json = nlohmann::json::from_cbor(aBytes, true, false);
  if (json.is_discarded()) {
    return Error::create(ErrorCode::eCorrupt, kStep, aPeer, "configuration entry is not CBOR");
  }
  return GroupConfiguration::fromJson(json, kStep, aPeer);
}

const Replica*
findReplica(const GroupConfiguration& aConfiguration, const std::string& aReplicaId)
{
  for (const Replica& replica : aConfiguration.replicas()) {
    if (replica.replicaId() == aReplicaId) {
      return &replica;
    }
  }
  return nullptr;
}

bool
isVoter(const GroupConfiguration& aConfiguration, const std::string& aReplicaId)
{
  const Replica* replica = findReplica(aConfiguration, aReplicaId);
  return replica != nullptr && replica->voter();
}

std::size_t
quorumSize(const GroupConfiguration& aConfiguration)
{
  const auto& replicas = aConfiguration.replicas();
  const auto voters = std::count_if(
    replicas.begin(), replicas.end(), [](const Replica& aReplica) { return aReplica.voter(); });
  return static_cast<std::size_t>(voters) / 2 + 1;
}

Result<GroupConfiguration>
changedConfiguration(const GroupConfiguration& aConfiguration,
                     MembershipOperation aOperation,
                     const std::string& aReplicaId,
                     const std::string& aAddress)
{
  if (aOperation == MembershipOperation::eAdd) {
    return withReplica(aConfiguration, aReplicaId, aAddress);
  }
  if (findReplica(aConfiguration, aReplicaId) == nullptr) {
    return Error::create(ErrorCode::eNotFound, kStep, aReplicaId, "the replica is not a member");
  }
  GroupConfiguration::Fields fields;
  bool voterLeft = false;
  for (const Replica& replica : aConfiguration.replicas()) {
    const bool changes = replica.replicaId() == aReplicaId;
    if (changes && aOperation == MembershipOperation::eRemove) {
      continue;
    }
    Replica::Fields member = replica.fields();
    member.voter = member.voter || changes;
    voterLeft = voterLeft || member.voter;
    fields.replicas.push_back(takeValue(Replica::create(std::move(member))));
  }
  if (!voterLeft) {
    return Error::create(ErrorCode::eRefused, kStep, aReplicaId, "no voter would be left");
  }
  return GroupConfiguration::create(std::move(fields));
}

} // namespace magnoliadrum
