#include "persimmonquay/daemon/upstream_connection_pool.h"

#include "persimmonquay/daemon/sockets.h"
#include <algorithm>

namespace persimmonquay {
namespace internal {

/// Margin before the stated idle time, in which a call could cross the close.
constexpr Millis CloseMargin{500};

/// Idle time after which a connection is closed where none is stated.
constexpr Millis DefaultIdle{5000};

bool isUsable(UpstreamConnection &Connection, MonoTime Now) {
  // Bytes that arrive without a call belong to no call.
  return Now < Connection.UsableUntil &&
         peekConnection(Connection.Socket) == ConnectionState::Idle;
}

} // namespace internal

std::shared_ptr<UpstreamConnection> UpstreamConnectionPool::take(Millis MaxIdle,
                                                                 MonoTime Now) {
  while (!this->Idle.empty()) {
    if (Now - this->Idle.back()->IdleSince > MaxIdle)
      return nullptr;
    std::shared_ptr<UpstreamConnection> Top = std::move(this->Idle.back());
    this->Idle.pop_back();
    if (!internal::isUsable(*Top, Now))
      continue;
    Top->Rested = std::chrono::duration_cast<Millis>(Now - Top->IdleSince);
    return Top;
  }
  return nullptr;
}

void UpstreamConnectionPool::keep(
    std::shared_ptr<UpstreamConnection> Connection,
    std::optional<Millis> KeepFor, MonoTime Now) {
  const Millis Stated = KeepFor.value_or(internal::DefaultIdle);
  Connection->IdleSince = Now;
  Connection->UsableUntil =
      Now + std::max(Stated - internal::CloseMargin, Stated / 2);
  this->Idle.push_back(std::move(Connection));
}

void UpstreamConnectionPool::prune(MonoTime Now) {
  std::erase_if(this->Idle, [Now](const auto &Connection) {
    return !internal::isUsable(*Connection, Now);
  });
}

void UpstreamConnectionPool::closeAll() { this->Idle.clear(); }

} // namespace persimmonquay
