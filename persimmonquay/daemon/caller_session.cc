#include "persimmonquay/daemon/caller_session.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/caller_request.h"
#include "persimmonquay/daemon/sockets.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace persimmonquay {
namespace internal {

/// TCP user timeout of connections from callers, and timeout for a write
/// without progress: a response that the caller doesn't read for this long is
/// abandoned.
constexpr Millis CallerTcpTimeout{10000};

/// Interval at which a connection with unread bytes is checked for its end,
/// which can't be read before these bytes.
constexpr Millis ConnectionCheckInterval{200};

/// How long a connection is kept after its last response for the caller to
/// close it.
constexpr Millis LingerTimeout{1000};
constexpr std::size_t DiscardChunkBytes = 1024;

/// Returns the status of the error response to a request that can't be read.
http::status statusOfReadError(const ErrorCode &Error) {
  if (Error == http::error::header_limit)
    return http::status::request_header_fields_too_large;
  if (Error == http::error::body_limit)
    return http::status::payload_too_large;
  return http::status::bad_request;
}

/// Reduces the Retry-After of a response by the time for which the response has
/// waited for its turn.
void shortenRetryAfter(HttpResponse &Response, MonoTime ReadyAt, MonoTime Now) {
  double Seconds = 0;
  if (!absl::SimpleAtod(std::string(Response[http::field::retry_after]),
                        &Seconds))
    return;
  const std::chrono::duration<double> Waited = Now - ReadyAt;
  Response.set(
      http::field::retry_after,
      absl::StrFormat("%.3f", std::max(Seconds - Waited.count(), 0.0)));
}

} // namespace internal

CallerSession::CallerSession(std::shared_ptr<CallerServerState> SharedState,
                             Tcp::socket Connection)
    : State(std::move(SharedState)), Socket(std::move(Connection)),
      ReadTimer(State->Context), WriteTimer(State->Context),
      Pipeline(State->GetLimits().Pipeline), IdleSince(monoNow()) {
  this->State->Sessions.insert(this);
  configureConnection(this->Socket, internal::CallerTcpTimeout);
  ErrorCode IgnoredError;
  this->Socket.non_blocking(true, IgnoredError);
  if (this->State->DrainIdleTimeout)
    this->Pipeline.startClosing();
}

CallerSession::~CallerSession() { this->State->Sessions.erase(this); }

asio::awaitable<void> CallerSession::run() {
  // The writer and the handlers may outlive the reader.
  const std::shared_ptr<CallerSession> Self = this->shared_from_this();
  co_await this->readRequests();
  this->close();
}

void CallerSession::startDraining() {
  for (const std::uint64_t Number : this->Pipeline.startClosing())
    this->removeExchange(Number);
  this->wake();
}

void CallerSession::wake() {
  this->ReadCancellation.emit(asio::cancellation_type::total);
  this->ReadTimer.cancel();
}

asio::awaitable<void> CallerSession::readRequests() {
  bool IsOpen = true;
  while (IsOpen && !this->IsClosed && !this->LingerEnd) {
    if (this->State->ReadStopped && this->Pipeline.empty())
      co_return;
    if (!this->mayReadRequest()) {
      IsOpen = co_await this->awaitRoom();
      // The time without room doesn't count against the caller.
      this->StageStart = monoNow();
      continue;
    }
    if (this->decodeRequest())
      continue;
    if (this->Decoder.awaitsContinue() && this->Pipeline.empty()) {
      co_await this->sendContinue();
      continue;
    }
    IsOpen = co_await this->receive();
  }
  if (IsOpen && !this->IsClosed)
    co_await this->discardBytes();
}

bool CallerSession::mayReadRequest() const {
  return this->Pipeline.acceptsRequest() &&
         (this->Pipeline.empty() ||
          this->State->PipelineBytes <
              this->State->GetLimits().MaxPipelineBytes);
}

bool CallerSession::decodeRequest() {
  const DecodeResult Result =
      this->Decoder.decode(this->State->GetLimits().Message);
  if (Result == DecodeResult::Complete) {
    this->addRequest(this->Decoder.takeMessage());
  } else if (Result == DecodeResult::Failed) {
    const ErrorCode &Error = this->Decoder.error();
    this->addReadError(internal::statusOfReadError(Error), Error.message());
  } else if (this->Decoder.stage() != this->Stage) {
    this->Stage = this->Decoder.stage();
    this->StageStart = monoNow();
  }
  return Result != DecodeResult::Incomplete;
}

void CallerSession::addRequest(HttpRequest Message) {
  this->Stage = HttpDecoder<true>::Stage::Idle;
  PipelinedRequest Request;
  Request.IsIdempotent =
      this->State->IsIdempotent && this->State->IsIdempotent(Message);
  Request.IsLast = !Message.keep_alive();
  Request.Bytes = Message.body().size();
  Exchange NewExchange;
  NewExchange.Request = std::make_shared<CallerRequest>(this->State->Context);
  NewExchange.Request->Arrival = monoNow();
  NewExchange.Request->Message = std::move(Message);
  this->addExchange(Request, std::move(NewExchange));
}

