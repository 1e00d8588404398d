#include "platform/JsonAnswers.h"

#include "platform/JobCodec.h"

namespace magnoliadrum::platform {

HttpAnswer
jsonAnswer(int aStatus, const std::string& aBody)
{
  const HttpHeader type =
    valueOf(HttpHeader::create({ .name = "Content-Type", .value = "application/json" }));
  return valueOf(HttpAnswer::create({ .status = aStatus, .headers = { type }, .body = aBody }));
}

HttpAnswer
errorAnswer(int aStatus, const std::string& aDetail, std::int64_t aRetryAfterMs)
{
  constexpr std::int64_t kMsPerSecond = 1000;
  HttpAnswer::Fields fields = jsonAnswer(aStatus, encodeError(aDetail)).fields();
  if (aRetryAfterMs > 0) {
    // The header holds whole seconds; rounds up.
    const std::int64_t seconds = (aRetryAfterMs + kMsPerSecond - 1) / kMsPerSecond;
    fields.headers.push_back(
      valueOf(HttpHeader::create({ .name = "Retry-After", .value = std::to_string(seconds) })));
  }
  return valueOf(HttpAnswer::create(std::move(fields)));
}

} // namespace magnoliadrum::platform
