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

constexpr Millis TickInterval{50};
constexpr Millis ReceiveTimeout{200};
constexpr Millis SyncTimeout{3000};
/// Minimum time between two syncs that are due to differing members or facts
/// alone. Syncs for newer configuration are not limited.
constexpr Millis AntiEntropyInterval{1000};
constexpr Millis SeedPingInterval{1000};
constexpr Millis SeedPingIntervalWhenJoined{10000};
constexpr std::size_t SeedsPerRound = 3;
/// Number of peers pinged immediately after a change of the configuration, and
/// number pinged again SecondConfigPushDelay later.
constexpr std::size_t ConfigPushFanout = 5;
constexpr std::size_t SecondConfigPushFanout = 3;
constexpr Millis SecondConfigPushDelay{200};
constexpr std::size_t MaxSyncRecordBytes = 256 << 10;
constexpr std::size_t MaxEvidencePerDatagram = 8;
/// IPv4 and UDP headers, counted for each datagram.
constexpr std::size_t UdpOverheadBytes = 28;

/// Address and peer port of a node.
struct PeerAddress {
  std::string Address;
  std::uint16_t Port = 0;
};

proto::Member makeOwnMember(const proto::NodeSettings &Settings) {
  proto::Member OwnMember;
  OwnMember.set_node(Settings.node());
  OwnMember.set_data_centre(Settings.data_centre());
  OwnMember.set_address(Settings.address());
  OwnMember.set_peer_port(Settings.peer_port());
  OwnMember.set_ingress_port(Settings.ingress_port());
  // Higher than any incarnation that an earlier process of this name has used.
  OwnMember.set_incarnation(static_cast<std::uint64_t>(unixMillis(wallNow())));
  return OwnMember;
}

FailureDetector makeFailureDetector(const proto::NodeSettings &Settings) {
  return FailureDetector::Builder()
      .probeInterval(Millis(Settings.probe_interval_ms()))
      .suspicionTimeout(Millis(Settings.suspicion_ms()))
      .build();
}

} // namespace internal

/// Connects ClusterState to sockets and threads. One mutex guards the state;
/// while it is held, no callback is called and no socket or store is used.
class Cluster::Implementation {
public:
  Implementation(const proto::NodeSettings &Settings, ConfigStore *Store,
                 ClusterCallbacks Callbacks)
      : Settings(Settings), Translator(Settings), Store(Store),
        Callbacks(std::move(Callbacks)),
        State(internal::makeOwnMember(Settings),
              internal::makeFailureDetector(Settings), std::random_device{}()),
        SeedRandom(std::random_device{}()) {}

  absl::Status start();
  void stop();
  void updateSelf(const proto::Member &OwnMember);
  void publishFact(const proto::Fact &Fact);
  void sendEvidence(const std::vector<proto::EvidenceCell> &Cells,
                    const std::vector<std::string> &Nodes);
  void join(const std::vector<proto::Member> &Members);
  void announceConfigChange();

  /// Calls `Query` with the state while holding the mutex.
  template <typename F> auto query(F &&Query) const {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return std::forward<F>(Query)(this->State);
  }

  ClusterTraffic traffic() const;
  bool hasFetchedMembers() const { return this->MembersFetched; }

private:
  using Address = internal::PeerAddress;

  /// A pending sync: the peer to fetch state from.
  struct SyncTask {
    Address Peer;
    /// Whether to fetch members too, not only configuration and facts.
    bool IncludeMembers = false;
  };

  /// Runs `Command` on the state while holding the mutex, then calls the
  /// callbacks and sends the datagrams of the resulting change.
  template <typename F> void change(F &&Command);

  void receiveLoop();
  void receiveOne(std::vector<char> *Buffer);
  void tickLoop();
  void tick();
  void pingSeeds(MonoTime Now);
  void pushConfigIfDue(MonoTime Now);

  void syncLoop();
  void scheduleSyncIfNeeded(const proto::Datagram &Message);
  void syncWithPeer(const SyncTask &Task);
  std::string handleSyncRequest(const std::string &Bytes);
  void applySyncReply(const proto::SyncReply &Reply);

  void send(proto::Datagram Message, const Address &Destination);
  void sendAll(std::vector<OutgoingDatagram> Messages);
  void ping(const Address &Destination);
  Address addressOf(const proto::Member &Member) const;

  const proto::NodeSettings Settings;
  const AddressTranslator Translator;
  ConfigStore *const Store;
  const ClusterCallbacks Callbacks;

  // Guards the fields from State to LastAntiEntropy.
  mutable std::mutex Mutex;
  ClusterState State;
  std::optional<SyncTask> NextSync;
  std::condition_variable SyncWakeup;
  MonoTime LastAntiEntropy{};

  // Used by the tick thread only.
  MonoTime LastSeedPing{};
  std::optional<MonoTime> SecondConfigPushAt;
  std::mt19937_64 SeedRandom;

