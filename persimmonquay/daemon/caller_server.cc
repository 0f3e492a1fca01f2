#include "persimmonquay/daemon/caller_server.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/sockets.h"
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace persimmonquay {
namespace internal {

/// TCP user timeout of connections from callers: a response that the caller
/// does not acknowledge for this long is abandoned.
constexpr Millis CallerTcpTimeout{10000};

/// Interval at which an idle connection checks whether it must close while the
/// server drains.
constexpr Millis DrainCheckInterval{200};

/// Timeout for reading the body of a request after its header.
constexpr Millis BodyTimeout{30000};

/// Delay after a failed accept, which is mostly caused by a lack of file
/// descriptors.
constexpr Millis AcceptBackoff{100};

/// Returns the status of the error response for a request that could not be
/// read, or none if the caller cannot receive a response.
std::optional<http::status> statusOfReadError(const ErrorCode &Error) {
  if (Error == http::error::header_limit)
    return http::status::request_header_fields_too_large;
  if (Error == http::error::body_limit)
    return http::status::payload_too_large;
  if (Error == http::error::end_of_stream ||
      Error == http::error::partial_message)
    return std::nullopt;
  if (Error.category() == make_error_code(http::error::bad_method).category())
    return http::status::bad_request;
  return std::nullopt;
}

} // namespace internal

/// A connection from a caller.
class CallerServer::Session : public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<CallerServer> ParentServer, Tcp::socket Connection)
      : Server(std::move(ParentServer)), Socket(std::move(Connection)),
        Timer(Server->Context) {
    ++this->Server->SessionCount;
    configureConnection(this->Socket, internal::CallerTcpTimeout);
  }
  ~Session() { --this->Server->SessionCount; }

  asio::awaitable<void> run() {
    while (co_await this->waitForRequest()) {
      auto Request = std::make_shared<CallerRequest>(this->Server->Context);
      if (!co_await this->read(*Request))
        break;
      ++this->Server->RequestCount;
      HttpResponse Response = co_await this->handle(Request);
      const bool IsOpen = !Request->CallerDisconnected &&
                          co_await this->write(std::move(Response),
                                               Request->Message.keep_alive());
      --this->Server->RequestCount;
      if (!IsOpen)
        break;
    }
    this->close();
  }

  /// Interrupts the wait for a request, so that the session checks the state of
  /// the server.
  void wake() {
    ErrorCode IgnoredError;
    this->Socket.cancel(IgnoredError);
  }

