// The nodes of the mesh and their upstreams, as known to one node.
#ifndef PERSIMMONQUAY_FLEET_NODE_DIRECTORY_H
#define PERSIMMONQUAY_FLEET_NODE_DIRECTORY_H

#include "persimmonquay/base/time.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonquay {

/// Holds the newest entry of every node. Only a node itself changes its entry.
/// Of two copies the one with the higher boot number, then the one with the
/// higher revision wins, so copies can be merged in any order and repeatedly.
///
/// Handles a node that restarts and has forgotten that its upstream has
/// departed: departures of a node's upstreams outlast newer entries without
/// them, and an upstream that has departed counts as draining whatever the
/// entry says.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   if (Directory.merge(Entry, Now) == NodeDirectory::MergeResult::Updated)
///     reconnect();
class NodeDirectory {
public:
  enum class MergeResult {
    /// The entry replaced an older one, is the first of its node, or states a
    /// departure that was not known.
    Updated,
    /// The same entry was stored already.
    Unchanged,
    /// The entry is older than the stored one.
    Outdated,
    /// The entry is a copy of this node's own entry and was not stored. If it
    /// comes from an earlier run with a higher boot number, this node's boot
    /// number has been raised above that.
    OwnEntry,
  };

  /// `Boot` identifies this run of the node; a later run has a higher number.
  NodeDirectory(std::string NodeName, std::uint64_t Boot);

  // Commands.

  /// Stores an entry received at `Now` if it is newer than the stored one.
  MergeResult merge(const proto::NodeEntry &Entry, MonoTime Now);

  /// Replaces this node's own entry and raises its revision if its content
  /// differs. Returns whether it does.
  bool setOwnEntry(proto::NodeEntry Entry);

  /// Removes the entries of leaving nodes of which no up-to-date copy has
  /// arrived for a while.
  void removeDepartedNodes(MonoTime Now);

  // Queries.

  const proto::NodeEntry &ownEntry() const { return this->OwnEntry; }

  /// Returns the entry of a node, or null if it is unknown.
  const proto::NodeEntry *find(const std::string &Node) const;

  /// Returns the boot number of the earliest run of a node of which this one
  /// has heard from a node; 0 if none.
  std::uint64_t knownSinceBoot(const std::string &Node) const;

  /// Returns all entries, this node's included, sorted by node.
  std::vector<const proto::NodeEntry *> entries() const;

  /// Returns the entries of all other nodes that are not leaving.
  std::vector<const proto::NodeEntry *> activePeers() const;

  /// Returns a hash over all entries. It is equal on nodes that hold the same
  /// entries.
  std::uint64_t hash() const;

  /// Returns a hash of one entry's node, boot and revision.
  static std::uint64_t entryHash(const proto::NodeEntry &Entry);

private:
  struct Peer {
    proto::NodeEntry Entry;
    MonoTime LastHeardAt;
    /// See `knownSinceBoot()`.
    std::uint64_t FirstBoot = 0;
  };

  std::string OwnNode;
  proto::NodeEntry OwnEntry;
  std::map<std::string, Peer> Peers;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_NODE_DIRECTORY_H
