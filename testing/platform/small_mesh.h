// A mesh of a few nodes for tests: the nodes are processes of the program on
// loopback; the store and the upstreams are stand-ins in the test's process.
#ifndef PERSIMMONQUAY_TESTING_PLATFORM_SMALL_MESH_H
#define PERSIMMONQUAY_TESTING_PLATFORM_SMALL_MESH_H

#include "persimmonquay/base/time.h"
#include "testing/fleet/process.h"
#include "testing/platform/scripted_upstream.h"
#include "testing/platform/store_stand_in.h"
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace persimmonquay::testing {

/// A node and its upstream.
struct TestNode {
  std::string Name;
  std::string Service;
  std::string Version = "v1";
  std::string DataCentre = "here";
  /// IP address at which other nodes reach this one.
  std::string Address = "127.0.0.1";
  std::string Instance;
  std::uint16_t CallerPort = 0;
  std::uint16_t LinkPort = 0;
  std::uint16_t ReadinessPort = 0;
  std::uint16_t RegistrationPort = 0;
  /// Port of the store; 0 for that of the mesh. From the next start on.
  std::uint16_t StorePort = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t StartedUnixMs = 0;
  /// Seconds for which the upstream is cold, as its heartbeats say.
  double ColdRemaining = 0;
  std::unique_ptr<ScriptedUpstream> Upstream;
  /// The node's process.
  std::unique_ptr<Process> Sidecar;
};

/// Options of one call that a test sends through a node.
struct CallOptions {
  std::string Method = "GET";
  std::string Target = "/views/7";
  std::string Body = {};
  std::string RequestId = "call-1";
  /// Sent as the time that remains until the call's deadline.
  std::uint32_t DeadlineMs = 5000;
  /// Further headers.
  std::multimap<std::string, std::string> Headers = {};
};

/// The response to a call; header names are in lower case.
struct CallResponse {
  /// 0 when the connection ended before a complete response.
  int Status = 0;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Starts nodes, registers their upstreams and publishes configurations.
class SmallMesh {
public:
  SmallMesh();
  ~SmallMesh();

  /// Adds a node and an upstream of `Service`, which responds with status 200
  /// to every request. Starts the node and registers the upstream.
  TestNode &add(const std::string &Service, const std::string &Version = "v1",
                const std::string &DataCentre = "here",
                const std::string &Address = "127.0.0.1");

  /// Sets the memory of the hosts of nodes that are started from now on.
  void setMemory(double Megabytes) { this->MemoryMegabytes = Megabytes; }

  /// Sets the interval at which nodes that are started from now on expect
  /// heartbeats.
  void setHeartbeatInterval(double Seconds) {
    this->HeartbeatSeconds = Seconds;
  }

  /// Sets how long upstreams are cold after a start and how many calls a second
  /// a cold one takes, in configurations that are published from now on.
  void setColdStart(double Seconds, double CallsPerSecond) {
    this->ColdSeconds = Seconds;
    this->ColdCallsPerSecond = CallsPerSecond;
  }
  /// Sets the bandwidth of the links of nodes that are started from now on.
  void setLinkMbps(double Mbps) { this->LinkMbps = Mbps; }

  /// Starts the node's process; kills the one that runs, if any.
  void startNode(TestNode &Node);

  /// Sends one heartbeat; returns the status of the response.
  int heartbeat(TestNode &Node, const std::string &State = "ready",
                std::uint32_t Slots = 4);

  /// Deregisters the node's upstream, without its start time, as upstreams that
  /// never report draining do; returns the status of the response.
  int deregister(TestNode &Node);

  /// Sets the client accounts of configurations that are published from now on,
  /// with their keys.
  void
  setAccounts(std::map<std::string, std::vector<std::string>> NewAccounts) {
    this->Accounts = std::move(NewAccounts);
  }

  /// Publishes a configuration in which host "boards.example" has routes to
  /// `Service` for the paths "/views/" (safe), "/orders/" (unsafe) and
  /// `ExtraPaths` (safe).
  void publish(std::uint64_t Version, const std::string &Service,
               std::uint32_t TimeoutMs = 3000,
               const std::vector<std::string> &ExtraPaths = {});

  /// Waits until every node reports that it is ready, which it does once it has
  /// routes and reaches upstreams. Returns false, and prints the nodes' output,
  /// when a timeout passes first.
  bool waitUntilReady();

  /// Sends a call to a node as a caller on its host does, with a forged calling
  /// service, which the node must replace.
  CallResponse call(const TestNode &Node, const CallOptions &Options = {});

  /// Returns the directory of the test's files.
  const std::string &directory() const { return this->Directory; }
  StoreStandIn &store() { return this->Store; }
  std::vector<std::unique_ptr<TestNode>> &nodes() { return this->Nodes; }

private:
  StoreStandIn Store;
  std::string Directory;
  double MemoryMegabytes = 256;
  std::map<std::string, std::vector<std::string>> Accounts;
  double HeartbeatSeconds = 60;
  double ColdSeconds = 0;
  double ColdCallsPerSecond = 0;
  /// 0 if the settings state none.
  double LinkMbps = 0;
  std::vector<std::unique_ptr<TestNode>> Nodes;
};

/// Sends `Bytes` to a port of 127.0.0.1. Returns what is received until the
/// other end closes the connection or sends nothing for `IdleTimeout`.
std::string sendBytes(std::uint16_t Port, const std::string &Bytes,
                      Millis IdleTimeout);

/// Polls `Condition` until it returns true. Returns false when it hasn't within
/// `Timeout`.
template <typename F> bool eventually(Millis Timeout, F &&Condition) {
  const MonoTime Deadline = monoNow() + Timeout;
  while (!Condition()) {
    if (monoNow() >= Deadline)
      return false;
    std::this_thread::sleep_for(Millis(20));
  }
  return true;
}

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_PLATFORM_SMALL_MESH_H
