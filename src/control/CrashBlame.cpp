#include "control/CrashBlame.h"

namespace magnoliadrum {

bool
CrashBlame::add(const JobStep& aStep,
                const JobTaskRecord::Fields& aRecord,
                const CrashSuspect& aEvidence,
                std::int64_t aRanMs)
{
  if (aRanMs > CrashAttribution::kLongestCrashDelayMs) {
    return false;
  }
  const bool mayHaveEnded =
    CrashAttribution::mayHaveEnded(aStep, aRanMs, aEvidence.percent, aEvidence.listAgeMs);
  mRuns.push_back({ .ranMs = aRanMs,
                    .hasBegun = aEvidence.hasBegun,
                    .mayHaveEnded = mayHaveEnded,
                    .harmlessMs = aRecord.harmlessMs,
                    .suspicion = aRecord.suspicion });
  mIsCertain.push_back(aEvidence.isWitnessed && aEvidence.hasBegun && !mayHaveEnded);
  return true;
}

void
CrashBlame::addUnknown(const CrashSuspect& aEvidence)
{
  mRuns.push_back({ .ranMs = aEvidence.ranMs, .hasBegun = aEvidence.hasBegun });
  mIsCertain.push_back(false);
}

std::vector<CrashBlame::Verdict>
CrashBlame::verdicts() const
{
  const std::vector<std::int64_t> shares = CrashAttribution::shares(mRuns);
  std::vector<Verdict> verdicts;
  for (std::size_t index = 0; index < mRuns.size(); index++) {
    verdicts.push_back(
      { .ranMs = mRuns[index].ranMs, .share = shares[index], .isCertain = mIsCertain[index] });
  }
  return verdicts;
}

} // namespace magnoliadrum
