// A node's part in the group: probes, gossip and synchronisation of state.
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

/// What a node calls when something arrived from its peers. The functions run
/// on the cluster's threads and must not call back into it.
struct ClusterCallbacks {
  std::function<void()> OnMembersChanged;
  std::function<void()> OnFactsChanged;
  std::function<void(const proto::EvidenceCell &)> OnEvidenceReceived;
};

/// Bytes and messages since the start, for metrics.
struct ClusterTraffic {
  std::uint64_t DatagramsSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t Syncs = 0;
};

/// Keeps the member table, the facts and the configuration of this node in
/// step with its peers. Datagrams carry probes, digests and small updates; a
/// node that sees from a digest that it is behind fetches what it lacks.
///
/// Thread-safe after `start()`.
///
/// Example:
///   Cluster Group(Settings, &Store, Events);
///   absl::Status Status = Group.start();
class Cluster {
public:
  Cluster(const proto::NodeSettings &Settings, ConfigStore *Store,
          ClusterCallbacks Events);
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;
  ~Cluster();

  // Commands.

  /// Opens the sockets and starts the threads. Returns Unavailable, naming the
  /// port, when one is taken.
  absl::Status start();

  /// Tells the peers that this node leaves, and stops the threads.
  void stop();

  /// Replaces what the node says about its upstream; see MemberTable.
  void updateSelf(const proto::Member &Facts);

  /// Merges a fact and spreads it at once if it is new.
  void publishFact(const proto::Fact &Fact);

  /// Sends cells directly to the named nodes.
  void sendEvidence(const std::vector<proto::EvidenceCell> &Cells,
                    const std::vector<std::string> &Nodes);

  /// Pings the members named elsewhere, so that both learn of each other.
  void join(const std::vector<proto::Member> &Known);

  /// Tells some peers at once that the configuration has changed. May be
  /// called from inside the store's observer.
  void announceConfigChange();

  // Queries.

  proto::Member self() const;

  /// Returns whether this node knows any other.
  bool hasPeers() const;

  /// Returns whether a peer has sent its whole table of members.
  bool hasFetchedMembers() const;

  std::vector<proto::Member> members() const;
  std::uint64_t factLevel(proto::FactKind Kind, const std::string &Key) const;
  std::vector<proto::Fact> facts() const;

  /// See FactTable::countWithPrefix.
  std::size_t factCount(proto::FactKind Kind, const std::string &Prefix) const;

  /// Returns whether this node is among the first `Count` of its data centre
  /// for `Role`; see MemberTable::hasRole.
  bool hasRole(const std::string &Role, std::size_t Count) const;

  ClusterTraffic traffic() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PEER_CLUSTER_H
