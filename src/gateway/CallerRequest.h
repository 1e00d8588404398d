#pragma once

#include "generated/generated.h"
#include "transport/HttpServer.h"

#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A caller's request to a service entry, read from HTTP. */
struct CallerRequest
{
  std::string mEntryName;
  std::string mMethod;
  /** Path and query that the executor receives. */
  std::string mPath;
  /** Headers that are forwarded to the executor. */
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  Deadline mDeadline;
  MonotonicTime mArrivedAt;
  std::optional<std::string> mIdempotencyKey;
  /** The caller sent X-Repeatable: no, which forbids retries that the entry would allow. */
  bool mMustNotRepeat = false;

  /** Estimated memory use of the request. */
  std::size_t bytes() const;

  /** Digest of method, path and body, to tell whether two requests with the same key are equal. */
  std::string digest() const;
};

/** Prefix of the paths of callers' requests. */
inline constexpr const char* kCallPathPrefix = "/call/";

/**
 * Reads a request whose path starts with kCallPathPrefix. A request without X-Deadline-Ms gets
 * aDefaultDeadlineMs. The error names the part that is malformed or out of bounds.
 */
Result<CallerRequest>
readCallerRequest(HttpRequest&& aRequest, MonotonicTime aNow, std::int64_t aDefaultDeadlineMs);

/** Decodes %XX escapes. Returns nothing if one is malformed or encodes a zero byte. */
std::optional<std::string>
decodePercent(const std::string& aText);

} // namespace magnoliadrum
