// Grants the calls of client accounts' quotas to the nodes of callers.
//
// Answers callers of one account that crowd at a few nodes, or send many times
// their usual: calls go to whoever asks, as far as the bucket of the keeper's
// data centre reaches, and what that data centre doesn't need goes to others.
#ifndef PERSIMMONQUAY_ACCOUNTS_QUOTA_KEEPER_H
#define PERSIMMONQUAY_ACCOUNTS_QUOTA_KEEPER_H

#include "persimmonquay/accounts/quota_limit.h"
#include "persimmonquay/base/time.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace persimmonquay {

class QuotaPlacement;

/// Holds a token bucket with the own data centre's share of each quota that
/// this node keeps. A granted call leaves the bucket for good, whether or not
/// the grant arrives, so nothing is granted twice. All buckets are empty when
/// the keeper starts, because an earlier run may have spent everything a moment
/// before.
///
/// Nodes that ask in vain are told to ask again one after the other, so the
/// messages of one account don't grow with the number of nodes that ask.
///
/// Does no I/O and reads no clock. Not thread-safe.
class QuotaKeeper {
public:
  using Limits = std::unordered_map<AccountHash, QuotaLimit>;

  explicit QuotaKeeper(const QuotaPlacement &KeeperPlacement);

  // Commands.

  /// Starts to grant calls, once no other node takes itself for the keeper of
  /// the same accounts.
  void start(MonoTime Now);

  /// Replaces the limits of all accounts; accounts without a limit are left
  /// out.
  void setLimits(Limits NewLimits, MonoTime Now);

  /// Adopts the share that the placement gives this data centre now.
  void updateShare(MonoTime Now);

  /// Returns the grants for an ask.
  proto::QuotaGrant handle(const proto::QuotaAsk &Ask, MonoTime Now);

  // Queries.

  const Limits &limits() const { return this->AccountLimits; }
  bool isStarted() const { return this->StartedAt.has_value(); }
  /// Returns the calls granted so far.
  std::uint64_t granted() const { return this->GrantedCalls; }
  /// Returns the granted calls that went to other data centres.
  std::uint64_t grantedElsewhere() const { return this->GrantedElsewhere; }
  /// Returns the number of accounts that have been asked for.
  std::size_t accountCount() const { return this->Buckets.size(); }

private:
  struct Bucket {
    QuotaLimit Limit;
    double Calls = 0;
    MonoTime UpdatedAt;
    /// When the bucket was empty; later again if another node was the keeper in
    /// between.
    MonoTime Start;
    /// Members for which this node is known to be the keeper.
    std::uint64_t PlacementGeneration = 0;
    /// Calls a second for which the own data centre has asked lately.
    double OwnDemand = 0;
    MonoTime OwnDemandAt;
    /// When the last node that got too little is to ask again.
    MonoTime NextAskAt;
  };

  double capacity(const Bucket &Each) const;
  double rate(const Bucket &Each) const;
  void refill(Bucket &Each, MonoTime Now) const;
  /// Returns the bucket of an account that has a limit and whose keeper this
  /// node is; creates it on first use.
  Bucket *find(AccountHash Account, MonoTime Now);
  /// Returns when a node that got too little is to ask again.
  Millis retryAfter(Bucket &Each, MonoTime Now) const;
  /// Returns the number of calls that may be granted.
  std::uint32_t available(Bucket &Each, bool FromOwnDataCentre,
                          std::uint32_t Wanted, MonoTime Now) const;

  const QuotaPlacement &Placement;
  double Share;
  std::optional<MonoTime> StartedAt;
  Limits AccountLimits;
  bool HasLimits = false;
  std::unordered_map<AccountHash, Bucket> Buckets;
  std::uint64_t GrantedCalls = 0;
  std::uint64_t GrantedElsewhere = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ACCOUNTS_QUOTA_KEEPER_H
