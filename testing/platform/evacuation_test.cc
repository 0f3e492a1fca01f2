// Tests of the program as processes on loopback: the evacuation of a data
// centre.
#include "testing/platform/small_mesh.h"
#include <absl/strings/str_cat.h>
#include <csignal>
#include <doctest/doctest.h>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// Time after which no call may reach an evacuated data centre.
constexpr Millis EvacuationTime{5000};

constexpr char OperatorTopic[] = "keyed.op";
constexpr char EvacuationKey[] = "evacuate/there";

/// Two data centres, each with an upstream and a host with callers.
class EvacuationMesh {
public:
  EvacuationMesh()
      : Here(this->Mesh.add("gallery", "v1", "here")),
        There(this->Mesh.add("gallery", "v1", "there")),
        CallersHere(this->Mesh.add("orders", "v1", "here")),
        CallersThere(this->Mesh.add("orders", "v1", "there")) {
    this->Mesh.publish(5, "gallery");
    REQUIRE(this->Mesh.waitUntilReady());
    REQUIRE(this->isUsedAgain());
  }

  void evacuate() {
    this->Mesh.store().put(OperatorTopic, EvacuationKey, "{}");
  }

  /// Sends one call through each node; returns how many were answered.
  int callAll() {
    int Answered = 0;
    for (const auto &Node : this->Mesh.nodes())
      Answered +=
          this->Mesh
              .call(*Node, {.RequestId = absl::StrCat("c-", ++this->Calls),
                            .DeadlineMs = 1500})
              .Status == 200;
    return Answered;
  }

  /// Sends calls for a while; returns how many were not answered.
  int unansweredIn(Millis Duration) {
    int Unanswered = 0;
    const MonoTime End = monoNow() + Duration;
    while (monoNow() < End)
      Unanswered +=
          static_cast<int>(this->Mesh.nodes().size()) - this->callAll();
    return Unanswered;
  }

  /// Returns how many calls have reached the evacuated data centre.
  std::size_t callsThere() {
    std::size_t Count = 0;
    for (const ReceivedRequest &Request : this->There.Upstream->received())
      Count += Request.Target != "/health";
    return Count;
  }

  bool isUsedAgain() {
    const std::size_t Before = this->callsThere();
    return eventually(WaitTimeout, [&] {
      this->callAll();
      return this->callsThere() > Before;
    });
  }

  SmallMesh Mesh;
  TestNode &Here;
  TestNode &There;
  TestNode &CallersHere;
  TestNode &CallersThere;

private:
  int Calls = 0;
};

} // namespace

TEST_CASE("an evacuated data centre gets no calls until it is given back") {
  EvacuationMesh Setup;
  Setup.evacuate();
  Setup.unansweredIn(EvacuationTime / 2);
  const std::size_t CallsBefore = Setup.callsThere();
  // Its callers are served elsewhere.
  CHECK(Setup.unansweredIn(Millis(1000)) == 0);
  SUBCASE("also after the history has been deleted") {
    Setup.Mesh.store().compactTopic(OperatorTopic);
  }
  SUBCASE("also by nodes that start during it") {
    for (TestNode *Node : {&Setup.CallersHere, &Setup.There}) {
      Node->Sidecar->signal(SIGKILL);
      Node->Sidecar->wait(WaitTimeout);
      Setup.Mesh.startNode(*Node);
    }
    REQUIRE(eventually(
        WaitTimeout, [&] { return Setup.Mesh.heartbeat(Setup.There) == 200; }));
    REQUIRE(Setup.Mesh.waitUntilReady());
  }
  SUBCASE("also by a node that starts while the store is down") {
    Setup.Mesh.store().setOutage(true);
    Setup.CallersThere.Sidecar->signal(SIGKILL);
    Setup.CallersThere.Sidecar->wait(WaitTimeout);
    Setup.Mesh.startNode(Setup.CallersThere);
    Setup.unansweredIn(Millis(1500));
    Setup.Mesh.store().setOutage(false);
  }
  SUBCASE("also when other records are written") {
    Setup.Mesh.publish(6, "gallery");
    Setup.Mesh.store().put(OperatorTopic, "evacuate/here", "");
  }
  Setup.unansweredIn(Millis(1500));
  CHECK(Setup.callsThere() == CallsBefore);
  Setup.Mesh.store().put(OperatorTopic, EvacuationKey, "");
  CHECK(Setup.isUsedAgain());
}

TEST_CASE("a removal that was deleted before it was read ends an evacuation") {
  EvacuationMesh Setup;
  Setup.evacuate();
  Setup.unansweredIn(EvacuationTime / 2);
  Setup.Mesh.store().setOutage(true);
  Setup.Mesh.store().put(OperatorTopic, EvacuationKey, "");
  Setup.Mesh.store().compactTopic(OperatorTopic);
  Setup.Mesh.store().setOutage(false);
  CHECK(Setup.isUsedAgain());
}

TEST_CASE("a service that has no upstream elsewhere is refused at once") {
  EvacuationMesh Setup;
  Setup.evacuate();
  Setup.Mesh.store().put(OperatorTopic, "evacuate/here", "{}");
  REQUIRE(eventually(EvacuationTime, [&] { return Setup.callAll() == 0; }));
  const MonoTime Start = monoNow();
  const CallResponse Response =
      Setup.Mesh.call(Setup.CallersHere, {.RequestId = "refused"});
  CHECK(monoNow() - Start < Millis(1000));
  CHECK(Response.Status == 503);
  CHECK(Response.Headers.contains("retry-after"));
  CHECK(Response.Headers.contains("x-persimmonquay-request-id"));
}

} // namespace persimmonquay::testing
