// Tests of the program as processes on loopback: a store that is silent for a
// while, so that the calls that it has received are never answered.
#include "proto/link.pb.h"
#include "testing/free_port.h"
#include "testing/platform/small_mesh.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cstdint>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// Time after the store's return by which a change that was made while it was
/// silent is active: the stability window of the smallest deployments.
constexpr Millis ReturnBound{3000};

/// Time after which the nodes have sent their next read, once they have read a
/// record.
constexpr Millis NextReadDelay{600};

/// Three nodes of two data centres that follow the operator's records.
class SilentStoreMesh {
public:
  SilentStoreMesh() {
    this->Mesh.add("gallery");
    this->Mesh.add("gallery");
    this->Mesh.add("gallery", "v1", "there");
    this->publishPath();
    REQUIRE(this->Mesh.waitUntilReady());
    REQUIRE(eventually(WaitTimeout, [this] { return this->isActive(); }));
  }

  /// Publishes a configuration with one more path.
  void publishPath() {
    this->Paths.push_back(absl::StrCat("/path-", ++this->Version, "/"));
    this->Mesh.publish(this->Version, "gallery", 3000, this->Paths);
  }

  /// Publishes a configuration with `Count` paths, the last of which is new.
  void publishPaths(int Count) {
    this->Paths.resize(1);
    while (static_cast<int>(this->Paths.size()) + 1 < Count)
      this->Paths.push_back(absl::StrCat("/more-", this->Paths.size(), "/"));
    this->publishPath();
  }

  /// Returns whether all nodes route the path that was published last.
  bool isActive() {
    for (const auto &Node : this->Mesh.nodes())
      if (this->Mesh
              .call(*Node, {.Target = this->Paths.back() + "1",
                            .RequestId = absl::StrCat("call-", ++this->Calls)})
              .Status == 404)
        return false;
    return true;
  }

  /// Makes the store silent for `Duration` while the nodes wait for a record,
  /// and publishes a configuration meanwhile.
  void playSilence(Millis Duration) {
    this->Mesh.store().setSilent(true);
    std::this_thread::sleep_for(Duration / 2);
    this->publishPath();
    std::this_thread::sleep_for(Duration / 2);
    this->Mesh.store().setSilent(false);
  }

  /// Returns how long it takes from now on until all nodes have the
  /// configuration that was published last.
  Millis timeUntilActive() {
    const MonoTime Start = monoNow();
    REQUIRE(eventually(WaitTimeout, [this] { return this->isActive(); }));
    return std::chrono::duration_cast<Millis>(monoNow() - Start);
  }

  SmallMesh Mesh;

private:
  std::vector<std::string> Paths;
  std::uint64_t Version = 10;
  int Calls = 0;
};

} // namespace

// A read that a silent store had swallowed held up the next one for as long as
// the store may hold a read open, whenever the store was back.
TEST_CASE("a change made while the store is silent is active soon after its "
          "return") {
  for (const Millis Silence :
       {Millis(100), Millis(700), Millis(1500), Millis(4500), Millis(9000)}) {
    CAPTURE(Silence.count());
    SilentStoreMesh Setup;
    std::this_thread::sleep_for(NextReadDelay);
    Setup.playSilence(Silence);
    CHECK(Setup.timeUntilActive() < ReturnBound);
  }
}

TEST_CASE("changes between silences of the store are active soon after each "
          "return") {
  SilentStoreMesh Setup;
  for (int Round = 0; Round < 3; ++Round) {
    std::this_thread::sleep_for(NextReadDelay);
    Setup.playSilence(Millis(200));
    // The nodes have no answer yet when the next silence begins.
    Setup.playSilence(Millis(400));
    CHECK(Setup.timeUntilActive() < ReturnBound);
  }
}

// The nodes read every version that they had missed, one response after the
// other, so that they were the later the longer the store had been silent.
TEST_CASE("a change that follows many others in a silence is active soon") {
  constexpr int Versions = 120;
  constexpr int PathsOfVersion = 1500;
  SilentStoreMesh Setup;
  std::this_thread::sleep_for(NextReadDelay);
  Setup.Mesh.store().setSilent(true);
  std::this_thread::sleep_for(Millis(2500));
  for (int Version = 0; Version < Versions; ++Version)
    Setup.publishPaths(PathsOfVersion);
  Setup.Mesh.store().setSilent(false);
  CHECK(Setup.timeUntilActive() < ReturnBound);
}

// Every node of a data centre whose followers failed called the store, and all
// of them read the whole configuration when it was back.
TEST_CASE("few nodes at a time call a store that is silent") {
  constexpr int Nodes = 16;
  // Those that always try, those whose turn it is, and those whose turn has
  // just ended.
  constexpr std::size_t MaxCallers = 10;
  SmallMesh Mesh;
  for (int I = 0; I < Nodes; ++I)
    Mesh.add("gallery");
  Mesh.publish(1, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  // All have stored their entries, and have left the first phase in which
  // they may all follow.
  std::this_thread::sleep_for(Millis(5000));
  Mesh.store().setSilent(true);
  std::size_t MostCallers = 0;
  const MonoTime End = monoNow() + Millis(8000);
  while (monoNow() < End) {
    MostCallers = std::max(MostCallers, Mesh.store().openSwallowedCalls());
    std::this_thread::sleep_for(Millis(5));
  }
  CHECK(MostCallers >= 2);
  CHECK(MostCallers <= MaxCallers);
  Mesh.publish(2, "gallery", 3000, {"/new/"});
  Mesh.store().setSilent(false);
  const MonoTime Return = monoNow();
  int Calls = 0;
  CHECK(eventually(WaitTimeout, [&] {
    return std::all_of(
        Mesh.nodes().begin(), Mesh.nodes().end(), [&](const auto &Node) {
          return Mesh.call(*Node, {.Target = "/new/1",
                                   .RequestId = absl::StrCat("new-", ++Calls)})
                     .Status != 404;
        });
  }));
  CHECK(monoNow() - Return < ReturnBound);
}

// Entries of hosts that were lost stay in the list of nodes. If they had turns,
// the nodes that are there would wait for minutes.
TEST_CASE("nodes that are gone do not keep the others from the store") {
  constexpr int GoneNodes = 200;
  SmallMesh Mesh;
  for (int I = 0; I < GoneNodes; ++I) {
    proto::NodeEntry Gone;
    Gone.set_node(absl::StrCat("gone-", I));
    Gone.set_data_centre("here");
    Gone.set_address("127.0.0.1");
    Gone.set_link_port(freePort());
    // Ranks above the nodes of the test.
    Gone.set_link_mbps(1000);
    Mesh.store().put("keyed.nodes", Gone.node(), Gone.SerializeAsString());
  }
  for (int I = 0; I < 3; ++I)
    Mesh.add("gallery");
  Mesh.publish(1, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  std::this_thread::sleep_for(Millis(2500));
  for (std::uint64_t Version = 2; Version < 5; ++Version) {
    const std::string Path = absl::StrCat("/path-", Version, "/");
    Mesh.publish(Version, "gallery", 3000, {Path});
    const MonoTime Start = monoNow();
    int Calls = 0;
    for (const auto &Node : Mesh.nodes())
      CHECK(eventually(WaitTimeout, [&] {
        return Mesh.call(*Node, {.Target = Path + "1",
                                 .RequestId = absl::StrCat("new-", Version, "-",
                                                           ++Calls)})
                   .Status != 404;
      }));
    CHECK(monoNow() - Start < ReturnBound);
  }
}

} // namespace persimmonquay::testing
