// The log over HTTP with JSON bodies.
//
//   POST /v1/streams/NAME/records            body: payload -> {"offset": N}
//   GET  /v1/streams/NAME/records?from=N&wait_ms=M
//        -> {"first": N, "oldest": N, "end": N, "records": [base64, ...]}
//
// 429: over the rate, not appended. 410: `from` is older than the oldest.
#ifndef PERSIMMONQUAY_PLATFORM_HTTP_LOG_CLIENT_H
#define PERSIMMONQUAY_PLATFORM_HTTP_LOG_CLIENT_H

#include "persimmonquay/platform/log_client.h"
#include <string>

namespace persimmonquay {

/// Talks to the log over a new connection for each call, so that a connection
/// that went silent can delay only the call that used it.
///
/// Thread-safe.
///
/// Example:
///   HttpLogClient Log("http://127.0.0.1:7000");
///   auto Offset = Log.append("config", Payload, Millis(2000));
class HttpLogClient {
public:
  explicit HttpLogClient(std::string BaseUrl);

  absl::StatusOr<std::uint64_t>
  append(const std::string &Stream, const std::string &Payload, Millis Timeout);
  absl::StatusOr<LogChunk> read(const std::string &Stream, std::uint64_t From,
                                Millis Wait, Millis Timeout);
  /// Returns the oldest and the end offset and no records.
  absl::StatusOr<LogChunk> bounds(const std::string &Stream, Millis Timeout);

private:
  std::string BaseUrl;
};

static_assert(LogClient<HttpLogClient>);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PLATFORM_HTTP_LOG_CLIENT_H
