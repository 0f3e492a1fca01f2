#include "persimmonquay/node/http_server.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/routing/outcome.h"
#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <istream>
#include <thread>
#include <utility>
#include <vector>

namespace persimmonquay {
namespace internal {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Longer than clients of ours keep connections idle; see http_pool.cc.
constexpr Millis KeepAliveTimeout{10000};
constexpr std::size_t MaxTargetBytes = 8192;
constexpr Millis StopPoll{10};
/// Time in which idle connections may bring one more request at a stop.
constexpr Millis IdleGrace{500};

/// A request that is refused before the handler sees it.
struct IntakeError {
  int Status = 0;
  std::string Detail;
};

bool isTokenCharacter(char Value) {
  constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(Value)) != 0 ||
         Symbols.find(Value) != std::string_view::npos;
}

bool isToken(const std::string &Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), isTokenCharacter);
}

bool hasControlCharacter(const std::string &Text) {
  return std::any_of(Text.begin(), Text.end(), [](char Value) {
    return std::iscntrl(static_cast<unsigned char>(Value)) != 0 &&
           Value != '\t';
  });
}

bool isNumber(const std::string &Text) {
  constexpr std::size_t MaxDigits = 15;
  return !Text.empty() && Text.size() <= MaxDigits &&
         std::all_of(Text.begin(), Text.end(), [](char Value) {
           return std::isdigit(static_cast<unsigned char>(Value)) != 0;
         });
}

/// Returns why the request's head is refused; Status 0 when it isn't.
IntakeError checkHead(const HTTPServerRequest &Request,
                      std::size_t MaxBodyBytes) {
  if (!isToken(Request.getMethod()) || Request.getMethod() == "CONNECT")
    return {400, "the method is not supported"};
  const std::string &Target = Request.getURI();
  if (!Target.starts_with("/") || hasControlCharacter(Target) ||
      Target.find(' ') != std::string::npos)
    return {400, "the request target must be a path that starts with /"};
  if (Target.size() > MaxTargetBytes)
    return {414, "the request target is too long"};
  int Lengths = 0;
  for (const auto &[Name, Value] : Request) {
    if (!isToken(Name))
      return {400, "a header name contains a character that is not allowed"};
    if (hasControlCharacter(Value))
      return {400, absl::StrCat("header \"", Name,
                                "\" contains a control character")};
    if (Poco::icompare(Name, std::string("Transfer-Encoding")) == 0)
      return {411, "the length must be stated by Content-Length; "
                   "Transfer-Encoding is not supported"};
    if (Poco::icompare(Name, std::string("Content-Length")) != 0)
      continue;
    if (++Lengths > 1 || !isNumber(Value))
      return {400, "Content-Length must be one number"};
    if (std::stoull(Value) > MaxBodyBytes)
      return {413,
              absl::StrCat("the body is longer than ", MaxBodyBytes, " bytes")};
  }
  return {};
}

/// Reads the whole body or returns why that failed.
IntakeError readBody(HTTPServerRequest *Request, Millis Timeout,
                     std::string *Body) {
  const auto Length =
      Request->hasContentLength()
          ? static_cast<std::size_t>(Request->getContentLength64())
          : 0;
  const MonoTime Deadline = monoNow() + Timeout;
  std::array<char, 16384> Buffer;
  while (Body->size() < Length) {
    if (monoNow() >= Deadline)
      return {408, "the body did not arrive in time"};
    const std::size_t Wanted = std::min(Buffer.size(), Length - Body->size());
    Request->stream().read(Buffer.data(), static_cast<std::streamsize>(Wanted));
    const auto Got = static_cast<std::size_t>(Request->stream().gcount());
    if (Got == 0)
      return {400, "the body was cut short"};
    Body->append(Buffer.data(), Got);
  }
  return {};
}

