#include "persimmonquay/peer/cluster.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/config/config_store.h"
#include "persimmonquay/membership/broadcast_queue.h"
#include "persimmonquay/membership/fact_table.h"
#include "persimmonquay/membership/failure_detector.h"
#include "persimmonquay/membership/member_table.h"
#include "persimmonquay/peer/address_book.h"
#include "persimmonquay/peer/sync_channel.h"
#include "proto/settings.pb.h"
#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <utility>

namespace persimmonquay {
namespace internal {

constexpr Millis Tick{50};
constexpr Millis ReceiveTimeout{200};
constexpr Millis SyncTimeout{3000};
/// Shortest time between two syncs that only members or facts call for.
constexpr Millis AntiEntropyInterval{1000};
constexpr Millis SeedInterval{1000};
constexpr Millis SeedIntervalWhenJoined{10000};
constexpr Millis DeadProbeInterval{5000};
constexpr Millis ForgetDeadAfter = std::chrono::hours(1);
/// Peers told at once about a new configuration, and told again a little later.
constexpr std::size_t PushFanout = 5;
constexpr std::size_t SecondPushFanout = 3;
constexpr Millis SecondPushDelay{200};
/// Nodes of a data centre that exchange digests with each other data centre.
constexpr std::size_t Relays = 2;
constexpr std::size_t SyncRecordBytes = 256 << 10;
constexpr std::size_t MaxEvidencePerDatagram = 8;
constexpr std::size_t UdpOverheadBytes = 28;

/// Where a datagram goes.
struct PeerAddress {
  std::string Address;
  std::uint16_t Port = 0;
};

} // namespace internal

/// The threads and sockets behind Cluster. One mutex guards all tables; no
/// callback, socket or store is used while it is held.
class Cluster::Implementation {
public:
  Implementation(const proto::NodeSettings &Settings, ConfigStore *Store,
                 ClusterEvents Events)
      : Settings(Settings), Book(Settings), Store(Store),
        Events(std::move(Events)), Members(ownMember(Settings)),
        Detector(FailureDetector::Builder()
                     .probeInterval(Millis(Settings.probe_interval_ms()))
                     .suspicionTimeout(Millis(Settings.suspicion_ms()))
                     .build()),
        Random(std::random_device{}()) {}

  absl::Status start();
  void stop();
  void updateSelf(const proto::Member &Facts);
  void raiseFact(const proto::Fact &Fact);
  void sendEvidence(const std::vector<proto::EvidenceCell> &Cells,
                    const std::vector<std::string> &Nodes);
  void announceConfig();

  /// Calls `Reader` with the tables under the lock.
  template <typename F> auto query(F &&Reader) const {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return std::forward<F>(Reader)(this->Members, this->Facts);
  }

  ClusterTraffic traffic() const;

private:
  using Address = internal::PeerAddress;

  static proto::Member ownMember(const proto::NodeSettings &Settings);

  void receiveLoop();
  void tickLoop();
  void syncLoop();

  void tick();
  void probeSeeds(MonoTime Now);
  void probeOthers(MonoTime Now);
  void pushConfigIfDue(MonoTime Now);
  void perform(const DetectorAction &Action);

  void handle(const proto::Datagram &Message);
  void answer(const proto::Datagram &Message);
  bool mergeUpdates(const proto::Datagram &Message, bool *FactsNew);
  void considerSync(const proto::Datagram &Message);
  void requestSyncWith(const Address &Peer, bool Urgent);
  void syncWith(const Address &Peer);
  std::string answerSync(const std::string &Bytes);
  void applyReply(const proto::SyncReply &Reply);

  void send(proto::Datagram Message, const Address &To);
  void ping(const Address &To, std::uint64_t Sequence);
  void pingNodes(const std::vector<std::string> &Nodes);
  std::vector<std::string> randomLiveNodes(const std::string &DataCentre,
                                           std::size_t Count);
  std::vector<std::string> pushTargets(std::size_t Count);
  std::vector<std::string> oneInEachOtherDataCentre();
  std::optional<Address> addressOf(const std::string &Node) const;
  Address addressOf(const proto::Member &Member) const;
  void notify(bool MembersNew, bool FactsNew) const;

