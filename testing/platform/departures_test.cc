// Tests of the program as processes on loopback: an upstream whose departure
// has been confirmed while the store is down.
#include "testing/platform/small_mesh.h"
#include <absl/strings/str_cat.h>
#include <array>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <string>
#include <thread>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// Time after which a leaving upstream gets no more calls.
constexpr Millis DrainTimeout{2000};

/// Time for which restarted nodes hear from the others.
constexpr Millis NeighbourTime{1500};

/// Interval between the calls that look for an upstream that is used again.
constexpr Millis CallPause{20};

/// An upstream that leaves during an outage of the store, its node, and three
/// other nodes, one of them beside an upstream of the same service. The
/// upstream claims to be healthy until it exits, so that only the memory of its
/// departure keeps the nodes from using it.
class DepartureMesh {
public:
  DepartureMesh()
      : Callers{&this->Mesh.add("orders"), &this->Mesh.add("orders")},
        Other(this->Mesh.add("gallery")), Leaver(this->Mesh.add("gallery")) {
    this->Mesh.publish(5, "gallery");
    REQUIRE(this->Mesh.waitUntilReady());
    REQUIRE(eventually(WaitTimeout, [this] {
      this->callAll();
      return !this->Leaver.Upstream->received().empty();
    }));
    // A departure has to be remembered beside an entry that doesn't have it.
    REQUIRE(eventually(WaitTimeout, [this] {
      const auto Stored =
          this->Mesh.store().newestValue("keyed.nodes", this->Leaver.Name);
      return Stored && Stored->find(this->Leaver.Instance) != std::string::npos;
    }));
    this->Mesh.store().setOutage(true);
  }

  /// Sends one call through each node.
  void callAll() {
    for (const auto &Node : this->Mesh.nodes())
      this->Mesh.call(*Node, {.RequestId = absl::StrCat("call-", ++this->Calls),
                              .DeadlineMs = 1000});
  }

  /// Makes the upstream say in a response that it leaves.
  void nameDepartureInResponse() {
    this->Leaver.Upstream->setHandler([this](const ReceivedRequest &Request) {
      if (Request.Target == "/health")
        return healthResponse(this->Leaver.Instance);
      std::string Response = responseTo(Request);
      return Response.insert(Response.find("\r\n") + 2,
                             "Server-Leaving: 1\r\n");
    });
    REQUIRE(eventually(WaitTimeout, [this] {
      return this->Mesh
          .call(this->Leaver, {.RequestId = absl::StrCat("n-", ++this->Calls)})
          .Headers.contains("server-leaving");
    }));
  }

  /// Starts a node again after `Signal` has ended its process.
  void restart(TestNode &Node, int Signal) {
    Node.Sidecar->signal(Signal);
    Node.Sidecar->wait(WaitTimeout);
    this->Mesh.startNode(Node);
  }

  /// Sends a heartbeat as it was before the departure, which arrives late.
  void sendLateHeartbeat() {
    REQUIRE(eventually(WaitTimeout, [this] {
      return this->Mesh.heartbeat(this->Leaver) == 200;
    }));
  }

  /// Sends calls through all nodes for a while.
  void callFor(Millis Duration) {
    const MonoTime End = monoNow() + Duration;
    while (monoNow() < End) {
      this->callAll();
      std::this_thread::sleep_for(CallPause);
    }
  }

  /// Returns how many calls have reached the upstream since `Start`.
  std::size_t callsToLeaver(MonoTime Start) {
    std::size_t Count = 0;
    for (const ReceivedRequest &Request : this->Leaver.Upstream->received())
      Count += Request.Target != "/health" && Request.Arrival > Start;
    return Count;
  }

  SmallMesh Mesh;
  std::vector<TestNode *> Callers;
  TestNode &Other;
  TestNode &Leaver;

private:
  std::atomic<int> Calls = 0;
};

/// Checks that the upstream is not used again although late heartbeats arrive
/// during the outage of the store and after it.
void checkStaysUnused(DepartureMesh &Setup, MonoTime ConfirmedAt) {
  Setup.sendLateHeartbeat();
  Setup.callFor(NeighbourTime);
  Setup.sendLateHeartbeat();
  Setup.callFor(DrainTimeout);
  Setup.Mesh.store().setOutage(false);
  Setup.callFor(NeighbourTime);
  Setup.sendLateHeartbeat();
  Setup.callFor(NeighbourTime);
  CHECK(Setup.callsToLeaver(ConfirmedAt + DrainTimeout) == 0);
  // A later incarnation of the instance is used.
  Setup.Leaver.StartedUnixMs =
      static_cast<std::uint64_t>(unixMillis(wallNow())) + 3600000;
  Setup.Leaver.Sequence = 0;
  const MonoTime StartedAt = monoNow();
  CHECK(Setup.Mesh.heartbeat(Setup.Leaver) == 200);
  CHECK(eventually(WaitTimeout, [&] {
    Setup.callAll();
    return Setup.callsToLeaver(StartedAt) > 0;
  }));
}

} // namespace

