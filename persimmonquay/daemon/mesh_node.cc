#include "persimmonquay/daemon/mesh_node.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/link_server.h"
#include "persimmonquay/daemon/link_transmitter.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/daemon/sockets.h"
#include "persimmonquay/daemon/upstream_check.h"
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Number of consecutive heartbeats that may be missing before an upstream is
/// withdrawn. A heartbeat may be seconds late, and a dead upstream shows
/// earlier by refusing connections.
constexpr int MaxMissedHeartbeats = 6;

/// Number of heartbeats that may be missing before the upstream is asked
/// whether it has turned cold.
constexpr double MaxMissedBeforeColdCheck = 2.5;

/// Maximum number of data centres whose evacuations are kept. Every datagram
/// carries them.
constexpr std::size_t MaxEvacuations = 64;

/// Interval at which the node checks whether the upstream's heartbeats are
/// missing.
constexpr Millis UpstreamWatchInterval{500};

/// First part of the grace period, in which callers still arrive: they notice
/// only by two readiness checks, a second apart, that the node is stopping.
constexpr Millis CallerNoticeTime{2300};

/// Idle timeout of callers' connections while the node is stopping.
constexpr Millis ClosingIdleTimeout{700};

/// How long calls for the upstream are still admitted after the node has
/// announced that it is leaving.
constexpr Millis AdmissionLinger{300};

/// What is left of the grace period when the process ends even if requests or
/// calls are in progress.
constexpr Millis ShutdownMargin{400};

/// Time before the process ends by which the deadline of a new call must have
/// passed, so that its response or timeout still reaches the caller.
constexpr Millis ResponseMargin{100};

/// Interval at which the shutdown checks whether requests or calls are still in
/// progress.
constexpr Millis ShutdownCheckInterval{50};

/// How long the confirmation of an upstream's departure waits until the store
/// holds the departure. Leaves the upstream most of the second after which it
/// takes its message for lost.
constexpr Millis DepartureStoreTimeout{400};

/// Time after the start for which heartbeats wait for what the store and other
/// nodes know of this node's earlier runs: most of the time after which other
/// nodes connect again. Shorter than the second after which an upstream takes
/// its heartbeat for lost.
constexpr Millis HistoryTimeout{800};

/// Time for which they wait at most once the store has told which nodes to ask:
/// several round trips to those.
constexpr Millis ReplyTimeout{200};
constexpr Millis HistoryCheckInterval{10};

/// Time after the start from which on every heartbeat is trusted: late ones of
/// a departed upstream have arrived by then.
constexpr Millis MaxHeartbeatDelay{10000};

/// Log messages for a store that doesn't confirm this node's entry in time.
constexpr char DepartureNotStored[] = "departure of upstream not stored yet";
constexpr char CrashesNotStored[] = "crashes of upstream not stored yet";

/// Number of crashes in the stored entry; those of a few requests.
constexpr std::size_t MaxStoredCrashes = 16;

/// Interval at which the lag of the event loop is measured and buffered log
/// lines are written.
constexpr Millis LoopMeasureInterval{250};

/// Interval at which the traffic with other data centres is logged.
constexpr Millis TrafficLogInterval{10000};

constexpr char FollowRendezvousKey[] = "follow";

/// Time after the start within which a node learns its configuration, the other
/// nodes and its upstream: a few round trips to the store on a slow host.
constexpr Millis StartupTime{1500};

/// Time after the start during which a node lets the nodes that rank higher
/// follow the operator's records instead. Within it, connections are
/// established and directories compared.
constexpr Millis FollowerSettleTime{1500};

/// Time without a new node after which a node that starts for the first time
/// takes all nodes for known: longer than an announcement takes to reach them.
constexpr Millis DirectorySettleTime{3000};

/// Largest body that is accepted, as a share of the process's memory. A body is
/// read into memory as a whole before its call is routed.
constexpr double MaxBodyMemoryShare = 1.0 / 16;

/// Largest response body of the upstream, as a share of the process's memory.
/// As many responses as the upstream has slots may be read at the same time,
/// and each is copied when it is passed on.
constexpr double MaxResponseMemoryShare = 1.0 / 64;

/// Largest frame on a link, as a share of the process's memory: a call or a
/// reply with its body.
constexpr double MaxFrameMemoryShare = 1.0 / 4;

/// Largest amount of pipelined requests and of responses that wait for their
/// turn, as a share of the process's memory.
constexpr double MaxPipelineMemoryShare = 1.0 / 8;

/// Largest amount of answers that wait for the host's link, as a share of the
/// process's memory.
constexpr double MaxLinkMemoryShare = 1.0 / 8;

/// Memory that is assumed if the settings state none.
constexpr double DefaultMemoryMegabytes = 256;

/// Returns a share of the process's memory in bytes.
std::size_t memoryShare(const proto::SidecarSettings &Settings, double Share) {
  const double Megabytes =
      Settings.memory_mb() > 0 ? Settings.memory_mb() : DefaultMemoryMegabytes;
  return static_cast<std::size_t>(Megabytes * 1048576 * Share);
}

FrameLimits frameLimits(const proto::SidecarSettings &Settings) {
  FrameLimits Result;
  Result.MaxBytes = memoryShare(Settings, MaxFrameMemoryShare);
  return Result;
}

} // namespace internal

MeshNode::Builder::Builder(asio::io_context &IoContext,
                           proto::SidecarSettings NodeSettings)
    : Context(IoContext), Settings(std::move(NodeSettings)) {}

MeshNode::Builder &MeshNode::Builder::headerNames(HeaderNames PlatformNames) {
  this->Names = std::move(PlatformNames);
  return *this;
}

