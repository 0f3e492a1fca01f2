#include "persimmonquay/fleet/node_directory.h"
#include "persimmonquay/fleet/upstream_registry.h"
#include <doctest/doctest.h>

namespace persimmonquay {
namespace {

proto::NodeEntry entryOf(const std::string &Node, std::uint64_t Boot,
                         std::uint64_t Revision) {
  proto::NodeEntry Result;
  Result.set_node(Node);
  Result.set_boot(Boot);
  Result.set_revision(Revision);
  Result.set_address("10.0.0.1");
  return Result;
}

TEST_CASE("the newest entry of a node wins in any order") {
  NodeDirectory Nodes("a", 100);
  const MonoTime Now = monoNow();
  CHECK(Nodes.merge(entryOf("b", 5, 2), Now) == NodeDirectory::Merge::Newer);
  CHECK(Nodes.merge(entryOf("b", 5, 1), Now) == NodeDirectory::Merge::Older);
  CHECK(Nodes.merge(entryOf("b", 5, 2), Now) == NodeDirectory::Merge::Known);
  CHECK(Nodes.merge(entryOf("b", 4, 9), Now) == NodeDirectory::Merge::Older);
  CHECK(Nodes.merge(entryOf("b", 6, 1), Now) == NodeDirectory::Merge::Newer);
  CHECK(Nodes.find("b")->boot() == 6);
}

TEST_CASE("an entry of an earlier run with a later clock is outdone") {
  NodeDirectory Nodes("a", 100);
  CHECK(Nodes.merge(entryOf("a", 500, 3), monoNow()) ==
        NodeDirectory::Merge::Own);
  CHECK(Nodes.own().boot() > 500);
}

TEST_CASE("nodes that know the same have the same hash") {
  NodeDirectory Left("a", 100);
  NodeDirectory Right("b", 200);
  const MonoTime Now = monoNow();
  Left.merge(Right.own(), Now);
  Left.merge(entryOf("c", 5, 2), Now);
  CHECK(Left.hash() != Right.hash());
  Right.merge(entryOf("c", 5, 2), Now);
  Right.merge(Left.own(), Now);
  CHECK(Left.hash() == Right.hash());
}

TEST_CASE("an entry that left is kept for a while and then forgotten") {
  NodeDirectory Nodes("a", 100);
  const MonoTime Now = monoNow();
  proto::NodeEntry Left = entryOf("b", 5, 2);
  Left.set_leaving(true);
  Nodes.merge(Left, Now);
  CHECK(Nodes.others().empty());
  Nodes.forgetLeft(Now + std::chrono::seconds(10));
  CHECK(Nodes.merge(entryOf("b", 5, 1), Now) == NodeDirectory::Merge::Older);
  Nodes.forgetLeft(Now + std::chrono::minutes(5));
  CHECK(Nodes.find("b") == nullptr);
}

Heartbeat beatOf(const std::string &Instance, std::uint64_t Started,
                 std::uint64_t Sequence) {
  Heartbeat Result;
  Result.Instance = Instance;
  Result.Service = "gallery";
  Result.Version = "v1";
  Result.Slots = 9;
  Result.StartedUnixMs = Started;
  Result.Sequence = Sequence;
  return Result;
}

TEST_CASE("a heartbeat of an earlier incarnation changes nothing") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  CHECK(Registry.apply(beatOf("i-2", 2000, 1), Now));
  CHECK_FALSE(Registry.apply(beatOf("i-1", 1000, 77), Now));
  CHECK(Registry.upstream()->instance() == "i-2");
}

TEST_CASE("the same instance may start again and counts anew") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  Heartbeat Draining = beatOf("i-1", 1000, 9);
  Draining.Draining = true;
  Registry.apply(Draining, Now);
  CHECK(Registry.apply(beatOf("i-1", 3000, 1), Now));
  CHECK_FALSE(Registry.upstream()->draining());
}

TEST_CASE("an upstream that drains takes no calls again") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  Registry.apply(beatOf("i-1", 1000, 1), Now);
  Heartbeat Draining = beatOf("i-1", 1000, 3);
  Draining.Draining = true;
  CHECK(Registry.apply(Draining, Now));
  CHECK_FALSE(Registry.apply(beatOf("i-1", 1000, 2), Now));
  CHECK_FALSE(Registry.apply(beatOf("i-1", 1000, 4), Now));
  CHECK(Registry.upstream()->draining());
}

TEST_CASE("an upstream that left stays away, even if a heartbeat is late") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  Registry.apply(beatOf("i-1", 1000, 1), Now);
  CHECK(Registry.leave("i-1", 1000));
  CHECK_FALSE(Registry.apply(beatOf("i-1", 1000, 2), Now));
  CHECK_FALSE(Registry.upstream().has_value());
  CHECK(Registry.apply(beatOf("i-2", 4000, 1), Now));
  // The leave of the earlier one, repeated.
  CHECK_FALSE(Registry.leave("i-1", 1000));
  CHECK(Registry.upstream()->instance() == "i-2");
}

TEST_CASE("a stored upstream is restored until its heartbeat comes") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  UpstreamRegistry Earlier;
  Earlier.apply(beatOf("i-1", 1000, 7), Now);
  CHECK(Registry.restore(*Earlier.upstream(), Now));
  CHECK(Registry.upstream()->instance() == "i-1");
  // The same state as before: nobody needs to be told.
  CHECK_FALSE(Registry.apply(beatOf("i-1", 1000, 8), Now));
  Heartbeat Draining = beatOf("i-1", 1000, 9);
  Draining.Draining = true;
  CHECK(Registry.apply(Draining, Now));
}

TEST_CASE("a stored upstream that was heard of since is not restored") {
  const MonoTime Now = monoNow();
  UpstreamRegistry Earlier;
  Earlier.apply(beatOf("i-1", 1000, 7), Now);
  UpstreamRegistry Known;
  Known.apply(beatOf("i-2", 2000, 1), Now);
  CHECK_FALSE(Known.restore(*Earlier.upstream(), Now));
  CHECK(Known.upstream()->instance() == "i-2");
  UpstreamRegistry HasLeft;
  HasLeft.leave("i-1", 1000);
  CHECK_FALSE(HasLeft.restore(*Earlier.upstream(), Now));
  CHECK_FALSE(HasLeft.apply(beatOf("i-1", 1000, 8), Now));
  proto::UpstreamEntry Draining = *Earlier.upstream();
  Draining.set_draining(true);
  CHECK_FALSE(UpstreamRegistry().restore(Draining, Now));
}

TEST_CASE("a silent upstream is withdrawn") {
  UpstreamRegistry Registry;
  const MonoTime Now = monoNow();
  Registry.apply(beatOf("i-1", 1000, 1), Now);
  CHECK_FALSE(Registry.expire(Millis(9000), Now + Millis(9000)));
  CHECK(Registry.expire(Millis(9000), Now + Millis(9001)));
  CHECK(Registry.apply(beatOf("i-1", 1000, 2), Now + Millis(9500)));
}

} // namespace
} // namespace persimmonquay
