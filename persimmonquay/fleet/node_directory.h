// What a node knows of the nodes of its mesh and of their upstreams.
#ifndef PERSIMMONQUAY_FLEET_NODE_DIRECTORY_H
#define PERSIMMONQUAY_FLEET_NODE_DIRECTORY_H

#include "persimmonquay/base/time.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonquay {

/// The newest entry of every node. An entry is written by its own node only;
/// of two copies the one with the higher boot number, then the higher revision
/// wins, so that copies merge in any order and as often as they come.
///
/// Not thread-safe.
///
/// Example:
///   if (NodeDirectory.merge(Entry, Now) == NodeDirectory::Merge::Newer)
///     reconnect();
class NodeDirectory {
public:
  enum class Merge {
    /// The entry replaced an older one, or is the first of its node.
    Newer,
    /// The entry was known already.
    Known,
    /// The copy here is newer.
    Older,
    /// The entry names this node; see `ownBoot()`.
    Own,
  };

  /// `Boot` tells this run of the node from earlier ones.
  NodeDirectory(std::string OwnNode, std::uint64_t Boot);

  // Commands.

  Merge merge(const proto::NodeEntry &Entry, MonoTime Now);

  /// Replaces this node's own entry; raises its revision if it differs.
  /// Returns whether it did.
  bool setOwn(proto::NodeEntry Entry);

  /// Forgets entries of nodes that left or were not heard of for long, as seen
  /// by `lastHeard()`.
  void forgetLeft(MonoTime Now);

  // Queries.

  const proto::NodeEntry &own() const { return this->Own; }
  const proto::NodeEntry *find(const std::string &Node) const;

  /// Returns all entries, this node's included, sorted by node.
  std::vector<const proto::NodeEntry *> entries() const;

  /// Returns the entries of other nodes that don't leave.
  std::vector<const proto::NodeEntry *> others() const;

  /// Returns a hash over all entries: equal on nodes that know the same.
  std::uint64_t hash() const;

  /// Returns a hash of one entry's node, boot and revision.
  static std::uint64_t entryHash(const proto::NodeEntry &Entry);

private:
  struct Known {
    proto::NodeEntry Entry;
    MonoTime Heard;
  };

  std::string OwnNode;
  proto::NodeEntry Own;
  std::map<std::string, Known> Others;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_NODE_DIRECTORY_H
