#include "placement/InterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

namespace {

/** Keeps the weight of about the last 500 observations. */
constexpr double kForgetting = 0.998;
/** Bounds the matrix of one service to 5 KB; further entries count as having no effect. */
constexpr std::size_t kMostFactors = 26;
constexpr std::size_t kConstant = 0;
constexpr std::size_t kOwnLoad = 1;
constexpr double kConstantVariance = 100;
/** A pair at full load is not expected to slow a service down by more than about e^2. */
constexpr double kFactorVariance = 4;
/** Forgetting must not let the variance of a factor grow that is not observed for a while. */
constexpr double kLargestVariance = 100;
/** Relative noise of a measured p99 of about 0.2. */
constexpr double kNoiseVariance = 0.04;
constexpr double kLargestExponent = 20;

} // namespace

void
InterferenceModel::learn(std::uint32_t aService,
                         double aLatencyMs,
                         double aOwnLoad,
                         const std::vector<EntryLoad>& aOthers)
{
  if (aLatencyMs <= 0) {
    return;
  }
  ServiceModel& model = mServices[aService];
  if (model.samples == 0) {
    addFactor(model, kConstantVariance);
    addFactor(model, kFactorVariance);
    model.factors[kConstant] = std::log(aLatencyMs);
  }
  ++model.samples;
  update(model, features(model, aOwnLoad, aOthers), std::log(aLatencyMs));
}

void
InterferenceModel::addFactor(ServiceModel& aModel, double aVariance)
{
  const std::size_t before = aModel.factors.size();
  const std::size_t after = before + 1;
  std::vector<double> larger(after * after, 0.0);
  for (std::size_t row = 0; row < before; ++row) {
    std::copy_n(aModel.covariance.begin() + static_cast<std::ptrdiff_t>(row * before),
                before,
                larger.begin() + static_cast<std::ptrdiff_t>(row * after));
  }
  larger[before * after + before] = aVariance;
  aModel.covariance = std::move(larger);
  aModel.factors.push_back(0);
}

std::vector<double>
InterferenceModel::features(ServiceModel& aModel,
                            double aOwnLoad,
                            const std::vector<EntryLoad>& aOthers)
{
  for (const EntryLoad& other : aOthers) {
    if (other.share > 0 && aModel.factors.size() < kMostFactors &&
        aModel.positions.try_emplace(other.entry, aModel.factors.size()).second) {
      addFactor(aModel, kFactorVariance);
    }
  }
  std::vector<double> result(aModel.factors.size(), 0.0);
  result[kConstant] = 1;
  result[kOwnLoad] = aOwnLoad;
  for (const EntryLoad& other : aOthers) {
    const auto position = aModel.positions.find(other.entry);
    if (position != aModel.positions.end()) {
      result[position->second] += other.share;
    }
  }
  return result;
}

void
InterferenceModel::update(ServiceModel& aModel,
                          const std::vector<double>& aFeatures,
                          double aTarget)
{
  const std::size_t size = aFeatures.size();
  std::vector<double> spread(size, 0.0);
  double error = aTarget;
  double total = kNoiseVariance;
  for (std::size_t row = 0; row < size; ++row) {
    for (std::size_t column = 0; column < size; ++column) {
      spread[row] += aModel.covariance[row * size + column] * aFeatures[column];
    }
    error -= aModel.factors[row] * aFeatures[row];
    total += aFeatures[row] * spread[row];
  }
  for (std::size_t row = 0; row < size; ++row) {
    aModel.factors[row] += spread[row] / total * error;
    for (std::size_t column = 0; column < size; ++column) {
      aModel.covariance[row * size + column] -= spread[row] * spread[column] / total;
    }
  }
  for (std::size_t row = 0; row < size; ++row) {
    if (aModel.covariance[row * size + row] >= kLargestVariance) {
      return;
    }
  }
  for (double& value : aModel.covariance) {
    value /= kForgetting;
  }
}

double
InterferenceModel::predictMs(std::uint32_t aService,
                             double aOwnLoad,
                             const std::vector<EntryLoad>& aOthers) const
{
  const auto model = mServices.find(aService);
  if (model == mServices.end()) {
    return 0;
  }
  double exponent =
    model->second.factors[kConstant] + std::max(0.0, model->second.factors[kOwnLoad]) * aOwnLoad;
  for (const EntryLoad& other : aOthers) {
    exponent += factor(aService, other.entry) * other.share;
  }
  return std::exp(std::min(exponent, kLargestExponent));
}

double
InterferenceModel::factor(std::uint32_t aService, std::uint32_t aEntry) const
{
  const auto model = mServices.find(aService);
  if (model == mServices.end()) {
    return 0;
  }
  const auto position = model->second.positions.find(aEntry);
  return position == model->second.positions.end()
           ? 0
           : std::max(0.0, model->second.factors[position->second]);
}

double
InterferenceModel::uncertainty(std::uint32_t aService, std::uint32_t aEntry) const
{
  const auto model = mServices.find(aService);
  if (model == mServices.end()) {
    return std::sqrt(kFactorVariance);
  }
  const auto position = model->second.positions.find(aEntry);
  if (position == model->second.positions.end()) {
    return std::sqrt(kFactorVariance);
  }
  const std::size_t size = model->second.factors.size();
  return std::sqrt(
    std::max(0.0, model->second.covariance[position->second * size + position->second]));
}

std::size_t
InterferenceModel::bytes() const
{
  std::size_t total = 0;
  for (const auto& [service, model] : mServices) {
    total +=
      sizeof(ServiceModel) + (model.factors.size() + model.covariance.size()) * sizeof(double);
  }
  return total;
}

} // namespace magnoliadrum
