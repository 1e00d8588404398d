#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnoliadrum {

/** Identifies a task of a job. */
struct TaskId
{
  std::string jobId;
  /** Occurrence of a recurring job, counted from 0. */
  std::int64_t occurrence = 0;
  std::int64_t step = 0;
  /** Position within the step, counted from 0. */
  std::int64_t index = 0;

  /** Returns JOB.OCCURRENCE.STEP.INDEX. */
  std::string text() const;

  /** Parses the format of text(); empty if the text is malformed. */
  static std::optional<TaskId> parse(std::string_view aText);

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

} // namespace magnoliadrum
