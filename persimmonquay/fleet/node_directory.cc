#include "persimmonquay/fleet/node_directory.h"

#include "persimmonquay/base/hashing.h"
#include <google/protobuf/util/message_differencer.h>
#include <tuple>
#include <utility>

namespace persimmonquay {
namespace internal {

/// How long the entry of a departed node is kept, so that a late copy of an
/// older entry can't bring the node back. Longer than any datagram is in
/// transit and than any two nodes take to compare their directories.
constexpr std::chrono::seconds DepartedEntryLifetime{60};

std::pair<std::uint64_t, std::uint64_t>
entryVersion(const proto::NodeEntry &Entry) {
  return {Entry.boot(), Entry.revision()};
}

} // namespace internal

NodeDirectory::NodeDirectory(std::string NodeName, std::uint64_t Boot)
    : OwnNode(std::move(NodeName)) {
  this->OwnEntry.set_node(this->OwnNode);
  this->OwnEntry.set_boot(Boot);
}

NodeDirectory::MergeResult NodeDirectory::merge(const proto::NodeEntry &Entry,
                                                MonoTime Now) {
  if (Entry.node() == this->OwnNode) {
    // The clock may have been ahead in an earlier run of this node, which then
    // had a higher boot number.
    if (Entry.boot() > this->OwnEntry.boot()) {
      this->OwnEntry.set_boot(Entry.boot() + 1);
      this->OwnEntry.set_revision(this->OwnEntry.revision() + 1);
    }
    return MergeResult::OwnEntry;
  }
  const auto PeerEntry = this->Peers.find(Entry.node());
  if (PeerEntry == this->Peers.end()) {
    this->Peers[Entry.node()] = {Entry, Now};
    return MergeResult::Updated;
  }
  const auto EntryVersion = internal::entryVersion(Entry);
  const auto StoredVersion = internal::entryVersion(PeerEntry->second.Entry);
  if (EntryVersion < StoredVersion)
    return MergeResult::Outdated;
  PeerEntry->second.LastHeardAt = Now;
  if (EntryVersion == StoredVersion)
    return MergeResult::Unchanged;
  PeerEntry->second.Entry = Entry;
  return MergeResult::Updated;
}

bool NodeDirectory::setOwnEntry(proto::NodeEntry Entry) {
  Entry.set_node(this->OwnNode);
  Entry.set_boot(this->OwnEntry.boot());
  Entry.set_revision(this->OwnEntry.revision());
  if (google::protobuf::util::MessageDifferencer::Equals(Entry, this->OwnEntry))
    return false;
  Entry.set_revision(this->OwnEntry.revision() + 1);
  this->OwnEntry = std::move(Entry);
  return true;
}

void NodeDirectory::removeDepartedNodes(MonoTime Now) {
  std::erase_if(this->Peers, [Now](const auto &Item) {
    return Item.second.Entry.leaving() &&
           Now - Item.second.LastHeardAt > internal::DepartedEntryLifetime;
  });
}

const proto::NodeEntry *NodeDirectory::find(const std::string &Node) const {
  if (Node == this->OwnNode)
    return &this->OwnEntry;
  const auto PeerEntry = this->Peers.find(Node);
  return PeerEntry == this->Peers.end() ? nullptr : &PeerEntry->second.Entry;
}

std::vector<const proto::NodeEntry *> NodeDirectory::entries() const {
  std::vector<const proto::NodeEntry *> Result = {&this->OwnEntry};
  for (const auto &[Node, Peer] : this->Peers)
    Result.push_back(&Peer.Entry);
  return Result;
}

std::vector<const proto::NodeEntry *> NodeDirectory::activePeers() const {
  std::vector<const proto::NodeEntry *> Result;
  for (const auto &[Node, Peer] : this->Peers)
    if (!Peer.Entry.leaving())
      Result.push_back(&Peer.Entry);
  return Result;
}

std::uint64_t NodeDirectory::entryHash(const proto::NodeEntry &Entry) {
  return hashBytes(Entry.node(), Entry.boot() * 1000003 + Entry.revision());
}

std::uint64_t NodeDirectory::hash() const {
  std::uint64_t Sum = NodeDirectory::entryHash(this->OwnEntry);
  for (const auto &[Node, Peer] : this->Peers)
    Sum += NodeDirectory::entryHash(Peer.Entry);
  return Sum;
}

} // namespace persimmonquay
