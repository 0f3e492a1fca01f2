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

bool isNewer(const proto::Member &Heard, const proto::Member &Known) {
  if (Heard.incarnation() != Known.incarnation())
    return Heard.incarnation() > Known.incarnation();
  return Heard.state() > Known.state();
}

} // namespace internal

MemberTable::MemberTable(const proto::Member &Own) : OwnNode(Own.node()) {
  this->store(Own, MonoTime());
}

void MemberTable::store(const proto::Member &Member, MonoTime Now) {
  std::uint64_t &Bucket = this->Buckets[internal::bucketOf(Member.node())];
  const auto Found = this->Entries.find(Member.node());
  if (Found != this->Entries.end()) {
    Bucket ^= internal::hashMember(Found->second.Member);
    this->index(Found->second.Member, false);
  }
  Bucket ^= internal::hashMember(Member);
  this->index(Member, internal::isLive(Member));
  this->Entries[Member.node()] = Entry{Member, Now};
}

void MemberTable::index(const proto::Member &Member, bool IsLive) {
  std::set<std::string> &Names = this->Live[Member.data_centre()];
  if (IsLive)
    Names.insert(Member.node());
  else
    Names.erase(Member.node());
  if (Names.empty())
    this->Live.erase(Member.data_centre());
}

bool MemberTable::merge(const proto::Member &Heard, MonoTime Now) {
  if (Heard.node().empty())
    return false;
  if (Heard.node() == this->OwnNode) {
    const proto::Member &Own = this->self();
    if (!internal::isNewer(Heard, Own))
      return false;
    proto::Member Raised = Own;
    Raised.set_incarnation(Heard.incarnation() + 1);
    this->store(Raised, Now);
    return true;
  }
  const proto::Member *Known = this->find(Heard.node());
  if (Known == nullptr || internal::isNewer(Heard, *Known)) {
    this->store(Heard, Now);
    return true;
  }
  return false;
}

void MemberTable::updateSelf(const proto::Member &Facts, MonoTime Now) {
  const proto::Member &Own = this->self();
  proto::Member Next = Facts;
  Next.set_node(Own.node());
  Next.set_data_centre(Own.data_centre());
  Next.set_address(Own.address());
  Next.set_peer_port(Own.peer_port());
  Next.set_ingress_port(Own.ingress_port());
  Next.set_incarnation(Own.incarnation() + 1);
  this->store(Next, Now);
}

bool MemberTable::advanceState(const std::string &Node,
                               proto::MemberState State, MonoTime Now) {
  const proto::Member *Known = this->find(Node);
  if (Known == nullptr || Known->state() >= State)
    return false;
  proto::Member Next = *Known;
  Next.set_state(State);
  this->store(Next, Now);
  return true;
}

void MemberTable::dropDepartedMembers(Millis Age, MonoTime Now) {
  for (auto It = this->Entries.begin(); It != this->Entries.end();) {
    const bool Old = !internal::isLive(It->second.Member) &&
                     Now - It->second.ChangedAt > Age &&
                     It->first != this->OwnNode;
    if (!Old) {
      ++It;
      continue;
    }
    this->Buckets[internal::bucketOf(It->first)] ^=
        internal::hashMember(It->second.Member);
    It = this->Entries.erase(It);
  }
}

const proto::Member &MemberTable::self() const {
  return this->Entries.find(this->OwnNode)->second.Member;
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
  const auto Found = this->Live.find(DataCentre);
  if (Found == this->Live.end())
    return {};
  return {Found->second.begin(), Found->second.end()};
}

std::vector<std::string> MemberTable::dataCentres() const {
  std::vector<std::string> Names;
  for (const auto &[DataCentre, Nodes] : this->Live)
    Names.push_back(DataCentre);
  return Names;
}

std::uint64_t MemberTable::hash() const {
  return hashBytes(
      std::string_view(reinterpret_cast<const char *>(this->Buckets.data()),
                       sizeof(this->Buckets)));
}

std::vector<proto::Member>
MemberTable::entriesInDifferingBuckets(const MemberBuckets &Theirs) const {
  std::vector<proto::Member> Result;
  for (const auto &[Node, Entry] : this->Entries) {
    const std::size_t Bucket = internal::bucketOf(Node);
    if (Theirs[Bucket] != this->Buckets[Bucket])
      Result.push_back(Entry.Member);
  }
  return Result;
}

bool MemberTable::hasRole(std::string_view Duty, std::size_t Count,
                          std::string_view Node) const {
  const proto::Member *Candidate = this->find(Node);
  if (Candidate == nullptr || !internal::isLive(*Candidate))
    return false;
  const std::uint64_t Own = rendezvousWeight(Duty, Node);
  std::size_t Higher = 0;
  for (const std::string &Other :
       this->Live.find(Candidate->data_centre())->second)
    if (rendezvousWeight(Duty, Other) > Own)
      ++Higher;
  return Higher < Count;
}

} // namespace persimmonquay
