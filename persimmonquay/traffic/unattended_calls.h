// Calls that an upstream may still be running although nobody awaits their
// responses.
//
// Handles these failures:
//  - A request crashes the upstream that runs it after its caller has left, its
//    deadline has passed or its connection was lost. The crash is attributed to
//    the request all the same.
//  - Many callers leave at the same time. The number of calls is bounded; those
//    that end first are dropped.
#ifndef PERSIMMONQUAY_TRAFFIC_UNATTENDED_CALLS_H
#define PERSIMMONQUAY_TRAFFIC_UNATTENDED_CALLS_H

#include "persimmonquay/base/time.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmonquay {

/// A call that was sent to an upstream.
struct SentCall {
  std::string RequestId;
  /// See `requestFingerprint()`.
  std::uint64_t Fingerprint = 0;
  /// Time by which the upstream has stopped working on the call.
  MonoTime EndsBy;
};

/// The unattended calls of one upstream. Does no I/O and reads no clock. Not
/// thread-safe.
class UnattendedCalls {
public:
  // Commands.

  void add(SentCall Call);

  /// Removes the calls of a request that an upstream has answered, which
  /// therefore doesn't crash every upstream that runs it.
  void removeAnswered(std::uint64_t Fingerprint);

  /// Removes the calls that have ended by `Now`.
  void expire(MonoTime Now);

  /// Removes and returns all calls, the one added last first.
  std::vector<SentCall> takeAll();

  // Queries.

  bool empty() const { return this->Calls.empty(); }
  std::size_t size() const { return this->Calls.size(); }

  /// Returns when the last call has ended; none if there is no call.
  std::optional<MonoTime> lastEnd() const;

private:
  /// In the order in which they were added.
  std::vector<SentCall> Calls;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_UNATTENDED_CALLS_H