void CallerSession::addReadError(http::status Status,
                                 const std::string &Reason) {
  logLine(LogLevel::Info, "request refused while it was read",
          {{"error", Reason},
           {"status", std::to_string(static_cast<unsigned>(Status))}});
  PipelinedRequest Request;
  Request.IsIdempotent = true;
  Request.IsLast = true;
  Exchange NewExchange;
  NewExchange.Response.emplace(Status, 11);
  NewExchange.Response->body() = Reason;
  this->addExchange(Request, std::move(NewExchange));
}

void CallerSession::addExchange(const PipelinedRequest &Request,
                                Exchange NewExchange) {
  const std::uint64_t Number = this->Pipeline.add(Request);
  this->Exchanges.emplace(Number, std::move(NewExchange));
  ++this->State->RequestCount;
  this->updateByteCount();
  this->startRequests();
}

void CallerSession::updateByteCount() {
  this->State->PipelineBytes += this->Pipeline.bytes() - this->CountedBytes;
  this->CountedBytes = this->Pipeline.bytes();
}

asio::awaitable<bool> CallerSession::awaitRoom() {
  if (peekConnection(this->Socket) == ConnectionState::Readable) {
    this->ReadTimer.expires_after(internal::ConnectionCheckInterval);
    co_await this->ReadTimer.async_wait(NoThrow);
    co_return !this->IsClosed && !hasPeerClosed(this->Socket);
  }
  co_await this->awaitBytes(std::nullopt);
  co_return !this->IsClosed &&
      peekConnection(this->Socket) != ConnectionState::Closed;
}

std::optional<MonoTime> CallerSession::receiveDeadline() const {
  const CallerServerLimits Limits = this->State->GetLimits();
  switch (this->Stage) {
  case HttpDecoder<true>::Stage::Header:
    return this->StageStart + Limits.HeaderTimeout;
  case HttpDecoder<true>::Stage::Body:
    return this->StageStart + Limits.BodyTimeout;
  case HttpDecoder<true>::Stage::Idle:
    break;
  }
  if (!this->Pipeline.empty())
    return std::nullopt;
  return this->IdleSince +
         this->State->DrainIdleTimeout.value_or(Limits.IdleTimeout);
}

asio::awaitable<bool> CallerSession::receive() {
  const WaitResult Result = co_await this->awaitBytes(this->receiveDeadline());
  if (this->IsClosed)
    co_return false;
  if (Result == WaitResult::Woken)
    co_return true;
  if (Result == WaitResult::TimedOut) {
    if (this->Stage != HttpDecoder<true>::Stage::Idle) {
      this->addReadError(http::status::request_timeout,
                         "the request was not sent in time");
      co_return true;
    }
    // A request may have arrived in the same instant.
    if (peekConnection(this->Socket) != ConnectionState::Readable)
      co_return false;
  }
  ErrorCode Error;
  const std::size_t Size =
      this->Socket.read_some(this->Decoder.prepare(), Error);
  if (Error == asio::error::would_block)
    co_return true;
  if (Error)
    co_return false;
  this->Decoder.commit(Size);
  co_return true;
}

asio::awaitable<CallerSession::WaitResult>
CallerSession::awaitBytes(std::optional<MonoTime> Deadline) {
  const std::uint64_t Wait = ++this->ReadWait;
  this->ReadTimedOut = false;
  if (Deadline) {
    this->ReadTimer.expires_at(*Deadline);
    this->ReadTimer.async_wait(
        [Self = this->shared_from_this(), Wait](const ErrorCode &Error) {
          if (Error || Wait != Self->ReadWait)
            return;
          Self->ReadTimedOut = true;
          Self->ReadCancellation.emit(asio::cancellation_type::total);
        });
  }
  const auto [Error] = co_await this->Socket.async_wait(
      Tcp::socket::wait_read,
      asio::bind_cancellation_slot(this->ReadCancellation.slot(), NoThrow));
  ++this->ReadWait;
  if (Deadline)
    this->ReadTimer.cancel();
  if (this->ReadTimedOut)
    co_return WaitResult::TimedOut;
  co_return Error ? WaitResult::Woken : WaitResult::Readable;
}

asio::awaitable<void> CallerSession::sendContinue() {
  http::response<http::empty_body> Continue{http::status::continue_, 11};
  this->Decoder.recordContinue();
  co_await http::async_write(this->Socket, Continue, NoThrow);
}

void CallerSession::startRequests() {
  // After a pause of this process, the caller may have left long ago, which the
  // reader has not noticed yet.
  if (hasPeerClosed(this->Socket)) {
    this->close();
    return;
  }
  for (const std::uint64_t Number : this->Pipeline.startRequests()) {
    // Completing a request may have closed the connection.
    if (this->IsClosed)
      return;
    Exchange &Started = this->Exchanges.at(Number);
    if (Started.Response) {
      this->complete(Number, *std::move(Started.Response));
      continue;
    }
    Started.Request->RequestsAhead = this->Pipeline.requestsAhead(Number);
    asio::co_spawn(
        this->State->Context,
        [Self = this->shared_from_this(), Number] {
          return Self->handle(Number);
        },
        asio::detached);
  }
}

