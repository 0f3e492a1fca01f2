#include "persimmonquay/daemon/link_server.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/frame_channel.h"
#include "persimmonquay/daemon/upstream_gate.h"
#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace persimmonquay {
namespace internal {

/// Delay after a failed accept.
constexpr Millis LinkAcceptBackoff{100};

/// Bound on the calls of one connection that wait for later frames.
constexpr std::size_t MaxUnsubmittedCalls = 64;

/// The calls of one connection that have no reply yet.
class LinkCalls {
public:
  LinkCalls(UpstreamGate &LocalGate,
            const std::shared_ptr<FrameChannel> &CallerChannel)
      : Gate(LocalGate), Channel(CallerChannel) {}

  /// Adds a call that has been received.
  void add(proto::CallRequest Call) {
    this->Unsubmitted.push_back(std::move(Call));
  }

  /// Passes all calls that have been added to the gate.
  void submitAll() {
    for (proto::CallRequest &Call : std::exchange(this->Unsubmitted, {}))
      this->submit(std::move(Call));
  }

  /// Cancels the call to which the sender gave this id, if it has no reply yet.
  void cancel(std::uint64_t Id) {
    std::erase_if(this->Unsubmitted, [Id](const proto::CallRequest &Call) {
      return Call.id() == Id;
    });
    const auto Found = this->Tickets->find(Id);
    if (Found == this->Tickets->end())
      return;
    this->Gate.cancel(Found->second);
    this->Tickets->erase(Found);
  }

  /// Lets the gate reject the call if it has not started.
  void withdraw(std::uint64_t Id) {
    const auto Waiting = std::find_if(
        this->Unsubmitted.begin(), this->Unsubmitted.end(),
        [Id](const proto::CallRequest &Call) { return Call.id() == Id; });
    if (Waiting != this->Unsubmitted.end()) {
      // The gate rejects a call that has no time left.
      proto::CallRequest Call = std::move(*Waiting);
      this->Unsubmitted.erase(Waiting);
      Call.set_remaining_ms(0);
      this->submit(std::move(Call));
    }
    if (const auto Found = this->Tickets->find(Id);
        Found != this->Tickets->end())
      this->Gate.withdraw(Found->second);
  }

  void cancelAll() {
    this->Unsubmitted.clear();
    for (const auto &[Id, Ticket] : *this->Tickets)
      this->Gate.cancel(Ticket);
  }

  bool hasUnsubmitted() const { return !this->Unsubmitted.empty(); }
  bool isFull() const {
    return this->Unsubmitted.size() >= MaxUnsubmittedCalls;
  }

private:
  void submit(proto::CallRequest Call) {
    const std::uint64_t Id = Call.id();
    (*this->Tickets)[Id] = 0;
    const std::uint64_t Ticket = this->Gate.submit(
        std::move(Call), [WeakChannel = this->Channel, Tickets = this->Tickets,
                          Id](proto::CallReply Reply) {
          Tickets->erase(Id);
          const std::shared_ptr<FrameChannel> OpenChannel = WeakChannel.lock();
          if (!OpenChannel)
            return;
          proto::LinkFrame Frame;
          *Frame.mutable_reply() = std::move(Reply);
          OpenChannel->send(Frame);
        });
    // The gate may have replied already.
    if (const auto Found = this->Tickets->find(Id);
        Found != this->Tickets->end())
      Found->second = Ticket;
  }

  UpstreamGate &Gate;
  std::weak_ptr<FrameChannel> Channel;
  std::vector<proto::CallRequest> Unsubmitted;
  /// Tickets of the submitted calls by the id that the sender chose. Shared
  /// with the reply handlers, which may outlive the connection.
  std::shared_ptr<std::map<std::uint64_t, std::uint64_t>> Tickets =
      std::make_shared<std::map<std::uint64_t, std::uint64_t>>();
};

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
  internal::LinkCalls Calls(this->Gate, Channel);
  while (true) {
    if (Calls.hasUnsubmitted() &&
        (Calls.isFull() || !Channel->hasUnreadFrames())) {
      if (Channel->isClosedByPeer())
        break;
      Calls.submitAll();
    }
    std::optional<proto::LinkFrame> Frame = co_await Channel->receive();
    if (!Frame)
      break;
    if (Frame->has_call() && !Frame->call().only_ask())
      Calls.add(std::move(*Frame->mutable_call()));
    else if (Frame->has_cancel() && Frame->cancel().only_waiting())
      Calls.withdraw(Frame->cancel().id());
    else if (Frame->has_cancel())
      Calls.cancel(Frame->cancel().id());
    else
      this->handleOtherFrame(*Channel, *std::move(Frame));
  }
  Calls.cancelAll();
  Channel->close();
  this->Channels.erase(Channel);
}

void LinkServer::handleOtherFrame(FrameChannel &Channel,
                                  proto::LinkFrame Frame) {
  if (Frame.has_call()) {
    proto::LinkFrame Reply;
    *Reply.mutable_reply() = this->Gate.checkAdmission(Frame.call());
    Channel.send(Reply);
  } else if (Frame.has_probe()) {
    Frame.mutable_probe()->set_answer(true);
    Channel.send(Frame);
  } else if (Frame.has_query()) {
    if (const std::optional<proto::LinkFrame> Update =
            this->GetNewerConfiguration(Frame.query().have_version()))
      Channel.send(*Update);
  }
}

} // namespace persimmonquay
