// Buckets of latency that all nodes share, so that counts can be added up.
#ifndef PERSIMMONQUAY_MOVE_LATENCY_BUCKETS_H
#define PERSIMMONQUAY_MOVE_LATENCY_BUCKETS_H

#include <chrono>
#include <cstddef>
#include <span>

namespace persimmonquay {

/// Each bucket is wider than the one before by the square root of two. The
/// first ends at 0.5 ms and the last but one at about 16 s.
inline constexpr std::size_t LatencyBucketCount = 32;

/// Returns the bucket into which `Latency` falls.
std::size_t latencyBucket(std::chrono::microseconds Latency);

/// Returns the smallest bucket such that at least `Fraction` of the counted
/// calls are in it or in a faster one; the last bucket when there are no calls.
std::size_t quantileBucket(std::span<const double> Counts, double Fraction);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MOVE_LATENCY_BUCKETS_H
