#include "persimmonquay/membership/broadcast_queue.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <bit>
#include <utility>
#include <vector>

namespace persimmonquay {
namespace internal {

/// How often each update is sent per doubling of the number of members.
constexpr std::size_t SendsPerDoubling = 3;

} // namespace internal

void BroadcastQueue::addMember(const proto::Member &Member) {
  proto::Datagram Content;
  *Content.add_members() = Member;
  this->add(absl::StrCat("member ", Member.node()), std::move(Content));
}

void BroadcastQueue::addFact(const proto::Fact &Fact) {
  proto::Datagram Content;
  *Content.add_facts() = Fact;
  this->add(
      absl::StrCat("fact ", static_cast<int>(Fact.kind()), " ", Fact.key()),
      std::move(Content));
}

void BroadcastQueue::add(const std::string &Key, proto::Datagram Content) {
  Update NewUpdate;
  NewUpdate.Bytes = Content.ByteSizeLong();
  NewUpdate.Content = std::move(Content);
  this->Updates[Key] = std::move(NewUpdate);
}

void BroadcastQueue::fill(std::size_t MemberCount, proto::Datagram *Datagram) {
  using Item = std::pair<const std::string, Update>;
  std::vector<Item *> BySendCount;
  BySendCount.reserve(this->Updates.size());
  for (Item &Entry : this->Updates)
    BySendCount.push_back(&Entry);
  std::stable_sort(BySendCount.begin(), BySendCount.end(),
                   [](const Item *Left, const Item *Right) {
                     return Left->second.SendCount < Right->second.SendCount;
                   });
  const std::size_t MaxSends =
      internal::SendsPerDoubling * std::bit_width(MemberCount + 1);
  std::size_t Bytes = Datagram->ByteSizeLong();
  std::vector<std::string> Exhausted;
  for (Item *Entry : BySendCount) {
    Update &Next = Entry->second;
    if (Bytes + Next.Bytes > MaxDatagramBytes)
      continue;
    Bytes += Next.Bytes;
    Datagram->MergeFrom(Next.Content);
    if (++Next.SendCount >= MaxSends)
      Exhausted.push_back(Entry->first);
  }
  for (const std::string &Key : Exhausted)
    this->Updates.erase(Key);
}

} // namespace persimmonquay