void sendReply(const CallReply &Reply, bool WithBody,
               HTTPServerResponse *Response) {
  Response->setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Reply.Status));
  for (const HeaderField &Field : Reply.Headers)
    Response->add(Field.Name, Field.Value);
  if (WithBody) {
    // Head and body leave together, so that the receiver wakes up once.
    Response->sendBuffer(Reply.Body.data(), Reply.Body.size());
    return;
  }
  Response->setContentLength64(static_cast<Poco::Int64>(Reply.Body.size()));
  Response->send().flush();
}

CallReply refusalOf(const IntakeError &Error) {
  CallReply Reply;
  Reply.Status = Error.Status;
  Reply.Headers.push_back(HeaderField{"Content-Type", "text/plain"});
  Reply.Headers.push_back(
      HeaderField{OutcomeHeader, std::string(outcomeName(Outcome::NotRun))});
  Reply.Body = Error.Detail + "\n";
  return Reply;
}

/// What the connections of one server share.
struct ServerContext {
  HttpLimits Limits;
  HttpServer::Handler Serve;
  std::atomic<bool> Closing = false;
  std::atomic<std::size_t> Active = 0;
  std::atomic<const Poco::Net::TCPServer *> Server = nullptr;

  bool connectionsWait() const {
    const Poco::Net::TCPServer *Known = this->Server;
    return Known != nullptr && Known->queuedConnections() > 0;
  }
};

struct ActiveCounter {
  std::atomic<std::size_t> *Counter;
  explicit ActiveCounter(std::atomic<std::size_t> *Counter) : Counter(Counter) {
    ++*this->Counter;
  }
  ActiveCounter(const ActiveCounter &) = delete;
  ActiveCounter &operator=(const ActiveCounter &) = delete;
  ~ActiveCounter() { --*this->Counter; }
};

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(ServerContext *Context) : Context(Context) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    const ActiveCounter Counted(&this->Context->Active);
    try {
      this->serve(&Request, &Response);
    } catch (const Poco::Exception &Error) {
      // The connection broke; there is nobody left to tell.
      Response.setKeepAlive(false);
      logLine(LogLevel::Debug, "connection broke",
              {{"error", Error.displayText()}});
    }
  }

private:
  void serve(HTTPServerRequest *Request, HTTPServerResponse *Response) {
    CallRequest Received;
    IntakeError Error = checkHead(*Request, this->Context->Limits.MaxBodyBytes);
    if (Error.Status == 0)
      Error =
          readBody(Request, this->Context->Limits.BodyTimeout, &Received.Body);
    if (Error.Status != 0) {
      // What follows on this connection may be the rest of the request.
      Response->setKeepAlive(false);
      sendReply(refusalOf(Error), true, Response);
      return;
    }
    Received.Method = Request->getMethod();
    Received.Target = Request->getURI();
    for (const auto &[Name, Value] : *Request)
      Received.Headers.push_back(HeaderField{Name, Value});
    const CallReply Reply = this->Context->Serve(Received);
    // While connections wait for a thread, none may keep one for itself.
    if (this->Context->Closing || this->Context->connectionsWait())
      Response->setKeepAlive(false);
    sendReply(Reply, Received.Method != "HEAD", Response);
  }

  ServerContext *Context;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(ServerContext *Context) : Context(Context) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new Handler(this->Context);
  }

private:
  ServerContext *Context;
};

} // namespace internal

class HttpServer::Implementation {
public:
  /// Serves the connections that callers had opened before the port closed but
  /// that the server had not accepted; closing the port would reset them.
  void serveBacklog() {
    std::vector<std::thread> Late;
    while (
        this->Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      Poco::Net::StreamSocket Accepted = this->Socket.acceptConnection();
      Late.emplace_back([this, Accepted] {
        try {
          Poco::Net::HTTPServerConnection(Accepted, this->Parameters,
                                          this->Factory)
              .run();
        } catch (const Poco::Exception &) {
          // The caller closed the connection without a request.
        }
      });
    }
    this->Socket.close();
    for (std::thread &Thread : Late)
      Thread.join();
  }

