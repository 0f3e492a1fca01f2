#include "persimmonquay/daemon/upstream_connection_pool.h"

#include "persimmonquay/daemon/sockets.h"
#include <algorithm>

namespace persimmonquay {
namespace internal {

/// Connections are not used within this time before the stated idle timeout,
/// because the upstream might close the connection while the call is being
/// sent.
constexpr Millis CloseMargin{500};

/// Idle timeout that is assumed if the upstream states none.
constexpr Millis DefaultIdleTimeout{5000};

bool isUsable(UpstreamConnection &Connection, MonoTime Now) {
  // Data that arrives without a pending call belongs to no call.
  return Now < Connection.UsableUntil &&
         peekConnection(Connection.Socket) == ConnectionState::Idle;
}

} // namespace internal

std::shared_ptr<UpstreamConnection>
UpstreamConnectionPool::acquire(Millis MaxIdle, MonoTime Now) {
  while (!this->IdleConnections.empty()) {
    if (Now - this->IdleConnections.back()->IdleSince > MaxIdle)
      return nullptr;
    std::shared_ptr<UpstreamConnection> Newest =
        std::move(this->IdleConnections.back());
    this->IdleConnections.pop_back();
    if (!internal::isUsable(*Newest, Now))
      continue;
    Newest->IdleBeforeUse =
        std::chrono::duration_cast<Millis>(Now - Newest->IdleSince);
    return Newest;
  }
  return nullptr;
}

void UpstreamConnectionPool::release(
    std::shared_ptr<UpstreamConnection> Connection,
    std::optional<Millis> KeepAliveTimeout, MonoTime Now) {
  const Millis IdleTimeout =
      KeepAliveTimeout.value_or(internal::DefaultIdleTimeout);
  Connection->IdleSince = Now;
  Connection->UsableUntil =
      Now + std::max(IdleTimeout - internal::CloseMargin, IdleTimeout / 2);
  this->IdleConnections.push_back(std::move(Connection));
}

void UpstreamConnectionPool::prune(MonoTime Now) {
  std::erase_if(this->IdleConnections, [Now](const auto &Connection) {
    return !internal::isUsable(*Connection, Now);
  });
}

void UpstreamConnectionPool::closeAll() { this->IdleConnections.clear(); }

} // namespace persimmonquay
