// Tests of the program as processes on loopback: the keys of client accounts.
#include "testing/free_port.h"
#include "testing/platform/small_mesh.h"
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <future>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// Time after its publication within which a configuration must be in force.
constexpr Millis ApplyTime{2500};

constexpr char AccountHeader[] = "x-persimmonquay-tenant-name";

/// Options of a call with a key and a forged account.
CallOptions withKey(const std::string &Key, const std::string &RequestId,
                    const std::string &Target = "/views/7") {
  return {.Target = Target,
          .RequestId = RequestId,
          .Headers = {{"Authorization", "Bearer " + Key},
                      {"X-Persimmonquay-Tenant-Name", "forged"}}};
}

/// Returns the request with this id as received by the upstream, or none.
std::optional<ReceivedRequest> find(ScriptedUpstream &Upstream,
                                    const std::string &RequestId) {
  for (ReceivedRequest &Request : Upstream.received())
    if (Request.Headers["x-persimmonquay-request-id"] == RequestId)
      return std::move(Request);
  return std::nullopt;
}

/// Two nodes with callers of accounts, one of them beside the upstream.
struct AccountMesh {
  AccountMesh() {
    this->Mesh.setAccounts(
        {{"river-desk", {"key-of-desk"}}, {"hotel", {"key-of-hotel"}}});
    this->Mesh.publish(5, "gallery");
    REQUIRE(this->Mesh.waitUntilReady());
  }

  SmallMesh Mesh;
  TestNode &Far = this->Mesh.add("orders");
  TestNode &Near = this->Mesh.add("gallery");
};

/// A caller that sends all its calls on one connection.
class OpenConnection {
public:
  explicit OpenConnection(const TestNode &Node)
      : Session("127.0.0.1", Node.CallerPort) {
    this->Session.setKeepAlive(true);
    this->Session.setKeepAliveTimeout(Poco::Timespan(60, 0));
  }

  /// Returns the status of the response.
  int call(const std::string &Key) {
    Poco::Net::HTTPRequest Request("GET", "/views/7", "HTTP/1.1");
    Request.setHost("boards.example");
    Request.set("X-Persimmonquay-Request-Id", "open-connection");
    Request.set("X-Persimmonquay-Deadline-Remaining", "2000");
    Request.set("Authorization", "Bearer " + Key);
    this->Session.sendRequest(Request);
    Poco::Net::HTTPResponse Response;
    std::string Body;
    Poco::StreamCopier::copyToString(this->Session.receiveResponse(Response),
                                     Body);
    return Response.getStatus();
  }

private:
  Poco::Net::HTTPClientSession Session;
};

} // namespace

// Keys were passed on to upstreams, and unknown ones were not refused.
TEST_CASE("an upstream sees the caller's account and never its key") {
  AccountMesh Setup;
  ScriptedUpstream &Upstream = *Setup.Near.Upstream;
  for (const TestNode *Node : {&Setup.Far, &Setup.Near}) {
    const std::string Id = "known-" + Node->Name;
    CHECK(Setup.Mesh.call(*Node, withKey("key-of-hotel", Id)).Status == 200);
    std::optional<ReceivedRequest> Received = find(Upstream, Id);
    REQUIRE(Received);
    CHECK(Received->Headers[AccountHeader] == "hotel");
    CHECK_FALSE(Received->Headers.contains("authorization"));

    const CallResponse Unknown =
        Setup.Mesh.call(*Node, withKey("key-of-nobody", "unknown"));
    CHECK(Unknown.Status == 401);
    CHECK(Unknown.Body.find("key-of") == std::string::npos);
    CallOptions Doubled = withKey("key-of-hotel", "doubled");
    Doubled.Headers.emplace("authorization", "Bearer key-of-hotel");
    CHECK(Setup.Mesh.call(*Node, Doubled).Status == 401);
    CallOptions Overlong = withKey("key-of-" + std::string(2000, 'x'), "long");
    CHECK(Setup.Mesh.call(*Node, Overlong).Status == 401);
    // Right after the start, a call without a key might be the upstream's.
    CHECK(eventually(WaitTimeout, [&] {
      return Setup.Mesh.call(*Node, {.RequestId = "no-key"}).Status == 401;
    }));
  }
  for (const char *Refused : {"unknown", "doubled", "long", "no-key"})
    CHECK_FALSE(find(Upstream, Refused));
  for (const TestNode *Node : {&Setup.Far, &Setup.Near})
    CHECK(Node->Sidecar->output().find("key-of") == std::string::npos);
}

