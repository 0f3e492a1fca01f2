#include "persimmonquay/node/node.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/config/config_store.h"
#include "persimmonquay/node/claim_store.h"
#include "persimmonquay/node/egress.h"
#include "persimmonquay/node/http_pool.h"
#include "persimmonquay/node/http_server.h"
#include "persimmonquay/node/ingress.h"
#include "persimmonquay/node/ingress_api.h"
#include "persimmonquay/node/local_api.h"
#include "persimmonquay/node/log_follower.h"
#include "persimmonquay/node/move_driver.h"
#include "persimmonquay/node/operator_server.h"
#include "persimmonquay/node/routing_view.h"
#include "persimmonquay/node/trace_recorder.h"
#include "persimmonquay/peer/address_translator.h"
#include "persimmonquay/peer/cluster.h"
#include "proto/settings.pb.h"
#include <absl/strings/str_cat.h>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace persimmonquay {
namespace internal {

/// Time between two rounds of move decisions and checks of the announcement
/// lease.
constexpr Millis MoveTickInterval{100};
/// Time between two writes of queued releases and results of keyed calls.
constexpr Millis ClaimFlushInterval{20};
/// Time for the draining state to reach the nodes that select upstreams.
constexpr Millis DrainPropagationDelay{1000};
constexpr std::size_t LocalServerThreads = 8;
/// Time to wait for a peer's member table before serving callers without it.
constexpr Millis MaxJoinWait{3000};
constexpr Millis ReadinessCheckInterval{200};
/// After a rebuild of the view, the next one waits for at least this multiple
/// of its duration.
constexpr int RebuildPauseFactor = 4;

} // namespace internal

/// Owns the components, declared in the order of their dependencies.
class Node::Implementation {
public:
  explicit Implementation(const proto::NodeSettings &Settings);

  absl::Status start();
  void stop(Millis Timeout);

private:
  using ViewChange = RoutingViewHolder::Change;

  void observeStore();
  absl::Status startServers();
  HttpLimits callLimits() const;
  void serveCallersOnceReadyLocked();
  void runEvery(Millis Interval, const std::function<void()> &Task);
  void requestViewRebuild(ViewChange Cause);
  void viewRebuildLoop();
  CallResponse serveCaller(const CallRequest &Request);

  const proto::NodeSettings Settings;
  TraceRecorder Trace;
  const AddressTranslator Translator;
  HttpLogClient Log;
  ConfigStore Store;
  RoutingViewHolder Views;
  HttpPool Pool;
  Cluster PeerCluster;
  LogFollower Follower;
  MoveDriver Moves;
  Ingress LocalIngress;
  ClaimStore Claims;
  Egress CallerEgress;
  IngressApi IngressHandler;
  LocalApi LocalHandler;
  OperatorServer OperatorRpc;
  HttpServer CallerServer;
  HttpServer IngressServer;
  HttpServer LocalServer;

  std::mutex StateMutex;
  std::condition_variable StopRequested;
  bool Stopping = false;
  const MonoTime StartedAt = monoNow();
  bool Draining = false;
  bool ServesCallers = false;
  bool ViewStale = false;
  ViewChange PendingCause = ViewChange::Members;
  std::condition_variable ViewRebuildRequested;
  std::vector<std::thread> Threads;
};

