#include "persimmonquay/fleet/node_directory.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/fleet/departures.h"
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

/// Marks the upstream of an entry as draining if it has departed.
void drainIfDeparted(proto::NodeEntry &Entry) {
  if (Entry.has_upstream() &&
      hasDeparted(Entry.departed_upstreams(), Entry.upstream().instance(),
                  Entry.upstream().started_unix_ms()))
    Entry.mutable_upstream()->set_draining(true);
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
  const auto [Found, IsNew] = this->Peers.try_emplace(Entry.node());
  Peer &Known = Found->second;
  // Stored entries have no boot number.
  if (Entry.boot() != 0 &&
      (Known.FirstBoot == 0 || Entry.boot() < Known.FirstBoot))
    Known.FirstBoot = Entry.boot();
  if (IsNew) {
    Known.Entry = Entry;
    Known.LastHeardAt = Now;
    internal::drainIfDeparted(Known.Entry);
    return MergeResult::Updated;
  }
  const auto EntryVersion = internal::entryVersion(Entry);
  const auto StoredVersion = internal::entryVersion(Known.Entry);
  if (EntryVersion >= StoredVersion)
    Known.LastHeardAt = Now;
  if (EntryVersion > StoredVersion) {
    const Departures Earlier =
        std::move(*Known.Entry.mutable_departed_upstreams());
    Known.Entry = Entry;
    mergeDepartures(*Known.Entry.mutable_departed_upstreams(), Earlier);
    internal::drainIfDeparted(Known.Entry);
    return MergeResult::Updated;
  }
  if (mergeDepartures(*Known.Entry.mutable_departed_upstreams(),
                      Entry.departed_upstreams())) {
    internal::drainIfDeparted(Known.Entry);
    return MergeResult::Updated;
  }
  return EntryVersion < StoredVersion ? MergeResult::Outdated
                                      : MergeResult::Unchanged;
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

std::uint64_t NodeDirectory::knownSinceBoot(const std::string &Node) const {
  const auto Found = this->Peers.find(Node);
  return Found == this->Peers.end() ? 0 : Found->second.FirstBoot;
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
