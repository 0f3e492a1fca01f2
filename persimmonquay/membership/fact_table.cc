#include "persimmonquay/membership/fact_table.h"

#include "persimmonquay/base/hashing.h"
#include <absl/strings/str_cat.h>

namespace persimmonquay {
namespace internal {

constexpr std::size_t MaxFacts = 20000;
constexpr std::size_t MaxDetailBytes = 200;

std::uint64_t hashFact(const proto::Fact &Fact) {
  return hashBytes(absl::StrCat(static_cast<int>(Fact.kind()), " ", Fact.key(),
                                " ", Fact.level(), " ", Fact.detail()));
}

bool supersedes(const proto::Fact &Candidate, const proto::Fact &Existing) {
  if (Candidate.level() != Existing.level())
    return Candidate.level() > Existing.level();
  return Candidate.detail() < Existing.detail();
}

} // namespace internal

bool FactTable::merge(const proto::Fact &Fact, WallTime Now) {
  if (Fact.kind() == proto::FACT_KIND_UNSPECIFIED || Fact.key().empty() ||
      Fact.expires_unix_ms() <= unixMillis(Now))
    return false;
  if (Fact.detail().size() > internal::MaxDetailBytes)
    return false;
  const auto Key = std::make_pair(static_cast<int>(Fact.kind()), Fact.key());
  const auto Found = this->Facts.find(Key);
  if (Found == this->Facts.end()) {
    if (this->Facts.size() >= internal::MaxFacts)
      return false;
    this->Facts.emplace(Key, Fact);
    this->Hash ^= internal::hashFact(Fact);
    return true;
  }
  if (!internal::supersedes(Fact, Found->second))
    return false;
  this->Hash ^= internal::hashFact(Found->second);
  this->Hash ^= internal::hashFact(Fact);
  Found->second = Fact;
  return true;
}

void FactTable::dropExpired(WallTime Now) {
  for (auto It = this->Facts.begin(); It != this->Facts.end();) {
    if (It->second.expires_unix_ms() > unixMillis(Now)) {
      ++It;
      continue;
    }
    this->Hash ^= internal::hashFact(It->second);
    It = this->Facts.erase(It);
  }
}

std::uint64_t FactTable::level(proto::FactKind Kind,
                               const std::string &Key) const {
  const proto::Fact *Found = this->find(Kind, Key);
  return Found == nullptr ? 0 : Found->level();
}

std::size_t FactTable::countWithPrefix(proto::FactKind Kind,
                                       const std::string &Prefix) const {
  std::size_t Count = 0;
  const int Number = static_cast<int>(Kind);
  for (auto It = this->Facts.lower_bound({Number, Prefix});
       It != this->Facts.end() && It->first.first == Number &&
       It->first.second.starts_with(Prefix);
       ++It)
    ++Count;
  return Count;
}

const proto::Fact *FactTable::find(proto::FactKind Kind,
                                   const std::string &Key) const {
  const auto Found =
      this->Facts.find(std::make_pair(static_cast<int>(Kind), Key));
  return Found == this->Facts.end() ? nullptr : &Found->second;
}

std::vector<proto::Fact> FactTable::all() const {
  std::vector<proto::Fact> Result;
  Result.reserve(this->Facts.size());
  for (const auto &[Key, Fact] : this->Facts)
    Result.push_back(Fact);
  return Result;
}

} // namespace persimmonquay
