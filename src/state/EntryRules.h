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
 * Checks the syntax of names and the rules that involve several fields. The schema defines the
 * bounds of single fields, and every value that create() or fromJson() returned satisfies them.
 */
std::vector<std::string>
findChangeFaults(const CatalogueChange& aChange);

} // namespace magnoliadrum
