// Admission of calls to one upstream: its slots, and a bounded queue ordered by
// priority and deadline.
#ifndef PERSIMMONQUAY_ROUTING_ADMISSION_GATE_H
#define PERSIMMONQUAY_ROUTING_ADMISSION_GATE_H

#include "persimmonquay/base/time.h"
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>

namespace persimmonquay {

/// A call that asks for a slot. Lower priority numbers are more important.
struct AdmissionRequest {
  int Priority = 0;
  MonoTime Deadline;
};

enum class AdmissionResult {
  Admitted,
  /// The queue was full of calls at least as important.
  Shed,
  /// No slot came free before the deadline.
  DeadlineExceeded,
  /// The upstream takes no new work.
  Draining,
};

/// Admits at most as many calls at once as the upstream has slots. A free slot
/// goes to the most important waiting call and among equals to the one whose
/// deadline is nearest. When the queue is full, the least important call is
/// refused, be it the new one or one that waits.
///
/// Thread-safe.
///
/// Example:
///   if (Gate.acquire({Priority, Deadline}) == AdmissionResult::Admitted) {
///     run();
///     Gate.release();
///   }
class AdmissionGate {
public:
  AdmissionGate(std::size_t Slots, std::size_t QueueLimit);

  // Commands.

  /// Waits for a slot until the deadline. Every Admitted must be followed by
  /// one `release()`.
  AdmissionResult acquire(const AdmissionRequest &Request);

  void release();

  /// Changes the limits; calls already admitted keep their slots.
  void resize(std::size_t Slots, std::size_t QueueLimit);

  /// Refuses new and waiting calls from now on, or accepts them again.
  void setDraining(bool Value);

  // Queries.

  std::size_t running() const;
  std::size_t waiting() const;

  /// Waits until nothing runs; returns false when `Timeout` passed before.
  bool waitUntilIdle(Millis Timeout) const;

private:
  struct Waiter {
    AdmissionRequest Request;
    std::uint64_t Sequence;
    std::condition_variable Wakeup;
    bool Decided = false;
    AdmissionResult Result = AdmissionResult::Shed;
  };
  struct MoreImportant {
    bool operator()(const Waiter *Left, const Waiter *Right) const;
  };

  void decideLocked(Waiter *Waiting, AdmissionResult Result);
  void admitWaitingLocked();

  mutable std::mutex Mutex;
  mutable std::condition_variable Idle;
  std::set<Waiter *, MoreImportant> Queue;
  std::size_t Slots;
  std::size_t QueueLimit;
  std::size_t Running = 0;
  std::uint64_t NextSequence = 0;
  bool Draining = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_ADMISSION_GATE_H
