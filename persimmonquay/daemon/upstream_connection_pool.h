// Pool of idle connections to the upstream on this host.
#ifndef PERSIMMONQUAY_DAEMON_UPSTREAM_CONNECTION_POOL_H
#define PERSIMMONQUAY_DAEMON_UPSTREAM_CONNECTION_POOL_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/http_decoder.h"
#include <memory>
#include <optional>
#include <vector>

namespace persimmonquay {

/// Timeout for connecting to the upstream, a process on the same host.
inline constexpr Millis UpstreamConnectTimeout{400};

/// TCP user timeout of connections to the upstream: the kernel closes a
/// connection whose data stays unacknowledged for this long. On the same host,
/// acknowledgements are immediate.
inline constexpr Millis UpstreamTcpTimeout{2000};

/// A connection to the upstream; carries one call at a time.
struct UpstreamConnection {
  explicit UpstreamConnection(Tcp::socket ConnectedSocket)
      : Socket(std::move(ConnectedSocket)) {}

  Tcp::socket Socket;
  /// Decodes the responses; holds bytes that belong to no response yet.
  HttpDecoder<false> Decoder;
  MonoTime IdleSince;
  /// Time until which the upstream is expected to keep the idle connection
  /// open.
  MonoTime UsableUntil = MonoTime::max();
  /// Idle time before the current call; none if the connection was opened for
  /// it.
  std::optional<Millis> IdleBeforeUse;
  /// Whether responses to earlier calls may still arrive.
  bool HasCarriedCalls = false;
};

/// Pool of idle connections in last-in, first-out order, so that few
/// connections stay in use and the others expire. Confined to one thread.
class UpstreamConnectionPool {
public:
  /// Takes a connection from the pool that still looks usable and was in use
  /// within `MaxIdle`, or returns null.
  std::shared_ptr<UpstreamConnection> acquire(Millis MaxIdle, MonoTime Now);

  /// Returns a connection to the pool after a complete response.
  /// `KeepAliveTimeout` is the idle timeout that the upstream has stated, if
  /// any.
  void release(std::shared_ptr<UpstreamConnection> Connection,
               std::optional<Millis> KeepAliveTimeout, MonoTime Now);

  /// Closes the connections that the upstream has closed or is about to close.
  void prune(MonoTime Now);

  void closeAll();

  std::size_t idleCount() const { return this->IdleConnections.size(); }

private:
  std::vector<std::shared_ptr<UpstreamConnection>> IdleConnections;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_UPSTREAM_CONNECTION_POOL_H
