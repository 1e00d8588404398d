#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <string>

namespace magnoliadrum::platform {

/**
 * Reads the body with which a caller hands a job in. The error eInvalid lists every fault with its
 * path in the body.
 */
Result<JobDescription>
decodeJob(const std::string& aJobId, const std::string& aBody, const std::string& aPeer);

/** The body that tells a job's state. */
std::string
encodeJobState(JobState aState);

/** The body that tells how many jobs of a queue wait for their first start. */
std::string
encodeWaitingJobs(std::int64_t aWaiting);

/** The body of a refusal. */
std::string
encodeError(const std::string& aDetail);

} // namespace magnoliadrum::platform
