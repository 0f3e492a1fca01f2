// Tests of the program as processes on loopback: requests that crash the
// upstreams that run them.
#include "testing/platform/small_mesh.h"
#include <absl/strings/str_cat.h>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// Number of upstreams that a request may crash before all nodes reject it.
constexpr int MaxCrashes = 3;

/// Time after the last of these crashes by which all nodes know of them, and
/// number of times that the request may still reach an upstream after that.
constexpr Millis PropagationTime{3000};
constexpr std::size_t MaxLateArrivals = 3;

constexpr char CrashingPath[] = "/views/crash";

/// While an upstream runs this, it calls `CrashingPath`.
constexpr char ParentPath[] = "/views/parent";

/// Requests, the second of them unsafe, that crash their upstream only after
/// `LateCrashTime`.
constexpr char LateSafePath[] = "/views/late-crash";
constexpr char LateUnsafePath[] = "/orders/late-crash";
constexpr Millis LateCrashTime{400};

/// Time after which callers give up a request that crashes its upstream late.
constexpr Millis CallerPatience{150};

/// Nodes beside upstreams of "gallery" that crash when they run a request for
/// `CrashingPath`, and one node beside an upstream of "orders" for callers.
class CrashingMesh {
public:
  explicit CrashingMesh(int GalleryCount) {
    this->Mesh.add("orders");
    for (int I = 0; I < GalleryCount; ++I) {
      TestNode &Node = this->Mesh.add("gallery");
      Node.Upstream->setHandler([this, &Node](const ReceivedRequest &Request) {
        if (Request.Target == "/health")
          return healthResponse(Node.Instance);
        if (Request.Target == ParentPath)
          return this->callFrom(Node, CrashingPath) == 200
                     ? responseTo(Request)
                     : responseTo(Request, 500, "a call failed");
        if (Request.Target == "/views/slow")
          std::this_thread::sleep_for(Millis(200));
        if (Request.Target == LateSafePath ||
            Request.Target == LateUnsafePath) {
          std::this_thread::sleep_for(LateCrashTime);
          return std::string(this->RestartsAtOnce ? CrashAndRestartUpstream
                                                  : CrashUpstream);
        }
        return Request.Target == CrashingPath ? std::string(CrashUpstream)
                                              : responseTo(Request);
      });
    }
    this->Mesh.publish(5, "gallery");
    REQUIRE(this->Mesh.waitUntilReady());
    for (const auto &Node : this->Mesh.nodes())
      REQUIRE(eventually(WaitTimeout, [&] {
        return this->callFrom(*Node, "/views/1") == 200;
      }));
  }

  /// Sends a safe request through a node; returns the status of the response.
  int callFrom(const TestNode &Node, const std::string &Target) {
    return this->Mesh
        .call(Node, {.Target = Target,
                     .RequestId = absl::StrCat("call-", ++this->CallCount),
                     .DeadlineMs = 1500})
        .Status;
  }

  /// Starts the upstreams that have crashed again.
  void restartUpstreams() {
    for (const auto &Node : this->Mesh.nodes()) {
      if (!Node->Upstream->isDown())
        continue;
      Node->Upstream->restart();
      Node->StartedUnixMs = static_cast<std::uint64_t>(unixMillis(wallNow()));
      Node->Sequence = 0;
      this->Mesh.heartbeat(*Node);
    }
  }

  /// Reports the upstreams that have crashed and listen again to their nodes.
  void reportCrashedUpstreams() {
    for (const auto &Node : this->Mesh.nodes()) {
      int &Reported = this->ReportedCrashes[Node->Name];
      if (std::exchange(Reported, Node->Upstream->crashCount()) == Reported)
        continue;
      Node->StartedUnixMs = static_cast<std::uint64_t>(unixMillis(wallNow()));
      Node->Sequence = 0;
      this->Mesh.heartbeat(*Node);
    }
  }

  int crashCount() {
    int Count = 0;
    for (const auto &Node : this->Mesh.nodes())
      Count += Node->Upstream->crashCount();
    return Count;
  }

  /// Returns how often a crashing request has reached an upstream since
  /// `Start`.
  std::size_t arrivalsSince(MonoTime Start) {
    std::size_t Count = 0;
    for (const auto &Node : this->Mesh.nodes())
      for (const ReceivedRequest &Request : Node->Upstream->received())
        Count +=
            (Request.Target == CrashingPath || Request.Target == LateSafePath ||
             Request.Target == LateUnsafePath) &&
            Request.Arrival >= Start;
    return Count;
  }

