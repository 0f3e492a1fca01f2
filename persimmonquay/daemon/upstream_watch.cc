#include "persimmonquay/daemon/upstream_watch.h"

#include "persimmonquay/daemon/connection_timer.h"
#include "persimmonquay/daemon/sockets.h"
#include <algorithm>
#include <memory>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Interval between checks. A request that crashes upstreams comes again at
/// other upstreams until the crash is noticed.
constexpr Millis WatchInterval{100};

} // namespace internal

UpstreamWatch::UpstreamWatch(asio::io_context &IoContext,
                             Tcp::endpoint UpstreamAddress,
                             UpstreamConnectionPool &IdleConnections,
                             Callbacks Handlers)
    : Context(IoContext), Address(std::move(UpstreamAddress)),
      Pool(IdleConnections), Callback(std::move(Handlers)), Timer(IoContext) {}

void UpstreamWatch::watchUntil(MonoTime End) {
  this->WatchEnd = std::max(this->WatchEnd, End);
  if (std::exchange(this->IsRunning, true))
    return;
  asio::co_spawn(
      this->Context, [this] { return this->run(); }, asio::detached);
}

asio::awaitable<void> UpstreamWatch::run() {
  bool HasEnded = false;
  while (!HasEnded && monoNow() < this->WatchEnd) {
    this->Timer.expires_after(internal::WatchInterval);
    co_await this->Timer.async_wait(NoThrow);
    this->Pool.prune(monoNow());
    if (this->Pool.idleCount() == 0 && !this->Callback.AwaitsResponse())
      HasEnded = !co_await this->openConnection();
  }
  this->IsRunning = false;
  if (HasEnded) {
    this->WatchEnd = MonoTime{};
    this->Callback.OnEnded();
  }
}

asio::awaitable<bool> UpstreamWatch::openConnection() {
  const auto Connection =
      std::make_shared<UpstreamConnection>(Tcp::socket(this->Context));
  const ConnectionTimer Timeout(this->Timer, monoNow() + UpstreamConnectTimeout,
                                Connection);
  const auto [Error] =
      co_await Connection->Socket.async_connect(this->Address, NoThrow);
  if (!Error && Connection->Socket.is_open()) {
    configureConnection(Connection->Socket, UpstreamTcpTimeout);
    this->Pool.release(Connection, std::nullopt, monoNow());
    this->Callback.OnConnected();
  }
  co_return Error != asio::error::connection_refused;
}

} // namespace persimmonquay
