#include "persimmonquay/membership/member_table.h"

#include "persimmonquay/base/hashing.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

std::size_t bucketOf(std::string_view Node) {
  return hashBytes(Node) % MemberBucketCount;
}

std::uint64_t hashMember(const proto::Member &Member) {
  return hashBytes(absl::StrCat(Member.node(), " ", Member.incarnation(), " ",
                                static_cast<int>(Member.state())));
}

bool isLive(const proto::Member &Member) {
  return Member.state() == proto::ALIVE || Member.state() == proto::SUSPECT;
}

bool supersedes(const proto::Member &Candidate, const proto::Member &Existing) {
  if (Candidate.incarnation() != Existing.incarnation())
    return Candidate.incarnation() > Existing.incarnation();
  return Candidate.state() > Existing.state();
}

} // namespace internal

MemberTable::MemberTable(const proto::Member &Self) : SelfNode(Self.node()) {
  this->store(Self, MonoTime());
}

void MemberTable::store(const proto::Member &Member, MonoTime Now) {
  std::uint64_t &Bucket = this->Buckets[internal::bucketOf(Member.node())];
  const auto Found = this->Entries.find(Member.node());
  if (Found != this->Entries.end()) {
    Bucket ^= internal::hashMember(Found->second.Member);
    this->updateLiveIndex(Found->second.Member, false);
  }
  Bucket ^= internal::hashMember(Member);
  this->updateLiveIndex(Member, internal::isLive(Member));
  this->Entries[Member.node()] = Entry{Member, Now};
}

void MemberTable::updateLiveIndex(const proto::Member &Member, bool IsLive) {
  std::set<std::string> &Names = this->LiveByDataCentre[Member.data_centre()];
  if (IsLive)
    Names.insert(Member.node());
  else
    Names.erase(Member.node());
  if (Names.empty())
    this->LiveByDataCentre.erase(Member.data_centre());
}

bool MemberTable::merge(const proto::Member &Member, MonoTime Now) {
  if (Member.node().empty())
    return false;
  if (Member.node() == this->SelfNode) {
    const proto::Member &Self = this->self();
    if (!internal::supersedes(Member, Self))
      return false;
    proto::Member Refuted = Self;
    Refuted.set_incarnation(Member.incarnation() + 1);
    this->store(Refuted, Now);
    return true;
  }
  const proto::Member *Existing = this->find(Member.node());
  if (Existing == nullptr || internal::supersedes(Member, *Existing)) {
    this->store(Member, Now);
    return true;
  }
  return false;
}

void MemberTable::updateSelf(const proto::Member &Attributes, MonoTime Now) {
  const proto::Member &Self = this->self();
  proto::Member Updated = Attributes;
  Updated.set_node(Self.node());
  Updated.set_data_centre(Self.data_centre());
  Updated.set_address(Self.address());
  Updated.set_peer_port(Self.peer_port());
  Updated.set_ingress_port(Self.ingress_port());
  Updated.set_incarnation(Self.incarnation() + 1);
  this->store(Updated, Now);
}

bool MemberTable::advanceState(const std::string &Node,
                               proto::MemberState State, MonoTime Now) {
  const proto::Member *Existing = this->find(Node);
  if (Existing == nullptr || Existing->state() >= State)
    return false;
  proto::Member Updated = *Existing;
  Updated.set_state(State);
  this->store(Updated, Now);
  return true;
}

void MemberTable::dropDepartedMembers(Millis Retention, MonoTime Now) {
  for (auto It = this->Entries.begin(); It != this->Entries.end();) {
    const bool Expired = !internal::isLive(It->second.Member) &&
                         Now - It->second.ChangedAt > Retention &&
                         It->first != this->SelfNode;
    if (!Expired) {
      ++It;
      continue;
    }
    this->Buckets[internal::bucketOf(It->first)] ^=
        internal::hashMember(It->second.Member);
    It = this->Entries.erase(It);
  }
}

const proto::Member &MemberTable::self() const {
  return this->Entries.find(this->SelfNode)->second.Member;
}

const proto::Member *MemberTable::find(std::string_view Node) const {
  const auto Found = this->Entries.find(Node);
  return Found == this->Entries.end() ? nullptr : &Found->second.Member;
}

std::vector<proto::Member> MemberTable::all() const {
  std::vector<proto::Member> Result;
  Result.reserve(this->Entries.size());
  for (const auto &[Node, Entry] : this->Entries)
    Result.push_back(Entry.Member);
  return Result;
}

std::vector<std::string>
MemberTable::liveNodes(std::string_view DataCentre) const {
  const auto Found = this->LiveByDataCentre.find(DataCentre);
  if (Found == this->LiveByDataCentre.end())
    return {};
  return {Found->second.begin(), Found->second.end()};
}

std::vector<std::string> MemberTable::dataCentres() const {
  std::vector<std::string> Names;
  for (const auto &[DataCentre, Nodes] : this->LiveByDataCentre)
    Names.push_back(DataCentre);
  return Names;
}

std::uint64_t MemberTable::hash() const {
  return hashBytes(
      std::string_view(reinterpret_cast<const char *>(this->Buckets.data()),
                       sizeof(this->Buckets)));
}

std::vector<proto::Member>
MemberTable::entriesInDifferingBuckets(const MemberBuckets &PeerBuckets) const {
  std::vector<proto::Member> Result;
  for (const auto &[Node, Entry] : this->Entries) {
    const std::size_t Bucket = internal::bucketOf(Node);
    if (PeerBuckets[Bucket] != this->Buckets[Bucket])
      Result.push_back(Entry.Member);
  }
  return Result;
}

bool MemberTable::hasRole(std::string_view Role, std::size_t HolderCount,
                          std::string_view Node) const {
  const proto::Member *Candidate = this->find(Node);
  if (Candidate == nullptr || !internal::isLive(*Candidate))
    return false;
  const std::uint64_t Weight = rendezvousWeight(Role, Node);
  std::size_t HigherCount = 0;
  for (const std::string &Other :
       this->LiveByDataCentre.find(Candidate->data_centre())->second)
    if (rendezvousWeight(Role, Other) > Weight)
      ++HigherCount;
  return HigherCount < HolderCount;
}

} // namespace persimmonquay