  internal::ServerContext Context;
  Poco::Net::ServerSocket Socket;
  Poco::AutoPtr<Poco::Net::HTTPServerParams> Parameters;
  Poco::Net::HTTPRequestHandlerFactory::Ptr Factory;
  std::unique_ptr<Poco::ThreadPool> Threads;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

HttpServer::HttpServer() = default;

HttpServer::~HttpServer() { this->stop(Millis(0)); }

absl::Status HttpServer::bind(const std::string &Address, std::uint16_t Port) {
  auto Next = std::make_unique<Implementation>();
  try {
    Next->Socket.bind(Poco::Net::SocketAddress(Address, Port), true);
  } catch (const Poco::Exception &Error) {
    return absl::UnavailableError(absl::StrCat("port ", Port, " of ", Address,
                                               ": ", Error.displayText()));
  }
  this->Impl = std::move(Next);
  return absl::OkStatus();
}

absl::Status HttpServer::serve(const HttpLimits &Limits, Handler Serve) {
  Implementation &Own = *this->Impl;
  Own.Context.Limits = Limits;
  Own.Context.Serve = std::move(Serve);
  Own.Parameters = new Poco::Net::HTTPServerParams();
  Own.Parameters->setMaxThreads(static_cast<int>(Limits.MaxThreads));
  Own.Parameters->setMaxQueued(static_cast<int>(Limits.MaxThreads));
  Own.Parameters->setKeepAlive(true);
  Own.Parameters->setMaxKeepAliveRequests(0);
  Own.Parameters->setKeepAliveTimeout(
      Poco::Timespan(internal::KeepAliveTimeout.count() * 1000));
  Own.Parameters->setTimeout(
      Poco::Timespan(Limits.ReceiveTimeout.count() * 1000));
  Own.Factory = new internal::HandlerFactory(&Own.Context);
  try {
    constexpr int MinThreads = 2;
    Own.Threads = std::make_unique<Poco::ThreadPool>(
        MinThreads, static_cast<int>(Limits.MaxThreads));
    constexpr int Backlog = 256;
    Own.Socket.listen(Backlog);
    Own.Server = std::make_unique<Poco::Net::HTTPServer>(
        Own.Factory, *Own.Threads, Own.Socket, Own.Parameters);
    Own.Context.Server = Own.Server.get();
    Own.Server->start();
  } catch (const Poco::Exception &Error) {
    return absl::UnavailableError(Error.displayText());
  }
  return absl::OkStatus();
}

absl::Status HttpServer::start(const std::string &Address, std::uint16_t Port,
                               const HttpLimits &Limits, Handler Serve) {
  const absl::Status Bound = this->bind(Address, Port);
  return Bound.ok() ? this->serve(Limits, std::move(Serve)) : Bound;
}

void HttpServer::closeAfterAnswers() {
  if (this->Impl != nullptr)
    this->Impl->Context.Closing = true;
}

void HttpServer::stop(Millis Timeout) {
  if (this->Impl == nullptr || this->Impl->Server == nullptr)
    return;
  this->closeAfterAnswers();
  this->Impl->Server->stop();
  this->Impl->serveBacklog();
  const MonoTime Deadline = monoNow() + Timeout;
  const MonoTime IdleDeadline =
      monoNow() + std::min(Timeout, internal::IdleGrace);
  // Connections without a request may still get one; those with one must end.
  while (monoNow() < Deadline &&
         (this->Impl->Context.Active > 0 ||
          (this->Impl->Server->currentConnections() > 0 &&
           monoNow() < IdleDeadline)))
    std::this_thread::sleep_for(internal::StopPoll);
  this->Impl->Server->stopAll(true);
  this->Impl->Threads->joinAll();
  this->Impl.reset();
}

} // namespace persimmonquay