  std::atomic<bool> ConfigPushPending = false;
  std::condition_variable TickWakeup;
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
    this->Callbacks.OnMembersChanged();
  if (Change.FactsChanged)
    this->Callbacks.OnFactsChanged();
  this->sendAll(std::move(Change.Datagrams));
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
  absl::Status ListenStatus = this->Server.start(
      this->Settings.address(), Port, [this](const std::string &Bytes) {
        return this->handleSyncRequest(Bytes);
      });
  if (!ListenStatus.ok())
    return ListenStatus;
  this->Threads.emplace_back([this] { this->receiveLoop(); });
  this->Threads.emplace_back([this] { this->tickLoop(); });
  this->Threads.emplace_back([this] { this->syncLoop(); });
  return absl::OkStatus();
}

void Cluster::Implementation::stop() {
  if (this->Threads.empty())
    return;
  this->change([](ClusterState *State) {
    proto::Member Departed = State->members().self();
    Departed.set_state(proto::LEFT);
    return State->updateSelf(Departed, monoNow());
  });
  this->Stopping = true;
  this->TickWakeup.notify_all();
  this->SyncWakeup.notify_all();
  for (std::thread &Thread : this->Threads)
    Thread.join();
  this->Threads.clear();
  this->Server.stop();
}

void Cluster::Implementation::updateSelf(const proto::Member &OwnMember) {
  this->change([&](ClusterState *State) {
    return State->updateSelf(OwnMember, monoNow());
  });
}

void Cluster::Implementation::publishFact(const proto::Fact &Fact) {
  this->change(
      [&](ClusterState *State) { return State->publishFact(Fact, wallNow()); });
}

void Cluster::Implementation::sendEvidence(
    const std::vector<proto::EvidenceCell> &Cells,
    const std::vector<std::string> &Nodes) {
  std::vector<Address> Destinations;
  this->query([&](const ClusterState &State) {
    for (const std::string &Node : Nodes)
      if (const proto::Member *Member = State.members().find(Node))
        Destinations.push_back(this->addressOf(*Member));
  });
  for (std::size_t First = 0; First < Cells.size();
       First += internal::MaxEvidencePerDatagram) {
    proto::Datagram Message;
    const std::size_t End =
        std::min(Cells.size(), First + internal::MaxEvidencePerDatagram);
    for (std::size_t I = First; I < End; ++I)
      *Message.add_evidence() = Cells[I];
    for (const Address &Destination : Destinations)
      this->send(Message, Destination);
  }
}

void Cluster::Implementation::join(const std::vector<proto::Member> &Members) {
  for (const proto::Member &Member : Members)
    if (Member.node() != this->Settings.node())
      this->ping(this->addressOf(Member));
}

void Cluster::Implementation::announceConfigChange() {
  this->ConfigPushPending = true;
  this->TickWakeup.notify_all();
}

ClusterTraffic Cluster::Implementation::traffic() const {
  return ClusterTraffic{this->DatagramsSent, this->BytesSent,
                        this->BytesReceived, this->Syncs};
}

// Sending.

void Cluster::Implementation::send(proto::Datagram Message,
                                   const Address &Destination) {
  const std::uint64_t NextOffset = this->Store->nextOffset();
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->State.addCommonFields(NextOffset, &Message);
  }
  const std::string Bytes = Message.SerializeAsString();
  try {
    this->Socket.sendTo(
        Bytes.data(), static_cast<int>(Bytes.size()),
        Poco::Net::SocketAddress(Destination.Address, Destination.Port));
  } catch (const Poco::Exception &Error) {
    logLine(LogLevel::Debug, "failed to send datagram",
            {{"to", Destination.Address}, {"error", Error.displayText()}});
    return;
  }
  ++this->DatagramsSent;
  this->BytesSent += Bytes.size() + internal::UdpOverheadBytes;
}

void Cluster::Implementation::sendAll(std::vector<OutgoingDatagram> Messages) {
  for (OutgoingDatagram &Datagram : Messages)
    this->send(std::move(Datagram.Message),
               this->addressOf(Datagram.Destination));
}

void Cluster::Implementation::ping(const Address &Destination) {
  proto::Datagram Message;
  Message.mutable_ping()->set_sequence(0);
  this->send(std::move(Message), Destination);
}

internal::PeerAddress
Cluster::Implementation::addressOf(const proto::Member &Member) const {
  return Address{
      this->Translator.translate(Member.data_centre(), Member.address()),
      static_cast<std::uint16_t>(Member.peer_port())};
}

// Periodic work.

void Cluster::Implementation::tickLoop() {
  while (!this->Stopping) {
    this->tick();
    std::unique_lock<std::mutex> Lock(this->TickMutex);
    this->TickWakeup.wait_for(Lock, internal::TickInterval, [this] {
      return this->Stopping || this->ConfigPushPending;
    });
  }
}

