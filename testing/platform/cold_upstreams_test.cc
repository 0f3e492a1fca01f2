// Tests of the program as processes on loopback: upstreams that are cold.
#include "testing/platform/small_mesh.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <deque>
#include <doctest/doctest.h>
#include <mutex>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// Calls a second that a cold upstream bears.
constexpr double ColdRate = 14;

/// Calls in one second from which on a cold upstream ends.
constexpr std::size_t TooManyInSecond = 30;

/// An upstream that ends when it gets too many calls while it is cold.
class ColdUpstream {
public:
  explicit ColdUpstream(TestNode &HostNode) : Node(HostNode) {
    this->Node.Upstream->setHandler([this](const ReceivedRequest &Request) {
      return this->respond(Request);
    });
  }

  void becomeCold(Millis Duration) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ColdUntil = monoNow() + Duration;
    this->Node.ColdRemaining = std::chrono::duration<double>(Duration).count();
  }

  /// Returns how many calls it has run.
  int runCount() const { return this->RunCount; }
  /// Returns the largest number of calls in one second while it was cold.
  std::size_t mostInSecond() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->MostInSecond;
  }

private:
  std::string respond(const ReceivedRequest &Request) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    const MonoTime Now = monoNow();
    const bool IsCold = Now < this->ColdUntil;
    if (Request.Target == "/health") {
      std::string Response = healthResponse(this->Node.Instance);
      const auto Left =
          std::chrono::ceil<Millis>(this->ColdUntil - Now).count();
      return Response.insert(Response.find("\r\n") + 2,
                             absl::StrCat("X-Persimmonquay-Cold-Milliseconds: ",
                                          IsCold ? Left : 0, "\r\n"));
    }
    if (IsCold)
      this->Arrivals.push_back(Now);
    while (!this->Arrivals.empty() &&
           Now - this->Arrivals.front() >= std::chrono::seconds(1))
      this->Arrivals.pop_front();
    this->MostInSecond = std::max(this->MostInSecond, this->Arrivals.size());
    if (this->Arrivals.size() >= TooManyInSecond)
      return CrashUpstream;
    ++this->RunCount;
    return responseTo(Request);
  }

  TestNode &Node;
  std::mutex Mutex;
  MonoTime ColdUntil;
  /// Of the last second, while it was cold.
  std::deque<MonoTime> Arrivals;
  std::size_t MostInSecond = 0;
  std::atomic<int> RunCount = 0;
};

/// Callers that send calls through several nodes, and again after a refusal,
/// until they are stopped.
class Callers {
public:
  Callers(SmallMesh &CalledMesh, const std::vector<TestNode *> &Nodes) {
    for (TestNode *Node : Nodes)
      for (int I = 0; I < 3; ++I)
        this->Threads.emplace_back([this, &CalledMesh, Node] {
          while (!this->Stopping) {
            const CallResponse Response = CalledMesh.call(
                *Node, {.RequestId = absl::StrCat("call-", ++this->Calls),
                        .DeadlineMs = 1500});
            if (Response.Status == 200)
              ++this->Answered;
            if (Response.Status == 503 &&
                !Response.Headers.contains("retry-after"))
              ++this->WithoutRetryAfter;
            std::this_thread::sleep_for(Millis(5));
          }
        });
  }
  ~Callers() {
    this->Stopping = true;
    for (std::thread &Thread : this->Threads)
      Thread.join();
  }

  std::atomic<int> Answered = 0;
  std::atomic<int> WithoutRetryAfter = 0;

private:
  std::atomic<bool> Stopping = false;
  std::atomic<int> Calls = 0;
  std::vector<std::thread> Threads;
};

} // namespace