  /// Sends a request through a node and closes the connection after
  /// `CallerPatience`.
  void callAndLeave(const TestNode &Node, const std::string &Method,
                    const std::string &Target) {
    sendBytes(Node.CallerPort,
              absl::StrCat(Method, " ", Target,
                           " HTTP/1.1\r\nHost: boards.example\r\n"
                           "X-Persimmonquay-Request-Id: left-",
                           ++this->CallCount,
                           "\r\nX-Persimmonquay-Deadline-Remaining: 2500\r\n"
                           "Content-Length: 0\r\n\r\n"),
              CallerPatience);
  }

  /// Repeats the crashing request, or one that leads to it, through one node
  /// after the other. Upstreams are back a short time after each crash.
  void repeatCrashingRequest(int Times,
                             const std::string &Target = CrashingPath) {
    for (int I = 0; I < Times; ++I) {
      const auto &Nodes = this->Mesh.nodes();
      const int Status = this->callFrom(
          *Nodes[static_cast<std::size_t>(I) % Nodes.size()], Target);
      CHECK(Status >= 500);
      std::this_thread::sleep_for(Millis(100));
      this->restartUpstreams();
    }
  }

  SmallMesh Mesh;
  /// Whether upstreams listen again at once after a late crash.
  std::atomic<bool> RestartsAtOnce = false;

private:
  std::atomic<int> CallCount = 0;
  std::map<std::string, int> ReportedCrashes;
};

/// Sends a crashing request again and again by `SendOnce`, which gets the node
/// to send it through, and checks that it doesn't go on ending upstreams.
template <typename F>
void checkRecognized(CrashingMesh &Setup, const F &SendOnce) {
  const auto Repeat = [&](std::size_t Times) {
    const auto &Nodes = Setup.Mesh.nodes();
    for (std::size_t I = 0; I < Times; ++I) {
      SendOnce(*Nodes[I % Nodes.size()]);
      std::this_thread::sleep_for(LateCrashTime);
      Setup.restartUpstreams();
    }
  };
  Repeat(10);
  CHECK(Setup.crashCount() >= 1);
  CHECK(Setup.crashCount() <= MaxCrashes);
  std::this_thread::sleep_for(PropagationTime);
  const MonoTime Known = monoNow();
  Repeat(6);
  CHECK(Setup.arrivalsSince(Known) <= MaxLateArrivals);
}

} // namespace

// Each repetition of a request that crashes upstreams ended one more of them.
TEST_CASE("a request that crashes upstreams is not repeated without end") {
  CrashingMesh Setup(6);
  Setup.repeatCrashingRequest(12);
  CHECK(Setup.crashCount() >= 1);
  CHECK(Setup.crashCount() <= MaxCrashes);
  std::this_thread::sleep_for(PropagationTime);
  const MonoTime Known = monoNow();
  Setup.repeatCrashingRequest(12);
  CHECK(Setup.arrivalsSince(Known) <= MaxLateArrivals);
  for (const auto &Node : Setup.Mesh.nodes())
    CHECK(Setup.callFrom(*Node, "/views/2") == 200);
}

// The request is a call of another one that is harmless itself.
TEST_CASE("a nested call that crashes upstreams is not repeated without end") {
  CrashingMesh Setup(6);
  Setup.repeatCrashingRequest(12, ParentPath);
  CHECK(Setup.crashCount() >= 1);
  CHECK(Setup.crashCount() <= MaxCrashes);
  std::this_thread::sleep_for(PropagationTime);
  const MonoTime Known = monoNow();
  Setup.repeatCrashingRequest(12, ParentPath);
  CHECK(Setup.arrivalsSince(Known) <= MaxLateArrivals);
}

// A call that had crashed an upstream on a reused connection was reported as
// not run, and was offered to one upstream after the other.
TEST_CASE("one call doesn't crash more upstreams than its maximum attempts") {
  CrashingMesh Setup(5);
  TestNode &Caller = *Setup.Mesh.nodes()[0];
  for (int I = 0; I < 40; ++I)
    CHECK(Setup.callFrom(Caller, "/views/1") == 200);
  // Connections that have been idle for this long may have been closed by the
  // upstream, so that an idempotent call may be sent again.
  std::this_thread::sleep_for(Millis(300));
  const int Status = Setup.callFrom(Caller, CrashingPath);
  CHECK(Setup.crashCount() <= 2);
  // 503 would promise that the call has not run.
  CHECK(Status == 502);
}

