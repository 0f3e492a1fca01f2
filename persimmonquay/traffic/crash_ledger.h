// Decides which requests may run although upstreams have crashed under them.
//
// Handles these failures:
//  - A request crashes every upstream that runs it, and its callers repeat it
//    at any node, directly or as a nested call. After two crashes it is
//    rejected everywhere for a while, after three for long.
//  - Harmless requests run beside it and crash with it. A request is cleared as
//    soon as an upstream answers it, and a request that has seen one crash runs
//    beside no other such request, so that the next crash is attributed to one
//    request only.
//  - Upstreams that crash for other reasons, one or many at a time. A request
//    that ran there is not rejected unless a second upstream ends under it
//    before it has been answered.
#ifndef PERSIMMONQUAY_TRAFFIC_CRASH_LEDGER_H
#define PERSIMMONQUAY_TRAFFIC_CRASH_LEDGER_H

#include "persimmonquay/base/time.h"
#include "proto/link.pb.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmonquay {

/// Reason of a rejection because upstreams have crashed while they ran the
/// request.
inline constexpr std::string_view CrashReason =
    "upstreams have ended while they ran this request";

enum class CrashVerdict {
  /// No crash is attributed to the request.
  Run,
  /// The request is a suspect: it must not run beside another one.
  RunAlone,
  /// The request must not run.
  Reject,
};

/// What may be done with a request.
struct CrashDecision {
  CrashVerdict Verdict = CrashVerdict::Run;
  /// Time until the request may run again. Only set if `Verdict` is `Reject`.
  Millis RetryAfter{0};
};

/// The crashes of upstreams attributed to requests, by fingerprint; see
/// `requestFingerprint()`. Every node holds a copy. A record only ever changes
/// from uncleared to cleared, so that copies can be merged in any order and
/// repeatedly. Bounded in size; does no I/O and reads no clock. Not
/// thread-safe.
///
/// Example:
///   send(Ledger.recordCrash(RunningFingerprints, CrashId, Now));
///   if (Ledger.decide(Fingerprint, Now).Verdict == CrashVerdict::Reject)
///     reject();
class CrashLedger {
public:
  using Records = std::vector<proto::CrashRecord>;

  // Commands. Each returns the records that are new or have changed.

  /// Records that an upstream ended while it ran requests. `Crash` identifies
  /// this end. The crash is attributed to the suspects among them, or to
  /// all if there are none.
  Records recordCrash(const std::vector<std::uint64_t> &Running,
                      std::uint64_t Crash, WallTime Now);

  /// Records that an upstream has answered a request, which therefore doesn't
  /// crash every upstream that runs it.
  Records recordAnswer(std::uint64_t Fingerprint);

  /// Merges records of another copy. Records that are too old are ignored.
  template <typename Range> Records merge(const Range &Others, WallTime Now) {
    Records Changed;
    for (const proto::CrashRecord &Other : Others)
      if (this->mergeRecord(Other, Now))
        Changed.push_back(Other);
    return Changed;
  }

  /// Removes records that are too old to count.
  void expire(WallTime Now);

  // Queries.

  bool empty() const { return this->Entries.empty(); }
  std::size_t size() const { return this->Entries.size(); }

  CrashDecision decide(std::uint64_t Fingerprint, WallTime Now) const;

  /// Returns the records of one request.
  Records recordsOf(std::uint64_t Fingerprint) const;

  /// Returns up to `MaxCount` records: first those of requests that are
  /// rejected, then the newest.
  Records mostImportant(std::size_t MaxCount) const;

  /// Returns up to `MaxCount` records of requests that are rejected.
  Records rejected(std::size_t MaxCount, WallTime Now) const;

  /// Returns a hash over all records. It is equal for equal copies.
  std::uint64_t hash() const;

private:
  /// Fingerprint and crash.
  using Key = std::pair<std::uint64_t, std::uint64_t>;
  struct Entry {
    WallTime CrashedAt;
    bool IsCleared = false;
  };
  struct Suspicion {
    std::size_t Crashes = 0;
    WallTime LastCrash;
  };

  bool mergeRecord(const proto::CrashRecord &Record, WallTime Now);
  Suspicion suspicionOf(std::uint64_t Fingerprint) const;
  /// Removes the record that is needed least.
  void evictOne();
  static proto::CrashRecord toRecord(const Key &RecordKey, const Entry &Value);

  std::map<Key, Entry> Entries;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_CRASH_LEDGER_H
