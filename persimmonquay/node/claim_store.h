// The claims of keyed requests, spread over several streams of the log.
#ifndef PERSIMMONQUAY_NODE_CLAIM_STORE_H
#define PERSIMMONQUAY_NODE_CLAIM_STORE_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/platform/http_log_client.h"
#include "persimmonquay/routing/claim_stream.h"
#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace persimmonquay {

/// Number of claims streams; all nodes must agree on it.
inline constexpr std::size_t ClaimStreamCount = 4;

/// Thread-safe. Example:
///   ClaimResult Answer = Claims.claim(Key, Fingerprint, Deadline, &Attempt);
class ClaimStore {
public:
  ClaimStore(HttpLogClient *Log, std::string Node, Millis KeyLifetime);

  // Commands.

  /// Checks the key and claims it for a new attempt, whose name is stored in
  /// `Attempt`. Returns InvalidArgument or FailedPrecondition for a key that
  /// can't be accepted.
  absl::StatusOr<ClaimResult> claim(const std::string &Key,
                                    std::uint64_t Fingerprint,
                                    MonoTime Deadline, std::string *Attempt);

  /// Queues a release or a result.
  void recordLater(const proto::ClaimEvent &Event);

  /// Writes what is queued on all streams, and now and then forgets old keys.
  /// Called by one thread.
  void flush(WallTime Now);

private:
  ClaimStream<HttpLogClient> &streamOf(const std::string &Key);

  const std::string Node;
  const Millis KeyLifetime;
  std::atomic<std::uint64_t> NextAttempt = 1;
  const std::uint64_t Boot;
  WallTime ForgotAt;
  std::vector<std::unique_ptr<ClaimStream<HttpLogClient>>> Streams;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_CLAIM_STORE_H