  const proto::NodeSettings Settings;
  const AddressBook Book;
  ConfigStore *const Store;
  const ClusterEvents Events;

  mutable std::mutex Mutex;
  MemberTable Members;
  FactTable Facts;
  BroadcastQueue Queue;
  FailureDetector Detector;
  std::mt19937_64 Random;
  /// Newest configuration offset at which each node was seen.
  std::map<std::string, std::uint64_t> SeenOffsets;
  /// Pings passed on for others: own sequence to asker and its sequence.
  std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> Relayed;
  std::uint64_t NextRelayed = std::uint64_t{1} << 32;
  std::optional<Address> SyncPeer;
  MonoTime LastAntiEntropy{};
  std::condition_variable SyncWanted;

  MonoTime LastSeedProbe{};
  MonoTime LastDeadProbe{};
  MonoTime LastRelay{};
  MonoTime LastForget{};
  std::optional<MonoTime> SecondPushAt;
  std::atomic<bool> PushWanted = false;
  std::condition_variable TickWanted;
  std::mutex TickMutex;

  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> DatagramsSent = 0;
  std::atomic<std::uint64_t> BytesSent = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;
  std::atomic<std::uint64_t> Syncs = 0;

  Poco::Net::DatagramSocket Socket;
  SyncServer Server;
  std::vector<std::thread> Threads;
};

proto::Member
Cluster::Implementation::ownMember(const proto::NodeSettings &Settings) {
  proto::Member Own;
  Own.set_node(Settings.node());
  Own.set_data_centre(Settings.data_centre());
  Own.set_address(Settings.address());
  Own.set_peer_port(Settings.peer_port());
  Own.set_ingress_port(Settings.ingress_port());
  // Later than any incarnation of a process that had this name before.
  Own.set_incarnation(static_cast<std::uint64_t>(unixMillis(wallNow())));
  return Own;
}

absl::Status Cluster::Implementation::start() {
  const auto Port = static_cast<std::uint16_t>(this->Settings.peer_port());
  try {
    this->Socket.bind(Poco::Net::SocketAddress(this->Settings.address(), Port),
                      false);
    this->Socket.setReceiveTimeout(
        Poco::Timespan(internal::ReceiveTimeout.count() * 1000));
  } catch (const Poco::Exception &Error) {
    return absl::UnavailableError(
        absl::StrCat("peer_port ", Port, " (UDP): ", Error.displayText()));
  }
  absl::Status Listening = this->Server.start(
      this->Settings.address(), Port,
      [this](const std::string &Bytes) { return this->answerSync(Bytes); });
  if (!Listening.ok())
    return Listening;
  this->Threads.emplace_back([this] { this->receiveLoop(); });
  this->Threads.emplace_back([this] { this->tickLoop(); });
  this->Threads.emplace_back([this] { this->syncLoop(); });
  return absl::OkStatus();
}

void Cluster::Implementation::stop() {
  if (this->Threads.empty())
    return;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    proto::Member Leaving = this->Members.self();
    Leaving.set_state(proto::LEFT);
    this->Members.updateSelf(Leaving, monoNow());
    this->Queue.addMember(this->Members.self());
  }
  this->pingNodes(this->pushTargets(internal::PushFanout));
  this->Stopping = true;
  this->TickWanted.notify_all();
  this->SyncWanted.notify_all();
  for (std::thread &Thread : this->Threads)
    Thread.join();
  this->Threads.clear();
  this->Server.stop();
}

void Cluster::Implementation::updateSelf(const proto::Member &Facts) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Members.updateSelf(Facts, monoNow());
    this->Queue.addMember(this->Members.self());
  }
  this->pingNodes(this->pushTargets(internal::PushFanout));
  this->notify(true, false);
}

