// A stand-in for an upstream on the users' platform, within the test's process.
#ifndef PERSIMMONQUAY_TESTING_PLATFORM_SCRIPTED_UPSTREAM_H
#define PERSIMMONQUAY_TESTING_PLATFORM_SCRIPTED_UPSTREAM_H

#include "persimmonquay/base/time.h"
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace persimmonquay::testing {

/// A request as received by the upstream; header names are in lower case.
struct ReceivedRequest {
  std::string Method;
  std::string Target;
  std::map<std::string, std::string> Headers;
  std::string Body;
  MonoTime Arrival;
};

/// Returns a complete response with the request's id and a signature.
std::string responseTo(const ReceivedRequest &Request, int Status = 200,
                       const std::string &Body = "whole body");

/// Returns the response of a healthy upstream to a health check.
std::string healthResponse(const std::string &Instance);

/// First byte of a handler's result after which the connection is closed; is
/// not sent.
inline constexpr char CloseAfterResponse = '!';

/// A handler's result that ends the upstream: all its connections are closed
/// and new ones are refused until `restart()`.
inline constexpr char CrashUpstream[] = "#";

/// A handler's result that ends the upstream like `CrashUpstream`, except that
/// it listens again at once.
inline constexpr char CrashAndRestartUpstream[] = "##";

/// First byte of a handler's result that is sent without end, until the other
/// end closes the connection: what follows it up to a zero byte is sent once,
/// and the rest again and again. These two bytes are not sent.
inline constexpr char RepeatWithoutEnd = '~';

/// Listens on a port of 127.0.0.1 and sends exactly the bytes that a handler
/// returns.
class ScriptedUpstream {
public:
  /// Returns the bytes of the response. An empty result closes the connection
  /// without a response; a result that begins with `CloseAfterResponse` closes
  /// it after the rest has been sent; one that begins with `RepeatWithoutEnd`
  /// has no end; `CrashUpstream` and `CrashAndRestartUpstream` end the
  /// upstream.
  using Handler = std::function<std::string(const ReceivedRequest &)>;

  explicit ScriptedUpstream(Handler InitialHandler);
  ~ScriptedUpstream();

  std::uint16_t port() const { return this->Port; }

  /// Replaces the handler for requests that arrive from now on.
  void setHandler(Handler NewHandler);

  /// Listens again after a crash.
  void restart();

  /// Returns whether the upstream has crashed and not been restarted.
  bool isDown();

  /// Returns how often the upstream has crashed.
  int crashCount() const { return this->CrashCount; }

  /// Returns the requests received so far.
  std::vector<ReceivedRequest> received();

  /// Returns how many connections the other end has closed.
  int closedByCaller() const { return this->ClosedByCaller; }

private:
  void accept();
  /// Ends the upstream; it listens on if `KeepsListening`.
  void crash(bool KeepsListening);
  void serve(Poco::Net::StreamSocket Socket);
  /// Sends a result that begins with `RepeatWithoutEnd`.
  void sendWithoutEnd(Poco::Net::StreamSocket &Socket,
                      const std::string &Response);
  bool readRequest(Poco::Net::StreamSocket &Socket, std::string &Buffer,
                   ReceivedRequest *Request);

  std::uint16_t Port;
  std::mutex Mutex;
  Handler CurrentHandler;
  std::vector<ReceivedRequest> Requests;
  std::atomic<bool> Stopping = false;
  std::atomic<int> ClosedByCaller = 0;
  std::atomic<int> CrashCount = 0;
  /// Empty while the upstream is down.
  std::optional<Poco::Net::ServerSocket> Listener;
  std::vector<Poco::Net::StreamSocket> Connections;
  std::thread Acceptor;
  std::vector<std::thread> Workers;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_PLATFORM_SCRIPTED_UPSTREAM_H
