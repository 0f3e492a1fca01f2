// Kept connections to the upstream on this host.
#ifndef PERSIMMONQUAY_DAEMON_UPSTREAM_CONNECTION_POOL_H
#define PERSIMMONQUAY_DAEMON_UPSTREAM_CONNECTION_POOL_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include <memory>
#include <vector>

namespace persimmonquay {

/// One connection to an upstream; carries one call at a time.
struct UpstreamConnection {
  explicit UpstreamConnection(Tcp::socket Open) : Socket(std::move(Open)) {}

  Tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  MonoTime IdleSince;
  /// When the upstream is expected to close the idle connection.
  MonoTime UsableUntil = MonoTime::max();
  /// Time for which it rested before the call that it carries; none when this
  /// is its first.
  std::optional<Millis> Rested;
};

/// Keeps idle connections, the most recently used on top, so that few stay in
/// use and the others run out. Lives on one thread.
class UpstreamConnectionPool {
public:
  /// Returns a kept connection that still looks usable and was used within
  /// `MaxIdle`, or null.
  std::shared_ptr<UpstreamConnection> take(Millis MaxIdle, MonoTime Now);

  /// Keeps a connection on which the last answer was whole. `KeepFor` is the
  /// idle time that the upstream has stated, if any.
  void keep(std::shared_ptr<UpstreamConnection> Connection,
            std::optional<Millis> KeepFor, MonoTime Now);

  /// Closes the connections that the upstream has closed or soon will.
  void prune(MonoTime Now);

  void closeAll();

  std::size_t idle() const { return this->Idle.size(); }

private:
  std::vector<std::shared_ptr<UpstreamConnection>> Idle;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_UPSTREAM_CONNECTION_POOL_H
