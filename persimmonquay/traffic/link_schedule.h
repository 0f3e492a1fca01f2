// Orders what leaves a host over its network link, and predicts how long it
// takes.
//
// Handles this load pattern: the host's link carries less than its upstream
// answers, since some answers are large downloads. Short answers of important
// calls must not wait behind downloads. What the kernel has accepted can't be
// ordered any more, so it is given only a few milliseconds' worth of bytes.
#ifndef PERSIMMONQUAY_TRAFFIC_LINK_SCHEDULE_H
#define PERSIMMONQUAY_TRAFFIC_LINK_SCHEDULE_H

#include "persimmonquay/base/time.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace persimmonquay {

/// Bytes a second in one megabit a second.
inline constexpr double BytesPerMegabit = 1e6 / 8;

/// Something that waits to be sent over the link.
struct LinkTransfer {
  std::uint64_t Id = 0;
  /// Identifies the connection that carries it.
  std::uint64_t Connection = 0;
  /// What has not been sent yet.
  std::size_t Bytes = 0;
  /// Lower values are more important.
  std::uint32_t Priority = 0;
  /// When the receiver stops waiting for it.
  MonoTime Deadline;
};

/// A part of a transfer, to be sent now.
struct LinkPiece {
  std::uint64_t Id = 0;
  std::size_t Bytes = 0;
  bool IsLast = false;
};

/// The transfers of one host that wait for its link, and the rate at which it
/// takes them. Decides in pieces, so that a more important or more urgent
/// transfer passes one that has been sent in part. Transfers are sent by
/// priority, then by deadline, then by size; those whose deadline has passed
/// are sent last. Does no I/O and reads no clock. Not thread-safe.
class LinkSchedule {
public:
  /// Returns whether a connection takes more bytes without queueing them.
  using ConnectionCheck = std::function<bool(std::uint64_t Connection)>;

  /// `BytesPerSecond` is the bandwidth of the link; 0 if it is not known, in
  /// which case nothing ever waits.
  explicit LinkSchedule(double BytesPerSecond);

  // Commands.

  void add(const LinkTransfer &Transfer);

  /// Removes what has not been sent of a transfer; returns false if no such
  /// transfer waits.
  bool remove(std::uint64_t Id);

  /// Takes the piece that is to be sent next, among the transfers whose
  /// connection takes bytes; none if there is none or the kernel holds enough.
  std::optional<LinkPiece> takeNext(const ConnectionCheck &IsReady,
                                    MonoTime Now);

  /// Counts bytes that were given to the kernel, whether or not they belong to
  /// a piece.
  void recordSent(std::size_t Bytes, MonoTime Now);

  /// Removes and returns the transfers for which no receiver can wait any more.
  std::vector<std::uint64_t> expire(MonoTime Now);

  // Queries.

  /// Returns whether `Bytes` may be sent at once, as a whole: nothing waits,
  /// and they don't keep the link busy for longer than the kernel may.
  bool takesWhole(std::size_t Bytes, MonoTime Now) const;

  /// Returns when the kernel takes the next piece; none if nothing waits.
  std::optional<MonoTime> nextSendTime(MonoTime Now) const;

  /// Returns how long the link takes for `Bytes`.
  Micros transferTime(std::size_t Bytes) const;

  /// Returns how long the link takes for what would be sent before a transfer
  /// that is added now.
  Micros timeAhead(std::uint32_t Priority, MonoTime Deadline,
                   MonoTime Now) const;

  /// Returns how long the link takes for everything that waits.
  Micros backlog(MonoTime Now) const;

  /// Returns the bytes that wait, and those of them for one connection.
  std::size_t waitingBytes() const { return this->WaitingBytes; }
  std::size_t waitingBytes(std::uint64_t Connection) const;

  const std::vector<LinkTransfer> &waiting() const { return this->Waiting; }
  bool isLimited() const { return this->BytesPerSecond > 0; }

private:
  /// Returns when the kernel has sent what it was given, as far as is known.
  MonoTime kernelIdleTime(MonoTime Now) const;

  double BytesPerSecond;
  std::size_t PieceBytes;
  std::vector<LinkTransfer> Waiting;
  std::size_t WaitingBytes = 0;
  MonoTime KernelBusyUntil;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_LINK_SCHEDULE_H
