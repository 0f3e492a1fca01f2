// Decides which node of each data centre keeps an account's quota.
//
// Answers cuts between data centres: each data centre has a keeper of its own,
// with a fixed share of the quota, so that no part of a mesh that has been cut
// needs another one to go on, and the shares never add up to more than the
// quota.
#ifndef PERSIMMONQUAY_ACCOUNTS_QUOTA_PLACEMENT_H
#define PERSIMMONQUAY_ACCOUNTS_QUOTA_PLACEMENT_H

#include "persimmonquay/accounts/quota_limit.h"
#include "persimmonquay/base/time.h"
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace persimmonquay {

/// Finds keepers by rendezvous hashing over all known nodes, whether or not
/// they can be reached at the moment: a keeper is not replaced while it may
/// still be granting calls to nodes on its side of a cut.
///
/// A node becomes the keeper of further accounts only when another one has left
/// for good. It then starts after `TakeoverDelay`, with an empty bucket.
///
/// Does no I/O and reads no clock. Not thread-safe.
class QuotaPlacement {
public:
  /// Nodes by data centre.
  using Members = std::map<std::string, std::vector<std::string>>;

  QuotaPlacement(std::string OwnNodeName, std::string OwnDataCentreName);

  // Commands.

  /// Replaces the known nodes. Returns whether they differ from the earlier
  /// ones.
  bool setMembers(const Members &Nodes, MonoTime Now);

  // Queries.

  /// Returns the keepers of an account: that of the own data centre first.
  std::vector<std::string> keepers(AccountHash Account) const;

  /// Returns the part of all quotas that the own data centre's keepers hold:
  /// its part of the nodes.
  double ownShare() const;

  /// Returns the time from which this node may grant calls of an account, given
  /// that it grants any from `Start` on; `MonoTime::max()` if it isn't a keeper
  /// of the account.
  MonoTime grantsFrom(AccountHash Account, MonoTime Start) const;

  /// Number of different sets of members so far.
  std::uint64_t generation() const { return this->Generation; }

private:
  struct Member {
    std::string Node;
    std::uint64_t Hash;
  };
  struct FormerMember {
    std::uint64_t Hash;
    MonoTime RemovedAt;
  };

  static const Member &keeperAmong(const std::vector<Member> &Nodes,
                                   AccountHash Account);

  std::string OwnNode;
  std::string OwnDataCentre;
  Members Known;
  std::map<std::string, std::vector<Member>> Hashed;
  /// Nodes that have been removed from the own data centre, the latest last.
  std::deque<FormerMember> Former;
  /// Time of the removal of former members that are no longer in the list.
  MonoTime ForgottenAt = MonoTime::min();
  std::uint64_t Generation = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ACCOUNTS_QUOTA_PLACEMENT_H
