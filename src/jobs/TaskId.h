#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliadrum {

/** Names one task of a job. */
struct TaskId
{
  std::string jobId;
  /** Occurrence of a recurring job, from 0. */
  std::int64_t occurrence = 0;
  std::int64_t step = 0;
  /** Position within the step, from 0. */
  std::int64_t index = 0;

  /** Returns JOB.OCCURRENCE.STEP.INDEX. */
  std::string text() const;

  /** Reads what text() wrote; nothing when the text has another form. */
  static std::optional<TaskId> parse(std::string_view aText);

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

} // namespace magnoliadrum
