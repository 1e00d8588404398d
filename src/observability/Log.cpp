#include "observability/Log.h"

#include <ctime>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace magnoliadrum {

namespace {

std::string sProcessId = "unnamed";

log4cxx::LoggerPtr&
logger()
{
  static log4cxx::LoggerPtr sLogger = log4cxx::Logger::getLogger("magnoliadrum");
  return sLogger;
}

std::string
timeText()
{
  constexpr std::int64_t kMsPerSecond = 1000;
  constexpr std::size_t kTextBytes = 32;
  const std::int64_t nowMs = wallClockMs();
  const std::time_t seconds = nowMs / kMsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[kTextBytes];
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  const std::string ms = std::to_string(nowMs % kMsPerSecond + kMsPerSecond).substr(1);
  return std::string(text) + "." + ms + "Z";
}

/** Counts a line; the lines left out since the last one, or nothing when this one is left out. */
std::optional<std::int64_t>
admitLine()
{
  constexpr std::int64_t kSecondMs = 1000;
  static MonotonicTime sSecond;
  static std::int64_t sLines = 0;
  static std::int64_t sLeftOut = 0;
  const MonotonicTime now = MonotonicTime::now();
  if (now.msSince(sSecond) >= kSecondMs) {
    sSecond = now;
    sLines = 0;
  }
  if (sLines >= kMaxLogLines) {
    sLeftOut++;
    return std::nullopt;
  }
  sLines++;
  return std::exchange(sLeftOut, 0);
}

void
logLine(const log4cxx::LevelPtr& aLevel,
        const char* aLevelName,
        std::string_view aEvent,
        LogFields aFields)
{
  if (!logger()->isEnabledFor(aLevel)) {
    return;
  }
  const std::optional<std::int64_t> leftOut = admitLine();
  if (!leftOut) {
    return;
  }
  nlohmann::ordered_json line;
  line["time"] = timeText();
  line["level"] = aLevelName;
  line["process"] = sProcessId;
  line["event"] = aEvent;
  for (const auto& [name, value] : aFields) {
    std::visit([&line, name = name](const auto& aValue) { line[name] = aValue; }, value.value());
  }
  if (*leftOut > 0) {
    line["linesLeftOut"] = *leftOut;
  }
  constexpr auto kReplace = nlohmann::ordered_json::error_handler_t::replace;
  logger()->forcedLog(aLevel, line.dump(-1, ' ', false, kReplace));
}

} // namespace

void
configureLogging(const std::string& aProcessId, const std::string& aLevel)
{
  sProcessId = aProcessId;
  const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout("%m%n"));
  log4cxx::ConsoleAppender* console = new log4cxx::ConsoleAppender(layout, "System.out");
  const log4cxx::AppenderPtr appender(console);
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  logger()->setLevel(log4cxx::Level::toLevel(aLevel, log4cxx::Level::getInfo()));
}

void
logDebug(std::string_view aEvent, LogFields aFields)
{
  logLine(log4cxx::Level::getDebug(), "debug", aEvent, aFields);
}

void
logInfo(std::string_view aEvent, LogFields aFields)
{
  logLine(log4cxx::Level::getInfo(), "info", aEvent, aFields);
}

void
logWarning(std::string_view aEvent, LogFields aFields)
{
  logLine(log4cxx::Level::getWarn(), "warn", aEvent, aFields);
}

void
logError(std::string_view aEvent, LogFields aFields)
{
  logLine(log4cxx::Level::getError(), "error", aEvent, aFields);
}

void
logWarning(std::string_view aEvent, const Error& aError)
{
  logWarning(aEvent,
             { { "code", errorCodeName(aError.code()) },
               { "step", aError.step() },
               { "peer", aError.peer() },
               { "detail", aError.detail() } });
}

void
logError(std::string_view aEvent, const Error& aError)
{
  logError(aEvent,
           { { "code", errorCodeName(aError.code()) },
             { "step", aError.step() },
             { "peer", aError.peer() },
             { "detail", aError.detail() } });
}

} // namespace magnoliadrum
