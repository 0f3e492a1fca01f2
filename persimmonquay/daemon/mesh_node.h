// A node of the mesh: the daemon that runs beside an upstream.
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
#include "persimmonquay/daemon/quota_service.h"
#include "persimmonquay/daemon/rollout_driver.h"
#include "persimmonquay/daemon/upstream_gate.h"
#include "persimmonquay/fleet/earlier_run.h"
#include "persimmonquay/fleet/evacuation_table.h"
#include "persimmonquay/fleet/follower_turns.h"
#include "persimmonquay/fleet/node_directory.h"
#include "persimmonquay/fleet/upstream_registry.h"
#include "persimmonquay/rollout/rollout_table.h"
#include "persimmonquay/traffic/crash_ledger.h"
#include "proto/mesh.pb.h"
#include "proto/sidecar.pb.h"
#include <absl/status/status.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonquay {

class LinkServer;
class LinkTransmitter;

/// Owns the components of a node and connects them. The code that talks to the
/// platform passes it configurations, rollout orders, node entries and
/// heartbeats, and gets back what the platform is to store. Confined to one
/// thread.
class MeshNode {
public:
  /// Stores `entryToStore()`. Returns DeadlineExceeded if it has not been
  /// stored within the given time; the attempts then go on.
  using EntryWriter =
      std::function<asio::awaitable<absl::Status>(Millis Timeout)>;

  /// Collects what a node needs and builds it.
  class Builder {
  public:
    Builder(asio::io_context &IoContext, proto::SidecarSettings NodeSettings);
    /// Sets the names of the HTTP headers that the platform uses.
    Builder &headerNames(HeaderNames PlatformNames);
    /// Sets the function that stores the states of rollouts.
    Builder &statusWriter(RolloutDriver::StatusWriter StoreWriter);
    /// Sets the function that stores this node's entry.
    Builder &entryWriter(EntryWriter StoreWriter);
    /// Returns InvalidArgument if an address in the settings is invalid.
    absl::StatusOr<std::unique_ptr<MeshNode>> build();

  private:
    friend class MeshNode;
    asio::io_context &Context;
    proto::SidecarSettings Settings;
    HeaderNames Names;
    RolloutDriver::StatusWriter Writer;
    EntryWriter WriteEntry;
    Tcp::endpoint CallerAddress;
    Tcp::endpoint LinkAddress;
    Tcp::endpoint UpstreamAddress;
  };

  MeshNode(const MeshNode &) = delete;
  MeshNode &operator=(const MeshNode &) = delete;
  ~MeshNode();

  // Commands.

  /// Opens the sockets and starts to serve. Returns Unavailable if an address
  /// is in use.
  absl::Status start();

  /// Activates `Next` unless the active configuration is as new or newer.
  void applyConfiguration(proto::MeshConfiguration Next);

  /// Sets whether this node follows the operator's records on the store. While
  /// it does, the other nodes of its data centre rely on it for changes.
  void setFollowsStore(bool Enabled);

  /// Decides whether this node should follow the operator's records now: unless
  /// enough other nodes of its data centre do, or it is the turn of others to
  /// try (see `FollowerTurns`); in any case if the others fail to deliver a
  /// newer configuration.
  bool shouldFollowStore();

  /// Adds a rollout order and passes a new one on to the other nodes.
  void addRolloutOrder(const proto::RolloutOrder &Order);

  /// Adds an evacuation, or the end of one, and passes a new one on to the
  /// other nodes.
  void addEvacuation(const proto::Evacuation &Copy);

  /// Ends the evacuations that a complete list on the store doesn't hold; see
  /// `EvacuationTable::endedBy()`.
  void applyEvacuationList(const std::vector<proto::Evacuation> &Active,
                           std::uint64_t ListNumber, bool IsSettled);

  /// Merges stored entries of other nodes and joins the mesh through those that
  /// are new or newer than the known ones. Called after `restoreOwnEntry()`.
  void mergeStoredNodes(const std::vector<proto::NodeEntry> &Entries);

  /// Restores what an earlier run of this node stored: the upstreams that had
  /// departed and, once a health check shows that the same instance is running
  /// and healthy, its upstream.
  void restoreOwnEntry(const proto::NodeEntry &Stored);

  /// Applies a heartbeat. Returns when it may be confirmed to the upstream: if
  /// it announces that the upstream leaves, after that has been stored or can't
  /// be stored soon.
  asio::awaitable<void> applyHeartbeat(Heartbeat Received);

  /// Withdraws the upstream that deregisters. Returns when that may be
  /// confirmed, as `applyHeartbeat()`. `StartedUnixMs` is 0 if unknown.
  asio::awaitable<void> deregisterUpstream(std::string Instance,
                                           std::uint64_t StartedUnixMs);

  /// Stops gracefully: refuses new callers, then new calls for the upstream,
  /// then waits for the requests and calls in progress. Calls `OnStopped` when
  /// all have ended or the grace period is nearly over.
  void stopGracefully(std::function<void()> OnStopped);

  // Queries.

  /// Returns whether callers may be sent to this node.
  bool isReady() const;

