#include "persimmonquay/membership/broadcast_queue.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <bit>
#include <utility>
#include <vector>

namespace persimmonquay {
namespace internal {

/// Sends of one update for each doubling of the number of members.
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

void BroadcastQueue::add(const std::string &Subject, proto::Datagram Content) {
  Update Added;
  Added.Bytes = Content.ByteSizeLong();
  Added.Content = std::move(Content);
  this->Updates[Subject] = std::move(Added);
}

void BroadcastQueue::fill(std::size_t Members, proto::Datagram *Datagram) {
  using Item = std::pair<const std::string, Update>;
  std::vector<Item *> Order;
  Order.reserve(this->Updates.size());
  for (Item &Entry : this->Updates)
    Order.push_back(&Entry);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const Item *Left, const Item *Right) {
                     return Left->second.Sends < Right->second.Sends;
                   });
  const std::size_t MaxSends =
      internal::SendsPerDoubling * std::bit_width(Members + 1);
  std::size_t Bytes = Datagram->ByteSizeLong();
  std::vector<std::string> Done;
  for (Item *Entry : Order) {
    Update &Next = Entry->second;
    if (Bytes + Next.Bytes > MaxDatagramBytes)
      continue;
    Bytes += Next.Bytes;
    Datagram->MergeFrom(Next.Content);
    if (++Next.Sends >= MaxSends)
      Done.push_back(Entry->first);
  }
  for (const std::string &Subject : Done)
    this->Updates.erase(Subject);
}

} // namespace persimmonquay
