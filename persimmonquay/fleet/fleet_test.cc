#include "persimmonquay/fleet/departures.h"
#include "persimmonquay/fleet/earlier_run.h"
#include "persimmonquay/fleet/node_directory.h"
#include "persimmonquay/fleet/upstream_registry.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <vector>

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

proto::DepartedUpstream makeDeparture(const std::string &Instance,
                                      std::uint64_t StartedUpTo) {
  proto::DepartedUpstream Result;
  Result.set_instance(Instance);
  Result.set_started_up_to_unix_ms(StartedUpTo);
  return Result;
}

TEST_CASE("sets of departures agree whatever the order of merging, and stay "
          "bounded") {
  for (unsigned Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937 Random(Seed);
    std::vector<Departures> Sets(6);
    for (Departures &Set : Sets)
      for (int I = 0; I < 3; ++I)
        *Set.Add() = makeDeparture("i-" + std::to_string(Random() % 4),
                                   1000 + Random() % 9);
    std::vector<Departures> Merged(2);
    for (Departures &Into : Merged) {
      for (int Round = 0; Round < 2; ++Round) {
        std::shuffle(Sets.begin(), Sets.end(), Random);
        for (const Departures &Set : Sets)
          mergeDepartures(Into, Set);
      }
      // What is known already is no change, whether or not it was kept.
      for (const Departures &Set : Sets)
        CHECK_FALSE(mergeDepartures(Into, Set));
    }
    CHECK(Merged[0].size() <= 3);
    REQUIRE(Merged[0].size() == Merged[1].size());
    for (int I = 0; I < Merged[0].size(); ++I) {
      CHECK(Merged[0][I].instance() == Merged[1][I].instance());
      CHECK(Merged[0][I].started_up_to_unix_ms() ==
            Merged[1][I].started_up_to_unix_ms());
    }
  }
}

// A node that restarts announces itself with a newer entry, in which the
// departures that it has forgotten are missing.
TEST_CASE("departures outlast newer entries of their node") {
  NodeDirectory Directory("a", 100);
  const MonoTime Now = monoNow();
  proto::NodeEntry Ready = makeEntry("b", 5, 1);
  Ready.mutable_upstream()->set_instance("i-1");
  Ready.mutable_upstream()->set_started_unix_ms(1000);
  proto::NodeEntry Departed = makeEntry("b", 5, 2);
  *Departed.add_departed_upstreams() = makeDeparture("i-1", 1000);
  proto::NodeEntry Restarted = Ready;
  Restarted.set_boot(7);
  SUBCASE("that arrive after them") {
    Directory.merge(Ready, Now);
    Directory.merge(Departed, Now);
    Directory.merge(Restarted, Now);
  }
  SUBCASE("that arrive before them") {
    Directory.merge(Restarted, Now);
    CHECK(Directory.merge(Departed, Now) ==
          NodeDirectory::MergeResult::Updated);
    CHECK(Directory.merge(Departed, Now) ==
          NodeDirectory::MergeResult::Outdated);
  }
  SUBCASE("of several restarts") {
    Directory.merge(Departed, Now);
    for (std::uint64_t Boot = 10; Boot < 20; ++Boot) {
      Restarted.set_boot(Boot);
      Directory.merge(Restarted, Now);
    }
  }
  CHECK(Directory.find("b")->boot() >= 7);
  CHECK(Directory.find("b")->upstream().draining());
  CHECK(Directory.knownSinceBoot("b") == 5);
  // A later incarnation takes calls.
  Restarted.set_boot(30);
  Restarted.mutable_upstream()->set_started_unix_ms(2000);
  Directory.merge(Restarted, Now);
  CHECK_FALSE(Directory.find("b")->upstream().draining());
}

TEST_CASE("stored entries don't count as knowledge of an earlier run") {
  NodeDirectory Directory("a", 100);
  const MonoTime Now = monoNow();
  Directory.merge(makeEntry("b", 0, 0), Now);
  CHECK(Directory.knownSinceBoot("b") == 0);
  Directory.merge(makeEntry("b", 7, 1), Now);
  CHECK(Directory.knownSinceBoot("b") == 7);
  Directory.merge(makeEntry("b", 5, 1), Now);
  CHECK(Directory.knownSinceBoot("b") == 5);
  CHECK(Directory.knownSinceBoot("c") == 0);
}

