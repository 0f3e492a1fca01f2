// Claims on idempotency keys, partitioned over several streams of the log.
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

/// Number of claim streams. Must be the same on all nodes, since a key's hash
/// modulo this number selects its stream.
inline constexpr std::size_t ClaimStreamCount = 4;

/// Claims idempotency keys for attempts and stores the results of calls.
///
/// Thread-safe. Example:
///   absl::StatusOr<ClaimResult> Result =
///       Claims.claim(Key, Fingerprint, Deadline, &Attempt);
class ClaimStore {
public:
  ClaimStore(HttpLogClient *Log, std::string Node, Millis KeyLifetime);

  // Commands.

  /// Validates `Key` and claims it for a new attempt, whose identifier is
  /// stored in `Attempt`. Returns InvalidArgument or FailedPrecondition for a
  /// key that can't be accepted.
  absl::StatusOr<ClaimResult> claim(const std::string &Key,
                                    std::uint64_t Fingerprint,
                                    MonoTime Deadline, std::string *Attempt);

  /// Queues a release or a result, to be written by `flush()`.
  void enqueue(const proto::ClaimEvent &Event);

  /// Writes the queued events of all streams and periodically drops expired
  /// keys. Must not be called by several threads at once.
  void flush(WallTime Now);

private:
  ClaimStream<HttpLogClient> &streamOf(const std::string &Key);

  const std::string Node;
  const Millis KeyLifetime;
  std::atomic<std::uint64_t> NextAttempt = 1;
  /// Random number that distinguishes attempts of different runs of this node.
  const std::uint64_t Boot;
  WallTime LastDropAt;
  std::vector<std::unique_ptr<ClaimStream<HttpLogClient>>> Streams;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_CLAIM_STORE_H