MeshNode::Builder &
MeshNode::Builder::statusWriter(RolloutDriver::StatusWriter StoreWriter) {
  this->Writer = std::move(StoreWriter);
  return *this;
}

MeshNode::Builder &MeshNode::Builder::entryWriter(EntryWriter StoreWriter) {
  this->WriteEntry = std::move(StoreWriter);
  return *this;
}

absl::StatusOr<std::unique_ptr<MeshNode>> MeshNode::Builder::build() {
  struct {
    const std::string &Text;
    Tcp::endpoint *Parsed;
  } const Addresses[] = {
      {this->Settings.caller_address(), &this->CallerAddress},
      {this->Settings.link_address(), &this->LinkAddress},
      {this->Settings.upstream_address(), &this->UpstreamAddress}};
  for (const auto &Address : Addresses) {
    const absl::StatusOr<Tcp::endpoint> Parsed = parseEndpoint(Address.Text);
    if (!Parsed.ok())
      return Parsed.status();
    *Address.Parsed = *Parsed;
  }
  return std::unique_ptr<MeshNode>(new MeshNode(*this));
}

MeshNode::MeshNode(const Builder &Setup)
    : Context(Setup.Context), Settings(Setup.Settings),
      CallerAddress(Setup.CallerAddress), LinkAddress(Setup.LinkAddress),
      UpstreamAddress(Setup.UpstreamAddress), Names(Setup.Names),
      WriteEntry(Setup.WriteEntry),
      Directory(Setup.Settings.node(),
                static_cast<std::uint64_t>(unixMillis(wallNow()))),
      Gate(Setup.Context, Setup.Names, Setup.UpstreamAddress, this->NodeMetrics,
           this->Crashes),
      ConfigSync(Setup.Context,
                 ConfigurationSync::Callbacks{
                     [this](std::shared_ptr<const RouteTable> Routes,
                            bool FetchedRemotely) {
                       this->handleAppliedConfiguration(std::move(Routes),
                                                        FetchedRemotely);
                     },
                     [this](const std::string &Node) {
                       return this->Router.linkTo(Node);
                     },
                     [this] { return this->reachableFollowers(); }}),
      Quotas(Setup.Context, Setup.Settings.node(), Setup.Settings.data_centre(),
             [this](const std::string &Node) {
               return this->Router.linkTo(Node);
             }),
      Router(
          CallRouterDependencies{
              Setup.Context, Setup.Names, Setup.Settings.service(),
              Setup.Settings.node(), Setup.Settings.data_centre(),
              RetryLimits{Setup.Settings.retry_budget_ratio(),
                          Setup.Settings.retry_budget_extra(),
                          Millis(static_cast<std::int64_t>(
                              Setup.Settings.retry_budget_window_s() * 1000))},
              internal::frameLimits(Setup.Settings), this->Gate, this->Rollouts,
              this->NodeMetrics, this->Crashes, this->Quotas,
              [this](MonoTime Since) {
                return this->ConfigSync.confirmNewest(Since);
              }},
          [this](proto::LinkFrame Frame) {
            this->ConfigSync.handleFrame(std::move(Frame));
          }),
      NodeGossip(Setup.Context, this->Directory, this->Rollouts, this->Crashes,
                 Gossip::Callbacks{
                     [this] { this->handleDirectoryChange(); },
                     [this](const std::string &Node, std::uint64_t Version) {
                       this->handlePeerVersion(Node, Version);
                     },
                     [this](const proto::RolloutProgress &Progress) {
                       this->Driver.mergeProgress(Progress);
                     },
                     [this](const proto::RolloutTally &Tally) {
                       this->Driver.mergeTally(Tally);
                     },
                     [this](bool RemembersEarlierRun, const Departures &Known) {
                       this->handleHistory(RemembersEarlierRun, Known);
                     },
                     [this](const proto::Evacuation &Copy) {
                       return this->mergeEvacuation(Copy);
                     }}),
      Driver(Setup.Context, this->Directory, this->Rollouts, this->NodeGossip,
             this->Gate,
             ExposureLimits{Setup.Settings.exposure_share(),
                            Setup.Settings.exposure_extra()},
             Setup.Writer),
      Transmitter(std::make_shared<LinkTransmitter>(
          Setup.Context, this->NodeMetrics,
          Setup.Settings.link_mbps() * BytesPerMegabit,
          internal::memoryShare(Setup.Settings, internal::MaxLinkMemoryShare))),
      WatchTimer(Setup.Context) {
  proto::NodeEntry OwnEntry;
  OwnEntry.set_data_centre(this->Settings.data_centre());
  OwnEntry.set_address(this->Settings.address());
  OwnEntry.set_link_port(this->LinkAddress.port());
  OwnEntry.set_link_mbps(
      static_cast<std::uint32_t>(this->Settings.link_mbps()));
  this->Directory.setOwnEntry(std::move(OwnEntry));
  this->Router.setConnectHandler(
      [this](const std::string &Node) { this->NodeGossip.welcome(Node); });
  this->Router.setGrantHandler([this](const proto::QuotaGrant &Grant) {
    this->Quotas.handleGrant(Grant);
  });
  this->Router.updateNodes(this->Directory);
  this->Router.setEvacuations(this->Evacuations);
  this->NodeGossip.setEvacuations(this->Evacuations);
  this->Gate.setCrashHandler([this](const CrashLedger::Records &Attributed) {
    this->handleCrash(Attributed);
  });
  this->Gate.setLeavingHandler([this](const proto::UpstreamEntry &Leaving) {
    this->handleLeaving(Leaving);
  });
  this->Gate.setMaxResponseBytes(
      internal::memoryShare(this->Settings, internal::MaxResponseMemoryShare));
}

MeshNode::~MeshNode() = default;

