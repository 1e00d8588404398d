#pragma once

#include "core/core.h"
#include "generated/SettingsTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Reads a settings file of type ControlSettings, GatewaySettings, AgentSettings or RelaySettings.
 *
 * The error lists every fault with its path: malformed JSON, unknown or missing fields, values out
 * of bounds and values that do not fit together, such as a heartbeat period that is too long for
 * the lease.
 */
template<typename Settings>
Result<Settings>
readSettings(const std::string& aFileName);

/** Replaces the port of each address (IP:port). */
std::vector<std::string>
withPort(const std::vector<std::string>& aAddresses, std::int64_t aPort);

/** IP:port of the control replicas that settings with controlAddresses or controlSeeds name. */
template<typename Settings>
std::vector<std::string>
controlAddresses(const Settings& aSettings)
{
  return aSettings.controlSeeds().empty()
           ? aSettings.controlAddresses()
           : withPort(aSettings.controlSeeds(), aSettings.controlPort());
}

inline std::vector<std::string>
controlAddresses(const AgentSettings& aSettings)
{
  return aSettings.controlAddresses();
}

extern template Result<ControlSettings>
readSettings(const std::string& aFileName);
extern template Result<GatewaySettings>
readSettings(const std::string& aFileName);
extern template Result<AgentSettings>
readSettings(const std::string& aFileName);
extern template Result<RelaySettings>
readSettings(const std::string& aFileName);

} // namespace magnoliadrum
