#pragma once

#include "control/WorkerFleet.h"
#include "jobs/jobs.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Divides the blame for the crash of a worker incarnation among the runs that were on it. */
class CrashBlame
{
public:
  /** What the crash says of one run. */
  struct Verdict
  {
    /** Time from the start of the run to the crash in ms. */
    std::int64_t ranMs = 0;
    /** Share of the run in the blame, in thousandths. */
    std::int64_t share = 0;
    /** The relay saw that the run was there, and the run cannot have ended before. */
    bool isCertain = false;

    friend bool operator==(const Verdict&, const Verdict&) = default;
  };

  /** Adds a run that has worked for aRanMs. Returns false if it has worked for too long to be taken
   * for the cause. */
  bool add(const JobStep& aStep,
           const JobTaskRecord::Fields& aRecord,
           const CrashSuspect& aEvidence,
           std::int64_t aRanMs);

  /** Adds a run of which the log keeps nothing. */
  void addUnknown(const CrashSuspect& aEvidence);

  /** Returns the verdicts in the order of the calls of add() and addUnknown() that added a run. */
  std::vector<Verdict> verdicts() const;

  /** Number of runs that share the blame. */
  std::int64_t suspects() const { return std::ssize(mRuns); }

private:
  std::vector<RunAtCrash> mRuns;
  std::vector<bool> mIsCertain;
};

} // namespace magnoliadrum