void Cluster::Implementation::raiseFact(const proto::Fact &Fact) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->Facts.merge(Fact, wallNow()))
      return;
    this->Queue.addFact(Fact);
  }
  this->pingNodes(this->pushTargets(internal::PushFanout));
  this->pingNodes(this->oneInEachOtherDataCentre());
  this->notify(false, true);
}

void Cluster::Implementation::sendEvidence(
    const std::vector<proto::EvidenceCell> &Cells,
    const std::vector<std::string> &Nodes) {
  for (std::size_t First = 0; First < Cells.size();
       First += internal::MaxEvidencePerDatagram) {
    proto::Datagram Message;
    const std::size_t End =
        std::min(Cells.size(), First + internal::MaxEvidencePerDatagram);
    for (std::size_t I = First; I < End; ++I)
      *Message.add_evidence() = Cells[I];
    for (const std::string &Node : Nodes)
      if (const auto To = this->addressOf(Node))
        this->send(Message, *To);
  }
}

void Cluster::Implementation::announceConfig() {
  this->PushWanted = true;
  this->TickWanted.notify_all();
}

ClusterTraffic Cluster::Implementation::traffic() const {
  return ClusterTraffic{this->DatagramsSent, this->BytesSent,
                        this->BytesReceived, this->Syncs};
}

// Sending.

void Cluster::Implementation::send(proto::Datagram Message, const Address &To) {
  Message.mutable_digest()->set_config_next_offset(this->Store->nextOffset());
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    *Message.mutable_sender() = this->Members.self();
    Message.mutable_digest()->set_members_hash(this->Members.hash());
    Message.mutable_digest()->set_facts_hash(this->Facts.hash());
    this->Queue.fill(this->Members.all().size(), &Message);
  }
  const std::string Bytes = Message.SerializeAsString();
  try {
    this->Socket.sendTo(Bytes.data(), static_cast<int>(Bytes.size()),
                        Poco::Net::SocketAddress(To.Address, To.Port));
  } catch (const Poco::Exception &Error) {
    logLine(LogLevel::Debug, "datagram could not be sent",
            {{"to", To.Address}, {"error", Error.displayText()}});
    return;
  }
  ++this->DatagramsSent;
  this->BytesSent += Bytes.size() + internal::UdpOverheadBytes;
}

void Cluster::Implementation::ping(const Address &To, std::uint64_t Sequence) {
  proto::Datagram Message;
  Message.mutable_ping()->set_sequence(Sequence);
  this->send(std::move(Message), To);
}

void Cluster::Implementation::pingNodes(const std::vector<std::string> &Nodes) {
  for (const std::string &Node : Nodes)
    if (const auto To = this->addressOf(Node))
      this->ping(*To, 0);
}

std::vector<std::string>
Cluster::Implementation::randomLiveNodes(const std::string &DataCentre,
                                         std::size_t Count) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<std::string> Nodes = this->Members.liveNodes(DataCentre);
  std::erase(Nodes, this->Members.self().node());
  std::shuffle(Nodes.begin(), Nodes.end(), this->Random);
  Nodes.resize(std::min(Nodes.size(), Count));
  return Nodes;
}

std::vector<std::string>
Cluster::Implementation::pushTargets(std::size_t Count) {
  std::vector<std::string> Targets =
      this->randomLiveNodes(this->Settings.data_centre(), Count);
  std::vector<std::string> Others;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const std::string &Other : this->Members.dataCentres())
      if (Other != this->Settings.data_centre() &&
          this->Members.hasDuty(absl::StrCat("relay ", Other), internal::Relays,
                                this->Members.self().node()))
        Others.push_back(Other);
  }
  for (const std::string &Other : Others)
    for (std::string &Node : this->randomLiveNodes(Other, internal::Relays))
      Targets.push_back(std::move(Node));
  return Targets;
}

std::vector<std::string> Cluster::Implementation::oneInEachOtherDataCentre() {
  const std::vector<std::string> Names = this->query(
      [](const auto &Table, const auto &) { return Table.dataCentres(); });
  std::vector<std::string> Targets;
  for (const std::string &Other : Names)
    if (Other != this->Settings.data_centre())
      for (std::string &Node : this->randomLiveNodes(Other, 1))
        Targets.push_back(std::move(Node));
  return Targets;
}

