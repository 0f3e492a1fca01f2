// One connection from a caller.
#ifndef PERSIMMONQUAY_DAEMON_CALLER_SESSION_H
#define PERSIMMONQUAY_DAEMON_CALLER_SESSION_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/http_decoder.h"
#include "persimmonquay/daemon/request_pipeline.h"
#include <boost/asio/cancellation_signal.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonquay {

class CallerSession;
struct CallerRequest;

/// Limits on the requests of callers.
struct CallerServerLimits {
  DecodeLimits Message;
  Millis HeaderTimeout{3000};
  /// Time for the body of a request after its header.
  Millis BodyTimeout{30000};
  Millis IdleTimeout{15000};
  /// Bounds for each connection.
  PipelineLimits Pipeline;
  /// Bound on the bytes that the connections of a server together hold of
  /// requests, and of responses that wait for their turn. A connection without
  /// a request in progress may exceed it by one request.
  std::size_t MaxPipelineBytes = 16U << 20U;
};

/// What the sessions of a server share.
struct CallerServerState {
  using Handler = std::function<asio::awaitable<HttpResponse>(
      std::shared_ptr<CallerRequest>)>;

  explicit CallerServerState(asio::io_context &IoContext)
      : Context(IoContext) {}

  asio::io_context &Context;
  /// Queried again for each request.
  std::function<CallerServerLimits()> GetLimits;
  Handler HandleRequest;
  /// Returns whether a request is idempotent; may be empty, then none is.
  std::function<bool(const HttpRequest &)> IsIdempotent;
  /// Idle timeout while the server drains; none before.
  std::optional<Millis> DrainIdleTimeout;
  /// Whether no further request may be read on idle connections.
  bool ReadStopped = false;
  /// Requests that are being handled or whose response is not written yet.
  std::size_t RequestCount = 0;
  /// Bytes of these requests and responses.
  std::size_t PipelineBytes = 0;
  /// The sessions that have not ended.
  std::set<CallerSession *> Sessions;
};

/// Reads the requests of one connection, runs the handler for each as the
/// `RequestPipeline` allows, and writes the responses in order. Reading goes on
/// while requests are handled, so that the end of the connection is noticed.
///
/// Confined to one thread.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(std::shared_ptr<CallerServerState> SharedState,
                Tcp::socket Connection);
  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;
  ~CallerSession();

  // Commands.

  /// Serves the connection until it ends.
  asio::awaitable<void> run();

  /// Ends the connection after the requests that are being handled; called when
  /// the server starts to drain.
  void startDraining();

  /// Lets the session check the state of the server.
  void wake();

private:
  /// A request and, once it is ready, its response.
  struct Exchange {
    std::shared_ptr<CallerRequest> Request;
    std::optional<HttpResponse> Response;
    MonoTime ResponseReadyAt;
  };
  enum class WaitResult { Readable, Woken, TimedOut };

  /// Reads requests until the connection ends.
  asio::awaitable<void> readRequests();
  /// Decodes the next request from the bytes received so far and adds it.
  /// Returns false if more bytes are needed.
  bool decodeRequest();
  void addRequest(HttpRequest Message);
  /// Adds an error response to what can't be read; it ends the connection.
  void addReadError(http::status Status, const std::string &Reason);
  void addExchange(const PipelinedRequest &Request, Exchange NewExchange);
  /// Returns whether there is room for another request.
  bool mayReadRequest() const;
  /// Waits until there may be room for another request. Returns false if the
  /// caller has closed the connection.
  asio::awaitable<bool> awaitRoom();
  /// Receives bytes, if any arrive before `wake()`. Returns false if the
  /// connection ends or has been idle for too long.
  asio::awaitable<bool> receive();
  /// Returns when the wait for the next bytes is given up, if ever.
  std::optional<MonoTime> receiveDeadline() const;
  /// Waits until the socket is readable, `wake()` is called or `Deadline`
  /// passes.
  asio::awaitable<WaitResult> awaitBytes(std::optional<MonoTime> Deadline);
  asio::awaitable<void> sendContinue();

  /// Starts the handlers of the requests that may run now.
  void startRequests();
  asio::awaitable<void> handle(std::uint64_t Number);
  void complete(std::uint64_t Number, HttpResponse Response);
  void startWriting();
  asio::awaitable<void> writeResponses();
  /// Writes a response; returns false if the connection is broken.
  asio::awaitable<bool> write(HttpResponse Response);
  /// Ends the sending direction after the last response.
  void startLingering();
  /// Discards what the caller has still sent after the last response, until it
  /// closes the connection. Closing a socket that holds unread bytes would
  /// reset the connection, and the caller could lose the response.
  asio::awaitable<void> discardBytes();
  void removeExchange(std::uint64_t Number);
  void updateByteCount();
  /// Closes the connection and cancels the requests that are being handled.
  void close();

  std::shared_ptr<CallerServerState> State;
  Tcp::socket Socket;
  asio::steady_timer ReadTimer;
  asio::steady_timer WriteTimer;
  asio::cancellation_signal ReadCancellation;
  HttpDecoder<true> Decoder;
  RequestPipeline Pipeline;
  std::map<std::uint64_t, Exchange> Exchanges;
  /// Part of `State->PipelineBytes` that belongs to this session.
  std::size_t CountedBytes = 0;
  /// Since when the connection has been without a request.
  MonoTime IdleSince;
  /// Part of a request that is being received, and since when.
  HttpDecoder<true>::Stage Stage = HttpDecoder<true>::Stage::Idle;
  MonoTime StageStart;
  /// Identifies the current wait, so that a timer that has expired already does
  /// not end the next one.
  std::uint64_t ReadWait = 0;
  std::uint64_t WriteWait = 0;
  bool ReadTimedOut = false;
  /// Set after the last response; when the connection is closed at the latest.
  std::optional<MonoTime> LingerEnd;
  bool IsWriting = false;
  bool IsClosed = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CALLER_SESSION_H