void Cluster::Implementation::tick() {
  const MonoTime Now = monoNow();
  this->pushConfigIfDue(Now);
  this->change([&](ClusterState *State) {
    return State->tick(Millis(this->Settings.probe_interval_ms()), Now,
                       wallNow());
  });
  this->pingSeeds(Now);
}

void Cluster::Implementation::pingSeeds(MonoTime Now) {
  const bool Joined = this->query(
      [](const ClusterState &State) { return State.members().size() > 1; });
  const Millis Interval = Joined ? internal::SeedPingIntervalWhenJoined
                                 : internal::SeedPingInterval;
  if (this->Settings.seeds().empty() || Now - this->LastSeedPing < Interval)
    return;
  this->LastSeedPing = Now;
  std::vector<std::string> Seeds(this->Settings.seeds().begin(),
                                 this->Settings.seeds().end());
  std::shuffle(Seeds.begin(), Seeds.end(), this->SeedRandom);
  Seeds.resize(std::min(Seeds.size(), Joined ? 1 : internal::SeedsPerRound));
  for (const std::string &Seed : Seeds) {
    const Poco::Net::SocketAddress SeedAddress(Seed);
    this->ping(Address{SeedAddress.host().toString(), SeedAddress.port()});
  }
}

void Cluster::Implementation::pushConfigIfDue(MonoTime Now) {
  std::size_t Count = 0;
  if (this->ConfigPushPending.exchange(false)) {
    this->SecondConfigPushAt = Now + internal::SecondConfigPushDelay;
    Count = internal::ConfigPushFanout;
  } else if (this->SecondConfigPushAt && Now >= *this->SecondConfigPushAt) {
    this->SecondConfigPushAt.reset();
    Count = internal::SecondConfigPushFanout;
  }
  if (Count > 0)
    this->change([&](ClusterState *State) {
      return ClusterChange{false, false, State->makeGossipPings(Count)};
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
      logLine(LogLevel::Debug, "failed to receive datagram",
              {{"error", Error.displayText()}});
    }
  }
}

void Cluster::Implementation::receiveOne(std::vector<char> *Buffer) {
  Poco::Net::SocketAddress Sender;
  const int Size = this->Socket.receiveFrom(
      Buffer->data(), static_cast<int>(Buffer->size()), Sender);
  proto::Datagram Message;
  if (Size <= 0 || !Message.ParseFromArray(Buffer->data(), Size))
    return;
  this->BytesReceived +=
      static_cast<std::size_t>(Size) + internal::UdpOverheadBytes;
  for (const proto::EvidenceCell &Cell : Message.evidence())
    this->Callbacks.OnEvidenceReceived(Cell);
  this->change([&](ClusterState *State) {
    return State->receive(Message, monoNow(), wallNow());
  });
  this->scheduleSyncIfNeeded(Message);
}

// State synchronisation.

void Cluster::Implementation::scheduleSyncIfNeeded(
    const proto::Datagram &Message) {
  const std::uint64_t NextOffset = this->Store->nextOffset();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const DigestComparison Comparison =
      this->State.compareDigest(Message.digest(), NextOffset);
  const MonoTime Now = monoNow();
  if (Comparison == DigestComparison::Equal)
    return;
  if (Comparison == DigestComparison::Differs) {
    if (this->NextSync ||
        Now - this->LastAntiEntropy < internal::AntiEntropyInterval)
      return;
    this->LastAntiEntropy = Now;
  }
  this->NextSync = SyncTask{this->addressOf(Message.sender()),
                            Comparison == DigestComparison::Differs ||
                                !this->MembersFetched};
  this->SyncWakeup.notify_one();
}

void Cluster::Implementation::syncLoop() {
  while (!this->Stopping) {
    SyncTask Task;
    {
      std::unique_lock<std::mutex> Lock(this->Mutex);
      this->SyncWakeup.wait_for(Lock, internal::ReceiveTimeout, [this] {
        return this->Stopping || this->NextSync.has_value();
      });
      if (!this->NextSync)
        continue;
      Task = *std::exchange(this->NextSync, std::nullopt);
    }
    this->syncWithPeer(Task);
  }
}

