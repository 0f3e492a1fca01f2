#include "persimmonquay/daemon/caller_server.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/sockets.h"
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace persimmonquay {
namespace internal {

/// Time after which an answer that a caller doesn't take is given up.
constexpr Millis CallerSilenceLimit{10000};

/// Interval at which an idle connection looks whether the server closes.
constexpr Millis ClosingCheckInterval{200};

/// Longest time for the body of one request after its header.
constexpr Millis BodyTimeout{30000};

/// Pause after a failed accept, mostly for want of descriptors.
constexpr Millis AcceptPause{100};

/// Returns the status that tells a caller what was wrong with its request, or
/// no status when there is nobody to tell.
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

/// One connection of a caller.
class CallerServer::Session : public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<CallerServer> Owner, Tcp::socket Connection)
      : Server(std::move(Owner)), Socket(std::move(Connection)),
        Timer(Server->Context) {
    ++this->Server->Sessions;
    configureConnection(this->Socket, internal::CallerSilenceLimit);
  }
  ~Session() { --this->Server->Sessions; }

  asio::awaitable<void> run() {
    while (co_await this->waitForRequest()) {
      auto Request = std::make_shared<CallerRequest>(this->Server->Context);
      if (!co_await this->read(*Request))
        break;
      ++this->Server->UnderWay;
      HttpResponse Answer = co_await this->handle(Request);
      const bool Open = !Request->CallerLeft &&
                        co_await this->write(std::move(Answer),
                                             Request->Message.keep_alive());
      --this->Server->UnderWay;
      if (!Open)
        break;
    }
    this->close();
  }

  /// Ends the wait for a request, so that it is seen that the server closes.
  void wake() {
    ErrorCode Ignored;
    this->Socket.cancel(Ignored);
  }

private:
  /// Waits for the first byte of a request. Returns false when the connection
  /// ends first or has been idle for too long.
  asio::awaitable<bool> waitForRequest() {
    this->Server->Waiting.insert(this);
    const bool Arrived = co_await this->waitForBytes();
    this->Server->Waiting.erase(this);
    co_return Arrived && !this->Server->ReadsNothing;
  }

  asio::awaitable<bool> waitForBytes() {
    const MonoTime Start = monoNow();
    while (this->Buffer.size() == 0 && !this->Server->ReadsNothing) {
      const Millis Idle = this->Server->ClosingIdle.value_or(
          this->Server->Limits().IdleTimeout);
      const auto Waited = std::chrono::duration_cast<Millis>(monoNow() - Start);
      if (this->Server->Stopped || Waited >= Idle)
        co_return peekConnection(this->Socket) == ConnectionState::Readable;
      this->cancelAfter(this->Server->ClosingIdle
                            ? internal::ClosingCheckInterval
                            : Idle - Waited);
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
    const CallerServerLimits Limits = this->Server->Limits();
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(Limits.MaxHeaderBytes);
    Parser.body_limit(Limits.MaxBodyBytes);
    this->cancelAfter(Limits.HeaderTimeout);
    auto [Error, Size] = co_await http::async_read_header(
        this->Socket, this->Buffer, Parser, NoThrow);
    if (!Error && Parser.get()[http::field::expect] == "100-continue")
      co_await this->sendContinue();
    if (!Error && !Parser.is_done()) {
      this->cancelAfter(internal::BodyTimeout);
      const auto [BodyError, BodySize] = co_await http::async_read(
          this->Socket, this->Buffer, Parser, NoThrow);
      Error = BodyError;
    }
    this->stopTimer();
    if (Error) {
      co_await this->refuse(Error);
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

  asio::awaitable<void> refuse(const ErrorCode &Error) {
    const std::optional<http::status> Status =
        Error == asio::error::operation_aborted
            ? http::status::request_timeout
            : internal::statusOfReadError(Error);
    if (!Status)
      co_return;
    logLine(LogLevel::Info, "request refused while it was read",
            {{"error", Error.message()},
             {"status", std::to_string(static_cast<unsigned>(*Status))}});
    HttpResponse Answer{*Status, 11};
    Answer.body() = Error.message();
    co_await this->write(std::move(Answer), false);
  }

  asio::awaitable<HttpResponse>
  handle(const std::shared_ptr<CallerRequest> &Request) {
    this->Handling = true;
    this->Socket.async_wait(
        Tcp::socket::wait_read,
        [Self = this->shared_from_this(), Request](const ErrorCode &Error) {
          // Data means that the caller sends its next request already.
          if (Self->Handling && !Error &&
              peekConnection(Self->Socket) == ConnectionState::Closed) {
            Request->CallerLeft = true;
            Request->Wake.cancel();
          }
        });
    HttpResponse Answer = co_await this->Server->Handle(Request);
    this->Handling = false;
    ErrorCode Ignored;
    this->Socket.cancel(Ignored);
    co_return Answer;
  }

  asio::awaitable<bool> write(HttpResponse Answer, bool KeepAlive) {
    const bool Keep = KeepAlive && !this->Server->ClosingIdle;
    Answer.version(11);
    Answer.keep_alive(Keep);
    Answer.prepare_payload();
    const auto [Error, Size] =
        co_await http::async_write(this->Socket, Answer, NoThrow);
    co_return !Error && Keep;
  }

  void cancelAfter(Millis Time) {
    this->Timer.expires_after(Time);
    this->Timer.async_wait(
        [Self = this->shared_from_this(),
         Round = ++this->TimerRound](const ErrorCode &Error) {
          ErrorCode Ignored;
          if (!Error && Round == Self->TimerRound)
            Self->Socket.cancel(Ignored);
        });
  }

  /// A handler that is due already must not cancel what comes next.
  void stopTimer() {
    ++this->TimerRound;
    this->Timer.cancel();
  }

  void close() {
    ErrorCode Ignored;
    this->Timer.cancel();
    this->Socket.shutdown(Tcp::socket::shutdown_both, Ignored);
    this->Socket.close(Ignored);
  }

  std::shared_ptr<CallerServer> Server;
  Tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  bool Handling = false;
  std::uint64_t TimerRound = 0;
};

CallerServer::CallerServer(asio::io_context &Loop, LimitsSource Bounds,
                           Handler Function)
    : Context(Loop), Limits(std::move(Bounds)), Handle(std::move(Function)) {}

void CallerServer::start(Tcp::acceptor Listener) {
  this->Acceptor = std::move(Listener);
  asio::co_spawn(
      this->Context,
      [Self = this->shared_from_this()] { return Self->acceptLoop(); },
      asio::detached);
}

asio::awaitable<void> CallerServer::acceptLoop() {
  while (!this->Stopped) {
    auto [Error, Socket] = co_await this->Acceptor->async_accept(NoThrow);
    if (this->Stopped)
      break;
    if (Error) {
      logLine(LogLevel::Warning, "accept failed", {{"error", Error.message()}});
      asio::steady_timer Pause(this->Context, internal::AcceptPause);
      co_await Pause.async_wait(NoThrow);
      continue;
    }
    auto Connection =
        std::make_shared<Session>(this->shared_from_this(), std::move(Socket));
    asio::co_spawn(
        this->Context, [Connection] { return Connection->run(); },
        asio::detached);
  }
}

void CallerServer::wakeWaiting() {
  for (Session *Each : this->Waiting)
    Each->wake();
}

void CallerServer::startDraining(Millis IdleFor) {
  this->ClosingIdle = IdleFor;
  this->wakeWaiting();
}

void CallerServer::closeIdleConnections() {
  this->ReadsNothing = true;
  this->wakeWaiting();
}

void CallerServer::stopAccepting() {
  this->Stopped = true;
  ErrorCode Ignored;
  if (this->Acceptor)
    this->Acceptor->close(Ignored);
}

} // namespace persimmonquay