absl::Status MeshNode::start() {
  this->StartedAt = monoNow();
  this->Router.holdCallsUntil(this->StartedAt + internal::StartupTime);
  this->TrafficLoggedAt = this->StartedAt;
  absl::StatusOr<Tcp::acceptor> CallerListener =
      listenOn(this->Context, this->CallerAddress);
  if (!CallerListener.ok())
    return CallerListener.status();
  absl::StatusOr<Tcp::acceptor> LinkListener =
      listenOn(this->Context, this->LinkAddress);
  if (!LinkListener.ok())
    return LinkListener.status();
  if (!this->NodeGossip.start(
          Udp::endpoint(this->LinkAddress.address(), this->LinkAddress.port())))
    return absl::UnavailableError(
        "cannot open the UDP port of the link address");
  this->Callers = std::make_shared<CallerServer>(
      this->Context, [this] { return this->callerLimits(); },
      [this](std::shared_ptr<CallerRequest> Request) {
        return this->Router.serve(std::move(Request));
      });
  this->Callers->setIdempotencyCheck([this](const HttpRequest &Message) {
    return this->Router.isIdempotent(Message);
  });
  this->Links = std::make_shared<LinkServer>(
      this->Context, this->Gate, this->Transmitter,
      internal::frameLimits(this->Settings),
      [this](const proto::ConfigurationQuery &Query) {
        return this->ConfigSync.repliesTo(Query);
      });
  this->Links->setAskHandler([this](const proto::QuotaAsk &Ask) {
    return this->Quotas.handleAsk(Ask);
  });
  this->Callers->start(*std::move(CallerListener));
  this->Links->start(*std::move(LinkListener));
  this->Driver.start();
  asio::co_spawn(
      this->Context, [this] { return this->watchUpstream(); }, asio::detached);
  asio::co_spawn(
      this->Context, [this] { return this->measureLoopLag(); }, asio::detached);
  return absl::OkStatus();
}

CallerServerLimits MeshNode::callerLimits() const {
  CallerServerLimits Result;
  Result.MaxPipelineBytes =
      internal::memoryShare(this->Settings, internal::MaxPipelineMemoryShare);
  if (!this->Router.routes())
    return Result;
  const proto::CallerLimits &Limits =
      this->Router.routes()->configuration().limits();
  Result.Message.MaxHeaderBytes = Limits.max_header_bytes();
  Result.Message.MaxBodyBytes = std::min<std::uint64_t>(
      Limits.max_body_bytes(),
      internal::memoryShare(this->Settings, internal::MaxBodyMemoryShare));
  Result.HeaderTimeout = Millis(Limits.header_timeout_ms());
  Result.IdleTimeout = this->LongestIdleTimeout;
  return Result;
}

void MeshNode::applyConfiguration(proto::MeshConfiguration Next) {
  this->ConfigSync.apply(std::move(Next));
}

void MeshNode::handleAppliedConfiguration(
    std::shared_ptr<const RouteTable> Routes, bool FetchedRemotely) {
  this->LongestIdleTimeout =
      std::max(this->LongestIdleTimeout,
               Millis(Routes->configuration().limits().idle_timeout_ms()));
  this->ConfigurationAppliedAt = monoNow();
  this->NodeGossip.setConfigurationVersion(Routes->version());
  this->Quotas.setConfiguration(Routes->configuration());
  this->Router.setRoutes(std::move(Routes));
  this->updateColdLimits();
  this->checkStoredUpstream();
  if (this->UncheckedHeartbeat)
    asio::co_spawn(
        this->Context,
        [this, Received = *std::exchange(this->UncheckedHeartbeat, {})] {
          return this->applyHeartbeat(Received);
        },
        asio::detached);
  // Other data centres that are cut off from the store can then fetch the
  // configuration from here.
  if (this->FollowsStore)
    this->NodeGossip.announce();
  else if (FetchedRemotely)
    this->NodeGossip.announceLocally();
}

void MeshNode::handlePeerVersion(const std::string &Node,
                                 std::uint64_t Version) {
  if (const proto::NodeEntry *Entry = this->Directory.find(Node))
    this->ConfigSync.handlePeerVersion(
        Node, Entry->data_centre() == this->Settings.data_centre(), Version);
}

std::vector<std::string> MeshNode::reachableFollowers() const {
  std::vector<std::string> Result;
  std::vector<std::string> Remote;
  for (const proto::NodeEntry *Entry : this->Directory.activePeers()) {
    if (!this->NodeGossip.followsStore(Entry->node()))
      continue;
    const std::shared_ptr<PeerLink> Link = this->Router.linkTo(Entry->node());
    if (!Link || !Link->isUp())
      continue;
    const bool IsLocal = Entry->data_centre() == this->Settings.data_centre();
    (IsLocal ? Result : Remote).push_back(Entry->node());
  }
  return Result.empty() ? Remote : Result;
}

bool MeshNode::shouldFollowStore() {
  if (this->Stopping)
    return false;
  if (this->ConfigSync.isStale())
    return true;
  // Passing configurations on takes bandwidth, so hosts with more rank higher;
  // the rendezvous weight breaks ties.
  const auto Rank = [](const proto::NodeEntry &Entry) {
    return std::pair(
        Entry.link_mbps(),
        rendezvousWeight(internal::FollowRendezvousKey, Entry.node()));
  };
  const auto OwnRank = Rank(this->Directory.ownEntry());
  FollowerTurns::Standing Standing;
  Standing.IsFollowing = this->FollowsStore;
  std::size_t KnownHigher = 0;
  for (const proto::NodeEntry *Entry : this->Directory.activePeers()) {
    if (Entry->data_centre() != this->Settings.data_centre())
      continue;
    const bool IsHigher = Rank(*Entry) >= OwnRank;
    KnownHigher += IsHigher;
    // Nodes that have gone without notice stay in the directory.
    const std::shared_ptr<PeerLink> Link = this->Router.linkTo(Entry->node());
    if (!Link || !Link->isUp())
      continue;
    ++Standing.Nodes;
    Standing.HigherRanked += IsHigher;
    Standing.HigherFollowers +=
        IsHigher && this->NodeGossip.followsStore(Entry->node());
  }
  const MonoTime Now = monoNow();
  // Right after the start, other nodes may follow the records without this node
  // having heard of it yet.
  if (KnownHigher >= FollowerTurns::Followers &&
      Now - this->StartedAt < internal::FollowerSettleTime)
    return false;
  return this->FollowTurns.shouldFollow(Standing, Now);
}