void Cluster::Implementation::syncWithPeer(const SyncTask &Task) {
  proto::SyncRequest Request;
  Request.set_config_next_offset(this->Store->nextOffset());
  this->query([&](const ClusterState &State) {
    State.fillSyncRequest(Task.IncludeMembers, &Request);
  });
  const std::string Bytes = Request.SerializeAsString();
  ++this->Syncs;
  this->BytesSent += Bytes.size();
  const auto ReplyBytes = requestSync(Task.Peer.Address, Task.Peer.Port, Bytes,
                                      internal::SyncTimeout);
  if (!ReplyBytes.ok()) {
    logLine(LogLevel::Debug, "state sync with peer failed",
            {{"peer", Task.Peer.Address},
             {"error", std::string(ReplyBytes.status().message())}});
    return;
  }
  this->BytesReceived += ReplyBytes->size();
  proto::SyncReply Reply;
  if (!Reply.ParseFromString(*ReplyBytes))
    return;
  // Set before the reply is applied: callbacks called while it is applied may
  // read the flag.
  if (Task.IncludeMembers)
    this->MembersFetched = true;
  this->applySyncReply(Reply);
}

void Cluster::Implementation::applySyncReply(const proto::SyncReply &Reply) {
  this->change([&](ClusterState *State) {
    return State->mergeSyncReply(Reply, monoNow(), wallNow());
  });
  this->Store->raiseMinServingOffset(Reply.floor_next_offset());
  if (Reply.has_state()) {
    const absl::Status InstallStatus = this->Store->installState(Reply.state());
    if (!InstallStatus.ok())
      logLine(LogLevel::Error,
              "configuration state received from peer was rejected",
              {{"error", std::string(InstallStatus.message())}});
  }
  for (const proto::StreamRecord &Record : Reply.records()) {
    const absl::Status ApplyStatus =
        this->Store->applyRecord(Record.offset(), Record.payload());
    if (absl::IsOutOfRange(ApplyStatus))
      return;
  }
}

std::string
Cluster::Implementation::handleSyncRequest(const std::string &Bytes) {
  proto::SyncRequest Request;
  proto::SyncReply Reply;
  if (!Request.ParseFromString(Bytes))
    return Reply.SerializeAsString();
  this->BytesReceived += Bytes.size();
  // Read before the configuration below, so that a concurrent update can't make
  // the minimum higher than the configuration in this reply allows.
  Reply.set_floor_next_offset(this->Store->minServingOffset());
  this->Store->fillSyncReply(Request.config_next_offset(),
                             internal::MaxSyncRecordBytes, &Reply);
  this->query(
      [&](const ClusterState &State) { State.fillSyncReply(Request, &Reply); });
  std::string ReplyBytes = Reply.SerializeAsString();
  this->BytesSent += ReplyBytes.size();
  return ReplyBytes;
}

// Forwarding to the implementation.

Cluster::Cluster(const proto::NodeSettings &Settings, ConfigStore *Store,
                 ClusterCallbacks Callbacks)
    : Impl(std::make_unique<Implementation>(Settings, Store,
                                            std::move(Callbacks))) {}

Cluster::~Cluster() { this->Impl->stop(); }

absl::Status Cluster::start() { return this->Impl->start(); }

void Cluster::stop() { this->Impl->stop(); }

void Cluster::updateSelf(const proto::Member &OwnMember) {
  this->Impl->updateSelf(OwnMember);
}

void Cluster::publishFact(const proto::Fact &Fact) {
  this->Impl->publishFact(Fact);
}

void Cluster::sendEvidence(const std::vector<proto::EvidenceCell> &Cells,
                           const std::vector<std::string> &Nodes) {
  this->Impl->sendEvidence(Cells, Nodes);
}

void Cluster::join(const std::vector<proto::Member> &Members) {
  this->Impl->join(Members);
}

bool Cluster::hasFetchedMembers() const {
  return this->Impl->hasFetchedMembers();
}

bool Cluster::hasPeers() const {
  return this->Impl->query(
      [](const ClusterState &State) { return State.members().size() > 1; });
}

void Cluster::announceConfigChange() { this->Impl->announceConfigChange(); }

proto::Member Cluster::self() const {
  return this->Impl->query(
      [](const ClusterState &State) { return State.members().self(); });
}

std::vector<proto::Member> Cluster::members() const {
  return this->Impl->query(
      [](const ClusterState &State) { return State.members().all(); });
}

std::uint64_t Cluster::factLevel(proto::FactKind Kind,
                                 const std::string &Key) const {
  return this->Impl->query([&](const ClusterState &State) {
    return State.facts().level(Kind, Key);
  });
}

std::size_t Cluster::factCount(proto::FactKind Kind,
                               const std::string &Prefix) const {
  return this->Impl->query([&](const ClusterState &State) {
    return State.facts().countWithPrefix(Kind, Prefix);
  });
}

std::vector<proto::Fact> Cluster::facts() const {
  return this->Impl->query(
      [](const ClusterState &State) { return State.facts().all(); });
}

bool Cluster::hasRole(const std::string &Role, std::size_t Count) const {
  return this->Impl->query([&](const ClusterState &State) {
    const MemberTable &Members = State.members();
    return Members.hasRole(Role, Count, Members.self().node());
  });
}

ClusterTraffic Cluster::traffic() const { return this->Impl->traffic(); }

} // namespace persimmonquay
