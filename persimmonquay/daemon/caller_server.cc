#include "persimmonquay/daemon/caller_server.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/sockets.h"
#include <utility>
#include <vector>

namespace persimmonquay {
namespace internal {

/// Delay after a failed accept, which is mostly caused by a lack of file
/// descriptors.
constexpr Millis AcceptBackoff{100};

} // namespace internal

CallerServer::CallerServer(asio::io_context &IoContext, LimitsProvider Provider,
                           Handler RequestHandler)
    : State(std::make_shared<CallerServerState>(IoContext)) {
  this->State->GetLimits = std::move(Provider);
  this->State->HandleRequest = std::move(RequestHandler);
}

void CallerServer::start(Tcp::acceptor ListeningSocket) {
  this->Acceptor = std::move(ListeningSocket);
  asio::co_spawn(
      this->State->Context,
      [Self = this->shared_from_this()] { return Self->acceptLoop(); },
      asio::detached);
}

asio::awaitable<void> CallerServer::acceptLoop() {
  while (!this->AcceptStopped) {
    auto [Error, Socket] = co_await this->Acceptor->async_accept(NoThrow);
    if (!Error) {
      this->startSession(std::move(Socket));
      continue;
    }
    if (this->AcceptStopped)
      break;
    logLine(LogLevel::Warning, "failed to accept an HTTP connection",
            {{"error", Error.message()}});
    asio::steady_timer RetryTimer(this->State->Context,
                                  internal::AcceptBackoff);
    co_await RetryTimer.async_wait(NoThrow);
  }
}

void CallerServer::startSession(Tcp::socket Connection) {
  auto NewSession =
      std::make_shared<CallerSession>(this->State, std::move(Connection));
  asio::co_spawn(
      this->State->Context, [NewSession] { return NewSession->run(); },
      asio::detached);
}

void CallerServer::startDraining(Millis IdleTimeout) {
  this->State->DrainIdleTimeout = IdleTimeout;
  // A session may end, and remove itself, while it starts to drain.
  const std::vector<CallerSession *> Sessions(this->State->Sessions.begin(),
                                              this->State->Sessions.end());
  for (CallerSession *Session : Sessions)
    Session->startDraining();
}

void CallerServer::closeIdleConnections() {
  this->State->ReadStopped = true;
  for (CallerSession *Session : this->State->Sessions)
    Session->wake();
}

void CallerServer::stopAccepting() {
  if (std::exchange(this->AcceptStopped, true) || !this->Acceptor)
    return;
  // Connections in the accept queue would be reset although their callers may
  // have sent requests already.
  ErrorCode Error;
  this->Acceptor->non_blocking(true, Error);
  while (!Error) {
    Tcp::socket Connection(this->State->Context);
    this->Acceptor->accept(Connection, Error);
    if (!Error)
      this->startSession(std::move(Connection));
  }
  ErrorCode IgnoredError;
  this->Acceptor->close(IgnoredError);
}

} // namespace persimmonquay
