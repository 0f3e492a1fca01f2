#include "persimmonquay/fleet/node_directory.h"

#include "persimmonquay/base/hashing.h"
#include <google/protobuf/util/message_differencer.h>
#include <tuple>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Time for which the entry of a node that left is kept, so that a late copy
/// of an older entry can't bring it back. Longer than any datagram is under
/// way and than any two nodes take to compare what they know.
constexpr std::chrono::seconds LeftEntryLifetime{60};

std::pair<std::uint64_t, std::uint64_t> age(const proto::NodeEntry &Entry) {
  return {Entry.boot(), Entry.revision()};
}

} // namespace internal

NodeDirectory::NodeDirectory(std::string OwnName, std::uint64_t Boot)
    : OwnNode(std::move(OwnName)) {
  this->Own.set_node(this->OwnNode);
  this->Own.set_boot(Boot);
}

NodeDirectory::Merge NodeDirectory::merge(const proto::NodeEntry &Entry,
                                          MonoTime Now) {
  if (Entry.node() == this->OwnNode) {
    // An earlier run of this node may have had a clock that was ahead.
    if (Entry.boot() > this->Own.boot()) {
      this->Own.set_boot(Entry.boot() + 1);
      this->Own.set_revision(this->Own.revision() + 1);
    }
    return Merge::Own;
  }
  const auto Found = this->Others.find(Entry.node());
  if (Found == this->Others.end()) {
    this->Others[Entry.node()] = {Entry, Now};
    return Merge::Newer;
  }
  const auto Age = internal::age(Entry);
  const auto KnownAge = internal::age(Found->second.Entry);
  if (Age < KnownAge)
    return Merge::Older;
  Found->second.Heard = Now;
  if (Age == KnownAge)
    return Merge::Known;
  Found->second.Entry = Entry;
  return Merge::Newer;
}

bool NodeDirectory::setOwn(proto::NodeEntry Entry) {
  Entry.set_node(this->OwnNode);
  Entry.set_boot(this->Own.boot());
  Entry.set_revision(this->Own.revision());
  if (google::protobuf::util::MessageDifferencer::Equals(Entry, this->Own))
    return false;
  Entry.set_revision(this->Own.revision() + 1);
  this->Own = std::move(Entry);
  return true;
}

void NodeDirectory::forgetLeft(MonoTime Now) {
  std::erase_if(this->Others, [Now](const auto &Item) {
    return Item.second.Entry.leaving() &&
           Now - Item.second.Heard > internal::LeftEntryLifetime;
  });
}

const proto::NodeEntry *NodeDirectory::find(const std::string &Node) const {
  if (Node == this->OwnNode)
    return &this->Own;
  const auto Found = this->Others.find(Node);
  return Found == this->Others.end() ? nullptr : &Found->second.Entry;
}

std::vector<const proto::NodeEntry *> NodeDirectory::entries() const {
  std::vector<const proto::NodeEntry *> Result = {&this->Own};
  for (const auto &[Node, Known] : this->Others)
    Result.push_back(&Known.Entry);
  return Result;
}

std::vector<const proto::NodeEntry *> NodeDirectory::others() const {
  std::vector<const proto::NodeEntry *> Result;
  for (const auto &[Node, Known] : this->Others)
    if (!Known.Entry.leaving())
      Result.push_back(&Known.Entry);
  return Result;
}

std::uint64_t NodeDirectory::entryHash(const proto::NodeEntry &Entry) {
  return hashBytes(Entry.node(), Entry.boot() * 1000003 + Entry.revision());
}

std::uint64_t NodeDirectory::hash() const {
  std::uint64_t Sum = NodeDirectory::entryHash(this->Own);
  for (const auto &[Node, Known] : this->Others)
    Sum += NodeDirectory::entryHash(Known.Entry);
  return Sum;
}

} // namespace persimmonquay
