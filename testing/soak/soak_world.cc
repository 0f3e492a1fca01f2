#include "testing/soak/soak_world.h"

#include "persimmonquay/base/http_status.h"
#include "testing/free_port.h"
#include "testing/soak/call_ledger.h"
#include "testing/soak/soak_caller.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <utility>

namespace persimmonquay::testing {
namespace {

constexpr Millis HeartbeatInterval{700};
constexpr Millis VersionCheckInterval{400};

/// Shortest and longest duration of a fault.
constexpr int MinFaultMs = 100;
constexpr int MaxFaultMs = 1800;

/// Time after a confirmed drain during which calls may still arrive; equals
/// "drain_timeout_s" in the nodes' settings.
constexpr Millis DrainTimeout{2000};

/// Time after the last fault within which every node must serve again. Generous
/// for busy machines.
constexpr Millis RecoveryTime{60000};

/// Statuses of an upstream's own that imply that a call has not run.
constexpr int RefusalStatuses[] = {408, 429, 503};

/// Makes a scripted upstream close the connection without a response.
const std::string NoResponse;

std::string siblingProgram(const std::string &Name) {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / Name)
      .string();
}

/// Returns the path of the route that configuration `Version` adds. A node that
/// has a route for it serves this configuration or a later one.
std::string versionPath(std::uint64_t Version) {
  return absl::StrCat("/added-", Version, "/");
}

/// Returns a handler that responds with status 200 to every call, and to health
/// checks unless `IsLeaving` is set.
ScriptedUpstream::Handler
healthyHandler(const std::string &Instance,
               const std::shared_ptr<std::atomic<bool>> &IsLeaving) {
  return [Instance, IsLeaving](const ReceivedRequest &Request) {
    if (Request.Target == "/health")
      return *IsLeaving ? responseTo(Request, 503, "leaving")
                        : healthResponse(Instance);
    const auto Id = Request.Headers.find("x-persimmonquay-request-id");
    return responseTo(
        Request, 200,
        soakResponseBody(Id == Request.Headers.end() ? "" : Id->second));
  };
}

} // namespace

SoakWorld::SoakWorld(std::uint64_t Seed, CallLedger &SharedLedger)
    : Ledger(SharedLedger), Random(Seed) {
  const std::string ForwardsPath = this->Mesh.directory() + "/forwards";
  std::ofstream File(ForwardsPath);
  for (int I = 0; I < 6; ++I) {
    const std::string Address = absl::StrCat("127.0.1.", I + 1);
    TestNode &Node = this->Mesh.add(I < 4 ? "gallery" : "orders", "v1",
                                    I % 2 == 0 ? "here" : "there", Address);
    NodeState &State = this->Nodes.emplace_back();
    State.Node = &Node;
    Node.Upstream->setHandler(healthyHandler(Node.Instance, State.IsLeaving));
    for (const char *Protocol : {"tcp", "udp"})
      File << Node.Name << " " << Protocol << " " << Address << " 127.0.0.1 "
           << Node.LinkPort << "\n";
  }
  File.close();
  this->InstanceCount = this->Nodes.size();
  this->ProxyPort = freePort();
  this->Proxy = std::make_unique<Process>(
      std::vector<std::string>{siblingProgram("link_stand_in"), "--forwards",
                               ForwardsPath, "--address", "127.0.0.1", "--port",
                               std::to_string(this->ProxyPort)},
      this->Mesh.directory() + "/proxy.log");
  this->publish();
  if (!this->Mesh.waitUntilReady())
    this->Ledger.addViolation("the nodes did not become ready at the start");
}

std::vector<std::uint16_t> SoakWorld::callerPorts() const {
  std::vector<std::uint16_t> Result;
  for (const NodeState &State : this->Nodes)
    Result.push_back(State.Node->CallerPort);
  return Result;
}

SoakWorld::NodeState &SoakWorld::randomNode() {
  return this->Nodes[this->Random() % this->Nodes.size()];
}

