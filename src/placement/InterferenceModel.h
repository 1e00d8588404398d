#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace magnoliadrum {

/** Processor use of one entry on a VM, as a share of the VM's capacity. */
struct EntryLoad
{
  std::uint32_t entry = 0;
  double share = 0;
};

/**
 * Learns how much each entry slows each service down that shares a VM with it.
 *
 * The logarithm of a service's latency is modelled as a constant, plus a factor times the service's
 * own load, plus a factor per entry times that entry's processor share. The factors are fitted by
 * recursive least squares with forgetting, because interference shifts with load. Own load is a
 * term of its own, so a loaded service does not make its neighbours look guilty.
 */
class InterferenceModel
{
public:
  /**
   * Takes in one observation. aOwnLoad is the service's own processor share and aOthers what else
   * ran when the latency was measured.
   */
  void learn(std::uint32_t aService,
             double aLatencyMs,
             double aOwnLoad,
             const std::vector<EntryLoad>& aOthers);

  /** Expected latency in ms; zero when nothing is known about the service. */
  double predictMs(std::uint32_t aService,
                   double aOwnLoad,
                   const std::vector<EntryLoad>& aOthers) const;

  /**
   * Factor of an entry: the logarithm of the latency grows by it when the entry uses a whole VM.
   * Never negative; zero for an unknown pair.
   */
  double coefficient(std::uint32_t aService, std::uint32_t aEntry) const;

  /** Standard deviation of factor(); large while the pair was hardly observed. */
  double uncertainty(std::uint32_t aService, std::uint32_t aEntry) const;

  std::size_t bytes() const;

private:
  struct ServiceModel
  {
    std::int64_t samples = 0;
    /** Position of an entry's factor. */
    std::unordered_map<std::uint32_t, std::size_t> positions;
    std::vector<double> coefficients;
    /** Square matrix, by rows. */
    std::vector<double> covariance;
  };

  static std::vector<double> features(ServiceModel& aModel,
                                      double aOwnLoad,
                                      const std::vector<EntryLoad>& aOthers);
  static void addCoefficient(ServiceModel& aModel, double aVariance);
  static void update(ServiceModel& aModel, const std::vector<double>& aFeatures, double aTarget);

  std::unordered_map<std::uint32_t, ServiceModel> mServices;
};

} // namespace magnoliadrum
