// Sends the replies to other nodes over the network link of this host.
#ifndef PERSIMMONQUAY_DAEMON_LINK_TRANSMITTER_H
#define PERSIMMONQUAY_DAEMON_LINK_TRANSMITTER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/traffic/link_admission.h"
#include "persimmonquay/traffic/link_schedule.h"
#include "proto/link.pb.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace persimmonquay {

class FrameChannel;
class Metrics;

/// How a reply is sent.
struct ReplyOrder {
  std::uint32_t Priority = 0;
  /// When the caller stops waiting.
  MonoTime Deadline;
  /// Whether the receiver takes the body in parts.
  bool TakesParts = false;
};

/// What has been sent, and what waits.
struct LinkStatistics {
  /// Answers that were sent as a whole and in parts.
  std::uint64_t WholeAnswers = 0;
  std::uint64_t PartedAnswers = 0;
  /// Answers whose rest was dropped, since nobody waits for it any more or
  /// there was too much to keep.
  std::uint64_t DroppedAnswers = 0;
  /// Calls that were rejected because of the link.
  std::uint64_t RejectedCalls = 0;
  /// Bodies that wait for their turn on the link.
  std::size_t WaitingAnswerBytes = 0;
  /// These, and frames that the kernel has not taken yet.
  std::size_t WaitingBytes = 0;
  /// The largest part of it for one node.
  std::size_t LargestWaitingBytes = 0;
  /// How long the link takes for what waits, the kernel's part included.
  Micros Backlog{0};
};

/// Passes frames to the connections of other nodes. Small ones pass at once,
/// and larger replies as well while the link has room; otherwise their bodies
/// follow in parts, in the order of `LinkSchedule`.
///
/// What waits is bounded. Beyond that, replies lose their body and become
/// UNKNOWN.
///
/// Handles a link that is slower than is known: the kernel's buffers fill, and
/// pieces wait until the peers have acknowledged enough.
///
/// Confined to one thread.
class LinkTransmitter : public std::enable_shared_from_this<LinkTransmitter> {
public:
  using ConnectionId = std::uint64_t;

  /// `BytesPerSecond` is the bandwidth of the host's link, 0 if it is unknown.
  LinkTransmitter(asio::io_context &IoContext, Metrics &NodeCounters,
                  double BytesPerSecond, std::size_t MaxWaitingBytes);

  // Commands.

  /// Adds the connection to a node.
  ConnectionId add(const std::shared_ptr<FrameChannel> &Channel);

  /// Removes a connection with all that waits for it.
  void remove(ConnectionId Connection);

  /// Sends a frame at once.
  void send(ConnectionId Connection, const proto::LinkFrame &Frame);

  void sendReply(ConnectionId Connection, proto::CallReply Reply,
                 const ReplyOrder &Order);

  /// Drops what has not been sent of the reply to a call.
  void cancel(ConnectionId Connection, std::uint64_t CallId);

  /// Counts a call whose reply will be sent, until the result is destroyed.
  std::shared_ptr<void> expectAnswer(const LinkCall &Call);

  /// Records the size of an answer.
  void recordAnswer(const std::string &Route, const proto::CallReply &Reply) {
    this->Admission.recordAnswer(Route, Reply.body().size(),
                                 Micros(Reply.work_us()));
  }

  /// Returns the rejection of a call whose answer the link can't carry in time,
  /// or none.
  std::optional<proto::CallReply> rejectionOf(const proto::CallRequest &Request,
                                              const LinkCall &Call);

  // Queries.

  /// Returns when the link will have sent what waits and is expected.
  Micros backlog() const { return this->Admission.backlog(monoNow()); }

  bool isIdle() const { return this->Transfers.empty(); }
  LinkStatistics statistics() const;

private:
  struct Transfer {
    ConnectionId Connection = 0;
    std::uint64_t CallId = 0;
    std::string Body;
    std::size_t SentBytes = 0;
    MonoTime ReadyAt;
  };

  struct Connection {
    std::weak_ptr<FrameChannel> Channel;
    MonoTime LastPieceAt;
  };

  /// Gives the kernel what it may get now.
  void transmit();
  /// Returns whether the connections that were sent pieces lately have more
  /// bytes on their way than the link explains.
  bool isKernelFull(MonoTime Now) const;
  bool takesPiece(ConnectionId Id) const;
  void sendPiece(const LinkPiece &Piece);
  /// Drops a transfer; nothing more of it is sent.
  void drop(std::uint64_t TransferId);
  void armTimer(MonoTime Now);
  /// Logs when much begins to wait, and when that ends.
  void logBacklog(MonoTime Now);

  Metrics &Counters;
  std::size_t MaxBytes;
  /// Bounds on what the kernel holds; see `isKernelFull()`, `takesPiece()`.
  std::size_t MaxKernelBytes;
  std::size_t MaxConnectionBytes;
  LinkSchedule Schedule;
  LinkAdmission Admission;
  std::map<ConnectionId, Connection> Connections;
  std::map<std::uint64_t, Transfer> Transfers;
  std::uint64_t NextId = 1;
  asio::steady_timer Timer;
  LinkStatistics Totals;
  bool IsBehind = false;
  MonoTime BehindSince;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_LINK_TRANSMITTER_H
