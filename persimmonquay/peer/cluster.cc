#include "persimmonquay/peer/cluster.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/config/config_store.h"
#include "persimmonquay/peer/address_translator.h"
#include "persimmonquay/peer/cluster_state.h"
#include "persimmonquay/peer/sync_channel.h"
#include "proto/settings.pb.h"
#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <condition_variable>
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
constexpr std::size_t SeedsAtOnce = 3;
/// Peers told at once about a new configuration, and told again a little later.
constexpr std::size_t PushFanout = 5;
constexpr std::size_t SecondPushFanout = 3;
constexpr Millis SecondPushDelay{200};
constexpr std::size_t SyncRecordBytes = 256 << 10;
constexpr std::size_t MaxEvidencePerDatagram = 8;
constexpr std::size_t UdpOverheadBytes = 28;

/// Where a message goes.
struct PeerAddress {
  std::string Address;
  std::uint16_t Port = 0;
};

proto::Member ownMember(const proto::NodeSettings &Settings) {
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

FailureDetector detectorOf(const proto::NodeSettings &Settings) {
  return FailureDetector::Builder()
      .probeInterval(Millis(Settings.probe_interval_ms()))
      .suspicionTimeout(Millis(Settings.suspicion_ms()))
      .build();
}

} // namespace internal

/// The sockets and threads around ClusterState. One mutex guards the state; no
/// callback, socket or store is used while it is held.
class Cluster::Implementation {
public:
  Implementation(const proto::NodeSettings &Settings, ConfigStore *Store,
                 ClusterCallbacks Events)
      : Settings(Settings), Book(Settings), Store(Store),
        Events(std::move(Events)),
        State(internal::ownMember(Settings), internal::detectorOf(Settings),
              std::random_device{}()),
        SeedRandom(std::random_device{}()) {}

  absl::Status start();
  void stop();
  void updateSelf(const proto::Member &Facts);
  void publishFact(const proto::Fact &Fact);
  void sendEvidence(const std::vector<proto::EvidenceCell> &Cells,
                    const std::vector<std::string> &Nodes);
  void join(const std::vector<proto::Member> &Known);
  void announceConfigChange();

  /// Calls `Reader` with the state under the lock.
  template <typename F> auto query(F &&Reader) const {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return std::forward<F>(Reader)(this->State);
  }

  ClusterTraffic traffic() const;
  bool hasFetchedMembers() const { return this->MembersFetched; }

private:
  using Address = internal::PeerAddress;

  /// A peer whose state is to be fetched.
  struct SyncTask {
    Address Peer;
    /// Whether members and facts are wanted too, not only configuration.
    bool WithMembers = false;
  };

  /// Changes the state under the lock, then sends and reports what follows.
  template <typename F> void change(F &&Command);

  void receiveLoop();
  void receiveOne(std::vector<char> *Buffer);
  void tickLoop();
  void tick();
  void probeSeeds(MonoTime Now);
  void pushConfigIfDue(MonoTime Now);

  void syncLoop();
  void considerSync(const proto::Datagram &Message);
  void syncWith(const SyncTask &Task);
  std::string answerSync(const std::string &Bytes);
  void applyReply(const proto::SyncReply &Reply);

  void send(proto::Datagram Message, const Address &To);
  void sendAll(std::vector<OutgoingDatagram> Messages);
  void ping(const Address &To);
  Address addressOf(const proto::Member &Member) const;

  const proto::NodeSettings Settings;
  const AddressTranslator Book;
  ConfigStore *const Store;
  const ClusterCallbacks Events;

  // Guards the members up to LastAntiEntropy.
  mutable std::mutex Mutex;
  ClusterState State;
  std::optional<SyncTask> NextSync;
  std::condition_variable SyncWanted;
  MonoTime LastAntiEntropy{};

  // Used by the ticking thread only.
  MonoTime LastSeedProbe{};
  std::optional<MonoTime> SecondPushAt;
  std::mt19937_64 SeedRandom;

  std::atomic<bool> PushWanted = false;
  std::condition_variable TickWanted;
  std::mutex TickMutex;

