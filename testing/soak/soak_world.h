// The processes of a soak and the faults that are injected into them.
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

/// Six nodes in two data centres, reached by each other only through a proxy
/// process, and the faults that strike them. Faults overlap: each begins
/// without regard to the others, and ends by itself. Lives on one thread.
class SoakWorld {
public:
  SoakWorld(std::uint64_t Seed, CallLedger &Promises);

  /// Injects one fault, chosen by the seed, and prints it.
  void injectFault();

  /// Ends the faults whose time has come, sends heartbeats, and checks that no
  /// node goes back to an older configuration.
  void step();

  /// Ends all faults, and waits until every node serves the newest
  /// configuration; complains when one doesn't.
  void healAndCheck();

  /// Holds what callers were told against what the upstreams ran.
  void checkCalls();

  std::vector<std::uint16_t> callerPorts() const;

private:
  struct NodeState {
    MeshPlace *Place = nullptr;
    bool Paused = false;
    /// Newest configuration that the running process has shown.
    std::uint64_t SeenVersion = 0;
    bool Draining = false;
    /// Whether the upstream says that it leaves when its health is checked.
    std::shared_ptr<std::atomic<bool>> Leaves =
        std::make_shared<std::atomic<bool>>(false);
    /// When the current upstream's drain was confirmed.
    std::optional<MonoTime> DrainedAt;
  };
  struct Ending {
    MonoTime At;
    std::function<void()> Run;
  };

  NodeState &anyNode();
  Millis anySpan();
  void later(Millis After, std::function<void()> Run);
  void restart(NodeState &Node);
  void stopGracefully();
  void restartOnceEnded(NodeState &Node, pid_t Stopping);
  void pause();
  void disturbLink();
  void disturbStore();
  void drainUpstream();
  void breakUpstream();
  void publish();
  void control(const std::string &Link, const std::string &Fault);
  void sendHeartbeats();
  void checkVersions();
  bool serves(const NodeState &Node, std::uint64_t Version);
  void checkDrain(NodeState &Node);

  CallLedger &Ledger;
  std::mt19937_64 Random;
  SmallMesh Mesh;
  std::vector<NodeState> Nodes;
  std::unique_ptr<Process> Proxy;
  std::uint16_t ProxyPort = 0;
  std::vector<Ending> Endings;
  std::vector<std::string> AddedRoutes;
  std::uint64_t Version = 0;
  std::uint64_t Instances = 0;
  MonoTime NextHeartbeats;
  MonoTime NextCheck;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_SOAK_SOAK_WORLD_H
