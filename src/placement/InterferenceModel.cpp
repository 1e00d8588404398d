#include "placement/InterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

namespace {

/** Corresponds to a window of about 500 observations. */
constexpr double kForgettingFactor = 0.998;
/** Limits the matrix of one service to 5 KB; further entries are modelled as having no effect. */
constexpr std::size_t kMaxCoefficients = 26;
constexpr std::size_t kConstantPosition = 0;
constexpr std::size_t kOwnLoadPosition = 1;
constexpr double kConstantVariance = 100;
/** Initial variance; expects an entry at full load to slow a service down by at most about e^2. */
constexpr double kCoefficientVariance = 4;
/** Limit for forgetting; without it the variance of unobserved coefficients would keep growing. */
constexpr double kMaxVariance = 100;
/** Corresponds to a relative noise of about 0.2 in a measured p99. */
constexpr double kNoiseVariance = 0.04;
constexpr double kMaxExponent = 20;

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
    addCoefficient(model, kConstantVariance);
    addCoefficient(model, kCoefficientVariance);
    model.coefficients[kConstantPosition] = std::log(aLatencyMs);
  }
  ++model.samples;
  update(model, features(model, aOwnLoad, aOthers), std::log(aLatencyMs));
}

void
InterferenceModel::addCoefficient(ServiceModel& aModel, double aVariance)
{
  const std::size_t before = aModel.coefficients.size();
  const std::size_t after = before + 1;
  std::vector<double> extended(after * after, 0.0);
  for (std::size_t row = 0; row < before; ++row) {
    std::copy_n(aModel.covariance.begin() + static_cast<std::ptrdiff_t>(row * before),
                before,
                extended.begin() + static_cast<std::ptrdiff_t>(row * after));
  }
  extended[before * after + before] = aVariance;
  aModel.covariance = std::move(extended);
  aModel.coefficients.push_back(0);
}

std::vector<double>
InterferenceModel::features(ServiceModel& aModel,
                            double aOwnLoad,
                            const std::vector<EntryLoad>& aOthers)
{
  for (const EntryLoad& other : aOthers) {
    if (other.share > 0 && aModel.coefficients.size() < kMaxCoefficients &&
        aModel.positions.try_emplace(other.entry, aModel.coefficients.size()).second) {
      addCoefficient(aModel, kCoefficientVariance);
    }
  }
  std::vector<double> result(aModel.coefficients.size(), 0.0);
  result[kConstantPosition] = 1;
  result[kOwnLoadPosition] = aOwnLoad;
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
                          double aLogLatency)
{
  const std::size_t size = aFeatures.size();
  std::vector<double> projection(size, 0.0);
  double error = aLogLatency;
  double predictionVariance = kNoiseVariance;
  for (std::size_t row = 0; row < size; ++row) {
    for (std::size_t column = 0; column < size; ++column) {
      projection[row] += aModel.covariance[row * size + column] * aFeatures[column];
    }
    error -= aModel.coefficients[row] * aFeatures[row];
    predictionVariance += aFeatures[row] * projection[row];
  }
  for (std::size_t row = 0; row < size; ++row) {
    aModel.coefficients[row] += projection[row] / predictionVariance * error;
    for (std::size_t column = 0; column < size; ++column) {
      aModel.covariance[row * size + column] -=
        projection[row] * projection[column] / predictionVariance;
    }
  }
  for (std::size_t row = 0; row < size; ++row) {
    if (aModel.covariance[row * size + row] >= kMaxVariance) {
      return;
    }
  }
  for (double& value : aModel.covariance) {
    value /= kForgettingFactor;
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
  double exponent = model->second.coefficients[kConstantPosition] +
                    std::max(0.0, model->second.coefficients[kOwnLoadPosition]) * aOwnLoad;
  for (const EntryLoad& other : aOthers) {
    exponent += coefficient(aService, other.entry) * other.share;
  }
  return std::exp(std::min(exponent, kMaxExponent));
}

double
InterferenceModel::coefficient(std::uint32_t aService, std::uint32_t aEntry) const
{
  const auto model = mServices.find(aService);
  if (model == mServices.end()) {
    return 0;
  }
  const auto position = model->second.positions.find(aEntry);
  return position == model->second.positions.end()
           ? 0
           : std::max(0.0, model->second.coefficients[position->second]);
}

double
InterferenceModel::uncertainty(std::uint32_t aService, std::uint32_t aEntry) const
{
  const auto model = mServices.find(aService);
  if (model == mServices.end()) {
    return std::sqrt(kCoefficientVariance);
  }
  const auto position = model->second.positions.find(aEntry);
  if (position == model->second.positions.end()) {
    return std::sqrt(kCoefficientVariance);
  }
  const std::size_t size = model->second.coefficients.size();
  return std::sqrt(
    std::max(0.0, model->second.covariance[position->second * size + position->second]));
}

std::size_t
InterferenceModel::bytes() const
{
  std::size_t size = 0;
  for (const auto& [service, model] : mServices) {
    size +=
      sizeof(ServiceModel) + (model.coefficients.size() + model.covariance.size()) * sizeof(double);
  }
  return size;
}

} // namespace magnoliadrum