std::optional<internal::PeerAddress>
Cluster::Implementation::addressOf(const std::string &Node) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const proto::Member *Member = this->Members.find(Node);
  if (Member == nullptr)
    return std::nullopt;
  return this->addressOf(*Member);
}

internal::PeerAddress
Cluster::Implementation::addressOf(const proto::Member &Member) const {
  return Address{this->Book.reach(Member.data_centre(), Member.address()),
                 static_cast<std::uint16_t>(Member.peer_port())};
}

void Cluster::Implementation::notify(bool MembersNew, bool FactsNew) const {
  if (MembersNew)
    this->Events.MembersChanged();
  if (FactsNew)
    this->Events.FactsChanged();
}

// The clock.

void Cluster::Implementation::tickLoop() {
  while (!this->Stopping) {
    this->tick();
    std::unique_lock<std::mutex> Lock(this->TickMutex);
    this->TickWanted.wait_for(Lock, internal::Tick, [this] {
      return this->Stopping || this->PushWanted;
    });
  }
}

void Cluster::Implementation::tick() {
  const MonoTime Now = monoNow();
  this->pushConfigIfDue(Now);
  std::vector<DetectorAction> Actions;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Actions = this->Detector.tick(Now, this->Random, &this->Members);
    if (Now - this->LastForget > internal::ForgetDeadAfter / 60) {
      this->LastForget = Now;
      this->Members.forgetOlderThan(internal::ForgetDeadAfter, Now);
      this->Facts.dropExpired(wallNow());
      this->Relayed.clear();
    }
  }
  for (const DetectorAction &Action : Actions)
    this->perform(Action);
  this->probeSeeds(Now);
  this->probeOthers(Now);
}

void Cluster::Implementation::perform(const DetectorAction &Action) {
  if (const auto *Ping = std::get_if<SendPing>(&Action)) {
    if (const auto To = this->addressOf(Ping->Node))
      this->ping(*To, Ping->Sequence);
  } else if (const auto *Request = std::get_if<SendPingRequest>(&Action)) {
    proto::Datagram Message;
    Message.mutable_ping_request()->set_sequence(Request->Sequence);
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      const proto::Member *Target = this->Members.find(Request->Target);
      if (Target == nullptr)
        return;
      *Message.mutable_ping_request()->mutable_target() = *Target;
    }
    if (const auto Via = this->addressOf(Request->Via))
      this->send(std::move(Message), *Via);
  } else if (const auto *Spread = std::get_if<SpreadState>(&Action)) {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      const proto::Member *Member = this->Members.find(Spread->Node);
      this->Queue.addMember(*Member);
      logLine(LogLevel::Info, "member state changed",
              {{"member", Member->node()},
               {"state", proto::MemberState_Name(Member->state())}});
    }
    this->notify(true, false);
  }
}

void Cluster::Implementation::probeSeeds(MonoTime Now) {
  const bool Joined = this->query(
      [](const auto &Table, const auto &) { return Table.all().size() > 1; });
  const Millis Interval =
      Joined ? internal::SeedIntervalWhenJoined : internal::SeedInterval;
  if (this->Settings.seeds().empty() || Now - this->LastSeedProbe < Interval)
    return;
  this->LastSeedProbe = Now;
  std::vector<std::string> Seeds(this->Settings.seeds().begin(),
                                 this->Settings.seeds().end());
  std::shuffle(Seeds.begin(), Seeds.end(), this->Random);
  constexpr std::size_t SeedsAtOnce = 3;
  Seeds.resize(std::min(Seeds.size(), Joined ? 1 : SeedsAtOnce));
  for (const std::string &Seed : Seeds) {
    const Poco::Net::SocketAddress Parsed(Seed);
    this->ping(Address{Parsed.host().toString(), Parsed.port()}, 0);
  }
}

