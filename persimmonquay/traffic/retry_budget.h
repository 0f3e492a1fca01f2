// Bounds the arrivals beyond the first that all nodes together cause.
//
// Load pattern answered: upstreams that fail or reject part of their calls
// while every node wants to try again, so that repeats multiply the load of an
// outage.
#ifndef PERSIMMONQUAY_TRAFFIC_RETRY_BUDGET_H
#define PERSIMMONQUAY_TRAFFIC_RETRY_BUDGET_H

#include "persimmonquay/base/time.h"
#include <cstddef>
#include <cstdint>
#include <deque>

namespace persimmonquay {

/// The bound that holds over all nodes.
struct RetryLimits {
  /// Repeats allowed for each call.
  double Ratio = 0.2;
  /// Repeats allowed beside that in a window, for the whole fleet.
  double ExtraRetries = 60;
  Millis Window{10000};
};

/// One node's share of the budget of one service: the ratio of its own calls,
/// and an equal part of the fleet's fixed number. Shares add up to at most the
/// fleet's bound in every sliding window, without any message.
///
/// Pure; not thread-safe.
///
/// Example:
///   Budget.recordCall(Now);
///   if (failed() && Budget.trySpend(Nodes, Now))
///     repeat();
class RetryBudget {
public:
  explicit RetryBudget(RetryLimits Bounds) : Limits(Bounds) {}

  /// Records the first try of a call.
  void recordCall(MonoTime Now);

  /// Takes one repeat; returns false when none is left among `Nodes`
  /// nodes.
  bool trySpend(std::size_t Nodes, MonoTime Now);

  /// Counts repeats that have happened already, whether any were remaining or
  /// not.
  void charge(std::uint32_t Repeats, MonoTime Now);

  /// Returns how many repeats are left.
  double remaining(std::size_t Nodes, MonoTime Now);

private:
  struct Slice {
    MonoTime Start;
    std::uint32_t Calls = 0;
    std::uint32_t Repeats = 0;
  };

  Slice &currentSlice(MonoTime Now);
  void forgetBefore(MonoTime Oldest);

  RetryLimits Limits;
  std::deque<Slice> Slices;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_RETRY_BUDGET_H
