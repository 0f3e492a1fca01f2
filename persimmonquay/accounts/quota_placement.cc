#include "persimmonquay/accounts/quota_placement.h"

#include "persimmonquay/base/hashing.h"
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Time after a node has left for good until another one grants calls in its
/// place: longer than news takes to reach all nodes, and than the grants of the
/// node last.
constexpr Millis TakeoverDelay{3000};

/// Number of former members that are remembered one by one.
constexpr std::size_t MaxFormerMembers = 64;

std::uint64_t keeperWeight(std::uint64_t NodeHash, AccountHash Account) {
  return hashBytes(std::string_view(reinterpret_cast<const char *>(&Account),
                                    sizeof(Account)),
                   NodeHash);
}

} // namespace internal

QuotaPlacement::QuotaPlacement(std::string OwnNodeName,
                               std::string OwnDataCentreName)
    : OwnNode(std::move(OwnNodeName)),
      OwnDataCentre(std::move(OwnDataCentreName)) {
  this->setMembers({{this->OwnDataCentre, {this->OwnNode}}}, MonoTime::min());
}

bool QuotaPlacement::setMembers(const Members &Nodes, MonoTime Now) {
  if (Nodes == this->Known)
    return false;
  const auto Own = Nodes.find(this->OwnDataCentre);
  for (const std::string &Node : this->Known[this->OwnDataCentre])
    if (Own == Nodes.end() || std::find(Own->second.begin(), Own->second.end(),
                                        Node) == Own->second.end())
      this->Former.push_back({hashBytes(Node), Now});
  for (; this->Former.size() > internal::MaxFormerMembers;
       this->Former.pop_front())
    this->ForgottenAt = this->Former.front().RemovedAt;
  this->Known = Nodes;
  this->Hashed.clear();
  for (const auto &[DataCentre, Names] : Nodes)
    for (const std::string &Node : Names)
      this->Hashed[DataCentre].push_back({Node, hashBytes(Node)});
  ++this->Generation;
  return true;
}

const QuotaPlacement::Member &
QuotaPlacement::keeperAmong(const std::vector<Member> &Nodes,
                            AccountHash Account) {
  const Member *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const Member &Each : Nodes) {
    const std::uint64_t Weight = internal::keeperWeight(Each.Hash, Account);
    if (Best != nullptr && (Weight < BestWeight ||
                            (Weight == BestWeight && Each.Node < Best->Node)))
      continue;
    Best = &Each;
    BestWeight = Weight;
  }
  return *Best;
}

std::vector<std::string> QuotaPlacement::keepers(AccountHash Account) const {
  std::vector<std::string> Result;
  for (const auto &[DataCentre, Nodes] : this->Hashed) {
    const std::string &Keeper = keeperAmong(Nodes, Account).Node;
    Result.insert(DataCentre == this->OwnDataCentre ? Result.begin()
                                                    : Result.end(),
                  Keeper);
  }
  return Result;
}

double QuotaPlacement::ownShare() const {
  std::size_t All = 0;
  for (const auto &[DataCentre, Nodes] : this->Hashed)
    All += Nodes.size();
  const auto Own = this->Hashed.find(this->OwnDataCentre);
  return Own == this->Hashed.end() ? 0
                                   : static_cast<double>(Own->second.size()) /
                                         static_cast<double>(All);
}

MonoTime QuotaPlacement::grantsFrom(AccountHash Account, MonoTime Start) const {
  const auto Own = this->Hashed.find(this->OwnDataCentre);
  if (Own == this->Hashed.end() ||
      keeperAmong(Own->second, Account).Node != this->OwnNode)
    return MonoTime::max();
  const auto TakenOver = [&Start](MonoTime RemovedAt) {
    Start = std::max(Start, RemovedAt + internal::TakeoverDelay);
  };
  if (this->ForgottenAt != MonoTime::min())
    TakenOver(this->ForgottenAt);
  const std::uint64_t OwnWeight =
      internal::keeperWeight(hashBytes(this->OwnNode), Account);
  for (const FormerMember &Each : this->Former)
    if (internal::keeperWeight(Each.Hash, Account) >= OwnWeight)
      TakenOver(Each.RemovedAt);
  return Start;
}

} // namespace persimmonquay