void Cluster::Implementation::probeOthers(MonoTime Now) {
  if (Now - this->LastRelay >= Millis(this->Settings.probe_interval_ms())) {
    this->LastRelay = Now;
    // Only targets in other data centres; the own one is probed anyway.
    this->pingNodes(this->pushTargets(0));
  }
  if (Now - this->LastDeadProbe < internal::DeadProbeInterval)
    return;
  this->LastDeadProbe = Now;
  std::vector<std::string> Dead;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const proto::Member &Member : this->Members.all())
      if (Member.state() == proto::DEAD &&
          Member.data_centre() == this->Settings.data_centre())
        Dead.push_back(Member.node());
    std::shuffle(Dead.begin(), Dead.end(), this->Random);
  }
  Dead.resize(std::min<std::size_t>(Dead.size(), 1));
  this->pingNodes(Dead);
}

void Cluster::Implementation::pushConfigIfDue(MonoTime Now) {
  if (this->PushWanted.exchange(false)) {
    this->SecondPushAt = Now + internal::SecondPushDelay;
    this->pingNodes(this->pushTargets(internal::PushFanout));
  } else if (this->SecondPushAt && Now >= *this->SecondPushAt) {
    this->SecondPushAt.reset();
    this->pingNodes(this->pushTargets(internal::SecondPushFanout));
  }
}

// Receiving.

void Cluster::Implementation::receiveLoop() {
  std::vector<char> Buffer(2 * MaxDatagramBytes);
  while (!this->Stopping) {
    try {
      Poco::Net::SocketAddress From;
      const int Size = this->Socket.receiveFrom(
          Buffer.data(), static_cast<int>(Buffer.size()), From);
      if (Size <= 0)
        continue;
      this->BytesReceived +=
          static_cast<std::size_t>(Size) + internal::UdpOverheadBytes;
      proto::Datagram Message;
      if (Message.ParseFromArray(Buffer.data(), Size))
        this->handle(Message);
    } catch (const Poco::TimeoutException &) {
      continue;
    } catch (const Poco::Exception &Error) {
      logLine(LogLevel::Debug, "datagram could not be received",
              {{"error", Error.displayText()}});
    }
  }
}

void Cluster::Implementation::handle(const proto::Datagram &Message) {
  if (Message.sender().node() == this->Settings.node())
    return;
  bool FactsNew = false;
  const bool MembersNew = this->mergeUpdates(Message, &FactsNew);
  for (const proto::EvidenceCell &Cell : Message.evidence())
    this->Events.EvidenceArrived(Cell);
  this->notify(MembersNew, FactsNew);
  if (FactsNew)
    this->pingNodes(this->pushTargets(internal::SecondPushFanout));
  this->answer(Message);
  this->considerSync(Message);
}

bool Cluster::Implementation::mergeUpdates(const proto::Datagram &Message,
                                           bool *FactsNew) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const MonoTime Now = monoNow();
  bool MembersNew = this->Members.merge(Message.sender(), Now);
  if (MembersNew)
    this->Queue.addMember(*this->Members.find(Message.sender().node()));
  // A member that lives although others call it dead must hear that.
  const proto::Member *Known = this->Members.find(Message.sender().node());
  if (Known != nullptr && Known->state() != Message.sender().state())
    this->Queue.addMember(*Known);
  for (const proto::Member &Member : Message.members())
    if (this->Members.merge(Member, Now)) {
      MembersNew = true;
      this->Queue.addMember(*this->Members.find(Member.node()));
    }
  for (const proto::Fact &Fact : Message.facts())
    if (this->Facts.merge(Fact, wallNow())) {
      *FactsNew = true;
      this->Queue.addFact(Fact);
    }
  std::uint64_t &Seen = this->SeenOffsets[Message.sender().node()];
  Seen = std::max(Seen, Message.digest().config_next_offset());
  return MembersNew;
}