  /// Returns the number of known nodes, this one included.
  std::size_t countNodes() const { return this->Directory.entries().size(); }

  /// Returns this node's entry as it should be stored: it lets other nodes find
  /// this one, and lets this node find its upstream again after a restart and
  /// remember those that have departed.
  proto::NodeEntry entryToStore() const;

  /// Returns the current metrics in the text format of Prometheus.
  std::string metricsText();
  Metrics &metrics() { return this->NodeMetrics; }

private:
  explicit MeshNode(const Builder &Setup);

  /// Waits for a limited time until the departures that earlier runs have
  /// confirmed are known, so that a late heartbeat can't bring back an upstream
  /// that has departed. Returns whether a heartbeat can be trusted then.
  asio::awaitable<bool> awaitDepartures();
  /// Returns whether the upstream that sent a heartbeat says in a health check
  /// that it is running and not leaving.
  asio::awaitable<bool> confirmsByHealthCheck(const Heartbeat &Received);
  /// Returns the path of health checks of this node's service; empty if it is
  /// not known.
  std::string healthPath() const;
  /// Returns the configuration of this node's service, or null.
  const proto::MeshService *ownService() const;
  /// Adds departures that another node remembers; see `Gossip::Callbacks`.
  void handleHistory(bool RemembersEarlierRun, const Departures &Known);
  /// Stores this node's entry in the background.
  void storeDepartures();
  /// Stores this node's entry; waits for a limited time. Logs `FailureMessage`
  /// if it has not been stored by then.
  asio::awaitable<void> storeEntry(std::string FailureMessage);
  void checkStoredUpstream();
  asio::awaitable<void> restoreIfSameInstance(std::string HealthPath);
  void handleUpstreamChange();
  void updateOwnEntry();
  void handleDirectoryChange();
  /// Merges an evacuation; returns whether it is new.
  bool mergeEvacuation(const proto::Evacuation &Copy);
  /// Sets the limits on the own upstream while it is cold from the
  /// configuration.
  void updateColdLimits();
  /// Asks the upstream by a health check whether it is cold, if that is only
  /// assumed or if its heartbeats are missing. In the latter case it is taken
  /// to be cold unless it answers.
  void resolveColdDoubt(bool HeartbeatsMissing = false);
  asio::awaitable<void> checkColdness(std::string HealthPath,
                                      bool HeartbeatsMissing);
  /// Drains an upstream that has said in a response that it leaves.
  void handleLeaving(const proto::UpstreamEntry &Leaving);
  /// Spreads crashes that this node has seen, and stores those for which
  /// requests are rejected.
  void handleCrash(const CrashLedger::Records &Attributed);
  void handleAppliedConfiguration(std::shared_ptr<const RouteTable> Routes,
                                  bool FetchedRemotely);
  /// Starts to keep quotas once the other nodes are surely known.
  void startKeepingQuotas();
  void handlePeerVersion(const std::string &Node, std::uint64_t Version);
  /// Returns the other nodes that follow the operator's records and can be
  /// reached: those of this data centre, or if there are none, all others.
  std::vector<std::string> reachableFollowers() const;
  CallerServerLimits callerLimits() const;
  asio::awaitable<void> measureLoopLag();
  asio::awaitable<void> watchUpstream();
  void logTraffic();
  asio::awaitable<void> shutDown(std::function<void()> OnStopped);

  asio::io_context &Context;
  proto::SidecarSettings Settings;
  Tcp::endpoint CallerAddress;
  Tcp::endpoint LinkAddress;
  Tcp::endpoint UpstreamAddress;
  HeaderNames Names;
  EntryWriter WriteEntry;
  Metrics NodeMetrics;
  NodeDirectory Directory;
  UpstreamRegistry Registry;
  /// The stored entry of the upstream, until it has been checked.
  std::optional<proto::UpstreamEntry> StoredUpstream;
  RolloutTable Rollouts;
  CrashLedger Crashes;
  EvacuationTable Evacuations;
  UpstreamGate Gate;
  ConfigurationSync ConfigSync;
  QuotaService Quotas;
  CallRouter Router;
  Gossip NodeGossip;
  RolloutDriver Driver;
  std::shared_ptr<CallerServer> Callers;
  std::shared_ptr<LinkTransmitter> Transmitter;
  std::shared_ptr<LinkServer> Links;
  asio::steady_timer WatchTimer;
  /// Longest idle timeout of all configurations applied so far; callers may
  /// still use an earlier one.
  Millis LongestIdleTimeout{0};
  bool Stopping = false;
  bool FollowsStore = false;
  FollowerTurns FollowTurns;
  EarlierRun KnownHistory;
  /// When the stored list of nodes was first read.
  std::optional<MonoTime> StoredNodesReadAt;
  /// A heartbeat whose health check waits for the configuration.
  std::optional<Heartbeat> UncheckedHeartbeat;
  bool IsCheckingColdness = false;
  /// When the upstream was last asked although no heartbeat had been due.
  MonoTime SilenceCheckedAt;
  MonoTime StartedAt;
  MonoTime ConfigurationAppliedAt;
  MonoTime TrafficLoggedAt;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_MESH_NODE_H
