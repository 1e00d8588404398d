#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <string>

namespace magnoliadrum {

/** Returns the requestId of the message, or an empty string when its type has none. */
std::string
requestIdOf(const Message& aMessage);

/** Converts a failed operation to an Error with the same step, peer and detail. */
Error
toError(const OperationFailed& aFailure);

} // namespace magnoliadrum
