#include "persimmonquay/daemon/mesh_node.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/link_server.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/daemon/sockets.h"
#include "persimmonquay/daemon/upstream_check.h"
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Heartbeats in a row that may be missing before an upstream is withdrawn; a
/// heartbeat may be seconds late, and a dead upstream refuses connections.
constexpr int MissingHeartbeats = 6;

/// Interval at which a silent upstream is looked for.
constexpr Millis WatchInterval{500};

/// Parts of the grace period: until then callers still come, since they notice
/// only by two readiness checks a second apart that the node stops.
constexpr Millis CallersNotice{2300};

/// Idle time of callers' connections while the node stops.
constexpr Millis ClosingIdle{700};

/// Time after the upstream's calls were refused until the links are closed.
constexpr Millis LinkLinger{300};

/// Left of the grace period when the process ends whatever is under way.
constexpr Millis EndMargin{400};

constexpr Millis ShutdownCheckInterval{50};

/// Interval at which the lateness of the event loop is measured and log lines
/// are written.
constexpr Millis LoopMeasureInterval{250};

/// Interval at which the traffic with other data centres is logged.
constexpr Millis TrafficLogInterval{10000};

/// Nodes of a data centre that read what operators write; a second one, so
/// that the loss of one delays nothing.
constexpr std::size_t Followers = 2;
constexpr char FollowDuty[] = "follow";

/// Time after the start in which a node learns its configuration, the other
/// nodes and its upstream: a few round trips to the store on a slow host.
constexpr Millis StartTime{1500};

/// Time after the start in which nodes with a better claim are left to begin to
/// follow: connections are made and datagrams compared within it.
constexpr Millis FollowersSettle{1500};

/// Longest body that is kept in memory, as a part of the process's memory; the
/// whole body is read before the call is placed.
constexpr double BodyPartOfMemory = 1.0 / 16;

Tcp::endpoint orUnset(const absl::StatusOr<Tcp::endpoint> &Parsed) {
  return Parsed.ok() ? *Parsed : Tcp::endpoint();
}

} // namespace internal

MeshNode::Builder::Builder(asio::io_context &Loop,
                           proto::SidecarSettings NodeSettings)
    : Context(Loop), Settings(std::move(NodeSettings)) {}

MeshNode::Builder &MeshNode::Builder::headerNames(HeaderNames Words) {
  this->Names = std::move(Words);
  return *this;
}

MeshNode::Builder &
MeshNode::Builder::statusWriter(RolloutDriver::StatusWriter StoreWriter) {
  this->Writer = std::move(StoreWriter);
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
  for (const auto &Each : Addresses) {
    const absl::StatusOr<Tcp::endpoint> Parsed = parseEndpoint(Each.Text);
    if (!Parsed.ok())
      return Parsed.status();
    *Each.Parsed = *Parsed;
  }
  return std::unique_ptr<MeshNode>(new MeshNode(*this));
}

