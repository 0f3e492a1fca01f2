#include "testing/soak/soak_world.h"

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

/// Shortest and longest time of a fault.
constexpr int MinSpanMs = 100;
constexpr int MaxSpanMs = 1800;

/// Time after a confirmed drain in which calls may still arrive; the
/// "drain_timeout_s" of the nodes' settings.
constexpr Millis DrainTimeout{2000};

/// Time after the last fault in which everything must serve again; generous,
/// for machines that are busy.
constexpr Millis RecoveryTime{60000};

const std::string Silent;

std::string siblingProgram(const std::string &Name) {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / Name)
      .string();
}

std::string addedRoute(std::uint64_t Version) {
  return absl::StrCat("/added-", Version, "/");
}

/// Answers every call well; the health check too unless the upstream leaves.
AppStandIn::Behaviour
wellBehaved(const std::string &Instance,
            const std::shared_ptr<std::atomic<bool>> &Leaves) {
  return [Instance, Leaves](const ReceivedRequest &Request) {
    if (Request.Target == "/health")
      return *Leaves ? answerTo(Request, 503, "leaving")
                     : healthAnswer(Instance);
    const auto Id = Request.Headers.find("x-persimmonquay-request-id");
    return answerTo(Request, 200,
                    soakBody(Id == Request.Headers.end() ? "" : Id->second));
  };
}

} // namespace

SoakWorld::SoakWorld(std::uint64_t Seed, CallLedger &Promises)
    : Ledger(Promises), Random(Seed) {
  const std::string Forwards = this->Mesh.directory() + "/forwards";
  std::ofstream File(Forwards);
  for (int I = 0; I < 6; ++I) {
    const std::string Address = absl::StrCat("127.0.1.", I + 1);
    MeshPlace &Place = this->Mesh.add(I < 4 ? "gallery" : "orders", "v1",
                                      I % 2 == 0 ? "here" : "there", Address);
    NodeState &Node = this->Nodes.emplace_back();
    Node.Place = &Place;
    Place.App->behave(wellBehaved(Place.Instance, Node.Leaves));
    for (const char *Protocol : {"tcp", "udp"})
      File << Place.Name << " " << Protocol << " " << Address << " 127.0.0.1 "
           << Place.LinkPort << "\n";
  }
  File.close();
  this->Instances = this->Nodes.size();
  this->ProxyPort = freePort();
  this->Proxy = std::make_unique<Process>(
      std::vector<std::string>{siblingProgram("link_stand_in"), "--forwards",
                               Forwards, "--address", "127.0.0.1", "--port",
                               std::to_string(this->ProxyPort)},
      this->Mesh.directory() + "/proxy.log");
  this->publish();
  if (!this->Mesh.waitUntilReady())
    this->Ledger.complain("the nodes did not get ready at the start");
}

std::vector<std::uint16_t> SoakWorld::callerPorts() const {
  std::vector<std::uint16_t> Result;
  for (const NodeState &Node : this->Nodes)
    Result.push_back(Node.Place->CallerPort);
  return Result;
}

SoakWorld::NodeState &SoakWorld::anyNode() {
  return this->Nodes[this->Random() % this->Nodes.size()];
}

Millis SoakWorld::anySpan() {
  return Millis(
      std::uniform_int_distribution<int>(MinSpanMs, MaxSpanMs)(this->Random));
}

void SoakWorld::later(Millis After, std::function<void()> Run) {
  this->Endings.push_back({monoNow() + After, std::move(Run)});
}

