#pragma once

#include "generated/CatalogueTypes.h"

#include <string>
#include <string_view>
#include <vector>

namespace magnoliadrum {

/** Prefix of the record name of an owner quota. */
inline constexpr std::string_view kQuotaPrefix = "quota:";

/**
 * Returns every fault of a change as "PATH: WHAT"; empty when the change is valid.
 *
 * Checks the rules that concern several fields. Bounds of single fields are in the schema and hold
 * for every value that create() or fromJson() returned.
 */
std::vector<std::string>
findChangeFaults(const CatalogueChange& aChange);

} // namespace magnoliadrum
