// Admission control for one upstream: decides which calls run now, which wait
// and which are rejected.
//
// Handles these load patterns:
//  - A burst or lost capacity, so that more calls arrive than the upstream can
//    serve in time. Calls that can't finish in time are rejected on arrival,
//    not when their deadline expires. Under sustained load the queue is kept
//    short, so that few of the served calls end late; a short burst may fill
//    it.
//  - Calls of different priority on one service. The more important call goes
//    first and is never displaced by a less important one.
//  - Short calls among long ones, such as the nested calls that upstreams make
//    while they serve other calls. They are never demoted for being late: they
//    hardly delay other calls, and if one fails, the work of the call that
//    needs it is wasted.
//  - More calls than the upstream can serve for seconds on end; see
//    `ShortageTally`. Nested calls go first then, since the work of their
//    callers would be lost; kinds of call that hardly get served come next, and
//    among calls of one priority, those that take less work have precedence.
//  - Callers that retry after a rejection. A call that is already late only
//    uses capacity that no on-time call needs.
//  - Upstreams that hang or slow down when they run more calls at once than
//    they have slots.
//  - Upstreams that take fewer calls a second than they have slots for. Calls
//    beyond that wait like calls without a slot.
#ifndef PERSIMMONQUAY_TRAFFIC_ADMISSION_QUEUE_H
#define PERSIMMONQUAY_TRAFFIC_ADMISSION_QUEUE_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/traffic/call_pacer.h"
#include "persimmonquay/traffic/shortage_tally.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace persimmonquay {

/// A call offered to an `AdmissionQueue`.
struct QueuedCall {
  std::uint64_t Id = 0;
  /// Lower values are more important; 0 is the highest priority.
  std::uint32_t Priority = 0;
  /// Latency objective; a response after this time is late and worth less.
  MonoTime Objective;
  /// A response after this time is worth nothing.
  MonoTime Deadline;
  /// Expected processing time at the upstream.
  Micros ProcessingTime{0};
  /// Time within which the upstream completes most calls of this kind. Used to
  /// predict whether the call will meet its latency objective.
  Micros UpperProcessingTime{0};
  /// Calls of one kind are alike; see `ShortageTally`.
  std::uint64_t Kind = 0;
  /// Made by an upstream while it runs another call, which fails if this one
  /// does.
  bool Nested = false;
};

/// A call that will not run.
struct RejectedCall {
  std::uint64_t Id = 0;
  std::string_view Reason;
  /// Estimated time until the queue can accept a call like this one.
  Micros RetryAfter{0};
};

/// Reason of a rejection whose only cause is that the predicted wait is longer
/// than the caller's `MaxWait`.
inline constexpr std::string_view BusyReason = "busy";

enum class AdmissionVerdict { Start, Wait, Reject };

/// The result of `AdmissionQueue::offer()`.
struct Admission {
  AdmissionVerdict Verdict = AdmissionVerdict::Start;
  /// Only set if `Verdict` is `Reject`.
  RejectedCall Rejection;
  /// Waiting calls that were removed in favour of this one, since they can no
  /// longer be served in time.
  std::vector<RejectedCall> Displaced;
};

/// The slots of one upstream and the calls that wait for a slot.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   AdmissionQueue Queue(9);
///   switch (Queue.offer(Call, MaxWait, Now).Verdict) { ... }
///   // When a call has ended:
///   Queue.finish(Id);
///   while (std::optional<std::uint64_t> Next = Queue.startNext(Now))
///     run(*Next);
class AdmissionQueue {
public:
  explicit AdmissionQueue(std::size_t SlotCount) : Slots(SlotCount) {}

  // Commands.

  /// Offers a call. With verdict `Start` it occupies a slot; with `Wait` a
  /// later `startNext()` or `expire()` returns it. A call is rejected if its
  /// predicted wait is longer than `MaxWait`, if it can't finish before its
  /// deadline, or if it would be late and on-time calls need the capacity.
  Admission offer(const QueuedCall &Call, Micros MaxWait, MonoTime Now);

  /// Frees the slot of a running call.
  void finish(std::uint64_t Id);

  /// Moves the waiting call with the highest precedence into a free slot and
  /// returns its id; none if no call waits or no slot is free.
  std::optional<std::uint64_t> startNext(MonoTime Now);

  /// Removes a waiting call; returns false if no such call waits.
  bool cancel(std::uint64_t Id);