MeshNode::MeshNode(const Builder &Parts)
    : Context(Parts.Context), Settings(Parts.Settings),
      CallerAddress(Parts.CallerAddress), LinkAddress(Parts.LinkAddress),
      UpstreamAddress(Parts.UpstreamAddress), Names(Parts.Names),
      Nodes(Parts.Settings.node(),
            static_cast<std::uint64_t>(unixMillis(wallNow()))),
      Gate(Parts.Context, Parts.Names, Parts.UpstreamAddress, this->Counts),
      Configurations(
          Parts.Context,
          ConfigurationSync::Events{
              [this](std::shared_ptr<const RouteTable> Routes, bool Fetched) {
                this->configurationApplied(std::move(Routes), Fetched);
              },
              [this](const std::string &Node) {
                return this->Outbound.linkTo(Node);
              }}),
      Outbound(
          CallRouterDependencies{
              Parts.Context, Parts.Names, Parts.Settings.service(),
              Parts.Settings.node(), Parts.Settings.data_centre(),
              RetryLimits{Parts.Settings.retry_budget_ratio(),
                          Parts.Settings.retry_budget_extra(),
                          Millis(static_cast<std::int64_t>(
                              Parts.Settings.retry_budget_window_s() * 1000))},
              this->Gate, this->Rollouts, this->Counts},
          [this](proto::LinkFrame Frame) {
            this->Configurations.take(std::move(Frame));
          }),
      Messenger(Parts.Context, this->Nodes, this->Rollouts,
                Gossip::Events{
                    [this] { this->nodesChanged(); },
                    [this](const std::string &Node, std::uint64_t Version) {
                      this->configurationTold(Node, Version);
                    },
                    [this](const proto::RolloutProgress &Progress) {
                      this->Driver.learn(Progress);
                    },
                    [this](const proto::RolloutTally &Tally) {
                      this->Driver.count(Tally);
                    }}),
      Driver(Parts.Context, this->Nodes, this->Rollouts, this->Messenger,
             this->Gate,
             ExposureLimits{Parts.Settings.exposure_share(),
                            Parts.Settings.exposure_extra()},
             Parts.Writer),
      WatchTimer(Parts.Context) {
  proto::NodeEntry Own;
  Own.set_data_centre(this->Settings.data_centre());
  Own.set_address(this->Settings.address());
  Own.set_link_port(this->LinkAddress.port());
  Own.set_link_mbps(static_cast<std::uint32_t>(this->Settings.link_mbps()));
  this->Nodes.setOwnEntry(std::move(Own));
  this->Outbound.updateNodes(this->Nodes);
}

MeshNode::~MeshNode() = default;

absl::Status MeshNode::start() {
  this->StartedAt = monoNow();
  this->Outbound.holdCallsUntil(this->StartedAt + internal::StartTime);
  this->TrafficLoggedAt = this->StartedAt;
  absl::StatusOr<Tcp::acceptor> CallerListener =
      listenOn(this->Context, this->CallerAddress);
  if (!CallerListener.ok())
    return CallerListener.status();
  absl::StatusOr<Tcp::acceptor> LinkListener =
      listenOn(this->Context, this->LinkAddress);
  if (!LinkListener.ok())
    return LinkListener.status();
  if (!this->Messenger.start(
          Udp::endpoint(this->LinkAddress.address(), this->LinkAddress.port())))
    return absl::UnavailableError("can't open the link port for datagrams");
  this->Callers = std::make_shared<CallerServer>(
      this->Context, [this] { return this->callerLimits(); },
      [this](std::shared_ptr<CallerRequest> Request) {
        return this->Outbound.serve(std::move(Request));
      });
  this->Links = std::make_shared<LinkServer>(
      this->Context, this->Gate,
      [this](std::uint64_t Have) { return this->Configurations.since(Have); });
  this->Callers->start(*std::move(CallerListener));
  this->Links->start(*std::move(LinkListener));
  this->Driver.start();
  asio::co_spawn(
      this->Context, [this] { return this->watchUpstream(); }, asio::detached);
  asio::co_spawn(
      this->Context, [this] { return this->measureLoop(); }, asio::detached);
  return absl::OkStatus();
}

CallerServerLimits MeshNode::callerLimits() const {
  CallerServerLimits Result;
  if (!this->Outbound.routes())
    return Result;
  const proto::CallerLimits &Limits =
      this->Outbound.routes()->configuration().limits();
  Result.MaxHeaderBytes = Limits.max_header_bytes();
  Result.MaxBodyBytes = std::min<std::uint64_t>(
      Limits.max_body_bytes(),
      static_cast<std::uint64_t>(this->Settings.memory_mb() * 1048576 *
                                 internal::BodyPartOfMemory));
  Result.HeaderTimeout = Millis(Limits.header_timeout_ms());
  Result.IdleTimeout = this->LongestIdleTimeout;
  return Result;
}

