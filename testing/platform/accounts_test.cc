// Tests of the program as processes on loopback: the keys of client accounts.
#include "testing/platform/small_mesh.h"
#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

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

} // namespace persimmonquay::testing