  /// Removes and returns the waiting calls that can no longer be served in
  /// time.
  std::vector<RejectedCall> expire(MonoTime Now);

  /// Removes and returns all waiting calls.
  std::vector<RejectedCall> clear(std::string_view Reason);

  void resize(std::size_t SlotCount) { this->Slots = SlotCount; }

  /// Sets how many calls a second may start, or no limit.
  void setRateLimit(std::optional<double> CallsPerSecond, MonoTime Now) {
    this->Pacer.setLimit(CallsPerSecond, Now);
  }

  /// Counts a running call that is sent to the upstream once more.
  void recordResend(MonoTime Now) { this->Pacer.recordSend(Now); }

  // Queries.

  /// Returns the rejection that `offer()` would give now, or none if it would
  /// accept the call. Doesn't change the queue.
  std::optional<RejectedCall> whyRejected(const QueuedCall &Call,
                                          Micros MaxWait, MonoTime Now) const;

  /// Returns how long `Call` would wait if it arrived now.
  Micros predictedWait(const QueuedCall &Call, MonoTime Now) const;

  /// Returns how long an on-time call of the lowest priority would wait if it
  /// arrived now.
  Micros predictedWait(MonoTime Now) const;

  /// Returns the next time at which `expire()` may have something to do; none
  /// if no call waits.
  std::optional<MonoTime> nextExpiry() const;

  /// Returns when `startNext()` may return a call although none ends before;
  /// none if no call waits or no slot is free.
  std::optional<MonoTime> nextStart(MonoTime Now) const;

  /// Returns the calls that were started and turned away lately.
  const ShortageTally &tally() const { return this->Tally; }

  std::optional<double> rateLimit() const { return this->Pacer.limit(); }
  std::size_t running() const { return this->Running.size(); }
  std::size_t waiting() const { return this->Waiting.size(); }
  std::size_t slots() const { return this->Slots; }

private:
  struct RunningCall {
    std::uint64_t Id;
    MonoTime Start;
    Micros ProcessingTime;
  };
  struct WaitingCall {
    QueuedCall Call;
    MonoTime Arrival;
    std::uint64_t Sequence;
    /// When `expire()` checks this call again.
    MonoTime NextCheck;
  };

  /// Returns whether a call that arrives now gets a slot without waiting.
  bool canStartNow(MonoTime Now) const {
    return this->Running.size() < this->Slots && this->Waiting.empty() &&
           this->Pacer.startTime(0, Now) <= Now;
  }
  /// Returns whether the call would miss its latency objective even if it
  /// started now. Short calls never count as late.
  bool isLate(const QueuedCall &Call, MonoTime Now) const;
  /// Returns whether the call is nested, or short compared with the other calls
  /// here.
  bool isShort(const QueuedCall &Call) const;
  /// Returns whether `Left` starts before `Right`: by priority, then on-time
  /// before late calls, then by latency objective, then by arrival. In a
  /// shortage, nested calls and then calls of starved kinds go before all
  /// others, and the work of a call counts beside its objective.
  bool precedes(const WaitingCall &Left, const WaitingCall &Right,
                MonoTime Now) const;
  /// Returns when each slot is expected to become free.
  std::vector<MonoTime> slotFreeTimes(MonoTime Now) const;
  /// Returns when `Waiter` is expected to start, after the waiting calls that
  /// precede it.
  MonoTime predictedStart(const WaitingCall &Waiter, MonoTime Now) const;
  /// Returns why a call that has to wait for `Wait` should not be served, or
  /// none if it should.
  std::optional<std::string_view> whyTooLate(const QueuedCall &Call,
                                             Micros Wait, MonoTime Now) const;
  /// Returns by what the time that a call can spare is divided to get the
  /// longest wait that it is admitted for.
  int slackDivisor(MonoTime Now) const;
  /// Returns the `RetryAfter` of a rejected call whose predicted wait is
  /// `Wait`.
  Micros retryDelay(const QueuedCall &Call, Micros Wait, MonoTime Now) const;

  std::size_t Slots;
  CallPacer Pacer;
  ShortageTally Tally;
  std::vector<RunningCall> Running;
  std::vector<WaitingCall> Waiting;
  /// Since when calls have been waiting without a break; valid if any wait.
  MonoTime WaitingSince;
  std::uint64_t NextSequence = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_ADMISSION_QUEUE_H