// The departure was kept on the store only, and forgotten if its node ended
// before it had been stored.
TEST_CASE("a departure confirmed while the store is down outlasts a restart") {
  DepartureMesh Setup;
  SUBCASE("announced by a heartbeat") {
    CHECK(Setup.Mesh.heartbeat(Setup.Leaver, "draining") == 200);
  }
  SUBCASE("deregistered without a start time") {
    CHECK(Setup.Mesh.deregister(Setup.Leaver) == 200);
  }
  SUBCASE("named in a response") { Setup.nameDepartureInResponse(); }
  SUBCASE("deregistered after a restart, before any heartbeat") {
    Setup.restart(Setup.Leaver, SIGKILL);
    REQUIRE(eventually(WaitTimeout, [&] {
      return Setup.Mesh.deregister(Setup.Leaver) == 200;
    }));
  }
  const MonoTime ConfirmedAt = monoNow();
  Setup.restart(Setup.Leaver, SIGKILL);
  checkStaysUnused(Setup, ConfirmedAt);
}

TEST_CASE("a departure confirmed while the store is down outlasts all "
          "restarts") {
  DepartureMesh Setup;
  CHECK(Setup.Mesh.deregister(Setup.Leaver) == 200);
  const MonoTime ConfirmedAt = monoNow();
  SUBCASE("of its node, by SIGTERM") { Setup.restart(Setup.Leaver, SIGTERM); }
  SUBCASE("of its node, twice") {
    Setup.restart(Setup.Leaver, SIGKILL);
    Setup.sendLateHeartbeat();
    std::this_thread::sleep_for(Millis(300));
    Setup.restart(Setup.Leaver, SIGKILL);
  }
  SUBCASE("of its node, killed twice in quick succession") {
    Setup.restart(Setup.Leaver, SIGKILL);
    Setup.restart(Setup.Leaver, SIGKILL);
  }
  SUBCASE("of the other nodes, one after the other, and then its own") {
    for (const auto &Node : Setup.Mesh.nodes()) {
      Setup.restart(*Node, SIGKILL);
      std::this_thread::sleep_for(NeighbourTime);
    }
  }
  SUBCASE("of its node while the store is back but doesn't have it") {
    Setup.Leaver.Sidecar->signal(SIGKILL);
    Setup.Leaver.Sidecar->wait(WaitTimeout);
    Setup.Mesh.store().setOutage(false);
    Setup.Mesh.startNode(Setup.Leaver);
  }
  checkStaysUnused(Setup, ConfirmedAt);
}

// Only a node of another data centre remembers the departure.
TEST_CASE("a departure confirmed while the store is down outlasts its data "
          "centre") {
  DepartureMesh Setup;
  Setup.Mesh.store().setOutage(false);
  TestNode &Remote = Setup.Mesh.add("orders", "v1", "there");
  REQUIRE(eventually(WaitTimeout, [&] {
    return Setup.Mesh.call(Remote, {.RequestId = "remote"}).Status == 200;
  }));
  Setup.Mesh.store().setOutage(true);
  CHECK(Setup.Mesh.deregister(Setup.Leaver) == 200);
  const MonoTime ConfirmedAt = monoNow();
  for (const auto &Node : Setup.Mesh.nodes())
    if (Node.get() != &Remote)
      Node->Sidecar->signal(SIGKILL);
  for (const auto &Node : Setup.Mesh.nodes())
    if (Node.get() != &Remote)
      Setup.restart(*Node, SIGKILL);
  checkStaysUnused(Setup, ConfirmedAt);
}