Millis SoakWorld::randomFaultDuration() {
  return Millis(
      std::uniform_int_distribution<int>(MinFaultMs, MaxFaultMs)(this->Random));
}

void SoakWorld::schedule(Millis Delay, std::function<void()> Action) {
  this->ScheduledActions.push_back({monoNow() + Delay, std::move(Action)});
}

void SoakWorld::injectFault() {
  switch (this->Random() % 9) {
  case 0: {
    NodeState &State = this->randomNode();
    std::cout << "kill " << State.Node->Name << "\n";
    this->restart(State);
    break;
  }
  case 1:
    this->stopGracefully();
    break;
  case 2:
    this->pause();
    break;
  case 3:
  case 4:
    this->injectLinkFault();
    break;
  case 5:
    this->injectStoreFault();
    break;
  case 6:
    this->drainUpstream();
    break;
  case 7:
    this->injectUpstreamFault();
    break;
  default:
    this->publish();
    break;
  }
}

void SoakWorld::restart(NodeState &State) {
  State.Paused = false;
  State.ServedVersion = 0;
  this->Mesh.startNode(*State.Node);
}

void SoakWorld::stopGracefully() {
  NodeState &State = this->randomNode();
  std::cout << "SIGTERM " << State.Node->Name << "\n";
  State.Node->Sidecar->signal(SIGTERM);
  this->restartWhenEnded(State, State.Node->Sidecar->id());
}

void SoakWorld::restartWhenEnded(NodeState &State, pid_t ProcessId) {
  // Another fault may have restarted the node in the meantime.
  if (State.Node->Sidecar->id() != ProcessId)
    return;
  if (State.Node->Sidecar->wait(Millis(0)))
    this->restart(State);
  else
    this->schedule(Millis(100), [this, &State, ProcessId] {
      this->restartWhenEnded(State, ProcessId);
    });
}

void SoakWorld::pause() {
  NodeState &State = this->randomNode();
  std::cout << "pause " << State.Node->Name << "\n";
  State.Paused = true;
  State.Node->Sidecar->signal(SIGSTOP);
  this->schedule(this->randomFaultDuration(), [&State] {
    State.Paused = false;
    State.Node->Sidecar->signal(SIGCONT);
  });
}

void SoakWorld::setLinkFault(const std::string &Link,
                             const std::string &Fault) {
  sendBytes(this->ProxyPort,
            absl::StrCat("POST /control?link=", Link, "&", Fault,
                         " HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n"
                         "Content-Length: 0\r\n\r\n"),
            Millis(2000));
}

void SoakWorld::injectLinkFault() {
  const std::string Link = this->randomNode().Node->Name;
  static const std::pair<const char *, const char *> Faults[] = {
      {"cut=1", "cut=0"},
      {"delay_ms=150", "delay_ms=0"},
      {"one_way=1", "one_way=0"},
      {"silence=1", "silence=0"}};
  const auto &[Begin, End] = Faults[this->Random() % std::size(Faults)];
  std::cout << "link " << Link << " " << Begin << "\n";
  this->setLinkFault(Link, Begin);
  this->schedule(this->randomFaultDuration(),
                 [this, Link, Restore = std::string(End)] {
                   this->setLinkFault(Link, Restore);
                 });
}

void SoakWorld::injectStoreFault() {
  const std::uint64_t Choice = this->Random() % 5;
  std::cout << "store, fault " << Choice << "\n";
  if (Choice == 0) {
    this->Mesh.store().setOutage(true);
    this->schedule(this->randomFaultDuration(),
                   [this] { this->Mesh.store().setOutage(false); });
  } else if (Choice == 1) {
    this->Mesh.store().setSilent(true);
    this->schedule(2 * this->randomFaultDuration(),
                   [this] { this->Mesh.store().setSilent(false); });
  } else if (Choice == 2) {
    this->Mesh.store().loseAppendResponses(3);
  } else if (Choice == 3) {
    this->restoreStore();
  } else {
    this->Mesh.store().compactTopic("keyed.op");
  }
}

