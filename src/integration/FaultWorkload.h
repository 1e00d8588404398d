#pragma once

#include <cstdint>

namespace magnoliadrum {

/** The fixed workload of a fault cell and the limits within which it must end. */

inline constexpr std::int64_t kClientTimeoutMs = 8000;
inline constexpr std::int64_t kStartLimitMs = 30000;
inline constexpr std::int64_t kHitLimitMs = 15000;
inline constexpr std::int64_t kTasksLimitMs = 45000;
inline constexpr std::int64_t kInForceLimitMs = 10000;
inline constexpr std::int64_t kExitLimitMs = 30000;
inline constexpr std::int64_t kPollMs = 50;
inline constexpr std::int64_t kLoadMs = 7000;
inline constexpr double kRequestsPerSecond = 60;
inline constexpr double kNonRepeatableShare = 0.3;
inline constexpr int kResends = 3;
inline constexpr std::int64_t kDeadlineMs = 1000;
inline constexpr int kEarlyTasks = 8;
inline constexpr int kLateTasks = 3;
inline constexpr int kStandingReplicas = 2;
inline constexpr int kExecutors = 2;
inline constexpr int kWorkers = 3;
inline constexpr int kSnapshotEveryEntries = 60;
inline constexpr std::int64_t kDelayMs = 400;

/** Frames that pass before a network effect acts, so that it hits a connection in use. */
inline constexpr int kAfterFrames = 20;

inline constexpr const char* kBatchEntry = "tally";
inline constexpr const char* kStandingEntry = "watch";
inline constexpr const char* kChangingEntry = "changing";

} // namespace magnoliadrum
