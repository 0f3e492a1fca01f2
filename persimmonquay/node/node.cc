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

constexpr Millis DecisionInterval{100};
constexpr Millis FlushInterval{20};
/// Time for the news of draining to reach the nodes that choose upstreams.
constexpr Millis DrainSpread{1000};
constexpr std::size_t LocalThreads = 8;
constexpr Millis LongestJoin{3000};
constexpr Millis ReadinessCheck{200};
/// Building a view is followed by a pause of so many times what it cost.
constexpr int ViewCostFactor = 4;

} // namespace internal

/// Owns the parts in the order of their dependence.
class Node::Implementation {
public:
  explicit Implementation(const proto::NodeSettings &Settings);

  absl::Status start();
  void stop(Millis Timeout);

private:
  using ViewChange = RoutingViewHolder::Change;

  void watchStore();
  absl::Status startServers();
  HttpLimits callLimits() const;
  void serveCallersOnceReadyLocked();
  void runEvery(Millis Interval, const std::function<void()> &Work);
  void wakeViews(ViewChange What);
  void viewLoop();
  CallReply serveCaller(const CallRequest &Request);

  const proto::NodeSettings Settings;
  TraceRecorder Trace;
  const AddressTranslator Book;
  HttpLogClient Log;
  ConfigStore Store;
  RoutingViewHolder Views;
  HttpPool Pool;
  Cluster Group;
  LogFollower Follower;
  MoveDriver Moves;
  Ingress Inner;
  ClaimStore Claims;
  Egress Outer;
  IngressApi InnerApi;
  LocalApi Local;
  OperatorServer Operators;
  HttpServer CallerPort;
  HttpServer IngressPort;
  HttpServer LocalPort;

  std::mutex StopMutex;
  std::condition_variable StopWanted;
  bool Stopping = false;
  const MonoTime StartedAt = monoNow();
  bool Draining = false;
  bool ServesCallers = false;
  bool ViewStale = false;
  ViewChange StaleBy = ViewChange::Members;
  std::condition_variable ViewWanted;
  std::vector<std::thread> Threads;
};

Node::Implementation::Implementation(const proto::NodeSettings &Settings)
    : Settings(Settings), Trace(Settings.trace_file()), Book(Settings),
      Log(Settings.log_url()), Views(&this->Store),
      Group(Settings, &this->Store,
            ClusterCallbacks{
                [this] { this->wakeViews(ViewChange::Members); },
                [this] { this->wakeViews(ViewChange::ConfigurationOrFacts); },
                [this](const proto::EvidenceCell &Cell) {
                  this->Moves.merge(Cell);
                }}),
      Follower(&this->Log, &this->Store, &this->Group,
               Settings.snapshot_every_records()),
      Moves(
          Settings.node(), std::uint64_t{std::random_device{}()}, &this->Group,
          &this->Views,
          [this](const proto::MoveOutcome &Outcome) {
            const absl::Status Written = this->Follower.appendOutcome(Outcome);
            if (!Written.ok())
              logLine(LogLevel::Warning, "move outcome not yet on the log",
                      {{"move", Outcome.move()},
                       {"error", std::string(Written.message())}});
          },
          &this->Trace),
      Inner(&this->Group, &this->Views, &this->Pool, &this->Moves,
            Millis(Settings.announcement_lease_ms())),
      Claims(&this->Log, Settings.node(),
             std::chrono::seconds(Settings.key_lifetime_s())),
      Outer(Egress::Parts{&this->Views, &this->Book, &this->Pool, &this->Inner,
                          &this->Claims, Settings.node(),
                          Settings.data_centre()}),
      InnerApi(&this->Inner),
      Local(&this->Inner, &this->Store, &this->Group, &this->Outer,
            [this] {
              std::lock_guard<std::mutex> Lock(this->StopMutex);
              return this->ServesCallers;
            }),
      Operators(OperatorServer::Parts{&this->Group, &this->Store,
                                      &this->Follower, &this->Moves,
                                      &this->Inner, &this->Views}) {
  this->watchStore();
}

void Node::Implementation::watchStore() {
  this->Store.setObservers(
      [this](const proto::ConfigurationState &State) {
        setLoggedConfigVersion(State.version());
        logLine(LogLevel::Info, "configuration applied",
                {{"version", absl::StrCat(State.version())},
                 {"next_offset", absl::StrCat(State.next_offset())}});
        this->Group.announceConfigChange();
        this->wakeViews(ViewChange::ConfigurationOrFacts);
      },
      [this](std::uint64_t Offset, const std::string &Payload) {
        proto::StreamRecord Record;
        Record.set_offset(Offset);
        Record.set_payload(Payload);
        this->Trace.record("config-record", Record, wallNow());
      });
}

