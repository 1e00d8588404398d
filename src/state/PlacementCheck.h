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
 * Every placement command passes this check when it is applied, whichever component decided it.
 * The check uses the open sessions and the declared resources of all tasks that they hold.
 *
 * @param aEntry the entry of the task; null if it does not exist
 * @param aSession the session; null if it is not open
 */
std::optional<std::string>
findPlacementFault(const TaskIndex& aTasks,
                   const Catalogue& aCatalogue,
                   const CatalogueEntry* aEntry,
                   const SessionRecord* aSession);

} // namespace magnoliadrum
