// Bounds the calls to an upstream that is cold: slow and easily overloaded for
// some time after its start.
//
// Handles these load patterns:
//  - An upstream that has just started, among warm ones. It takes a few calls a
//    second from all nodes together and ends if it gets many more.
//  - All upstreams of a service cold at once under full load, for instance
//    after all hosts have lost their power. Without a bound that holds from the
//    first call, they end, come back cold, and end again.
//  - Callers and nodes that come back after a refusal. They are told different
//    times, at which there is room for one of them after the other.
//  - Calls that other upstreams make while they run a call, beside those of
//    callers. If one is refused, the work of the call that needs it is lost, so
//    that some room is kept for them while there are any.
//  - An upstream that turns cold while it serves calls, or of which nobody has
//    told whether it is cold. It is taken to be cold until it has said
//    otherwise or the service's cold time has passed.
#ifndef PERSIMMONQUAY_TRAFFIC_COLD_START_LIMITER_H
#define PERSIMMONQUAY_TRAFFIC_COLD_START_LIMITER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/traffic/call_pacer.h"
#include <cstddef>
#include <optional>
#include <string_view>

namespace persimmonquay {

/// Reason of a rejection because a cold upstream takes no further call at this
/// moment.
inline constexpr std::string_view ColdReason = "the upstream is cold";

/// What is known of the coldness of one upstream, and the bound that follows
/// from it. Without a rate, calls are not limited, but what is known is kept
/// for the time when a configuration sets one.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   Limiter.setLimits(Service.Duration, Service.CallsPerSecond, Now);
///   Limiter.assumeCold(Now);
///   const std::size_t Ahead = Limiter.callsAhead(Waiting, IsNested, Now);
///   if (Limiter.mayStart(Ahead, Now)) {
///     Limiter.recordSend(Now);
///     send();
///   } else {
///     reject(Limiter.scheduleReturn(Ahead, Now));
///   }
class ColdStartLimiter {
public:
  // Commands.

  /// Sets how long upstreams of the service are cold after a start, or 0 if
  /// that is unknown, and how many calls a second a cold one takes, or 0 if it
  /// takes any number.
  void setLimits(Millis ColdDuration, double CallsPerSecond, MonoTime Now);

  /// Takes the upstream to be cold as if it had just started.
  void assumeCold(MonoTime Now);

  /// Records how much longer the upstream is cold by its own account. Replaces
  /// what was known or assumed. Times beyond a bound are cut to it.
  void recordRemaining(Millis ColdTime, MonoTime Now);

  /// Counts a call that is sent to the upstream now.
  void recordSend(MonoTime Now);

  /// Notes that another upstream's call is offered now; see `callsAhead()`.
  void recordNestedOffer(MonoTime Now) { this->NestedOfferAt = Now; }

  /// Returns after how long a call that is refused now finds room. Each refused
  /// call is told another time.
  Micros scheduleReturn(std::size_t CallsAhead, MonoTime Now);

  // Queries.

  /// Returns whether the calls to the upstream are limited.
  bool isCold(MonoTime Now) const {
    return this->CallsPerSecond > 0 && Now < this->coldUntil();
  }

  /// Returns whether the upstream is only assumed to be cold.
  bool isAssumed(MonoTime Now) const {
    return this->AssumedAt && this->isCold(Now);
  }

  /// Returns how much longer the calls are limited; 0 if they are not.
  Millis remaining(MonoTime Now) const;

  /// Returns how many calls go before one that arrives now: those that wait for
  /// a slot and, unless another upstream makes it, a few for which room is kept
  /// if upstreams have made calls lately.
  std::size_t callsAhead(std::size_t WaitingCalls, bool IsNested,
                         MonoTime Now) const;

  /// Returns when a call may be sent after `CallsAhead` others, `Now` or later.
  MonoTime startTime(std::size_t CallsAhead, MonoTime Now) const;

  bool mayStart(std::size_t CallsAhead, MonoTime Now) const {
    return this->startTime(CallsAhead, Now) <= Now;
  }

private:
  MonoTime coldUntil() const;
  /// Empties the bucket if the upstream has been warm.
  void prepareBucket(MonoTime Now);

  Millis Duration{0};
  double CallsPerSecond = 0;
  /// Until when the upstream is cold by its own account.
  MonoTime ToldUntil;
  /// When the upstream was last assumed to have started, if it has not said
  /// anything since.
  std::optional<MonoTime> AssumedAt;
  CallPacer Pacer;
  std::optional<MonoTime> NestedOfferAt;
  /// The time that was told to the last refused call.
  MonoTime LastReturn;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_COLD_START_LIMITER_H
