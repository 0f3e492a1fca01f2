// When a failed call to the store is made again.
//
// Handles a store that is silent or refuses calls for seconds or hours while
// many nodes wait for it: each learns of its return soon, and all of them
// together don't overload it.
#ifndef PERSIMMONQUAY_FLEET_STORE_RETRY_H
#define PERSIMMONQUAY_FLEET_STORE_RETRY_H

#include "persimmonquay/base/time.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

namespace persimmonquay {

/// Spaces the attempts of one kind of call. Attempts are spaced from start to
/// start, so that the time that a silent store has taken counts. The interval
/// grows with the time since the first failure, up to `maxInterval()`, and is
/// jittered. Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   StoreRetry Retry(Seed);
///   const MonoTime Start = monoNow();
///   while (!call())
///     pause(Retry.recordFailure(Start, monoNow(), Nodes.size()));
class StoreRetry {
public:
  /// Number of callers of a call that only a few nodes of each data centre make
  /// at a time.
  static constexpr std::size_t FewCallers = 100;

  /// Number of callers if it can't be known: the nodes of several data centres.
  static constexpr std::size_t UnknownCallers = 2500;

  explicit StoreRetry(std::uint64_t Seed) : Random(Seed) {}

  // Commands.

  /// Records that a call has succeeded.
  void recordSuccess() { this->FirstFailure.reset(); }

  /// Records that a call that started at `Start` has failed. `Callers` is the
  /// number of nodes that may be making the same call. Returns the time to wait
  /// until the next attempt.
  Millis recordFailure(MonoTime Start, MonoTime Now, std::size_t Callers);

  // Queries.

  /// Returns the largest interval between the attempts of one node.
  static Millis maxInterval(std::size_t Callers);

private:
  std::minstd_rand Random;
  /// Start of the first call that has failed since the last success.
  std::optional<MonoTime> FirstFailure;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_STORE_RETRY_H
