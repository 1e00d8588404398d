#pragma once

#include "generated/generated.h"

#include <cstdint>
#include <string>

namespace magnoliadrum::platform {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusTemporaryRedirect = 307;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusMethodNotAllowed = 405;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusServiceUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

/** Creates a JSON answer; the default body is an empty object. */
HttpAnswer
jsonAnswer(int aStatus, const std::string& aBody = "{}");

/** Creates an error answer with its reason and, when aRetryAfterMs is positive, a Retry-After
 * header. */
HttpAnswer
errorAnswer(int aStatus, const std::string& aDetail, std::int64_t aRetryAfterMs = 0);

} // namespace magnoliadrum::platform
