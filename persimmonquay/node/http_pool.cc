#include "persimmonquay/node/http_pool.h"

#include "persimmonquay/base/http_status.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <istream>
#include <sys/socket.h>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Shorter than KeepAliveTimeout in http_server.cc, so that the server doesn't
/// close an idle connection before the pool does.
constexpr Millis MaxIdleTime{5000};
constexpr std::size_t MaxIdlePerAuthority = 64;
constexpr Millis ConnectTimeout{1000};
/// Largest request head that the library sends in a single write.
constexpr std::size_t MaxSingleWriteHeadBytes = 2048;
/// Bytes of ": " and the line end of a header field.
constexpr std::size_t HeaderFieldOverhead = 4;
constexpr std::size_t MaxResponseBytes = 16 << 20;
/// Longer than MaxIdleTime, so that the library never reconnects by itself.
constexpr long LibraryKeepAliveSeconds = 3600;

using Code = ExchangeResult::Code;
using Poco::Net::HTTPClientSession;

Poco::Timespan toPoco(Millis Time) {
  return Poco::Timespan(std::max<Millis::rep>(Time.count(), 1) * 1000);
}

/// Reads a body of `Length` bytes. Returns false when it is truncated or
/// `Deadline` passes first.
bool readBody(std::istream &Stream, std::size_t Length, MonoTime Deadline,
              std::string *Body) {
  std::array<char, 16384> Buffer;
  Body->clear();
  while (Body->size() < Length && monoNow() < Deadline) {
    const std::size_t ChunkSize =
        std::min(Buffer.size(), Length - Body->size());
    Stream.read(Buffer.data(), static_cast<std::streamsize>(ChunkSize));
    const auto BytesRead = static_cast<std::size_t>(Stream.gcount());
    if (BytesRead == 0)
      return false;
    Body->append(Buffer.data(), BytesRead);
  }
  return Body->size() == Length;
}

bool hasNoBody(const std::string &Method, int Status) {
  return Method == "HEAD" || Status == 204 || Status == 304;
}

/// Receives the response. Returns an error message, empty if it is complete.
std::string receive(HTTPClientSession *Session, const std::string &Method,
                    MonoTime Deadline, CallResponse *Response,
                    bool *KeepAlive) {
  Poco::Net::HTTPResponse Head;
  std::istream &Stream = Session->receiveResponse(Head);
  Response->Status = Head.getStatus();
  if (!isFinalStatus(static_cast<unsigned>(Response->Status)))
    return absl::StrCat("the answer has the status ", Response->Status);
  for (const auto &[Name, Value] : Head)
    Response->Headers.push_back(HeaderField{Name, Value});
  *KeepAlive = Head.getKeepAlive();
  if (hasNoBody(Method, Response->Status))
    return "";
  const auto Length = Head.getContentLength64();
  if (Head.getChunkedTransferEncoding() || Length < 0)
    return "the answer does not state its length";
  if (static_cast<std::size_t>(Length) > MaxResponseBytes)
    return absl::StrCat("the answer is longer than ", MaxResponseBytes,
                        " bytes");
  if (!readBody(Stream, static_cast<std::size_t>(Length), Deadline,
                &Response->Body))
    return "the answer was cut short";
  return "";
}

