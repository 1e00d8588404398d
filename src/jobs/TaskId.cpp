#include "jobs/TaskId.h"

#include <charconv>

namespace magnoliadrum {

namespace {

/** Removes the last dot and the number after it from aText and returns the number; empty if there
 * is none. */
std::optional<std::int64_t>
removeLastNumber(std::string_view& aText)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos || dot + 1 == aText.size()) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(dot + 1);
  std::int64_t number = 0;
  const char* const end = digits.data() + digits.size();
  const std::from_chars_result result = std::from_chars(digits.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end || number < 0) {
    return std::nullopt;
  }
  aText = aText.substr(0, dot);
  return number;
}

} // namespace

std::string
TaskId::text() const
{
  return jobId + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." +
         std::to_string(index);
}

std::optional<TaskId>
TaskId::parse(std::string_view aText)
{
  const std::optional<std::int64_t> index = removeLastNumber(aText);
  const std::optional<std::int64_t> step = index ? removeLastNumber(aText) : std::nullopt;
  const std::optional<std::int64_t> occurrence = step ? removeLastNumber(aText) : std::nullopt;
  if (!occurrence || aText.empty()) {
    return std::nullopt;
  }
  return TaskId{ std::string(aText), *occurrence, *step, *index };
}

} // namespace magnoliadrum
