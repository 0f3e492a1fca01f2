// Persistent connection to another node for calls to the upstream next to it.
#ifndef PERSIMMONQUAY_DAEMON_PEER_LINK_H
#define PERSIMMONQUAY_DAEMON_PEER_LINK_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/frame_limits.h"
#include "proto/link.pb.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace persimmonquay {

class FrameChannel;

/// Bytes of the frames on one link, sent and received, by content.
struct LinkTraffic {
  std::uint64_t CallBytes = 0;
  std::uint64_t ReplyBytes = 0;
  std::uint64_t RejectionBytes = 0;
  std::uint64_t ConfigurationBytes = 0;
  std::uint64_t OtherBytes = 0;

  LinkTraffic &operator+=(const LinkTraffic &Other) {
    this->CallBytes += Other.CallBytes;
    this->ReplyBytes += Other.ReplyBytes;
    this->RejectionBytes += Other.RejectionBytes;
    this->ConfigurationBytes += Other.ConfigurationBytes;
    this->OtherBytes += Other.OtherBytes;
    return *this;
  }
};

/// Connects in the background and reconnects after every loss, so that calls
/// are offered only to nodes that were reachable a moment ago. Detects by
/// probes that the peer no longer responds.
///
/// Handles a peer that is silent but not gone, for instance paused: it gets no
/// new calls, and the idempotent ones are given up so that they can be retried
/// elsewhere. The others can't be retried; they wait for the peer's reply until
/// they are cancelled or the connection ends.
///
/// Reassembles replies whose bodies arrive in parts. What it holds of them is
/// bounded by the length of one frame, and the time between two parts by the
/// time that a frame may take.
///
/// Confined to one thread.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
  using ReplyHandler = std::function<void(proto::CallReply)>;
  /// Receives a frame with a configuration, a delta or a confirmation.
  using ConfigurationHandler = std::function<void(proto::LinkFrame)>;
  /// Receives the name of the peer when the link has been connected.
  using ConnectHandler = std::function<void(const std::string &Node)>;
  using GrantHandler = std::function<void(const proto::QuotaGrant &)>;

  /// `ProbeInterval` is the interval between probes while no call is pending.
  PeerLink(asio::io_context &IoContext, std::string NodeName,
           Tcp::endpoint PeerAddress, Millis ProbeInterval,
           FrameLimits LinkLimits, ConfigurationHandler Handler);

  // Commands.

  void setConnectHandler(ConnectHandler Handler) {
    this->OnConnected = std::move(Handler);
  }

  /// Sets the function that receives the replies to `sendQuotaAsk()`.
  void setGrantHandler(GrantHandler Handler) {
    this->OnGrant = std::move(Handler);
  }

  void start();
  void stop();

  /// Sends a call. Its handler gets exactly one reply: the reply of the peer,
  /// NOT_RUN if there is no connection, or UNKNOWN if the connection is lost.
  /// Returns a ticket for `cancel()`.
  std::uint64_t submit(proto::CallRequest Request, ReplyHandler Handler);

  /// Cancels a call; its handler is not called.
  void cancel(std::uint64_t Ticket);

  /// Cancels a call if it has not started at the peer; its handler gets NOT_RUN
  /// then.
  void withdraw(std::uint64_t Ticket);

  /// Requests the configuration of the peer if it is newer than `HaveVersion`.
  /// With an `Inquiry`, the peer is also asked to confirm which one is the
  /// newest; see `ConfigurationFreshness`.
  void requestConfiguration(std::uint64_t HaveVersion,
                            std::uint64_t Inquiry = 0);

  /// Asks the peer for calls out of accounts' quotas.
  void sendQuotaAsk(const proto::QuotaAsk &Ask);

  // Queries.

  /// Returns whether the link is connected and the peer has responded recently.
  bool isUp() const;
  /// Returns when something of the reply to a call arrived last; none if
  /// nothing has.
  std::optional<MonoTime> lastReplyProgress(std::uint64_t Ticket) const;
  const LinkTraffic &traffic() const { return this->Traffic; }
  const Tcp::endpoint &address() const { return this->Address; }
  const std::string &node() const { return this->Node; }

private:
  struct PendingCall {
    ReplyHandler Handler;
    bool IsIdempotent = false;
    bool IsAdmissionCheck = false;
    /// A reply whose body is arriving.
    std::optional<proto::CallReply> Partial = std::nullopt;
    MonoTime LastPartAt = {};
  };
  using PendingMap = std::map<std::uint64_t, PendingCall>;

  asio::awaitable<void> connectLoop();
  asio::awaitable<bool> connectOnce();
  asio::awaitable<void> receiveLoop();
  asio::awaitable<void> probeLoop();
  void handle(proto::LinkFrame Frame);
  void send(const proto::LinkFrame &Frame);
  void countFrame(const proto::LinkFrame &Frame);
  void handleReply(proto::CallReply Reply);
  void handleBodyPart(const proto::ReplyBodyPart &Part);
  /// Removes a pending call and returns it.
  PendingCall take(PendingMap::iterator Position);
  /// Cancels a call whose reply can't be completed, and replies UNKNOWN.
  void giveUpReply(PendingMap::iterator Position, const std::string &Reason);
  /// Gives up the replies whose next part doesn't arrive.
  void expirePartialReplies(MonoTime Now);
  /// Gives up the idempotent calls after the peer has been silent, and closes
  /// the connection if no other calls are pending.
  void handleSilence();
  /// Replies UNKNOWN to all pending calls.
  void failPendingCalls();

  asio::io_context &Context;
  std::string Node;
  Tcp::endpoint Address;
  Millis IdleProbeInterval;
  FrameLimits Limits;
  ConfigurationHandler OnConfiguration;
  ConnectHandler OnConnected;
  GrantHandler OnGrant;
  std::shared_ptr<FrameChannel> Channel;
  PendingMap PendingCalls;
  /// Length of the bodies that are arriving.
  std::size_t PartialBytes = 0;
  std::uint64_t NextId = 1;
  asio::steady_timer ReconnectTimer;
  asio::steady_timer ProbeTimer;
  bool IsStopped = false;
  std::uint64_t LastSentProbe = 0;
  std::uint64_t LastAnsweredProbe = 0;
  MonoTime ProbeSentTime;
  /// Whether the peer has not answered the last probe in time.
  bool IsPeerSilent = false;
  LinkTraffic Traffic;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_PEER_LINK_H