void SoakWorld::restoreStore() {
  // The offsets of these two are given out again.
  this->Mesh.store().takeCopy();
  this->publish();
  this->publish();
  this->schedule(this->randomFaultDuration(), [this] {
    this->Mesh.store().setOutage(true);
    this->schedule(this->randomFaultDuration(), [this] {
      this->Mesh.store().restore();
      this->Mesh.store().setOutage(false);
      // The operator writes the newest one again, and a further one.
      this->publishLatest();
      this->publish();
    });
  });
}

void SoakWorld::drainUpstream() {
  NodeState &State = this->randomNode();
  if (State.Draining || State.Paused)
    return;
  std::cout << "drain the upstream of " << State.Node->Name << "\n";
  State.Draining = true;
  *State.IsLeaving = true;
  if (this->Mesh.heartbeat(*State.Node, "draining") == 200)
    State.DrainConfirmedAt = monoNow();
  this->schedule(DrainTimeout + Millis(1000), [this, &State] {
    this->checkDrain(State);
    TestNode &Node = *State.Node;
    Node.Instance = absl::StrCat("i-", ++this->InstanceCount);
    Node.StartedUnixMs = static_cast<std::uint64_t>(unixMillis(wallNow()));
    *State.IsLeaving = false;
    Node.Upstream->setHandler(healthyHandler(Node.Instance, State.IsLeaving));
    State.Draining = false;
    State.DrainConfirmedAt.reset();
  });
}

void SoakWorld::checkDrain(NodeState &State) {
  if (!State.DrainConfirmedAt)
    return;
  for (const ReceivedRequest &Request : State.Node->Upstream->received())
    if (Request.Target != "/health" &&
        Request.Arrival > *State.DrainConfirmedAt + DrainTimeout)
      this->Ledger.addViolation(absl::StrCat(
          "a call reached the upstream of ", State.Node->Name,
          " long after its drain was confirmed: ", Request.Target));
}

void SoakWorld::injectUpstreamFault() {
  NodeState &State = this->randomNode();
  const std::uint64_t Choice = this->Random() % 6;
  std::cout << "upstream of " << State.Node->Name << ", fault " << Choice
            << "\n";
  const ScriptedUpstream::Handler Healthy =
      healthyHandler(State.Node->Instance, State.IsLeaving);
  State.Node->Upstream->setHandler(
      [Healthy, Choice](const ReceivedRequest &Request) {
        std::string Response = Healthy(Request);
        if (Request.Target == "/health")
          return Response;
        switch (Choice) {
        case 0: // The response is lost.
          return NoResponse;
        case 1: // The response is truncated.
          return absl::StrCat(std::string(1, CloseAfterResponse),
                              Response.substr(0, Response.size() - 20));
        case 2: { // A response to another call follows.
          ReceivedRequest Other = Request;
          Other.Headers["x-persimmonquay-request-id"] = "another";
          return Response + responseTo(Other, 200, soakResponseBody("another"));
        }
        case 3: // No status of HTTP, and a body that looks like a response.
          return absl::StrCat("HTTP/1.1 000 Trouble\r\nContent-Length: ",
                              Response.size(), "\r\n\r\n", Response);
        case 4: // A status that implies that the call has not run.
          return responseTo(Request, RefusalStatuses[Response.size() % 3],
                            "broken");
        default:
          return responseTo(Request, 500, "broken");
        }
      });
  this->schedule(this->randomFaultDuration(), [&State] {
    State.Node->Upstream->setHandler(
        healthyHandler(State.Node->Instance, State.IsLeaving));
  });
}

void SoakWorld::publish() {
  this->LatestVersion += 1 + this->Random() % 3;
  std::cout << "configuration " << this->LatestVersion << "\n";
  this->VersionPaths.push_back(versionPath(this->LatestVersion));
  this->publishLatest();
}

void SoakWorld::publishLatest() {
  this->Mesh.publish(this->LatestVersion, "gallery", 3000, this->VersionPaths);
}

