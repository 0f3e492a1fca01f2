// Detects requests that crash the upstreams that run them.
#ifndef PERSIMMONQUAY_ROUTING_CRASH_SUSPECT_TRACKER_H
#define PERSIMMONQUAY_ROUTING_CRASH_SUSPECT_TRACKER_H

#include "persimmonquay/base/time.h"
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace persimmonquay {

/// Number of upstream crashes attributed to a request from which on every node
/// refuses it.
inline constexpr std::uint64_t CrashRefusalThreshold = 2;

/// Tracks the requests that run at one upstream, by fingerprint. When the
/// upstream crashes, all running requests become suspects. From then on at most
/// one suspect runs at a time, so that a second crash can be attributed to
/// exactly one request. That request is refused; harmless requests that ran
/// concurrently are not.
///
/// The crash counts are kept by the caller, as grow-only facts shared by all
/// nodes, and are passed in. Thread-safe.
///
/// Example:
///   switch (Tracker.start(Fingerprint, CrashCount)) { ... }
///   for (std::uint64_t Suspect : Tracker.onUpstreamCrash())
///     publishFact(Suspect);
class CrashSuspectTracker {
public:
  enum class StartResult {
    /// The request may run; `end()` must follow.
    Started,
    /// Another suspect runs at this upstream; try again after it has ended.
    MustWait,
    /// The request has reached CrashRefusalThreshold.
    Refused,
  };

  // Commands.

  /// Starts a request to which `CrashCount` upstream crashes are attributed, if
  /// it may run now.
  StartResult start(std::uint64_t Fingerprint, std::uint64_t CrashCount);

  /// Records that a request ended without crashing the upstream.
  void end(std::uint64_t Fingerprint);

  /// Records that the upstream crashed. Returns the fingerprints to which the
  /// crash is attributed: that of the suspect among the running requests, or
  /// all of them when none was a suspect. A second report of the same crash
  /// returns none.
  std::vector<std::uint64_t> onUpstreamCrash();

  // Queries.

  /// Returns the number of distinct fingerprints that run.
  std::size_t running() const;

  /// While a suspect runs, waits until a request ends, the upstream crashes, or
  /// `Deadline` passes. Returns immediately otherwise.
  void waitForChange(MonoTime Deadline) const;

private:
  /// The running requests of one fingerprint.
  struct RunningRequest {
    std::size_t Count = 0;
    bool IsSuspect = false;
  };

  mutable std::mutex Mutex;
  mutable std::condition_variable Changed;
  std::map<std::uint64_t, RunningRequest> Running;
  bool SuspectRunning = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_CRASH_SUSPECT_TRACKER_H
