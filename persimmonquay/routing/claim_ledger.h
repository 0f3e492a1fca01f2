// Who may run a keyed, non-idempotent request: a fold of the claims stream.
#ifndef PERSIMMONQUAY_ROUTING_CLAIM_LEDGER_H
#define PERSIMMONQUAY_ROUTING_CLAIM_LEDGER_H

#include "persimmonquay/base/time.h"
#include "proto/peer.pb.h"
#include <absl/status/status.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonquay {

/// What the log says about one key.
struct ClaimState {
  /// Attempt that may run: the first claim in log order that was not released.
  /// Empty when there is none.
  std::string Holder;
  /// Fingerprint of the holder's request.
  std::uint64_t Fingerprint = 0;
  /// The answer, once it is on the log.
  std::optional<proto::ClaimEvent> Result;
};

/// Folds claim events in log order. The first claim of a key holds it; later
/// claims are ignored, until the holder releases it because it never ran. A
/// result is taken from the holder only.
///
/// Not thread-safe.
///
/// Example:
///   Ledger.apply(Event);
///   if (Ledger.find(Key)->Holder == OwnAttempt)
///     run();
class ClaimLedger {
public:
  // Commands.

  void apply(const proto::ClaimEvent &Event);

  /// Forgets keys created before `Oldest`; such keys are refused anyway.
  void dropCreatedBefore(WallTime Oldest);

  // Queries.

  /// Returns the state of `Key`, or null when no claim was seen.
  const ClaimState *find(const std::string &Key) const;

  std::size_t size() const { return this->Claims.size(); }

private:
  std::map<std::string, ClaimState> Claims;
};

/// Reads the creation time from a key "<Unix ms>-<unique text>". Returns
/// InvalidArgument for a key of another form or longer than 128 characters.
absl::Status parseKeyCreationTime(std::string_view Key, WallTime *CreatedAt);

/// Checks that the log still has every claim of a key created at `CreatedAt`.
/// Returns FailedPrecondition for a key older than `Lifetime`, or one from
/// more than a minute in the future.
absl::Status checkKeyAge(WallTime CreatedAt, Millis Lifetime, WallTime Now);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_CLAIM_LEDGER_H