void Cluster::Implementation::answer(const proto::Datagram &Message) {
  proto::Datagram Reply;
  Address To = this->addressOf(Message.sender());
  if (Message.has_ping()) {
    Reply.mutable_ack()->set_sequence(Message.ping().sequence());
  } else if (Message.has_ping_request()) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const std::uint64_t Sequence = this->NextRelayed++;
    this->Relayed[Sequence] = {Message.sender().node(),
                               Message.ping_request().sequence()};
    Reply.mutable_ping()->set_sequence(Sequence);
    To = this->addressOf(Message.ping_request().target());
  } else if (Message.has_ack()) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Detector.onAck(Message.ack().sequence());
    const auto Asked = this->Relayed.find(Message.ack().sequence());
    if (Asked == this->Relayed.end())
      return;
    const proto::Member *Asker = this->Members.find(Asked->second.first);
    if (Asker == nullptr)
      return;
    Reply.mutable_ack()->set_sequence(Asked->second.second);
    To = this->addressOf(*Asker);
    this->Relayed.erase(Asked);
  } else {
    return;
  }
  this->send(std::move(Reply), To);
}

// Synchronisation.

void Cluster::Implementation::considerSync(const proto::Datagram &Message) {
  const Address Peer = this->addressOf(Message.sender());
  if (Message.digest().config_next_offset() > this->Store->nextOffset()) {
    this->requestSyncWith(Peer, true);
    return;
  }
  const bool Differs = this->query([&](const auto &Table, const auto &Known) {
    return Message.digest().members_hash() != Table.hash() ||
           Message.digest().facts_hash() != Known.hash();
  });
  if (Differs)
    this->requestSyncWith(Peer, false);
}

void Cluster::Implementation::requestSyncWith(const Address &Peer,
                                              bool Urgent) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const MonoTime Now = monoNow();
  if (!Urgent) {
    if (this->SyncPeer ||
        Now - this->LastAntiEntropy < internal::AntiEntropyInterval)
      return;
    this->LastAntiEntropy = Now;
  }
  this->SyncPeer = Peer;
  this->SyncWanted.notify_one();
}

void Cluster::Implementation::syncLoop() {
  while (!this->Stopping) {
    Address Peer;
    {
      std::unique_lock<std::mutex> Lock(this->Mutex);
      this->SyncWanted.wait_for(Lock, internal::ReceiveTimeout, [this] {
        return this->Stopping || this->SyncPeer.has_value();
      });
      if (!this->SyncPeer)
        continue;
      Peer = *this->SyncPeer;
      this->SyncPeer.reset();
    }
    this->syncWith(Peer);
  }
}

void Cluster::Implementation::syncWith(const Address &Peer) {
  proto::SyncRequest Request;
  Request.set_config_next_offset(this->Store->nextOffset());
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    *Request.mutable_sender() = this->Members.self();
    for (std::uint64_t Hash : this->Members.buckets())
      Request.add_member_buckets(Hash);
    Request.set_facts_hash(this->Facts.hash());
  }
  const std::string Bytes = Request.SerializeAsString();
  ++this->Syncs;
  this->BytesSent += Bytes.size();
  const auto Answer =
      requestSync(Peer.Address, Peer.Port, Bytes, internal::SyncTimeout);
  if (!Answer.ok()) {
    logLine(LogLevel::Debug, "sync failed",
            {{"peer", Peer.Address},
             {"error", std::string(Answer.status().message())}});
    return;
  }
  this->BytesReceived += Answer->size();
  proto::SyncReply Reply;
  if (Reply.ParseFromString(*Answer))
    this->applyReply(Reply);
}

void Cluster::Implementation::applyReply(const proto::SyncReply &Reply) {
  bool MembersNew = false;
  bool FactsNew = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const proto::Member &Member : Reply.members())
      MembersNew |= this->Members.merge(Member, monoNow());
    for (const proto::Fact &Fact : Reply.facts())
      FactsNew |= this->Facts.merge(Fact, wallNow());
  }
  this->notify(MembersNew, FactsNew);
  this->Store->raiseFloor(Reply.floor_next_offset());
  if (Reply.has_state()) {
    const absl::Status Adopted = this->Store->adoptState(Reply.state());
    if (!Adopted.ok())
      logLine(LogLevel::Error, "a peer's state was refused",
              {{"error", std::string(Adopted.message())}});
  }
  for (const proto::StreamRecord &Record : Reply.records()) {
    const absl::Status Applied =
        this->Store->applyRecord(Record.offset(), Record.payload());
    if (absl::IsOutOfRange(Applied))
      return;
  }
}

