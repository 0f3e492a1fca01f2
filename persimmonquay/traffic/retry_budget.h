// Limits the retries that all nodes together send to a service.
//
// Handles this load pattern: upstreams fail or reject some of their calls, and
// every node wants to retry them, so that retries multiply the load during an
// outage.
#ifndef PERSIMMONQUAY_TRAFFIC_RETRY_BUDGET_H
#define PERSIMMONQUAY_TRAFFIC_RETRY_BUDGET_H

#include "persimmonquay/base/time.h"
#include <cstddef>
#include <cstdint>
#include <deque>

namespace persimmonquay {

/// Limits on the retries of all nodes together.
struct RetryLimits {
  /// Retries allowed for each call.
  double Ratio = 0.2;
  /// Retries that all nodes together may send in a window in addition.
  double ExtraRetries = 60;
  /// Length of the sliding window over which calls and retries are counted.
  Millis Window{10000};
};

/// One node's share of the retry budget of one service: the ratio of its own
/// calls plus an equal part of `ExtraRetries`. The shares of all nodes add up
/// to at most the fleet's limit in every sliding window, without any messages
/// between nodes.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   Budget.recordCall(Now);
///   if (failed() && Budget.trySpend(NodeCount, Now))
///     retry();
class RetryBudget {
public:
  explicit RetryBudget(RetryLimits Limits) : Limits(Limits) {}

  /// Records the first attempt of a call.
  void recordCall(MonoTime Now);

  /// Takes one retry out of this node's share of the budget, which is divided
  /// among `NodeCount` nodes. Returns false if none is left.
  bool trySpend(std::size_t NodeCount, MonoTime Now);

  /// Counts retries that have been sent already, even if none were left.
  void charge(std::uint32_t Retries, MonoTime Now);

  /// Returns how many retries this node has left; negative if it was charged
  /// for more than its share.
  double remaining(std::size_t NodeCount, MonoTime Now);

private:
  /// Counts of one part of the window.
  struct Slice {
    MonoTime Start;
    std::uint32_t Calls = 0;
    std::uint32_t Retries = 0;
  };

  Slice &currentSlice(MonoTime Now);
  void dropSlicesBefore(MonoTime Time);

  RetryLimits Limits;
  std::deque<Slice> Slices;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_RETRY_BUDGET_H
