#include "persimmonquay/daemon/link_transmitter.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/frame_channel.h"
#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/traffic/admission_queue.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// A connection gets no further piece while more than this waits for the
/// kernel, so that short frames to the same node pass.
constexpr std::size_t MaxQueuedPieceBytes = 16384;

/// What the kernel may hold until it is acknowledged, as time of the link: more
/// than it is given at once, and a round trip. Less for one connection, so that
/// a peer that doesn't read can't stop the others.
constexpr double MaxKernelSeconds = 0.075;
constexpr double MaxConnectionSeconds = 0.04;
constexpr double MinKernelBytes = 65536;
constexpr double MinConnectionBytes = 32768;

/// Time after its last piece for which a connection is assumed to use the link.
constexpr Millis PieceMemory{100};

/// Interval at which the kernel is asked again when it holds too much.
constexpr Millis KernelCheckInterval{5};

/// Backlogs at which the link counts as behind, and as having caught up.
constexpr Millis BehindBacklog{200};
constexpr Millis CaughtUpBacklog{20};

/// Reason of a reply whose body can't be kept.
constexpr char TooManyBytes[] = "the answers that wait take too much memory";

} // namespace internal

LinkTransmitter::LinkTransmitter(asio::io_context &IoContext,
                                 Metrics &NodeCounters, double BytesPerSecond,
                                 std::size_t MaxWaitingBytes)
    : Counters(NodeCounters), MaxBytes(MaxWaitingBytes),
      MaxKernelBytes(static_cast<std::size_t>(
          std::max(BytesPerSecond * internal::MaxKernelSeconds,
                   internal::MinKernelBytes))),
      MaxConnectionBytes(static_cast<std::size_t>(
          std::max(BytesPerSecond * internal::MaxConnectionSeconds,
                   internal::MinConnectionBytes))),
      Schedule(BytesPerSecond), Admission(this->Schedule, MaxWaitingBytes / 2),
      Timer(IoContext) {}

LinkTransmitter::ConnectionId
LinkTransmitter::add(const std::shared_ptr<FrameChannel> &Channel) {
  const ConnectionId Id = this->NextId++;
  this->Connections[Id] = {Channel, {}};
  Channel->setDrainHandler([WeakSelf = this->weak_from_this()] {
    const std::shared_ptr<LinkTransmitter> Self = WeakSelf.lock();
    if (Self && !Self->isIdle())
      Self->transmit();
  });
  return Id;
}

void LinkTransmitter::remove(ConnectionId Connection) {
  this->Connections.erase(Connection);
  std::erase_if(this->Transfers, [&](const auto &Entry) {
    const bool IsRemoved = Entry.second.Connection == Connection;
    if (IsRemoved)
      this->Schedule.remove(Entry.first);
    return IsRemoved;
  });
}

void LinkTransmitter::send(ConnectionId Connection,
                           const proto::LinkFrame &Frame) {
  const auto Found = this->Connections.find(Connection);
  const std::shared_ptr<FrameChannel> Channel =
      Found == this->Connections.end() ? nullptr : Found->second.Channel.lock();
  if (!Channel)
    return;
  this->Schedule.recordSent(Frame.ByteSizeLong(), monoNow());
  Channel->send(Frame);
}