void MeshNode::applyConfiguration(proto::MeshConfiguration Next) {
  this->Configurations.apply(std::move(Next));
}

void MeshNode::configurationApplied(std::shared_ptr<const RouteTable> Routes,
                                    bool Fetched) {
  this->LongestIdleTimeout =
      std::max(this->LongestIdleTimeout,
               Millis(Routes->configuration().limits().idle_timeout_ms()));
  this->AppliedAt = monoNow();
  this->Messenger.setConfigurationVersion(Routes->version());
  this->Outbound.setRoutes(std::move(Routes));
  this->checkStoredUpstream();
  // Other data centres may be cut off from the store, and can fetch it then.
  if (this->Following)
    this->Messenger.announce();
  else if (Fetched)
    this->Messenger.announceNear();
}

void MeshNode::configurationTold(const std::string &Node,
                                 std::uint64_t Version) {
  if (const proto::NodeEntry *Entry = this->Nodes.find(Node))
    this->Configurations.told(
        Node, Entry->data_centre() == this->Settings.data_centre(), Version);
}

bool MeshNode::shouldFollowStore() const {
  if (this->Stopping)
    return false;
  if (this->Configurations.isStale())
    return true;
  // Passing configurations on takes bandwidth: hosts with more go first.
  const auto Claim = [](const proto::NodeEntry &Entry) {
    return std::pair(Entry.link_mbps(),
                     rendezvousWeight(internal::FollowDuty, Entry.node()));
  };
  const auto OwnClaim = Claim(this->Nodes.ownEntry());
  std::size_t Better = 0;
  std::size_t Following = 0;
  for (const proto::NodeEntry *Entry : this->Nodes.activePeers()) {
    if (Entry->data_centre() != this->Settings.data_centre() ||
        Claim(*Entry) < OwnClaim)
      continue;
    ++Better;
    const std::shared_ptr<PeerLink> Link = this->Outbound.linkTo(Entry->node());
    Following +=
        this->Messenger.followsStore(Entry->node()) && Link && Link->isUp();
  }
  // Right after the start others may follow and not have said so yet.
  if (Better >= internal::Followers &&
      monoNow() - this->StartedAt < internal::FollowersSettle)
    return false;
  return Following < internal::Followers;
}

void MeshNode::setFollowsStore(bool Follows) {
  if (this->Following == Follows)
    return;
  this->Following = Follows;
  logLine(LogLevel::Info, Follows
                              ? "following the operator's records"
                              : "no longer following the operator's records");
  this->Configurations.setServesOthers(Follows);
  this->Messenger.setFollowsStore(Follows);
  this->Messenger.announceNear();
}

void MeshNode::addRolloutOrder(const proto::RolloutOrder &Order) {
  if (const proto::RolloutProgress *Known = this->Driver.order(Order))
    this->Messenger.spread(*Known);
}

void MeshNode::mergeStoredNodes(const std::vector<proto::NodeEntry> &Entries) {
  const MonoTime Now = monoNow();
  std::vector<proto::NodeEntry> News;
  for (const proto::NodeEntry &Entry : Entries)
    if (this->Nodes.merge(Entry, Now) == NodeDirectory::MergeResult::Updated)
      News.push_back(Entry);
  if (News.empty())
    return;
  this->nodesChanged();
  this->Messenger.greet(News);
}

void MeshNode::nodesChanged() { this->Outbound.updateNodes(this->Nodes); }

void MeshNode::restoreUpstream(const proto::UpstreamEntry &Stored) {
  this->StoredUpstream = Stored;
  this->checkStoredUpstream();
}

void MeshNode::checkStoredUpstream() {
  const std::shared_ptr<const RouteTable> &Routes = this->Outbound.routes();
  // The upstream's own word is newer.
  if (this->Registry.hasSeenUpstream())
    this->StoredUpstream.reset();
  if (!this->StoredUpstream || !Routes)
    return;
  for (const proto::MeshService &Service : Routes->configuration().services())
    if (Service.name() == this->StoredUpstream->service() &&
        Service.name() == this->Settings.service() &&
        !Service.health_path().empty())
      asio::co_spawn(
          this->Context,
          [this, Path = Service.health_path()] {
            return this->checkedRestore(Path);
          },
          asio::detached);
}

