// A node's membership in the cluster: failure detection, gossip and state
// synchronisation.
#ifndef PERSIMMONQUAY_PEER_CLUSTER_H
#define PERSIMMONQUAY_PEER_CLUSTER_H

#include "persimmonquay/base/time.h"
#include "proto/peer.pb.h"
#include <absl/status/status.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmonquay::proto {
class NodeSettings;
} // namespace persimmonquay::proto

namespace persimmonquay {

class ConfigStore;

/// Functions that the cluster calls when its state has changed or evidence has
/// been received. They run on the cluster's threads and must not call back into
/// it.
struct ClusterCallbacks {
  std::function<void()> OnMembersChanged;
  std::function<void()> OnFactsChanged;
  std::function<void(const proto::EvidenceCell &)> OnEvidenceReceived;
};

/// Bytes and messages sent and received since the start, for metrics.
struct ClusterTraffic {
  std::uint64_t DatagramsSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t Syncs = 0;
};

/// Synchronises this node's member table, facts and configuration with its
/// peers. Datagrams carry probes, digests and small updates. When a peer's
/// digest shows that this node lacks something, it requests that state from the
/// peer.
///
/// Thread-safe after `start()`.
///
/// Example:
///   Cluster Peers(Settings, &Store, Callbacks);
///   absl::Status Status = Peers.start();
class Cluster {
public:
  Cluster(const proto::NodeSettings &Settings, ConfigStore *Store,
          ClusterCallbacks Callbacks);
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;
  ~Cluster();

  // Commands.

  /// Opens the sockets and starts the threads. Returns Unavailable, naming the
  /// port, if a port is in use.
  absl::Status start();

  /// Announces to some peers that this node leaves, and stops the threads.
  void stop();

  /// Replaces what this node's member entry says about its upstream; see
  /// MemberTable::updateSelf.
  void updateSelf(const proto::Member &OwnMember);

  /// Merges a fact and, if it is new, gossips it immediately.
  void publishFact(const proto::Fact &Fact);

  /// Sends evidence cells directly to the named nodes; unknown nodes are
  /// skipped.
  void sendEvidence(const std::vector<proto::EvidenceCell> &Cells,
                    const std::vector<std::string> &Nodes);

  /// Pings members that were found by other means, for example on the log, so
  /// that both sides learn of each other.
  void join(const std::vector<proto::Member> &Members);

  /// Pings some peers immediately, so that they fetch the changed
  /// configuration. May be called from the store's observer.
  void announceConfigChange();

  // Queries.

  proto::Member self() const;

  /// Returns whether this node knows any other node.
  bool hasPeers() const;

  /// Returns whether a sync that included members has succeeded with any peer.
  bool hasFetchedMembers() const;

  std::vector<proto::Member> members() const;
  std::uint64_t factLevel(proto::FactKind Kind, const std::string &Key) const;
  std::vector<proto::Fact> facts() const;

  /// See FactTable::countWithPrefix.
  std::size_t factCount(proto::FactKind Kind, const std::string &Prefix) const;

  /// Returns whether this node is one of the `Count` nodes of its data centre
  /// that hold `Role`; see MemberTable::hasRole.
  bool hasRole(const std::string &Role, std::size_t Count) const;

  ClusterTraffic traffic() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PEER_CLUSTER_H
