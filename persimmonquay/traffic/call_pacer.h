// Paces the calls to an upstream that states how many calls a second it takes.
//
// Handles this load pattern: an upstream in need takes fewer calls than it has
// slots for, from all nodes together, and says so in its responses. Calls that
// don't fit must wait or go elsewhere before they reach it.
#ifndef PERSIMMONQUAY_TRAFFIC_CALL_PACER_H
#define PERSIMMONQUAY_TRAFFIC_CALL_PACER_H

#include "persimmonquay/base/time.h"
#include <cstddef>
#include <optional>

namespace persimmonquay {

/// A token bucket whose rate can change. Without a limit, every call may start
/// at once. Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   Pacer.setLimit(8.7, Now);
///   if (Pacer.startTime(0, Now) <= Now) {
///     Pacer.recordSend(Now);
///     send();
///   }
class CallPacer {
public:
  // Commands.

  /// Sets the limit in calls a second, or none. A new limit starts with an
  /// empty bucket, since the upstream has just been getting more calls.
  void setLimit(std::optional<double> CallsPerSecond, MonoTime Now);

  /// Counts a call that is sent now. The bucket may become overdrawn by calls
  /// that can't wait.
  void recordSend(MonoTime Now);

  // Queries.

  /// Returns the limit as it was set.
  std::optional<double> limit() const { return this->Limit; }

  /// Returns the earliest time at which a call may be sent after `CallsAhead`
  /// others, `Now` or later.
  MonoTime startTime(std::size_t CallsAhead, MonoTime Now) const;

private:
  /// Returns the limit that is applied.
  double rate() const;
  double tokensAt(MonoTime Now) const;

  std::optional<double> Limit;
  double Tokens = 0;
  MonoTime TokensAt;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_CALL_PACER_H
