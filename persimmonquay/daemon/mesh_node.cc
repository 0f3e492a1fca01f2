#include "persimmonquay/daemon/mesh_node.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/link_server.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/daemon/sockets.h"
#include "persimmonquay/mesh/configuration_delta.h"
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

/// Time after the start in which nodes with a better claim are left to begin to
/// follow: connections are made and datagrams compared within it.
constexpr Millis FollowersSettle{1500};

/// Configurations that a follower keeps to tell others what has changed since:
/// two seconds of changes in quick succession.
constexpr std::size_t KeptConfigurations = 10;

/// Time for which a configuration is awaited from the own data centre before
/// it is fetched from another one.
constexpr Millis NearSourcesFirst{800};

/// Time after which an unanswered question for a configuration is repeated.
constexpr Millis AskAgain{400};

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
      Nodes(Parts.Settings.node(),
            static_cast<std::uint64_t>(unixMillis(wallNow()))),
      Gate(Parts.Context, Parts.Names, Parts.UpstreamAddress, this->Counts),
      Outbound(
          EgressParts{
              Parts.Context, Parts.Names, Parts.Settings.service(),
              Parts.Settings.node(), Parts.Settings.data_centre(),
              RepeatLimits{Parts.Settings.retry_budget_ratio(),
                           Parts.Settings.retry_budget_extra(),
                           Millis(static_cast<std::int64_t>(
                               Parts.Settings.retry_budget_window_s() * 1000))},
              this->Gate, this->Rollouts, this->Counts},
          [this](proto::LinkFrame Frame) {
            this->takeConfiguration(std::move(Frame));
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
  this->Nodes.setOwn(std::move(Own));
  this->Outbound.updateNodes(this->Nodes);
}

MeshNode::~MeshNode() = default;

absl::Status MeshNode::start() {
  this->StartedAt = monoNow();
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
      [this](std::uint64_t Have) { return this->configurationSince(Have); });
  this->Callers->start(*std::move(CallerListener));
  this->Links->start(*std::move(LinkListener));
  this->Driver.start();
  asio::co_spawn(
      this->Context, [this] { return this->watchUpstream(); }, asio::detached);
  asio::co_spawn(
      this->Context, [this] { return this->measureLoop(); }, asio::detached);
  return absl::OkStatus();
}

HttpLimits MeshNode::callerLimits() const {
  HttpLimits Result;
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
  const std::shared_ptr<const RouteTable> &Current = this->Outbound.routes();
  if (Current && Current->version() >= Next.version())
    return;
  const std::uint64_t Version = Next.version();
  this->LongestIdleTimeout = std::max(this->LongestIdleTimeout,
                                      Millis(Next.limits().idle_timeout_ms()));
  this->Outbound.setRoutes(std::make_shared<const RouteTable>(std::move(Next)));
  this->History.push_back(this->Outbound.routes());
  const std::size_t Kept = this->Following ? internal::KeptConfigurations : 1;
  while (this->History.size() > Kept)
    this->History.pop_front();
  this->Deltas.clear();
  this->Messenger.setConfigurationVersion(Version);
  this->BehindSince.reset();
  if (this->Following)
    this->Messenger.announceConfiguration();
  setLoggedConfigVersion(Version);
  this->AppliedAt = monoNow();
  logLine(LogLevel::Info, "configuration applied",
          {{"version", std::to_string(Version)}});
}

void MeshNode::takeConfiguration(proto::LinkFrame Frame) {
  if (Frame.has_configuration()) {
    this->applyConfiguration(std::move(*Frame.mutable_configuration()));
    return;
  }
  if (!this->Outbound.routes())
    return;
  absl::StatusOr<proto::MeshConfiguration> Next =
      applyDelta(this->Outbound.routes()->configuration(), Frame.delta());
  if (Next.ok())
    this->applyConfiguration(*std::move(Next));
  else
    // A newer one has come meanwhile; the next comparison tells.
    logLine(LogLevel::Debug, "delta not applied",
            {{"reason", std::string(Next.status().message())}});
}

std::optional<proto::LinkFrame>
MeshNode::configurationSince(std::uint64_t Have) {
  const std::shared_ptr<const RouteTable> &Current = this->Outbound.routes();
  if (!Current || Current->version() <= Have)
    return std::nullopt;
  const auto Known = this->Deltas.find(Have);
  if (Known != this->Deltas.end())
    return Known->second;
  proto::LinkFrame Frame;
  for (const std::shared_ptr<const RouteTable> &Base : this->History)
    if (Base->version() == Have)
      *Frame.mutable_delta() =
          makeDelta(Base->configuration(), Current->configuration());
  if (!Frame.has_delta())
    *Frame.mutable_configuration() = Current->configuration();
  else
    this->Deltas[Have] = Frame;
  return Frame;
}

void MeshNode::configurationTold(const std::string &Node,
                                 std::uint64_t Version) {
  const std::shared_ptr<const RouteTable> &Current = this->Outbound.routes();
  const std::uint64_t Have = Current ? Current->version() : 0;
  const std::shared_ptr<PeerLink> Link = this->Outbound.linkTo(Node);
  const proto::NodeEntry *Entry = this->Nodes.find(Node);
  if (Version <= Have || !Link || Entry == nullptr)
    return;
  const MonoTime Now = monoNow();
  if (!this->BehindSince)
    this->BehindSince = Now;
  const bool Near = Entry->data_centre() == this->Settings.data_centre();
  if (!Near && Now - *this->BehindSince < internal::NearSourcesFirst)
    return;
  if (Version <= this->AskedVersion && Now - this->AskedAt < internal::AskAgain)
    return;
  this->AskedVersion = Version;
  this->AskedAt = Now;
  Link->askForConfiguration(Have);
}

