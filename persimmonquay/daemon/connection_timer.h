// Time limit for one exchange on a connection to an upstream.
#ifndef PERSIMMONQUAY_DAEMON_CONNECTION_TIMER_H
#define PERSIMMONQUAY_DAEMON_CONNECTION_TIMER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/upstream_connection_pool.h"
#include <memory>
#include <utility>

namespace persimmonquay {

/// Closes a connection at `Expiry` unless it is destroyed before. Cancelling
/// the timer alone is not enough: its handler may already be queued and would
/// then close the connection during the next call. Confined to one thread.
class ConnectionTimer {
public:
  ConnectionTimer(asio::steady_timer &CallTimer, MonoTime Expiry,
                  std::shared_ptr<UpstreamConnection> Connection)
      : Timer(CallTimer), Armed(std::make_shared<bool>(true)) {
    this->Timer.expires_at(Expiry);
    this->Timer.async_wait(
        [Armed = this->Armed,
         TimedConnection = std::move(Connection)](const ErrorCode &Error) {
          ErrorCode IgnoredError;
          if (!Error && *Armed)
            TimedConnection->Socket.close(IgnoredError);
        });
  }
  ConnectionTimer(const ConnectionTimer &) = delete;
  ConnectionTimer &operator=(const ConnectionTimer &) = delete;
  ~ConnectionTimer() {
    *this->Armed = false;
    this->Timer.cancel();
  }

private:
  asio::steady_timer &Timer;
  std::shared_ptr<bool> Armed;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CONNECTION_TIMER_H
