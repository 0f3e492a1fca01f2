// Tests of the program as processes on loopback: the quota of a client account
// over several nodes, and over failures of them.
#include "testing/platform/small_mesh.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// Time without a new node after which nodes grant calls, with some margin.
constexpr Millis SettleTime{5000};

/// Time between two calls, which makes many times the quota.
constexpr Millis CallPause{4};

constexpr double RatePerSecond = 20;
constexpr double Burst = 20;

/// What the users allow within one window.
constexpr Millis Window{5000};
constexpr double AllowedPerWindow = (RatePerSecond * 5 + Burst) * 1.1 + 20;

/// Four nodes in two data centres, each beside an upstream, and the callers of
/// one account with a quota.
class QuotaMesh {
public:
  QuotaMesh() {
    for (const char *DataCentre : {"here", "there", "here", "there"})
      this->Mesh.add("gallery", "v1", DataCentre);
    this->Mesh.store().put("keyed.op", "config", configuration());
    REQUIRE(this->Mesh.waitUntilReady());
    std::this_thread::sleep_for(SettleTime);
    REQUIRE(eventually(WaitTimeout, [this] {
      return std::all_of(
          this->Mesh.nodes().begin(), this->Mesh.nodes().end(),
          [this](const auto &Node) { return this->call(*Node) == 200; });
    }));
  }

  static std::string configuration() {
    return absl::StrFormat(
        R"({"version": 5,
            "services": [{"name": "gallery", "health_check_path": "/health",
                          "max_connections": 100}],
            "tenants": [{"name": "desk", "api_keys": ["desk-key"],
                         "rate_per_s": %g, "burst_size": %g}],
            "limits": {"max_header_bytes": 4096, "max_body_bytes": 100000,
                       "header_timeout_s": 3, "idle_timeout_s": 15},
            "virtual_hosts": [{"host": "boards.example", "path_rules": [
              {"name": "views", "path_prefix": "/views/", "kind": "safe",
               "timeout_s": 3, "target_latency_s": 0.5, "priority": 1,
               "service": "gallery", "max_attempts": 2}]}]})",
        RatePerSecond, Burst);
  }

  /// Sends one call; returns the status of the response.
  int call(const TestNode &Node) {
    this->LastResponse = sendBytes(
        Node.CallerPort,
        absl::StrCat("GET /views/7 HTTP/1.1\r\nHost: boards.example\r\n"
                     "Authorization: Bearer desk-key\r\n"
                     "Connection: close\r\n"
                     "X-Persimmonquay-Request-Id: call-",
                     ++this->Calls,
                     "\r\nX-Persimmonquay-Deadline-Remaining: 2000\r\n\r\n"),
        Millis(2500));
    return this->LastResponse.size() < 12
               ? 0
               : std::atoi(this->LastResponse.substr(9, 3).c_str());
  }

  /// Sends calls through `Nodes` by turns; returns how many were answered with
  /// success. Checks that all others state when to come back.
  int callFor(Millis Duration, const std::vector<TestNode *> &Nodes) {
    int Answered = 0;
    bool StatesTime = true;
    const MonoTime End = monoNow() + Duration;
    while (monoNow() < End)
      for (TestNode *Node : Nodes) {
        const int Status = this->call(*Node);
        Answered += Status == 200;
        if (Status == 429 || Status == 503)
          StatesTime = StatesTime && this->LastResponse.find("Retry-After: ") !=
                                         std::string::npos;
        std::this_thread::sleep_for(CallPause);
      }
    CHECK(StatesTime);
    return Answered;
  }

  std::vector<TestNode *> nodes() {
    std::vector<TestNode *> Result;
    for (const auto &Node : this->Mesh.nodes())
      Result.push_back(Node.get());
    return Result;
  }

  void restart(TestNode &Node) {
    Node.Sidecar->signal(SIGKILL);
    Node.Sidecar->wait(WaitTimeout);
    this->Mesh.startNode(Node);
  }

  /// Returns the largest number of calls that arrived at the upstreams within
  /// one window.
  std::size_t mostInWindow() {
    std::vector<MonoTime> Arrivals;
    for (const auto &Node : this->Mesh.nodes())
      for (const ReceivedRequest &Request : Node->Upstream->received())
        if (Request.Target != "/health")
          Arrivals.push_back(Request.Arrival);
    std::sort(Arrivals.begin(), Arrivals.end());
    std::size_t Most = 0;
    for (std::size_t First = 0, I = 0; I < Arrivals.size(); ++I) {
      while (Arrivals[I] - Arrivals[First] > Window)
        ++First;
      Most = std::max(Most, I + 1 - First);
    }
    return Most;
  }

  SmallMesh Mesh;
  std::string LastResponse;
  int Calls = 0;
};

} // namespace

TEST_CASE("a quota holds over all nodes, and callers at one node get it") {
  QuotaMesh Setup;
  const int AtAll = Setup.callFor(Millis(6000), Setup.nodes());
  CHECK(AtAll > 0.8 * 6 * RatePerSecond);
  const int AtOne = Setup.callFor(Millis(4000), {Setup.nodes().front()});
  CHECK(AtOne > 0.8 * 4 * RatePerSecond);
  CHECK(Setup.mostInWindow() <= AllowedPerWindow);
  CHECK(Setup.mostInWindow() > 0.8 * 5 * RatePerSecond);
}

TEST_CASE("a quota holds while nodes end and start again") {
  QuotaMesh Setup;
  SUBCASE("one after the other") {
    for (TestNode *Node : Setup.nodes()) {
      Setup.callFor(Millis(1000), Setup.nodes());
      Setup.restart(*Node);
    }
  }
  SUBCASE("all at once") {
    Setup.callFor(Millis(1500), Setup.nodes());
    for (TestNode *Node : Setup.nodes())
      Setup.restart(*Node);
  }
  Setup.callFor(Millis(2000), Setup.nodes());
  const int Answered = Setup.callFor(Millis(4000), Setup.nodes());
  CHECK(Answered > 0.8 * 4 * RatePerSecond);
  CHECK(Setup.mostInWindow() <= AllowedPerWindow);
}

TEST_CASE("a data centre goes on with its share while the other is silent") {
  QuotaMesh Setup;
  const std::vector<TestNode *> Here = {Setup.nodes()[0], Setup.nodes()[2]};
  for (const std::size_t I : {1, 3})
    Setup.nodes()[I]->Sidecar->signal(SIGSTOP);
  Setup.callFor(Millis(2000), Here);
  const int Answered = Setup.callFor(Millis(5000), Here);
  CHECK(Answered > 0.8 * 5 * RatePerSecond / 2);
  CHECK(Answered < 1.1 * 5 * RatePerSecond / 2 + 10);
  for (const std::size_t I : {1, 3})
    Setup.nodes()[I]->Sidecar->signal(SIGCONT);
  Setup.callFor(Millis(3000), Setup.nodes());
  CHECK(Setup.mostInWindow() <= AllowedPerWindow);
}

} // namespace persimmonquay::testing