std::string Cluster::Implementation::answerSync(const std::string &Bytes) {
  proto::SyncRequest Request;
  proto::SyncReply Reply;
  if (!Request.ParseFromString(Bytes))
    return Reply.SerializeAsString();
  this->BytesReceived += Bytes.size();
  std::uint64_t Floor = this->Store->floor();
  this->Store->fillSync(Request.config_next_offset(), internal::SyncRecordBytes,
                        &Reply);
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    MemberBuckets Theirs{};
    const bool WithMembers =
        Request.member_buckets_size() == static_cast<int>(MemberBucketCount);
    for (std::size_t I = 0; WithMembers && I < MemberBucketCount; ++I)
      Theirs[I] = Request.member_buckets(static_cast<int>(I));
    if (WithMembers)
      for (proto::Member &Member :
           this->Members.entriesOfDifferingBuckets(Theirs))
        *Reply.add_members() = std::move(Member);
    if (Request.facts_hash() != this->Facts.hash())
      for (proto::Fact &Fact : this->Facts.all())
        *Reply.add_facts() = std::move(Fact);
    const auto Seen = this->SeenOffsets.find(Request.sender().node());
    if (Seen != this->SeenOffsets.end())
      Floor = std::max(Floor, Seen->second);
  }
  Reply.set_floor_next_offset(Floor);
  std::string Answer = Reply.SerializeAsString();
  this->BytesSent += Answer.size();
  return Answer;
}

// The public face.

Cluster::Cluster(const proto::NodeSettings &Settings, ConfigStore *Store,
                 ClusterEvents Events)
    : Impl(std::make_unique<Implementation>(Settings, Store,
                                            std::move(Events))) {}

Cluster::~Cluster() { this->Impl->stop(); }

absl::Status Cluster::start() { return this->Impl->start(); }

void Cluster::stop() { this->Impl->stop(); }

void Cluster::updateSelf(const proto::Member &Facts) {
  this->Impl->updateSelf(Facts);
}

void Cluster::raiseFact(const proto::Fact &Fact) {
  this->Impl->raiseFact(Fact);
}

void Cluster::sendEvidence(const std::vector<proto::EvidenceCell> &Cells,
                           const std::vector<std::string> &Nodes) {
  this->Impl->sendEvidence(Cells, Nodes);
}

void Cluster::announceConfig() { this->Impl->announceConfig(); }

proto::Member Cluster::self() const {
  return this->Impl->query(
      [](const auto &Table, const auto &) { return Table.self(); });
}

std::vector<proto::Member> Cluster::members() const {
  return this->Impl->query(
      [](const auto &Table, const auto &) { return Table.all(); });
}

std::uint64_t Cluster::factLevel(proto::FactKind Kind,
                                 const std::string &Key) const {
  return this->Impl->query(
      [&](const auto &, const auto &Known) { return Known.level(Kind, Key); });
}

std::size_t Cluster::factCount(proto::FactKind Kind,
                               const std::string &Prefix) const {
  return this->Impl->query([&](const auto &, const auto &Known) {
    return Known.countWithPrefix(Kind, Prefix);
  });
}

std::vector<proto::Fact> Cluster::facts() const {
  return this->Impl->query(
      [](const auto &, const auto &Known) { return Known.all(); });
}

bool Cluster::hasDuty(const std::string &Duty, std::size_t Count) const {
  return this->Impl->query([&](const auto &Table, const auto &) {
    return Table.hasDuty(Duty, Count, Table.self().node());
  });
}

ClusterTraffic Cluster::traffic() const { return this->Impl->traffic(); }

} // namespace persimmonquay