void LinkTransmitter::sendReply(ConnectionId Connection, proto::CallReply Reply,
                                const ReplyOrder &Order) {
  if (!this->Connections.contains(Connection))
    return;
  const MonoTime Now = monoNow();
  const std::size_t Bytes = Reply.body().size();
  Reply.mutable_load()->set_link_wait_us(
      static_cast<std::uint32_t>(std::min<std::int64_t>(
          this->Admission.backlog(Now).count(), UINT32_MAX)));
  const bool IsWhole = !Order.TakesParts || Bytes <= MaxSmallAnswerBytes ||
                       this->Schedule.takesWhole(Bytes, Now);
  proto::LinkFrame Frame;
  if (IsWhole) {
    this->Totals.WholeAnswers += Reply.outcome() == proto::ANSWERED;
    *Frame.mutable_reply() = std::move(Reply);
    this->send(Connection, Frame);
    return;
  }
  const std::uint64_t CallId = Reply.id();
  std::string Body = std::move(*Reply.mutable_body());
  Reply.clear_body();
  const bool IsKept = this->Schedule.waitingBytes() + Bytes <= this->MaxBytes;
  if (IsKept) {
    Reply.set_body_follows(true);
    Reply.set_body_bytes(Bytes);
  } else {
    ++this->Totals.DroppedAnswers;
    Reply.set_outcome(proto::UNKNOWN);
    Reply.set_reason(internal::TooManyBytes);
    logLine(LogLevel::Warning, "answer dropped",
            {{"reason", internal::TooManyBytes},
             {"bytes", std::to_string(Bytes)},
             {"waiting_bytes", std::to_string(this->Schedule.waitingBytes())}});
  }
  // Tells the receiver that the answer is ready.
  *Frame.mutable_reply() = std::move(Reply);
  this->send(Connection, Frame);
  if (!IsKept)
    return;
  const std::uint64_t Id = this->NextId++;
  this->Schedule.add({Id, Connection, Bytes, Order.Priority, Order.Deadline});
  this->Transfers[Id] = {Connection, CallId, std::move(Body), 0, Now};
  this->transmit();
  this->logBacklog(Now);
}

void LinkTransmitter::cancel(ConnectionId Connection, std::uint64_t CallId) {
  for (const auto &[Id, Waiting] : this->Transfers)
    if (Waiting.Connection == Connection && Waiting.CallId == CallId) {
      this->drop(Id);
      return;
    }
}

void LinkTransmitter::drop(std::uint64_t TransferId) {
  ++this->Totals.DroppedAnswers;
  this->Schedule.remove(TransferId);
  this->Transfers.erase(TransferId);
}

std::shared_ptr<void> LinkTransmitter::expectAnswer(const LinkCall &Call) {
  const std::uint64_t Id = this->NextId++;
  this->Admission.add(Id, Call);
  return {this, [WeakSelf = this->weak_from_this(), Id](void *) {
            if (const std::shared_ptr<LinkTransmitter> Self = WeakSelf.lock())
              Self->Admission.remove(Id);
          }};
}

std::optional<proto::CallReply>
LinkTransmitter::rejectionOf(const proto::CallRequest &Request,
                             const LinkCall &Call) {
  const std::optional<LinkRejection> Rejection = this->Admission.whyRejected(
      Call, Millis(Request.max_wait_ms()), monoNow());
  if (!Rejection)
    return std::nullopt;
  ++this->Totals.RejectedCalls;
  // A busy rejection only tells the router to try another upstream.
  if (Rejection->Reason != BusyReason)
    logLine(LogLevel::Info, "call rejected because of the link",
            {{"request", Request.request_id()},
             {"route", Request.route()},
             {"reason", std::string(Rejection->Reason)},
             {"backlog_us", absl::StrCat(this->backlog().count())},
             {"remaining_ms", std::to_string(Request.remaining_ms())}});
  proto::CallReply Reply;
  Reply.set_id(Request.id());
  Reply.set_outcome(proto::NOT_RUN);
  Reply.set_reason(std::string(Rejection->Reason));
  Reply.set_retry_after_ms(static_cast<std::uint32_t>(
      std::chrono::ceil<Millis>(Rejection->RetryAfter).count()));
  return Reply;
}

void LinkTransmitter::transmit() {
  const MonoTime Now = monoNow();
  for (const std::uint64_t Id : this->Schedule.expire(Now))
    this->drop(Id);
  const auto IsReady = [this](ConnectionId Id) { return this->takesPiece(Id); };
  // The kernel is asked once, since that takes a system call for each
  // connection; the schedule bounds what is added until it is asked again.
  const std::optional<MonoTime> Next = this->Schedule.nextSendTime(Now);
  const bool MaySend = Next && *Next <= Now && !this->isKernelFull(Now);
  while (MaySend) {
    const std::optional<LinkPiece> Piece =
        this->Schedule.takeNext(IsReady, Now);
    if (!Piece)
      break;
    this->sendPiece(*Piece);
  }
  this->armTimer(Now);
  this->logBacklog(Now);
}

