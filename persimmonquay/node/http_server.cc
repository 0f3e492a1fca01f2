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

/// Longer than MaxIdleTime in http_pool.cc, so that our clients close idle
/// connections first.
constexpr Millis KeepAliveTimeout{10000};
constexpr std::size_t MaxTargetBytes = 8192;
constexpr Millis StopPollInterval{10};
/// Time for which idle connections may still send a request during a stop.
constexpr Millis IdleGrace{500};

/// Why a request is rejected before the handler is called.
struct RequestError {
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

/// Validates the request line and headers. Status 0 means that they are valid.
RequestError checkHead(const HTTPServerRequest &Request,
                       std::size_t MaxBodyBytes) {
  if (!isToken(Request.getMethod()) || Request.getMethod() == "CONNECT")
    return {400, "the method is not supported"};
  const std::string &Target = Request.getURI();
  if (!Target.starts_with("/") || hasControlCharacter(Target) ||
      Target.find(' ') != std::string::npos)
    return {400, "the request target must be a path that starts with /"};
  if (Target.size() > MaxTargetBytes)
    return {414, "the request target is too long"};
  int ContentLengthCount = 0;
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
    if (++ContentLengthCount > 1 || !isNumber(Value))
      return {400, "Content-Length must be one number"};
    if (std::stoull(Value) > MaxBodyBytes)
      return {413,
              absl::StrCat("the body is longer than ", MaxBodyBytes, " bytes")};
  }
  return {};
}

/// Reads the complete body. Status 0 means success.
RequestError readBody(HTTPServerRequest *Request, Millis Timeout,
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
    const std::size_t ChunkSize =
        std::min(Buffer.size(), Length - Body->size());
    Request->stream().read(Buffer.data(),
                           static_cast<std::streamsize>(ChunkSize));
    const auto BytesRead = static_cast<std::size_t>(Request->stream().gcount());
    if (BytesRead == 0)
      return {400, "the body was cut short"};
    Body->append(Buffer.data(), BytesRead);
  }
  return {};
}

void sendResponse(const CallResponse &Outgoing, bool WithBody,
                  HTTPServerResponse *Response) {
  Response->setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Outgoing.Status));
  for (const HeaderField &Field : Outgoing.Headers)
    Response->add(Field.Name, Field.Value);
  if (WithBody) {
    // Sends head and body together, so that the receiver wakes up only once.
    Response->sendBuffer(Outgoing.Body.data(), Outgoing.Body.size());
    return;
  }
  Response->setContentLength64(static_cast<Poco::Int64>(Outgoing.Body.size()));
  Response->send().flush();
}

CallResponse errorResponse(const RequestError &Error) {
  CallResponse Response;
  Response.Status = Error.Status;
  Response.Headers.push_back(HeaderField{"Content-Type", "text/plain"});
  Response.Headers.push_back(
      HeaderField{OutcomeHeader, std::string(outcomeName(Outcome::NotRun))});
  Response.Body = Error.Detail + "\n";
  return Response;
}

/// State that the connections of one server share.
struct ServerContext {
  HttpLimits Limits;
  HttpServer::Handler RequestHandler;
  std::atomic<bool> KeepAliveDisabled = false;
  std::atomic<std::size_t> Active = 0;
  std::atomic<const Poco::Net::TCPServer *> Server = nullptr;

  /// Returns whether accepted connections wait for a thread.
  bool hasQueuedConnections() const {
    const Poco::Net::TCPServer *CurrentServer = this->Server;
    return CurrentServer != nullptr && CurrentServer->queuedConnections() > 0;
  }
};

/// Counts a request as active for the duration of a scope.
struct ActiveCounter {
  std::atomic<std::size_t> *Counter;
  explicit ActiveCounter(std::atomic<std::size_t> *Counter) : Counter(Counter) {
    ++*this->Counter;
  }
  ActiveCounter(const ActiveCounter &) = delete;
  ActiveCounter &operator=(const ActiveCounter &) = delete;
  ~ActiveCounter() { --*this->Counter; }
};

class PocoHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit PocoHandler(ServerContext *Context) : Context(Context) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    const ActiveCounter Guard(&this->Context->Active);
    try {
      this->serve(&Request, &Response);
    } catch (const Poco::Exception &Error) {
      // The connection broke, so no error response can be sent.
      Response.setKeepAlive(false);
      logLine(LogLevel::Debug, "connection broke while a request was served",
              {{"error", Error.displayText()}});
    }
  }

