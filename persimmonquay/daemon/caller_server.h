// HTTP/1.1 server for callers, with one coroutine per connection.
#ifndef PERSIMMONQUAY_DAEMON_CALLER_SERVER_H
#define PERSIMMONQUAY_DAEMON_CALLER_SERVER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace persimmonquay {

/// A complete request whose caller waits for the response. `WakeTimer` is
/// cancelled when the caller disconnects, so that a handler that waits on it
/// notices immediately.
struct CallerRequest {
  explicit CallerRequest(asio::io_context &Context) : WakeTimer(Context) {}

  HttpRequest Message;
  /// When the request had been read completely.
  MonoTime Arrival;
  bool CallerDisconnected = false;
  asio::steady_timer WakeTimer;
};

/// Limits on requests; queried again for each request.
struct CallerServerLimits {
  std::uint32_t MaxHeaderBytes = 16384;
  std::uint64_t MaxBodyBytes = 1048576;
  Millis HeaderTimeout{3000};
  Millis IdleTimeout{15000};
};

/// Accepts connections on one address and responds to the requests of each
/// connection in order. Informs the handler if the caller closes its connection
/// while its request is being handled. Confined to one thread.
///
/// Example:
///   auto Server = std::make_shared<CallerServer>(Context, limits, handler);
///   Server->start(std::move(Acceptor));
class CallerServer : public std::enable_shared_from_this<CallerServer> {
public:
  using Handler = std::function<asio::awaitable<HttpResponse>(
      std::shared_ptr<CallerRequest>)>;
  using LimitsProvider = std::function<CallerServerLimits()>;

  CallerServer(asio::io_context &IoContext, LimitsProvider Provider,
               Handler RequestHandler);

  /// Starts accepting connections. May be called once.
  void start(Tcp::acceptor ListeningSocket);

  /// Sends "Connection: close" with every response from now on, and closes
  /// connections, including those that are idle already, after an idle time of
  /// `IdleTimeout`.
  void startDraining(Millis IdleTimeout);

  /// Stops accepting connections and closes idle ones.
  void stopAccepting();

  /// Closes idle connections immediately. A request that arrives on one of them
  /// at the same time is not read, so that its caller can safely send it
  /// elsewhere.
  void closeIdleConnections();

  std::size_t connectionCount() const { return this->SessionCount; }
  std::size_t requestsInFlight() const { return this->RequestCount; }

private:
  class Session;

  asio::awaitable<void> acceptLoop();
  void wakeIdleSessions();

  asio::io_context &Context;
  LimitsProvider GetLimits;
  Handler HandleRequest;
  std::optional<Tcp::acceptor> Acceptor;
  std::size_t SessionCount = 0;
  /// Sessions that wait for their next request.
  std::set<Session *> IdleSessions;
  std::size_t RequestCount = 0;
  /// Idle timeout while draining; none before.
  std::optional<Millis> DrainIdleTimeout;
  bool AcceptStopped = false;
  bool ReadStopped = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CALLER_SERVER_H
