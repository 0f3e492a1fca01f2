// The processes of a soak test and the faults that are injected into them.
#ifndef PERSIMMONQUAY_TESTING_SOAK_SOAK_WORLD_H
#define PERSIMMONQUAY_TESTING_SOAK_SOAK_WORLD_H

#include "persimmonquay/base/time.h"
#include "testing/platform/small_mesh.h"
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <sys/types.h>
#include <vector>

namespace persimmonquay::testing {

class CallLedger;

/// Six nodes in two data centres, which reach each other only through a proxy
/// process, and the faults that are injected into them. Faults may overlap:
/// each begins independently of the others and ends after its own duration. Not
/// thread-safe.
class SoakWorld {
public:
  SoakWorld(std::uint64_t Seed, CallLedger &SharedLedger);

  /// Injects one fault, chosen by the seed, and prints it.
  void injectFault();

  /// Ends the faults that are due to end, sends heartbeats, and checks that no
  /// node returns to an older configuration. Call it often.
  void step();

  /// Waits until all faults have ended and every node serves the latest
  /// configuration. Records a violation for each node that doesn't in time.
  void waitForRecovery();

  /// Checks the outcomes at the callers against the requests that the upstreams
  /// have received.
  void checkCalls();

  std::vector<std::uint16_t> callerPorts() const;

private:
  struct NodeState {
    TestNode *Node = nullptr;
    bool Paused = false;
    /// Newest configuration that the current process is known to have served.
    std::uint64_t ServedVersion = 0;
    bool Draining = false;
    /// Whether the upstream responds to health checks with status 503, as it
    /// does while it drains.
    std::shared_ptr<std::atomic<bool>> IsLeaving =
        std::make_shared<std::atomic<bool>>(false);
    /// Time at which the node confirmed that the current upstream drains.
    std::optional<MonoTime> DrainConfirmedAt;
  };
  struct ScheduledAction {
    MonoTime Time;
    std::function<void()> Action;
  };

  NodeState &randomNode();
  Millis randomFaultDuration();
  void schedule(Millis Delay, std::function<void()> Action);
  void restart(NodeState &State);
  void stopGracefully();
  void restartWhenEnded(NodeState &State, pid_t ProcessId);
  void pause();
  void injectLinkFault();
  void injectStoreFault();
  /// Lets the store come back from a copy after an outage.
  void restoreStore();
  void drainUpstream();
  void injectUpstreamFault();
  /// Publishes another configuration.
  void publish();
  /// Writes the latest configuration.
  void publishLatest();
  void setLinkFault(const std::string &Link, const std::string &Fault);
  void sendHeartbeats();
  void checkVersions();
  /// Returns whether the node serves this configuration. Records a violation
  /// when it does not but is known to have served it.
  bool servesVersion(const NodeState &State, std::uint64_t ConfigVersion);
  void checkDrain(NodeState &State);

  CallLedger &Ledger;
  std::mt19937_64 Random;
  SmallMesh Mesh;
  std::vector<NodeState> Nodes;
  std::unique_ptr<Process> Proxy;
  std::uint16_t ProxyPort = 0;
  std::vector<ScheduledAction> ScheduledActions;
  std::vector<std::string> VersionPaths;
  std::uint64_t LatestVersion = 0;
  std::uint64_t InstanceCount = 0;
  MonoTime NextHeartbeats;
  MonoTime NextVersionCheck;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_SOAK_SOAK_WORLD_H
