// Which nodes of a data centre follow the operator's records on the store.
//
// Handles a store that serves no node, or only some: if each node that notices
// that there are too few followers tried to become one, all nodes of all data
// centres would call a store that is silent or has just come back. Only a fixed
// number of nodes tries at any time, and each gets its turn.
#ifndef PERSIMMONQUAY_FLEET_FOLLOWER_TURNS_H
#define PERSIMMONQUAY_FLEET_FOLLOWER_TURNS_H

#include "persimmonquay/base/time.h"
#include <cstddef>
#include <optional>

namespace persimmonquay {

/// Decides whether one node should follow the records. The nodes that rank
/// highest always try. The others take turns, a few nodes at a time, while too
/// few of those above them succeed; one that has succeeded goes on trying until
/// then. Does no I/O and reads no clock. Not
/// thread-safe.
class FollowerTurns {
public:
  /// Number of followers that a data centre needs. There is a second one so
  /// that the loss of one causes no delay.
  static constexpr std::size_t Followers = 2;

  /// Number of nodes that share a turn.
  static constexpr std::size_t NodesPerTurn = 4;

  /// Time for an attempt at a silent store and for telling the other nodes of a
  /// success.
  static constexpr Millis TurnLength{1500};

  /// What a node knows of the nodes of its data centre that it can reach.
  struct Standing {
    /// Number of nodes, this one included.
    std::size_t Nodes = 1;
    /// Number of nodes that rank above this one, and of those among them that
    /// follow the records.
    std::size_t HigherRanked = 0;
    std::size_t HigherFollowers = 0;
    /// Whether this node follows the records.
    bool IsFollowing = false;
  };

  /// Returns whether the node should follow the records at `Now`.
  bool shouldFollow(const Standing &Current, MonoTime Now);

private:
  /// Since when there have been too few followers.
  std::optional<MonoTime> ShortSince;
  /// Whether this node has followed the records in this time.
  bool HasFollowed = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_FOLLOWER_TURNS_H
