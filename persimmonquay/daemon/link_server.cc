#include "persimmonquay/daemon/link_server.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/frame_channel.h"
#include "persimmonquay/daemon/link_transmitter.h"
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

/// Returns what the link has to know of a call that has just been received.
LinkCall linkCall(const proto::CallRequest &Call) {
  const MonoTime Now = monoNow();
  return {Call.route(), Call.priority(), Now + Millis(Call.objective_ms()),
          Now + Millis(Call.remaining_ms())};
}

/// The calls of one connection that have no reply yet.
class LinkCalls {
public:
  LinkCalls(UpstreamGate &LocalGate,
            const std::shared_ptr<LinkTransmitter> &HostTransmitter,
            LinkTransmitter::ConnectionId CallerConnection)
      : Gate(LocalGate), Transmitter(HostTransmitter),
        Connection(CallerConnection) {}

  /// Adds a call that has been received.
  void add(proto::CallRequest Call) {
    this->Unsubmitted.push_back(std::move(Call));
  }

  /// Passes all calls that have been added to the gate.
  void submitAll() {
    for (proto::CallRequest &Call : std::exchange(this->Unsubmitted, {}))
      this->submit(std::move(Call));
  }

  /// Cancels the call to which the sender gave this id, or what has not been
  /// sent of the reply to it.
  void cancel(std::uint64_t Id) {
    std::erase_if(this->Unsubmitted, [Id](const proto::CallRequest &Call) {
      return Call.id() == Id;
    });
    const auto Found = this->Tickets->find(Id);
    if (Found == this->Tickets->end()) {
      this->Transmitter->cancel(this->Connection, Id);
      return;
    }
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
    const LinkCall Answer = linkCall(Call);
    const ReplyOrder Order{Answer.Priority, Answer.Deadline,
                           Call.takes_body_parts()};
    if (std::optional<proto::CallReply> Rejection =
            this->Transmitter->rejectionOf(Call, Answer)) {
      *Rejection->mutable_load() = this->Gate.load();
      this->Transmitter->sendReply(this->Connection, *std::move(Rejection),
                                   Order);
      return;
    }
    (*this->Tickets)[Id] = 0;
    const std::uint64_t Ticket = this->Gate.submit(
        std::move(Call),
        [Transmitter = this->Transmitter, Connection = this->Connection,
         Tickets = this->Tickets, Expected = Transmitter->expectAnswer(Answer),
         Route = Answer.Route, Order, Id](proto::CallReply Reply) mutable {
          Tickets->erase(Id);
          Expected.reset();
          if (Reply.outcome() == proto::ANSWERED && Reply.status() < 300)
            Transmitter->recordAnswer(Route, Reply);
          Transmitter->sendReply(Connection, std::move(Reply), Order);
        });
    // The gate may have replied already.
    if (const auto Found = this->Tickets->find(Id);
        Found != this->Tickets->end())
      Found->second = Ticket;
  }

  UpstreamGate &Gate;
  std::shared_ptr<LinkTransmitter> Transmitter;
  LinkTransmitter::ConnectionId Connection;
  std::vector<proto::CallRequest> Unsubmitted;
  /// Tickets of the submitted calls by the id that the sender chose. Shared
  /// with the reply handlers, which may outlive the connection.
  std::shared_ptr<std::map<std::uint64_t, std::uint64_t>> Tickets =
      std::make_shared<std::map<std::uint64_t, std::uint64_t>>();
};

} // namespace internal

LinkServer::LinkServer(asio::io_context &IoContext, UpstreamGate &LocalGate,
                       std::shared_ptr<LinkTransmitter> HostTransmitter,
                       FrameLimits LinkLimits,
                       ConfigurationSource GetConfiguration)
    : Context(IoContext), Gate(LocalGate),
      Transmitter(std::move(HostTransmitter)), Limits(LinkLimits),
      RepliesToQuery(std::move(GetConfiguration)) {}

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
  const LinkTransmitter::ConnectionId Connection =
      this->Transmitter->add(Channel);
  internal::LinkCalls Calls(this->Gate, this->Transmitter, Connection);
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
      this->handleOtherFrame(Connection, *std::move(Frame));
  }
  Calls.cancelAll();
  this->Transmitter->remove(Connection);
  Channel->close();
  this->Channels.erase(Channel);
}

void LinkServer::handleOtherFrame(std::uint64_t Connection,
                                  proto::LinkFrame Frame) {
  if (Frame.has_call()) {
    const LinkCall Answer = internal::linkCall(Frame.call());
    proto::CallReply Reply = this->Gate.checkAdmission(Frame.call());
    if (Reply.outcome() == proto::WOULD_TAKE)
      if (std::optional<proto::CallReply> Rejection =
              this->Transmitter->rejectionOf(Frame.call(), Answer)) {
        *Rejection->mutable_load() = Reply.load();
        Reply = *std::move(Rejection);
      }
    this->Transmitter->sendReply(Connection, std::move(Reply),
                                 {Answer.Priority, Answer.Deadline, false});
  } else if (Frame.has_probe()) {
    Frame.mutable_probe()->set_answer(true);
    this->Transmitter->send(Connection, Frame);
  } else if (Frame.has_query()) {
    for (const proto::LinkFrame &Reply : this->RepliesToQuery(Frame.query()))
      this->Transmitter->send(Connection, Reply);
  } else if (Frame.has_quota_ask() && this->OnAsk) {
    proto::LinkFrame Reply;
    *Reply.mutable_quota_grant() = this->OnAsk(Frame.quota_ask());
    this->Transmitter->send(Connection, Reply);
  }
}

} // namespace persimmonquay
