#include "persimmonquay/daemon/gossip.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/fleet/node_directory.h"
#include "persimmonquay/rollout/rollout_table.h"
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <map>
#include <set>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Interval at which a node compares what it knows with another one.
constexpr Millis CompareInterval{1000};

/// One comparison in this many is with another data centre.
constexpr std::uint64_t RemoteCompareEvery = 8;

/// Nodes of the own data centre that a node which has just started asks for
/// what they know.
constexpr std::size_t Greeted = 2;

/// Longest datagram that no common path splits.
constexpr std::size_t MaxDatagramBytes = 1300;

} // namespace internal

Gossip::Gossip(asio::io_context &Loop, NodeDirectory &Entries,
               RolloutTable &Book, Events Handlers)
    : Context(Loop), Nodes(Entries), Rollouts(Book), On(std::move(Handlers)),
      Socket(Loop), CompareTimer(Loop),
      Random(hashBytes(Entries.ownEntry().node(), Entries.ownEntry().boot())) {}

bool Gossip::start(const Udp::endpoint &Address) {
  ErrorCode Error;
  this->Socket.open(Address.protocol(), Error);
  if (!Error)
    this->Socket.bind(Address, Error);
  if (!Error)
    this->Socket.non_blocking(true, Error);
  if (Error) {
    logLine(LogLevel::Error, "can't open the datagram socket",
            {{"error", Error.message()}});
    return false;
  }
  asio::co_spawn(
      this->Context, [this] { return this->receiveLoop(); }, asio::detached);
  asio::co_spawn(
      this->Context, [this] { return this->compareLoop(); }, asio::detached);
  return true;
}

void Gossip::stop() {
  this->Stopped = true;
  ErrorCode Ignored;
  this->Socket.close(Ignored);
  this->CompareTimer.cancel();
}

proto::GossipMessage Gossip::message() const {
  proto::GossipMessage Result;
  *Result.mutable_sender() = this->Nodes.ownEntry();
  Result.set_configuration_version(this->ConfigurationVersion);
  Result.set_follows_store(this->FollowsStore);
  return Result;
}

void Gossip::announce() { this->sendEverywhere(this->message()); }

void Gossip::announceNear() { this->sendNear(this->message()); }

void Gossip::greet(const std::vector<proto::NodeEntry> &Listed) {
  this->announce();
  // The list may be old: what changed since is known to the nodes themselves.
  std::vector<const proto::NodeEntry *> Near;
  for (const proto::NodeEntry &Entry : Listed)
    if (Entry.data_centre() == this->Nodes.ownEntry().data_centre())
      Near.push_back(&Entry);
  std::shuffle(Near.begin(), Near.end(), this->Random);
  for (std::size_t I = 0; I < std::min(Near.size(), internal::Greeted); ++I)
    this->compareWith(*Near[I]);
}

void Gossip::compareWith(const proto::NodeEntry &Node) {
  proto::GossipMessage Message = this->message();
  Message.set_directory_hash(this->Nodes.hash());
  Message.set_wants_difference(true);
  this->send(Message, Node);
}

void Gossip::spread(const proto::RolloutProgress &Progress) {
  proto::GossipMessage Message = this->message();
  *Message.add_rollouts() = Progress;
  this->sendEverywhere(std::move(Message));
}

void Gossip::sendTallies(const std::string &Driver,
                         const std::vector<proto::RolloutTally> &Tallies) {
  const proto::NodeEntry *Node = this->Nodes.find(Driver);
  if (Node == nullptr)
    return;
  proto::GossipMessage Message = this->message();
  for (const proto::RolloutTally &Tally : Tallies) {
    if (Message.ByteSizeLong() + Tally.ByteSizeLong() >
        internal::MaxDatagramBytes) {
      this->send(Message, *Node);
      Message.clear_tallies();
    }
    *Message.add_tallies() = Tally;
  }
  if (Message.tallies_size() > 0)
    this->send(Message, *Node);
}

asio::awaitable<void> Gossip::receiveLoop() {
  while (!this->Stopped) {
    Udp::endpoint Sender;
    const auto [Error, Size] = co_await this->Socket.async_receive_from(
        asio::buffer(this->Input), Sender, NoThrow);
    if (this->Stopped || Error == asio::error::operation_aborted)
      break;
    proto::GossipMessage Message;
    if (Error ||
        !Message.ParseFromArray(this->Input.data(), static_cast<int>(Size))) {
      logLine(LogLevel::Debug, "unreadable datagram dropped");
      continue;
    }
    this->handle(Message);
  }
}

void Gossip::handle(const proto::GossipMessage &Message) {
  const MonoTime Now = monoNow();
  const std::uint64_t OwnBoot = this->Nodes.ownEntry().boot();
  std::vector<proto::NodeEntry> News;
  if (this->Nodes.merge(Message.sender(), Now) ==
      NodeDirectory::MergeResult::Updated)
    News.push_back(Message.sender());
  for (const proto::NodeEntry &Entry : Message.entries())
    if (this->Nodes.merge(Entry, Now) == NodeDirectory::MergeResult::Updated)
      News.push_back(Entry);
  if (!News.empty())
    this->On.OnNodes();
  if (Message.relay())
    this->relay(Message, News);
  if (Message.follows_store())
    this->Followers.insert(Message.sender().node());
  else
    this->Followers.erase(Message.sender().node());
  if (this->Nodes.ownEntry().boot() != OwnBoot)
    this->announce();
  for (const proto::RolloutProgress &Progress : Message.rollouts())
    this->On.OnRollout(Progress);
  for (const proto::RolloutTally &Tally : Message.tallies())
    this->On.OnTally(Tally);
  if (Message.configuration_version() > this->ConfigurationVersion)
    this->On.OnConfigurationVersion(Message.sender().node(),
                                    Message.configuration_version());
  if (Message.known_entries_size() > 0)
    this->answerSummary(Message);
  if (Message.wanted_entries_size() > 0) {
    const std::set<std::uint64_t> Wanted(Message.wanted_entries().begin(),
                                         Message.wanted_entries().end());
    std::vector<const proto::NodeEntry *> Found;
    for (const proto::NodeEntry *Entry : this->Nodes.entries())
      if (Wanted.contains(NodeDirectory::entryHash(*Entry)))
        Found.push_back(Entry);
    this->sendEntries(Message.sender(), Found);
  }
  if (!Message.wants_difference())
    return;
  if (Message.directory_hash() != this->Nodes.hash())
    this->sendSummary(Message.sender());
  else if (Message.configuration_version() < this->ConfigurationVersion)
    this->send(this->message(), Message.sender());
}

