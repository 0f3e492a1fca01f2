// Tests of the program as processes on loopback: what upstreams say of
// themselves in their responses.
#include "testing/platform/small_mesh.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// Time after the first notice from which on it must be respected.
constexpr Millis NoticeTime{3000};

/// Time after which a leaving upstream gets no more calls.
constexpr Millis DrainTimeout{2000};

/// Span in which the calls to an upstream are counted.
constexpr Millis LimitSpan{4000};

/// Returns a response with another header.
std::string withHeader(std::string Response, const std::string &Header) {
  return Response.insert(Response.find("\r\n") + 2, Header + "\r\n");
}

/// Makes an upstream slow, so that others of its service are preferred.
void slowDown(TestNode &Node) {
  Node.Upstream->setHandler([&Node](const ReceivedRequest &Request) {
    if (Request.Target == "/health")
      return healthResponse(Node.Instance);
    std::this_thread::sleep_for(Millis(20));
    return responseTo(Request);
  });
}

/// Returns the largest number of calls that reached an upstream in any
/// `LimitSpan` that begins at `Start` or later.
std::size_t mostCallsInSpan(ScriptedUpstream &Upstream, MonoTime Start) {
  std::vector<MonoTime> Arrivals;
  for (const ReceivedRequest &Request : Upstream.received())
    if (Request.Target != "/health" && Request.Arrival >= Start)
      Arrivals.push_back(Request.Arrival);
  std::sort(Arrivals.begin(), Arrivals.end());
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Arrivals.size(); ++Last) {
    while (Arrivals[Last] - Arrivals[First] > LimitSpan)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

/// Callers that send calls through several nodes until they are stopped.
class Callers {
public:
  Callers(SmallMesh &CalledMesh, const std::vector<TestNode *> &Nodes) {
    for (TestNode *Node : Nodes)
      for (int I = 0; I < 2; ++I)
        this->Threads.emplace_back([this, &CalledMesh, Node] {
          while (!this->Stopping) {
            const CallResponse Response = CalledMesh.call(
                *Node, {.RequestId = absl::StrCat("call-", ++this->Calls),
                        .DeadlineMs = 1500});
            ++(Response.Status == 200 ? this->Answered : this->Others);
            if (Response.Status == 503 &&
                !Response.Headers.contains("retry-after"))
              ++this->WithoutRetryAfter;
            std::this_thread::sleep_for(Millis(5));
          }
        });
  }
  ~Callers() { this->stop(); }

  void stop() {
    this->Stopping = true;
    for (std::thread &Thread : this->Threads)
      if (Thread.joinable())
        Thread.join();
  }

  std::atomic<int> Calls = 0;
  std::atomic<int> Answered = 0;
  std::atomic<int> Others = 0;
  std::atomic<int> WithoutRetryAfter = 0;

private:
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace

// Upstreams named a limit in their responses and got as many calls as before.
TEST_CASE("an upstream gets no more calls than the limit that it names") {
  constexpr double Limit = 4;
  constexpr std::size_t MaxCalls =
      static_cast<std::size_t>(1.5 * Limit * LimitSpan.count() / 1000) + 5;
  SmallMesh Mesh;
  constexpr int CallingNodeCount = 3;
  std::vector<TestNode *> CallingNodes;
  CallingNodes.reserve(CallingNodeCount);
  for (int I = 0; I < CallingNodeCount; ++I)
    CallingNodes.push_back(&Mesh.add("orders"));
  TestNode &Limited = Mesh.add("gallery");
  Mesh.publish(5, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  for (TestNode *Node : CallingNodes)
    REQUIRE(eventually(WaitTimeout, [&] {
      return Mesh.call(*Node, {.RequestId = "warm"}).Status == 200;
    }));
  Limited.Upstream->setHandler([&Limited](const ReceivedRequest &Request) {
    return Request.Target == "/health"
               ? healthResponse(Limited.Instance)
               : withHeader(responseTo(Request),
                            absl::StrCat("Server-Limit: ", Limit));
  });
  Callers Load(Mesh, CallingNodes);
  std::this_thread::sleep_for(NoticeTime);
  const MonoTime Start = monoNow();
  SUBCASE("in steady operation") { std::this_thread::sleep_for(LimitSpan * 2); }
  SUBCASE("while its node is killed and restarted") {
    for (int Round = 0; Round < 3; ++Round) {
      std::this_thread::sleep_for(Millis(1500));
      Limited.Sidecar->signal(SIGKILL);
      Mesh.startNode(Limited);
      REQUIRE(eventually(WaitTimeout,
                         [&] { return Mesh.heartbeat(Limited) == 200; }));
    }
    std::this_thread::sleep_for(LimitSpan);
  }
  SUBCASE("while another node joins and the store is down") {
    Mesh.store().setOutage(true);
    std::this_thread::sleep_for(LimitSpan);
    Mesh.store().setOutage(false);
    Mesh.add("orders");
    std::this_thread::sleep_for(LimitSpan);
  }
  Load.stop();
  CHECK(mostCallsInSpan(*Limited.Upstream, Start) <= MaxCalls);
  CHECK(Load.Answered > 0);
  CHECK(Load.WithoutRetryAfter == 0);
}

// A limit binds only as long as the upstream names it.
TEST_CASE("an upstream that names no limit any more gets all calls") {
  SmallMesh Mesh;
  TestNode &Caller = Mesh.add("orders");
  TestNode &Limited = Mesh.add("gallery");
  Mesh.publish(5, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  std::atomic<bool> NamesLimit = true;
  Limited.Upstream->setHandler([&](const ReceivedRequest &Request) {
    return NamesLimit ? withHeader(responseTo(Request), "Server-Limit: 2")
                      : responseTo(Request);
  });
  REQUIRE(eventually(WaitTimeout, [&] {
    return Mesh.call(Caller, {.RequestId = "warm"}).Status == 200;
  }));
  Callers Load(Mesh, {&Caller});
  std::this_thread::sleep_for(Millis(2000));
  NamesLimit = false;
  std::this_thread::sleep_for(Millis(2000));
  const int Before = Load.Answered;
  std::this_thread::sleep_for(Millis(2000));
  CHECK(Load.Answered - Before > 20);
}

// What a limited upstream can't take goes to the others.
TEST_CASE("calls beyond the limit of an upstream go to other upstreams") {
  SmallMesh Mesh;
  TestNode &Caller = Mesh.add("orders");
  TestNode &Limited = Mesh.add("gallery");
  TestNode &Other = Mesh.add("gallery");
  Mesh.publish(5, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  slowDown(Other);
  Limited.Upstream->setHandler([](const ReceivedRequest &Request) {
    return withHeader(responseTo(Request), "Server-Limit: 2");
  });
  REQUIRE(eventually(WaitTimeout, [&] {
    Mesh.call(Caller, {.RequestId = "warm"});
    return Limited.Upstream->received().size() > 1;
  }));
  Callers Load(Mesh, {&Caller});
  std::this_thread::sleep_for(NoticeTime);
  const MonoTime Start = monoNow();
  const int OthersBefore = Load.Others;
  std::this_thread::sleep_for(LimitSpan);
  Load.stop();
  CHECK(mostCallsInSpan(*Limited.Upstream, Start) <= 17);
  CHECK(Load.Others == OthersBefore);
}

// The notice in the response must do by itself: the store may be down, and
// nodes restart.
TEST_CASE("an upstream that says in its responses that it leaves gets no more "
          "calls") {
  SmallMesh Mesh;
  TestNode &Caller = Mesh.add("orders");
  TestNode &Leaving = Mesh.add("gallery");
  slowDown(Mesh.add("gallery"));
  Mesh.publish(5, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  std::atomic<bool> Leaves = false;
  Leaving.Upstream->setHandler([&](const ReceivedRequest &Request) {
    if (Request.Target == "/health")
      return healthResponse(Leaving.Instance);
    return Leaves ? withHeader(responseTo(Request), "Server-Leaving: 1")
                  : responseTo(Request);
  });
  REQUIRE(eventually(WaitTimeout, [&] {
    Mesh.call(Caller, {.RequestId = "warm"});
    return Leaving.Upstream->received().size() > 1;
  }));
  Mesh.store().setOutage(true);
  Leaves = true;
  MonoTime Noticed;
  REQUIRE(eventually(WaitTimeout, [&] {
    const CallResponse Response = Mesh.call(Caller, {.RequestId = "notice"});
    Noticed = monoNow();
    return Response.Headers.contains("server-leaving");
  }));
  SUBCASE("while the store is down") {}
  SUBCASE("after a restart of its node while the store is down") {
    Leaving.Sidecar->signal(SIGKILL);
    Mesh.startNode(Leaving);
    REQUIRE(eventually(WaitTimeout,
                       [&] { return Mesh.heartbeat(Leaving) == 200; }));
  }
  std::this_thread::sleep_for(DrainTimeout);
  for (int I = 0; I < 100; ++I) {
    CHECK(Mesh.call(Caller, {.RequestId = "later"}).Status == 200);
    Mesh.heartbeat(Leaving);
  }
  std::size_t LateArrivals = 0;
  for (const ReceivedRequest &Request : Leaving.Upstream->received())
    LateArrivals +=
        Request.Target != "/health" && Request.Arrival > Noticed + DrainTimeout;
  CHECK(LateArrivals == 0);
}

} // namespace persimmonquay::testing
