// Takes calls and questions from other nodes.
#ifndef PERSIMMONQUAY_DAEMON_LINK_SERVER_H
#define PERSIMMONQUAY_DAEMON_LINK_SERVER_H

#include "persimmonquay/daemon/asio.h"
#include "proto/link.pb.h"
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace persimmonquay {

class UpstreamGate;
class FrameChannel;

/// Accepts connections of other nodes' PeerLinks and passes their calls to the
/// ingress. When a connection ends, its calls are given up as the ingress
/// allows. Lives on one thread.
class LinkServer : public std::enable_shared_from_this<LinkServer> {
public:
  /// Returns a frame that brings a node from a version to the one in force, or
  /// none when that is no newer.
  using ConfigurationSource =
      std::function<std::optional<proto::LinkFrame>(std::uint64_t)>;

  LinkServer(asio::io_context &Loop, UpstreamGate &Gate,
             ConfigurationSource Source);

  void start(Tcp::acceptor Listener);
  void stop();

private:
  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> serve(std::shared_ptr<FrameChannel> Channel);

  asio::io_context &Context;
  UpstreamGate &Upstream;
  ConfigurationSource Configuration;
  std::optional<Tcp::acceptor> Acceptor;
  std::set<std::shared_ptr<FrameChannel>> Channels;
  bool Stopped = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_LINK_SERVER_H
