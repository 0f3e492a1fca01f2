#include "persimmonquay/daemon/gossip.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/fleet/evacuation_table.h"
#include "persimmonquay/fleet/node_directory.h"
#include "persimmonquay/rollout/rollout_table.h"
#include "persimmonquay/traffic/crash_ledger.h"
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <map>
#include <set>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Interval at which a node compares its directory with that of another node.
constexpr Millis CompareInterval{1000};

/// Number of comparisons at a shorter interval after a node has started or has
/// learned of other nodes from the stored list. When all nodes start at the
/// same time, announcements are lost because their recipients don't listen yet.
constexpr int FastComparisons = 8;
constexpr Millis FastCompareInterval{250};

/// Number of times that a change of the own entry is sent to other data centres
/// again, each time to other nodes, since a single datagram may be lost.
constexpr int RepeatedAnnouncements = 2;

/// Number of nodes of the local data centre with which a node that has just
/// started compares its directory.
constexpr std::size_t SeedComparisons = 2;

/// Number of comparisons that the nodes of a data centre together offer to
/// departed nodes in each interval, at most.
constexpr std::size_t InvitationsPerInterval = 4;

/// Number of nodes that compare directories with a node that they can reach
/// again, on average.
constexpr double WelcomesPerNode = 6;

/// Number of crashes in one datagram; about 650 bytes.
constexpr std::size_t MaxCrashesPerDatagram = 24;

/// Size up to which datagrams are not fragmented on common network paths.
constexpr std::size_t MaxDatagramBytes = 1300;

} // namespace internal

Gossip::Gossip(asio::io_context &IoContext, NodeDirectory &KnownNodes,
               RolloutTable &KnownRollouts, CrashLedger &KnownCrashes,
               Callbacks NodeCallbacks)
    : Context(IoContext), Directory(KnownNodes), Rollouts(KnownRollouts),
      Crashes(KnownCrashes), Callback(std::move(NodeCallbacks)),
      Socket(IoContext), CompareTimer(IoContext),
      RandomEngine(hashBytes(KnownNodes.ownEntry().node(),
                             KnownNodes.ownEntry().boot())) {}