Node::Implementation::Implementation(const proto::NodeSettings &Settings)
    : Settings(Settings), Trace(Settings.trace_file()), Translator(Settings),
      Log(Settings.log_url()), Views(&this->Store),
      PeerCluster(Settings, &this->Store,
                  ClusterCallbacks{
                      [this] { this->requestViewRebuild(ViewChange::Members); },
                      [this] {
                        this->requestViewRebuild(
                            ViewChange::ConfigurationOrFacts);
                      },
                      [this](const proto::EvidenceCell &Cell) {
                        this->Moves.mergeEvidence(Cell);
                      }}),
      Follower(&this->Log, &this->Store, &this->PeerCluster,
               Settings.snapshot_every_records()),
      Moves(
          Settings.node(), std::uint64_t{std::random_device{}()},
          &this->PeerCluster, &this->Views,
          [this](const proto::MoveOutcome &Outcome) {
            const absl::Status Status = this->Follower.appendOutcome(Outcome);
            if (!Status.ok())
              logLine(
                  LogLevel::Warning,
                  "appending the move outcome to the log failed; will retry",
                  {{"move", Outcome.move()},
                   {"error", std::string(Status.message())}});
          },
          &this->Trace),
      LocalIngress(&this->PeerCluster, &this->Views, &this->Pool, &this->Moves,
                   Millis(Settings.announcement_lease_ms())),
      Claims(&this->Log, Settings.node(),
             std::chrono::seconds(Settings.key_lifetime_s())),
      CallerEgress(Egress::Dependencies{
          &this->Views, &this->Translator, &this->Pool, &this->LocalIngress,
          &this->Claims, Settings.node(), Settings.data_centre()}),
      IngressHandler(&this->LocalIngress),
      LocalHandler(&this->LocalIngress, &this->Store, &this->PeerCluster,
                   &this->CallerEgress,
                   [this] {
                     std::lock_guard<std::mutex> Lock(this->StateMutex);
                     return this->ServesCallers;
                   }),
      OperatorRpc(OperatorServer::Dependencies{
          &this->PeerCluster, &this->Store, &this->Follower, &this->Moves,
          &this->LocalIngress, &this->Views}) {
  this->observeStore();
}

void Node::Implementation::observeStore() {
  this->Store.setObservers(
      [this](const proto::ConfigurationState &State) {
        setLoggedConfigVersion(State.version());
        logLine(LogLevel::Info, "configuration applied",
                {{"version", absl::StrCat(State.version())},
                 {"next_offset", absl::StrCat(State.next_offset())}});
        this->PeerCluster.announceConfigChange();
        this->requestViewRebuild(ViewChange::ConfigurationOrFacts);
      },
      [this](std::uint64_t Offset, const std::string &Payload) {
        proto::StreamRecord Record;
        Record.set_offset(Offset);
        Record.set_payload(Payload);
        this->Trace.record("config-record", Record, wallNow());
      });
}

absl::Status Node::Implementation::start() {
  this->Views.rebuild(this->PeerCluster, ViewChange::Members);
  absl::Status Status = this->PeerCluster.start();
  if (Status.ok())
    Status = this->startServers();
  if (!Status.ok())
    return Status;
  this->Follower.start();
  this->Threads.emplace_back([this] { this->viewRebuildLoop(); });
  this->Threads.emplace_back([this] {
    this->runEvery(internal::MoveTickInterval, [this] {
      this->Moves.tick(wallNow());
      this->LocalIngress.checkLease(monoNow());
    });
  });
  this->Threads.emplace_back([this] {
    this->runEvery(internal::ClaimFlushInterval,
                   [this] { this->Claims.flush(wallNow()); });
  });
  logLine(LogLevel::Info, "node started",
          {{"address", this->Settings.address()},
           {"caller_port", absl::StrCat(this->Settings.caller_port())}});
  return absl::OkStatus();
}

HttpLimits Node::Implementation::callLimits() const {
  HttpLimits Limits;
  Limits.MaxThreads = this->Settings.caller_threads();
  Limits.MaxBodyBytes = this->Settings.max_body_bytes();
  return Limits;
}

absl::Status Node::Implementation::startServers() {
  const std::string &Address = this->Settings.address();
  HttpLimits Limits = this->callLimits();
  const auto Port = [](std::uint32_t Value) {
    return static_cast<std::uint16_t>(Value);
  };
  absl::Status Status =
      this->IngressServer.start(Address, Port(this->Settings.ingress_port()),
                                Limits, [this](const CallRequest &Request) {
                                  return this->IngressHandler.serve(Request);
                                });
  if (Status.ok())
    Status =
        this->CallerServer.bind(Address, Port(this->Settings.caller_port()));
  if (Status.ok())
    Status =
        this->OperatorRpc.start(Address, Port(this->Settings.operator_port()));
  Limits.MaxThreads = internal::LocalServerThreads;
  if (Status.ok())
    Status =
        this->LocalServer.start(Address, Port(this->Settings.local_port()),
                                Limits, [this](const CallRequest &Request) {
                                  return this->LocalHandler.serve(Request);
                                });
  return Status;
}

CallResponse Node::Implementation::serveCaller(const CallRequest &Request) {
  EgressResult Result = this->CallerEgress.serve(Request);
  CallResponse Response = std::move(Result.Response);
  Response.Headers = endToEndHeaders(Response.Headers);
  Response.Headers.push_back(HeaderField{
      OutcomeHeader, std::string(outcomeName(Result.FinalOutcome))});
  return Response;
}

