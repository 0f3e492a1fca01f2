#include "persimmonquay/daemon/peer_link.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/frame_channel.h"
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Pauses between attempts to connect.
constexpr Millis FirstRetry{100};
constexpr Millis LongestRetry{1000};

/// Time for a connection between data centres, one retransmission included.
constexpr Millis LinkConnectTimeout{1500};

/// Interval of looks at a connection with calls under way.
constexpr Millis BusyProbeInterval{250};

/// Silence after a probe by which a connection is given up: several
/// retransmissions on a lossy path.
constexpr Millis ProbeTimeout{1000};

/// Silence after a probe by which no new calls are sent.
constexpr Millis SuspectTimeout{400};

} // namespace internal

PeerLink::PeerLink(asio::io_context &Loop, std::string NodeName,
                   Tcp::endpoint PeerAddress, Millis QuietProbes,
                   ConfigurationHandler Handler)
    : Context(Loop), Node(std::move(NodeName)), Address(std::move(PeerAddress)),
      QuietInterval(QuietProbes), OnConfiguration(std::move(Handler)),
      RetryTimer(Loop), ProbeTimer(Loop) {}

void PeerLink::start() {
  asio::co_spawn(
      this->Context,
      [Self = this->shared_from_this()] { return Self->connectLoop(); },
      asio::detached);
}

void PeerLink::stop() {
  this->Stopped = true;
  this->RetryTimer.cancel();
  this->ProbeTimer.cancel();
  if (this->Channel)
    this->Channel->close();
}

bool PeerLink::isUp() const {
  if (!this->Channel || !this->Channel->isOpen())
    return false;
  return this->ProbeAnswered == this->ProbeSequence ||
         this->Channel->lastReceived() > this->ProbeSentAt ||
         monoNow() - this->ProbeSentAt < internal::SuspectTimeout;
}

std::uint64_t PeerLink::submit(proto::CallRequest Request,
                               ReplyHandler Handler) {
  const std::uint64_t Id = this->NextId++;
  if (!this->Channel || !this->Channel->isOpen()) {
    proto::CallReply Reply;
    Reply.set_outcome(proto::NOT_RUN);
    Reply.set_reason("no connection to the node");
    Handler(std::move(Reply));
    return Id;
  }
  const bool WasQuiet = this->Pending.empty();
  Request.set_id(Id);
  this->Pending[Id] = std::move(Handler);
  proto::LinkFrame Frame;
  *Frame.mutable_call() = std::move(Request);
  this->send(Frame);
  if (WasQuiet)
    this->ProbeTimer.cancel();
  return Id;
}

void PeerLink::cancel(std::uint64_t Ticket) {
  if (this->Pending.erase(Ticket) == 0 || !this->Channel)
    return;
  proto::LinkFrame Frame;
  Frame.mutable_cancel()->set_id(Ticket);
  this->send(Frame);
}

void PeerLink::requestConfiguration(std::uint64_t HaveVersion) {
  if (!this->Channel)
    return;
  proto::LinkFrame Frame;
  Frame.mutable_query()->set_have_version(HaveVersion);
  this->send(Frame);
}

asio::awaitable<void> PeerLink::connectLoop() {
  Millis Pause = internal::FirstRetry;
  while (!this->Stopped) {
    if (co_await this->connectOnce()) {
      Pause = internal::FirstRetry;
      asio::co_spawn(
          this->Context,
          [Self = this->shared_from_this()] { return Self->probeLoop(); },
          asio::detached);
      co_await this->receiveLoop();
      this->Channel->close();
      this->Channel.reset();
      this->ProbeTimer.cancel();
      this->failPending("the connection to the node was lost");
      if (this->Stopped)
        break;
      logLine(LogLevel::Info, "connection to node lost",
              {{"member", this->Node}});
    }
    if (this->Stopped)
      break;
    this->RetryTimer.expires_after(Pause);
    co_await this->RetryTimer.async_wait(NoThrow);
    Pause = std::min(Pause * 2, internal::LongestRetry);
  }
}