void Gossip::relay(const proto::GossipMessage &Received,
                   const std::vector<proto::NodeEntry> &News) {
  proto::GossipMessage Message = this->message();
  for (const proto::NodeEntry &Entry : News)
    *Message.add_entries() = Entry;
  *Message.mutable_rollouts() = Received.rollouts();
  if (Message.entries_size() + Message.rollouts_size() > 0)
    this->sendNear(Message);
}

void Gossip::sendSummary(const proto::NodeEntry &To) {
  proto::GossipMessage Message = this->message();
  for (const proto::RolloutProgress *Progress : this->Rollouts.all())
    *Message.add_rollouts() = *Progress;
  for (const proto::NodeEntry *Entry : this->Nodes.entries())
    Message.add_known_entries(NodeDirectory::entryHash(*Entry));
  this->send(Message, To);
}

void Gossip::answerSummary(const proto::GossipMessage &Summary) {
  std::set<std::uint64_t> Theirs(Summary.known_entries().begin(),
                                 Summary.known_entries().end());
  std::vector<const proto::NodeEntry *> Unknown;
  for (const proto::NodeEntry *Entry : this->Nodes.entries())
    if (Theirs.erase(NodeDirectory::entryHash(*Entry)) == 0)
      Unknown.push_back(Entry);
  this->sendEntries(Summary.sender(), Unknown);
  if (Theirs.empty())
    return;
  proto::GossipMessage Question = this->message();
  for (const std::uint64_t Hash : Theirs)
    Question.add_wanted_entries(Hash);
  this->send(Question, Summary.sender());
}

void Gossip::sendEntries(const proto::NodeEntry &To,
                         const std::vector<const proto::NodeEntry *> &Entries) {
  proto::GossipMessage Message = this->message();
  for (const proto::NodeEntry *Entry : Entries) {
    if (Message.ByteSizeLong() + Entry->ByteSizeLong() >
        internal::MaxDatagramBytes) {
      this->send(Message, To);
      Message = this->message();
    }
    *Message.add_entries() = *Entry;
  }
  if (Message.entries_size() > 0)
    this->send(Message, To);
}

asio::awaitable<void> Gossip::compareLoop() {
  for (std::uint64_t Round = this->Random();; ++Round) {
    this->CompareTimer.expires_after(internal::CompareInterval);
    co_await this->CompareTimer.async_wait(NoThrow);
    if (this->Stopped)
      break;
    const bool Remote = Round % internal::RemoteCompareEvery == 0;
    std::vector<const proto::NodeEntry *> Choice;
    for (const proto::NodeEntry *Entry : this->Nodes.activePeers())
      if ((Entry->data_centre() != this->Nodes.ownEntry().data_centre()) ==
          Remote)
        Choice.push_back(Entry);
    if (!Choice.empty())
      this->compareWith(*Choice[this->Random() % Choice.size()]);
    this->Nodes.removeDepartedNodes(monoNow());
  }
}

void Gossip::send(const proto::GossipMessage &Message,
                  const proto::NodeEntry &To) {
  ErrorCode Error;
  const asio::ip::address Address = asio::ip::make_address(To.address(), Error);
  const std::string Bytes = Message.SerializeAsString();
  if (To.data_centre() != this->Nodes.ownEntry().data_centre())
    this->FarBytes += Bytes.size();
  if (!Error)
    this->Socket.send_to(
        asio::buffer(Bytes),
        Udp::endpoint(Address, static_cast<std::uint16_t>(To.link_port())), 0,
        Error);
  // What a lost datagram carried is found by the next comparison.
  if (Error)
    logLine(LogLevel::Debug, "datagram not sent",
            {{"member", To.node()}, {"error", Error.message()}});
}

void Gossip::sendNear(const proto::GossipMessage &Message) {
  for (const proto::NodeEntry *Entry : this->Nodes.activePeers())
    if (Entry->data_centre() == this->Nodes.ownEntry().data_centre())
      this->send(Message, *Entry);
}

void Gossip::sendEverywhere(proto::GossipMessage Message) {
  this->sendNear(Message);
  std::map<std::string, std::vector<const proto::NodeEntry *>> Far;
  for (const proto::NodeEntry *Entry : this->Nodes.activePeers())
    if (Entry->data_centre() != this->Nodes.ownEntry().data_centre())
      Far[Entry->data_centre()].push_back(Entry);
  Message.set_relay(true);
  for (const auto &[DataCentre, Choice] : Far)
    this->send(Message, *Choice[this->Random() % Choice.size()]);
}

} // namespace persimmonquay