void MeshNode::setFollowsStore(bool Enabled) {
  if (this->FollowsStore == Enabled)
    return;
  this->FollowsStore = Enabled;
  logLine(LogLevel::Info, Enabled
                              ? "following the operator's records"
                              : "no longer following the operator's records");
  this->ConfigSync.setServesPeers(Enabled);
  this->NodeGossip.setFollowsStore(Enabled);
  this->NodeGossip.announceLocally();
}

void MeshNode::addRolloutOrder(const proto::RolloutOrder &Order) {
  if (const proto::RolloutProgress *NewProgress = this->Driver.addOrder(Order))
    this->NodeGossip.broadcastProgress(*NewProgress);
}

bool MeshNode::mergeEvacuation(const proto::Evacuation &Copy) {
  const std::vector<proto::Evacuation> Known = this->Evacuations.all();
  const bool IsKnown =
      std::any_of(Known.begin(), Known.end(), [&](const auto &Other) {
        return Other.data_centre() == Copy.data_centre();
      });
  if (!IsKnown && Known.size() >= internal::MaxEvacuations) {
    logLine(LogLevel::Error, "evacuation ignored: there are too many",
            {{"evacuated", Copy.data_centre()}});
    return false;
  }
  if (!this->Evacuations.merge(Copy))
    return false;
  logLine(LogLevel::Warning,
          Copy.active() ? "data centre evacuated" : "evacuation has ended",
          {{"evacuated", Copy.data_centre()},
           {"number", std::to_string(Copy.number())}});
  if (Copy.data_centre() != this->Settings.data_centre())
    return true;
  this->Gate.setEvacuated(Copy.active());
  this->resolveColdDoubt();
  return true;
}

void MeshNode::addEvacuation(const proto::Evacuation &Copy) {
  if (this->mergeEvacuation(Copy))
    this->NodeGossip.announce();
}

void MeshNode::applyEvacuationList(const std::vector<proto::Evacuation> &Active,
                                   std::uint64_t ListNumber, bool IsSettled) {
  for (const proto::Evacuation &End :
       this->Evacuations.endedBy(Active, ListNumber, IsSettled))
    this->addEvacuation(End);
}

void MeshNode::mergeStoredNodes(const std::vector<proto::NodeEntry> &Entries) {
  this->KnownHistory.recordStoredEntries(!Entries.empty());
  const MonoTime Now = monoNow();
  if (!this->StoredNodesReadAt)
    this->StoredNodesReadAt = Now;
  std::vector<proto::NodeEntry> UpdatedEntries;
  for (proto::NodeEntry Entry : Entries) {
    this->Crashes.merge(Entry.crashes(), wallNow());
    Entry.clear_crashes();
    if (this->Directory.merge(Entry, Now) ==
        NodeDirectory::MergeResult::Updated)
      UpdatedEntries.push_back(Entry);
  }
  if (!UpdatedEntries.empty()) {
    this->handleDirectoryChange();
    this->NodeGossip.join(UpdatedEntries);
  }
  this->startKeepingQuotas();
}

void MeshNode::startKeepingQuotas() {
  if (this->Quotas.isKeeping())
    return;
  const MonoTime SettledSince =
      std::max(this->Quotas.nodesChangedAt(), this->StartedAt);
  if (!this->Settings.first_start() && this->KnownHistory.knowsMesh())
    this->Quotas.startKeeping("the stored nodes are known");
  else if (this->KnownHistory.hasJoined() &&
           monoNow() - SettledSince >= internal::DirectorySettleTime)
    this->Quotas.startKeeping("no further node has appeared");
}

void MeshNode::handleLeaving(const proto::UpstreamEntry &Leaving) {
  if (!this->Registry.recordLeaving(Leaving))
    return;
  this->handleUpstreamChange();
  this->storeDepartures();
}

void MeshNode::storeDepartures() {
  asio::co_spawn(
      this->Context,
      [this] { return this->storeEntry(internal::DepartureNotStored); },
      asio::detached);
}

void MeshNode::handleHistory(bool RemembersEarlierRun,
                             const Departures &Known) {
  this->KnownHistory.recordReply(RemembersEarlierRun);
  const bool AllKnown = std::all_of(
      Known.begin(), Known.end(), [this](const proto::DepartedUpstream &Each) {
        return hasDeparted(this->Registry.departures(), Each.instance(),
                           Each.started_up_to_unix_ms());
      });
  if (AllKnown)
    return;
  logLine(LogLevel::Info, "departures learned from another node",
          {{"departures", std::to_string(Known.size())}});
  if (this->Registry.restoreDepartures(Known))
    this->handleUpstreamChange();
  else
    this->updateOwnEntry();
  this->storeDepartures();
}

