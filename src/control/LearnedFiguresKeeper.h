#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <cstdint>
#include <optional>

namespace magnoliadrum {

/**
 * Decides when a leader saves its learned figures in the log. Uses no clock and no log.
 *
 * A save replaces the previous one as a whole, so one that is lost costs nothing but its news.
 */
class LearnedFiguresKeeper
{
public:
  /** Minimum time between two saves. */
  static constexpr std::int64_t kSaveIntervalMs = 2000;

  /** Starts a leadership with the figures that the log holds. */
  void startTerm(const LearnedFigures& aSaved);

  /** Whether nextSave() would consider figures now; tells the caller whether to collect them. */
  bool isDue(MonotonicTime aNow) const;

  /** Returns the figures to save, empty if nothing but ages has changed since the last save. */
  std::optional<LearnedFigures> nextSave(LearnedFigures::Fields aFigures,
                                         MonotonicTime aNow,
                                         std::int64_t aWallMs);

  /** Ends the save that nextSave() returned; one that failed is made up for by the next. */
  void onSaveEnded(bool aIsCommitted);

  /**
   * Returns saved figures as of now: their ages grow by the time since the save. A wall clock that
   * was set back adds nothing, one that was set forward makes the figures older.
   */
  static LearnedFigures::Fields aged(const LearnedFigures& aSaved, std::int64_t aWallMs);

private:
  /** The figures without ages, which change without any news. */
  static LearnedFigures withoutAges(LearnedFigures::Fields aFigures);

  /** Content of the last save, without ages. */
  LearnedFigures mSaved;
  /** Content of the save that has not ended yet. */
  std::optional<LearnedFigures> mPending;
  MonotonicTime mNextSaveAt;
};

} // namespace magnoliadrum
