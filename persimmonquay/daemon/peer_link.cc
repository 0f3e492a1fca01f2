#include "persimmonquay/daemon/peer_link.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/frame_channel.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonquay {
namespace internal {

/// Delays between connection attempts; doubled after each failure.
constexpr Millis MinReconnectDelay{100};
constexpr Millis MaxReconnectDelay{1000};

/// Timeout for connecting; leaves time for one retransmission between data
/// centres.
constexpr Millis LinkConnectTimeout{1500};

/// Interval of probes and timeout checks while calls are pending.
constexpr Millis ActiveProbeInterval{250};

/// A peer is silent if nothing arrives for this long after a probe: several
/// retransmissions on a lossy path.
constexpr Millis ProbeTimeout{1000};

/// No new calls are sent if nothing arrives for this long after a probe.
constexpr Millis SuspectTimeout{400};

/// Returns the reply to a call that has been sent and whose fate is unknown.
proto::CallReply unknownReply(const std::string &Reason) {
  proto::CallReply Reply;
  Reply.set_outcome(proto::UNKNOWN);
  Reply.set_reason(Reason);
  Reply.set_arrived(true);
  return Reply;
}

} // namespace internal

PeerLink::PeerLink(asio::io_context &IoContext, std::string NodeName,
                   Tcp::endpoint PeerAddress, Millis ProbeInterval,
                   FrameLimits LinkLimits, ConfigurationHandler Handler)
    : Context(IoContext), Node(std::move(NodeName)),
      Address(std::move(PeerAddress)), IdleProbeInterval(ProbeInterval),
      Limits(LinkLimits), OnConfiguration(std::move(Handler)),
      ReconnectTimer(IoContext), ProbeTimer(IoContext) {}

void PeerLink::start() {
  asio::co_spawn(
      this->Context,
      [Self = this->shared_from_this()] { return Self->connectLoop(); },
      asio::detached);
}

void PeerLink::stop() {
  this->IsStopped = true;
  this->ReconnectTimer.cancel();
  this->ProbeTimer.cancel();
  if (this->Channel)
    this->Channel->close();
}

bool PeerLink::isUp() const {
  if (!this->Channel || !this->Channel->isOpen())
    return false;
  return this->LastAnsweredProbe == this->LastSentProbe ||
         this->Channel->lastReceived() > this->ProbeSentTime ||
         monoNow() - this->ProbeSentTime < internal::SuspectTimeout;
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
  const bool WasIdle = this->PendingCalls.empty();
  Request.set_id(Id);
  Request.set_takes_body_parts(true);
  this->PendingCalls[Id] = {std::move(Handler), Request.idempotent(),
                            Request.only_ask()};
  proto::LinkFrame Frame;
  *Frame.mutable_call() = std::move(Request);
  this->send(Frame);
  if (WasIdle)
    this->ProbeTimer.cancel();
  return Id;
}

void PeerLink::cancel(std::uint64_t Ticket) {
  const auto Found = this->PendingCalls.find(Ticket);
  if (Found == this->PendingCalls.end())
    return;
  this->take(Found);
  if (!this->Channel)
    return;
  proto::LinkFrame Frame;
  Frame.mutable_cancel()->set_id(Ticket);
  this->send(Frame);
}

void PeerLink::withdraw(std::uint64_t Ticket) {
  if (!this->PendingCalls.contains(Ticket) || !this->Channel)
    return;
  proto::LinkFrame Frame;
  Frame.mutable_cancel()->set_id(Ticket);
  Frame.mutable_cancel()->set_only_waiting(true);
  this->send(Frame);
}

void PeerLink::requestConfiguration(std::uint64_t HaveVersion,
                                    std::uint64_t Inquiry) {
  if (!this->Channel)
    return;
  proto::LinkFrame Frame;
  Frame.mutable_query()->set_have_version(HaveVersion);
  Frame.mutable_query()->set_inquiry(Inquiry);
  this->send(Frame);
}

void PeerLink::sendQuotaAsk(const proto::QuotaAsk &Ask) {
  if (!this->Channel)
    return;
  proto::LinkFrame Frame;
  *Frame.mutable_quota_ask() = Ask;
  this->send(Frame);
}

