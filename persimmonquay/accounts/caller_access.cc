#include "persimmonquay/accounts/caller_access.h"

#include "persimmonquay/accounts/account_table.h"

namespace persimmonquay {

CallerAccess decideCallerAccess(const AccountTable &Accounts,
                                const CallerKey &Key, bool HasPublicAccess,
                                UpstreamActivity Upstream) {
  using Verdict = CallerAccess::Verdict;
  if (!Accounts.requiresKeys())
    return {Verdict::Admitted, nullptr};
  if (Key.Presented == CallerKey::Kind::Readable)
    if (const proto::ClientAccount *Account = Accounts.find(Key.Text))
      return {Verdict::Admitted, Account};
  if (HasPublicAccess)
    return {Verdict::Admitted, nullptr};
  switch (Key.Presented) {
  case CallerKey::Kind::Readable:
    return {Verdict::UnknownKey, nullptr};
  case CallerKey::Kind::Unreadable:
    return {Verdict::NoKey, nullptr};
  case CallerKey::Kind::Missing:
    break;
  }
  switch (Upstream) {
  case UpstreamActivity::MayBeRunning:
    return {Verdict::AdmittedAsNested, nullptr};
  case UpstreamActivity::Unknown:
    return {Verdict::Undecided, nullptr};
  case UpstreamActivity::Idle:
    break;
  }
  return {Verdict::NoKey, nullptr};
}

} // namespace persimmonquay
