#include "persimmonquay/daemon/quota_service.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/caller_request.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/fleet/node_directory.h"
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Maximum rate of log lines per second about refused calls.
constexpr double RefusalLogLinesPerSecond = 2;

} // namespace internal

QuotaService::QuotaService(asio::io_context &IoContext, std::string NodeName,
                           std::string DataCentreName, LinkSource GetLink)
    : Context(IoContext), OwnNode(std::move(NodeName)),
      OwnDataCentre(std::move(DataCentreName)), LinkTo(std::move(GetLink)),
      Placement(this->OwnNode, this->OwnDataCentre), Keeper(this->Placement),
      Balances(
          this->Placement,
          [this](const std::string &Node) { return this->isReachable(Node); }),
      RefusalLogLimit(internal::RefusalLogLinesPerSecond,
                      internal::RefusalLogLinesPerSecond) {}

void QuotaService::setConfiguration(
    const proto::MeshConfiguration &Configuration) {
  QuotaKeeper::Limits Next;
  for (const proto::ClientAccount &Account : Configuration.accounts())
    if (Account.rate_per_s() > 0)
      Next[accountHash(Account.name())] = {Account.rate_per_s(),
                                           Account.burst()};
  std::size_t Changed = 0;
  for (const auto &[Account, Limit] : this->Keeper.limits()) {
    const auto Found = Next.find(Account);
    if (Found != Next.end() && Found->second == Limit)
      continue;
    // Calls that were granted by the earlier limit don't count on the new one.
    this->Balances.dropHeldCalls(Account);
    ++Changed;
  }
  if (Changed > 0 || Next.size() != this->Keeper.limits().size())
    logLine(LogLevel::Info, "quotas of accounts changed",
            {{"version", std::to_string(Configuration.version())},
             {"accounts", std::to_string(Next.size())},
             {"changed", std::to_string(Changed)},
             {"keeping", this->isKeeping() ? "yes" : "no"},
             {"share", std::to_string(this->Placement.ownShare())}});
  this->Keeper.setLimits(std::move(Next), monoNow());
}

void QuotaService::updateNodes(const NodeDirectory &Nodes) {
  std::uint64_t Hash = 0;
  for (const proto::NodeEntry *Entry : Nodes.entries())
    Hash += hashBytes(Entry->node(), hashBytes(Entry->data_centre()));
  if (std::exchange(this->NodesHash, Hash) == Hash)
    return;
  QuotaPlacement::Members Members;
  Members[this->OwnDataCentre].push_back(this->OwnNode);
  for (const proto::NodeEntry *Entry : Nodes.entries())
    if (Entry->node() != this->OwnNode)
      Members[Entry->data_centre()].push_back(Entry->node());
  const MonoTime Now = monoNow();
  this->NodesChangedAt = Now;
  this->Placement.setMembers(Members, Now);
  this->Keeper.updateShare(Now);
  if (this->isKeeping() && !this->Keeper.limits().empty())
    logLine(LogLevel::Info, "keepers of quotas changed",
            {{"nodes", std::to_string(Nodes.entries().size())},
             {"data_centres", std::to_string(Members.size())},
             {"share", std::to_string(this->Placement.ownShare())}});
}

void QuotaService::startKeeping(const std::string &Reason) {
  if (this->isKeeping())
    return;
  this->Keeper.start(monoNow());
  if (!this->Keeper.limits().empty())
    logLine(LogLevel::Info, "keeping quotas",
            {{"reason", Reason},
             {"accounts", std::to_string(this->Keeper.limits().size())},
             {"share", std::to_string(this->Placement.ownShare())}});
}

bool QuotaService::isReachable(const std::string &Node) const {
  if (Node == this->OwnNode)
    return true;
  const std::shared_ptr<PeerLink> Link = this->LinkTo(Node);
  return Link && Link->isUp();
}

void QuotaService::sendAsks() {
  for (const auto &[Node, Ask] : this->Balances.takeAsks(monoNow())) {
    if (Node == this->OwnNode) {
      asio::post(this->Context, [this, Grant = this->handleAsk(Ask)] {
        this->handleGrant(Grant);
      });
      continue;
    }
    ++this->Counts.AsksSent;
    if (const std::shared_ptr<PeerLink> Link = this->LinkTo(Node))
      Link->sendQuotaAsk(Ask);
  }
}

asio::awaitable<QuotaDecision>
QuotaService::admit(const proto::ClientAccount &Account,
                    std::shared_ptr<CallerRequest> Request) {
  const AccountHash Name = accountHash(Account.name());
  const MonoTime WaitEnd = monoNow() + MaxGrantWait;
  QuotaDecision Result = this->Balances.admit(Name, monoNow());
  this->sendAsks();
  while (Result.Verdict == QuotaDecision::Kind::Wait) {
    if (Request->CallerDisconnected || monoNow() >= WaitEnd) {
      this->Balances.abandon(Name);
      Result.Verdict = QuotaDecision::Kind::Unavailable;
      Result.RetryAfter = MaxGrantWait;
      break;
    }
    std::vector<std::shared_ptr<CallerRequest>> &Waiting = this->Waiters[Name];
    Waiting.push_back(Request);
    Request->WakeTimer.expires_at(std::min(monoNow() + AskTimeout, WaitEnd));
    co_await Request->WakeTimer.async_wait(NoThrow);
    if (const auto Found = this->Waiters.find(Name);
        Found != this->Waiters.end()) {
      std::erase(Found->second, Request);
      if (Found->second.empty())
        this->Waiters.erase(Found);
    }
    if (Request->CallerDisconnected)
      continue;
    Result = this->Balances.resume(Name, monoNow());
    this->sendAsks();
  }
  if (!Request->CallerDisconnected)
    this->countDecision(Account, Result);
  co_return Result;
}

void QuotaService::countDecision(const proto::ClientAccount &Account,
                                 const QuotaDecision &Decision) {
  if (Decision.Verdict == QuotaDecision::Kind::Admitted) {
    ++this->Counts.Admitted;
    return;
  }
  const bool IsBeyond = Decision.Verdict == QuotaDecision::Kind::Refused;
  ++(IsBeyond ? this->Counts.Refused : this->Counts.Unavailable);
  if (!this->RefusalLogLimit.allow(monoNow()))
    return;
  logLine(LogLevel::Info,
          IsBeyond ? "account is beyond its quota"
                   : "no keeper of an account's quota can be reached",
          {{"account", Account.name()},
           {"rate_per_s", std::to_string(Account.rate_per_s())},
           {"burst", std::to_string(Account.burst())},
           {"retry_after_ms", std::to_string(Decision.RetryAfter.count())},
           {"refused", std::to_string(this->Counts.Refused)},
           {"unavailable", std::to_string(this->Counts.Unavailable)}});
}

void QuotaService::giveBack(const QuotaCharge &Charge) {
  ++this->Counts.GivenBack;
  this->Balances.giveBack(Charge, monoNow());
}

proto::QuotaGrant QuotaService::handleAsk(const proto::QuotaAsk &Ask) {
  ++this->Counts.AsksHandled;
  return this->Keeper.handle(Ask, monoNow());
}

void QuotaService::handleGrant(const proto::QuotaGrant &Grant) {
  for (const AccountHash Account :
       this->Balances.handleGrant(Grant, monoNow())) {
    const auto Found = this->Waiters.find(Account);
    if (Found == this->Waiters.end())
      continue;
    const auto Waiting = std::move(Found->second);
    this->Waiters.erase(Found);
    for (const std::shared_ptr<CallerRequest> &Request : Waiting)
      Request->WakeTimer.cancel();
  }
}

} // namespace persimmonquay
