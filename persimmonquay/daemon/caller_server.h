// Serves HTTP/1.1 to callers, one coroutine for each connection.
#ifndef PERSIMMONQUAY_DAEMON_CALLER_SERVER_H
#define PERSIMMONQUAY_DAEMON_CALLER_SERVER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace persimmonquay {

/// A whole request that a caller waits for. `Wake` is cancelled when the caller
/// has left, so that a handler that waits on it notices at once.
struct CallerRequest {
  explicit CallerRequest(asio::io_context &Context) : Wake(Context) {}

  HttpRequest Message;
  MonoTime Arrival;
  bool CallerLeft = false;
  asio::steady_timer Wake;
};

/// Bounds on what callers may send, read anew for each request.
struct CallerServerLimits {
  std::uint32_t MaxHeaderBytes = 16384;
  std::uint64_t MaxBodyBytes = 1048576;
  Millis HeaderTimeout{3000};
  Millis IdleTimeout{15000};
};

/// Accepts connections on one address and answers their requests in order. A
/// caller that closes its connection while a request is handled is reported to
/// the handler. Lives on one thread.
///
/// Example:
///   auto Server = std::make_shared<CallerServer>(Context, limits, handler);
///   Server->start(std::move(Acceptor));
class CallerServer : public std::enable_shared_from_this<CallerServer> {
public:
  using Handler = std::function<asio::awaitable<HttpResponse>(
      std::shared_ptr<CallerRequest>)>;
  using LimitsSource = std::function<CallerServerLimits()>;

  CallerServer(asio::io_context &Loop, LimitsSource Bounds, Handler Function);

  /// Starts to accept; `start` may be called once.
  void start(Tcp::acceptor Listener);

  /// Tells callers by the header Connection that their connection ends after
  /// the next answer; connections without a request are closed as soon as they
  /// have been idle for `IdleFor`, those that rest already included.
  void startDraining(Millis IdleFor);

  /// Accepts no more connections and closes those without a request.
  void stopAccepting();

  /// Closes the connections without a request at once. A request that arrives
  /// there just now is not read, so that its caller may send it elsewhere.
  void closeIdleConnections();

  std::size_t connectionCount() const { return this->Sessions; }
  std::size_t requestsInFlight() const { return this->UnderWay; }

private:
  class Session;

  asio::awaitable<void> acceptLoop();
  void wakeWaiting();

  asio::io_context &Context;
  LimitsSource Limits;
  Handler Handle;
  std::optional<Tcp::acceptor> Acceptor;
  std::size_t Sessions = 0;
  /// Sessions between two requests.
  std::set<Session *> Waiting;
  std::size_t UnderWay = 0;
  std::optional<Millis> ClosingIdle;
  bool Stopped = false;
  bool ReadsNothing = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CALLER_SERVER_H