asio::awaitable<void> CallerSession::handle(std::uint64_t Number) {
  if (this->IsClosed)
    co_return;
  HttpResponse Response =
      co_await this->State->HandleRequest(this->Exchanges.at(Number).Request);
  if (!this->IsClosed)
    this->complete(Number, std::move(Response));
}

void CallerSession::complete(std::uint64_t Number, HttpResponse Response) {
  Exchange &Completed = this->Exchanges.at(Number);
  this->Pipeline.complete(Number, Response.body().size());
  Completed.Response = std::move(Response);
  Completed.ResponseReadyAt = monoNow();
  this->updateByteCount();
  this->startRequests();
  this->startWriting();
}

void CallerSession::startWriting() {
  if (std::exchange(this->IsWriting, true))
    return;
  asio::co_spawn(
      this->State->Context,
      [Self = this->shared_from_this()] { return Self->writeResponses(); },
      asio::detached);
}

asio::awaitable<void> CallerSession::writeResponses() {
  while (!this->IsClosed) {
    const std::optional<PipelinedResponse> Next = this->Pipeline.startWrite();
    if (!Next)
      break;
    Exchange &Head = this->Exchanges.at(Next->Number);
    HttpResponse Response = *std::move(Head.Response);
    internal::shortenRetryAfter(Response, Head.ResponseReadyAt, monoNow());
    Response.version(11);
    Response.keep_alive(!Next->Closes);
    Response.prepare_payload();
    const bool IsWritten = co_await this->write(std::move(Response));
    if (this->IsClosed)
      break;
    const bool HadRoom = this->mayReadRequest();
    this->Pipeline.finishWrite();
    this->removeExchange(Next->Number);
    if (!IsWritten)
      this->close();
    else if (Next->Closes)
      this->startLingering();
    if (!IsWritten || Next->Closes)
      break;
    this->startRequests();
    // The reader has to notice that there is room or that the connection is
    // idle now.
    if (this->Pipeline.empty())
      this->IdleSince = monoNow();
    if (this->Pipeline.empty() || !HadRoom)
      this->wake();
  }
  this->IsWriting = false;
}

asio::awaitable<bool> CallerSession::write(HttpResponse Response) {
  http::response_serializer<http::string_body> Serializer{Response};
  while (!Serializer.is_done()) {
    const std::uint64_t Wait = ++this->WriteWait;
    this->WriteTimer.expires_after(internal::CallerTcpTimeout);
    this->WriteTimer.async_wait(
        [Self = this->shared_from_this(), Wait](const ErrorCode &Error) {
          if (Error || Wait != Self->WriteWait)
            return;
          logLine(LogLevel::Info, "caller does not read its response");
          Self->close();
        });
    const auto [Error, Size] =
        co_await http::async_write_some(this->Socket, Serializer, NoThrow);
    ++this->WriteWait;
    this->WriteTimer.cancel();
    if (Error)
      co_return false;
  }
  co_return true;
}

void CallerSession::startLingering() {
  ErrorCode IgnoredError;
  this->Socket.shutdown(Tcp::socket::shutdown_send, IgnoredError);
  this->LingerEnd = monoNow() + internal::LingerTimeout;
  this->wake();
}

asio::awaitable<void> CallerSession::discardBytes() {
  std::array<char, internal::DiscardChunkBytes> Discarded;
  while (!this->IsClosed && !this->State->ReadStopped) {
    const WaitResult Result = co_await this->awaitBytes(this->LingerEnd);
    if (Result == WaitResult::TimedOut || this->IsClosed)
      co_return;
    ErrorCode Error;
    this->Socket.read_some(asio::buffer(Discarded), Error);
    if ((Error && Error != asio::error::would_block) ||
        monoNow() >= *this->LingerEnd)
      co_return;
  }
}

void CallerSession::removeExchange(std::uint64_t Number) {
  this->Exchanges.erase(Number);
  --this->State->RequestCount;
  this->updateByteCount();
}

void CallerSession::close() {
  if (std::exchange(this->IsClosed, true))
    return;
  for (auto &[Number, Open] : this->Exchanges) {
    if (!Open.Request)
      continue;
    Open.Request->CallerDisconnected = true;
    Open.Request->WakeTimer.cancel();
  }
  this->State->RequestCount -= this->Exchanges.size();
  this->State->PipelineBytes -= this->CountedBytes;
  this->CountedBytes = 0;
  this->Exchanges.clear();
  this->wake();
  this->WriteTimer.cancel();
  ErrorCode IgnoredError;
  this->Socket.shutdown(Tcp::socket::shutdown_both, IgnoredError);
  this->Socket.close(IgnoredError);
}

} // namespace persimmonquay
