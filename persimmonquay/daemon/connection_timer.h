// Bounds the time of one exchange on a connection to an upstream.
#ifndef PERSIMMONQUAY_DAEMON_CONNECTION_TIMER_H
#define PERSIMMONQUAY_DAEMON_CONNECTION_TIMER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/upstream_connection_pool.h"
#include <memory>
#include <utility>

namespace persimmonquay {

/// Closes a connection at a time unless it is disarmed before. Cancelling a
/// timer alone doesn't do: its handler may be due already, and would close the
/// connection under the next call. Lives on one thread.
class ConnectionTimer {
public:
  ConnectionTimer(asio::steady_timer &Clock, MonoTime At,
                  std::shared_ptr<UpstreamConnection> Connection)
      : Timer(Clock), Armed(std::make_shared<bool>(true)) {
    this->Timer.expires_at(At);
    this->Timer.async_wait(
        [Armed = this->Armed,
         Closing = std::move(Connection)](const ErrorCode &Error) {
          ErrorCode Ignored;
          if (!Error && *Armed)
            Closing->Socket.close(Ignored);
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