bool Gossip::start(const Udp::endpoint &Address) {
  ErrorCode Error;
  this->Socket.open(Address.protocol(), Error);
  if (!Error)
    this->Socket.bind(Address, Error);
  if (!Error)
    this->Socket.non_blocking(true, Error);
  if (Error) {
    logLine(LogLevel::Error, "cannot open the gossip socket",
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
  ErrorCode IgnoredError;
  this->Socket.close(IgnoredError);
  this->CompareTimer.cancel();
}

proto::GossipMessage Gossip::makeMessage() const {
  proto::GossipMessage Result;
  *Result.mutable_sender() = this->Directory.ownEntry();
  Result.set_configuration_version(this->ConfigurationVersion);
  Result.set_follows_store(this->FollowsStore);
  if (this->Evacuations != nullptr)
    for (proto::Evacuation &Copy : this->Evacuations->all())
      *Result.add_evacuations() = std::move(Copy);
  return Result;
}

void Gossip::announce() {
  this->broadcast(this->makeMessage());
  this->AnnouncementsToRepeat = internal::RepeatedAnnouncements;
}

void Gossip::announceLocally() { this->sendLocally(this->makeMessage()); }

void Gossip::join(const std::vector<proto::NodeEntry> &SeedNodes) {
  this->HasJoined = true;
  this->announce();
  this->FastComparisonsLeft = internal::FastComparisons;
  this->CompareTimer.cancel();
  // The list may be outdated; the nodes themselves know what has changed since.
  std::vector<const proto::NodeEntry *> LocalSeeds;
  for (const proto::NodeEntry &Entry : SeedNodes)
    if (Entry.data_centre() == this->Directory.ownEntry().data_centre())
      LocalSeeds.push_back(&Entry);
  std::shuffle(LocalSeeds.begin(), LocalSeeds.end(), this->RandomEngine);
  for (std::size_t I = 0;
       I < std::min(LocalSeeds.size(), internal::SeedComparisons); ++I)
    this->compareWith(*LocalSeeds[I]);
}

void Gossip::compareWith(const proto::NodeEntry &Node) {
  proto::GossipMessage Message = this->makeMessage();
  Message.set_directory_hash(this->Directory.hash());
  Message.set_crash_hash(this->Crashes.hash());
  Message.set_wants_difference(true);
  this->addHistory(Message, Node);
  this->send(Message, Node);
}

void Gossip::welcome(const std::string &Node) {
  const proto::NodeEntry *Entry = this->Directory.find(Node);
  if (Entry == nullptr)
    return;
  std::size_t Neighbours = 0;
  std::size_t Others = 0;
  for (const proto::NodeEntry *Peer : this->Directory.activePeers()) {
    ++Others;
    Neighbours +=
        Peer->data_centre() == Entry->data_centre() && Peer->node() != Node;
  }
  const bool IsLocal =
      Entry->data_centre() == this->Directory.ownEntry().data_centre();
  // Traffic between data centres is expensive, but the neighbours may have
  // restarted as well and have forgotten the departures.
  if (!IsLocal && Neighbours > 0)
    return;
  const std::size_t Candidates = IsLocal ? Neighbours + 1 : Others;
  const double Chance =
      internal::WelcomesPerNode / static_cast<double>(Candidates);
  if (std::uniform_real_distribution<double>(0, 1)(this->RandomEngine) < Chance)
    this->compareWith(*Entry);
}

void Gossip::addHistory(proto::GossipMessage &Message,
                        const proto::NodeEntry &Recipient) const {
  const proto::NodeEntry *Known = this->Directory.find(Recipient.node());
  if (Known == nullptr)
    return;
  Message.set_receiver_known_since_boot(
      this->Directory.knownSinceBoot(Recipient.node()));
  *Message.mutable_receiver_departures() = Known->departed_upstreams();
}

void Gossip::handleHistory(const proto::GossipMessage &Message) {
  const std::uint64_t KnownSince = Message.receiver_known_since_boot();
  if (KnownSince != 0 && this->Callback.OnHistory)
    this->Callback.OnHistory(KnownSince < this->Directory.ownEntry().boot(),
                             Message.receiver_departures());
}

void Gossip::broadcastProgress(const proto::RolloutProgress &Progress) {
  proto::GossipMessage Message = this->makeMessage();
  *Message.add_rollouts() = Progress;
  this->broadcast(Message);
}

void Gossip::broadcastCrashes(const std::vector<proto::CrashRecord> &Records) {
  proto::GossipMessage Message = this->makeMessage();
  for (const proto::CrashRecord &Record : Records)
    if (Message.crashes_size() <
        static_cast<int>(internal::MaxCrashesPerDatagram))
      *Message.add_crashes() = Record;
  this->broadcast(Message);
  this->CrashesToRepeat.assign(Message.crashes().begin(),
                               Message.crashes().end());
  this->AnnouncementsToRepeat = internal::RepeatedAnnouncements;
}

std::vector<proto::CrashRecord>
Gossip::mergeCrashes(const proto::GossipMessage &Message) {
  std::vector<proto::CrashRecord> NewCrashes =
      this->Crashes.merge(Message.crashes(), wallNow());
  // One of the two nodes lacks crashes that the other one knows. The reply to a
  // comparison is answered once, so that both get them.
  if ((Message.wants_difference() || Message.is_crash_reply()) &&
      Message.crash_hash() != this->Crashes.hash())
    this->sendCrashes(Message.sender(), Message.wants_difference());
  return NewCrashes;
}

void Gossip::mergeEvacuations(const proto::GossipMessage &Message) {
  if (this->Evacuations == nullptr || !this->Callback.OnEvacuation)
    return;
  bool IsNew = false;
  for (const proto::Evacuation &Copy : Message.evacuations())
    IsNew = this->Callback.OnEvacuation(Copy) || IsNew;
  if (IsNew &&
      (Message.relay() || Message.sender().data_centre() !=
                              this->Directory.ownEntry().data_centre()))
    this->announceLocally();
  if (Message.wants_difference() &&
      this->Evacuations->hasNewerThan(Message.evacuations()))
    this->send(this->makeMessage(), Message.sender());
}

void Gossip::sendCrashes(const proto::NodeEntry &Recipient, bool IsReply) {
  proto::GossipMessage Message = this->makeMessage();
  for (const proto::CrashRecord &Record :
       this->Crashes.mostImportant(internal::MaxCrashesPerDatagram))
    *Message.add_crashes() = Record;
  Message.set_crash_hash(this->Crashes.hash());
  Message.set_is_crash_reply(IsReply);
  this->send(Message, Recipient);
}

void Gossip::sendTallies(const std::string &DriverNode,
                         const std::vector<proto::RolloutTally> &Tallies) {
  const proto::NodeEntry *Recipient = this->Directory.find(DriverNode);
  if (Recipient == nullptr)
    return;
  proto::GossipMessage Message = this->makeMessage();
  for (const proto::RolloutTally &Tally : Tallies) {
    if (Message.ByteSizeLong() + Tally.ByteSizeLong() >
        internal::MaxDatagramBytes) {
      this->send(Message, *Recipient);
      Message.clear_tallies();
    }
    *Message.add_tallies() = Tally;
  }
  if (Message.tallies_size() > 0)
    this->send(Message, *Recipient);
}

asio::awaitable<void> Gossip::receiveLoop() {
  while (!this->Stopped) {
    Udp::endpoint Sender;
    const auto [Error, Size] = co_await this->Socket.async_receive_from(
        asio::buffer(this->ReceiveBuffer), Sender, NoThrow);
    if (this->Stopped || Error == asio::error::operation_aborted)
      break;
    proto::GossipMessage Message;
    if (Error || !Message.ParseFromArray(this->ReceiveBuffer.data(),
                                         static_cast<int>(Size))) {
      logLine(LogLevel::Debug, "unreadable gossip datagram dropped");
      continue;
    }
    this->handleMessage(Message);
  }
}

void Gossip::handleMessage(const proto::GossipMessage &Message) {
  const MonoTime Now = monoNow();
  const std::uint64_t OwnBoot = this->Directory.ownEntry().boot();
  std::vector<proto::NodeEntry> UpdatedEntries;
  if (this->Directory.merge(Message.sender(), Now) ==
      NodeDirectory::MergeResult::Updated)
    UpdatedEntries.push_back(Message.sender());
  for (const proto::NodeEntry &Entry : Message.entries())
    if (this->Directory.merge(Entry, Now) ==
        NodeDirectory::MergeResult::Updated)
      UpdatedEntries.push_back(Entry);
  if (!UpdatedEntries.empty())
    this->Callback.OnDirectoryChanged();
  this->announceToNewNodes();
  this->handleHistory(Message);
  const std::vector<proto::CrashRecord> NewCrashes =
      this->mergeCrashes(Message);
  if (Message.relay())
    this->relay(Message, UpdatedEntries, NewCrashes);
  else if (Message.sender().data_centre() !=
           this->Directory.ownEntry().data_centre())
    this->relay({}, {}, NewCrashes);
  this->mergeEvacuations(Message);
  if (Message.follows_store())
    this->StoreFollowers.insert(Message.sender().node());
  else
    this->StoreFollowers.erase(Message.sender().node());
  if (this->Directory.ownEntry().boot() != OwnBoot)
    this->announce();
  for (const proto::RolloutProgress &Progress : Message.rollouts())
    this->Callback.OnRolloutProgress(Progress);
  for (const proto::RolloutTally &Tally : Message.tallies())
    this->Callback.OnTally(Tally);
  if (Message.configuration_version() > this->ConfigurationVersion)
    this->Callback.OnConfigurationVersion(Message.sender().node(),
                                          Message.configuration_version());
  if (Message.known_entries_size() > 0)
    this->replyToSummary(Message);
  if (Message.wanted_entries_size() > 0) {
    const std::set<std::uint64_t> WantedHashes(Message.wanted_entries().begin(),
                                               Message.wanted_entries().end());
    std::vector<const proto::NodeEntry *> WantedEntries;
    for (const proto::NodeEntry *Entry : this->Directory.entries())
      if (WantedHashes.contains(NodeDirectory::entryHash(*Entry)))
        WantedEntries.push_back(Entry);
    this->sendEntries(Message.sender(), WantedEntries);
  }
  if (!Message.wants_difference())
    return;
  if (Message.directory_hash() != this->Directory.hash())
    this->sendSummary(Message.sender());
  else if (Message.configuration_version() < this->ConfigurationVersion)
    this->send(this->makeMessage(), Message.sender());
}

void Gossip::relay(const proto::GossipMessage &Received,
                   const std::vector<proto::NodeEntry> &UpdatedEntries,
                   const std::vector<proto::CrashRecord> &NewCrashes) {
  proto::GossipMessage Message = this->makeMessage();
  for (const proto::NodeEntry &Entry : UpdatedEntries)
    *Message.add_entries() = Entry;
  for (const proto::CrashRecord &Record : NewCrashes)
    *Message.add_crashes() = Record;
  *Message.mutable_rollouts() = Received.rollouts();
  if (Message.entries_size() + Message.rollouts_size() +
          Message.crashes_size() >
      0)
    this->sendLocally(Message);
}

void Gossip::sendSummary(const proto::NodeEntry &Recipient) {
  proto::GossipMessage Message = this->makeMessage();
  for (const proto::RolloutProgress *Progress : this->Rollouts.all())
    *Message.add_rollouts() = *Progress;
  for (const proto::NodeEntry *Entry : this->Directory.entries())
    Message.add_known_entries(NodeDirectory::entryHash(*Entry));
  this->addHistory(Message, Recipient);
  this->send(Message, Recipient);
}

void Gossip::replyToSummary(const proto::GossipMessage &Summary) {
  std::set<std::uint64_t> PeerHashes(Summary.known_entries().begin(),
                                     Summary.known_entries().end());
  std::vector<const proto::NodeEntry *> MissingAtPeer;
  for (const proto::NodeEntry *Entry : this->Directory.entries())
    if (PeerHashes.erase(NodeDirectory::entryHash(*Entry)) == 0)
      MissingAtPeer.push_back(Entry);
  this->sendEntries(Summary.sender(), MissingAtPeer);
  if (PeerHashes.empty())
    return;
  proto::GossipMessage Request = this->makeMessage();
  for (const std::uint64_t Hash : PeerHashes)
    Request.add_wanted_entries(Hash);
  this->send(Request, Summary.sender());
}

void Gossip::sendEntries(const proto::NodeEntry &Recipient,
                         const std::vector<const proto::NodeEntry *> &Entries) {
  proto::GossipMessage Message = this->makeMessage();
  for (const proto::NodeEntry *Entry : Entries) {
    if (Message.ByteSizeLong() + Entry->ByteSizeLong() >
        internal::MaxDatagramBytes) {
      this->send(Message, Recipient);
      Message = this->makeMessage();
    }
    *Message.add_entries() = *Entry;
  }
  if (Message.entries_size() > 0)
    this->send(Message, Recipient);
}

asio::awaitable<void> Gossip::compareLoop() {
  for (std::uint64_t Round = this->RandomEngine();; ++Round) {
    this->CompareTimer.expires_after(this->FastComparisonsLeft > 0
                                         ? internal::FastCompareInterval
                                         : internal::CompareInterval);
    const auto [Error] = co_await this->CompareTimer.async_wait(NoThrow);
    if (this->Stopped)
      break;
    // The interval has changed.
    if (Error)
      continue;
    this->compareOnce(Round);
    if (std::exchange(this->AnnouncementsToRepeat,
                      std::max(this->AnnouncementsToRepeat - 1, 0)) > 0) {
      proto::GossipMessage Message = this->makeMessage();
      for (const proto::CrashRecord &Record : this->CrashesToRepeat)
        *Message.add_crashes() = Record;
      this->sendToRemoteDataCentres(std::move(Message));
    } else {
      this->CrashesToRepeat.clear();
    }
    this->Directory.removeDepartedNodes(monoNow());
    this->Crashes.expire(wallNow());
  }
}

void Gossip::compareOnce(std::uint64_t Round) {
  std::vector<const proto::NodeEntry *> LocalNodes;
  std::vector<const proto::NodeEntry *> RemoteNodes;
  for (const proto::NodeEntry *Entry : this->Directory.activePeers())
    (Entry->data_centre() == this->Directory.ownEntry().data_centre()
         ? LocalNodes
         : RemoteNodes)
        .push_back(Entry);
  // The nodes of a data centre together make about one comparison with another
  // data centre in each interval, however many they are.
  std::uint64_t RemoteEvery = LocalNodes.size() + 1;
  if (this->FastComparisonsLeft > 0) {
    --this->FastComparisonsLeft;
    RemoteEvery = std::min<std::uint64_t>(RemoteEvery, 2);
  }
  const std::vector<const proto::NodeEntry *> &Candidates =
      Round % RemoteEvery == 0 && !RemoteNodes.empty() ? RemoteNodes
                                                       : LocalNodes;
  if (!Candidates.empty())
    this->compareWith(*Candidates[this->RandomEngine() % Candidates.size()]);
  this->inviteDepartedNode(LocalNodes.size());
}

void Gossip::inviteDepartedNode(std::size_t ActiveLocalNodes) {
  const std::uint64_t InviteEvery =
      1 + ActiveLocalNodes / internal::InvitationsPerInterval;
  if (this->RandomEngine() % InviteEvery != 0)
    return;
  std::vector<const proto::NodeEntry *> Departed;
  for (const proto::NodeEntry *Entry : this->Directory.entries())
    if (Entry->leaving() &&
        Entry->data_centre() == this->Directory.ownEntry().data_centre() &&
        Entry->node() != this->Directory.ownEntry().node())
      Departed.push_back(Entry);
  if (!Departed.empty())
    this->compareWith(*Departed[this->RandomEngine() % Departed.size()]);
}

void Gossip::announceToNewNodes() {
  const std::size_t KnownNodes = this->Directory.activePeers().size();
  if (this->HasJoined || KnownNodes <= this->AnnouncedNodes)
    return;
  this->AnnouncedNodes = KnownNodes;
  this->announce();
}

void Gossip::send(const proto::GossipMessage &Message,
                  const proto::NodeEntry &Recipient) {
  ErrorCode Error;
  const asio::ip::address Address =
      asio::ip::make_address(Recipient.address(), Error);
  const std::string Bytes = Message.SerializeAsString();
  if (Recipient.data_centre() != this->Directory.ownEntry().data_centre())
    this->RemoteBytes += Bytes.size();
  if (!Error)
    this->Socket.send_to(asio::buffer(Bytes),
                         Udp::endpoint(Address, static_cast<std::uint16_t>(
                                                    Recipient.link_port())),
                         0, Error);
  // The next comparison of directories makes up for a lost datagram.
  if (Error)
    logLine(LogLevel::Debug, "gossip datagram not sent",
            {{"member", Recipient.node()}, {"error", Error.message()}});
}

void Gossip::sendLocally(const proto::GossipMessage &Message) {
  for (const proto::NodeEntry *Entry : this->Directory.activePeers())
    if (Entry->data_centre() == this->Directory.ownEntry().data_centre())
      this->send(Message, *Entry);
}

void Gossip::broadcast(const proto::GossipMessage &Message) {
  this->sendLocally(Message);
  this->sendToRemoteDataCentres(Message);
}

void Gossip::sendToRemoteDataCentres(proto::GossipMessage Message) {
  std::map<std::string, std::vector<const proto::NodeEntry *>> RemoteNodes;
  for (const proto::NodeEntry *Entry : this->Directory.activePeers())
    if (Entry->data_centre() != this->Directory.ownEntry().data_centre())
      RemoteNodes[Entry->data_centre()].push_back(Entry);
  Message.set_relay(true);
  for (const auto &[DataCentre, Candidates] : RemoteNodes)
    this->send(Message, *Candidates[this->RandomEngine() % Candidates.size()]);
}

} // namespace persimmonquay
