#pragma once

#include <string>

namespace magnoliadrum::platform {

/** Converts a host name to lower case. Host names are case-insensitive, so they are stored and
 * compared in lower case. */
std::string
lowerCaseHost(std::string aHost);

} // namespace magnoliadrum::platform
