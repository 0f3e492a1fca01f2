#include "persimmonquay/traffic/link_schedule.h"

#include <algorithm>
#include <tuple>

namespace persimmonquay {
namespace internal {

/// Part of the bandwidth that the content of messages gets: the headers of
/// packets, datagrams and requests take the rest.
constexpr double PayloadShare = 0.95;

/// What the kernel may hold, as time of the link: more than the delay of a
/// timer, so that the link doesn't idle, and less than callers notice.
constexpr Millis MaxKernelTime{20};

/// Bound on what the kernel is taken to hold: frames to a peer that is gone
/// never use the link.
constexpr Millis MaxKernelBacklog{500};

/// Length of a piece, as time of the link, and bounds on it in bytes. A shorter
/// piece costs more system calls.
constexpr double PieceSeconds = 0.006;
constexpr double MinPieceBytes = 4096;
constexpr double MaxPieceBytes = 65536;

/// Time after its deadline for which a transfer is kept: longer than any caller
/// goes on waiting.
constexpr Millis MaxOverdue{5000};

/// Bound on predicted times, so that a very slow link doesn't overflow them.
constexpr double MaxTransferSeconds = 3600;

/// Returns whether `Left` is sent before `Right`.
bool precedes(const LinkTransfer &Left, const LinkTransfer &Right,
              MonoTime Now) {
  const auto Key = [Now](const LinkTransfer &Transfer) {
    return std::tuple(Transfer.Deadline < Now, Transfer.Priority,
                      Transfer.Deadline, Transfer.Bytes, Transfer.Id);
  };
  return Key(Left) < Key(Right);
}

} // namespace internal

LinkSchedule::LinkSchedule(double BytesPerSecond)
    : BytesPerSecond(std::max(BytesPerSecond, 0.0) * internal::PayloadShare),
      PieceBytes(static_cast<std::size_t>(
          std::clamp(this->BytesPerSecond * internal::PieceSeconds,
                     internal::MinPieceBytes, internal::MaxPieceBytes))) {}

void LinkSchedule::add(const LinkTransfer &Transfer) {
  this->Waiting.push_back(Transfer);
  this->WaitingBytes += Transfer.Bytes;
}

bool LinkSchedule::remove(std::uint64_t Id) {
  const auto Found = std::find_if(
      this->Waiting.begin(), this->Waiting.end(),
      [Id](const LinkTransfer &Transfer) { return Transfer.Id == Id; });
  if (Found == this->Waiting.end())
    return false;
  this->WaitingBytes -= Found->Bytes;
  this->Waiting.erase(Found);
  return true;
}

std::optional<LinkPiece> LinkSchedule::takeNext(const ConnectionCheck &IsReady,
                                                MonoTime Now) {
  if (this->kernelIdleTime(Now) - Now >= internal::MaxKernelTime)
    return std::nullopt;
  auto Best = this->Waiting.end();
  for (auto Next = this->Waiting.begin(); Next != this->Waiting.end(); ++Next)
    if ((Best == this->Waiting.end() ||
         internal::precedes(*Next, *Best, Now)) &&
        IsReady(Next->Connection))
      Best = Next;
  if (Best == this->Waiting.end())
    return std::nullopt;
  LinkPiece Piece;
  Piece.Id = Best->Id;
  Piece.Bytes = std::min(Best->Bytes, this->PieceBytes);
  Best->Bytes -= Piece.Bytes;
  this->WaitingBytes -= Piece.Bytes;
  Piece.IsLast = Best->Bytes == 0;
  if (Piece.IsLast)
    this->Waiting.erase(Best);
  this->recordSent(Piece.Bytes, Now);
  return Piece;
}

void LinkSchedule::recordSent(std::size_t Bytes, MonoTime Now) {
  this->KernelBusyUntil =
      std::min(this->kernelIdleTime(Now) + this->transferTime(Bytes),
               Now + internal::MaxKernelBacklog);
}

std::vector<std::uint64_t> LinkSchedule::expire(MonoTime Now) {
  std::vector<std::uint64_t> Result;
  for (const LinkTransfer &Transfer : this->Waiting)
    if (Now - Transfer.Deadline > internal::MaxOverdue)
      Result.push_back(Transfer.Id);
  for (const std::uint64_t Id : Result)
    this->remove(Id);
  return Result;
}

bool LinkSchedule::takesWhole(std::size_t Bytes, MonoTime Now) const {
  return this->Waiting.empty() &&
         this->kernelIdleTime(Now) + this->transferTime(Bytes) <=
             Now + internal::MaxKernelTime;
}

std::optional<MonoTime> LinkSchedule::nextSendTime(MonoTime Now) const {
  if (this->Waiting.empty())
    return std::nullopt;
  // Half of what the kernel holds may leave before it gets more, so that
  // several pieces are given to it at once.
  return std::max(Now, this->kernelIdleTime(Now) - internal::MaxKernelTime / 2);
}

Micros LinkSchedule::transferTime(std::size_t Bytes) const {
  if (!this->isLimited())
    return Micros{0};
  const double Seconds = static_cast<double>(Bytes) / this->BytesPerSecond;
  return std::chrono::duration_cast<Micros>(std::chrono::duration<double>(
      std::min(Seconds, internal::MaxTransferSeconds)));
}

Micros LinkSchedule::timeAhead(std::uint32_t Priority, MonoTime Deadline,
                               MonoTime Now) const {
  LinkTransfer Added;
  Added.Id = UINT64_MAX;
  Added.Bytes = SIZE_MAX;
  Added.Priority = Priority;
  Added.Deadline = Deadline;
  std::size_t Bytes = 0;
  for (const LinkTransfer &Transfer : this->Waiting)
    if (internal::precedes(Transfer, Added, Now))
      Bytes += Transfer.Bytes;
  return std::chrono::duration_cast<Micros>(this->kernelIdleTime(Now) - Now) +
         this->transferTime(Bytes);
}

Micros LinkSchedule::backlog(MonoTime Now) const {
  return std::chrono::duration_cast<Micros>(this->kernelIdleTime(Now) - Now) +
         this->transferTime(this->WaitingBytes);
}

std::size_t LinkSchedule::waitingBytes(std::uint64_t Connection) const {
  std::size_t Bytes = 0;
  for (const LinkTransfer &Transfer : this->Waiting)
    if (Transfer.Connection == Connection)
      Bytes += Transfer.Bytes;
  return Bytes;
}

MonoTime LinkSchedule::kernelIdleTime(MonoTime Now) const {
  return std::max(this->KernelBusyUntil, Now);
}

} // namespace persimmonquay