asio::awaitable<void> MeshNode::checkedRestore(std::string HealthPath) {
  const proto::UpstreamEntry Stored =
      *std::exchange(this->StoredUpstream, std::nullopt);
  const std::optional<std::string> Answering = co_await checkUpstream(
      this->Context, this->UpstreamAddress, std::move(HealthPath), this->Names);
  const bool IsSame = Answering == Stored.instance();
  logLine(LogLevel::Info, "stored upstream checked",
          {{"instance", Stored.instance()},
           {"answering", Answering.value_or("none")},
           {"outcome", IsSame ? "restored" : "its heartbeat is awaited"}});
  if (IsSame && !this->Stopping && this->Registry.restore(Stored, monoNow()))
    this->upstreamChanged();
}

void MeshNode::applyHeartbeat(const Heartbeat &Beat) {
  if (this->Registry.apply(Beat, monoNow()))
    this->upstreamChanged();
}

void MeshNode::deregisterUpstream(const std::string &Instance,
                                  std::uint64_t StartedUnixMs) {
  if (this->Registry.deregister(Instance, StartedUnixMs))
    this->upstreamChanged();
}

void MeshNode::upstreamChanged() {
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
  this->announceOwn();
}

void MeshNode::announceOwn() {
  proto::NodeEntry Own = this->Nodes.ownEntry();
  if (this->Registry.upstream())
    *Own.mutable_upstream() = *this->Registry.upstream();
  else
    Own.clear_upstream();
  Own.set_leaving(this->Stopping);
  if (!this->Nodes.setOwnEntry(std::move(Own)))
    return;
  this->Messenger.announce();
  this->nodesChanged();
}

asio::awaitable<void> MeshNode::watchUpstream() {
  const Millis Limit(
      static_cast<std::int64_t>(this->Settings.registration_interval_s() *
                                1000 * internal::MissingHeartbeats));
  while (!this->Stopping) {
    this->WatchTimer.expires_after(internal::WatchInterval);
    co_await this->WatchTimer.async_wait(NoThrow);
    if (this->Registry.expire(Limit, monoNow()))
      this->upstreamChanged();
    if (monoNow() - this->TrafficLoggedAt >= internal::TrafficLogInterval)
      this->logTraffic();
  }
}

asio::awaitable<void> MeshNode::measureLoop() {
  asio::steady_timer Timer(this->Context);
  while (!this->Stopping) {
    Timer.expires_after(internal::LoopMeasureInterval);
    co_await Timer.async_wait(NoThrow);
    this->Counts.recordLoopLag(
        std::chrono::duration_cast<Micros>(monoNow() - Timer.expiry()));
    flushLogs();
  }
}

std::string MeshNode::metricsText() {
  const proto::LoadReport Load = this->Gate.load();
  Metrics &Values = this->Counts;
  Values.setGauge("pq_gate_running", "Calls at the own upstream",
                  Load.running());
  Values.setGauge("pq_gate_waiting", "Calls that wait for the own upstream",
                  Load.waiting());
  Values.setGauge("pq_gate_slots", "Slots of the own upstream", Load.slots());
  Values.setGauge("pq_configuration_version", "Configuration in force",
                  this->Outbound.routes()
                      ? static_cast<double>(this->Outbound.routes()->version())
                      : 0);
  Values.setGauge(
      "pq_configuration_age_seconds",
      "Time since the configuration came into force",
      std::chrono::duration<double>(monoNow() - this->AppliedAt).count());
  Values.setGauge("pq_nodes", "Nodes known, this one included",
                  static_cast<double>(this->Nodes.entries().size()));
  Values.setGauge("pq_following", "Whether this node follows the store",
                  this->Following ? 1 : 0);
  Values.setGauge("pq_rollouts", "Orders to bring in a version that are known",
                  static_cast<double>(this->Rollouts.all().size()));
  const LinkTraffic Far = this->Outbound.crossDataCentreTraffic();
  Values.setGauge(
      "pq_far_call_bytes", "Bytes of calls between data centres",
      static_cast<double>(Far.CallBytes + Far.ReplyBytes + Far.RejectionBytes));
  Values.setGauge("pq_far_control_bytes", "Other bytes between data centres",
                  static_cast<double>(Far.ConfigurationBytes + Far.OtherBytes +
                                      this->Messenger.farBytes()));
  Values.setGauge("pq_log_lines_dropped",
                  "Log lines dropped since their reader stalled",
                  static_cast<double>(droppedLogLines()));
  return Values.text();
}

