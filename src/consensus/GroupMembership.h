#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <string>
#include <string_view>
#include <vector>

namespace magnoliadrum {

/** Encodes the data of a configuration entry. */
std::string
encodeConfiguration(const GroupConfiguration& aConfiguration);

/** Decodes what encodeConfiguration() wrote; eCorrupt or eInvalid otherwise. */
Result<GroupConfiguration>
decodeConfiguration(std::string_view aBytes, const std::string& aPeer);

/** Returns the member, or null. */
const Replica*
findReplica(const GroupConfiguration& aConfiguration, const std::string& aReplicaId);

bool
isVoter(const GroupConfiguration& aConfiguration, const std::string& aReplicaId);

/** Voters that make a majority; 1 when there are no voters, so that no empty set is one. */
std::size_t
quorumSize(const GroupConfiguration& aConfiguration);

/**
 * Returns the configuration after one change. Errors: eConflict (add: the id or address is taken),
 * eNotFound (promote or remove: no such replica), eRefused (no voter would be left), eInvalid.
 */
Result<GroupConfiguration>
changedConfiguration(const GroupConfiguration& aConfiguration,
                     MembershipOperation aOperation,
                     const std::string& aReplicaId,
                     const std::string& aAddress);

} // namespace magnoliadrum
