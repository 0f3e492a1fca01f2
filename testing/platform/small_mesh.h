// A few nodes of the real program on loopback, with a store and upstreams that
// the test plays.
#ifndef PERSIMMONQUAY_TESTING_PLATFORM_SMALL_MESH_H
#define PERSIMMONQUAY_TESTING_PLATFORM_SMALL_MESH_H

#include "persimmonquay/base/time.h"
#include "testing/fleet/process.h"
#include "testing/platform/app_stand_in.h"
#include "testing/platform/store_stand_in.h"
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace persimmonquay::testing {

/// One node with its upstream.
struct MeshPlace {
  std::string Name;
  std::string Service;
  std::string Version = "v1";
  std::string DataCentre = "here";
  /// IP number by which other nodes reach this one.
  std::string Address = "127.0.0.1";
  std::string Instance;
  std::uint16_t CallerPort = 0;
  std::uint16_t LinkPort = 0;
  std::uint16_t ReadinessPort = 0;
  std::uint16_t RegistrationPort = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t StartedUnixMs = 0;
  std::unique_ptr<AppStandIn> App;
  std::unique_ptr<Process> Node;
};

/// Options of one call of a test's caller.
struct MeshCall {
  std::string Method = "GET";
  std::string Target = "/views/7";
  std::string Body = {};
  std::string Id = "call-1";
  std::uint32_t PatienceMs = 5000;
};

/// What came back; names of headers in lower case.
struct MeshAnswer {
  /// 0 when the connection ended without a whole answer.
  int Status = 0;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Starts nodes, registers their upstreams and publishes configurations.
class SmallMesh {
public:
  SmallMesh();
  ~SmallMesh();

  /// Adds a node beside an upstream of `Service`; the upstream answers every
  /// request well. The node is started and the upstream registered.
  MeshPlace &add(const std::string &Service, const std::string &Version = "v1",
                 const std::string &DataCentre = "here",
                 const std::string &Address = "127.0.0.1");

  /// Starts the place's process anew.
  void startNode(MeshPlace &Place);

  /// Sends one heartbeat; returns the status of the answer.
  int heartbeat(MeshPlace &Place, const std::string &State = "ready",
                std::uint32_t Slots = 4);

  /// Publishes a configuration with the routes "/views/" (safe) and "/orders/"
  /// (unsafe) of host "boards.example" to `Service`, and those of `Added`,
  /// which are safe.
  void publish(std::uint64_t Version, const std::string &Service,
               std::uint32_t TimeoutMs = 3000,
               const std::vector<std::string> &Added = {});

  /// Waits until every node is ready and reaches every upstream of a service.
  bool waitUntilReady();

  MeshAnswer call(const MeshPlace &Through, const MeshCall &Options = {});

  /// Folder for files of the run.
  const std::string &directory() const { return this->Directory; }
  StoreStandIn &store() { return this->Store; }
  std::vector<std::unique_ptr<MeshPlace>> &places() { return this->Places; }

private:
  StoreStandIn Store;
  std::string Directory;
  std::vector<std::unique_ptr<MeshPlace>> Places;
};

/// Sends `Bytes` to a port of 127.0.0.1 and returns what comes back until the
/// other end closes or is silent for `Silence`.
std::string sendBytes(std::uint16_t Port, const std::string &Bytes,
                      Millis Silence);

/// Checks `Condition` again and again until it holds; returns false when it
/// doesn't within `Timeout`.
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
