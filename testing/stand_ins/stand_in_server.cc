#include "testing/stand_ins/stand_in_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <csignal>
#include <pthread.h>
#include <utility>

namespace persimmonquay::testing {
namespace internal {

class HandlerAdapter : public Poco::Net::HTTPRequestHandler {
public:
  explicit HandlerAdapter(const StandInHandler *Handler) : Handler(Handler) {}
  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    try {
      (*this->Handler)(Request, Response);
    } catch (const Poco::Exception &) {
      Response.setKeepAlive(false);
    }
  }

private:
  const StandInHandler *Handler;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(StandInHandler Handler)
      : Handler(std::move(Handler)) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new HandlerAdapter(&this->Handler);
  }

private:
  StandInHandler Handler;
};

} // namespace internal

std::unique_ptr<Poco::Net::HTTPServer> startServer(const std::string &Address,
                                                   unsigned short Port,
                                                   StandInHandler Handler) {
  constexpr int MaxThreads = 256;
  static Poco::ThreadPool Threads(2, 4 * MaxThreads);
  auto *Parameters = new Poco::Net::HTTPServerParams();
  Parameters->setMaxThreads(MaxThreads);
  Parameters->setMaxQueued(MaxThreads);
  Parameters->setKeepAlive(true);
  Parameters->setMaxKeepAliveRequests(0);
  Parameters->setKeepAliveTimeout(Poco::Timespan(60, 0));
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Address, Port), true);
  Socket.listen(MaxThreads);
  auto Server = std::make_unique<Poco::Net::HTTPServer>(
      new internal::HandlerFactory(std::move(Handler)), Threads, Socket,
      Parameters);
  Server->start();
  return Server;
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Result;
  for (const auto &[Name, Value] : Poco::URI(Target).getQueryParameters())
    Result[Name] = Value;
  return Result;
}

double numberOr(const std::map<std::string, std::string> &Query,
                const std::string &Name, double DefaultValue) {
  const auto Found = Query.find(Name);
  return Found == Query.end() ? DefaultValue : std::stod(Found->second);
}

void sendText(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Text) {
  Response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Response.sendBuffer(Text.data(), Text.size());
}

std::map<std::string, std::string> parseOptions(int ArgumentCount,
                                                char **Arguments) {
  std::map<std::string, std::string> Result;
  for (int I = 1; I + 1 < ArgumentCount; I += 2)
    Result[std::string(Arguments[I]).substr(2)] = Arguments[I + 1];
  return Result;
}

namespace internal {

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace internal

void blockSignals() {
  const sigset_t Signals = internal::stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void waitForSignal() {
  const sigset_t Signals = internal::stopSignals();
  int SignalNumber = 0;
  sigwait(&Signals, &SignalNumber);
}

} // namespace persimmonquay::testing