asio::awaitable<bool> PeerLink::connectOnce() {
  auto Socket = std::make_shared<Tcp::socket>(this->Context);
  this->RetryTimer.expires_after(internal::LinkConnectTimeout);
  this->RetryTimer.async_wait([Socket](const ErrorCode &Error) {
    ErrorCode Ignored;
    if (!Error)
      Socket->close(Ignored);
  });
  const auto [Error] = co_await Socket->async_connect(this->Address, NoThrow);
  this->RetryTimer.cancel();
  if (Error || !Socket->is_open() || this->Stopped)
    co_return false;
  this->Channel = std::make_shared<FrameChannel>(std::move(*Socket));
  this->ProbeAnswered = this->ProbeSequence;
  co_return true;
}

asio::awaitable<void> PeerLink::receiveLoop() {
  const std::shared_ptr<FrameChannel> Current = this->Channel;
  while (std::optional<proto::LinkFrame> Frame = co_await Current->receive())
    this->handle(std::move(*Frame));
}

void PeerLink::send(const proto::LinkFrame &Frame) {
  this->countFrame(Frame);
  this->Channel->send(Frame);
}

void PeerLink::countFrame(const proto::LinkFrame &Frame) {
  const std::uint64_t Bytes = Frame.ByteSizeLong();
  if (Frame.has_call())
    this->Traffic.CallBytes += Bytes;
  else if (Frame.has_reply() && Frame.reply().outcome() == proto::ANSWERED)
    this->Traffic.ReplyBytes += Bytes;
  else if (Frame.has_reply())
    this->Traffic.RejectionBytes += Bytes;
  else if (Frame.has_configuration() || Frame.has_delta())
    this->Traffic.ConfigurationBytes += Bytes;
  else
    this->Traffic.OtherBytes += Bytes;
}

void PeerLink::handle(proto::LinkFrame Frame) {
  this->countFrame(Frame);
  if (Frame.has_probe()) {
    this->ProbeAnswered = Frame.probe().sequence();
    return;
  }
  if (Frame.has_configuration() || Frame.has_delta()) {
    this->OnConfiguration(std::move(Frame));
    return;
  }
  if (!Frame.has_reply())
    return;
  const auto Found = this->Pending.find(Frame.reply().id());
  if (Found == this->Pending.end())
    return;
  const ReplyHandler Handler = std::move(Found->second);
  this->Pending.erase(Found);
  Handler(std::move(*Frame.mutable_reply()));
}

asio::awaitable<void> PeerLink::probeLoop() {
  const std::shared_ptr<FrameChannel> Current = this->Channel;
  MonoTime LastProbe = monoNow();
  while (Current == this->Channel && Current->isOpen() && !this->Stopped) {
    this->ProbeTimer.expires_after(this->Pending.empty()
                                       ? this->QuietInterval
                                       : internal::BusyProbeInterval);
    co_await this->ProbeTimer.async_wait(NoThrow);
    if (Current != this->Channel || !Current->isOpen() || this->Stopped)
      break;
    const MonoTime Now = monoNow();
    const bool Answered = this->ProbeAnswered == this->ProbeSequence ||
                          Current->lastReceived() > this->ProbeSentAt;
    if (!Answered && Now - this->ProbeSentAt > internal::ProbeTimeout) {
      logLine(LogLevel::Info, "node does not answer probes",
              {{"member", this->Node}});
      Current->close();
      break;
    }
    const Millis Wanted = this->Pending.empty() ? this->QuietInterval
                                                : internal::BusyProbeInterval;
    // Any frame shows that the peer is there.
    if (!Answered ||
        Now - std::max(LastProbe, Current->lastReceived()) < Wanted)
      continue;
    LastProbe = Now;
    this->ProbeSentAt = Now;
    proto::LinkFrame Frame;
    Frame.mutable_probe()->set_sequence(++this->ProbeSequence);
    this->send(Frame);
  }
}

void PeerLink::failPending(const std::string &Reason) {
  std::map<std::uint64_t, ReplyHandler> Lost = std::move(this->Pending);
  this->Pending.clear();
  for (auto &[Id, Handler] : Lost) {
    proto::CallReply Reply;
    Reply.set_outcome(proto::UNKNOWN);
    Reply.set_reason(Reason);
    Reply.set_arrived(true);
    Handler(std::move(Reply));
  }
}

} // namespace persimmonquay
