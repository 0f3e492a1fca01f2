// A kept connection to another node, over which calls are offered to the
// upstream beside it.
#ifndef PERSIMMONQUAY_DAEMON_PEER_LINK_H
#define PERSIMMONQUAY_DAEMON_PEER_LINK_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "proto/link.pb.h"
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace persimmonquay {

class FrameChannel;

/// Bytes of frames on one link, sent and received, by what they carry.
struct LinkTraffic {
  std::uint64_t CallBytes = 0;
  std::uint64_t ReplyBytes = 0;
  std::uint64_t RejectionBytes = 0;
  std::uint64_t ConfigurationBytes = 0;
  std::uint64_t OtherBytes = 0;

  LinkTraffic &operator+=(const LinkTraffic &Added) {
    this->CallBytes += Added.CallBytes;
    this->ReplyBytes += Added.ReplyBytes;
    this->RejectionBytes += Added.RejectionBytes;
    this->ConfigurationBytes += Added.ConfigurationBytes;
    this->OtherBytes += Added.OtherBytes;
    return *this;
  }
};

/// Connects in the background and again after every loss, so that calls are
/// offered only to nodes that were reachable a moment ago. Notices by probes
/// that the other side has gone silent. Lives on one thread.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
  using ReplyHandler = std::function<void(proto::CallReply)>;
  /// Takes a frame that carries a configuration or a delta.
  using ConfigurationHandler = std::function<void(proto::LinkFrame)>;

  /// `QuietProbes` is the interval of probes while no call is under way.
  PeerLink(asio::io_context &Loop, std::string NodeName,
           Tcp::endpoint PeerAddress, Millis QuietProbes,
           ConfigurationHandler Handler);

  // Commands.

  void start();
  void stop();

  /// Offers a call. Its handler gets exactly one reply: the peer's, or UNKNOWN
  /// when the connection is lost. Returns a ticket for `cancel()`.
  std::uint64_t submit(proto::CallRequest Request, ReplyHandler Handler);

  /// Gives a call up; its handler is not called.
  void cancel(std::uint64_t Ticket);

  /// Asks for the configuration, if the peer's is newer.
  void requestConfiguration(std::uint64_t HaveVersion);

  // Queries.

  /// Whether the peer answered lately, as far as is known.
  bool isUp() const;
  const LinkTraffic &traffic() const { return this->Traffic; }
  const Tcp::endpoint &address() const { return this->Address; }
  const std::string &node() const { return this->Node; }

private:
  asio::awaitable<void> connectLoop();
  asio::awaitable<bool> connectOnce();
  asio::awaitable<void> receiveLoop();
  asio::awaitable<void> probeLoop();
  void handle(proto::LinkFrame Frame);
  void send(const proto::LinkFrame &Frame);
  void countFrame(const proto::LinkFrame &Frame);
  void failPending(const std::string &Reason);

  asio::io_context &Context;
  std::string Node;
  Tcp::endpoint Address;
  Millis QuietInterval;
  ConfigurationHandler OnConfiguration;
  std::shared_ptr<FrameChannel> Channel;
  std::map<std::uint64_t, ReplyHandler> Pending;
  std::uint64_t NextId = 1;
  asio::steady_timer RetryTimer;
  asio::steady_timer ProbeTimer;
  bool Stopped = false;
  std::uint64_t ProbeSequence = 0;
  std::uint64_t ProbeAnswered = 0;
  MonoTime ProbeSentAt;
  LinkTraffic Traffic;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_PEER_LINK_H
