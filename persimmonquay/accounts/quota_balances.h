// Decides at a caller's node whether a call is within its account's quota.
//
// Answers an account whose callers ask for many times its quota, and accounts
// whose few calls come to any of many nodes: busy nodes hold calls in advance
// and don't wait; others ask for each call; what is beyond the quota is refused
// without a message.
#ifndef PERSIMMONQUAY_ACCOUNTS_QUOTA_BALANCES_H
#define PERSIMMONQUAY_ACCOUNTS_QUOTA_BALANCES_H

#include "persimmonquay/accounts/quota_limit.h"
#include "persimmonquay/base/time.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmonquay {

class QuotaPlacement;

/// How long a call waits for one keeper's grant before others are asked: far
/// more than a round trip, and than a busy node takes.
inline constexpr Millis AskTimeout{100};

/// How long a call waits for grants at most.
inline constexpr Millis MaxGrantWait = GrantLifetime;

/// A call of an account's quota that has been spent.
struct QuotaCharge {
  AccountHash Account = 0;
  /// When the call can no longer be given back.
  MonoTime Expiry;
};

/// What to do with a call.
struct QuotaDecision {
  enum class Kind {
    /// Within the quota; `Charge` has been spent.
    Admitted,
    /// Beyond the quota; there is room after `RetryAfter`.
    Refused,
    /// No keeper can be reached, so that nothing may be admitted.
    Unavailable,
    /// Grants have been, or are to be, asked for.
    Wait,
  };
  Kind Verdict = Kind::Wait;
  Millis RetryAfter{0};
  QuotaCharge Charge;
};

/// Holds the calls that keepers have granted to this node. They are spent
/// within `GrantLifetime` of the ask or lost, so a node that is cut off or
/// paused spends nothing that a keeper has long replaced.
///
/// Asks go to the keeper of the own data centre, and to the others while that
/// one has too little or can't be reached. At most one ask for an account is
/// under way to each keeper.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   QuotaDecision Decision = Balances.admit(Account, Now);
///   for (const auto &[Node, Ask] : Balances.takeAsks(Now))
///     send(Node, Ask);
///   while (Decision.Verdict == QuotaDecision::Kind::Wait) {
///     waitForGrant();
///     Decision = Balances.resume(Account, Now);
///   }
class QuotaBalances {
public:
  /// Returns whether asks can be sent to a node now.
  using ReachabilityCheck = std::function<bool(const std::string &Node)>;

  QuotaBalances(const QuotaPlacement &KeeperPlacement,
                ReachabilityCheck IsNodeReachable);

  // Commands.

  /// Decides on a new call. After `Wait`, the call is decided on by `resume()`
  /// or ended by `abandon()`.
  QuotaDecision admit(AccountHash Account, MonoTime Now);

  /// Decides again on a call that waits, after a grant or `AskTimeout`.
  QuotaDecision resume(AccountHash Account, MonoTime Now);

  /// Ends the wait of a call.
  void abandon(AccountHash Account);

  /// Gives back a call that has not run and will not run.
  void giveBack(const QuotaCharge &Charge, MonoTime Now);

  /// Drops the held calls of an account whose limit has changed.
  void dropHeldCalls(AccountHash Account);

  /// Returns the asks to send now, with the nodes that they are for.
  std::vector<std::pair<std::string, proto::QuotaAsk>> takeAsks(MonoTime Now);

  /// Adds granted calls. Returns the accounts on whose waiting calls
  /// `resume()` can decide now.
  std::vector<AccountHash> handleGrant(const proto::QuotaGrant &Grant,
                                       MonoTime Now);

  // Queries.

  std::size_t accountCount() const { return this->Accounts.size(); }

private:
  /// Granted calls with one expiry.
  struct Batch {
    MonoTime Expiry;
    std::uint32_t Calls;
  };
  /// A keeper as seen by this node.
  struct KeeperView {
    std::string Node;
    /// Number of calls asked for, 0 if no ask is under way, and when.
    std::uint32_t Asked = 0;
    MonoTime AskedAt;
    /// Id of the last ask, 0 if it has been replied to.
    std::uint64_t AskId = 0;
    /// The keeper has too little, or doesn't reply, until then.
    MonoTime ShortUntil;
    MonoTime SilentUntil;
    Millis SilenceBackoff{0};
  };
  struct Account {
    /// By expiry.
    std::vector<Batch> Batches;
    std::uint32_t Waiting = 0;
    /// Calls a second lately.
    double Demand = 0;
    MonoTime DemandAt;
    MonoTime UsedAt;
    /// The keeper of the own data centre comes first.
    std::vector<KeeperView> Keepers;
    std::uint64_t PlacementGeneration = 0;
    /// Whether `takeAsks()` will consider this account.
    bool IsMarked = false;
  };
  struct SentAsk {
    std::string Node;
    MonoTime SentAt;
    std::vector<AccountHash> Accounts;
  };

  Account &find(AccountHash Name, MonoTime Now);
  /// Drops expired calls; returns how many are left.
  static std::uint32_t balance(Account &Each, MonoTime Now);
  /// Gives up asks that have not been replied to in time.
  static void expireAsks(Account &Each, MonoTime Now);
  /// Decides on a call that is counted as waiting.
  QuotaDecision decide(AccountHash Name, Account &Each, MonoTime Now);
  bool canAsk(const KeeperView &Keeper, MonoTime Now) const;
  /// Marks an account so that the next `takeAsks()` considers it.
  void mark(AccountHash Name, Account &Each);
  /// Adds what the account needs to the asks.
  void planAsks(AccountHash Name, Account &Each,
                std::map<std::string, proto::QuotaAsk> &Asks, MonoTime Now);
  static void addTo(std::map<std::string, proto::QuotaAsk> &Asks,
                    AccountHash Name, KeeperView &Keeper,
                    bool IsInOwnDataCentre, std::uint32_t Wanted, MonoTime Now);
  /// Forgets accounts without calls.
  void removeIdleAccounts(MonoTime Now);
  static void insert(Account &Each, Batch Granted);

  const QuotaPlacement &Placement;
  ReachabilityCheck IsReachable;
  std::unordered_map<AccountHash, Account> Accounts;
  std::vector<AccountHash> Marked;
  /// By id, and therefore by time.
  std::map<std::uint64_t, SentAsk> SentAsks;
  std::uint64_t NextAskId = 1;
  /// Spreads single calls over the keepers of other data centres.
  std::size_t NextKeeper = 0;
  MonoTime CleanedAt;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ACCOUNTS_QUOTA_BALANCES_H