void Node::Implementation::runEvery(Millis Interval,
                                    const std::function<void()> &Task) {
  std::unique_lock<std::mutex> Lock(this->StateMutex);
  while (!this->Stopping) {
    Lock.unlock();
    Task();
    Lock.lock();
    this->StopRequested.wait_for(Lock, Interval,
                                 [this] { return this->Stopping; });
  }
}

void Node::Implementation::requestViewRebuild(ViewChange Cause) {
  std::lock_guard<std::mutex> Lock(this->StateMutex);
  this->ViewStale = true;
  if (Cause == ViewChange::Members)
    this->PendingCause = Cause;
  this->ViewRebuildRequested.notify_one();
}

void Node::Implementation::viewRebuildLoop() {
  std::unique_lock<std::mutex> Lock(this->StateMutex);
  while (!this->Stopping) {
    this->ViewRebuildRequested.wait_for(
        Lock, internal::ReadinessCheckInterval,
        [this] { return this->Stopping || this->ViewStale; });
    if (!this->ViewStale) {
      this->serveCallersOnceReadyLocked();
      continue;
    }
    this->ViewStale = false;
    const ViewChange Cause =
        std::exchange(this->PendingCause, ViewChange::ConfigurationOrFacts);
    Lock.unlock();
    const MonoTime StartTime = monoNow();
    this->Views.rebuild(this->PeerCluster, Cause);
    const auto Cost = monoNow() - StartTime;
    Lock.lock();
    this->serveCallersOnceReadyLocked();
    // Under frequent changes, one rebuild covers several of them.
    this->StopRequested.wait_for(Lock, internal::RebuildPauseFactor * Cost,
                                 [this] { return this->Stopping; });
  }
}

void Node::Implementation::serveCallersOnceReadyLocked() {
  // Before it has received the member table, a node knows no upstreams and
  // would refuse calls. A node that finds no peer serves its own upstream after
  // MaxJoinWait.
  const bool JoinWaitOver = this->PeerCluster.hasFetchedMembers() ||
                            monoNow() - this->StartedAt > internal::MaxJoinWait;
  const bool IsReady = JoinWaitOver && this->Views.current()->Config != nullptr;
  if (!IsReady || this->ServesCallers || this->Draining)
    return;
  const absl::Status Status = this->CallerServer.serve(
      this->callLimits(), [this](const CallRequest &Request) {
        return this->serveCaller(Request);
      });
  this->ServesCallers = true;
  logLine(Status.ok() ? LogLevel::Info : LogLevel::Error, "serving callers",
          {{"error", std::string(Status.message())}});
}

void Node::Implementation::stop(Millis Timeout) {
  logLine(LogLevel::Info, "stopping", {});
  const MonoTime Deadline = monoNow() + Timeout;
  const auto Remaining = [Deadline] {
    return std::max(Millis(0),
                    std::chrono::duration_cast<Millis>(Deadline - monoNow()));
  };
  {
    std::lock_guard<std::mutex> Lock(this->StateMutex);
    this->Draining = true;
  }
  this->LocalIngress.drain();
  this->CallerServer.disableKeepAlive();
  std::this_thread::sleep_for(
      std::min(internal::DrainPropagationDelay, Remaining()));
  this->CallerServer.stop(Remaining());
  this->LocalIngress.waitUntilIdle(Remaining());
  this->IngressServer.stop(Remaining());
  this->Claims.flush(wallNow());
  this->OperatorRpc.stop();
  this->LocalServer.stop(Remaining());
  this->Follower.stop();
  this->PeerCluster.stop();
  {
    std::lock_guard<std::mutex> Lock(this->StateMutex);
    this->Stopping = true;
    this->StopRequested.notify_all();
    this->ViewRebuildRequested.notify_all();
  }
  for (std::thread &Thread : this->Threads)
    Thread.join();
  this->Threads.clear();
  logLine(LogLevel::Info, "stopped", {});
}

Node::Node(const proto::NodeSettings &Settings)
    : Impl(std::make_unique<Implementation>(Settings)) {}

Node::~Node() = default;

absl::Status Node::start() { return this->Impl->start(); }

void Node::stop(Millis Timeout) { this->Impl->stop(Timeout); }

} // namespace persimmonquay