bool LinkTransmitter::isKernelFull(MonoTime Now) const {
  std::size_t Bytes = 0;
  for (const auto &[Id, Open] : this->Connections)
    if (Now - Open.LastPieceAt < internal::PieceMemory)
      if (const std::shared_ptr<FrameChannel> Channel = Open.Channel.lock())
        Bytes += Channel->kernelBytes();
  return Bytes > this->MaxKernelBytes;
}

bool LinkTransmitter::takesPiece(ConnectionId Id) const {
  const std::shared_ptr<FrameChannel> Channel =
      this->Connections.at(Id).Channel.lock();
  return Channel && Channel->isOpen() &&
         Channel->queuedBytes() < internal::MaxQueuedPieceBytes &&
         Channel->kernelBytes() < this->MaxConnectionBytes;
}

void LinkTransmitter::sendPiece(const LinkPiece &Piece) {
  Transfer &Sent = this->Transfers.at(Piece.Id);
  proto::LinkFrame Frame;
  proto::ReplyBodyPart &Part = *Frame.mutable_body_part();
  Part.set_id(Sent.CallId);
  Part.set_data(Sent.Body.substr(Sent.SentBytes, Piece.Bytes));
  Part.set_last(Piece.IsLast);
  Sent.SentBytes += Piece.Bytes;
  // The schedule has counted the bytes already.
  Connection &Open = this->Connections.at(Sent.Connection);
  Open.LastPieceAt = monoNow();
  if (const std::shared_ptr<FrameChannel> Channel = Open.Channel.lock())
    Channel->send(Frame);
  if (!Piece.IsLast)
    return;
  ++this->Totals.PartedAnswers;
  this->Counters.recordLinkWait(
      std::chrono::duration_cast<Micros>(monoNow() - Sent.ReadyAt));
  this->Transfers.erase(Piece.Id);
}

void LinkTransmitter::armTimer(MonoTime Now) {
  std::optional<MonoTime> Next = this->Schedule.nextSendTime(Now);
  if (!Next) {
    this->Timer.cancel();
    return;
  }
  // The kernel or all connections hold too much.
  if (*Next <= Now)
    Next = Now + internal::KernelCheckInterval;
  this->Timer.expires_at(*Next);
  this->Timer.async_wait(
      [WeakSelf = this->weak_from_this()](const ErrorCode &Error) {
        const std::shared_ptr<LinkTransmitter> Self = WeakSelf.lock();
        if (!Error && Self)
          Self->transmit();
      });
}

void LinkTransmitter::logBacklog(MonoTime Now) {
  const Micros Backlog = this->Schedule.backlog(Now);
  const bool Changes = this->IsBehind ? Backlog < internal::CaughtUpBacklog
                                      : Backlog > internal::BehindBacklog;
  if (!Changes)
    return;
  this->IsBehind = !this->IsBehind;
  if (this->IsBehind)
    this->BehindSince = Now;
  const LinkStatistics Current = this->statistics();
  logLine(LogLevel::Info,
          this->IsBehind ? "the link is behind" : "the link has caught up",
          {{"backlog_ms",
            absl::StrCat(std::chrono::duration_cast<Millis>(Backlog).count())},
           {"answers", std::to_string(this->Transfers.size())},
           {"waiting_bytes", std::to_string(Current.WaitingBytes)},
           {"largest_bytes", std::to_string(Current.LargestWaitingBytes)},
           {"behind_ms", absl::StrCat(std::chrono::duration_cast<Millis>(
                                          Now - this->BehindSince)
                                          .count())}});
}

LinkStatistics LinkTransmitter::statistics() const {
  LinkStatistics Result = this->Totals;
  Result.WaitingAnswerBytes = this->Schedule.waitingBytes();
  Result.Backlog = this->Schedule.backlog(monoNow());
  for (const auto &[Id, Open] : this->Connections) {
    const std::shared_ptr<FrameChannel> Channel = Open.Channel.lock();
    if (!Channel)
      continue;
    const std::size_t Bytes =
        Channel->queuedBytes() + this->Schedule.waitingBytes(Id);
    Result.WaitingBytes += Bytes;
    Result.LargestWaitingBytes = std::max(Result.LargestWaitingBytes, Bytes);
  }
  return Result;
}

} // namespace persimmonquay
