#include "persimmonquay/fleet/node_directory.h"
#include "persimmonquay/fleet/upstream_registry.h"
#include <doctest/doctest.h>

namespace persimmonquay {
namespace {

proto::NodeEntry makeEntry(const std::string &Node, std::uint64_t Boot,
                           std::uint64_t Revision) {
  proto::NodeEntry Result;
  Result.set_node(Node);
  Result.set_boot(Boot);
  Result.set_revision(Revision);
  Result.set_address("10.0.0.1");
  return Result;
}

TEST_CASE("the newest entry of a node is kept whatever the order of merging") {
  NodeDirectory Directory("a", 100);
  const MonoTime Now = monoNow();
  CHECK(Directory.merge(makeEntry("b", 5, 2), Now) ==
        NodeDirectory::MergeResult::Updated);
  CHECK(Directory.merge(makeEntry("b", 5, 1), Now) ==
        NodeDirectory::MergeResult::Outdated);
  CHECK(Directory.merge(makeEntry("b", 5, 2), Now) ==
        NodeDirectory::MergeResult::Unchanged);
  CHECK(Directory.merge(makeEntry("b", 4, 9), Now) ==
        NodeDirectory::MergeResult::Outdated);
  CHECK(Directory.merge(makeEntry("b", 6, 1), Now) ==
        NodeDirectory::MergeResult::Updated);
  CHECK(Directory.find("b")->boot() == 6);
}

TEST_CASE("a node raises its boot number above that of an earlier run") {
  NodeDirectory Directory("a", 100);
  CHECK(Directory.merge(makeEntry("a", 500, 3), monoNow()) ==
        NodeDirectory::MergeResult::OwnEntry);
  CHECK(Directory.ownEntry().boot() > 500);
}

TEST_CASE("nodes with the same entries have the same hash") {
  NodeDirectory Left("a", 100);
  NodeDirectory Right("b", 200);
  const MonoTime Now = monoNow();
  Left.merge(Right.ownEntry(), Now);
  Left.merge(makeEntry("c", 5, 2), Now);
  CHECK(Left.hash() != Right.hash());
  Right.merge(makeEntry("c", 5, 2), Now);
  Right.merge(Left.ownEntry(), Now);
  CHECK(Left.hash() == Right.hash());
}

TEST_CASE("the entry of a departed node is kept for a while and then removed") {
  NodeDirectory Directory("a", 100);
  const MonoTime Now = monoNow();
  proto::NodeEntry Departed = makeEntry("b", 5, 2);
  Departed.set_leaving(true);
  Directory.merge(Departed, Now);
  CHECK(Directory.activePeers().empty());
  Directory.removeDepartedNodes(Now + std::chrono::seconds(10));
  CHECK(Directory.merge(makeEntry("b", 5, 1), Now) ==
        NodeDirectory::MergeResult::Outdated);
  Directory.removeDepartedNodes(Now + std::chrono::minutes(5));
  CHECK(Directory.find("b") == nullptr);
}

Heartbeat makeHeartbeat(const std::string &Instance,
                        std::uint64_t StartedUnixMs, std::uint64_t Sequence) {
  Heartbeat Result;
  Result.Instance = Instance;
  Result.Service = "gallery";
  Result.Version = "v1";
  Result.Slots = 9;
  Result.StartedUnixMs = StartedUnixMs;
  Result.Sequence = Sequence;
  return Result;
}

TEST_CASE("a heartbeat of an earlier incarnation is ignored") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  CHECK(Registry.apply(makeHeartbeat("i-2", 2000, 1), Now));
  CHECK_FALSE(Registry.apply(makeHeartbeat("i-1", 1000, 77), Now));
  CHECK(Registry.upstream()->instance() == "i-2");
}

TEST_CASE("a restarted instance counts its heartbeats anew") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  Heartbeat Draining = makeHeartbeat("i-1", 1000, 9);
  Draining.Draining = true;
  Registry.apply(Draining, Now);
  CHECK(Registry.apply(makeHeartbeat("i-1", 3000, 1), Now));
  CHECK_FALSE(Registry.upstream()->draining());
}

TEST_CASE("a draining upstream stays draining") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  Registry.apply(makeHeartbeat("i-1", 1000, 1), Now);
  Heartbeat Draining = makeHeartbeat("i-1", 1000, 3);
  Draining.Draining = true;
  CHECK(Registry.apply(Draining, Now));
  CHECK_FALSE(Registry.apply(makeHeartbeat("i-1", 1000, 2), Now));
  CHECK_FALSE(Registry.apply(makeHeartbeat("i-1", 1000, 4), Now));
  CHECK(Registry.upstream()->draining());
}

TEST_CASE(
    "a deregistered upstream stays withdrawn when a late heartbeat arrives") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  Registry.apply(makeHeartbeat("i-1", 1000, 1), Now);
  CHECK(Registry.deregister("i-1", 1000));
  CHECK_FALSE(Registry.apply(makeHeartbeat("i-1", 1000, 2), Now));
  CHECK_FALSE(Registry.upstream().has_value());
  CHECK(Registry.apply(makeHeartbeat("i-2", 4000, 1), Now));
  // The deregistration of the earlier upstream is repeated.
  CHECK_FALSE(Registry.deregister("i-1", 1000));
  CHECK(Registry.upstream()->instance() == "i-2");
}

TEST_CASE("a stored upstream is restored until its next heartbeat") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  UpstreamRegistry Earlier;
  Earlier.apply(makeHeartbeat("i-1", 1000, 7), Now);
  CHECK(Registry.restore(*Earlier.upstream(), Now));
  CHECK(Registry.upstream()->instance() == "i-1");
  // The heartbeat reports the restored state, so nothing changes.
  CHECK_FALSE(Registry.apply(makeHeartbeat("i-1", 1000, 8), Now));
  Heartbeat Draining = makeHeartbeat("i-1", 1000, 9);
  Draining.Draining = true;
  CHECK(Registry.apply(Draining, Now));
}

TEST_CASE("a stored upstream is not restored after newer information") {
  const MonoTime Now = monoNow();
  UpstreamRegistry Earlier;
  Earlier.apply(makeHeartbeat("i-1", 1000, 7), Now);
  UpstreamRegistry Registered;
  Registered.apply(makeHeartbeat("i-2", 2000, 1), Now);
  CHECK_FALSE(Registered.restore(*Earlier.upstream(), Now));
  CHECK(Registered.upstream()->instance() == "i-2");
  UpstreamRegistry Deregistered;
  Deregistered.deregister("i-1", 1000);
  CHECK_FALSE(Deregistered.restore(*Earlier.upstream(), Now));
  CHECK_FALSE(Deregistered.apply(makeHeartbeat("i-1", 1000, 8), Now));
  proto::UpstreamEntry Draining = *Earlier.upstream();
  Draining.set_draining(true);
  CHECK_FALSE(UpstreamRegistry().restore(Draining, Now));
}

TEST_CASE("an upstream without heartbeats is withdrawn") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  Registry.apply(makeHeartbeat("i-1", 1000, 1), Now);
  CHECK_FALSE(Registry.expire(Millis(9000), Now + Millis(9000)));
  CHECK(Registry.expire(Millis(9000), Now + Millis(9001)));
  CHECK(Registry.apply(makeHeartbeat("i-1", 1000, 2), Now + Millis(9500)));
}

} // namespace
} // namespace persimmonquay
