#pragma once

#include <string>

namespace magnoliadrum {

/** Returns a random UUID, unique to one start of one process. */
std::string
newIncarnation();

} // namespace magnoliadrum
