#include "persimmonquay/accounts/account_table.h"

#include "persimmonquay/accounts/caller_key.h"
#include "persimmonquay/base/hashing.h"
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <unordered_set>

namespace persimmonquay {
namespace internal {

/// Bounds on the accounts of one configuration, which a node keeps in several
/// versions.
constexpr int MaxAccounts = 20000;
constexpr int MaxKeysPerAccount = 1000;
constexpr std::size_t MaxKeys = 50000;
constexpr std::size_t MaxNameBytes = 256;

/// Largest quota in calls a second, and largest number of saved calls. Counts
/// up to this are exact in all calculations.
constexpr double MaxQuota = 1e9;

/// Returns whether `Name` can be the value of a header.
bool isHeaderValue(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameBytes && Name.front() != ' ' &&
         Name.back() != ' ' &&
         std::none_of(Name.begin(), Name.end(), [](char Byte) {
           return absl::ascii_iscntrl(static_cast<unsigned char>(Byte));
         });
}

/// Also false for a value that is not a number.
bool isQuota(double Value) { return Value >= 0 && Value <= MaxQuota; }

absl::Status checkAccount(const proto::ClientAccount &Account) {
  if (!isHeaderValue(Account.name()))
    return absl::InvalidArgumentError(
        absl::StrCat("the name of an account is empty, longer than ",
                     MaxNameBytes, " bytes or not fit for a header"));
  const std::string Label = absl::StrCat("account \"", Account.name(), "\": ");
  if (Account.keys_size() > MaxKeysPerAccount)
    return absl::InvalidArgumentError(absl::StrCat(
        Label, Account.keys_size(), " keys are more than ", MaxKeysPerAccount));
  for (int I = 0; I < Account.keys_size(); ++I)
    if (!isCallerKey(Account.keys(I)))
      return absl::InvalidArgumentError(absl::StrCat(
          Label, "key number ", I + 1, " is empty, longer than ",
          MaxCallerKeyBytes, " bytes or not made of visible ASCII characters"));
  if (!isQuota(Account.rate_per_s()) || !isQuota(Account.burst()))
    return absl::InvalidArgumentError(
        absl::StrCat(Label,
                     "the rate or the burst of its quota is not a "
                     "number from 0 to ",
                     MaxQuota));
  return absl::OkStatus();
}

/// Compares in a time that depends on the lengths only.
bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned char Difference = 0;
  for (std::size_t I = 0; I < Left.size(); ++I)
    Difference |= static_cast<unsigned char>(Left[I] ^ Right[I]);
  return Difference == 0;
}

} // namespace internal

absl::Status checkAccounts(const proto::MeshConfiguration &Configuration) {
  if (Configuration.accounts_size() > internal::MaxAccounts)
    return absl::InvalidArgumentError(
        absl::StrCat(Configuration.accounts_size(), " accounts are more than ",
                     internal::MaxAccounts));
  std::unordered_set<std::string_view> Names;
  std::unordered_map<std::string_view, const proto::ClientAccount *> Owners;
  for (const proto::ClientAccount &Account : Configuration.accounts()) {
    if (absl::Status Status = internal::checkAccount(Account); !Status.ok())
      return Status;
    if (!Names.insert(Account.name()).second)
      return absl::InvalidArgumentError(absl::StrCat(
          "account \"", Account.name(), "\" is defined more than once"));
    for (const std::string &Key : Account.keys()) {
      const auto [Owner, IsNew] = Owners.try_emplace(Key, &Account);
      if (!IsNew && Owner->second != &Account)
        return absl::InvalidArgumentError(
            absl::StrCat("accounts \"", Owner->second->name(), "\" and \"",
                         Account.name(), "\" have a key in common"));
    }
    if (Owners.size() > internal::MaxKeys)
      return absl::InvalidArgumentError(absl::StrCat(
          "the accounts have more than ", internal::MaxKeys, " keys"));
  }
  return absl::OkStatus();
}

AccountTable::AccountTable(const proto::MeshConfiguration &Configuration,
                           std::uint64_t HashSeed)
    : Seed(HashSeed) {
  for (const proto::ClientAccount &Account : Configuration.accounts()) {
    this->AccountsByName.emplace(Account.name(), &Account);
    for (const std::string &Key : Account.keys())
      this->AccountsByKeyHash.emplace(hashBytes(Key, HashSeed),
                                      KeyEntry{Key, &Account});
  }
}

const proto::ClientAccount *AccountTable::find(std::string_view Key) const {
  const auto [First, Last] =
      this->AccountsByKeyHash.equal_range(hashBytes(Key, this->Seed));
  const proto::ClientAccount *Result = nullptr;
  for (auto Entry = First; Entry != Last; ++Entry)
    if (internal::equalInConstantTime(Entry->second.Key, Key))
      Result = Entry->second.Account;
  return Result;
}

const proto::ClientAccount *
AccountTable::findByName(std::string_view Name) const {
  const auto Found = this->AccountsByName.find(std::string(Name));
  return Found == this->AccountsByName.end() ? nullptr : Found->second;
}

} // namespace persimmonquay
