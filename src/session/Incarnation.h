#pragma once

#include <string>

namespace magnoliadrum {

/** Returns a random text that no other start of any process has. */
std::string
newIncarnation();

} // namespace magnoliadrum