asio::awaitable<void> PeerLink::connectLoop() {
  Millis ReconnectDelay = internal::MinReconnectDelay;
  while (!this->IsStopped) {
    if (co_await this->connectOnce()) {
      ReconnectDelay = internal::MinReconnectDelay;
      asio::co_spawn(
          this->Context,
          [Self = this->shared_from_this()] { return Self->probeLoop(); },
          asio::detached);
      if (this->OnConnected)
        this->OnConnected(this->Node);
      co_await this->receiveLoop();
      this->Channel->close();
      this->Channel.reset();
      this->ProbeTimer.cancel();
      this->failPendingCalls();
      if (this->IsStopped)
        break;
      logLine(LogLevel::Info, "connection to node lost",
              {{"member", this->Node}});
    }
    if (this->IsStopped)
      break;
    this->ReconnectTimer.expires_after(ReconnectDelay);
    co_await this->ReconnectTimer.async_wait(NoThrow);
    ReconnectDelay = std::min(ReconnectDelay * 2, internal::MaxReconnectDelay);
  }
}

asio::awaitable<bool> PeerLink::connectOnce() {
  auto Socket = std::make_shared<Tcp::socket>(this->Context);
  this->ReconnectTimer.expires_after(internal::LinkConnectTimeout);
  this->ReconnectTimer.async_wait([Socket](const ErrorCode &Error) {
    ErrorCode IgnoredError;
    if (!Error)
      Socket->close(IgnoredError);
  });
  const auto [Error] = co_await Socket->async_connect(this->Address, NoThrow);
  this->ReconnectTimer.cancel();
  if (Error || !Socket->is_open() || this->IsStopped)
    co_return false;
  this->Channel =
      std::make_shared<FrameChannel>(std::move(*Socket), this->Limits);
  this->LastAnsweredProbe = this->LastSentProbe;
  this->IsPeerSilent = false;
  co_return true;
}

asio::awaitable<void> PeerLink::receiveLoop() {
  const std::shared_ptr<FrameChannel> CurrentChannel = this->Channel;
  while (std::optional<proto::LinkFrame> Frame =
             co_await CurrentChannel->receive())
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
  else if (Frame.has_body_part() ||
           (Frame.has_reply() && Frame.reply().outcome() == proto::ANSWERED))
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
    this->LastAnsweredProbe = Frame.probe().sequence();
    return;
  }
  if (Frame.has_configuration() || Frame.has_delta() ||
      Frame.has_confirmation()) {
    this->OnConfiguration(std::move(Frame));
    return;
  }
  if (Frame.has_quota_grant()) {
    if (this->OnGrant)
      this->OnGrant(Frame.quota_grant());
    return;
  }
  if (Frame.has_reply())
    this->handleReply(std::move(*Frame.mutable_reply()));
  else if (Frame.has_body_part())
    this->handleBodyPart(Frame.body_part());
}

void PeerLink::handleReply(proto::CallReply Reply) {
  const auto Found = this->PendingCalls.find(Reply.id());
  if (Found == this->PendingCalls.end() || Found->second.Partial)
    return;
  const proto::CallOutcome Expected =
      Found->second.IsAdmissionCheck ? proto::WOULD_TAKE : proto::ANSWERED;
  if (Reply.outcome() != Expected && Reply.outcome() != proto::NOT_RUN &&
      Reply.outcome() != proto::UNKNOWN) {
    this->take(Found).Handler(internal::unknownReply(absl::StrCat(
        "the node replied with outcome ", static_cast<int>(Reply.outcome()))));
    return;
  }
  if (!Reply.body_follows()) {
    this->take(Found).Handler(std::move(Reply));
    return;
  }
  if (Reply.body_bytes() > this->Limits.MaxBytes - this->PartialBytes) {
    this->giveUpReply(Found, "the answers that arrive take too much memory");
    return;
  }
  this->PartialBytes += Reply.body_bytes();
  Reply.clear_body();
  Reply.mutable_body()->reserve(Reply.body_bytes());
  Found->second.Partial = std::move(Reply);
  Found->second.LastPartAt = monoNow();
}

void PeerLink::handleBodyPart(const proto::ReplyBodyPart &Part) {
  const auto Found = this->PendingCalls.find(Part.id());
  // The parts of a call that was cancelled may still arrive.
  if (Found == this->PendingCalls.end() || !Found->second.Partial)
    return;
  proto::CallReply &Reply = *Found->second.Partial;
  const std::size_t Length = Reply.body().size() + Part.data().size();
  if (Length > Reply.body_bytes() ||
      (Part.last() && Length < Reply.body_bytes())) {
    this->giveUpReply(Found, "the answer's length is not the announced one");
    return;
  }
  Reply.mutable_body()->append(Part.data());
  Found->second.LastPartAt = monoNow();
  if (!Part.last())
    return;
  PendingCall Call = this->take(Found);
  Call.Partial->clear_body_follows();
  Call.Handler(*std::move(Call.Partial));
}

