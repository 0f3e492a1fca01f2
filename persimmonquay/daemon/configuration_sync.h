// Brings configurations from node to node.
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

/// Keeps the configuration in force and the few before it, tells other nodes
/// what has changed since theirs, and fetches a newer one from those that have
/// it. A node never goes back to an older configuration. Lives on one thread.
class ConfigurationSync {
public:
  struct Events {
    /// A configuration has come into force. `Fetched`: from another data
    /// centre, so that the nodes around here may not know of it.
    std::function<void(std::shared_ptr<const RouteTable>, bool Fetched)>
        OnApplied;
    /// Returns the connection to a node, or null.
    std::function<std::shared_ptr<PeerLink>(const std::string &)> LinkTo;
  };

  ConfigurationSync(asio::io_context &Loop, Events Handlers);

  // Commands.

  /// Takes a configuration into force unless a newer one is.
  void apply(proto::MeshConfiguration Next);

  /// Takes what another node has sent: a configuration or a delta.
  void take(proto::LinkFrame Frame);

  /// Another node has a version; asks for it when it is newer.
  void told(const std::string &Node, bool IsNear, std::uint64_t Version);

  /// Sets how much is kept for others: a node that follows the operator's
  /// records passes changes on.
  void setServesOthers(bool Serves) { this->ServesOthers = Serves; }

  void stop();

  // Queries.

  /// Returns what leads from `Have` to the configuration in force, or none when
  /// it isn't newer.
  std::optional<proto::LinkFrame> since(std::uint64_t Have);

  /// Returns the configuration in force, or null.
  const std::shared_ptr<const RouteTable> &current() const {
    return this->Current;
  }

  /// Returns whether a newer configuration has been known for so long that the
  /// other nodes seem unable to deliver it.
  bool isStale() const;

private:
  std::uint64_t version() const;
  void askNext();

  Events On;
  std::shared_ptr<const RouteTable> Current;
  ConfigurationSources Sources;
  asio::steady_timer AskTimer;
  /// Whether another data centre has been asked since the last one applied.
  bool AskedFar = false;
  bool ServesOthers = false;
  bool Stopped = false;
  /// The last configurations, oldest first, and the frames made of them by the
  /// version from which they lead to the one in force.
  std::deque<std::shared_ptr<const RouteTable>> History;
  std::map<std::uint64_t, proto::LinkFrame> Deltas;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CONFIGURATION_SYNC_H
