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
  /** Path and query for the executor. */
  std::string mPath;
  /** Headers that are passed on. */
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  Deadline mDeadline;
  MonotonicTime mArrivedAt;
  std::optional<std::string> mIdempotencyKey;
  /** The caller forbids a repetition that the entry would allow. */
  bool mMustNotRepeat = false;

  /** Memory that the request holds. */
  std::size_t bytes() const;

  /** Digest of method, path and body; tells whether two requests under one key are the same. */
  std::string digest() const;
};

/** Prefix of the paths of callers' requests. */
inline constexpr const char* kCallPathPrefix = "/call/";

/**
 * Reads a request whose path starts with kCallPathPrefix. A request without X-Deadline-Ms gets
 * aDefaultDeadlineMs. The error names the part that is malformed or out of its bounds.
 */
Result<CallerRequest>
readCallerRequest(HttpRequest&& aRequest, MonotonicTime aNow, std::int64_t aDefaultDeadlineMs);

/** Decodes %XX; nothing when it is malformed or the result has a zero byte. */
std::optional<std::string>
decodePercent(const std::string& aText);

} // namespace magnoliadrum
