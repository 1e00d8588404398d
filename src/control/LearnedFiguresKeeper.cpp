#include "control/LearnedFiguresKeeper.h"

#include "state/BuildValue.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace magnoliadrum {

namespace {

/** Ages that are larger say nothing more; keeps a clock that jumps far from overflowing them. */
constexpr std::int64_t kMaxAgeMs = 3600000;

template<typename AgeChange>
void
changeAges(LearnedFigures::Fields& aFigures, const AgeChange& aChange)
{
  std::vector<LearnedInterference> pairs;
  pairs.reserve(aFigures.interference.size());
  for (const LearnedInterference& pair : aFigures.interference) {
    LearnedInterference::Fields fields = pair.fields();
    fields.ageMs = aChange(fields.ageMs);
    pairs.push_back(buildValue<LearnedInterference>(std::move(fields)));
  }
  aFigures.interference = std::move(pairs);
}

} // namespace

void
LearnedFiguresKeeper::startTerm(const LearnedFigures& aSaved)
{
  mSaved = withoutAges(aSaved.fields());
  mPending.reset();
}

bool
LearnedFiguresKeeper::isDue(MonotonicTime aNow) const
{
  return !mPending && aNow >= mNextSaveAt;
}

std::optional<LearnedFigures>
LearnedFiguresKeeper::nextSave(LearnedFigures::Fields aFigures,
                               MonotonicTime aNow,
                               std::int64_t aWallMs)
{
  if (!isDue(aNow)) {
    return std::nullopt;
  }
  LearnedFigures content = withoutAges(aFigures);
  if (content == mSaved) {
    return std::nullopt;
  }
  mPending = std::move(content);
  mNextSaveAt = aNow.plusMs(kSaveIntervalMs);
  aFigures.savedAtMs = std::max<std::int64_t>(0, aWallMs);
  return buildValue<LearnedFigures>(std::move(aFigures));
}

void
LearnedFiguresKeeper::onSaveEnded(bool aIsCommitted)
{
  if (aIsCommitted && mPending) {
    mSaved = std::move(*mPending);
  }
  mPending.reset();
}

LearnedFigures::Fields
LearnedFiguresKeeper::aged(const LearnedFigures& aSaved, std::int64_t aWallMs)
{
  const std::int64_t elapsedMs =
    std::clamp<std::int64_t>(aWallMs - aSaved.savedAtMs(), 0, kMaxAgeMs);
  LearnedFigures::Fields figures = aSaved.fields();
  changeAges(figures,
             [elapsedMs](std::int64_t aAgeMs) { return std::min(kMaxAgeMs, aAgeMs + elapsedMs); });
  return figures;
}

LearnedFigures
LearnedFiguresKeeper::withoutAges(LearnedFigures::Fields aFigures)
{
  aFigures.savedAtMs = 0;
  changeAges(aFigures, [](std::int64_t) { return 0; });
  return buildValue<LearnedFigures>(std::move(aFigures));
}

} // namespace magnoliadrum