void MeshNode::handleCrash(const CrashLedger::Records &Attributed) {
  this->NodeGossip.broadcastCrashes(Attributed);
  const WallTime Now = wallNow();
  const bool IsRejected = std::any_of(
      Attributed.begin(), Attributed.end(),
      [this, Now](const proto::CrashRecord &Record) {
        return this->Crashes.decide(Record.fingerprint(), Now).Verdict ==
               CrashVerdict::Reject;
      });
  if (!IsRejected)
    return;
  for (const proto::CrashRecord &Record : Attributed)
    logLine(LogLevel::Warning, "request is rejected for the crashes it caused",
            {{"fingerprint", hashToHex(Record.fingerprint())}});
  asio::co_spawn(
      this->Context,
      [this] { return this->storeEntry(internal::CrashesNotStored); },
      asio::detached);
}

void MeshNode::handleDirectoryChange() {
  this->Router.updateNodes(this->Directory);
  this->Quotas.updateNodes(this->Directory);
}

proto::NodeEntry MeshNode::entryToStore() const {
  proto::NodeEntry Result = this->Directory.ownEntry();
  // Without boot and revision, any copy of the entry that arrives by datagram
  // counts as newer.
  Result.clear_boot();
  Result.clear_revision();
  Result.clear_leaving();
  if (Result.upstream().draining())
    Result.clear_upstream();
  Result.clear_departed_upstreams();
  for (const proto::DepartedUpstream &Departure : this->Registry.departures())
    *Result.add_departed_upstreams() = Departure;
  for (const proto::CrashRecord &Record :
       this->Crashes.rejected(internal::MaxStoredCrashes, wallNow()))
    *Result.add_crashes() = Record;
  return Result;
}

void MeshNode::restoreOwnEntry(const proto::NodeEntry &Stored) {
  this->KnownHistory.recordOwnStoredEntry();
  this->Crashes.merge(Stored.crashes(), wallNow());
  if (this->Registry.restoreDepartures(Stored.departed_upstreams()))
    this->handleUpstreamChange();
  else
    this->updateOwnEntry();
  if (!Stored.has_upstream())
    return;
  this->StoredUpstream = Stored.upstream();
  this->checkStoredUpstream();
}

const proto::MeshService *MeshNode::ownService() const {
  if (!this->Router.routes())
    return nullptr;
  for (const proto::MeshService &Service :
       this->Router.routes()->configuration().services())
    if (Service.name() == this->Settings.service())
      return &Service;
  return nullptr;
}

std::string MeshNode::healthPath() const {
  const proto::MeshService *Service = this->ownService();
  return Service == nullptr ? std::string() : Service->health_path();
}

void MeshNode::updateColdLimits() {
  const proto::MeshService *Service = this->ownService();
  if (Service != nullptr)
    this->Gate.setColdLimits(Millis(Service->cold_duration_ms()),
                             Service->cold_rate_per_s());
}

void MeshNode::resolveColdDoubt(bool HeartbeatsMissing) {
  const proto::MeshService *Service = this->ownService();
  const bool IsInDoubt = this->Gate.isColdAssumed() || HeartbeatsMissing;
  if (!IsInDoubt || Service == nullptr || Service->cold_rate_per_s() <= 0 ||
      Service->health_path().empty() || this->Stopping ||
      std::exchange(this->IsCheckingColdness, true))
    return;
  asio::co_spawn(
      this->Context,
      [this, Path = Service->health_path(), HeartbeatsMissing] {
        return this->checkColdness(Path, HeartbeatsMissing);
      },
      asio::detached);
}

asio::awaitable<void> MeshNode::checkColdness(std::string HealthPath,
                                              bool HeartbeatsMissing) {
  const bool HadEnded = this->Gate.hasUpstreamEnded();
  const UpstreamHealth Health = co_await checkUpstream(
      this->Context, this->UpstreamAddress, std::move(HealthPath), this->Names);
  this->IsCheckingColdness = false;
  // The response may have been sent before an end that was noticed since.
  if (Health.ColdRemaining && this->Gate.upstream() &&
      Health.RespondingInstance == this->Gate.upstream()->instance() &&
      HadEnded == this->Gate.hasUpstreamEnded())
    this->Gate.recordColdRemaining(*Health.ColdRemaining, "health check");
  else if (HeartbeatsMissing)
    this->Gate.assumeCold("its heartbeats are missing");
}

void MeshNode::checkStoredUpstream() {
  // What the upstream has reported itself is newer than the stored entry.
  if (this->Registry.hasSeenUpstream())
    this->StoredUpstream.reset();
  const std::string Path = this->healthPath();
  if (!this->StoredUpstream || Path.empty() ||
      this->StoredUpstream->service() != this->Settings.service())
    return;
  asio::co_spawn(
      this->Context, [this, Path] { return this->restoreIfSameInstance(Path); },
      asio::detached);
}

asio::awaitable<void> MeshNode::restoreIfSameInstance(std::string HealthPath) {
  const proto::UpstreamEntry Stored =
      *std::exchange(this->StoredUpstream, std::nullopt);
  const UpstreamHealth Health = co_await checkUpstream(
      this->Context, this->UpstreamAddress, std::move(HealthPath), this->Names);
  const std::optional<std::string> &RespondingInstance = Health.HealthyInstance;
  const bool IsSameInstance = RespondingInstance == Stored.instance();
  logLine(
      LogLevel::Info, "stored upstream checked",
      {{"instance", Stored.instance()},
       {"answering", RespondingInstance.value_or("none")},
       {"outcome", IsSameInstance ? "restored" : "its heartbeat is awaited"}});
  if (!IsSameInstance || this->Stopping ||
      !this->Registry.restore(Stored, monoNow()))
    co_return;
  this->handleUpstreamChange();
  if (Health.ColdRemaining)
    this->Gate.recordColdRemaining(*Health.ColdRemaining, "health check");
}

