#include "observability/LatencyHistogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cassert>
#include <cmath>

namespace magnoliadrum {

namespace {

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Counts = boost::histogram::dense_storage<std::int64_t>;
using Histogram = boost::histogram::histogram<std::tuple<Axis>, Counts>;

Histogram
emptyHistogram()
{
  return boost::histogram::make_histogram_with(
    Counts(), Axis(kLatencyBuckets, kLatencyLowestMs, kLatencyHighestMs));
}

} // namespace

struct LatencyHistogram::Storage
{
  Histogram mHistogram = emptyHistogram();
  std::int64_t mTotal = 0;
};

LatencyHistogram::LatencyHistogram()
  : mStorage(std::make_unique<Storage>())
{
}

LatencyHistogram::LatencyHistogram(const LatencyHistogram& aOther)
  : mStorage(std::make_unique<Storage>(*aOther.mStorage))
{
}

LatencyHistogram&
LatencyHistogram::operator=(const LatencyHistogram& aOther)
{
  if (this != &aOther) {
    *mStorage = *aOther.mStorage;
  }
  return *this;
}

LatencyHistogram::~LatencyHistogram() = default;

LatencyHistogram
LatencyHistogram::fromCounts(const std::vector<std::int64_t>& aCounts)
{
  LatencyHistogram result;
  const int known = std::min<int>(kLatencyBuckets + 2, static_cast<int>(aCounts.size()));
  for (int position = 0; position < known; position++) {
    result.mStorage->mHistogram.at(position - 1) = aCounts[position];
    result.mStorage->mTotal += aCounts[position];
  }
  return result;
}

void
LatencyHistogram::record(double aMs)
{
  assert(std::isfinite(aMs));
  mStorage->mHistogram(std::max(aMs, 0.0));
  mStorage->mTotal++;
}

std::int64_t
LatencyHistogram::total() const
{
  return mStorage->mTotal;
}

double
LatencyHistogram::quantile(double aShare) const
{
  assert(aShare >= 0 && aShare <= 1);
  if (total() == 0) {
    return 0;
  }
  const std::int64_t rank =
    std::max<std::int64_t>(1, std::ceil(aShare * static_cast<double>(total())));
  std::int64_t seen = 0;
  for (int bucket = -1; bucket <= kLatencyBuckets; bucket++) {
    seen += mStorage->mHistogram.at(bucket);
    if (seen >= rank) {
      return bucket == kLatencyBuckets ? kLatencyHighestMs
                                       : mStorage->mHistogram.axis().bin(bucket).upper();
    }
  }
  return kLatencyHighestMs;
}

std::int64_t
LatencyHistogram::countUpTo(double aMs) const
{
  const int last = mStorage->mHistogram.axis().index(aMs);
  std::int64_t seen = 0;
  for (int bucket = -1; bucket <= last; bucket++) {
    seen += mStorage->mHistogram.at(bucket);
  }
  return seen;
}

std::vector<std::int64_t>
LatencyHistogram::counts() const
{
  std::vector<std::int64_t> result;
  result.reserve(kLatencyBuckets + 2);
  for (int bucket = -1; bucket <= kLatencyBuckets; bucket++) {
    result.push_back(mStorage->mHistogram.at(bucket));
  }
  return result;
}

void
LatencyHistogram::merge(const LatencyHistogram& aOther)
{
  mStorage->mHistogram += aOther.mStorage->mHistogram;
  mStorage->mTotal += aOther.mStorage->mTotal;
}

} // namespace magnoliadrum
