#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <string>

namespace magnoliadrum::platform {

/**
 * Decodes the body with which a caller submits a job. The error eInvalid lists all faults with
 * their paths in the body.
 */
Result<JobDescription>
decodeJob(const std::string& aJobId, const std::string& aBody, const std::string& aPeer);

/** Encodes the answer to a job query. */
std::string
encodeJobState(JobState aState);

/** Encodes the answer to a queue query: the number of jobs that wait for their first start. */
std::string
encodeWaitingJobs(std::int64_t aWaiting);

/** Encodes the body of an error answer. */
std::string
encodeError(const std::string& aDetail);

} // namespace magnoliadrum::platform
