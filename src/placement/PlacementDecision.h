#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace magnoliadrum {

/** Places a pending task. Becomes the command PlaceTask. */
struct PlaceDecision
{
  std::string taskId;
  /** Epoch of the new placement, one higher than the task's. */
  std::int64_t epoch = 0;
  std::int64_t session = 0;

  friend bool operator==(const PlaceDecision&, const PlaceDecision&) = default;
};

/** Stops a task with a checkpoint so that it can be placed again. Becomes RequestStop. */
struct EvictDecision
{
  std::string taskId;
  std::int64_t epoch = 0;
  std::int64_t session = 0;
  std::string reason;

  friend bool operator==(const EvictDecision&, const EvictDecision&) = default;
};

/**
 * Limits the CPU time of a running task. Not written to the replicated log; a new leader learns the
 * load again.
 */
struct ThrottleDecision
{
  std::string taskId;
  std::int64_t epoch = 0;
  std::int64_t session = 0;
  /** Limit in thousandths of a core; 0 removes the limit. */
  std::int64_t cpuMilli = 0;
  std::string reason;

  friend bool operator==(const ThrottleDecision&, const ThrottleDecision&) = default;
};

/**
 * Declares that no registered worker could run the task even if it were empty. Becomes the command
 * MoveTask with state impossible.
 */
struct ImpossibleDecision
{
  std::string taskId;
  std::int64_t epoch = 0;
  std::string reason;

  friend bool operator==(const ImpossibleDecision&, const ImpossibleDecision&) = default;
};

/** Makes an impossible task pending again after a change that allows a worker to run it. */
struct ReconsiderDecision
{
  std::string taskId;
  std::int64_t epoch = 0;

  friend bool operator==(const ReconsiderDecision&, const ReconsiderDecision&) = default;
};

using PlacementDecision = std::
  variant<PlaceDecision, EvictDecision, ThrottleDecision, ImpossibleDecision, ReconsiderDecision>;

} // namespace magnoliadrum
