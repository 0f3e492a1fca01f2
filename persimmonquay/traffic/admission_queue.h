// Decides which calls an upstream runs now, which wait and which are rejected.
//
// Load patterns answered: a burst or lost capacity that offers more than the
// upstream can serve in time (calls that can't make it are rejected when they
// arrive, not when their time is up), calls of unequal priority on one service
// (the more important goes first and is never pushed out by a lesser one),
// short calls among long ones, as upstreams make them while they run others
// (they hardly delay anybody, and their failure wastes the work of the call
// that needs them: never demoted for being late), callers that return after a
// rejection (what is already late uses only room that nobody on time needs),
// and upstreams that hang or slow down when they are given more than they have
// slots.
#ifndef PERSIMMONQUAY_TRAFFIC_ADMISSION_QUEUE_H
#define PERSIMMONQUAY_TRAFFIC_ADMISSION_QUEUE_H

#include "persimmonquay/base/time.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace persimmonquay {

/// A call that asks to be run.
struct QueuedCall {
  std::uint64_t Id = 0;
  /// 0 is the most important.
  std::uint32_t Priority = 0;
  /// Answers after this are worth less.
  MonoTime Objective;
  /// Answers after this are worth nothing.
  MonoTime Deadline;
  /// Expected time at the upstream.
  Micros Work{0};
  /// Time by which the upstream has ended most calls of this kind; whether a
  /// call will be on time is judged by this.
  Micros UpperServiceTime{0};
};

/// A call that will not run.
struct RejectedCall {
  std::uint64_t Id = 0;
  std::string_view Reason;
  /// Time after which there is room for a call like this one.
  Micros RetryAfter{0};
};

/// Reason of a rejection that only says that the wait is longer than allowed.
inline constexpr std::string_view BusyReason = "busy";

enum class AdmissionVerdict { Start, Wait, Reject };

/// The answer to an offered call.
struct Admission {
  AdmissionVerdict Verdict = AdmissionVerdict::Start;
  /// Set with Reject.
  RejectedCall Rejection;
  /// Less important waiting calls that gave way.
  std::vector<RejectedCall> Displaced;
};

/// The slots of one upstream and the calls that wait for them.
///
/// A pure state machine: reads no clock and does no input or output. Not
/// thread-safe.
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

  /// Offers a call. With Start it occupies a slot; with Wait `startNext()` or
  /// `expire()` will name it later. It is rejected when its predicted wait is
  /// longer than `MaxWait`, or when it can't end before its deadline, or when
  /// it could only end late while others that would be on time need the room.
  Admission offer(const QueuedCall &Call, Micros MaxWait, MonoTime Now);

  /// Frees the slot of a call that ran.
  void finish(std::uint64_t Id);

  /// Moves the best waiting call into a free slot and returns it.
  std::optional<std::uint64_t> startNext(MonoTime Now);

  /// Removes a waiting call; returns false when it doesn't wait.
  bool cancel(std::uint64_t Id);

  /// Removes and returns the waiting calls that can't be served in time any
  /// more.
  std::vector<RejectedCall> expire(MonoTime Now);

  /// Removes and returns all waiting calls.
  std::vector<RejectedCall> clear(std::string_view Reason);

  void resize(std::size_t SlotCount) { this->Slots = SlotCount; }

  // Queries.

  /// Returns why `offer()` would reject the call now, or none when it would
  /// take it.
  std::optional<RejectedCall> whyRejected(const QueuedCall &Call,
                                          Micros MaxWait, MonoTime Now) const;

  /// Returns how long `Call` would wait if it arrived now.
  Micros predictedWait(const QueuedCall &Call, MonoTime Now) const;

  /// Returns the wait of an ordinary call that arrives now.
  Micros predictedWait(MonoTime Now) const;

  /// Returns when `expire()` may next have something to do.
  std::optional<MonoTime> nextExpiry() const;

  std::size_t running() const { return this->Running.size(); }
  std::size_t waiting() const { return this->Waiting.size(); }
  std::size_t slots() const { return this->Slots; }

private:
  struct RunningCall {
    std::uint64_t Id;
    MonoTime Start;
    Micros Work;
  };
  struct WaitingCall {
    QueuedCall Call;
    MonoTime Arrival;
    std::uint64_t Sequence;
    /// When `expire()` looks at it next.
    MonoTime NextCheck;
  };

  /// Whether a call that arrives now gets a slot at once.
  bool hasRoom() const {
    return this->Running.size() < this->Slots && this->Waiting.empty();
  }
  bool isLate(const QueuedCall &Call, MonoTime Now) const;
  bool isShort(const QueuedCall &Call) const;
  bool goesBefore(const WaitingCall &Left, const WaitingCall &Right,
                  MonoTime Now) const;
  std::vector<MonoTime> slotTimes(MonoTime Now) const;
  MonoTime predictedStart(const WaitingCall &Asked, MonoTime Now) const;
  std::optional<std::string_view> whyHopeless(const QueuedCall &Call,
                                              Micros Wait, MonoTime Now) const;
  Micros timeToRoom(const QueuedCall &Call, Micros Wait, MonoTime Now) const;

  std::size_t Slots;
  std::vector<RunningCall> Running;
  std::vector<WaitingCall> Waiting;
  std::uint64_t NextSequence = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_ADMISSION_QUEUE_H