TEST_CASE("a node that restarts beside a cold upstream holds the bound") {
  SmallMesh Mesh;
  Mesh.setColdStart(3, ColdRate);
  TestNode &Host = Mesh.add("gallery");
  const std::vector<TestNode *> Others = {&Mesh.add("orders"),
                                          &Mesh.add("orders")};
  ColdUpstream Upstream(Host);
  Mesh.publish(5, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  Upstream.becomeCold(Millis(8000));
  REQUIRE(Mesh.heartbeat(Host) == 200);
  Callers Load(Mesh, Others);
  std::this_thread::sleep_for(Millis(1500));
  CHECK(Upstream.runCount() > 0.7 * ColdRate);
  for (int Restart = 0; Restart < 2; ++Restart) {
    Host.Sidecar->signal(SIGKILL);
    Host.Sidecar->wait(WaitTimeout);
    Mesh.startNode(Host);
    const int RunBefore = Upstream.runCount();
    CHECK(eventually(WaitTimeout,
                     [&] { return Upstream.runCount() > RunBefore + 5; }));
  }
  CHECK(Upstream.mostInSecond() <= 1.5 * ColdRate + 8);
  CHECK(Host.Upstream->crashCount() == 0);
  // Warm by its own account, which no heartbeat has told yet.
  Upstream.becomeCold(Millis(0));
  REQUIRE(Mesh.heartbeat(Host) == 200);
  const int RunBefore = Upstream.runCount();
  CHECK(eventually(Millis(3000), [&] {
    return Upstream.runCount() > RunBefore + 6 * ColdRate;
  }));
}

// Each crash used to bring the upstream back cold, for the next one.
TEST_CASE("all upstreams cold at once under load climb back without a crash") {
  SmallMesh Mesh;
  Mesh.setColdStart(3, ColdRate);
  const std::vector<TestNode *> Hosts = {
      &Mesh.add("gallery"), &Mesh.add("gallery"), &Mesh.add("gallery")};
  const std::vector<TestNode *> Others = {&Mesh.add("orders"),
                                          &Mesh.add("orders")};
  std::deque<ColdUpstream> Upstreams;
  for (TestNode *Host : Hosts)
    Upstreams.emplace_back(*Host);
  Mesh.publish(5, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  // All hosts lose their power.
  for (const auto &Node : Mesh.nodes())
    Node->Sidecar->signal(SIGKILL);
  for (const auto &Node : Mesh.nodes()) {
    Node->Sidecar->wait(WaitTimeout);
    Node->StartedUnixMs += 60000;
    Node->Sequence = 0;
    Mesh.startNode(*Node);
  }
  Callers Load(Mesh, Others);
  constexpr Millis ColdTime(4000);
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    Upstreams[I].becomeCold(ColdTime);
    REQUIRE(eventually(WaitTimeout,
                       [&] { return Mesh.heartbeat(*Hosts[I]) == 200; }));
  }
  const MonoTime ColdEnd = monoNow() + ColdTime;
  // In the first seconds already.
  REQUIRE(eventually(WaitTimeout, [&] { return Load.Answered > 0; }));
  const int AnsweredBefore = Load.Answered;
  std::this_thread::sleep_for(Millis(2000));
  CHECK(Load.Answered - AnsweredBefore > 0.5 * 2 * 3 * ColdRate);
  std::this_thread::sleep_until(ColdEnd + Millis(1000));
  const int AnsweredCold = Load.Answered;
  std::this_thread::sleep_for(Millis(1000));
  CHECK(Load.Answered - AnsweredCold > 2 * 3 * ColdRate);
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    CHECK(Upstreams[I].mostInSecond() <= 1.5 * ColdRate + 8);
    CHECK(Hosts[I]->Upstream->crashCount() == 0);
  }
  CHECK(Load.WithoutRetryAfter == 0);
}

TEST_CASE("an upstream whose heartbeats are missing is asked whether it is "
          "cold") {
  SmallMesh Mesh;
  Mesh.setColdStart(3, ColdRate);
  Mesh.setHeartbeatInterval(1.5);
  TestNode &Host = Mesh.add("gallery");
  const std::vector<TestNode *> Others = {&Mesh.add("orders"),
                                          &Mesh.add("orders")};
  ColdUpstream Upstream(Host);
  Mesh.publish(5, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  REQUIRE(Mesh.heartbeat(Host) == 200);
  Upstream.becomeCold(Millis(20000));
  // Two and a half intervals, and the interval at which the node checks.
  std::this_thread::sleep_for(Millis(4500));
  const Callers Load(Mesh, Others);
  std::this_thread::sleep_for(Millis(1500));
  CHECK(Upstream.runCount() > 0.7 * ColdRate);
  CHECK(Upstream.mostInSecond() <= 1.5 * ColdRate + 8);
}

} // namespace persimmonquay::testing
