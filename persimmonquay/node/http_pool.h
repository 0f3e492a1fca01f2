// Exchanges of calls over HTTP connections that are kept for reuse.
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

/// How one exchange ended.
struct ExchangeResult {
  enum class Code {
    /// No byte of the request was sent.
    NothingSent,
    /// The request was sent, at least in part, without a whole answer.
    AnswerLost,
    Answered,
  };
  Code Status = Code::NothingSent;
  /// With AnswerLost: the time was up, rather than the connection broken.
  bool TimedOut = false;
  std::string Detail;
  CallReply Reply;
};

/// Each connection carries one exchange at a time, and one that ended in any
/// but a whole answer is closed: a late answer dies with it. After a timeout
/// all kept connections to the same place are closed too, since what made one
/// silent may have made them all so.
///
/// Thread-safe.
///
/// Example:
///   ExchangeResult Result = Pool.exchange("127.0.0.1", 80, Request,
///   Millis(9));
class HttpPool {
public:
  HttpPool();
  HttpPool(const HttpPool &) = delete;
  HttpPool &operator=(const HttpPool &) = delete;
  ~HttpPool();

  /// Which connection an exchange may use.
  enum class Connection {
    /// A kept one where there is one.
    Any,
    /// A new one, since kept ones may have gone silent.
    New,
  };

  /// Sends `Request` and waits for the whole answer, at most `Timeout`. An
  /// answer whose length is not stated counts as lost, since a cut one could
  /// not be told from a whole one.
  ExchangeResult exchange(const std::string &Address, std::uint16_t Port,
                          const CallRequest &Request, Millis Timeout,
                          Connection Wanted = Connection::Any);

  /// Returns whether a new connection can be opened within `Timeout`.
  static bool canConnect(const std::string &Address, std::uint16_t Port,
                         Millis Timeout);

private:
  using Session = Poco::Net::HTTPClientSession;
  struct IdleSession {
    std::unique_ptr<Session> Connection;
    MonoTime Since;
  };

  std::unique_ptr<Session> takeIdle(const std::string &Place);
  void keepIdle(const std::string &Place, std::unique_ptr<Session> Connection);
  void closeIdle(const std::string &Place);

  std::mutex Mutex;
  std::map<std::string, std::vector<IdleSession>> Idle;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_HTTP_POOL_H
