// One node, put together: the daemon beside an upstream.
#ifndef PERSIMMONQUAY_DAEMON_MESH_NODE_H
#define PERSIMMONQUAY_DAEMON_MESH_NODE_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/call_router.h"
#include "persimmonquay/daemon/caller_server.h"
#include "persimmonquay/daemon/configuration_sync.h"
#include "persimmonquay/daemon/gossip.h"
#include "persimmonquay/daemon/header_names.h"
#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/daemon/rollout_driver.h"
#include "persimmonquay/daemon/upstream_gate.h"
#include "persimmonquay/fleet/node_directory.h"
#include "persimmonquay/fleet/upstream_registry.h"
#include "persimmonquay/rollout/rollout_table.h"
#include "proto/mesh.pb.h"
#include "proto/sidecar.pb.h"
#include <absl/status/status.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonquay {

class LinkServer;

/// Holds the parts of a node together. What speaks to the platform feeds it
/// with configurations, orders, nodes and heartbeats, and is told of changes.
/// Lives on one thread.
class MeshNode {
public:
  /// Sets up a node step by step.
  class Builder {
  public:
    Builder(asio::io_context &Loop, proto::SidecarSettings NodeSettings);
    Builder &headerNames(HeaderNames Names);
    /// Where the states of rollouts are stored.
    Builder &statusWriter(RolloutDriver::StatusWriter Writer);
    /// Returns InvalidArgument for settings that can't be used.
    absl::StatusOr<std::unique_ptr<MeshNode>> build();

  private:
    friend class MeshNode;
    asio::io_context &Context;
    proto::SidecarSettings Settings;
    HeaderNames Names;
    RolloutDriver::StatusWriter Writer;
    Tcp::endpoint CallerAddress;
    Tcp::endpoint LinkAddress;
    Tcp::endpoint UpstreamAddress;
  };

  MeshNode(const MeshNode &) = delete;
  MeshNode &operator=(const MeshNode &) = delete;
  ~MeshNode();

  // Commands.

  /// Opens the sockets. Returns Unavailable when an address is taken.
  absl::Status start();

  /// Takes a configuration into force unless a newer one is.
  void applyConfiguration(proto::MeshConfiguration Next);

  /// Tells whether this node reads what operators write; other nodes of its
  /// data centre rely on it while it does.
  void setFollowsStore(bool Follows);

  void addRolloutOrder(const proto::RolloutOrder &Order);

  /// Takes over what is stored about other nodes and greets them.
  void mergeStoredNodes(const std::vector<proto::NodeEntry> &Entries);

  /// Takes over what an earlier run of this node stored of its upstream, once a
  /// health check shows that the same one is there and well.
  void restoreUpstream(const proto::UpstreamEntry &Stored);

  void applyHeartbeat(const Heartbeat &Beat);
  void deregisterUpstream(const std::string &Instance,
                          std::uint64_t StartedUnixMs);

  /// Stops gracefully: no new callers, no new calls for the upstream, then the
  /// end of what is under way. Calls `Done` when all has ended or the grace
  /// period is nearly over.
  void stopGracefully(std::function<void()> Done);

  // Queries.

  /// Whether callers may be sent here.
  bool isReady() const;

  /// Whether this node should read what operators write: unless enough other
  /// nodes of its data centre do.
  bool shouldFollowStore() const;
  const proto::NodeEntry &ownEntry() const { return this->Nodes.ownEntry(); }
  /// Returns the metrics as text.
  std::string metricsText();
  Metrics &metrics() { return this->Counts; }

private:
  explicit MeshNode(const Builder &Parts);

  void checkStoredUpstream();
  asio::awaitable<void> checkedRestore(std::string HealthPath);
  void upstreamChanged();
  void announceOwn();
  void nodesChanged();
  void configurationApplied(std::shared_ptr<const RouteTable> Routes,
                            bool Fetched);
  void configurationTold(const std::string &Node, std::uint64_t Version);
  CallerServerLimits callerLimits() const;
  asio::awaitable<void> measureLoop();
  asio::awaitable<void> watchUpstream();
  void logTraffic();
  asio::awaitable<void> shutDown(std::function<void()> Done);

  asio::io_context &Context;
  proto::SidecarSettings Settings;
  Tcp::endpoint CallerAddress;
  Tcp::endpoint LinkAddress;
  Tcp::endpoint UpstreamAddress;
  HeaderNames Names;
  Metrics Counts;
  NodeDirectory Nodes;
  UpstreamRegistry Registry;
  /// What was stored of the upstream, until it has been checked.
  std::optional<proto::UpstreamEntry> StoredUpstream;
  RolloutTable Rollouts;
  UpstreamGate Gate;
  ConfigurationSync Configurations;
  CallRouter Outbound;
  Gossip Messenger;
  RolloutDriver Driver;
  std::shared_ptr<CallerServer> Callers;
  std::shared_ptr<LinkServer> Links;
  asio::steady_timer WatchTimer;
  /// Longest idle time that callers may have learnt from a configuration.
  Millis LongestIdleTimeout{0};
  bool Stopping = false;
  bool Following = false;
  MonoTime StartedAt;
  MonoTime AppliedAt;
  MonoTime TrafficLoggedAt;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_MESH_NODE_H
