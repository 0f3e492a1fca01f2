// Tests of the program as processes on loopback: entries, heartbeats and
// records that another writer has left and that make no sense.
#include "platform/registration.h"
#include "proto/link.pb.h"
#include "testing/platform/small_mesh.h"
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <map>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// Sends a heartbeat with this body for the node's upstream.
void sendHeartbeat(const TestNode &Node, const std::string &Body) {
  sendBytes(Node.RegistrationPort,
            absl::StrCat("POST /-/Instances.Heartbeat/", Node.Instance,
                         " HTTP/1.1\r\nHost: here\r\nContent-Type: "
                         "application/json\r\nConnection: close\r\n"
                         "Content-Length: ",
                         Body.size(), "\r\n\r\n", Body),
            WaitTimeout);
}

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/// Returns a heartbeat of the node's upstream with one field replaced.
std::string heartbeatWith(const TestNode &Node, const std::string &Field,
                          const std::string &Value) {
  std::map<std::string, std::string> Fields = {
      {"service", absl::StrCat("\"", Node.Service, "\"")},
      {"address", "\"127.0.0.1:80\""},
      {"zone", "\"here\""},
      {"version", "\"v1\""},
      {"capacity_slots", "4"},
      {"state", "\"ready\""},
      {"cold_remaining_s", "0"},
      {"sequence", "1000"},
      {"born", std::to_string(Node.StartedUnixMs)}};
  Fields[Field] = Value;
  std::string Result = "{";
  for (const auto &[Name, Text] : Fields)
    absl::StrAppend(&Result, Result.size() > 1 ? "," : "", "\"", Name,
                    "\":", Text);
  return Result + "}";
}

/// Two nodes that must go on whatever they are sent.
struct RobustNodes {
  RobustNodes() : Caller(Mesh.add("orders")), Server(Mesh.add("gallery")) {
    Mesh.publish(5, "gallery");
    REQUIRE(Mesh.waitUntilReady());
    this->checkServing();
  }

  /// Checks that both processes run, heartbeats are taken and calls are served,
  /// several at a time.
  void checkServing() {
    this->Server.Sequence =
        std::max<std::uint64_t>(this->Server.Sequence, 1000);
    CHECK(this->Mesh.heartbeat(this->Server) == 200);
    constexpr int CallerCount = 8;
    std::vector<std::thread> Callers;
    Callers.reserve(CallerCount);
    for (int I = 0; I < CallerCount; ++I)
      Callers.emplace_back(
          [this] { this->Mesh.call(this->Caller, {.RequestId = "load"}); });
    for (std::thread &Each : Callers)
      Each.join();
    CHECK(eventually(Millis(5000), [this] {
      return this->Mesh.call(this->Caller, {.RequestId = "served"}).Status ==
             200;
    }));
    CHECK(!this->Caller.Sidecar->wait(Millis(0)));
    CHECK(!this->Server.Sidecar->wait(Millis(0)));
  }

  SmallMesh Mesh;
  TestNode &Caller;
  TestNode &Server;
};

} // namespace

// Each of these would withdraw the upstream later, or end the node when its
// calls have to wait.
TEST_CASE("heartbeats with numbers out of range are refused") {
  TestNode Node;
  Node.StartedUnixMs = 1000;
  const auto IsAccepted = [&Node](const std::string &Field,
                                  const std::string &Value) {
    return platform::decodeHeartbeat("i-1", heartbeatWith(Node, Field, Value))
        .ok();
  };
  CHECK(IsAccepted("capacity_slots", "9"));
  CHECK(IsAccepted("sequence", "9007199254740992"));
  for (const char *Value : {"1e300", "1e999", "18446744073709551615", "-1",
                            "null", "\"9\"", "[9]"}) {
    CAPTURE(Value);
    CHECK(!IsAccepted("capacity_slots", Value));
    CHECK(!IsAccepted("sequence", Value));
    CHECK(!IsAccepted("born", Value));
  }
  CHECK(!IsAccepted("capacity_slots", "4294967295"));
}

