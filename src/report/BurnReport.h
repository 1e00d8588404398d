#pragma once

#include "generated/MessagesTypes.h"

#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Windows of the burn rate, in minutes: the short one shows a fault at once, the long one whether
 * it lasts. */
inline constexpr std::int64_t kShortWindowMinutes = 5;
inline constexpr std::int64_t kLongWindowMinutes = 60;

/** Requests of one entry in one window. */
struct WindowCount
{
  std::int64_t mTotal = 0;
  std::int64_t mGood = 0;

  /** Share of requests that were not good; 0 without requests. */
  double badShare() const;

  friend auto operator<=>(const WindowCount&, const WindowCount&) = default;
};

/** One point of the burn rate over time. */
struct BurnPoint
{
  std::int64_t mMinute = 0;
  double mBurnRate = 0;

  friend auto operator<=>(const BurnPoint&, const BurnPoint&) = default;
};

/** The service level of one entry with an objective. */
struct EntryBurn
{
  std::string mEntryName;
  std::int64_t mLatencyObjectiveMs = 0;
  double mShareObjective = 0;
  WindowCount mWhole;
  /** Share of the error budget that the whole history has used; over 1 when the objective is
   * missed. */
  double mBudgetUsed = 0;
  /** Bad share divided by the allowed share; 1 uses the budget up exactly. */
  double mShortBurnRate = 0;
  double mLongBurnRate = 0;
  std::int64_t mRefused = 0;
  std::int64_t mUnknown = 0;
  double mP50Ms = 0;
  double mP99Ms = 0;
  double mP999Ms = 0;
  std::vector<BurnPoint> mPoints;
  std::vector<std::int64_t> mLatencyCounts;
};

/** A batch task that has missed, or is likely to miss, the time within which it should end. */
struct LateTask
{
  std::string mTaskId;
  std::string mState;
  /** Wall clock at which it should end. */
  std::int64_t mDueMs = 0;
  bool mMissed = false;
};

/** The service-level burn report. */
class BurnReport
{
public:
  /** Computes the report from the leader's history. */
  static BurnReport create(const ReportRows& aRows);

  const std::vector<EntryBurn>& entries() const { return mEntries; }
  const std::vector<LateTask>& lateTasks() const { return mLateTasks; }
  const std::vector<std::string>& silentTasks() const { return mSilentTasks; }

  std::string toText() const;
  nlohmann::json toJson() const;

  /** One page with inline plots; it loads nothing. */
  std::string toHtml() const;

private:
  BurnReport() = default;

  std::int64_t mNowMs = 0;
  std::vector<EntryBurn> mEntries;
  std::vector<LateTask> mLateTasks;
  std::vector<std::string> mSilentTasks;
};

} // namespace magnoliadrum
