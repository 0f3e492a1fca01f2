// Tests of the program as processes on loopback: statuses by which callers
// learn that a call has not run.
#include "persimmonquay/base/http_status.h"
#include "testing/platform/small_mesh.h"
#include <absl/strings/str_cat.h>
#include <atomic>
#include <doctest/doctest.h>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

constexpr int RefusalStatuses[] = {408, 421, 429, 503};

/// Two nodes of the called service, and one of another service at which the
/// callers are.
struct ThreeNodes {
  ThreeNodes()
      : Caller(Mesh.add("orders")), First(Mesh.add("gallery")),
        Second(Mesh.add("gallery")) {
    Mesh.publish(5, "gallery");
    REQUIRE(Mesh.waitUntilReady());
    for (TestNode *Node : {&this->Caller, &this->First, &this->Second})
      REQUIRE(eventually(WaitTimeout, [this, Node] {
        return Mesh.call(*Node, {.RequestId = "warm"}).Status == 200;
      }));
  }

  /// Sets the handler of both upstreams of the called service.
  void setHandler(const ScriptedUpstream::Handler &Handler) {
    for (TestNode *Node : {&this->First, &this->Second})
      Node->Upstream->setHandler([Node, Handler](const ReceivedRequest &Got) {
        return Got.Target == "/health" ? healthResponse(Node->Instance)
                                       : Handler(Got);
      });
  }

  SmallMesh Mesh;
  TestNode &Caller;
  TestNode &First;
  TestNode &Second;
};

/// Checks a response to a call that an upstream has run and failed.
void checkNoPromise(const CallResponse &Response) {
  CHECK(Response.Status == 502);
  CHECK_FALSE(Response.Headers.contains("x-persimmonquay-response-signature"));
  CHECK_FALSE(Response.Headers.contains("retry-after"));
}

} // namespace

// An upstream ran unsafe calls and ended them with a status of its own that
// promises callers that they have not run.
TEST_CASE("an upstream's own 408, 421, 429 or 503 promises nothing") {
  ThreeNodes Setup;
  for (const int Status : RefusalStatuses) {
    std::atomic<int> Runs = 0;
    Setup.setHandler([&Runs, Status](const ReceivedRequest &Request) {
      ++Runs;
      return responseTo(Request, Status, "failed after a run");
    });
    // Over a link, and to the upstream on the same host.
    for (const TestNode *Node : {&Setup.Caller, &Setup.First}) {
      CAPTURE(Status);
      CAPTURE(Node->Name);
      Runs = 0;
      checkNoPromise(Setup.Mesh.call(
          *Node, {.Method = "POST",
                  .Target = "/orders/1",
                  .RequestId = absl::StrCat("unsafe-", Status, Node->Name)}));
      CHECK(Runs == 1);
      Runs = 0;
      checkNoPromise(Setup.Mesh.call(
          *Node, {.RequestId = absl::StrCat("safe-", Status, Node->Name)}));
      CHECK(Runs >= 1);
    }
    // The failure is repaired by another upstream, as that of a 500 is.
    Runs = 0;
    Setup.setHandler([&Runs, Status](const ReceivedRequest &Request) {
      return ++Runs == 1 ? responseTo(Request, Status, "failed")
                         : responseTo(Request, 200, "repaired");
    });
    CHECK(Setup.Mesh
              .call(Setup.Caller, {.RequestId = absl::StrCat("again-", Status)})
              .Body == "repaired");
    CHECK(Runs == 2);
  }
}

TEST_CASE("a call that an upstream states it has not run is still refused") {
  ThreeNodes Setup;
  for (const int Status : {429, 503}) {
    CAPTURE(Status);
    Setup.setHandler([Status](const ReceivedRequest &Request) {
      std::string Response = responseTo(Request, Status, "full");
      return Response.insert(Response.find("\r\n") + 2,
                             "X-Persimmonquay-Not-Executed: 1\r\n");
    });
    const CallResponse Response = Setup.Mesh.call(
        Setup.Caller, {.Method = "POST",
                       .Target = "/orders/1",
                       .RequestId = absl::StrCat("full-", Status)});
    CHECK(Response.Status == 503);
    CHECK(Response.Headers.contains("retry-after"));
  }
}

// The second attempt tells nothing about the first one.
TEST_CASE("a refusal after an attempt that may have run promises nothing") {
  ThreeNodes Setup;
  for (const int FirstStatus : {0, 408, 421, 429, 500, 503}) {
    CAPTURE(FirstStatus);
    std::atomic<int> Attempts = 0;
    Setup.setHandler([&Attempts, FirstStatus](const ReceivedRequest &Request) {
      if (++Attempts > 1) {
        std::string Response = responseTo(Request, 503, "full");
        return Response.insert(Response.find("\r\n") + 2,
                               "X-Persimmonquay-Not-Executed: 1\r\n");
      }
      // 0 stands for a lost answer.
      return FirstStatus == 0 ? std::string()
                              : responseTo(Request, FirstStatus, "failed");
    });
    const CallResponse Response = Setup.Mesh.call(
        Setup.Caller, {.RequestId = absl::StrCat("first-", FirstStatus)});
    CHECK(Attempts >= 2);
    CHECK(Response.Status >= 500);
    CHECK_FALSE(impliesNotRun(static_cast<unsigned>(Response.Status)));
  }
}

// An upstream that passes on the answer to a call of its own, as a proxy does,
// has run the outer call.
TEST_CASE("the refusal of a nested call doesn't refuse the outer one") {
  ThreeNodes Setup;
  Setup.First.Upstream->setHandler([&Setup](const ReceivedRequest &Request) {
    if (Request.Target == "/health")
      return healthResponse(Setup.First.Instance);
    if (Request.Target != "/orders/outer")
      return responseTo(Request);
    const CallResponse Nested = Setup.Mesh.call(
        Setup.First, {.Method = "POST",
                      .Target = "/orders/nested",
                      .RequestId = "nested",
                      // Too little time for any call to be admitted.
                      .DeadlineMs = 1});
    return responseTo(Request, Nested.Status, Nested.Body);
  });
  REQUIRE(Setup.Mesh.heartbeat(Setup.Second, "draining") == 200);
  std::size_t Refused = 0;
  for (int I = 0; I < 20; ++I) {
    const CallResponse Response =
        Setup.Mesh.call(Setup.Caller, {.Method = "POST",
                                       .Target = "/orders/outer",
                                       .RequestId = absl::StrCat("outer-", I)});
    CHECK_FALSE(impliesNotRun(static_cast<unsigned>(Response.Status)));
    Refused += Response.Status == 502;
  }
  CHECK(Refused > 0);
}

} // namespace persimmonquay::testing