void MeshNode::logTraffic() {
  this->TrafficLoggedAt = monoNow();
  const LinkTraffic Far = this->Outbound.crossDataCentreTraffic();
  logLine(LogLevel::Info, "bytes between data centres since the start",
          {{"calls", std::to_string(Far.CallBytes)},
           {"answers", std::to_string(Far.ReplyBytes)},
           {"rejections", std::to_string(Far.RejectionBytes)},
           {"configurations", std::to_string(Far.ConfigurationBytes)},
           {"other", std::to_string(Far.OtherBytes)},
           {"datagrams", std::to_string(this->Messenger.farBytes())}});
}

bool MeshNode::isReady() const {
  return !this->Stopping && this->Outbound.routes() != nullptr &&
         this->Outbound.hasReachableUpstream();
}

void MeshNode::stopGracefully(std::function<void()> Done) {
  if (this->Stopping)
    return;
  this->Stopping = true;
  logLine(LogLevel::Info, "stopping",
          {{"requests", std::to_string(this->Callers->requestsInFlight())},
           {"calls", std::to_string(this->Gate.callsInFlight())}});
  asio::co_spawn(
      this->Context,
      [this, Done = std::move(Done)] { return this->shutDown(Done); },
      asio::detached);
}

asio::awaitable<void> MeshNode::shutDown(std::function<void()> Done) {
  const MonoTime Start = monoNow();
  const MonoTime End = Start +
                       Millis(static_cast<std::int64_t>(
                           this->Settings.grace_period_s() * 1000)) -
                       internal::EndMargin;
  asio::steady_timer Timer(this->Context);
  Timer.expires_at(std::min(Start + internal::CallersNotice, End));
  co_await Timer.async_wait(NoThrow);
  this->announceOwn();
  this->Callers->startDraining(internal::ClosingIdle);
  Timer.expires_after(internal::LinkLinger);
  co_await Timer.async_wait(NoThrow);
  this->Gate.stopAdmitting();
  Timer.expires_after(internal::ClosingIdle);
  co_await Timer.async_wait(NoThrow);
  this->Callers->stopAccepting();
  // A kept connection may bring one more request until it is closed.
  while (monoNow() < End && (this->Callers->connectionCount() > 0 ||
                             this->Gate.callsInFlight() > 0)) {
    Timer.expires_after(internal::ShutdownCheckInterval);
    co_await Timer.async_wait(NoThrow);
  }
  this->Callers->closeIdleConnections();
  logLine(LogLevel::Info, "stopped",
          {{"requests", std::to_string(this->Callers->requestsInFlight())},
           {"calls", std::to_string(this->Gate.callsInFlight())}});
  // Replies that were just queued leave with the last looks at the loop.
  Timer.expires_after(internal::ShutdownCheckInterval);
  co_await Timer.async_wait(NoThrow);
  this->Links->stop();
  this->Outbound.stop();
  this->Configurations.stop();
  this->Messenger.stop();
  this->Driver.stop();
  Done();
}

} // namespace persimmonquay
