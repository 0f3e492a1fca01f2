// Latency histogram buckets. All nodes use the same ones, so that their counts
// can be added up.
#ifndef PERSIMMONQUAY_MOVE_LATENCY_BUCKETS_H
#define PERSIMMONQUAY_MOVE_LATENCY_BUCKETS_H

#include <chrono>
#include <cstddef>
#include <span>

namespace persimmonquay {

/// Number of buckets. The upper bounds grow by a factor of the square root of
/// two; the first is 0.5 ms and the last but one about 16 s.
inline constexpr std::size_t LatencyBucketCount = 32;

/// Returns the index of the bucket that contains `Latency`.
std::size_t latencyBucket(std::chrono::microseconds Latency);

/// Returns the index of the bucket that contains the `Fraction` quantile (0 to
/// 1) of the counted calls, that is the first one such that at least this
/// fraction of the calls is in it or in faster ones. Returns the last bucket if
/// there are no calls.
std::size_t quantileBucket(std::span<const double> Counts, double Fraction);

/// Returns the index of the first bucket whose calls count as slow, compared
/// with calls of which `Fraction` are not. Calls of a few milliseconds are
/// never slow: callers don't notice, and at this scale the noise of a host
/// decides.
std::size_t firstSlowBucket(std::span<const double> Counts, double Fraction);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MOVE_LATENCY_BUCKETS_H
