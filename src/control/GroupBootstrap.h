#pragma once

#include "consensus/consensus.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Bootstrap of a new group: collects the ids of all initial replicas and checks that none of them
 * is already a member of a group.
 *
 * Only the initial replica with the lowest address does this. It requests a pre-vote of term 1 from
 * the others. An empty replica grants it; a member of a group refuses it, because its term is
 * higher. A bootstrap replica that lost its data folder therefore cannot create a second group.
 */
class GroupBootstrap
{
public:
  /** aAddresses are the addresses of all initial replicas; the first is that of this replica. */
  GroupBootstrap(std::string aReplicaId, std::vector<std::string> aAddresses);

  /** The request to send to the other initial replicas. */
  VoteRequest preVoteRequest() const;

  /** Addresses from which no pre-vote has been granted yet. */
  std::vector<std::string> addressesWithoutReply() const;

  /**
   * Handles a reply. Error eConflict: the replica is a member of a group, or the same replica has
   * replied from another address.
   */
  Result<Done> onReply(const std::string& aAddress, const VoteReply& aReply);

  /** The members of the new group; empty until all have replied. */
  std::optional<GroupConfiguration> configuration() const;

private:
  std::string mReplicaId;
  std::vector<std::string> mAddresses;
  /** Ids of the replicas that replied and of this one, by address. */
  std::map<std::string, std::string> mReplicaIds;
};

} // namespace magnoliadrum
