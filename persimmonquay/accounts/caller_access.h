// Decides whether a call may be routed by the key of its caller.
//
// Failures handled:
//  - A caller presents no key, a wrong one or one that has been withdrawn.
//  - A refusal with status 401 is final for callers. The upstream on this host
//    makes calls without a key while it runs others; these must not be refused,
//    also if the connection of the call that it runs has been lost, or if this
//    node has restarted since and no longer knows that call.
#ifndef PERSIMMONQUAY_ACCOUNTS_CALLER_ACCESS_H
#define PERSIMMONQUAY_ACCOUNTS_CALLER_ACCESS_H

#include "persimmonquay/accounts/caller_key.h"
#include "persimmonquay/accounts/upstream_activity.h"

namespace persimmonquay {

class AccountTable;
namespace proto {
class ClientAccount;
} // namespace proto

/// Whether a call may be routed, and for which account.
struct CallerAccess {
  enum class Verdict {
    Admitted,
    /// Admitted as a call of the upstream on this host.
    AdmittedAsNested,
    /// Whether the call is a nested one can't be told yet.
    Undecided,
    /// No account has the key, as far as the configuration says.
    UnknownKey,
    /// The call has no key that any configuration could allow.
    NoKey,
  };
  Verdict Decision = Verdict::NoKey;
  /// Account of the caller; null if it has none.
  const proto::ClientAccount *Account = nullptr;

  bool isAdmitted() const {
    return this->Decision == Verdict::Admitted ||
           this->Decision == Verdict::AdmittedAsNested;
  }
};

/// Decides on a call by the accounts of the configuration in force.
/// `HasPublicAccess` is that of the call's route. Without accounts, all calls
/// are admitted.
CallerAccess decideCallerAccess(const AccountTable &Accounts,
                                const CallerKey &Key, bool HasPublicAccess,
                                UpstreamActivity Upstream);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ACCOUNTS_CALLER_ACCESS_H