absl::Status Node::Implementation::start() {
  this->Views.rebuild(this->Group, ViewChange::Members);
  absl::Status Status = this->Group.start();
  if (Status.ok())
    Status = this->startServers();
  if (!Status.ok())
    return Status;
  this->Follower.start();
  this->Threads.emplace_back([this] { this->viewLoop(); });
  this->Threads.emplace_back([this] {
    this->runEvery(internal::DecisionInterval, [this] {
      this->Moves.tick(wallNow());
      this->Inner.checkLease(monoNow());
    });
  });
  this->Threads.emplace_back([this] {
    this->runEvery(internal::FlushInterval,
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
      this->IngressPort.start(Address, Port(this->Settings.ingress_port()),
                              Limits, [this](const CallRequest &Request) {
                                return this->InnerApi.serve(Request);
                              });
  if (Status.ok())
    Status = this->CallerPort.bind(Address, Port(this->Settings.caller_port()));
  if (Status.ok())
    Status =
        this->Operators.start(Address, Port(this->Settings.operator_port()));
  Limits.MaxThreads = internal::LocalThreads;
  if (Status.ok())
    Status = this->LocalPort.start(Address, Port(this->Settings.local_port()),
                                   Limits, [this](const CallRequest &Request) {
                                     return this->Local.serve(Request);
                                   });
  return Status;
}

CallReply Node::Implementation::serveCaller(const CallRequest &Request) {
  EgressReply Reply = this->Outer.serve(Request);
  CallReply Result = std::move(Reply.Reply);
  Result.Headers = endToEndHeaders(Result.Headers);
  Result.Headers.push_back(
      HeaderField{OutcomeHeader, std::string(outcomeName(Reply.Result))});
  return Result;
}

void Node::Implementation::runEvery(Millis Interval,
                                    const std::function<void()> &Work) {
  std::unique_lock<std::mutex> Lock(this->StopMutex);
  while (!this->Stopping) {
    Lock.unlock();
    Work();
    Lock.lock();
    this->StopWanted.wait_for(Lock, Interval,
                              [this] { return this->Stopping; });
  }
}

void Node::Implementation::wakeViews(ViewChange What) {
  std::lock_guard<std::mutex> Lock(this->StopMutex);
  this->ViewStale = true;
  if (What == ViewChange::Members)
    this->StaleBy = What;
  this->ViewWanted.notify_one();
}

void Node::Implementation::viewLoop() {
  std::unique_lock<std::mutex> Lock(this->StopMutex);
  while (!this->Stopping) {
    this->ViewWanted.wait_for(Lock, internal::ReadinessCheck, [this] {
      return this->Stopping || this->ViewStale;
    });
    if (!this->ViewStale) {
      this->serveCallersOnceReadyLocked();
      continue;
    }
    this->ViewStale = false;
    const ViewChange What =
        std::exchange(this->StaleBy, ViewChange::ConfigurationOrFacts);
    Lock.unlock();
    const MonoTime Before = monoNow();
    this->Views.rebuild(this->Group, What);
    const auto Cost = monoNow() - Before;
    Lock.lock();
    this->serveCallersOnceReadyLocked();
    // In a storm of changes a view takes in several at once.
    this->StopWanted.wait_for(Lock, internal::ViewCostFactor * Cost,
                              [this] { return this->Stopping; });
  }
}

void Node::Implementation::serveCallersOnceReadyLocked() {
  // Without the members a node would refuse calls for want of upstreams. A node
  // that finds no peer serves its own upstream after a while.
  const bool Joined = this->Group.hasFetchedMembers() ||
                      monoNow() - this->StartedAt > internal::LongestJoin;
  const bool Ready = Joined && this->Views.current()->Config != nullptr;
  if (!Ready || this->ServesCallers || this->Draining)
    return;
  const absl::Status Serving = this->CallerPort.serve(
      this->callLimits(), [this](const CallRequest &Request) {
        return this->serveCaller(Request);
      });
  this->ServesCallers = true;
  logLine(Serving.ok() ? LogLevel::Info : LogLevel::Error,
          "callers are served from now on",
          {{"error", std::string(Serving.message())}});
}

void Node::Implementation::stop(Millis Timeout) {
  logLine(LogLevel::Info, "stopping", {});
  const MonoTime Deadline = monoNow() + Timeout;
  const auto Left = [Deadline] {
    return std::max(Millis(0),
                    std::chrono::duration_cast<Millis>(Deadline - monoNow()));
  };
  {
    std::lock_guard<std::mutex> Lock(this->StopMutex);
    this->Draining = true;
  }
  this->Inner.drain();
  this->CallerPort.closeAfterAnswers();
  std::this_thread::sleep_for(std::min(internal::DrainSpread, Left()));
  this->CallerPort.stop(Left());
  this->Inner.waitUntilIdle(Left());
  this->IngressPort.stop(Left());
  this->Claims.flush(wallNow());
  this->Operators.stop();
  this->LocalPort.stop(Left());
  this->Follower.stop();
  this->Group.stop();
  {
    std::lock_guard<std::mutex> Lock(this->StopMutex);
    this->Stopping = true;
    this->StopWanted.notify_all();
    this->ViewWanted.notify_all();
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
