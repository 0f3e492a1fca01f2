// Admission control for one upstream: a limit on concurrent calls and a bounded
// queue of waiting calls, ordered by priority and deadline.
#ifndef PERSIMMONQUAY_ROUTING_ADMISSION_GATE_H
#define PERSIMMONQUAY_ROUTING_ADMISSION_GATE_H

#include "persimmonquay/base/time.h"
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>

namespace persimmonquay {

/// A call that requests a slot. Lower `Priority` values are more important.
struct AdmissionRequest {
  int Priority = 0;
  MonoTime Deadline;
};

enum class AdmissionResult {
  Admitted,
  /// The queue was full, and no call in it was less important.
  Shed,
  /// No slot became free before the deadline.
  DeadlineExceeded,
  /// The upstream is draining and accepts no new calls.
  Draining,
};

/// Admits at most as many concurrent calls as the upstream has slots. A free
/// slot goes to the most important waiting call and, at equal priority, to the
/// one with the earliest deadline. When the queue is full, the least important
/// call is shed, whether it is the new call or one that is already waiting.
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

  /// Blocks until the call gets a slot, is rejected, or reaches its deadline.
  /// Every Admitted must be followed by exactly one `release()`.
  AdmissionResult acquire(const AdmissionRequest &Request);

  void release();

  /// Changes the limits. Admitted calls keep their slots.
  void resize(std::size_t Slots, std::size_t QueueLimit);

  /// While `Enabled`, rejects new calls; also rejects the calls that are
  /// waiting now. Admitted calls continue.
  void setDraining(bool Enabled);

  // Queries.

  std::size_t running() const;
  std::size_t waiting() const;

  /// Waits until no admitted call is running; returns false on `Timeout`.
  bool waitUntilIdle(Millis Timeout) const;

private:
  struct Waiter {
    AdmissionRequest Request;
    std::uint64_t Sequence;
    std::condition_variable Wakeup;
    bool Done = false;
    AdmissionResult Result = AdmissionResult::Shed;
  };
  struct MoreImportant {
    bool operator()(const Waiter *Left, const Waiter *Right) const;
  };

  void completeLocked(Waiter *Target, AdmissionResult Result);
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