private:
  void serve(HTTPServerRequest *Request, HTTPServerResponse *Response) {
    CallRequest Incoming;
    RequestError Error =
        checkHead(*Request, this->Context->Limits.MaxBodyBytes);
    if (Error.Status == 0)
      Error =
          readBody(Request, this->Context->Limits.BodyTimeout, &Incoming.Body);
    if (Error.Status != 0) {
      // Further bytes on this connection may belong to the rejected request, so
      // it can't be reused.
      Response->setKeepAlive(false);
      sendResponse(errorResponse(Error), true, Response);
      return;
    }
    Incoming.Method = Request->getMethod();
    Incoming.Target = Request->getURI();
    for (const auto &[Name, Value] : *Request)
      Incoming.Headers.push_back(HeaderField{Name, Value});
    const CallResponse Outgoing = this->Context->RequestHandler(Incoming);
    // While connections are queued for a thread, none may hold one while idle.
    if (this->Context->KeepAliveDisabled ||
        this->Context->hasQueuedConnections())
      Response->setKeepAlive(false);
    sendResponse(Outgoing, Incoming.Method != "HEAD", Response);
  }

  ServerContext *Context;
};

class PocoHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit PocoHandlerFactory(ServerContext *Context) : Context(Context) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new PocoHandler(this->Context);
  }

private:
  ServerContext *Context;
};

} // namespace internal

class HttpServer::Implementation {
public:
  /// Accepts and serves the connections that are still in the listen backlog,
  /// which closing the socket would reset.
  void serveBacklog() {
    std::vector<std::thread> BacklogThreads;
    while (
        this->Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      Poco::Net::StreamSocket AcceptedSocket = this->Socket.acceptConnection();
      BacklogThreads.emplace_back([this, AcceptedSocket] {
        try {
          Poco::Net::HTTPServerConnection(AcceptedSocket, this->Parameters,
                                          this->Factory)
              .run();
        } catch (const Poco::Exception &) {
          // The caller closed the connection without a request.
        }
      });
    }
    this->Socket.close();
    for (std::thread &Thread : BacklogThreads)
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
  auto NewImpl = std::make_unique<Implementation>();
  try {
    NewImpl->Socket.bind(Poco::Net::SocketAddress(Address, Port), true);
  } catch (const Poco::Exception &Error) {
    return absl::UnavailableError(absl::StrCat("port ", Port, " of ", Address,
                                               ": ", Error.displayText()));
  }
  this->Impl = std::move(NewImpl);
  return absl::OkStatus();
}

absl::Status HttpServer::serve(const HttpLimits &Limits,
                               Handler RequestHandler) {
  Implementation &State = *this->Impl;
  State.Context.Limits = Limits;
  State.Context.RequestHandler = std::move(RequestHandler);
  State.Parameters = new Poco::Net::HTTPServerParams();
  State.Parameters->setMaxThreads(static_cast<int>(Limits.MaxThreads));
  State.Parameters->setMaxQueued(static_cast<int>(Limits.MaxThreads));
  State.Parameters->setKeepAlive(true);
  State.Parameters->setMaxKeepAliveRequests(0);
  State.Parameters->setKeepAliveTimeout(
      Poco::Timespan(internal::KeepAliveTimeout.count() * 1000));
  State.Parameters->setTimeout(
      Poco::Timespan(Limits.ReceiveTimeout.count() * 1000));
  State.Factory = new internal::PocoHandlerFactory(&State.Context);
  try {
    constexpr int MinThreads = 2;
    State.Threads = std::make_unique<Poco::ThreadPool>(
        MinThreads, static_cast<int>(Limits.MaxThreads));
    constexpr int Backlog = 256;
    State.Socket.listen(Backlog);
    State.Server = std::make_unique<Poco::Net::HTTPServer>(
        State.Factory, *State.Threads, State.Socket, State.Parameters);
    State.Context.Server = State.Server.get();
    State.Server->start();
  } catch (const Poco::Exception &Error) {
    return absl::UnavailableError(Error.displayText());
  }
  return absl::OkStatus();
}

absl::Status HttpServer::start(const std::string &Address, std::uint16_t Port,
                               const HttpLimits &Limits,
                               Handler RequestHandler) {
  const absl::Status BindStatus = this->bind(Address, Port);
  return BindStatus.ok() ? this->serve(Limits, std::move(RequestHandler))
                         : BindStatus;
}

void HttpServer::disableKeepAlive() {
  if (this->Impl != nullptr)
    this->Impl->Context.KeepAliveDisabled = true;
}

void HttpServer::stop(Millis Timeout) {
  if (this->Impl == nullptr || this->Impl->Server == nullptr)
    return;
  this->disableKeepAlive();
  this->Impl->Server->stop();
  this->Impl->serveBacklog();
  const MonoTime Deadline = monoNow() + Timeout;
  const MonoTime IdleDeadline =
      monoNow() + std::min(Timeout, internal::IdleGrace);
  // Idle connections may still send a request until IdleDeadline; requests in
  // progress may take until Deadline.
  while (monoNow() < Deadline &&
         (this->Impl->Context.Active > 0 ||
          (this->Impl->Server->currentConnections() > 0 &&
           monoNow() < IdleDeadline)))
    std::this_thread::sleep_for(internal::StopPollInterval);
  this->Impl->Server->stopAll(true);
  this->Impl->Threads->joinAll();
  this->Impl.reset();
}

} // namespace persimmonquay