TEST_CASE("each of several pipelined requests is judged by its own key") {
  AccountMesh Setup;
  std::string Requests;
  for (const char *Value :
       {"Bearer key-of-hotel", "Bearer key-of-nobody", "bearer key-of-desk",
        "Basic key-of-hotel", "Bearer key-of-h\xf4tel"})
    Requests += absl::StrCat("GET /views/7 HTTP/1.1\r\nHost: boards.example\r\n"
                             "X-Persimmonquay-Request-Id: piped\r\n"
                             "Authorization: ",
                             Value, "\r\n\r\n");
  const std::string Received =
      sendBytes(Setup.Far.CallerPort, Requests, Millis(3000));
  std::vector<std::string> Statuses;
  for (std::size_t At = Received.find("HTTP/1.1 "); At != std::string::npos;
       At = Received.find("HTTP/1.1 ", At + 1))
    Statuses.push_back(Received.substr(At + 9, 3));
  CHECK(absl::StrJoin(Statuses, " ") == "200 401 200 401 401");
}

TEST_CASE("a call that an upstream makes while it runs another needs no key") {
  AccountMesh Setup;
  Setup.Near.Upstream->setHandler([&Setup](const ReceivedRequest &Request) {
    if (Request.Target == "/health")
      return healthResponse(Setup.Near.Instance);
    if (Request.Target != "/views/parent")
      return responseTo(Request);
    // Its deadline need not be that of the call that is running.
    const CallResponse Nested = Setup.Mesh.call(
        Setup.Near, {.RequestId = "nested",
                     .DeadlineMs = 400,
                     .Headers = {{"X-Persimmonquay-Tenant-Name", "forged"}}});
    return responseTo(Request, 200, std::to_string(Nested.Status));
  });
  CHECK(Setup.Mesh
            .call(Setup.Far, withKey("key-of-hotel", "parent", "/views/parent"))
            .Body == "200");
  std::optional<ReceivedRequest> Nested = find(*Setup.Near.Upstream, "nested");
  REQUIRE(Nested);
  CHECK_FALSE(Nested->Headers.contains(AccountHeader));
}

TEST_CASE("a withdrawn key is refused on open connections, a new one served") {
  AccountMesh Setup;
  for (TestNode *Node : {&Setup.Far, &Setup.Near}) {
    Setup.Mesh.setAccounts(
        {{"river-desk", {"key-of-desk"}}, {"hotel", {"key-of-hotel"}}});
    const std::uint64_t Version = Node == &Setup.Far ? 10 : 20;
    Setup.Mesh.publish(Version, "gallery");
    REQUIRE(eventually(WaitTimeout, [&] {
      return Setup.Mesh.call(*Node, withKey("key-of-hotel", "warm")).Status ==
             200;
    }));
    OpenConnection Desk(*Node);
    OpenConnection Hotel(*Node);
    CHECK(Desk.call("key-of-desk") == 200);
    CHECK(Hotel.call("key-of-hotel") == 200);
    Setup.Mesh.setAccounts(
        {{"river-desk", {"key-of-desk"}}, {"hotel", {"new-key-of-hotel"}}});
    Setup.Mesh.publish(Version + 1, "gallery");
    CHECK(eventually(ApplyTime,
                     [&] { return Hotel.call("key-of-hotel") == 401; }));
    CHECK(Hotel.call("new-key-of-hotel") == 200);
    CHECK(Desk.call("key-of-desk") == 200);
  }
}

