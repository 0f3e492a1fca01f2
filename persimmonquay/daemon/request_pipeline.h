// Order of the requests and responses of one pipelined connection.
//
// Handles these load patterns:
//  - A caller that sends further idempotent requests before it has the first
//    response. They run concurrently, so that a quick one doesn't wait until a
//    slow one has run.
//  - A slow request at the head, which delays the responses behind it. What the
//    requests and responses of a connection may occupy is bounded; beyond that,
//    reading stops and TCP makes the caller wait.
//  - A connection that closes, because the caller asked for it, because a
//    request can't be read or because the process stops, while requests wait
//    behind others. A caller sends all requests again that it sent behind the
//    response that closes the connection, so none of them may run unless its
//    response is sent.
#ifndef PERSIMMONQUAY_DAEMON_REQUEST_PIPELINE_H
#define PERSIMMONQUAY_DAEMON_REQUEST_PIPELINE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace persimmonquay {

/// Bounds on the requests of one connection.
struct PipelineLimits {
  /// Requests without a response on the wire.
  std::size_t MaxRequests = 32;
  /// Bytes of these requests and of their responses.
  std::size_t MaxBytes = 1U << 20U;
};

/// What the pipeline needs to know of a request.
struct PipelinedRequest {
  bool IsIdempotent = false;
  /// Whether the caller asked to close the connection after the response.
  bool IsLast = false;
  std::size_t Bytes = 0;
};

/// A response whose turn it is.
struct PipelinedResponse {
  std::uint64_t Number = 0;
  /// Whether the connection closes after this response.
  bool Closes = false;
};

/// Decides which requests of a connection may run, in what order their
/// responses are written, and which response closes the connection. Requests
/// are identified by the numbers that `add()` returns.
///
/// A request that is not idempotent runs only once all earlier responses have
/// been written, and nothing behind it runs before it has ended (RFC 9110,
/// section 9.2.2, and RFC 9112, section 9.3.2).
///
/// Does no I/O. Not thread-safe.
///
/// Example:
///   if (Pipeline.acceptsRequest())
///     Pipeline.add({.IsIdempotent = true});
///   for (std::uint64_t Number : Pipeline.startRequests())
///     run(Number); // ends with Pipeline.complete(Number, Bytes)
///   if (std::optional<PipelinedResponse> Next = Pipeline.startWrite())
///     write(*Next); // ends with Pipeline.finishWrite()
class RequestPipeline {
public:
  explicit RequestPipeline(PipelineLimits ConnectionLimits)
      : Limits(ConnectionLimits) {}

  // Commands.

  /// Adds a request that has been read and returns its number. Requires
  /// `acceptsRequest()`.
  std::uint64_t add(const PipelinedRequest &Request);

  /// Returns the requests that may run now, and records that they run.
  std::vector<std::uint64_t> startRequests();

  /// Records that the response to a running request is ready.
  void complete(std::uint64_t Number, std::size_t ResponseBytes);

  /// Returns the next response if its turn has come and no other one is being
  /// written, and records that it is being written.
  std::optional<PipelinedResponse> startWrite();

  /// Records that the response has been written.
  void finishWrite();

  /// Closes the connection after the requests that run now. Drops the others
  /// and returns their numbers; with no request left, the next one is the last.
  std::vector<std::uint64_t> startClosing();

  // Queries.

  /// Returns whether the next request may be read now.
  bool acceptsRequest() const;

  /// Returns whether no request is without a written response.
  bool empty() const { return this->Entries.empty(); }

  /// Returns whether no request will be accepted any more.
  bool isClosing() const { return this->HasLast; }

  /// Returns how many earlier requests are without a written response.
  std::size_t requestsAhead(std::uint64_t Number) const {
    return this->Entries.empty() ? 0 : Number - this->Entries.front().Number;
  }

  std::size_t size() const { return this->Entries.size(); }
  std::size_t bytes() const { return this->Bytes; }

private:
  enum class State { Waiting, Running, Complete, Writing };
  struct Entry {
    std::uint64_t Number;
    PipelinedRequest Request;
    State Progress = State::Waiting;
    std::size_t Bytes = 0;
  };

  PipelineLimits Limits;
  std::vector<Entry> Entries;
  std::uint64_t NextNumber = 1;
  std::size_t Bytes = 0;
  /// Whether the process stops, so that no request follows the ones that run.
  bool IsDraining = false;
  /// Whether the last request of the connection has been added.
  bool HasLast = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_REQUEST_PIPELINE_H
