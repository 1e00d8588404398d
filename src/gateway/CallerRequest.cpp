#include "gateway/CallerRequest.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <charconv>
#include <string_view>

namespace magnoliadrum {

namespace {

constexpr std::size_t kMaxPathBytes = 8192;
constexpr std::size_t kMaxHeaders = 100;
constexpr std::size_t kMaxNameBytes = 100;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::int64_t kMaxDeadlineMs = 3600000;
/** Estimated memory of a request in addition to its path, headers and body. */
constexpr std::size_t kRequestOverheadBytes = 1024;

/** Headers that are not forwarded, because they apply to a single connection or the gateway handles
 * them itself. */
constexpr std::array<std::string_view, 13> kHeadersNotForwarded = {
  "Connection",        "Keep-Alive",   "Proxy-Connection", "TE",   "Trailer",
  "Transfer-Encoding", "Upgrade",      "Content-Length",   "Host", "Expect",
  "X-Deadline-Ms",     "X-Repeatable", "X-Request-Id"
};

Error
invalid(const std::string& aPeer, const std::string& aDetail)
{
  return Error::create(ErrorCode::eInvalid, "read request", aPeer, aDetail);
}

bool
isForwarded(const HttpHeader& aHeader)
{
  return std::none_of(
    kHeadersNotForwarded.begin(), kHeadersNotForwarded.end(), [&](std::string_view aName) {
      return boost::algorithm::iequals(aHeader.name(), aName);
    });
}

std::optional<std::int64_t>
parseInteger(const std::string& aText)
{
  std::int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  const bool isWhole = error == std::errc() && rest == end;
  return isWhole ? std::optional(value) : std::nullopt;
}

/** Splits "/call/ENTRY/PATH?QUERY" into the entry's name and the executor's path. */
Result<Done>
readPath(const HttpRequest& aRequest, CallerRequest& aCall)
{
  const std::string rest = aRequest.mPath.substr(std::string_view(kCallPathPrefix).size());
  const std::size_t slash = rest.find('/');
  const std::optional<std::string> name = decodePercent(rest.substr(0, slash));
  if (!name || name->empty() || name->size() > kMaxNameBytes) {
    return invalid(aRequest.mPeer, "path has no valid entry name");
  }
  aCall.mEntryName = *name;
  aCall.mPath = slash == std::string::npos ? "/" : rest.substr(slash);
  if (!aRequest.mQuery.empty()) {
    aCall.mPath += "?" + aRequest.mQuery;
  }
  if (aCall.mPath.size() > kMaxPathBytes) {
    return invalid(aRequest.mPeer,
                   "path is longer than " + std::to_string(kMaxPathBytes) + " bytes");
  }
  return Done{};
}

Result<Done>
readDeadline(const HttpRequest& aRequest, std::int64_t aDefaultDeadlineMs, CallerRequest& aCall)
{
  std::int64_t remainingMs = aDefaultDeadlineMs;
  if (const auto text = aRequest.header("X-Deadline-Ms")) {
    const std::optional<std::int64_t> value = parseInteger(*text);
    if (!value || *value > kMaxDeadlineMs) {
      return invalid(aRequest.mPeer,
                     "X-Deadline-Ms is not an integer up to " + std::to_string(kMaxDeadlineMs));
    }
    remainingMs = std::max<std::int64_t>(0, *value);
  }
  aCall.mDeadline = aCall.mArrivedAt.plusMs(remainingMs);
  return Done{};
}

Result<Done>
readRepeatability(const HttpRequest& aRequest, CallerRequest& aCall)
{
  if (const auto text = aRequest.header("X-Repeatable")) {
    if (*text != "yes" && *text != "no") {
      return invalid(aRequest.mPeer, "X-Repeatable is neither yes nor no");
    }
    aCall.mMustNotRepeat = *text == "no";
  }
  aCall.mIdempotencyKey = aRequest.header("Idempotency-Key");
  if (aCall.mIdempotencyKey &&
      (aCall.mIdempotencyKey->empty() || aCall.mIdempotencyKey->size() > kMaxKeyBytes)) {
    return invalid(aRequest.mPeer,
                   "Idempotency-Key is not 1 to " + std::to_string(kMaxKeyBytes) + " bytes long");
  }
  return Done{};
}

} // namespace

std::size_t
CallerRequest::bytes() const
{
  std::size_t bytes = kRequestOverheadBytes + mPath.size() + mBody.size();
  for (const HttpHeader& header : mHeaders) {
    bytes += header.name().size() + header.value().size();
  }
  return bytes;
}

std::string
CallerRequest::digest() const
{
  const boost::uuids::name_generator_sha1 generator(boost::uuids::ns::url());
  const std::string text = mMethod + "\n" + mPath + "\n" + mBody;
  return boost::uuids::to_string(generator(text));
}

Result<CallerRequest>
readCallerRequest(HttpRequest&& aRequest, MonotonicTime aNow, std::int64_t aDefaultDeadlineMs)
{
  CallerRequest call;
  call.mMethod = aRequest.mMethod;
  call.mArrivedAt = aNow;
  for (const Result<Done>& part : { readPath(aRequest, call),
                                    readDeadline(aRequest, aDefaultDeadlineMs, call),
                                    readRepeatability(aRequest, call) }) {
    if (!isOk(part)) {
      return errorOf(part);
    }
  }
  for (HttpHeader& header : aRequest.mHeaders) {
    if (isForwarded(header)) {
      call.mHeaders.push_back(std::move(header));
    }
  }
  if (call.mHeaders.size() > kMaxHeaders) {
    return invalid(aRequest.mPeer, "more than " + std::to_string(kMaxHeaders) + " headers");
  }
  call.mBody = std::move(aRequest.mBody);
  return call;
}

std::optional<std::string>
decodePercent(const std::string& aText)
{
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); index++) {
    if (aText[index] != '%') {
      decoded += aText[index];
      continue;
    }
    if (index + 2 >= aText.size()) {
      return std::nullopt;
    }
    unsigned value = 0;
    const char* end = aText.data() + index + 3;
    const auto [rest, error] = std::from_chars(aText.data() + index + 1, end, value, 16);
    if (error != std::errc() || rest != end || value == 0) {
      return std::nullopt;
    }
    decoded += static_cast<char>(value);
    index += 2;
  }
  return decoded;
}

} // namespace magnoliadrum