  std::atomic<bool> MembersFetched = false;
  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> DatagramsSent = 0;
  std::atomic<std::uint64_t> BytesSent = 0;
  std::atomic<std::uint64_t> BytesReceived = 0;
  std::atomic<std::uint64_t> Syncs = 0;

  Poco::Net::DatagramSocket Socket;
  SyncServer Server;
  std::vector<std::thread> Threads;
};

template <typename F> void Cluster::Implementation::change(F &&Command) {
  ClusterChange Change;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Change = std::forward<F>(Command)(&this->State);
  }
  if (Change.MembersChanged)
    this->Events.OnMembersChanged();
  if (Change.FactsChanged)
    this->Events.OnFactsChanged();
  this->sendAll(std::move(Change.Send));
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
  this->change([](ClusterState *Group) {
    proto::Member Leaving = Group->members().self();
    Leaving.set_state(proto::LEFT);
    return Group->updateSelf(Leaving, monoNow());
  });
  this->Stopping = true;
  this->TickWanted.notify_all();
  this->SyncWanted.notify_all();
  for (std::thread &Thread : this->Threads)
    Thread.join();
  this->Threads.clear();
  this->Server.stop();
}

void Cluster::Implementation::updateSelf(const proto::Member &Facts) {
  this->change(
      [&](ClusterState *Group) { return Group->updateSelf(Facts, monoNow()); });
}

void Cluster::Implementation::publishFact(const proto::Fact &Fact) {
  this->change(
      [&](ClusterState *Group) { return Group->publishFact(Fact, wallNow()); });
}

void Cluster::Implementation::sendEvidence(
    const std::vector<proto::EvidenceCell> &Cells,
    const std::vector<std::string> &Nodes) {
  std::vector<Address> Targets;
  this->query([&](const ClusterState &Group) {
    for (const std::string &Node : Nodes)
      if (const proto::Member *Member = Group.members().find(Node))
        Targets.push_back(this->addressOf(*Member));
  });
  for (std::size_t First = 0; First < Cells.size();
       First += internal::MaxEvidencePerDatagram) {
    proto::Datagram Message;
    const std::size_t End =
        std::min(Cells.size(), First + internal::MaxEvidencePerDatagram);
    for (std::size_t I = First; I < End; ++I)
      *Message.add_evidence() = Cells[I];
    for (const Address &To : Targets)
      this->send(Message, To);
  }
}

void Cluster::Implementation::join(const std::vector<proto::Member> &Known) {
  for (const proto::Member &Member : Known)
    if (Member.node() != this->Settings.node())
      this->ping(this->addressOf(Member));
}

void Cluster::Implementation::announceConfigChange() {
  this->PushWanted = true;
  this->TickWanted.notify_all();
}

ClusterTraffic Cluster::Implementation::traffic() const {
  return ClusterTraffic{this->DatagramsSent, this->BytesSent,
                        this->BytesReceived, this->Syncs};
}

// Sending.

