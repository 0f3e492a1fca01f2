#include "persimmonquay/daemon/link_server.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/frame_channel.h"
#include "persimmonquay/daemon/upstream_gate.h"
#include <map>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Delay after a failed accept.
constexpr Millis LinkAcceptBackoff{100};

/// Sends a reply unless the connection has ended in the meantime.
void sendReply(const std::weak_ptr<FrameChannel> &WeakChannel,
               proto::CallReply Reply) {
  const std::shared_ptr<FrameChannel> Channel = WeakChannel.lock();
  if (!Channel)
    return;
  proto::LinkFrame Frame;
  *Frame.mutable_reply() = std::move(Reply);
  Channel->send(Frame);
}

} // namespace internal

LinkServer::LinkServer(asio::io_context &IoContext, UpstreamGate &LocalGate,
                       FrameLimits LinkLimits,
                       ConfigurationSource GetConfiguration)
    : Context(IoContext), Gate(LocalGate), Limits(LinkLimits),
      GetNewerConfiguration(std::move(GetConfiguration)) {}

void LinkServer::start(Tcp::acceptor ListeningSocket) {
  this->Acceptor = std::move(ListeningSocket);
  asio::co_spawn(
      this->Context,
      [Self = this->shared_from_this()] { return Self->acceptLoop(); },
      asio::detached);
}

void LinkServer::stop() {
  this->IsStopped = true;
  ErrorCode IgnoredError;
  if (this->Acceptor)
    this->Acceptor->close(IgnoredError);
  for (const std::shared_ptr<FrameChannel> &Channel : this->Channels)
    Channel->close();
}

asio::awaitable<void> LinkServer::acceptLoop() {
  while (!this->IsStopped) {
    auto [Error, Socket] = co_await this->Acceptor->async_accept(NoThrow);
    if (this->IsStopped)
      break;
    if (Error) {
      logLine(LogLevel::Warning, "failed to accept a connection from a node",
              {{"error", Error.message()}});
      asio::steady_timer RetryTimer(this->Context, internal::LinkAcceptBackoff);
      co_await RetryTimer.async_wait(NoThrow);
      continue;
    }
    auto Channel =
        std::make_shared<FrameChannel>(std::move(Socket), this->Limits);
    this->Channels.insert(Channel);
    asio::co_spawn(
        this->Context,
        [Self = this->shared_from_this(), Channel] {
          return Self->serve(Channel);
        },
        asio::detached);
  }
}

asio::awaitable<void> LinkServer::serve(std::shared_ptr<FrameChannel> Channel) {
  // Tickets of the calls without a reply yet, by the id that the sender chose.
  auto Tickets = std::make_shared<std::map<std::uint64_t, std::uint64_t>>();
  const std::weak_ptr<FrameChannel> WeakChannel = Channel;
  while (std::optional<proto::LinkFrame> Frame = co_await Channel->receive()) {
    if (Frame->has_call() && Frame->call().only_ask()) {
      internal::sendReply(WeakChannel,
                          this->Gate.checkAdmission(Frame->call()));
    } else if (Frame->has_call()) {
      const std::uint64_t Id = Frame->call().id();
      (*Tickets)[Id] = 0;
      const std::uint64_t Ticket = this->Gate.submit(
          std::move(*Frame->mutable_call()),
          [WeakChannel, Tickets, Id](proto::CallReply Reply) {
            Tickets->erase(Id);
            internal::sendReply(WeakChannel, std::move(Reply));
          });
      if (const auto Found = Tickets->find(Id); Found != Tickets->end())
        Found->second = Ticket;
    } else if (Frame->has_cancel()) {
      if (const auto Found = Tickets->find(Frame->cancel().id());
          Found != Tickets->end()) {
        this->Gate.cancel(Found->second);
        Tickets->erase(Found);
      }
    } else if (Frame->has_probe()) {
      Frame->mutable_probe()->set_answer(true);
      Channel->send(*Frame);
    } else if (Frame->has_query()) {
      if (const std::optional<proto::LinkFrame> Update =
              this->GetNewerConfiguration(Frame->query().have_version()))
        Channel->send(*Update);
    }
  }
  for (const auto &[Id, Ticket] : *Tickets)
    this->Gate.cancel(Ticket);
  Channel->close();
  this->Channels.erase(Channel);
}

} // namespace persimmonquay
