#pragma once

#include <string>

namespace magnoliadrum::platform {

/** Host names are the same whatever their case, so they are kept and compared in lower case. */
std::string
lowerCaseHost(std::string aHost);

} // namespace magnoliadrum::platform
