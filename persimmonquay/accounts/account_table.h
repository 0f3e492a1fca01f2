// Finds the client account that a caller's key belongs to.
#ifndef PERSIMMONQUAY_ACCOUNTS_ACCOUNT_TABLE_H
#define PERSIMMONQUAY_ACCOUNTS_ACCOUNT_TABLE_H

#include "proto/mesh.pb.h"
#include <absl/status/status.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace persimmonquay {

/// Checks that every account has a name of its own, that no key belongs to two
/// accounts, and that keys, quotas and the number of accounts are within their
/// bounds. Returns InvalidArgument with the first violation and its account;
/// the message contains no key.
absl::Status checkAccounts(const proto::MeshConfiguration &Configuration);

/// The client accounts of one configuration, indexed by key. Refers to the
/// configuration, which must outlive it. Immutable, therefore thread-safe.
///
/// The time of a lookup does not depend on how much of a key is right: keys are
/// found by a hash with a random seed and then compared in constant time.
///
/// Example:
///   AccountTable Accounts(Configuration, RandomSeed);
///   if (const proto::ClientAccount *Account = Accounts.find(Key))
///     serve(*Account);
class AccountTable {
public:
  AccountTable(const proto::MeshConfiguration &Configuration,
               std::uint64_t HashSeed);

  /// Returns the account that `Key` belongs to, or null.
  const proto::ClientAccount *find(std::string_view Key) const;

  /// Returns the account of this name, or null.
  const proto::ClientAccount *findByName(std::string_view Name) const;

  /// Returns whether calls need a key, apart from routes with public access.
  bool requiresKeys() const { return !this->AccountsByName.empty(); }

private:
  struct KeyEntry {
    std::string_view Key;
    const proto::ClientAccount *Account;
  };

  std::uint64_t Seed;
  std::unordered_multimap<std::uint64_t, KeyEntry> AccountsByKeyHash;
  std::unordered_map<std::string, const proto::ClientAccount *> AccountsByName;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ACCOUNTS_ACCOUNT_TABLE_H
