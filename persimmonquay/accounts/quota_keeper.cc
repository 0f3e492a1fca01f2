#include "persimmonquay/accounts/quota_keeper.h"

#include "persimmonquay/accounts/quota_placement.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonquay {
namespace internal {

using Seconds = std::chrono::duration<double>;

/// Time constant of the estimate of the own data centre's demand.
constexpr Seconds DemandTime{0.5};

/// Calls are kept back from other data centres for as long as the own one takes
/// to ask again.
constexpr Seconds ReserveTime{0.1};

/// Nodes that got too little are told to ask again one after the other, this
/// far apart, which bounds the messages of an account.
constexpr Millis AskSpacing{20};
constexpr Millis MaxRetryAfter{2000};

/// When to ask again a node that isn't, or not yet, the keeper.
constexpr Millis NotKeeperRetry{250};

/// Bounds on what one message can ask for.
constexpr int MaxAccountsPerAsk = 1024;
constexpr std::uint32_t MaxWanted = 100000;

} // namespace internal

QuotaKeeper::QuotaKeeper(const QuotaPlacement &KeeperPlacement)
    : Placement(KeeperPlacement), Share(KeeperPlacement.ownShare()) {}

void QuotaKeeper::start(MonoTime Now) {
  if (!this->StartedAt)
    this->StartedAt = Now;
}

double QuotaKeeper::rate(const Bucket &Each) const {
  return Each.Limit.RatePerSecond * this->Share;
}

double QuotaKeeper::capacity(const Bucket &Each) const {
  const double MinBurst =
      Each.Limit.RatePerSecond * internal::Seconds(MinBucketTime).count();
  // Only whole calls are granted, so a small share has to fill up to one.
  return std::max(Each.Limit.Burst, MinBurst) * this->Share + 1;
}

void QuotaKeeper::refill(Bucket &Each, MonoTime Now) const {
  if (Now <= Each.UpdatedAt)
    return;
  Each.Calls = std::min(
      this->capacity(Each),
      Each.Calls +
          this->rate(Each) * internal::Seconds(Now - Each.UpdatedAt).count());
  Each.UpdatedAt = Now;
}

void QuotaKeeper::setLimits(Limits NewLimits, MonoTime Now) {
  for (auto Next = this->Buckets.begin(); Next != this->Buckets.end();) {
    Bucket &Each = Next->second;
    this->refill(Each, Now);
    const auto Found = NewLimits.find(Next->first);
    if (Found != NewLimits.end()) {
      Each.Limit = Found->second;
      Each.Calls = std::min(Each.Calls, this->capacity(Each));
    } else if (Each.Calls >= this->capacity(Each)) {
      Next = this->Buckets.erase(Next);
      continue;
    }
    ++Next;
  }
  this->AccountLimits = std::move(NewLimits);
  this->HasLimits = true;
}

void QuotaKeeper::updateShare(MonoTime Now) {
  for (auto &[Account, Each] : this->Buckets)
    this->refill(Each, Now);
  this->Share = this->Placement.ownShare();
  for (auto &[Account, Each] : this->Buckets)
    Each.Calls = std::min(Each.Calls, this->capacity(Each));
}

QuotaKeeper::Bucket *QuotaKeeper::find(AccountHash Account, MonoTime Now) {
  const auto Limit = this->AccountLimits.find(Account);
  if (Limit == this->AccountLimits.end())
    return nullptr;
  const auto Known = this->Buckets.find(Account);
  if (Known != this->Buckets.end() &&
      Known->second.PlacementGeneration == this->Placement.generation()) {
    this->refill(Known->second, Now);
    return &Known->second;
  }
  const MonoTime Start = this->Placement.grantsFrom(Account, *this->StartedAt);
  if (Start > Now)
    return nullptr;
  const auto [Found, IsNew] = this->Buckets.try_emplace(Account);
  Bucket &Result = Found->second;
  Result.PlacementGeneration = this->Placement.generation();
  if (IsNew || Start > Result.Start) {
    Result.Limit = Limit->second;
    Result.Calls = 0;
    Result.Start = Start;
    Result.UpdatedAt = Start;
    Result.OwnDemandAt = Now;
    Result.NextAskAt = Now;
  }
  this->refill(Result, Now);
  return &Result;
}

std::uint32_t QuotaKeeper::available(Bucket &Each, bool FromOwnDataCentre,
                                     std::uint32_t Wanted, MonoTime Now) const {
  const double Decay = std::exp(
      -(internal::Seconds(Now - Each.OwnDemandAt) / internal::DemandTime));
  Each.OwnDemand *= Decay;
  Each.OwnDemandAt = Now;
  double Calls = Each.Calls;
  if (FromOwnDataCentre)
    Each.OwnDemand += Wanted / internal::DemandTime.count();
  else
    Calls -= std::min(Each.OwnDemand * internal::ReserveTime.count(),
                      this->capacity(Each) / 2);
  return static_cast<std::uint32_t>(std::max(Calls, 0.0));
}

Millis QuotaKeeper::retryAfter(Bucket &Each, MonoTime Now) const {
  Each.NextAskAt = std::clamp(Each.NextAskAt + internal::AskSpacing, Now,
                              Now + internal::MaxRetryAfter);
  const internal::Seconds UntilNextCall(std::max(1 - Each.Calls, 0.0) /
                                        std::max(this->rate(Each), 1e-9));
  const internal::Seconds Result =
      std::min(std::max(UntilNextCall, internal::Seconds(Each.NextAskAt - Now)),
               internal::Seconds(internal::MaxRetryAfter));
  return std::max(std::chrono::ceil<Millis>(Result), Millis(1));
}

proto::QuotaGrant QuotaKeeper::handle(const proto::QuotaAsk &Ask,
                                      MonoTime Now) {
  proto::QuotaGrant Result;
  Result.set_id(Ask.id());
  const int Count = std::min(
      {Ask.accounts_size(), Ask.wanted_size(), internal::MaxAccountsPerAsk});
  if (!this->StartedAt || !this->HasLimits) {
    Result.set_not_ready(true);
    return Result;
  }
  for (int I = 0; I < Count; ++I) {
    const std::uint32_t Wanted = std::min(Ask.wanted(I), internal::MaxWanted);
    Bucket *const Found = this->find(Ask.accounts(I), Now);
    if (Found == nullptr) {
      // An account without a limit here has one only in a newer configuration,
      // which doesn't bind until all nodes have it.
      const bool IsUnlimited = !this->AccountLimits.contains(Ask.accounts(I));
      Result.add_granted(IsUnlimited ? Wanted : 0);
      Result.add_retry_after_ms(
          IsUnlimited
              ? 0
              : static_cast<std::uint32_t>(internal::NotKeeperRetry.count()));
      continue;
    }
    const std::uint32_t Granted =
        std::min(Wanted, this->available(*Found, Ask.from_own_data_centre(),
                                         Wanted, Now));
    Found->Calls -= Granted;
    this->GrantedCalls += Granted;
    if (!Ask.from_own_data_centre())
      this->GrantedElsewhere += Granted;
    Result.add_granted(Granted);
    if (Granted == Wanted) {
      Result.add_retry_after_ms(0);
      continue;
    }
    Result.add_retry_after_ms(
        static_cast<std::uint32_t>(this->retryAfter(*Found, Now).count()));
  }
  return Result;
}

} // namespace persimmonquay