asio::awaitable<bool> MeshNode::awaitDepartures() {
  if (this->Settings.first_start())
    co_return true;
  asio::steady_timer Timer(this->Context);
  while (true) {
    const MonoTime Now = monoNow();
    if (Now - this->StartedAt >= internal::MaxHeartbeatDelay)
      co_return true;
    const bool HasWaited =
        Now - this->StartedAt >= internal::HistoryTimeout ||
        (this->StoredNodesReadAt &&
         Now - *this->StoredNodesReadAt >= internal::ReplyTimeout);
    const HeartbeatTrust Trust = this->KnownHistory.trust(HasWaited);
    if (Trust != HeartbeatTrust::Wait)
      co_return Trust == HeartbeatTrust::Trusted;
    Timer.expires_after(internal::HistoryCheckInterval);
    co_await Timer.async_wait(NoThrow);
  }
}

asio::awaitable<bool>
MeshNode::confirmsByHealthCheck(const Heartbeat &Received) {
  const std::string Instance = Received.Instance;
  const std::string Path = this->healthPath();
  if (Path.empty()) {
    this->UncheckedHeartbeat = Received;
    co_return false;
  }
  const std::optional<std::string> RespondingInstance =
      (co_await checkUpstream(this->Context, this->UpstreamAddress, Path,
                              this->Names))
          .HealthyInstance;
  const bool IsConfirmed = RespondingInstance == Instance;
  logLine(LogLevel::Info, "heartbeat checked",
          {{"instance", Instance},
           {"answering", RespondingInstance.value_or("none")},
           {"outcome", IsConfirmed ? "applied" : "the next one is awaited"}});
  co_return IsConfirmed;
}

asio::awaitable<void> MeshNode::applyHeartbeat(Heartbeat Received) {
  // A departure is binding whoever remembers what.
  const bool MayBringBack =
      !Received.Draining && !this->Registry.isRegistered(Received);
  // Whether or not it can be trusted to be in use.
  if (MayBringBack && Received.ColdRemaining > Millis{0})
    this->Gate.assumeCold("a heartbeat of another incarnation says so");
  if (MayBringBack && !co_await this->awaitDepartures() &&
      !co_await this->confirmsByHealthCheck(Received))
    co_return;
  if (this->Registry.apply(Received, monoNow()))
    this->handleUpstreamChange();
  // After an end of the upstream, a heartbeat of the incarnation that has ended
  // may have been sent before.
  const bool MayBeOutdated =
      this->Gate.hasUpstreamEnded() && this->Gate.isColdAssumed();
  if (this->Registry.isLatest(Received) && !MayBeOutdated)
    this->Gate.recordColdRemaining(Received.ColdRemaining, "heartbeat");
  if (!Received.Draining)
    co_return;
  this->updateOwnEntry();
  co_await this->storeEntry(internal::DepartureNotStored);
}

asio::awaitable<void>
MeshNode::deregisterUpstream(std::string Instance,
                             std::uint64_t StartedUnixMs) {
  const std::optional<proto::UpstreamEntry> Known = this->Registry.upstream();
  const bool Changed =
      this->Registry.deregister(Instance, StartedUnixMs, wallNow());
  logLine(LogLevel::Info, "upstream deregistered",
          {{"instance", Instance},
           {"started_unix_ms", std::to_string(StartedUnixMs)},
           {"known_instance", Known ? Known->instance() : ""},
           {"known_started_unix_ms",
            Known ? std::to_string(Known->started_unix_ms()) : ""},
           {"outcome", Changed ? "withdrawn" : "was not in use"}});
  if (Changed)
    this->handleUpstreamChange();
  else
    this->updateOwnEntry();
  co_await this->storeEntry(internal::DepartureNotStored);
}

asio::awaitable<void> MeshNode::storeEntry(std::string FailureMessage) {
  if (!this->WriteEntry)
    co_return;
  const absl::Status Result =
      co_await this->WriteEntry(internal::DepartureStoreTimeout);
  if (Result.ok())
    co_return;
  logLine(LogLevel::Warning, FailureMessage,
          {{"error", std::string(Result.message())}});
  // The other nodes are the only memory then, and a datagram may be lost.
  this->NodeGossip.announce();
}

void MeshNode::handleUpstreamChange() {
  const std::optional<proto::UpstreamEntry> &Upstream =
      this->Registry.upstream();
  logLine(LogLevel::Info, "upstream changed",
          {{"instance", Upstream ? Upstream->instance() : ""},
           {"service", Upstream ? Upstream->service() : ""},
           {"version", Upstream ? Upstream->version() : ""},
           {"state", !Upstream              ? "gone"
                     : Upstream->draining() ? "draining"
                                            : "ready"}});
  this->Gate.setUpstream(Upstream);
  this->updateOwnEntry();
}

void MeshNode::updateOwnEntry() {
  proto::NodeEntry OwnEntry = this->Directory.ownEntry();
  if (this->Registry.upstream())
    *OwnEntry.mutable_upstream() = *this->Registry.upstream();
  else
    OwnEntry.clear_upstream();
  mergeDepartures(*OwnEntry.mutable_departed_upstreams(),
                  this->Registry.departures());
  OwnEntry.set_leaving(this->Stopping);
  if (!this->Directory.setOwnEntry(std::move(OwnEntry)))
    return;
  this->NodeGossip.announce();
  this->handleDirectoryChange();
}