TEST_CASE("a heartbeat is trusted once somebody who remembers was heard") {
  EarlierRun Run;
  CHECK(Run.trust(false) == HeartbeatTrust::Wait);
  CHECK(Run.trust(true) == HeartbeatTrust::Unverified);
  SUBCASE("a restart with the store and neighbours") {
    Run.recordOwnStoredEntry();
    Run.recordStoredEntries(/*HasOtherNodes=*/true);
    CHECK(Run.trust(false) == HeartbeatTrust::Wait);
    // Started at the same time as this node.
    Run.recordReply(/*Remembers=*/false);
    CHECK(Run.trust(false) == HeartbeatTrust::Wait);
    CHECK(Run.trust(true) == HeartbeatTrust::Unverified);
    Run.recordReply(/*Remembers=*/true);
    Run.recordReply(/*Remembers=*/false);
    CHECK(Run.trust(false) == HeartbeatTrust::Trusted);
  }
  SUBCASE("a restart without the store") {
    Run.recordReply(/*Remembers=*/true);
    CHECK(Run.trust(false) == HeartbeatTrust::Wait);
    CHECK(Run.trust(true) == HeartbeatTrust::Trusted);
  }
  SUBCASE("a restart of a node without neighbours") {
    Run.recordOwnStoredEntry();
    Run.recordStoredEntries(/*HasOtherNodes=*/false);
    CHECK(Run.trust(false) == HeartbeatTrust::Unverified);
  }
  SUBCASE("a new node") {
    Run.recordStoredEntries(/*HasOtherNodes=*/true);
    CHECK(Run.trust(false) == HeartbeatTrust::Wait);
    Run.recordReply(/*Remembers=*/false);
    CHECK(Run.trust(false) == HeartbeatTrust::Trusted);
  }
  SUBCASE("a new node without neighbours") {
    Run.recordStoredEntries(/*HasOtherNodes=*/false);
    CHECK(Run.trust(false) == HeartbeatTrust::Trusted);
  }
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

/// Later than the start of every upstream in these tests.
const WallTime WallNow = wallTimeFromUnixMillis(60000);

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
  CHECK(Registry.deregister("i-1", 1000, WallNow));
  CHECK_FALSE(Registry.apply(makeHeartbeat("i-1", 1000, 2), Now));
  CHECK_FALSE(Registry.upstream().has_value());
  CHECK(Registry.apply(makeHeartbeat("i-2", 4000, 1), Now));
  // The deregistration of the earlier upstream is repeated.
  CHECK_FALSE(Registry.deregister("i-1", 1000, WallNow));
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
  Deregistered.deregister("i-1", 1000, WallNow);
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

TEST_CASE("a departure without a start binds before the first heartbeat") {
  const MonoTime Now = monoNow();
  UpstreamRegistry Registry;
  CHECK_FALSE(Registry.deregister("i-1", 0, WallNow));
  CHECK_FALSE(Registry.apply(makeHeartbeat("i-1", 1000, 7), Now));
  CHECK_FALSE(Registry.upstream().has_value());
  // The same instance starts again after its departure.
  CHECK(Registry.apply(makeHeartbeat("i-1", 63000, 1), Now));
  CHECK_FALSE(Registry.upstream()->draining());
}

TEST_CASE("departures are kept for the latest upstreams only") {
  UpstreamRegistry Registry;
  for (int I = 0; I < 100; ++I)
    Registry.deregister("i-" + std::to_string(I), 1000, WallNow);
  CHECK(Registry.departures().size() == 8);
  CHECK(Registry.departures().rbegin()->instance() == "i-99");
}

/// A registry, what it has stored, and two incarnations of one instance: "old",
/// which leaves, and "new", which starts after that.
class DepartureModel {
public:
  enum class Step {
    OldHeartbeat,
    LateOldHeartbeat,
    OldDraining,
    OldDeregistersWithStart,
    OldDeregistersWithoutStart,
    Expire,
    StoreEntry,
    Restart,
    StoredEntryArrives,
    NewHeartbeat,
  };
  static constexpr int StepCount = 10;

  /// Returns false if the step can't occur now.
  bool perform(Step Next) {
    switch (Next) {
    case Step::OldHeartbeat:
      if (this->OldHasLeft)
        return false;
      this->Registry.apply(makeHeartbeat("i-1", OldStart, ++this->OldSequence),
                           this->Now);
      break;
    case Step::LateOldHeartbeat:
      // Sent before the departure and not delivered yet.
      this->Registry.apply(makeHeartbeat("i-1", OldStart, ++this->OldSequence),
                           this->Now);
      break;
    case Step::OldDraining: {
      Heartbeat Draining = makeHeartbeat("i-1", OldStart, ++this->OldSequence);
      Draining.Draining = true;
      this->Registry.apply(Draining, this->Now);
      this->OldHasLeft = true;
      break;
    }
    case Step::OldDeregistersWithStart:
      this->Registry.deregister("i-1", OldStart, WallNow);
      this->OldHasLeft = true;
      break;
    case Step::OldDeregistersWithoutStart:
      if (this->NewHasStarted)
        return false;
      this->Registry.deregister("i-1", 0, WallNow);
      this->OldHasLeft = true;
      break;
    case Step::Expire:
      this->Now += Millis(100000);
      this->Registry.expire(Millis(9000), this->Now);
      break;
    case Step::StoreEntry:
      this->store();
      break;
    case Step::Restart:
      this->Registry = UpstreamRegistry();
      break;
    case Step::StoredEntryArrives:
      this->Registry.restoreDepartures(this->Stored.departed_upstreams());
      if (this->Stored.has_upstream())
        this->Registry.restore(this->Stored.upstream(), this->Now);
      break;
    case Step::NewHeartbeat:
      if (!this->OldHasLeft)
        return false;
      this->NewHasStarted = true;
      this->Registry.apply(makeHeartbeat("i-1", NewStart, ++this->NewSequence),
                           this->Now);
      break;
    }
    if (Next == Step::OldDraining || Next == Step::OldDeregistersWithStart ||
        Next == Step::OldDeregistersWithoutStart)
      this->store();
    return true;
  }

  /// Returns whether the old incarnation gets no calls once it has left, and
  /// the new one gets calls after its heartbeat.
  bool keepsPromise(Step Last) const {
    const std::optional<proto::UpstreamEntry> &Upstream =
        this->Registry.upstream();
    if (Last == Step::NewHeartbeat)
      return Upstream && !Upstream->draining() &&
             Upstream->started_unix_ms() == NewStart;
    return !this->OldHasLeft || !Upstream || Upstream->draining() ||
           Upstream->started_unix_ms() == NewStart;
  }

private:
  static constexpr std::uint64_t OldStart = 1000;
  static constexpr std::uint64_t NewStart = 63000;

  void store() {
    this->Stored.clear_upstream();
    if (this->Registry.upstream() && !this->Registry.upstream()->draining())
      *this->Stored.mutable_upstream() = *this->Registry.upstream();
    this->Stored.clear_departed_upstreams();
    for (const proto::DepartedUpstream &Departure : this->Registry.departures())
      *this->Stored.add_departed_upstreams() = Departure;
  }

  UpstreamRegistry Registry;
  proto::NodeEntry Stored;
  MonoTime Now = monoNow();
  std::uint64_t OldSequence = 0;
  std::uint64_t NewSequence = 0;
  bool OldHasLeft = false;
  bool NewHasStarted = false;
};

// Guards against an upstream that is used again after its departure was
// confirmed: a node that had just restarted confirmed the departure before it
// had heard of the upstream, and took it back with a late heartbeat.
TEST_CASE("a departed upstream is not used again in any order of events") {
  using Step = DepartureModel::Step;
  constexpr int Length = 5;
  int Checked = 0;
  int Sequences = 1;
  for (int I = 0; I < Length; ++I)
    Sequences *= DepartureModel::StepCount;
  for (int Sequence = 0; Sequence < Sequences; ++Sequence) {
    DepartureModel Model;
    std::string Trace;
    bool IsAwaitingStoredEntry = false;
    for (int I = 0, Rest = Sequence; I < Length;
         ++I, Rest /= DepartureModel::StepCount) {
      const Step Next = static_cast<Step>(Rest % DepartureModel::StepCount);
      // A restarted node reads its stored entry before it applies what it
      // hears of its upstream.
      if (IsAwaitingStoredEntry && Next != Step::StoredEntryArrives)
        break;
      if (!Model.perform(Next))
        break;
      IsAwaitingStoredEntry = Next == Step::Restart;
      Trace += std::to_string(static_cast<int>(Next)) + " ";
      ++Checked;
      if (!Model.keepsPromise(Next))
        FAIL("the promise is broken after the steps " << Trace);
    }
  }
  CHECK(Checked > 10000);
}

TEST_CASE("a heartbeat that overtakes the stored departure is undone by it") {
  const MonoTime Now = monoNow();
  UpstreamRegistry Earlier;
  Earlier.deregister("i-1", 0, WallNow);
  proto::NodeEntry Stored;
  *Stored.add_departed_upstreams() = Earlier.departures()[0];
  UpstreamRegistry Restarted;
  CHECK(Restarted.apply(makeHeartbeat("i-1", 1000, 7), Now));
  CHECK(Restarted.restoreDepartures(Stored.departed_upstreams()));
  CHECK(Restarted.upstream()->draining());
  CHECK_FALSE(Restarted.apply(makeHeartbeat("i-1", 1000, 8), Now));
  CHECK(Restarted.upstream()->draining());
}

TEST_CASE("an upstream that says in a response that it leaves drains, also if "
          "its heartbeats don't say so") {
  const MonoTime Now{std::chrono::hours(1)};
  UpstreamRegistry Registry;
  Heartbeat Beat;
  Beat.Instance = "i-1";
  Beat.StartedUnixMs = 1000;
  Beat.Sequence = 1;
  REQUIRE(Registry.apply(Beat, Now));
  REQUIRE(!Registry.upstream()->draining());
  CHECK(Registry.recordLeaving(*Registry.upstream()));
  CHECK(Registry.upstream()->draining());
  CHECK(!Registry.recordLeaving(*Registry.upstream()));
  Beat.Sequence = 2;
  Registry.apply(Beat, Now);
  CHECK(Registry.upstream()->draining());
  CHECK(Registry.departures().size() == 1);
  // A later incarnation of the same instance takes calls.
  Beat.StartedUnixMs = 2000;
  Beat.Sequence = 1;
  CHECK(Registry.apply(Beat, Now));
  CHECK(!Registry.upstream()->draining());
}

} // namespace
} // namespace persimmonquay
