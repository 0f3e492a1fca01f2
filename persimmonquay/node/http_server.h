// The node's HTTP ports.
#ifndef PERSIMMONQUAY_NODE_HTTP_SERVER_H
#define PERSIMMONQUAY_NODE_HTTP_SERVER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/node/call.h"
#include <absl/status/status.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace persimmonquay {

/// Bounds of one port.
struct HttpLimits {
  std::size_t MaxThreads = 64;
  std::size_t MaxBodyBytes = 1 << 20;
  /// Longest silence while a request is being received.
  Millis ReceiveTimeout{10000};
  /// Longest time in which a whole body must have arrived.
  Millis BodyTimeout{20000};
};

/// Serves one port with one thread for each connection. A request whose end
/// could be read in two ways, or that exceeds a limit, is refused with a clear
/// error, its connection is closed, and the handler does not see it.
///
/// Example:
///   HttpServer Server;
///   absl::Status Status = Server.start("127.0.0.1", 8080, Limits, Handler);
class HttpServer {
public:
  /// Called on several threads at once.
  using Handler = std::function<CallReply(const CallRequest &)>;

  HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /// Takes the port without listening: connections are refused until
  /// `serve()`. Returns Unavailable when the port is taken.
  absl::Status bind(const std::string &Address, std::uint16_t Port);

  /// Serves the port that `bind()` took. Returns Unavailable when the library
  /// refuses.
  absl::Status serve(const HttpLimits &Limits, Handler Serve);

  /// Does both.
  absl::Status start(const std::string &Address, std::uint16_t Port,
                     const HttpLimits &Limits, Handler Serve);

  /// Closes each connection after the answer under way, so that no caller
  /// sends another request on it.
  void closeAfterAnswers();

  /// Stops accepting, waits for the answers under way and closes the rest.
  void stop(Millis Timeout);

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_HTTP_SERVER_H
