#include "persimmonquay/move/latency_buckets.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace persimmonquay {
namespace internal {

constexpr double FirstBucketMicros = 500.0;

/// Calls that are quicker are never slow.
constexpr std::chrono::microseconds MinSlowLatency{5000};

} // namespace internal

std::size_t latencyBucket(std::chrono::microseconds Latency) {
  const double Ratio =
      static_cast<double>(Latency.count()) / internal::FirstBucketMicros;
  if (Ratio <= 1.0)
    return 0;
  const auto Bucket =
      static_cast<std::size_t>(std::ceil(2.0 * std::log2(Ratio)));
  return std::min(Bucket, LatencyBucketCount - 1);
}

std::size_t quantileBucket(std::span<const double> Counts, double Fraction) {
  const double Total = std::accumulate(Counts.begin(), Counts.end(), 0.0);
  double Sum = 0.0;
  for (std::size_t I = 0; I < Counts.size(); ++I) {
    Sum += Counts[I];
    if (Total > 0.0 && Sum >= Fraction * Total)
      return I;
  }
  return LatencyBucketCount - 1;
}

std::size_t firstSlowBucket(std::span<const double> Counts, double Fraction) {
  return std::max(quantileBucket(Counts, Fraction) + 1,
                  latencyBucket(internal::MinSlowLatency));
}

} // namespace persimmonquay