// The node beside the upstream no longer waited for the response when the
// upstream ended, so that it did not notice the crash.
TEST_CASE("a request that crashes upstreams is recognized although nobody "
          "waits for its end") {
  CrashingMesh Setup(6);
  SUBCASE("an unsafe one whose caller has left") {
    checkRecognized(Setup, [&](const TestNode &Node) {
      Setup.callAndLeave(Node, "POST", LateUnsafePath);
    });
  }
  SUBCASE("a safe one whose caller has left") {
    checkRecognized(Setup, [&](const TestNode &Node) {
      Setup.callAndLeave(Node, "GET", LateSafePath);
    });
  }
  SUBCASE("an unsafe one whose deadline has passed") {
    checkRecognized(Setup, [&](const TestNode &Node) {
      Setup.Mesh.call(Node, {.Method = "POST",
                             .Target = LateUnsafePath,
                             .RequestId = "expired",
                             .DeadlineMs = 100});
    });
  }
  SUBCASE("a safe one whose deadline has passed") {
    checkRecognized(Setup, [&](const TestNode &Node) {
      Setup.Mesh.call(
          Node,
          {.Target = LateSafePath, .RequestId = "expired", .DeadlineMs = 100});
    });
  }
  SUBCASE("one whose caller's node has ended") {
    TestNode &Caller = *Setup.Mesh.nodes().front();
    std::string Method;
    std::string Target;
    SUBCASE("unsafe") {
      Method = "POST";
      Target = LateUnsafePath;
    }
    SUBCASE("safe") {
      Method = "GET";
      Target = LateSafePath;
    }
    checkRecognized(Setup, [&](const TestNode &) {
      Setup.callAndLeave(Caller, Method, Target);
      Caller.Sidecar->signal(SIGKILL);
      Setup.Mesh.startNode(Caller);
      REQUIRE(eventually(WaitTimeout, [&] {
        return Setup.callFrom(Caller, "/views/1") == 200;
      }));
    });
  }
  SUBCASE("one whose upstream listens again at once") {
    Setup.RestartsAtOnce = true;
    checkRecognized(Setup, [&](const TestNode &Node) {
      Setup.callAndLeave(Node, "POST", LateUnsafePath);
      std::this_thread::sleep_for(LateCrashTime);
      Setup.reportCrashedUpstreams();
    });
  }
}

// Restarted nodes must learn what the others know before they pass on calls.
TEST_CASE("a request that crashes upstreams stays rejected after restarts") {
  CrashingMesh Setup(5);
  Setup.repeatCrashingRequest(10);
  REQUIRE(Setup.crashCount() <= MaxCrashes);
  SUBCASE("of one node after the other") {
    for (const auto &Node : Setup.Mesh.nodes()) {
      Node->Sidecar->signal(SIGKILL);
      Setup.Mesh.startNode(*Node);
      REQUIRE(eventually(WaitTimeout,
                         [&] { return Setup.Mesh.heartbeat(*Node) == 200; }));
      std::this_thread::sleep_for(Millis(500));
    }
  }
  SUBCASE("of all nodes at once") {
    for (const auto &Node : Setup.Mesh.nodes())
      Node->Sidecar->signal(SIGKILL);
    for (const auto &Node : Setup.Mesh.nodes())
      Setup.Mesh.startNode(*Node);
    for (const auto &Node : Setup.Mesh.nodes())
      REQUIRE(eventually(WaitTimeout,
                         [&] { return Setup.Mesh.heartbeat(*Node) == 200; }));
  }
  REQUIRE(Setup.Mesh.waitUntilReady());
  std::this_thread::sleep_for(PropagationTime);
  const MonoTime Known = monoNow();
  Setup.repeatCrashingRequest(12);
  // A request that is not known to the nodes would crash two upstreams. One may
  // end when the time for which the request is rejected is over.
  CHECK(Setup.arrivalsSince(Known) <= 1);
  for (const auto &Node : Setup.Mesh.nodes())
    CHECK(eventually(WaitTimeout,
                     [&] { return Setup.callFrom(*Node, "/views/2") == 200; }));
}

// Requests that ran beside the crashing one must not be blamed for good.
TEST_CASE("requests beside a request that crashes upstreams are served") {
  CrashingMesh Setup(4);
  const auto &Nodes = Setup.Mesh.nodes();
  for (int Round = 0; Round < 3; ++Round) {
    std::vector<std::thread> Callers;
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      Callers.emplace_back(
          [&, I] { Setup.Mesh.call(*Nodes[I], {.Target = "/views/slow"}); });
    std::this_thread::sleep_for(Millis(50));
    Setup.repeatCrashingRequest(1);
    for (std::thread &Caller : Callers)
      Caller.join();
  }
  for (const auto &Node : Nodes)
    CHECK(eventually(Millis(5000), [&] {
      return Setup.callFrom(*Node, "/views/slow") == 200;
    }));
}

} // namespace persimmonquay::testing
