#pragma once

#include "jobs/DueJobs.h"
#include "jobs/RunTimeModel.h"

#include <cstdint>
#include <variant>

namespace magnoliadrum {

/** The job is taken. */
struct JobAdmitted
{
  friend bool operator==(const JobAdmitted&, const JobAdmitted&) = default;
};

/** The job is refused and never runs. */
struct JobRefused
{
  /** When a resend is expected to be taken, in ms from now; 0 if it never will. */
  std::int64_t retryAfterMs = 0;
  /** Why, for the caller and the log. */
  std::string reason;

  friend bool operator==(const JobRefused&, const JobRefused&) = default;
};

using AdmissionDecision = std::variant<JobAdmitted, JobRefused>;

/**
 * Decides at hand-in whether a job is taken. A job that surely cannot end while its completion is
 * useful is refused at once. What is "surely" rests on learned run times; a queue, a size and a
 * data centre each keep a share of what is taken.
 */
class AdmissionPolicy
{
public:
  static AdmissionDecision decide(const JobDescription& aJob,
                                  const JobQueue& aQueue,
                                  const std::vector<DueJob>& aDueJobs,
                                  double aCapacityCores,
                                  const RunTimeModel& aRunTimes,
                                  std::int64_t aWallMs);
};

} // namespace magnoliadrum
