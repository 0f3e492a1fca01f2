// Distributes configurations from node to node.
#ifndef PERSIMMONQUAY_DAEMON_CONFIGURATION_SYNC_H
#define PERSIMMONQUAY_DAEMON_CONFIGURATION_SYNC_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/mesh/configuration_sources.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace persimmonquay {

class PeerLink;
class RouteTable;

/// Holds the active configuration and a few earlier ones. Computes for other
/// nodes what has changed since their version, and requests a newer
/// configuration from the nodes that have it. A node never returns to an older
/// configuration. Confined to one thread.
class ConfigurationSync {
public:
  struct Callbacks {
    /// Called when a configuration has become active. `FetchedRemotely` says
    /// that it was requested from another data centre, so that the nodes of
    /// this one may not know of it.
    std::function<void(std::shared_ptr<const RouteTable>, bool FetchedRemotely)>
        OnApplied;
    /// Returns the link to a node, or null.
    std::function<std::shared_ptr<PeerLink>(const std::string &)> FindLink;
  };

  ConfigurationSync(asio::io_context &IoContext, Callbacks NodeCallbacks);

  // Commands.

  /// Activates `Next` unless the active configuration is as new or newer.
  void apply(proto::MeshConfiguration Next);

  /// Applies a configuration or delta that another node has sent.
  void handleFrame(proto::LinkFrame Frame);

  /// Records that `Node` has `Version`, and requests it if it is newer than the
  /// active one. `IsLocal` says whether the node is in this node's data centre.
  void handlePeerVersion(const std::string &Node, bool IsLocal,
                         std::uint64_t Version);

  /// Sets whether earlier configurations are kept to compute deltas for other
  /// nodes: a node that follows the operator's records passes changes on.
  void setServesPeers(bool Enabled) { this->ServesPeers = Enabled; }

  /// Stops requesting configurations.
  void stop();

  // Queries.

  /// Returns the frame that brings a node from `PeerVersion` to the active
  /// configuration: a delta if `PeerVersion` is still kept, else the whole.
  /// Returns nothing if the active configuration is not newer.
  std::optional<proto::LinkFrame> updateSince(std::uint64_t PeerVersion);

  /// Returns the active configuration, or null.
  const std::shared_ptr<const RouteTable> &current() const {
    return this->Current;
  }

  /// Returns whether a newer configuration has been known for so long that the
  /// other nodes apparently can't deliver it.
  bool isStale() const;

private:
  std::uint64_t version() const;
  void requestNewer();

  Callbacks Callback;
  /// Secret of this process; see `AccountTable`.
  std::uint64_t KeyHashSeed;
  std::shared_ptr<const RouteTable> Current;
  ConfigurationSources Sources;
  asio::steady_timer RequestTimer;
  /// Whether a configuration has been requested from another data centre since
  /// the active one was applied.
  bool RequestedRemotely = false;
  bool ServesPeers = false;
  bool Stopped = false;
  /// The last configurations, oldest first.
  std::deque<std::shared_ptr<const RouteTable>> History;
  /// Cached frames with the delta to the active configuration, by the version
  /// to which they apply.
  std::map<std::uint64_t, proto::LinkFrame> Deltas;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CONFIGURATION_SYNC_H
