#include "persimmonquay/fleet/follower_turns.h"

#include <algorithm>

namespace persimmonquay {

bool FollowerTurns::shouldFollow(const Standing &Current, MonoTime Now) {
  if (Current.HigherFollowers >= Followers) {
    this->ShortSince.reset();
    this->HasFollowed = false;
    return false;
  }
  if (!this->ShortSince)
    this->ShortSince = Now;
  this->HasFollowed = this->HasFollowed || Current.IsFollowing;
  if (Current.HigherRanked < Followers || this->HasFollowed)
    return true;
  const std::size_t Others =
      std::max(Current.Nodes, Current.HigherRanked + 1) - Followers;
  const std::size_t Turns = (Others + NodesPerTurn - 1) / NodesPerTurn;
  const auto Turn =
      static_cast<std::size_t>((Now - *this->ShortSince) / TurnLength) % Turns;
  return (Current.HigherRanked - Followers) / NodesPerTurn == Turn;
}

} // namespace persimmonquay
