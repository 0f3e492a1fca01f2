// Server for the calls and queries of other nodes.
#ifndef PERSIMMONQUAY_DAEMON_LINK_SERVER_H
#define PERSIMMONQUAY_DAEMON_LINK_SERVER_H

#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/frame_limits.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace persimmonquay {

class UpstreamGate;
class FrameChannel;
class LinkTransmitter;

/// Accepts connections from the PeerLinks of other nodes and passes their calls
/// to the gate of the local upstream, unless the host's link can't carry their
/// answers in time. When a connection ends, its pending calls
/// are cancelled; see UpstreamGate::cancel().
///
/// Handles a node that was paused, or whose connection stalled, for seconds: it
/// finds calls in its sockets that were cancelled long ago. A call is passed on
/// only once everything that its sender has sent since has been read.
///
/// Confined to one thread.
class LinkServer : public std::enable_shared_from_this<LinkServer> {
public:
  /// Returns the frames that reply to a query; see
  /// `ConfigurationSync::repliesTo()`.
  using ConfigurationSource = std::function<std::vector<proto::LinkFrame>(
      const proto::ConfigurationQuery &)>;

  /// Returns the grants for an ask.
  using AskHandler = std::function<proto::QuotaGrant(const proto::QuotaAsk &)>;

  LinkServer(asio::io_context &IoContext, UpstreamGate &LocalGate,
             std::shared_ptr<LinkTransmitter> HostTransmitter,
             FrameLimits LinkLimits, ConfigurationSource GetConfiguration);

  void setAskHandler(AskHandler Handler) { this->OnAsk = std::move(Handler); }

  void start(Tcp::acceptor ListeningSocket);
  void stop();

private:
  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> serve(std::shared_ptr<FrameChannel> Channel);
  /// Handles every frame except calls and cancels.
  void handleOtherFrame(std::uint64_t Connection, proto::LinkFrame Frame);

  asio::io_context &Context;
  UpstreamGate &Gate;
  std::shared_ptr<LinkTransmitter> Transmitter;
  FrameLimits Limits;
  ConfigurationSource RepliesToQuery;
  AskHandler OnAsk;
  std::optional<Tcp::acceptor> Acceptor;
  std::set<std::shared_ptr<FrameChannel>> Channels;
  bool IsStopped = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_LINK_SERVER_H
