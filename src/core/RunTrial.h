#pragma once

#include <cstdint>

namespace magnoliadrum {

/** A run that its worker has listed for this long, in ms, is not suspected of crashing the worker.
 */
inline constexpr std::int64_t kHarmlessRunMs = 1000;

} // namespace magnoliadrum
