#pragma once

#include "core/core.h"
#include "generated/SettingsTypes.h"

#include <string>

namespace magnoliadrum {

/**
 * Reads a settings file of type ControlSettings, GatewaySettings or AgentSettings.
 *
 * The error lists every fault with its path: malformed JSON, unknown or missing fields, values out
 * of bounds and values that do not fit together, such as a heartbeat period that is too long for
 * the lease.
 */
template<typename Settings>
Result<Settings>
readSettings(const std::string& aFileName);

extern template Result<ControlSettings>
readSettings(const std::string& aFileName);
extern template Result<GatewaySettings>
readSettings(const std::string& aFileName);
extern template Result<AgentSettings>
readSettings(const std::string& aFileName);

} // namespace magnoliadrum
