#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <string>

namespace magnoliadrum::platform {

/**
 * Reads the document with which an operator replaces all queues and pools. The document itself is
 * kept, because a read must return it as it was sent. The error eInvalid lists every fault.
 */
Result<QueueCatalogue>
decodeCatalogue(const std::string& aBody, const std::string& aPeer);

} // namespace magnoliadrum::platform
