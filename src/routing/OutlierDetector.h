#pragma once

#include "core/core.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Ejects the targets of one entry that fail or that are slow compared with the other targets.
 *
 * An ejected target gets no requests for a period that doubles with each ejection. Then it gets one
 * request as a probe: a successful response that is not slow readmits it, while an error, a slow
 * response or a timeout ejects it again. At most half of the targets are ejected, because a fault
 * that affects the majority is not a fault of individual targets.
 */
class OutlierDetector
{
public:
  enum class Availability
  {
    eNormal,
    eProbe, /**< May get one request as a probe. */
    eEjected
  };

  /** Replaces the set of targets; targets that stay keep their statistics. */
  void setTargets(const std::vector<std::string>& aTargetIds);

  Availability availability(const std::string& aTargetId, MonotonicTime aNow) const;

  /** Marks a target's probe as in progress. Precondition: its availability is eProbe. */
  void beginProbe(const std::string& aTargetId);

  /** Ends a probe that gave no result, for example because the target had no free slot. */
  void cancelProbe(const std::string& aTargetId);

  /** Records a response after aLatencyMs. aSuccess is false for an executor or agent error. */
  void recordResponse(const std::string& aTargetId,
                      bool aSuccess,
                      std::int64_t aLatencyMs,
                      MonotonicTime aNow);

  /**
   * Records a request that was given up after aElapsedMs without a response.
   *
   * The elapsed time is only a lower bound of the latency. It is ignored unless it exceeds the
   * target's mean latency, so that short deadlines of callers do not make a target look slow. The
   * timeout of a probe always counts as a failure.
   */
  void recordTimeout(const std::string& aTargetId, std::int64_t aElapsedMs, MonotonicTime aNow);

  std::size_t ejectedCount() const;

private:
  struct TargetStatistics
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
  static void completeProbe(TargetStatistics& aStatistics, bool aSuccess, MonotonicTime aNow);
  void ejectIfOutlier(const std::string& aTargetId,
                      TargetStatistics& aStatistics,
                      MonotonicTime aNow);
  static void eject(TargetStatistics& aStatistics, MonotonicTime aNow);

  std::map<std::string, TargetStatistics> mTargets;
};

} // namespace magnoliadrum