asio::awaitable<void> MeshNode::watchUpstream() {
  const Millis MaxSilence(
      static_cast<std::int64_t>(this->Settings.registration_interval_s() *
                                1000 * internal::MaxMissedHeartbeats));
  const Millis HeartbeatInterval(static_cast<std::int64_t>(
      this->Settings.registration_interval_s() * 1000));
  while (!this->Stopping) {
    this->WatchTimer.expires_after(internal::UpstreamWatchInterval);
    co_await this->WatchTimer.async_wait(NoThrow);
    // After a pause of this process, heartbeats may wait to be read.
    const auto Pause = monoNow() - this->WatchTimer.expiry();
    if (Pause > internal::UpstreamWatchInterval) {
      if (Pause > HeartbeatInterval)
        this->Gate.assumeCold("this process has been paused");
      this->resolveColdDoubt();
      continue;
    }
    if (this->Registry.expire(MaxSilence, monoNow()))
      this->handleUpstreamChange();
    const MonoTime Now = monoNow();
    const bool HeartbeatsMissing =
        Now - std::max(this->Registry.lastSeenAt(), this->SilenceCheckedAt) >
        HeartbeatInterval * internal::MaxMissedBeforeColdCheck;
    if (HeartbeatsMissing)
      this->SilenceCheckedAt = Now;
    this->resolveColdDoubt(HeartbeatsMissing);
    this->startKeepingQuotas();
    if (monoNow() - this->TrafficLoggedAt >= internal::TrafficLogInterval)
      this->logTraffic();
  }
}

asio::awaitable<void> MeshNode::measureLoopLag() {
  asio::steady_timer Timer(this->Context);
  while (!this->Stopping) {
    Timer.expires_after(internal::LoopMeasureInterval);
    co_await Timer.async_wait(NoThrow);
    this->NodeMetrics.recordLoopLag(
        std::chrono::duration_cast<Micros>(monoNow() - Timer.expiry()));
    flushLogs();
  }
}

std::string MeshNode::metricsText() {
  const proto::LoadReport Load = this->Gate.load();
  Metrics &Gauges = this->NodeMetrics;
  Gauges.setGauge("pq_gate_running", "Calls at the own upstream",
                  Load.running());
  Gauges.setGauge("pq_gate_waiting", "Calls that wait for the own upstream",
                  Load.waiting());
  Gauges.setGauge("pq_gate_slots", "Slots of the own upstream", Load.slots());
  Gauges.setGauge("pq_gate_limit",
                  "Calls a second that the own upstream takes, 0 if it names "
                  "no limit",
                  Load.limit_per_s());
  Gauges.setGauge("pq_upstream_cold_seconds",
                  "How much longer the own upstream is cold",
                  Load.cold_ms() / 1000.0);
  Gauges.setGauge("pq_upstream_cold_rejections",
                  "Calls rejected because the own upstream was cold",
                  static_cast<double>(this->Gate.coldRejections()));
  Gauges.setGauge("pq_evacuated_data_centres",
                  "Data centres that the operator has evacuated",
                  static_cast<double>(this->Evacuations.activeCount()));
  Gauges.setGauge("pq_gate_work_percent",
                  "How long work takes on the own upstream's host, 100 as "
                  "usual, 0 if unknown",
                  Load.work_percent());
  Gauges.setGauge("pq_gate_turned_away",
                  "Part of the calls that the own upstream had no room for "
                  "lately, 0 to 1",
                  this->Gate.rejectedShare());
  Gauges.setGauge("pq_configuration_version", "Configuration in force",
                  this->Router.routes()
                      ? static_cast<double>(this->Router.routes()->version())
                      : 0);
  Gauges.setGauge(
      "pq_configuration_age_seconds",
      "Time since the configuration came into force",
      std::chrono::duration<double>(monoNow() - this->ConfigurationAppliedAt)
          .count());
  Gauges.setGauge("pq_nodes", "Nodes known, this one included",
                  static_cast<double>(this->Directory.entries().size()));
  Gauges.setGauge("pq_crash_records",
                  "Crashes of upstreams that are attributed to requests",
                  static_cast<double>(this->Crashes.size()));
  Gauges.setGauge("pq_following", "Whether this node follows the store",
                  this->FollowsStore ? 1 : 0);
  Gauges.setGauge("pq_rollouts", "Orders to bring in a version that are known",
                  static_cast<double>(this->Rollouts.all().size()));
  const LinkStatistics Link = this->Transmitter->statistics();
  Gauges.setGauge("pq_link_waiting_bytes",
                  "Bytes for other nodes that the kernel has not taken yet",
                  static_cast<double>(Link.WaitingBytes));
  Gauges.setGauge("pq_link_waiting_bytes_largest",
                  "The most of them for one node",
                  static_cast<double>(Link.LargestWaitingBytes));
  Gauges.setGauge("pq_link_waiting_answer_bytes",
                  "Bytes of answers that wait for their turn on the link",
                  static_cast<double>(Link.WaitingAnswerBytes));
  Gauges.setGauge("pq_link_backlog_seconds",
                  "How long the link takes for what waits",
                  std::chrono::duration<double>(Link.Backlog).count());
  Gauges.setGauge("pq_link_rejected_calls",
                  "Calls rejected because of the link since the start",
                  static_cast<double>(Link.RejectedCalls));
  const LinkTraffic RemoteTraffic = this->Router.crossDataCentreTraffic();
  Gauges.setGauge("pq_far_call_bytes", "Bytes of calls between data centres",
                  static_cast<double>(RemoteTraffic.CallBytes +
                                      RemoteTraffic.ReplyBytes +
                                      RemoteTraffic.RejectionBytes));
  Gauges.setGauge("pq_far_control_bytes", "Other bytes between data centres",
                  static_cast<double>(RemoteTraffic.ConfigurationBytes +
                                      RemoteTraffic.OtherBytes +
                                      this->NodeGossip.remoteBytes()));
  const QuotaCounts &Quota = this->Quotas.counts();
  Gauges.setGauge("pq_quota_admitted", "Calls within their account's quota",
                  static_cast<double>(Quota.Admitted));
  Gauges.setGauge("pq_quota_refused", "Calls beyond their account's quota",
                  static_cast<double>(Quota.Refused));
  Gauges.setGauge("pq_quota_unavailable",
                  "Calls refused because no keeper of the quota was reached",
                  static_cast<double>(Quota.Unavailable));
  Gauges.setGauge("pq_quota_given_back",
                  "Calls within a quota that did not run",
                  static_cast<double>(Quota.GivenBack));
  Gauges.setGauge("pq_quota_asks_sent", "Asks sent to keepers of quotas",
                  static_cast<double>(Quota.AsksSent));
  Gauges.setGauge("pq_quota_asks_handled", "Asks handled as keeper of quotas",
                  static_cast<double>(Quota.AsksHandled));
  Gauges.setGauge("pq_quota_granted", "Calls granted as keeper of quotas",
                  static_cast<double>(this->Quotas.keeper().granted()));
  Gauges.setGauge(
      "pq_quota_lent", "Calls granted to other data centres",
      static_cast<double>(this->Quotas.keeper().grantedElsewhere()));
  Gauges.setGauge("pq_quota_kept_accounts", "Accounts whose quota is kept here",
                  static_cast<double>(this->Quotas.keeper().accountCount()));
  Gauges.setGauge("pq_quota_accounts",
                  "Accounts with a quota whose callers were here lately",
                  static_cast<double>(this->Quotas.accountCount()));
  Gauges.setGauge("pq_log_lines_dropped",
                  "Log lines dropped since their reader stalled",
                  static_cast<double>(droppedLogLines()));
  return Gauges.text();
}

