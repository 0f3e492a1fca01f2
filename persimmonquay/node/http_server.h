// HTTP server for the node's ports.
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

/// Limits of one port.
struct HttpLimits {
  std::size_t MaxThreads = 64;
  std::size_t MaxBodyBytes = 1 << 20;
  /// Longest time without receiving any data while a request is read.
  Millis ReceiveTimeout{10000};
  /// Longest time for a complete body to arrive.
  Millis BodyTimeout{20000};
};

/// Serves one port with one thread per connection. A request whose length is
/// ambiguous or that exceeds a limit is rejected with an error response, its
/// connection is closed, and the handler is not called.
///
/// Example:
///   HttpServer Server;
///   absl::Status Status = Server.start("127.0.0.1", 8080, Limits, Handler);
class HttpServer {
public:
  /// Must be thread-safe: called concurrently for different connections.
  using Handler = std::function<CallResponse(const CallRequest &)>;

  HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /// Binds the port without listening: connections are refused until `serve()`.
  /// Returns Unavailable when the port is in use.
  absl::Status bind(const std::string &Address, std::uint16_t Port);

  /// Serves the port that `bind()` bound. Returns Unavailable when the HTTP
  /// library fails to listen.
  absl::Status serve(const HttpLimits &Limits, Handler RequestHandler);

  /// Calls `bind()` and then `serve()`.
  absl::Status start(const std::string &Address, std::uint16_t Port,
                     const HttpLimits &Limits, Handler RequestHandler);

  /// Closes each connection after its current response, so that clients send
  /// no further requests on it.
  void disableKeepAlive();

  /// Stops accepting connections, waits at most `Timeout` for responses in
  /// progress and closes the remaining connections.
  void stop(Millis Timeout);

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_HTTP_SERVER_H
