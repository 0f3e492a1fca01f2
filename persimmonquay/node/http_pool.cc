#include "persimmonquay/node/http_pool.h"

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

/// Servers keep idle connections longer than this; see http_server.cc.
constexpr Millis MaxIdle{5000};
constexpr std::size_t MaxIdlePerPlace = 64;
constexpr Millis ConnectTimeout{1000};
/// The library sends a head of this size at once.
constexpr std::size_t MaxHeadInOnePiece = 2048;
constexpr std::size_t HeaderFieldOverhead = 4;
constexpr std::size_t MaxReplyBytes = 16 << 20;
/// Longer than any idle time, so that the library never reconnects by itself.
constexpr long LibraryKeepAliveSeconds = 3600;

using Code = ExchangeResult::Code;
using Poco::Net::HTTPClientSession;

Poco::Timespan toPoco(Millis Time) {
  return Poco::Timespan(std::max<Millis::rep>(Time.count(), 1) * 1000);
}

/// Reads the body while checking time and length.
bool readBody(std::istream &Stream, std::size_t Length, MonoTime Deadline,
              std::string *Body) {
  std::array<char, 16384> Buffer;
  Body->clear();
  while (Body->size() < Length && monoNow() < Deadline) {
    const std::size_t Wanted = std::min(Buffer.size(), Length - Body->size());
    Stream.read(Buffer.data(), static_cast<std::streamsize>(Wanted));
    const auto Got = static_cast<std::size_t>(Stream.gcount());
    if (Got == 0)
      return false;
    Body->append(Buffer.data(), Got);
  }
  return Body->size() == Length;
}

bool hasNoBody(const std::string &Method, int Status) {
  return Method == "HEAD" || Status == 204 || Status == 304;
}

/// Receives the answer; returns an error text, empty for a whole answer.
std::string receive(HTTPClientSession *Session, const std::string &Method,
                    MonoTime Deadline, CallReply *Reply, bool *KeepAlive) {
  Poco::Net::HTTPResponse Response;
  std::istream &Stream = Session->receiveResponse(Response);
  Reply->Status = Response.getStatus();
  for (const auto &[Name, Value] : Response)
    Reply->Headers.push_back(HeaderField{Name, Value});
  *KeepAlive = Response.getKeepAlive();
  if (hasNoBody(Method, Reply->Status))
    return "";
  const auto Length = Response.getContentLength64();
  if (Response.getChunkedTransferEncoding() || Length < 0)
    return "the answer does not state its length";
  if (static_cast<std::size_t>(Length) > MaxReplyBytes)
    return absl::StrCat("the answer is longer than ", MaxReplyBytes, " bytes");
  if (!readBody(Stream, static_cast<std::size_t>(Length), Deadline,
                &Reply->Body))
    return "the answer was cut short";
  return "";
}

/// Returns whether an idle connection is open and holds no stray bytes. One
/// call in place of the library's poll(), which opens and closes an epoll
/// object each time.
bool isQuiet(const Poco::Net::StreamSocket &Socket) {
  char Byte = 0;
  const auto Received =
      ::recv(Socket.impl()->sockfd(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
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

Poco::Net::HTTPRequest headOf(const CallRequest &Request,
                              const std::string &Address, std::uint16_t Port) {
  Poco::Net::HTTPRequest Head(Request.Method, Request.Target,
                              Poco::Net::HTTPMessage::HTTP_1_1);
  for (const HeaderField &Field : Request.Headers)
    Head.add(Field.Name, Field.Value);
  Head.setHost(Address, Port);
  Head.setKeepAlive(true);
  Head.setContentLength64(static_cast<Poco::Int64>(Request.Body.size()));
  return Head;
}

/// Sends the head and returns the stream for the body.
std::ostream *sendHead(const Poco::Net::HTTPRequest &Head, Millis Timeout,
                       HTTPClientSession *Session) {
  // The session's own timeouts take effect only when it connects by itself.
  Session->socket().setReceiveTimeout(toPoco(Timeout));
  Session->socket().setSendTimeout(toPoco(Timeout));
  Poco::Net::HTTPRequest Copy(Head);
  return &Session->sendRequest(Copy);
}

/// Sends the head over a kept connection. Returns null when the other side had
/// closed it: a head that leaves in one piece was then not sent at all, and may
/// go over another connection. A longer head needs a new connection anyway.
std::ostream *sendHeadOnKept(const Poco::Net::HTTPRequest &Head, Millis Timeout,
                             HTTPClientSession *Session) {
  std::size_t Bytes = Head.getMethod().size() + Head.getURI().size();
  for (const auto &[Name, Value] : Head)
    Bytes += Name.size() + Value.size() + HeaderFieldOverhead;
  if (Bytes > MaxHeadInOnePiece)
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
                                  Connection Wanted) {
  const std::string Place = absl::StrCat(Address, ":", Port);
  const MonoTime Deadline = monoNow() + Timeout;
  const Poco::Net::HTTPRequest Head = internal::headOf(Request, Address, Port);
  ExchangeResult Result;
  std::unique_ptr<Session> Link;
  std::ostream *Body = nullptr;
  if (Wanted == Connection::Any) {
    Link = this->takeIdle(Place);
    if (Link != nullptr)
      Body = internal::sendHeadOnKept(Head, Timeout, Link.get());
  }
  try {
    if (Body == nullptr) {
      Link = internal::connect(Address, Port, Timeout);
      Result.Status = internal::Code::AnswerLost;
      Body = internal::sendHead(Head, Timeout, Link.get());
    }
  } catch (const Poco::Exception &Error) {
    Result.Detail = absl::StrCat(Place, ": ", Error.displayText());
    return Result;
  }
  Result.Status = internal::Code::AnswerLost;
  bool KeepAlive = false;
  try {
    *Body << Request.Body << std::flush;
    Result.Detail = internal::receive(Link.get(), Request.Method, Deadline,
                                      &Result.Reply, &KeepAlive);
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
      this->keepIdle(Place, std::move(Link));
  } else if (Result.TimedOut) {
    this->closeIdle(Place);
  }
  return Result;
}

bool HttpPool::canConnect(const std::string &Address, std::uint16_t Port,
                          Millis Timeout) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(Address, Port),
                   internal::toPoco(Timeout));
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

std::unique_ptr<Poco::Net::HTTPClientSession>
HttpPool::takeIdle(const std::string &Place) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<IdleSession> &Kept = this->Idle[Place];
  while (!Kept.empty()) {
    IdleSession Newest = std::move(Kept.back());
    Kept.pop_back();
    const bool Fresh = monoNow() - Newest.Since < internal::MaxIdle;
    if (Fresh && internal::isQuiet(Newest.Connection->socket()))
      return std::move(Newest.Connection);
  }
  return nullptr;
}

void HttpPool::keepIdle(const std::string &Place,
                        std::unique_ptr<Session> Connection) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<IdleSession> &Kept = this->Idle[Place];
  if (Kept.size() < internal::MaxIdlePerPlace)
    Kept.push_back(IdleSession{std::move(Connection), monoNow()});
}

void HttpPool::closeIdle(const std::string &Place) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Idle.erase(Place);
}

} // namespace persimmonquay
