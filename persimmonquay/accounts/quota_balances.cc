#include "persimmonquay/accounts/quota_balances.h"

#include "persimmonquay/accounts/quota_placement.h"
#include <algorithm>
#include <cmath>
#include <iterator>

namespace persimmonquay {
namespace internal {

using Seconds = std::chrono::duration<double>;

/// Time constant of the estimate of an account's demand.
constexpr Seconds DemandTime{0.5};

/// Demand is held in advance for this long. Calls that are not spent are lost,
/// so it is well below their lifetime.
constexpr Seconds HoldTime{0.15};

/// Calls are held in advance only where at least this many are expected within
/// the hold time; with fewer, too many would expire.
constexpr double MinHeldCalls = 4;

/// Time for which a keeper that hasn't replied is not asked again; doubled with
/// each further ask without a reply, because calls wait for it.
constexpr Millis MinSilenceBackoff{500};
constexpr Millis MaxSilenceBackoff{4000};

/// The same for one that can't grant anything yet.
constexpr Millis NotReadyBackoff{100};

/// Time without calls after which an account is forgotten.
constexpr Millis IdleAccountLifetime{5000};

} // namespace internal

QuotaBalances::QuotaBalances(const QuotaPlacement &KeeperPlacement,
                             ReachabilityCheck IsNodeReachable)
    : Placement(KeeperPlacement), IsReachable(std::move(IsNodeReachable)) {}

QuotaBalances::Account &QuotaBalances::find(AccountHash Name, MonoTime Now) {
  Account &Result = this->Accounts[Name];
  Result.UsedAt = Now;
  if (Result.PlacementGeneration == this->Placement.generation())
    return Result;
  Result.PlacementGeneration = this->Placement.generation();
  std::vector<KeeperView> Earlier = std::exchange(Result.Keepers, {});
  for (std::string &Node : this->Placement.keepers(Name)) {
    const auto Known = std::find_if(
        Earlier.begin(), Earlier.end(),
        [&Node](const KeeperView &Keeper) { return Keeper.Node == Node; });
    if (Known != Earlier.end())
      Result.Keepers.push_back(std::move(*Known));
    else
      Result.Keepers.emplace_back().Node = std::move(Node);
  }
  return Result;
}

std::uint32_t QuotaBalances::balance(Account &Each, MonoTime Now) {
  std::erase_if(Each.Batches,
                [Now](const Batch &Held) { return Held.Expiry <= Now; });
  std::uint32_t Sum = 0;
  for (const Batch &Held : Each.Batches)
    Sum += Held.Calls;
  return Sum;
}

void QuotaBalances::insert(Account &Each, Batch Granted) {
  const auto Later = std::find_if(
      Each.Batches.begin(), Each.Batches.end(),
      [&Granted](const Batch &Held) { return Held.Expiry >= Granted.Expiry; });
  if (Later != Each.Batches.end() && Later->Expiry == Granted.Expiry)
    Later->Calls += Granted.Calls;
  else
    Each.Batches.insert(Later, Granted);
}

void QuotaBalances::expireAsks(Account &Each, MonoTime Now) {
  for (KeeperView &Keeper : Each.Keepers) {
    if (Keeper.Asked == 0 || Now - Keeper.AskedAt < AskTimeout)
      continue;
    Keeper.Asked = 0;
    Keeper.SilenceBackoff =
        std::clamp(Keeper.SilenceBackoff * 2, internal::MinSilenceBackoff,
                   internal::MaxSilenceBackoff);
    Keeper.SilentUntil = Now + Keeper.SilenceBackoff;
  }
}

bool QuotaBalances::canAsk(const KeeperView &Keeper, MonoTime Now) const {
  return Now >= Keeper.ShortUntil && Now >= Keeper.SilentUntil &&
         this->IsReachable(Keeper.Node);
}

void QuotaBalances::mark(AccountHash Name, Account &Each) {
  if (!std::exchange(Each.IsMarked, true))
    this->Marked.push_back(Name);
}

QuotaDecision QuotaBalances::admit(AccountHash Name, MonoTime Now) {
  this->removeIdleAccounts(Now);
  Account &Each = this->find(Name, Now);
  Each.Demand *= std::exp(
      -(internal::Seconds(Now - Each.DemandAt) / internal::DemandTime));
  Each.Demand += 1 / internal::DemandTime.count();
  Each.DemandAt = Now;
  ++Each.Waiting;
  return this->decide(Name, Each, Now);
}

QuotaDecision QuotaBalances::resume(AccountHash Name, MonoTime Now) {
  return this->decide(Name, this->find(Name, Now), Now);
}

void QuotaBalances::abandon(AccountHash Name) {
  if (const auto Found = this->Accounts.find(Name);
      Found != this->Accounts.end() && Found->second.Waiting > 0)
    --Found->second.Waiting;
}

QuotaDecision QuotaBalances::decide(AccountHash Name, Account &Each,
                                    MonoTime Now) {
  QuotaDecision Result;
  expireAsks(Each, Now);
  this->mark(Name, Each);
  if (balance(Each, Now) > 0) {
    Result.Verdict = QuotaDecision::Kind::Admitted;
    Result.Charge = {Name, Each.Batches.front().Expiry};
    if (--Each.Batches.front().Calls == 0)
      Each.Batches.erase(Each.Batches.begin());
    --Each.Waiting;
    return Result;
  }
  MonoTime RoomAt = MonoTime::max();
  bool MayBeLate = false;
  for (const KeeperView &Keeper : Each.Keepers) {
    if (Keeper.Asked > 0 || this->canAsk(Keeper, Now))
      return Result;
    if (Now < Keeper.ShortUntil)
      RoomAt = std::min(RoomAt, Keeper.ShortUntil);
    MayBeLate |= Keeper.AskId != 0 && Now - Keeper.AskedAt < GrantLifetime;
  }
  if (RoomAt == MonoTime::max() && MayBeLate)
    return Result;
  --Each.Waiting;
  if (RoomAt == MonoTime::max()) {
    Result.Verdict = QuotaDecision::Kind::Unavailable;
    Result.RetryAfter = internal::MinSilenceBackoff;
    return Result;
  }
  Result.Verdict = QuotaDecision::Kind::Refused;
  Result.RetryAfter = std::chrono::ceil<Millis>(RoomAt - Now);
  return Result;
}

void QuotaBalances::giveBack(const QuotaCharge &Charge, MonoTime Now) {
  if (Charge.Expiry > Now)
    insert(this->find(Charge.Account, Now), {Charge.Expiry, 1});
}

void QuotaBalances::dropHeldCalls(AccountHash Name) {
  if (const auto Found = this->Accounts.find(Name);
      Found != this->Accounts.end())
    Found->second.Batches.clear();
}

std::vector<std::pair<std::string, proto::QuotaAsk>>
QuotaBalances::takeAsks(MonoTime Now) {
  std::map<std::string, proto::QuotaAsk> Asks;
  for (const AccountHash Name : std::exchange(this->Marked, {}))
    if (const auto Found = this->Accounts.find(Name);
        Found != this->Accounts.end()) {
      Found->second.IsMarked = false;
      this->planAsks(Name, Found->second, Asks, Now);
    }
  while (!this->SentAsks.empty() &&
         Now - this->SentAsks.begin()->second.SentAt > GrantLifetime)
    this->SentAsks.erase(this->SentAsks.begin());
  std::vector<std::pair<std::string, proto::QuotaAsk>> Result;
  for (auto &[Node, Ask] : Asks) {
    Ask.set_id(this->NextAskId++);
    SentAsk &Sent = this->SentAsks[Ask.id()];
    Sent.Node = Node;
    Sent.SentAt = Now;
    for (const AccountHash Name : Ask.accounts()) {
      Sent.Accounts.push_back(Name);
      for (KeeperView &Keeper : this->Accounts[Name].Keepers)
        if (Keeper.Node == Node)
          Keeper.AskId = Ask.id();
    }
    Result.emplace_back(Node, std::move(Ask));
  }
  return Result;
}

void QuotaBalances::planAsks(AccountHash Name, Account &Each,
                             std::map<std::string, proto::QuotaAsk> &Asks,
                             MonoTime Now) {
  expireAsks(Each, Now);
  const double Expected = Each.Demand * internal::HoldTime.count();
  const double Held = Expected < internal::MinHeldCalls ? 0 : Expected;
  double Have = balance(Each, Now);
  for (const KeeperView &Keeper : Each.Keepers)
    Have += Keeper.Asked;
  if (Each.Keepers.empty() || Have >= Each.Waiting + Held / 2)
    return;
  const auto Need =
      static_cast<std::uint32_t>(std::ceil(Each.Waiting + Held - Have));
  KeeperView &Own = Each.Keepers.front();
  if (Own.Asked > 0)
    return;
  if (this->canAsk(Own, Now)) {
    addTo(Asks, Name, Own, true, Need, Now);
    return;
  }
  std::vector<KeeperView *> Others;
  for (KeeperView &Keeper : Each.Keepers)
    if (Keeper.Asked == 0 && this->canAsk(Keeper, Now))
      Others.push_back(&Keeper);
  if (Others.empty())
    return;
  // A few calls may come from any of the others; many are spread over them.
  const auto Count = static_cast<std::uint32_t>(Others.size());
  const std::uint32_t EachWanted = (Need + Count - 1) / Count;
  for (std::uint32_t I = 0, Left = Need; Left > 0; ++I) {
    const std::uint32_t Wanted = std::min(Left, EachWanted);
    addTo(Asks, Name, *Others[(this->NextKeeper + I) % Count], false, Wanted,
          Now);
    Left -= Wanted;
  }
  ++this->NextKeeper;
}

void QuotaBalances::addTo(std::map<std::string, proto::QuotaAsk> &Asks,
                          AccountHash Name, KeeperView &Keeper,
                          bool IsInOwnDataCentre, std::uint32_t Wanted,
                          MonoTime Now) {
  proto::QuotaAsk &Ask = Asks[Keeper.Node];
  Ask.set_from_own_data_centre(IsInOwnDataCentre);
  Ask.add_accounts(Name);
  Ask.add_wanted(Wanted);
  Keeper.Asked = Wanted;
  Keeper.AskedAt = Now;
}

std::vector<AccountHash>
QuotaBalances::handleGrant(const proto::QuotaGrant &Grant, MonoTime Now) {
  std::vector<AccountHash> Result;
  auto Sent = this->SentAsks.extract(Grant.id());
  if (Sent.empty())
    return Result;
  const SentAsk &Ask = Sent.mapped();
  const MonoTime Expiry = Ask.SentAt + GrantLifetime;
  for (std::size_t I = 0; I < Ask.Accounts.size(); ++I) {
    const auto Found = this->Accounts.find(Ask.Accounts[I]);
    if (Found == this->Accounts.end())
      continue;
    Account &Each = Found->second;
    const int Index = static_cast<int>(I);
    const bool IsStated =
        Index < Grant.granted_size() && Index < Grant.retry_after_ms_size();
    const std::uint32_t Granted = IsStated ? Grant.granted(Index) : 0;
    for (KeeperView &Keeper : Each.Keepers) {
      if (Keeper.Node != Ask.Node)
        continue;
      if (Keeper.AskId == Grant.id()) {
        Keeper.Asked = 0;
        Keeper.AskId = 0;
      }
      Keeper.SilenceBackoff = Millis(0);
      Keeper.SilentUntil =
          IsStated ? MonoTime() : Now + internal::NotReadyBackoff;
      if (IsStated && Grant.retry_after_ms(Index) > 0)
        Keeper.ShortUntil = Now + Millis(Grant.retry_after_ms(Index));
    }
    if (Granted > 0 && Expiry > Now)
      insert(Each, {Expiry, Granted});
    if (Each.Waiting > 0)
      this->mark(Ask.Accounts[I], Each);
    Result.push_back(Ask.Accounts[I]);
  }
  return Result;
}

void QuotaBalances::removeIdleAccounts(MonoTime Now) {
  if (Now - this->CleanedAt < internal::IdleAccountLifetime)
    return;
  this->CleanedAt = Now;
  std::erase_if(this->Accounts, [Now](const auto &Item) {
    return Item.second.Waiting == 0 && !Item.second.IsMarked &&
           Now - Item.second.UsedAt > internal::IdleAccountLifetime;
  });
}

} // namespace persimmonquay