TEST_CASE("odd cold times in heartbeats are bounded or refused") {
  TestNode Node;
  Node.StartedUnixMs = 1000;
  const auto ColdTime = [&Node](const std::string &Value) {
    return platform::decodeHeartbeat(
        "i-1", heartbeatWith(Node, "cold_remaining_s", Value));
  };
  REQUIRE(ColdTime("2.5").ok());
  CHECK(ColdTime("2.5")->ColdRemaining == Millis(2500));
  // A time in the past, and a century.
  REQUIRE(ColdTime("-7").ok());
  CHECK(ColdTime("-7")->ColdRemaining == Millis(0));
  REQUIRE(ColdTime("3e9").ok());
  CHECK(ColdTime("3e9")->ColdRemaining >= std::chrono::minutes(1));
  CHECK(!ColdTime("null").ok());
  CHECK(!ColdTime("\"3\"").ok());
}

// Operators of a similar system saw their processes end again and again.
TEST_CASE("odd heartbeats neither end a node nor withdraw its upstream") {
  RobustNodes Setup;
  for (const std::pair<std::string, std::string> &Case :
       std::vector<std::pair<std::string, std::string>>{
           {"capacity_slots", "4294967295"},
           {"capacity_slots", "1e300"},
           {"capacity_slots", "1e999"},
           {"capacity_slots", "-1"},
           {"sequence", "1e300"},
           {"sequence", "18446744073709551615"},
           {"born", "1e300"},
           {"born", "18446744073709551615"},
           {"cold_remaining_s", "1e300"},
           {"address", "\"127.0.0.1:99999\""},
           {"version", nested(100000)},
           {"extra", nested(200000)},
           {"state", "\"resting\""}}) {
    CAPTURE(Case.first);
    CAPTURE(Case.second.substr(0, 30));
    sendHeartbeat(Setup.Server,
                  heartbeatWith(Setup.Server, Case.first, Case.second));
    Setup.checkServing();
  }
  sendHeartbeat(Setup.Server, nested(400000));
  sendHeartbeat(Setup.Server, std::string(100000, '{'));
  sendHeartbeat(Setup.Server, std::string("\xff\xfe\0{", 4));
  Setup.checkServing();
}

TEST_CASE("odd records in the store are skipped and those behind them are "
          "followed") {
  RobustNodes Setup;
  for (const std::string &Value :
       {nested(200000), std::string("{\"version\":1e300}"),
        std::string("{\"version\":1e999}"), std::string("\xff\xfe"),
        std::string("{\"version\":900,\"services\":7,\"virtual_hosts\":7}"),
        std::string("{\"version\":-5,\"services\":[[[]]]}")}) {
    Setup.Mesh.store().put("keyed.op", "config", Value);
    Setup.Mesh.store().put("keyed.op", "rollout/gallery", Value);
  }
  proto::NodeEntry Entry;
  Entry.set_node("odd");
  Entry.set_data_centre("here");
  Entry.set_address("127.0.0.1");
  Entry.set_link_port(70000);
  Setup.Mesh.store().put("keyed.nodes", "odd", Entry.SerializeAsString());
  Entry.set_node("odd-2");
  Entry.set_address("no address");
  Setup.Mesh.store().put("keyed.nodes", "odd-2", Entry.SerializeAsString());
  Setup.Mesh.store().put("keyed.nodes", "odd-3", nested(200000));
  Setup.Mesh.store().put("keyed.nodes", "", "no key");
  // A node that starts reads all of it.
  Setup.Mesh.add("gallery");
  REQUIRE(Setup.Mesh.waitUntilReady());
  Setup.checkServing();
  Setup.Mesh.publish(20, "gallery", 3000, {"/later/"});
  for (const auto &Node : Setup.Mesh.nodes())
    CHECK(eventually(WaitTimeout, [&] {
      return Setup.Mesh.call(*Node, {.Target = "/later/1"}).Status == 200;
    }));
}

TEST_CASE("a configuration is applied although odd ones follow it at once") {
  RobustNodes Setup;
  Setup.Mesh.publish(20, "gallery", 3000, {"/later/"});
  for (const char *Value : {"{\"version\":1e300}", "\xff\xfe", "{}"})
    Setup.Mesh.store().put("keyed.op", "config", Value);
  for (const auto &Node : Setup.Mesh.nodes())
    CHECK(eventually(WaitTimeout, [&] {
      return Setup.Mesh.call(*Node, {.Target = "/later/1"}).Status == 200;
    }));
}

} // namespace persimmonquay::testing