void SoakWorld::sendHeartbeats() {
  for (NodeState &State : this->Nodes)
    if (!State.Paused && !State.Draining)
      this->Mesh.heartbeat(*State.Node);
}

bool SoakWorld::servesVersion(const NodeState &State,
                              std::uint64_t ConfigVersion) {
  const std::string Response = sendBytes(
      State.Node->CallerPort,
      absl::StrCat("GET ", versionPath(ConfigVersion),
                   " HTTP/1.1\r\nHost: boards.example\r\n"
                   "X-Persimmonquay-Request-Id: probe\r\nConnection: close\r\n"
                   "X-Persimmonquay-Deadline-Remaining: 500\r\n\r\n"),
      Millis(1500));
  if (Response.find(" 404 ") == std::string::npos)
    return Response.find("HTTP/1.1 ") == 0 &&
           Response.find(" 503 ") == std::string::npos;
  if (ConfigVersion <= State.ServedVersion)
    this->Ledger.addViolation(absl::StrCat(
        State.Node->Name, " returned to a configuration older than ",
        ConfigVersion));
  return false;
}

void SoakWorld::checkVersions() {
  NodeState &State = this->randomNode();
  if (State.Paused)
    return;
  if (State.ServedVersion > 0)
    this->servesVersion(State, State.ServedVersion);
  if (State.ServedVersion < this->LatestVersion &&
      this->servesVersion(State, this->LatestVersion))
    State.ServedVersion = this->LatestVersion;
}

void SoakWorld::step() {
  const MonoTime Now = monoNow();
  std::vector<ScheduledAction> DueActions;
  std::erase_if(this->ScheduledActions, [&](ScheduledAction &Scheduled) {
    if (Scheduled.Time > Now)
      return false;
    DueActions.push_back(std::move(Scheduled));
    return true;
  });
  for (const ScheduledAction &Scheduled : DueActions)
    Scheduled.Action();
  if (Now >= this->NextHeartbeats) {
    this->sendHeartbeats();
    this->NextHeartbeats = Now + HeartbeatInterval;
  }
  if (Now >= this->NextVersionCheck) {
    this->checkVersions();
    this->NextVersionCheck = Now + VersionCheckInterval;
  }
}

void SoakWorld::waitForRecovery() {
  while (!this->ScheduledActions.empty()) {
    this->step();
    std::this_thread::sleep_for(Millis(20));
  }
  for (NodeState &State : this->Nodes) {
    const bool Recovered = eventually(RecoveryTime, [&] {
      this->step();
      return this->servesVersion(State, this->LatestVersion);
    });
    if (!Recovered)
      this->Ledger.addViolation(
          absl::StrCat(State.Node->Name, " does not serve configuration ",
                       this->LatestVersion, " after the faults; its output:\n",
                       State.Node->Sidecar->output()));
  }
}

void SoakWorld::checkCalls() {
  std::map<std::string, int> RunCounts;
  for (const NodeState &State : this->Nodes)
    for (const ReceivedRequest &Request : State.Node->Upstream->received())
      if (const auto Id = Request.Headers.find("x-persimmonquay-request-id");
          Id != Request.Headers.end())
        ++RunCounts[Id->second];
  for (const CallRecord &Call : this->Ledger.calls()) {
    const auto RunCount = RunCounts.find(Call.Id);
    const int Count = RunCount == RunCounts.end() ? 0 : RunCount->second;
    if (!Call.Idempotent && Count > 1)
      this->Ledger.addViolation(
          absl::StrCat("call ", Call.Id, " ran ", Count, " times"));
    if (!Call.Idempotent && Count > 0 &&
        impliesNotRun(static_cast<unsigned>(Call.Status)))
      this->Ledger.addViolation(
          absl::StrCat("call ", Call.Id, " was rejected but ran"));
    if (Call.Status == 200 && Count == 0)
      this->Ledger.addViolation(
          absl::StrCat("call ", Call.Id, " was answered but did not run"));
  }
}

} // namespace persimmonquay::testing
