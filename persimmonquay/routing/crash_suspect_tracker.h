// Finds the request that kills the upstreams that run it.
#ifndef PERSIMMONQUAY_ROUTING_CRASH_SUSPECT_TRACKER_H
#define PERSIMMONQUAY_ROUTING_CRASH_SUSPECT_TRACKER_H

#include "persimmonquay/base/time.h"
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace persimmonquay {

/// Deaths after which a request is refused everywhere.
inline constexpr std::uint64_t CrashRefusalThreshold = 2;

/// Watches which requests run at one upstream. All requests that ran when the
/// upstream died become suspects, by fingerprint. A suspect then runs beside no
/// other suspect, so that a second death has exactly one suspect: that one is
/// condemned, and innocent requests that ran beside it are not.
///
/// The counts of deaths are kept outside, as grow-only facts shared by all
/// nodes, and are passed in. Thread-safe.
///
/// Example:
///   switch (Blame.start(Fingerprint, Deaths)) { ... }
///   for (std::uint64_t Suspect : Blame.takeSuspects(DeathsOf))
///     raiseFact(Suspect);
class CrashSuspectTracker {
public:
  enum class StartResult {
    Started,
    /// Another suspect runs at this upstream; try again when it has ended.
    MustWait,
    /// The request is known to kill upstreams.
    Refused,
  };

  // Commands.

  /// Asks to run a request that has `Deaths` upstream deaths to its name. After
  /// Run, `end()` must follow.
  StartResult start(std::uint64_t Fingerprint, std::uint64_t Deaths);

  /// Records that a request ended without killing the upstream.
  void end(std::uint64_t Fingerprint);

  /// Records that the upstream died. Returns the fingerprints to blame: the
  /// one suspect among the requests that ran, or all of them when none was
  /// suspect before. A second report of the same death returns none.
  std::vector<std::uint64_t> onUpstreamCrash();

  // Queries.

  std::size_t running() const;

  /// Waits until a request has ended or the upstream has died, at most until
  /// `Deadline`.
  void waitForChange(MonoTime Deadline) const;

private:
  struct Run {
    std::size_t Copies = 0;
    bool Suspect = false;
  };

  mutable std::mutex Mutex;
  mutable std::condition_variable Changed;
  std::map<std::uint64_t, Run> Running;
  bool SuspectRuns = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_CRASH_SUSPECT_TRACKER_H