void SoakWorld::injectFault() {
  switch (this->Random() % 9) {
  case 0: {
    NodeState &Node = this->anyNode();
    std::cout << "kill " << Node.Place->Name << "\n";
    this->restart(Node);
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
    this->disturbLink();
    break;
  case 5:
    this->disturbStore();
    break;
  case 6:
    this->drainUpstream();
    break;
  case 7:
    this->breakUpstream();
    break;
  default:
    this->publish();
    break;
  }
}

void SoakWorld::restart(NodeState &Node) {
  Node.Paused = false;
  Node.SeenVersion = 0;
  this->Mesh.startNode(*Node.Place);
}

void SoakWorld::stopGracefully() {
  NodeState &Node = this->anyNode();
  std::cout << "SIGTERM " << Node.Place->Name << "\n";
  Node.Place->Node->signal(SIGTERM);
  this->restartOnceEnded(Node, Node.Place->Node->id());
}

void SoakWorld::restartOnceEnded(NodeState &Node, pid_t Stopping) {
  // Another fault may have started it anew meanwhile.
  if (Node.Place->Node->id() != Stopping)
    return;
  if (Node.Place->Node->wait(Millis(0)))
    this->restart(Node);
  else
    this->later(Millis(100), [this, &Node, Stopping] {
      this->restartOnceEnded(Node, Stopping);
    });
}

void SoakWorld::pause() {
  NodeState &Node = this->anyNode();
  std::cout << "pause " << Node.Place->Name << "\n";
  Node.Paused = true;
  Node.Place->Node->signal(SIGSTOP);
  this->later(this->anySpan(), [&Node] {
    Node.Paused = false;
    Node.Place->Node->signal(SIGCONT);
  });
}

void SoakWorld::control(const std::string &Link, const std::string &Fault) {
  sendBytes(this->ProxyPort,
            absl::StrCat("POST /control?link=", Link, "&", Fault,
                         " HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n"
                         "Content-Length: 0\r\n\r\n"),
            Millis(2000));
}

void SoakWorld::disturbLink() {
  const std::string Link = this->anyNode().Place->Name;
  static const std::pair<const char *, const char *> Faults[] = {
      {"cut=1", "cut=0"},
      {"delay_ms=150", "delay_ms=0"},
      {"one_way=1", "one_way=0"},
      {"silence=1", "silence=0"}};
  const auto &[Begin, End] = Faults[this->Random() % std::size(Faults)];
  std::cout << "link " << Link << " " << Begin << "\n";
  this->control(Link, Begin);
  this->later(this->anySpan(), [this, Link, Restore = std::string(End)] {
    this->control(Link, Restore);
  });
}

void SoakWorld::disturbStore() {
  const std::uint64_t Choice = this->Random() % 3;
  std::cout << "store, fault " << Choice << "\n";
  if (Choice == 0) {
    this->Mesh.store().setOutage(true);
    this->later(this->anySpan(),
                [this] { this->Mesh.store().setOutage(false); });
  } else if (Choice == 1) {
    this->Mesh.store().loseAnswers(3);
  } else {
    this->Mesh.store().forgetHistory("keyed.op");
  }
}

void SoakWorld::drainUpstream() {
  NodeState &Node = this->anyNode();
  if (Node.Draining || Node.Paused)
    return;
  std::cout << "drain the upstream of " << Node.Place->Name << "\n";
  Node.Draining = true;
  *Node.Leaves = true;
  if (this->Mesh.heartbeat(*Node.Place, "draining") == 200)
    Node.DrainedAt = monoNow();
  this->later(DrainTimeout + Millis(1000), [this, &Node] {
    this->checkDrain(Node);
    MeshPlace &Place = *Node.Place;
    Place.Instance = absl::StrCat("i-", ++this->Instances);
    Place.StartedUnixMs = static_cast<std::uint64_t>(unixMillis(wallNow()));
    *Node.Leaves = false;
    Place.App->behave(wellBehaved(Place.Instance, Node.Leaves));
    Node.Draining = false;
    Node.DrainedAt.reset();
  });
}

void SoakWorld::checkDrain(NodeState &Node) {
  if (!Node.DrainedAt)
    return;
  for (const ReceivedRequest &Request : Node.Place->App->received())
    if (Request.Target != "/health" &&
        Request.Arrival > *Node.DrainedAt + DrainTimeout)
      this->Ledger.complain(absl::StrCat(
          "a call reached the upstream of ", Node.Place->Name,
          " long after its drain was confirmed: ", Request.Target));
}

void SoakWorld::breakUpstream() {
  NodeState &Node = this->anyNode();
  const std::uint64_t Choice = this->Random() % 4;
  std::cout << "upstream of " << Node.Place->Name << ", fault " << Choice
            << "\n";
  const AppStandIn::Behaviour Well =
      wellBehaved(Node.Place->Instance, Node.Leaves);
  Node.Place->App->behave([Well, Choice](const ReceivedRequest &Request) {
    std::string Good = Well(Request);
    if (Request.Target == "/health")
      return Good;
    switch (Choice) {
    case 0: // The answer is lost.
      return Silent;
    case 1: // Broken off in its middle.
      return absl::StrCat(std::string(1, ThenClose),
                          Good.substr(0, Good.size() - 20));
    case 2: { // A second answer, to another call.
      ReceivedRequest Other = Request;
      Other.Headers["x-persimmonquay-request-id"] = "another";
      return Good + answerTo(Other, 200, soakBody("another"));
    }
    default:
      return answerTo(Request, 500, "broken");
    }
  });
  this->later(this->anySpan(), [&Node] {
    Node.Place->App->behave(wellBehaved(Node.Place->Instance, Node.Leaves));
  });
}

void SoakWorld::publish() {
  this->Version += 1 + this->Random() % 3;
  std::cout << "configuration " << this->Version << "\n";
  this->AddedRoutes.push_back(addedRoute(this->Version));
  this->Mesh.publish(this->Version, "gallery", 3000, this->AddedRoutes);
}

void SoakWorld::sendHeartbeats() {
  for (NodeState &Node : this->Nodes)
    if (!Node.Paused && !Node.Draining)
      this->Mesh.heartbeat(*Node.Place);
}

bool SoakWorld::serves(const NodeState &Node, std::uint64_t Wanted) {
  const std::string Answer = sendBytes(
      Node.Place->CallerPort,
      absl::StrCat("GET ", addedRoute(Wanted),
                   " HTTP/1.1\r\nHost: boards.example\r\n"
                   "X-Persimmonquay-Request-Id: probe\r\nConnection: close\r\n"
                   "X-Persimmonquay-Deadline-Remaining: 500\r\n\r\n"),
      Millis(1500));
  if (Answer.find(" 404 ") == std::string::npos)
    return Answer.find("HTTP/1.1 ") == 0 &&
           Answer.find(" 503 ") == std::string::npos;
  if (Wanted <= Node.SeenVersion)
    this->Ledger.complain(absl::StrCat(
        Node.Place->Name, " went back behind configuration ", Wanted));
  return false;
}

void SoakWorld::checkVersions() {
  NodeState &Node = this->anyNode();
  if (Node.Paused)
    return;
  if (Node.SeenVersion > 0)
    this->serves(Node, Node.SeenVersion);
  if (Node.SeenVersion < this->Version && this->serves(Node, this->Version))
    Node.SeenVersion = this->Version;
}

void SoakWorld::step() {
  const MonoTime Now = monoNow();
  std::vector<Ending> Due;
  std::erase_if(this->Endings, [&](Ending &Each) {
    if (Each.At > Now)
      return false;
    Due.push_back(std::move(Each));
    return true;
  });
  for (const Ending &Each : Due)
    Each.Run();
  if (Now >= this->NextHeartbeats) {
    this->sendHeartbeats();
    this->NextHeartbeats = Now + HeartbeatInterval;
  }
  if (Now >= this->NextCheck) {
    this->checkVersions();
    this->NextCheck = Now + VersionCheckInterval;
  }
}

void SoakWorld::healAndCheck() {
  while (!this->Endings.empty()) {
    this->step();
    std::this_thread::sleep_for(Millis(20));
  }
  for (NodeState &Node : this->Nodes) {
    const bool Served = eventually(RecoveryTime, [&] {
      this->step();
      return this->serves(Node, this->Version);
    });
    if (!Served)
      this->Ledger.complain(absl::StrCat(
          Node.Place->Name, " does not serve configuration ", this->Version,
          " after the faults; its output:\n", Node.Place->Node->output()));
  }
}

void SoakWorld::checkCalls() {
  std::map<std::string, int> Runs;
  for (const NodeState &Node : this->Nodes)
    for (const ReceivedRequest &Request : Node.Place->App->received())
      if (const auto Id = Request.Headers.find("x-persimmonquay-request-id");
          Id != Request.Headers.end())
        ++Runs[Id->second];
  for (const CallRecord &Call : this->Ledger.calls()) {
    const auto Found = Runs.find(Call.Id);
    const int Count = Found == Runs.end() ? 0 : Found->second;
    if (!Call.Idempotent && Count > 1)
      this->Ledger.complain(
          absl::StrCat("call ", Call.Id, " ran ", Count, " times"));
    if (!Call.Idempotent && Call.Status == 503 && Count > 0)
      this->Ledger.complain(
          absl::StrCat("call ", Call.Id, " was refused and ran"));
    if (Call.Status == 200 && Count == 0)
      this->Ledger.complain(
          absl::StrCat("call ", Call.Id, " was answered and did not run"));
  }
}

} // namespace persimmonquay::testing
