#pragma once

#include "generated/generated.h"
#include "state/Catalogue.h"
#include "state/TaskIndex.h"

#include <optional>
#include <string>

namespace magnoliadrum {

/**
 * Returns why a task of an entry cannot be placed on a session now; nothing when it can.
 *
 * This check guards the log against any placement decision, whatever made it: it knows the open
 * sessions and the declared resources of all tasks that they hold.
 *
 * @param aEntry null when the entry does not exist
 * @param aSession null when the session is not open
 */
std::optional<std::string>
findPlacementFault(const TaskIndex& aTasks,
                   const Catalogue& aCatalogue,
                   const CatalogueEntry* aEntry,
                   const SessionRecord* aSession);

} // namespace magnoliadrum