/// Returns whether an idle connection is open and has no unexpected data to
/// read. Uses a single recv() instead of the library's poll(), which creates
/// and closes an epoll instance on each call.
bool isReusable(const Poco::Net::StreamSocket &Socket) {
  char Byte = 0;
  const auto ByteCount =
      ::recv(Socket.impl()->sockfd(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return ByteCount < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::unique_ptr<HTTPClientSession> connect(const std::string &Address,
                                           std::uint16_t Port, Millis Timeout) {
  Poco::Net::StreamSocket Socket;
  Socket.connect(Poco::Net::SocketAddress(Address, Port),
                 toPoco(std::min(Timeout, ConnectTimeout)));
  Socket.setNoDelay(true);
  auto Session = std::make_unique<HTTPClientSession>(Socket);
  Session->setKeepAlive(true);
  Session->setKeepAliveTimeout(Poco::Timespan(LibraryKeepAliveSeconds, 0));
  return Session;
}

Poco::Net::HTTPRequest makeHead(const CallRequest &Request,
                                const std::string &Address,
                                std::uint16_t Port) {
  Poco::Net::HTTPRequest Head(Request.Method, Request.Target,
                              Poco::Net::HTTPMessage::HTTP_1_1);
  for (const HeaderField &Field : Request.Headers)
    Head.add(Field.Name, Field.Value);
  Head.setHost(Address, Port);
  Head.setKeepAlive(true);
  Head.setContentLength64(static_cast<Poco::Int64>(Request.Body.size()));
  return Head;
}

/// Sends the request head and returns the stream for the body.
std::ostream *sendHead(const Poco::Net::HTTPRequest &Head, Millis Timeout,
                       HTTPClientSession *Session) {
  // The session applies its own timeouts only when it opens the connection
  // itself, which it doesn't here.
  Session->socket().setReceiveTimeout(toPoco(Timeout));
  Session->socket().setSendTimeout(toPoco(Timeout));
  Poco::Net::HTTPRequest Copy(Head);
  return &Session->sendRequest(Copy);
}

/// Sends the request head over an idle connection. Returns null when the server
/// has closed it: since the head is sent in a single write, none of it was
/// sent, and the request may be sent over another connection. Also returns null
/// for a head too long for a single write, which always needs a new connection.
std::ostream *sendHeadOnIdle(const Poco::Net::HTTPRequest &Head, Millis Timeout,
                             HTTPClientSession *Session) {
  std::size_t Bytes = Head.getMethod().size() + Head.getURI().size();
  for (const auto &[Name, Value] : Head)
    Bytes += Name.size() + Value.size() + HeaderFieldOverhead;
  if (Bytes > MaxSingleWriteHeadBytes)
    return nullptr;
  try {
    return sendHead(Head, Timeout, Session);
  } catch (const Poco::Exception &) {
    return nullptr;
  }
}

} // namespace internal

HttpPool::HttpPool() = default;
HttpPool::~HttpPool() = default;

ExchangeResult HttpPool::exchange(const std::string &Address,
                                  std::uint16_t Port,
                                  const CallRequest &Request, Millis Timeout,
                                  ConnectionPolicy Policy) {
  const std::string Authority = absl::StrCat(Address, ":", Port);
  const MonoTime Deadline = monoNow() + Timeout;
  const Poco::Net::HTTPRequest Head =
      internal::makeHead(Request, Address, Port);
  ExchangeResult Result;
  std::unique_ptr<Session> ActiveSession;
  std::ostream *Body = nullptr;
  if (Policy == ConnectionPolicy::ReuseIdle) {
    ActiveSession = this->takeIdleSession(Authority);
    if (ActiveSession != nullptr)
      Body = internal::sendHeadOnIdle(Head, Timeout, ActiveSession.get());
  }
  try {
    if (Body == nullptr) {
      ActiveSession = internal::connect(Address, Port, Timeout);
      Result.Status = internal::Code::ResponseLost;
      Body = internal::sendHead(Head, Timeout, ActiveSession.get());
    }
  } catch (const Poco::Exception &Error) {
    Result.Detail = absl::StrCat(Authority, ": ", Error.displayText());
    return Result;
  }
  Result.Status = internal::Code::ResponseLost;
  bool KeepAlive = false;
  try {
    *Body << Request.Body << std::flush;
    Result.Detail = internal::receive(ActiveSession.get(), Request.Method,
                                      Deadline, &Result.Response, &KeepAlive);
  } catch (const Poco::TimeoutException &) {
    Result.TimedOut = true;
    Result.Detail = "no answer in time";
  } catch (const Poco::Exception &Error) {
    Result.Detail = Error.displayText();
  }
  Result.TimedOut |= !Result.Detail.empty() && monoNow() >= Deadline;
  if (Result.Detail.empty()) {
    Result.Status = internal::Code::Answered;
    if (KeepAlive)
      this->storeIdleSession(Authority, std::move(ActiveSession));
  } else if (Result.TimedOut) {
    this->closeIdleSessions(Authority);
  }
  return Result;
}

bool HttpPool::isListening(const std::string &Address, std::uint16_t Port,
                           Millis ConnectTimeout, Millis ConfirmTime) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(Address, Port),
                   internal::toPoco(ConnectTimeout));
    // The server sends nothing before a request, so the connection becomes
    // readable only if it is closed.
    return !Socket.poll(internal::toPoco(ConfirmTime),
                        Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception &) {
    return false;
  }
}

std::unique_ptr<Poco::Net::HTTPClientSession>
HttpPool::takeIdleSession(const std::string &Authority) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<IdleSession> &Sessions = this->IdleSessions[Authority];
  while (!Sessions.empty()) {
    IdleSession NewestSession = std::move(Sessions.back());
    Sessions.pop_back();
    const bool IsFresh =
        monoNow() - NewestSession.IdleSince < internal::MaxIdleTime;
    if (IsFresh && internal::isReusable(NewestSession.Connection->socket()))
      return std::move(NewestSession.Connection);
  }
  return nullptr;
}

void HttpPool::storeIdleSession(const std::string &Authority,
                                std::unique_ptr<Session> Connection) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<IdleSession> &Sessions = this->IdleSessions[Authority];
  if (Sessions.size() < internal::MaxIdlePerAuthority)
    Sessions.push_back(IdleSession{std::move(Connection), monoNow()});
}

void HttpPool::closeIdleSessions(const std::string &Authority) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->IdleSessions.erase(Authority);
}

} // namespace persimmonquay
