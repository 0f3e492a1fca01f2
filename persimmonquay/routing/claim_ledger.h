// Which attempt may run a keyed, non-idempotent request, derived from the
// events of a claims stream.
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

/// The state of one idempotency key after the events applied so far.
struct ClaimState {
  /// Attempt that may run the request: the first claim in log order that was
  /// not released. Empty when there is none.
  std::string Holder;
  /// Fingerprint of the holder's request.
  std::uint64_t Fingerprint = 0;
  /// The response to the holder's request, once it is on the log.
  std::optional<proto::ClaimEvent> Result;
};

/// Applies claim events in log order. The first claim of a key makes its
/// attempt the holder; later claims are ignored until the holder releases the
/// key, which it does only if it never ran the request. Only the holder's
/// result is accepted, and only the first one.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   Ledger.apply(Event);
///   if (Ledger.find(Key)->Holder == OwnAttempt)
///     run();
class ClaimLedger {
public:
  // Commands.

  void apply(const proto::ClaimEvent &Event);

  /// Drops keys created before `Oldest`. Requests with such keys are refused,
  /// so their state is not needed.
  void dropCreatedBefore(WallTime Oldest);

  // Queries.

  /// Returns the state of `Key`, or null when there was no event for it.
  const ClaimState *find(const std::string &Key) const;

  std::size_t size() const { return this->Claims.size(); }

private:
  std::map<std::string, ClaimState> Claims;
};

/// Extracts the creation time from an idempotency key of the form
/// "<Unix ms>-<unique text>". Returns InvalidArgument for a key of another form
/// or longer than 128 characters.
absl::Status parseKeyCreationTime(std::string_view Key, WallTime *CreatedAt);

/// Checks that the log still holds every claim of a key created at `CreatedAt`.
/// Returns FailedPrecondition for a key older than `Lifetime`, or one created
/// more than a minute in the future.
absl::Status checkKeyAge(WallTime CreatedAt, Millis Lifetime, WallTime Now);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_CLAIM_LEDGER_H
