// Client of the platform's log over HTTP. Response bodies are JSON:
//
//   POST /v1/streams/NAME/records            body: payload -> {"offset": N}
//   GET  /v1/streams/NAME/records?from=N&wait_ms=M
//        -> {"first": N, "oldest": N, "end": N, "records": [base64, ...]}
//
//   GET  /v1/streams/NAME/bounds
//        -> like a read, with an empty list of records
//
// Status 429: rate limit exceeded, the record was not appended. Status 410:
// `from` is before the oldest offset that the log keeps.
#ifndef PERSIMMONQUAY_PLATFORM_HTTP_LOG_CLIENT_H
#define PERSIMMONQUAY_PLATFORM_HTTP_LOG_CLIENT_H

#include "persimmonquay/platform/log_client.h"
#include <string>

namespace persimmonquay {

/// Opens a new connection for each call, so that a connection that stops
/// responding delays only the call that uses it.
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
  absl::StatusOr<LogChunk> read(const std::string &Stream,
                                std::uint64_t FromOffset, Millis MaxWait,
                                Millis Timeout);
  /// Returns a chunk with the oldest and the end offset and without records.
  absl::StatusOr<LogChunk> bounds(const std::string &Stream, Millis Timeout);

private:
  std::string BaseUrl;
};

static_assert(LogClient<HttpLogClient>);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PLATFORM_HTTP_LOG_CLIENT_H