void Cluster::Implementation::send(proto::Datagram Message, const Address &To) {
  const std::uint64_t NextOffset = this->Store->nextOffset();
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->State.complete(NextOffset, &Message);
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

void Cluster::Implementation::sendAll(std::vector<OutgoingDatagram> Messages) {
  for (OutgoingDatagram &Each : Messages)
    this->send(std::move(Each.Message), this->addressOf(Each.To));
}

void Cluster::Implementation::ping(const Address &To) {
  proto::Datagram Message;
  Message.mutable_ping()->set_sequence(0);
  this->send(std::move(Message), To);
}

internal::PeerAddress
Cluster::Implementation::addressOf(const proto::Member &Member) const {
  return Address{this->Book.translate(Member.data_centre(), Member.address()),
                 static_cast<std::uint16_t>(Member.peer_port())};
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
  this->change([&](ClusterState *Group) {
    return Group->tick(Millis(this->Settings.probe_interval_ms()), Now,
                       wallNow());
  });
  this->probeSeeds(Now);
}

void Cluster::Implementation::probeSeeds(MonoTime Now) {
  const bool Joined = this->query(
      [](const ClusterState &Group) { return Group.members().size() > 1; });
  const Millis Interval =
      Joined ? internal::SeedIntervalWhenJoined : internal::SeedInterval;
  if (this->Settings.seeds().empty() || Now - this->LastSeedProbe < Interval)
    return;
  this->LastSeedProbe = Now;
  std::vector<std::string> Seeds(this->Settings.seeds().begin(),
                                 this->Settings.seeds().end());
  std::shuffle(Seeds.begin(), Seeds.end(), this->SeedRandom);
  Seeds.resize(std::min(Seeds.size(), Joined ? 1 : internal::SeedsAtOnce));
  for (const std::string &Seed : Seeds) {
    const Poco::Net::SocketAddress Parsed(Seed);
    this->ping(Address{Parsed.host().toString(), Parsed.port()});
  }
}

void Cluster::Implementation::pushConfigIfDue(MonoTime Now) {
  std::size_t Count = 0;
  if (this->PushWanted.exchange(false)) {
    this->SecondPushAt = Now + internal::SecondPushDelay;
    Count = internal::PushFanout;
  } else if (this->SecondPushAt && Now >= *this->SecondPushAt) {
    this->SecondPushAt.reset();
    Count = internal::SecondPushFanout;
  }
  if (Count > 0)
    this->change([&](ClusterState *Group) {
      return ClusterChange{false, false, Group->push(Count)};
    });
}

// Receiving.

void Cluster::Implementation::receiveLoop() {
  std::vector<char> Buffer(2 * MaxDatagramBytes);
  while (!this->Stopping) {
    try {
      this->receiveOne(&Buffer);
    } catch (const Poco::TimeoutException &) {
      continue;
    } catch (const Poco::Exception &Error) {
      logLine(LogLevel::Debug, "datagram could not be received",
              {{"error", Error.displayText()}});
    }
  }
}

void Cluster::Implementation::receiveOne(std::vector<char> *Buffer) {
  Poco::Net::SocketAddress From;
  const int Size = this->Socket.receiveFrom(
      Buffer->data(), static_cast<int>(Buffer->size()), From);
  proto::Datagram Message;
  if (Size <= 0 || !Message.ParseFromArray(Buffer->data(), Size))
    return;
  this->BytesReceived +=
      static_cast<std::size_t>(Size) + internal::UdpOverheadBytes;
  for (const proto::EvidenceCell &Cell : Message.evidence())
    this->Events.OnEvidenceReceived(Cell);
  this->change([&](ClusterState *Group) {
    return Group->receive(Message, monoNow(), wallNow());
  });
  this->considerSync(Message);
}

// Synchronisation.

void Cluster::Implementation::considerSync(const proto::Datagram &Message) {
  const std::uint64_t NextOffset = this->Store->nextOffset();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const DigestComparison Seen =
      this->State.compare(Message.digest(), NextOffset);
  const MonoTime Now = monoNow();
  if (Seen == DigestComparison::Equal)
    return;
  if (Seen == DigestComparison::Differs) {
    if (this->NextSync ||
        Now - this->LastAntiEntropy < internal::AntiEntropyInterval)
      return;
    this->LastAntiEntropy = Now;
  }
  this->NextSync =
      SyncTask{this->addressOf(Message.sender()),
               Seen == DigestComparison::Differs || !this->MembersFetched};
  this->SyncWanted.notify_one();
}

void Cluster::Implementation::syncLoop() {
  while (!this->Stopping) {
    SyncTask Task;
    {
      std::unique_lock<std::mutex> Lock(this->Mutex);
      this->SyncWanted.wait_for(Lock, internal::ReceiveTimeout, [this] {
        return this->Stopping || this->NextSync.has_value();
      });
      if (!this->NextSync)
        continue;
      Task = *std::exchange(this->NextSync, std::nullopt);
    }
    this->syncWith(Task);
  }
}

void Cluster::Implementation::syncWith(const SyncTask &Task) {
  proto::SyncRequest Request;
  Request.set_config_next_offset(this->Store->nextOffset());
  this->query([&](const ClusterState &Group) {
    Group.fillRequest(Task.WithMembers, &Request);
  });
  const std::string Bytes = Request.SerializeAsString();
  ++this->Syncs;
  this->BytesSent += Bytes.size();
  const auto Answer = requestSync(Task.Peer.Address, Task.Peer.Port, Bytes,
                                  internal::SyncTimeout);
  if (!Answer.ok()) {
    logLine(LogLevel::Debug, "sync failed",
            {{"peer", Task.Peer.Address},
             {"error", std::string(Answer.status().message())}});
    return;
  }
  this->BytesReceived += Answer->size();
  proto::SyncReply Reply;
  if (!Reply.ParseFromString(*Answer))
    return;
  // Before the reply is applied, whose observers may ask for it.
  if (Task.WithMembers)
    this->MembersFetched = true;
  this->applyReply(Reply);
}

void Cluster::Implementation::applyReply(const proto::SyncReply &Reply) {
  this->change([&](ClusterState *Group) {
    return Group->merge(Reply, monoNow(), wallNow());
  });
  this->Store->raiseMinServingOffset(Reply.floor_next_offset());
  if (Reply.has_state()) {
    const absl::Status Adopted = this->Store->installState(Reply.state());
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
  // Taken before the state, so that it is never above what the state allows.
  Reply.set_floor_next_offset(this->Store->minServingOffset());
  this->Store->fillSyncReply(Request.config_next_offset(),
                             internal::SyncRecordBytes, &Reply);
  this->query(
      [&](const ClusterState &Group) { Group.fillReply(Request, &Reply); });
  std::string Answer = Reply.SerializeAsString();
  this->BytesSent += Answer.size();
  return Answer;
}

// The public face.

Cluster::Cluster(const proto::NodeSettings &Settings, ConfigStore *Store,
                 ClusterCallbacks Events)
    : Impl(std::make_unique<Implementation>(Settings, Store,
                                            std::move(Events))) {}

Cluster::~Cluster() { this->Impl->stop(); }

absl::Status Cluster::start() { return this->Impl->start(); }

void Cluster::stop() { this->Impl->stop(); }

void Cluster::updateSelf(const proto::Member &Facts) {
  this->Impl->updateSelf(Facts);
}

void Cluster::publishFact(const proto::Fact &Fact) {
  this->Impl->publishFact(Fact);
}

void Cluster::sendEvidence(const std::vector<proto::EvidenceCell> &Cells,
                           const std::vector<std::string> &Nodes) {
  this->Impl->sendEvidence(Cells, Nodes);
}

void Cluster::join(const std::vector<proto::Member> &Known) {
  this->Impl->join(Known);
}

bool Cluster::hasFetchedMembers() const {
  return this->Impl->hasFetchedMembers();
}

bool Cluster::hasPeers() const {
  return this->Impl->query(
      [](const ClusterState &Group) { return Group.members().size() > 1; });
}

void Cluster::announceConfigChange() { this->Impl->announceConfigChange(); }

proto::Member Cluster::self() const {
  return this->Impl->query(
      [](const ClusterState &Group) { return Group.members().self(); });
}

std::vector<proto::Member> Cluster::members() const {
  return this->Impl->query(
      [](const ClusterState &Group) { return Group.members().all(); });
}

std::uint64_t Cluster::factLevel(proto::FactKind Kind,
                                 const std::string &Key) const {
  return this->Impl->query([&](const ClusterState &Group) {
    return Group.facts().level(Kind, Key);
  });
}

std::size_t Cluster::factCount(proto::FactKind Kind,
                               const std::string &Prefix) const {
  return this->Impl->query([&](const ClusterState &Group) {
    return Group.facts().countWithPrefix(Kind, Prefix);
  });
}

std::vector<proto::Fact> Cluster::facts() const {
  return this->Impl->query(
      [](const ClusterState &Group) { return Group.facts().all(); });
}

bool Cluster::hasRole(const std::string &Role, std::size_t Count) const {
  return this->Impl->query([&](const ClusterState &Group) {
    const MemberTable &Members = Group.members();
    return Members.hasRole(Role, Count, Members.self().node());
  });
}

ClusterTraffic Cluster::traffic() const { return this->Impl->traffic(); }

} // namespace persimmonquay