private:
  /// Waits for the first byte of a request. Returns false if the connection
  /// ends first or exceeds its idle timeout.
  asio::awaitable<bool> waitForRequest() {
    this->Server->IdleSessions.insert(this);
    const bool HasBytes = co_await this->waitForBytes();
    this->Server->IdleSessions.erase(this);
    co_return HasBytes && !this->Server->ReadStopped;
  }

  asio::awaitable<bool> waitForBytes() {
    const MonoTime Start = monoNow();
    while (this->Buffer.size() == 0 && !this->Server->ReadStopped) {
      const Millis IdleTimeout = this->Server->DrainIdleTimeout.value_or(
          this->Server->GetLimits().IdleTimeout);
      const auto IdleTime =
          std::chrono::duration_cast<Millis>(monoNow() - Start);
      if (this->Server->AcceptStopped || IdleTime >= IdleTimeout)
        co_return peekConnection(this->Socket) == ConnectionState::Readable;
      this->startTimer(this->Server->DrainIdleTimeout
                           ? internal::DrainCheckInterval
                           : IdleTimeout - IdleTime);
      const auto [Error] =
          co_await this->Socket.async_wait(Tcp::socket::wait_read, NoThrow);
      this->stopTimer();
      if (!Error)
        co_return peekConnection(this->Socket) == ConnectionState::Readable;
      if (Error != asio::error::operation_aborted || !this->Socket.is_open())
        co_return false;
    }
    co_return true;
  }

  asio::awaitable<bool> read(CallerRequest &Request) {
    const CallerServerLimits Limits = this->Server->GetLimits();
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(Limits.MaxHeaderBytes);
    Parser.body_limit(Limits.MaxBodyBytes);
    this->startTimer(Limits.HeaderTimeout);
    auto [Error, Size] = co_await http::async_read_header(
        this->Socket, this->Buffer, Parser, NoThrow);
    if (!Error && Parser.get()[http::field::expect] == "100-continue")
      co_await this->sendContinue();
    if (!Error && !Parser.is_done()) {
      this->startTimer(internal::BodyTimeout);
      const auto [BodyError, BodySize] = co_await http::async_read(
          this->Socket, this->Buffer, Parser, NoThrow);
      Error = BodyError;
    }
    this->stopTimer();
    if (Error) {
      co_await this->sendReadError(Error);
      co_return false;
    }
    Request.Arrival = monoNow();
    Request.Message = Parser.release();
    co_return true;
  }

  asio::awaitable<void> sendContinue() {
    http::response<http::empty_body> Continue{http::status::continue_, 11};
    co_await http::async_write(this->Socket, Continue, NoThrow);
  }

  asio::awaitable<void> sendReadError(const ErrorCode &Error) {
    const std::optional<http::status> Status =
        Error == asio::error::operation_aborted
            ? http::status::request_timeout
            : internal::statusOfReadError(Error);
    if (!Status)
      co_return;
    logLine(LogLevel::Info, "request refused while it was read",
            {{"error", Error.message()},
             {"status", std::to_string(static_cast<unsigned>(*Status))}});
    HttpResponse Response{*Status, 11};
    Response.body() = Error.message();
    co_await this->write(std::move(Response), false);
  }

  asio::awaitable<HttpResponse>
  handle(const std::shared_ptr<CallerRequest> &Request) {
    this->IsHandling = true;
    this->Socket.async_wait(
        Tcp::socket::wait_read,
        [Self = this->shared_from_this(), Request](const ErrorCode &Error) {
          // Readable data means that the caller has already sent its next
          // request.
          if (Self->IsHandling && !Error &&
              peekConnection(Self->Socket) == ConnectionState::Closed) {
            Request->CallerDisconnected = true;
            Request->WakeTimer.cancel();
          }
        });
    HttpResponse Response = co_await this->Server->HandleRequest(Request);
    this->IsHandling = false;
    ErrorCode IgnoredError;
    this->Socket.cancel(IgnoredError);
    co_return Response;
  }

  asio::awaitable<bool> write(HttpResponse Response, bool KeepAlive) {
    const bool IsPersistent = KeepAlive && !this->Server->DrainIdleTimeout;
    Response.version(11);
    Response.keep_alive(IsPersistent);
    Response.prepare_payload();
    const auto [Error, Size] =
        co_await http::async_write(this->Socket, Response, NoThrow);
    co_return !Error && IsPersistent;
  }

  void startTimer(Millis Timeout) {
    this->Timer.expires_after(Timeout);
    this->Timer.async_wait(
        [Self = this->shared_from_this(),
         Generation = ++this->TimerGeneration](const ErrorCode &Error) {
          ErrorCode IgnoredError;
          if (!Error && Generation == Self->TimerGeneration)
            Self->Socket.cancel(IgnoredError);
        });
  }

  /// Stops the timer. Also invalidates a timer handler that is already queued,
  /// which would otherwise cancel the next operation.
  void stopTimer() {
    ++this->TimerGeneration;
    this->Timer.cancel();
  }

  void close() {
    ErrorCode IgnoredError;
    this->Timer.cancel();
    this->Socket.shutdown(Tcp::socket::shutdown_both, IgnoredError);
    this->Socket.close(IgnoredError);
  }

  std::shared_ptr<CallerServer> Server;
  Tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  bool IsHandling = false;
  std::uint64_t TimerGeneration = 0;
};

CallerServer::CallerServer(asio::io_context &IoContext, LimitsProvider Provider,
                           Handler RequestHandler)
    : Context(IoContext), GetLimits(std::move(Provider)),
      HandleRequest(std::move(RequestHandler)) {}

void CallerServer::start(Tcp::acceptor ListeningSocket) {
  this->Acceptor = std::move(ListeningSocket);
  asio::co_spawn(
      this->Context,
      [Self = this->shared_from_this()] { return Self->acceptLoop(); },
      asio::detached);
}

asio::awaitable<void> CallerServer::acceptLoop() {
  while (!this->AcceptStopped) {
    auto [Error, Socket] = co_await this->Acceptor->async_accept(NoThrow);
    if (this->AcceptStopped)
      break;
    if (Error) {
      logLine(LogLevel::Warning, "failed to accept an HTTP connection",
              {{"error", Error.message()}});
      asio::steady_timer RetryTimer(this->Context, internal::AcceptBackoff);
      co_await RetryTimer.async_wait(NoThrow);
      continue;
    }
    auto NewSession =
        std::make_shared<Session>(this->shared_from_this(), std::move(Socket));
    asio::co_spawn(
        this->Context, [NewSession] { return NewSession->run(); },
        asio::detached);
  }
}

void CallerServer::wakeIdleSessions() {
  for (Session *IdleSession : this->IdleSessions)
    IdleSession->wake();
}

void CallerServer::startDraining(Millis IdleTimeout) {
  this->DrainIdleTimeout = IdleTimeout;
  this->wakeIdleSessions();
}

void CallerServer::closeIdleConnections() {
  this->ReadStopped = true;
  this->wakeIdleSessions();
}

void CallerServer::stopAccepting() {
  this->AcceptStopped = true;
  ErrorCode IgnoredError;
  if (this->Acceptor)
    this->Acceptor->close(IgnoredError);
}

} // namespace persimmonquay
