#pragma once

/**
 * Module core: results, errors and time.
 *
 * Offers Result<T>, Error, ErrorCode, MonotonicTime and Deadline. Depends on no other module.
 */

#include "core/Error.h"
#include "core/MonotonicTime.h"
#include "core/Result.h"
#include "core/RunTrial.h"
