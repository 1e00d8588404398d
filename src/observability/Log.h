#pragma once

#include "core/core.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace magnoliadrum {

/** Value of one field of a log line. */
class LogValue
{
public:
  LogValue(const char* aText)
    : mValue(std::string(aText))
  {
  }
  LogValue(std::string aText)
    : mValue(std::move(aText))
  {
  }
  LogValue(bool aFlag)
    : mValue(aFlag)
  {
  }
  LogValue(double aNumber)
    : mValue(aNumber)
  {
  }
  template<typename Integer>
  requires std::is_integral_v<Integer> LogValue(Integer aNumber)
    : mValue(static_cast<std::int64_t>(aNumber))
  {
  }

  const std::variant<std::string, bool, double, std::int64_t>& value() const { return mValue; }

private:
  std::variant<std::string, bool, double, std::int64_t> mValue;
};

/** Fields of a log line. Customary names: request, task, term, peer, session, epoch, entry, target.
 */
using LogFields = std::initializer_list<std::pair<const char*, LogValue>>;

/**
 * Sends all log lines of the process to standard output, one JSON object a line with the keys time,
 * level, process and event. aLevel is trace, debug, info, warn or error. At most kMaxLogLines lines
 * a second are written; how many were left out is told in the next one.
 */
inline constexpr std::int64_t kMaxLogLines = 2000;

void
configureLogging(const std::string& aProcessId, const std::string& aLevel);

void
logDebug(std::string_view aEvent, LogFields aFields = {});
void
logInfo(std::string_view aEvent, LogFields aFields = {});
void
logWarning(std::string_view aEvent, LogFields aFields = {});
void
logError(std::string_view aEvent, LogFields aFields = {});

/** Logs an Error with its code, step, peer and detail. */
void
logWarning(std::string_view aEvent, const Error& aError);
void
logError(std::string_view aEvent, const Error& aError);

} // namespace magnoliadrum
