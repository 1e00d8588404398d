#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace magnoliadrum {

/** CPU use of one entry on a VM as a share of the capacity of the VM. */
struct EntryLoad
{
  std::uint32_t entry = 0;
  double share = 0;
};

/**
 * Learns how much each entry slows down each service that shares a VM with it.
 *
 * The model of the logarithm of a service's latency is linear: a constant, plus a coefficient times
 * the service's own load, plus for each entry a coefficient times the CPU share of the entry. The
 * coefficients are fitted by recursive least squares with a forgetting factor, because interference
 * changes with load. Own load is a separate term so that its effect is not attributed to
 * neighbours.
 */
class InterferenceModel
{
public:
  /**
   * Learns from one observation. aOwnLoad is the service's own load and aOthers are the loads of
   * the other entries on the VM when the latency was measured.
   */
  void learn(std::uint32_t aService,
             double aLatencyMs,
             double aOwnLoad,
             const std::vector<EntryLoad>& aOthers);

  /** Returns the expected latency in ms; 0 when the service was never observed. */
  double predictMs(std::uint32_t aService,
                   double aOwnLoad,
                   const std::vector<EntryLoad>& aOthers) const;

  /**
   * Returns the coefficient of an entry: the increase of the logarithm of the latency when the
   * entry uses a whole VM. Never negative; 0 for an unknown pair.
   */
  double coefficient(std::uint32_t aService, std::uint32_t aEntry) const;

  /** Returns the standard deviation of coefficient(); large while there are few observations. */
  double uncertainty(std::uint32_t aService, std::uint32_t aEntry) const;

  std::size_t bytes() const;

private:
  struct ServiceModel
  {
    std::int64_t samples = 0;
    /** Position of the coefficient by entry. */
    std::unordered_map<std::uint32_t, std::size_t> positions;
    std::vector<double> coefficients;
    /** Square covariance matrix of the coefficients in row-major order. */
    std::vector<double> covariance;
  };

  static std::vector<double> features(ServiceModel& aModel,
                                      double aOwnLoad,
                                      const std::vector<EntryLoad>& aOthers);
  static void addCoefficient(ServiceModel& aModel, double aVariance);
  static void update(ServiceModel& aModel,
                     const std::vector<double>& aFeatures,
                     double aLogLatency);

  std::unordered_map<std::uint32_t, ServiceModel> mServices;
};

} // namespace magnoliadrum
