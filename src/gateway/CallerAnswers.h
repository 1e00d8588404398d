#pragma once

#include "generated/generated.h"
#include "routing/AttemptTracker.h"

#include <string>

namespace magnoliadrum {

/** Value of the header X-Outcome for an outcome. */
const char*
outcomeText(RequestOutcome aOutcome);

/**
 * The executor's response with the header X-Outcome: done. The executor's own X-Outcome and
 * X-Reason are removed, and headers beyond the limit of 100 are dropped.
 */
HttpAnswer
doneAnswer(const HttpAnswer& aAnswer);

/**
 * The refusal of a request that was not run, with the headers X-Outcome and X-Reason. If aDetail is
 * empty, a description of the reason is used.
 */
HttpAnswer
refusalAnswer(RefusalReason aReason, const std::string& aDetail = "");

/** The refusal of a request whose body is too large. */
HttpAnswer
bodyTooLargeAnswer(std::int64_t aMaxBytes);

/** The answer to a request of which it is unknown whether it was run. */
HttpAnswer
unknownAnswer(int aStatus, const std::string& aDetail);

/** An answer with a JSON body that describes an error. */
HttpAnswer
errorAnswer(int aStatus, const Error& aError);

/** An answer with a body of the given type. */
HttpAnswer
textAnswer(int aStatus, const std::string& aContentType, std::string aBody);

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusMethodNotAllowed = 405;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusTooLarge = 413;
inline constexpr int kStatusUnprocessable = 422;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusInternalError = 500;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusTimeout = 504;

} // namespace magnoliadrum
