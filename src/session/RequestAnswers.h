#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <string>

namespace magnoliadrum {

/** Returns the requestId of a message that has one, else an empty text. */
std::string
requestIdOf(const Message& aMessage);

/** Returns the error that a failed operation reports. */
Error
toError(const OperationFailed& aFailure);

} // namespace magnoliadrum
