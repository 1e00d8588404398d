#pragma once

#include "consensus/consensus.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * The first start of a group: learns the ids of all initial replicas and checks that none of them
 * belongs to a group already.
 *
 * Only the replica with the lowest address does this. It asks the others for a pre-vote of
 * term 1, which an empty replica grants and a member of a group refuses, since its term is higher.
 * So a founder that lost its data folder cannot create a second group beside the first.
 */
class GroupBootstrap
{
public:
  GroupBootstrap(std::string aReplicaId, std::vector<std::string> aAddresses);

  /** The question for a replica. */
  VoteRequest preVoteRequest() const;

  /** Addresses that have not answered. */
  std::vector<std::string> addressesWithoutReply() const;

  /** Takes an answer. Error eConflict: the replica is a member of a group, or answers twice. */
  Result<Done> onReply(const std::string& aAddress, const VoteReply& aReply);

  /** The members of the new group, once all have answered. */
  std::optional<GroupConfiguration> configuration() const;

private:
  std::string mReplicaId;
  std::vector<std::string> mAddresses;
  /** Replica id by address. */
  std::map<std::string, std::string> mReplicaIds;
};

} // namespace magnoliadrum
