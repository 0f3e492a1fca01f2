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

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(const StandInHandler *Serve) : Serve(Serve) {}
  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    try {
      (*this->Serve)(Request, Response);
    } catch (const Poco::Exception &) {
      Response.setKeepAlive(false);
    }
  }

private:
  const StandInHandler *Serve;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(StandInHandler Serve) : Serve(std::move(Serve)) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler(&this->Serve);
  }

private:
  StandInHandler Serve;
};

} // namespace internal

std::unique_ptr<Poco::Net::HTTPServer> startServer(const std::string &Address,
                                                   unsigned short Port,
                                                   StandInHandler Serve) {
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
      new internal::Factory(std::move(Serve)), Threads, Socket, Parameters);
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
                const std::string &Name, double Fallback) {
  const auto Found = Query.find(Name);
  return Found == Query.end() ? Fallback : std::stod(Found->second);
}

void sendText(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Text) {
  Response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Response.sendBuffer(Text.data(), Text.size());
}

std::map<std::string, std::string> parseOptions(int Count, char **Words) {
  std::map<std::string, std::string> Result;
  for (int I = 1; I + 1 < Count; I += 2)
    Result[std::string(Words[I]).substr(2)] = Words[I + 1];
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
  int Received = 0;
  sigwait(&Signals, &Received);
}

} // namespace persimmonquay::testing