TEST_CASE("a call that waits for an upstream is refused with its key") {
  AccountMesh Setup;
  CHECK(Setup.Mesh.heartbeat(Setup.Near, "ready", 1) == 200);
  std::atomic<bool> MayEnd = false;
  Setup.Near.Upstream->setHandler([&](const ReceivedRequest &Request) {
    if (Request.Target == "/health")
      return healthResponse(Setup.Near.Instance);
    eventually(WaitTimeout,
               [&] { return MayEnd || Request.Target != "/orders/1"; });
    return responseTo(Request);
  });
  const TestNode *Node = &Setup.Far;
  SUBCASE("at another node") {}
  SUBCASE("at the caller's node") { Node = &Setup.Near; }
  CallOptions Running = withKey("key-of-hotel", "running", "/orders/1");
  Running.Method = "POST";
  std::future<CallResponse> First = std::async(
      std::launch::async, [&] { return Setup.Mesh.call(*Node, Running); });
  REQUIRE(eventually(WaitTimeout, [&] {
    return find(*Setup.Near.Upstream, "running").has_value();
  }));
  std::future<CallResponse> Second = std::async(std::launch::async, [&] {
    return Setup.Mesh.call(*Node, withKey("key-of-hotel", "waiting"));
  });
  std::this_thread::sleep_for(Millis(100));
  Setup.Mesh.setAccounts({{"river-desk", {"key-of-desk"}}, {"hotel", {}}});
  Setup.Mesh.publish(6, "gallery");
  CHECK(Second.get().Status == 401);
  MayEnd = true;
  CHECK(First.get().Status == 200);
  CHECK_FALSE(find(*Setup.Near.Upstream, "waiting"));
}

TEST_CASE("a key is withdrawn at a node that is cut off from the store") {
  AccountMesh Setup;
  Setup.Far.Sidecar->signal(SIGKILL);
  Setup.Far.Sidecar->wait(WaitTimeout);
  Setup.Far.StorePort = freePort();
  Setup.Mesh.startNode(Setup.Far);
  REQUIRE(eventually(WaitTimeout, [&] {
    return Setup.Mesh.call(Setup.Far, withKey("key-of-hotel", "warm")).Status ==
           200;
  }));
  Setup.Mesh.setAccounts(
      {{"river-desk", {"key-of-desk"}}, {"hotel", {"new-key-of-hotel"}}});
  Setup.Mesh.publish(6, "gallery");
  CHECK(eventually(ApplyTime, [&] {
    return Setup.Mesh.call(Setup.Far, withKey("key-of-hotel", "withdrawn"))
               .Status == 401;
  }));
  CHECK(Setup.Mesh.call(Setup.Far, withKey("new-key-of-hotel", "new")).Status ==
        200);
}

TEST_CASE("a key that two accounts claim leaves the last configuration") {
  AccountMesh Setup;
  Setup.Mesh.setAccounts(
      {{"river-desk", {"key-of-hotel"}}, {"hotel", {"key-of-hotel"}}});
  Setup.Mesh.publish(6, "gallery");
  CHECK(eventually(WaitTimeout, [&] {
    return Setup.Near.Sidecar->output().find("have a key in common") !=
           std::string::npos;
  }));
  CHECK(Setup.Mesh.call(Setup.Near, withKey("key-of-desk", "old")).Status ==
        200);
  CHECK(Setup.Near.Sidecar->output().find("key-of") == std::string::npos);
}

TEST_CASE("a node without a configuration refuses no key for good") {
  SmallMesh Mesh;
  const TestNode &Node = Mesh.add("gallery");
  const CallResponse Response = Mesh.call(Node, withKey("key-of-hotel", "a"));
  CHECK(Response.Status == 503);
  CHECK(Response.Headers.contains("retry-after"));
}

// While no node can read the store, a newer configuration may hold the key.
TEST_CASE("an unknown key is refused for good only if the mesh is up to date") {
  AccountMesh Setup;
  CHECK(
      Setup.Mesh.call(Setup.Far, withKey("new-key-of-hotel", "early")).Status ==
      401);
  Setup.Mesh.store().setOutage(true);
  CHECK(eventually(WaitTimeout, [&] {
    const CallResponse Response =
        Setup.Mesh.call(Setup.Far, withKey("new-key-of-hotel", "during"));
    return Response.Status == 503 && Response.Headers.contains("retry-after");
  }));
  CHECK(Setup.Mesh.call(Setup.Far, withKey("key-of-hotel", "known")).Status ==
        200);
  Setup.Mesh.setAccounts(
      {{"river-desk", {"key-of-desk"}}, {"hotel", {"new-key-of-hotel"}}});
  Setup.Mesh.publish(6, "gallery");
  CHECK(Setup.Mesh.call(Setup.Far, withKey("key-of-hotel", "known")).Status ==
        200);
  Setup.Mesh.store().setOutage(false);
  CHECK(eventually(WaitTimeout, [&] {
    return Setup.Mesh.call(Setup.Far, withKey("new-key-of-hotel", "after"))
               .Status == 200;
  }));
  CHECK(Setup.Mesh.call(Setup.Far, withKey("key-of-hotel", "gone")).Status ==
        401);
}

} // namespace persimmonquay::testing
