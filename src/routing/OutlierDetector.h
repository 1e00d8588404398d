#pragma once

#include "core/core.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Finds the targets of one entry that fail or are slow compared with the others, and ejects them.
 *
 * An ejected target gets no requests for a period that doubles with each ejection. Then it gets one
 * request as a probe: a success within the usual time readmits it, anything else ejects it again.
 * Never ejects more than half of the targets, because a fault that hits the majority is not a fault
 * of single targets.
 */
class OutlierDetector
{
public:
  enum class Availability
  {
    eNormal,
    eProbe, /**< May get one request now, as a probe. */
    eEjected
  };

  /** Sets the targets; the record of those that stay is kept. */
  void setTargets(const std::vector<std::string>& aTargetIds);

  Availability availability(const std::string& aTargetId, MonotonicTime aNow) const;

  /** Tells that the probe of a target is under way. Precondition: its availability is eProbe. */
  void beginProbe(const std::string& aTargetId);

  /** The probe ended without a result, for example with a refusal for lack of slots. */
  void cancelProbe(const std::string& aTargetId);

  /** A response that took aLatencyMs. aSuccess is false for an error of the executor or agent. */
  void recordResponse(const std::string& aTargetId,
                      bool aSuccess,
                      std::int64_t aLatencyMs,
                      MonotonicTime aNow);

  /**
   * No response came within aElapsedMs, when the request was given up. Counts as a latency of at
   * least that much, so that short deadlines of callers do not mark a target as slow.
   */
  void recordTimeout(const std::string& aTargetId, std::int64_t aElapsedMs, MonotonicTime aNow);

  std::size_t ejectedCount() const;

private:
  struct Record
  {
    double mErrorRate = 0;
    double mMeanLatencyMs = 0;
    std::int64_t mSampleCount = 0;
    int mEjectionCount = 0;
    bool mEjected = false;
    bool mProbeInProgress = false;
    MonotonicTime mEjectedUntil;
    MonotonicTime mReadmittedAt;
  };

  bool isSlow(const std::string& aTargetId, double aLatencyMs) const;
  std::optional<double> medianLatencyOfOthers(const std::string& aTargetId) const;
  static void completeProbe(Record& aRecord, bool aSuccess, MonotonicTime aNow);
  void ejectIfOutlier(const std::string& aTargetId, Record& aRecord, MonotonicTime aNow);
  static void eject(Record& aRecord, MonotonicTime aNow);

  std::map<std::string, Record> mTargets;
};

} // namespace magnoliadrum
