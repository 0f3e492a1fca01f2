// HTTP client with a pool of persistent connections.
#ifndef PERSIMMONQUAY_NODE_HTTP_POOL_H
#define PERSIMMONQUAY_NODE_HTTP_POOL_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/node/call.h"
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Poco::Net {
class HTTPClientSession;
} // namespace Poco::Net

namespace persimmonquay {

/// The result of one request.
struct ExchangeResult {
  enum class Code {
    /// No byte of the request was sent.
    NothingSent,
    /// At least part of the request was sent, and no complete response arrived.
    ResponseLost,
    Answered,
  };
  Code Status = Code::NothingSent;
  /// With ResponseLost: true if the request timed out, false if the connection
  /// failed.
  bool TimedOut = false;
  /// The error, empty when answered.
  std::string Detail;
  CallResponse Response;
};

/// Sends HTTP requests over a pool of connections.
///
/// Each connection carries one exchange at a time. It is closed after any
/// exchange without a complete response, so that a late response can't be taken
/// for that to a later request. After a timeout all idle connections to the
/// same address and port are closed too, since the same fault may have made
/// them unresponsive.
///
/// Thread-safe.
///
/// Example:
///   ExchangeResult Result =
///       Pool.exchange("127.0.0.1", 80, Request, Millis(1000));
class HttpPool {
public:
  HttpPool();
  HttpPool(const HttpPool &) = delete;
  HttpPool &operator=(const HttpPool &) = delete;
  ~HttpPool();

  /// Which connection an exchange may use.
  enum class ConnectionPolicy {
    /// An idle one if there is one, else a new one.
    ReuseIdle,
    /// Always a new one, since idle ones may be unresponsive.
    AlwaysNew,
  };

  /// Sends `Request` and waits at most `Timeout` for the complete response. A
  /// response without a stated length counts as lost, since a truncated one
  /// could not be distinguished from a complete one.
  ExchangeResult
  exchange(const std::string &Address, std::uint16_t Port,
           const CallRequest &Request, Millis Timeout,
           ConnectionPolicy Policy = ConnectionPolicy::ReuseIdle);

  /// Returns whether a process listens at the address: whether a connection can
  /// be opened within `ConnectTimeout` and is then still open after
  /// `ConfirmTime`. The second condition is needed because the kernel may close
  /// the connections of an exiting process before its listening socket, which
  /// completes new connections until then.
  static bool isListening(const std::string &Address, std::uint16_t Port,
                          Millis ConnectTimeout, Millis ConfirmTime);

private:
  using Session = Poco::Net::HTTPClientSession;
  struct IdleSession {
    std::unique_ptr<Session> Connection;
    MonoTime IdleSince;
  };

  std::unique_ptr<Session> takeIdleSession(const std::string &Authority);
  void storeIdleSession(const std::string &Authority,
                        std::unique_ptr<Session> Connection);
  void closeIdleSessions(const std::string &Authority);

  std::mutex Mutex;
  /// By authority, that is "<address>:<port>"; the most recently used last.
  std::map<std::string, std::vector<IdleSession>> IdleSessions;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_HTTP_POOL_H
