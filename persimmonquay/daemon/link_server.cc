#include "persimmonquay/daemon/link_server.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/frame_channel.h"
#include "persimmonquay/daemon/upstream_gate.h"
#include <map>
#include <utility>

namespace persimmonquay {
namespace internal {

constexpr Millis LinkAcceptPause{100};

/// Sends a reply unless the connection has ended meanwhile.
void sendReply(const std::weak_ptr<FrameChannel> &Target,
               proto::CallReply Reply) {
  const std::shared_ptr<FrameChannel> Channel = Target.lock();
  if (!Channel)
    return;
  proto::LinkFrame Frame;
  *Frame.mutable_reply() = std::move(Reply);
  Channel->send(Frame);
}

} // namespace internal

LinkServer::LinkServer(asio::io_context &Loop, UpstreamGate &Gate,
                       ConfigurationSource Source)
    : Context(Loop), Upstream(Gate), Configuration(std::move(Source)) {}

void LinkServer::start(Tcp::acceptor Listener) {
  this->Acceptor = std::move(Listener);
  asio::co_spawn(
      this->Context,
      [Self = this->shared_from_this()] { return Self->acceptLoop(); },
      asio::detached);
}

void LinkServer::stop() {
  this->Stopped = true;
  ErrorCode Ignored;
  if (this->Acceptor)
    this->Acceptor->close(Ignored);
  for (const std::shared_ptr<FrameChannel> &Channel : this->Channels)
    Channel->close();
}

asio::awaitable<void> LinkServer::acceptLoop() {
  while (!this->Stopped) {
    auto [Error, Socket] = co_await this->Acceptor->async_accept(NoThrow);
    if (this->Stopped)
      break;
    if (Error) {
      logLine(LogLevel::Warning, "accept of a node's connection failed",
              {{"error", Error.message()}});
      asio::steady_timer Pause(this->Context, internal::LinkAcceptPause);
      co_await Pause.async_wait(NoThrow);
      continue;
    }
    auto Channel = std::make_shared<FrameChannel>(std::move(Socket));
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
  // Tickets of the calls that have no reply yet, by the sender's number.
  auto Tickets = std::make_shared<std::map<std::uint64_t, std::uint64_t>>();
  const std::weak_ptr<FrameChannel> Target = Channel;
  while (std::optional<proto::LinkFrame> Frame = co_await Channel->receive()) {
    if (Frame->has_call() && Frame->call().only_ask()) {
      internal::sendReply(Target, this->Upstream.checkAdmission(Frame->call()));
    } else if (Frame->has_call()) {
      const std::uint64_t Id = Frame->call().id();
      (*Tickets)[Id] = 0;
      const std::uint64_t Ticket =
          this->Upstream.submit(std::move(*Frame->mutable_call()),
                                [Target, Tickets, Id](proto::CallReply Reply) {
                                  Tickets->erase(Id);
                                  internal::sendReply(Target, std::move(Reply));
                                });
      if (const auto Found = Tickets->find(Id); Found != Tickets->end())
        Found->second = Ticket;
    } else if (Frame->has_cancel()) {
      if (const auto Found = Tickets->find(Frame->cancel().id());
          Found != Tickets->end()) {
        this->Upstream.cancel(Found->second);
        Tickets->erase(Found);
      }
    } else if (Frame->has_probe()) {
      Frame->mutable_probe()->set_answer(true);
      Channel->send(*Frame);
    } else if (Frame->has_query()) {
      if (const std::optional<proto::LinkFrame> Answer =
              this->Configuration(Frame->query().have_version()))
        Channel->send(*Answer);
    }
  }
  for (const auto &[Id, Ticket] : *Tickets)
    this->Upstream.cancel(Ticket);
  Channel->close();
  this->Channels.erase(Channel);
}

} // namespace persimmonquay