void MeshNode::logTraffic() {
  this->TrafficLoggedAt = monoNow();
  const LinkStatistics Link = this->Transmitter->statistics();
  logLine(LogLevel::Info, "answers to other nodes since the start",
          {{"whole", std::to_string(Link.WholeAnswers)},
           {"in_parts", std::to_string(Link.PartedAnswers)},
           {"dropped", std::to_string(Link.DroppedAnswers)},
           {"rejected_calls", std::to_string(Link.RejectedCalls)},
           {"waiting_bytes", std::to_string(Link.WaitingBytes)},
           {"largest_bytes", std::to_string(Link.LargestWaitingBytes)}});
  const LinkTraffic RemoteTraffic = this->Router.crossDataCentreTraffic();
  logLine(LogLevel::Info, "bytes between data centres since the start",
          {{"calls", std::to_string(RemoteTraffic.CallBytes)},
           {"answers", std::to_string(RemoteTraffic.ReplyBytes)},
           {"rejections", std::to_string(RemoteTraffic.RejectionBytes)},
           {"configurations", std::to_string(RemoteTraffic.ConfigurationBytes)},
           {"other", std::to_string(RemoteTraffic.OtherBytes)},
           {"datagrams", std::to_string(this->NodeGossip.remoteBytes())}});
}

bool MeshNode::isReady() const {
  return !this->Stopping && this->Router.routes() != nullptr &&
         this->Router.hasReachableUpstream();
}

void MeshNode::stopGracefully(std::function<void()> OnStopped) {
  if (this->Stopping)
    return;
  this->Stopping = true;
  logLine(LogLevel::Info, "stopping",
          {{"requests", std::to_string(this->Callers->requestsInFlight())},
           {"calls", std::to_string(this->Gate.callsInFlight())}});
  asio::co_spawn(
      this->Context,
      [this, OnStopped = std::move(OnStopped)] {
        return this->shutDown(OnStopped);
      },
      asio::detached);
}

asio::awaitable<void> MeshNode::shutDown(std::function<void()> OnStopped) {
  const MonoTime ShutdownStart = monoNow();
  const MonoTime ShutdownDeadline =
      ShutdownStart +
      Millis(
          static_cast<std::int64_t>(this->Settings.grace_period_s() * 1000)) -
      internal::ShutdownMargin;
  const MonoTime LastCallDeadline = ShutdownDeadline - internal::ResponseMargin;
  this->Gate.rejectCallsPast(LastCallDeadline);
  asio::steady_timer Timer(this->Context);
  Timer.expires_at(
      std::min(ShutdownStart + internal::CallerNoticeTime, ShutdownDeadline));
  co_await Timer.async_wait(NoThrow);
  this->Router.rejectCallsPast(LastCallDeadline);
  this->updateOwnEntry();
  this->Callers->startDraining(internal::ClosingIdleTimeout);
  Timer.expires_after(internal::AdmissionLinger);
  co_await Timer.async_wait(NoThrow);
  this->Gate.stopAdmitting();
  Timer.expires_after(internal::ClosingIdleTimeout);
  co_await Timer.async_wait(NoThrow);
  this->Callers->stopAccepting();
  // A keep-alive connection may carry one more request until it is closed.
  while (monoNow() < ShutdownDeadline &&
         (this->Callers->connectionCount() > 0 ||
          this->Gate.callsInFlight() > 0 || !this->Transmitter->isIdle())) {
    Timer.expires_after(internal::ShutdownCheckInterval);
    co_await Timer.async_wait(NoThrow);
  }
  this->Callers->closeIdleConnections();
  logLine(LogLevel::Info, "stopped",
          {{"requests", std::to_string(this->Callers->requestsInFlight())},
           {"calls", std::to_string(this->Gate.callsInFlight())}});
  // Lets the event loop send the replies that were queued last.
  Timer.expires_after(internal::ShutdownCheckInterval);
  co_await Timer.async_wait(NoThrow);
  this->Links->stop();
  this->Router.stop();
  this->ConfigSync.stop();
  this->NodeGossip.stop();
  this->Driver.stop();
  OnStopped();
}

} // namespace persimmonquay