PeerLink::PendingCall PeerLink::take(PendingMap::iterator Position) {
  PendingCall Result = std::move(Position->second);
  this->PendingCalls.erase(Position);
  if (Result.Partial)
    this->PartialBytes -= Result.Partial->body_bytes();
  return Result;
}

void PeerLink::giveUpReply(PendingMap::iterator Position,
                           const std::string &Reason) {
  const std::uint64_t Id = Position->first;
  const ReplyHandler Handler = std::move(Position->second.Handler);
  logLine(LogLevel::Warning, "reply of node given up",
          {{"member", this->Node}, {"reason", Reason}});
  this->cancel(Id);
  Handler(internal::unknownReply(Reason));
}

void PeerLink::expirePartialReplies(MonoTime Now) {
  std::vector<std::uint64_t> Expired;
  for (const auto &[Id, Call] : this->PendingCalls)
    if (Call.Partial && Now - Call.LastPartAt > this->Limits.MaxTime)
      Expired.push_back(Id);
  for (const std::uint64_t Id : Expired)
    if (const auto Found = this->PendingCalls.find(Id);
        Found != this->PendingCalls.end())
      this->giveUpReply(Found, "the rest of the answer did not arrive in time");
}

std::optional<MonoTime>
PeerLink::lastReplyProgress(std::uint64_t Ticket) const {
  const auto Found = this->PendingCalls.find(Ticket);
  if (Found == this->PendingCalls.end() || !Found->second.Partial)
    return std::nullopt;
  return Found->second.LastPartAt;
}

asio::awaitable<void> PeerLink::probeLoop() {
  const std::shared_ptr<FrameChannel> CurrentChannel = this->Channel;
  MonoTime LastProbe = monoNow();
  while (CurrentChannel == this->Channel && CurrentChannel->isOpen() &&
         !this->IsStopped) {
    this->ProbeTimer.expires_after(this->PendingCalls.empty()
                                       ? this->IdleProbeInterval
                                       : internal::ActiveProbeInterval);
    co_await this->ProbeTimer.async_wait(NoThrow);
    if (CurrentChannel != this->Channel || !CurrentChannel->isOpen() ||
        this->IsStopped)
      break;
    const MonoTime Now = monoNow();
    this->expirePartialReplies(Now);
    const bool IsAnswered =
        this->LastAnsweredProbe == this->LastSentProbe ||
        CurrentChannel->lastReceived() > this->ProbeSentTime;
    if (IsAnswered)
      this->IsPeerSilent = false;
    // After a pause of this process, the answer may be waiting in the socket.
    else if (Now - this->ProbeSentTime > internal::ProbeTimeout &&
             !CurrentChannel->hasUnreadFrames())
      this->handleSilence();
    const Millis ProbeInterval = this->PendingCalls.empty()
                                     ? this->IdleProbeInterval
                                     : internal::ActiveProbeInterval;
    // Any frame received from the peer makes a probe unnecessary.
    if (!IsAnswered ||
        Now - std::max(LastProbe, CurrentChannel->lastReceived()) <
            ProbeInterval)
      continue;
    LastProbe = Now;
    this->ProbeSentTime = Now;
    proto::LinkFrame Frame;
    Frame.mutable_probe()->set_sequence(++this->LastSentProbe);
    this->send(Frame);
  }
}

void PeerLink::handleSilence() {
  if (!std::exchange(this->IsPeerSilent, true))
    logLine(LogLevel::Info, "node does not answer probes",
            {{"member", this->Node},
             {"calls", std::to_string(this->PendingCalls.size())}});
  std::vector<std::pair<std::uint64_t, ReplyHandler>> Repeatable;
  for (auto &[Id, Call] : this->PendingCalls)
    if (Call.IsIdempotent)
      Repeatable.emplace_back(Id, std::move(Call.Handler));
  for (auto &[Id, Handler] : Repeatable) {
    this->cancel(Id);
    Handler(internal::unknownReply("the node does not answer"));
  }
  if (this->PendingCalls.empty())
    this->Channel->close();
}

void PeerLink::failPendingCalls() {
  this->PartialBytes = 0;
  for (auto &[Id, Call] : std::exchange(this->PendingCalls, {}))
    Call.Handler(internal::unknownReply("the connection to the node was lost"));
}

} // namespace persimmonquay
