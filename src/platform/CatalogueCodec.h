#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <string>

namespace magnoliadrum::platform {

/**
 * Decodes the document with which an operator replaces all queues and pools. The source document is
 * kept, because a read must return it exactly as it was sent. The error eInvalid lists all faults.
 */
Result<QueueCatalogue>
decodeCatalogue(const std::string& aBody, const std::string& aPeer);

} // namespace magnoliadrum::platform