// Nobody remembers the departure, so that only the upstream can tell.
TEST_CASE("a leaving upstream isn't used after a restart of all nodes") {
  DepartureMesh Setup;
  std::atomic<bool> IsLeaving = true;
  Setup.Leaver.Upstream->setHandler([&](const ReceivedRequest &Request) {
    if (Request.Target != "/health")
      return responseTo(Request);
    return IsLeaving ? std::string("HTTP/1.1 503 Leaving\r\n"
                                   "X-Persimmonquay-Instance-Id: i-4\r\n"
                                   "Content-Length: 0\r\n\r\n")
                     : healthResponse(Setup.Leaver.Instance);
  });
  CHECK(Setup.Mesh.deregister(Setup.Leaver) == 200);
  const MonoTime ConfirmedAt = monoNow();
  for (const auto &Node : Setup.Mesh.nodes())
    Node->Sidecar->signal(SIGKILL);
  for (const auto &Node : Setup.Mesh.nodes())
    Setup.restart(*Node, SIGKILL);
  for (const auto &Node : Setup.Mesh.nodes())
    REQUIRE(eventually(WaitTimeout,
                       [&] { return Setup.Mesh.heartbeat(*Node) == 200; }));
  SUBCASE("as long as it leaves") {
    Setup.callFor(NeighbourTime);
    Setup.Mesh.store().setOutage(false);
    Setup.callFor(DrainTimeout);
    Setup.sendLateHeartbeat();
    Setup.callFor(NeighbourTime);
    CHECK(Setup.callsToLeaver(ConfirmedAt + DrainTimeout) == 0);
  }
  // The others were reported during the outage and must not be lost by that.
  SUBCASE("and the others are used as soon as the store is back") {
    Setup.Mesh.store().setOutage(false);
    CHECK(eventually(WaitTimeout, [&] {
      return Setup.Mesh.call(*Setup.Callers[0], {.RequestId = "other"})
                 .Status == 200;
    }));
    CHECK(Setup.callsToLeaver(ConfirmedAt + DrainTimeout) == 0);
  }
  // A health check may be wrong.
  SUBCASE("and is used again when it is healthy") {
    Setup.Mesh.store().setOutage(false);
    IsLeaving = false;
    const MonoTime Start = monoNow();
    CHECK(eventually(WaitTimeout, [&] {
      Setup.sendLateHeartbeat();
      Setup.callAll();
      return Setup.callsToLeaver(Start) > 0;
    }));
  }
}

// The node beside an upstream sent such a call to it once more, however long
// ago it had confirmed the departure.
TEST_CASE("a call whose answer is lost goes to another upstream if the first "
          "one leaves") {
  for (const std::string Announcement :
       {"heartbeat", "deregistration", "response"}) {
    CAPTURE(Announcement);
    SmallMesh Mesh;
    Mesh.add("gallery");
    Mesh.add("gallery");
    Mesh.publish(5, "gallery");
    REQUIRE(Mesh.waitUntilReady());
    std::atomic<int> FirstRunner = -1;
    std::atomic<bool> IsAnswerLost = false;
    std::array<std::atomic<int>, 2> SlowCalls{};
    for (int I = 0; I < 2; ++I)
      Mesh.nodes()[static_cast<std::size_t>(I)]->Upstream->setHandler(
          [&, I](const ReceivedRequest &Request) {
            std::string Response = responseTo(Request);
            // The other upstream fails it, so that it reaches the leaving one.
            if (Request.Target == "/views/notice")
              return I == FirstRunner
                         ? Response.insert(Response.find("\r\n") + 2,
                                           "Server-Leaving: 1\r\n")
                         : responseTo(Request, 500, "failed");
            if (Request.Target != "/views/slow")
              return Response;
            ++SlowCalls[static_cast<std::size_t>(I)];
            int Nobody = -1;
            if (!FirstRunner.compare_exchange_strong(Nobody, I))
              return Response;
            eventually(WaitTimeout, [&] { return IsAnswerLost.load(); });
            return std::string();
          });
    // Both nodes hold a connection, which is idle for long enough then that a
    // call on it may be repeated.
    REQUIRE(eventually(WaitTimeout, [&] {
      for (const auto &Node : Mesh.nodes())
        Mesh.call(*Node, {.RequestId = "warm"});
      return !Mesh.nodes()[0]->Upstream->received().empty() &&
             !Mesh.nodes()[1]->Upstream->received().empty();
    }));
    std::this_thread::sleep_for(Millis(300));
    CallResponse Response;
    std::thread Caller([&] {
      Response = Mesh.call(*Mesh.nodes()[0],
                           {.Target = "/views/slow", .RequestId = "slow"});
    });
    const bool IsRunning =
        eventually(WaitTimeout, [&] { return FirstRunner >= 0; });
    const auto Leaver = static_cast<std::size_t>(FirstRunner.load());
    if (IsRunning) {
      TestNode &Node = *Mesh.nodes()[Leaver];
      if (Announcement == "heartbeat")
        CHECK(Mesh.heartbeat(Node, "draining") == 200);
      else if (Announcement == "deregistration")
        CHECK(Mesh.deregister(Node) == 200);
      else
        CHECK(eventually(WaitTimeout, [&] {
          return Mesh
              .call(Node, {.Target = "/views/notice", .RequestId = "notice"})
              .Headers.contains("server-leaving");
        }));
    }
    IsAnswerLost = true;
    Caller.join();
    REQUIRE(IsRunning);
    CHECK(Response.Status == 200);
    CHECK(SlowCalls[Leaver] == 1);
    CHECK(SlowCalls[1 - Leaver] == 1);
  }
}

} // namespace persimmonquay::testing
