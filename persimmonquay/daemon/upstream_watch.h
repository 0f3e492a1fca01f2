// Notices the end of the upstream on this host although no call awaits a
// response.
#ifndef PERSIMMONQUAY_DAEMON_UPSTREAM_WATCH_H
#define PERSIMMONQUAY_DAEMON_UPSTREAM_WATCH_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/upstream_connection_pool.h"
#include <functional>

namespace persimmonquay {

/// Checks that an idle connection to the upstream is still open; without one,
/// it opens one for the pool. If the upstream refuses that, it has ended.
///
/// Handles an upstream that ends under a call whose connection has been closed
/// before, so that no call notices it.
///
/// Confined to one thread.
class UpstreamWatch {
public:
  struct Callbacks {
    /// Returns whether a call awaits a response, so that it would notice the
    /// end of the upstream itself.
    std::function<bool()> AwaitsResponse;
    /// Called when a connection has been opened.
    std::function<void()> OnConnected;
    /// Called when the upstream has ended; the watch is over then.
    std::function<void()> OnEnded;
  };

  /// `IdleConnections` must outlive the watch.
  UpstreamWatch(asio::io_context &IoContext, Tcp::endpoint UpstreamAddress,
                UpstreamConnectionPool &IdleConnections, Callbacks Handlers);

  /// Watches the upstream until `End` or the end of an earlier watch, whichever
  /// is later.
  void watchUntil(MonoTime End);

private:
  asio::awaitable<void> run();
  /// Opens a connection for the pool. Returns false if the upstream refuses it.
  asio::awaitable<bool> openConnection();

  asio::io_context &Context;
  Tcp::endpoint Address;
  UpstreamConnectionPool &Pool;
  Callbacks Callback;
  asio::steady_timer Timer;
  MonoTime WatchEnd;
  bool IsRunning = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_UPSTREAM_WATCH_H