bool MeshNode::shouldFollow() const {
  if (this->Stopping)
    return false;
  // Passing configurations on takes bandwidth: hosts with more go first.
  const auto Claim = [](const proto::NodeEntry &Entry) {
    return std::pair(Entry.link_mbps(),
                     rendezvousWeight(internal::FollowDuty, Entry.node()));
  };
  const auto OwnClaim = Claim(this->Nodes.own());
  std::size_t Better = 0;
  std::size_t Following = 0;
  for (const proto::NodeEntry *Entry : this->Nodes.others()) {
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

void MeshNode::setFollowing(bool Follows) {
  if (this->Following == Follows)
    return;
  this->Following = Follows;
  logLine(LogLevel::Info, Follows
                              ? "following the operator's records"
                              : "no longer following the operator's records");
  this->Messenger.setFollowsStore(Follows);
  this->Messenger.announceConfiguration();
}

void MeshNode::orderRollout(const proto::RolloutOrder &Order) {
  if (const proto::RolloutProgress *Known = this->Driver.order(Order))
    this->Messenger.spread(*Known);
}

void MeshNode::learnNodes(const std::vector<proto::NodeEntry> &Entries) {
  const MonoTime Now = monoNow();
  std::vector<proto::NodeEntry> News;
  for (const proto::NodeEntry &Entry : Entries)
    if (this->Nodes.merge(Entry, Now) == Directory::Merge::Newer)
      News.push_back(Entry);
  if (News.empty())
    return;
  this->nodesChanged();
  this->Messenger.greet(News);
}

void MeshNode::nodesChanged() { this->Outbound.updateNodes(this->Nodes); }

void MeshNode::heartbeat(const Heartbeat &Beat) {
  if (this->Registry.apply(Beat, monoNow()))
    this->upstreamChanged();
}

void MeshNode::upstreamLeaves(const std::string &Instance,
                              std::uint64_t StartedUnixMs) {
  if (this->Registry.leave(Instance, StartedUnixMs))
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
  proto::NodeEntry Own = this->Nodes.own();
  if (this->Registry.upstream())
    *Own.mutable_upstream() = *this->Registry.upstream();
  else
    Own.clear_upstream();
  Own.set_leaving(this->Stopping);
  if (!this->Nodes.setOwn(std::move(Own)))
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
    this->Counts.noteLoopLag(
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
  const LinkTraffic Far = this->Outbound.farTraffic();
  Values.setGauge(
      "pq_far_call_bytes", "Bytes of calls between data centres",
      static_cast<double>(Far.Calls + Far.Replies + Far.Rejections));
  Values.setGauge("pq_far_control_bytes", "Other bytes between data centres",
                  static_cast<double>(Far.Configurations + Far.Other +
                                      this->Messenger.farBytes()));
  Values.setGauge("pq_log_lines_dropped",
                  "Log lines dropped since their reader stalled",
                  static_cast<double>(droppedLogLines()));
  return Values.text();
}

void MeshNode::logTraffic() {
  this->TrafficLoggedAt = monoNow();
  const LinkTraffic Far = this->Outbound.farTraffic();
  logLine(LogLevel::Info, "bytes between data centres since the start",
          {{"calls", std::to_string(Far.Calls)},
           {"answers", std::to_string(Far.Replies)},
           {"rejections", std::to_string(Far.Rejections)},
           {"configurations", std::to_string(Far.Configurations)},
           {"other", std::to_string(Far.Other)},
           {"datagrams", std::to_string(this->Messenger.farBytes())}});
}

bool MeshNode::isReady() const {
  return !this->Stopping && this->Outbound.routes() != nullptr &&
         this->Outbound.canReachUpstreams();
}

void MeshNode::stopGracefully(std::function<void()> Done) {
  if (this->Stopping)
    return;
  this->Stopping = true;
  logLine(LogLevel::Info, "stopping",
          {{"requests", std::to_string(this->Callers->requestsUnderWay())},
           {"calls", std::to_string(this->Gate.callsUnderWay())}});
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
  this->Callers->startClosing(internal::ClosingIdle);
  Timer.expires_after(internal::LinkLinger);
  co_await Timer.async_wait(NoThrow);
  this->Gate.stopAdmitting();
  Timer.expires_after(internal::ClosingIdle);
  co_await Timer.async_wait(NoThrow);
  this->Callers->stopAccepting();
  // A kept connection may bring one more request until it is closed.
  while (monoNow() < End &&
         (this->Callers->connections() > 0 || this->Gate.callsUnderWay() > 0)) {
    Timer.expires_after(internal::ShutdownCheckInterval);
    co_await Timer.async_wait(NoThrow);
  }
  this->Callers->closeUnread();
  logLine(LogLevel::Info, "stopped",
          {{"requests", std::to_string(this->Callers->requestsUnderWay())},
           {"calls", std::to_string(this->Gate.callsUnderWay())}});
  // Replies that were just queued leave with the last looks at the loop.
  Timer.expires_after(internal::ShutdownCheckInterval);
  co_await Timer.async_wait(NoThrow);
  this->Links->stop();
  this->Outbound.stop();
  this->Messenger.stop();
  this->Driver.stop();
  Done();
}

} // namespace persimmonquay
