// HTTP/1.1 server for callers, which may pipeline their requests.
#ifndef PERSIMMONQUAY_DAEMON_CALLER_SERVER_H
#define PERSIMMONQUAY_DAEMON_CALLER_SERVER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/caller_request.h"
#include "persimmonquay/daemon/caller_session.h"
#include <functional>
#include <memory>
#include <optional>

namespace persimmonquay {

/// Accepts connections on one address. Reads the requests of a connection as
/// they come, handles idempotent ones concurrently (see `RequestPipeline`), and
/// writes the responses in the order of the requests. Informs the handlers if
/// the caller closes its connection. Confined to one thread.
///
/// Example:
///   auto Server = std::make_shared<CallerServer>(Context, limits, handler);
///   Server->setIdempotencyCheck(isIdempotent);
///   Server->start(std::move(Acceptor));
class CallerServer : public std::enable_shared_from_this<CallerServer> {
public:
  using Handler = CallerServerState::Handler;
  using LimitsProvider = std::function<CallerServerLimits()>;
  using IdempotencyCheck = std::function<bool(const HttpRequest &)>;

  CallerServer(asio::io_context &IoContext, LimitsProvider Provider,
               Handler RequestHandler);

  // Commands.

  /// Sets the function that tells whether a request is idempotent. Without it,
  /// the requests of a connection are handled one after the other.
  void setIdempotencyCheck(IdempotencyCheck Check) {
    this->State->IsIdempotent = std::move(Check);
  }

  /// Starts accepting connections. May be called once.
  void start(Tcp::acceptor ListeningSocket);

  /// Ends every connection after the requests that are being handled on it, or
  /// after one more if there is none, and closes idle connections after an idle
  /// time of `IdleTimeout`.
  void startDraining(Millis IdleTimeout);

  /// Stops accepting connections. Those that callers have opened already are
  /// still served.
  void stopAccepting();

  /// Closes connections without a request in progress immediately. A request
  /// that arrives on one of them at the same time is not handled, so that its
  /// caller can safely send it elsewhere.
  void closeIdleConnections();

  // Queries.

  std::size_t connectionCount() const { return this->State->Sessions.size(); }
  std::size_t requestsInFlight() const { return this->State->RequestCount; }

private:
  asio::awaitable<void> acceptLoop();
  void startSession(Tcp::socket Connection);

  std::shared_ptr<CallerServerState> State;
  std::optional<Tcp::acceptor> Acceptor;
  bool AcceptStopped = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CALLER_SERVER_H
