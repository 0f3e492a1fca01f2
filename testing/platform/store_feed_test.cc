// Tests of the connection to the store within the test's process: how often it
// calls a store that doesn't answer.
#include "persimmonquay/fleet/evacuation_table.h"
#include "platform/store_feed.h"
#include "testing/platform/store_stand_in.h"
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <vector>

namespace persimmonquay::testing {
namespace {

using platform::StoreFeed;

/// Node count of the size that the mesh grows to.
constexpr std::size_t ManyNodes = 11000;

/// A feed of a node without peers, and the store.
class FeedFixture {
public:
  FeedFixture()
      : Feed(
            this->Context,
            Tcp::endpoint(asio::ip::address_v4::loopback(), this->Store.port()),
            this->callbacks()) {
    this->Entry.set_node("node-1");
    this->Entry.set_address("127.0.0.1");
    this->Entry.set_link_port(1);
    // The feed doesn't wait for a heartbeat then.
    this->Entry.mutable_upstream()->set_instance("i-1");
  }

  void runFor(Millis Duration) { this->Context.run_for(Duration); }

  /// Returns the number of calls that the store gets in `Duration`.
  std::uint64_t callsIn(Millis Duration) {
    const std::uint64_t Before = this->Store.callCount();
    this->runFor(Duration);
    return this->Store.callCount() - Before;
  }

  /// Returns whether the store holds the current entry.
  bool isEntryStored() {
    return this->Store.newestValue("keyed.nodes", "node-1") ==
           this->Entry.SerializeAsString();
  }

  asio::io_context Context;
  StoreStandIn Store;
  proto::NodeEntry Entry;
  bool ShouldFollow = false;
  std::size_t NodeCount = 1;
  /// What the operator's records have said so far.
  std::vector<std::uint64_t> Versions;
  std::vector<proto::RolloutOrder> Orders;
  EvacuationTable Evacuations;
  StoreFeed Feed;

private:
  StoreFeed::Callbacks callbacks() {
    StoreFeed::Callbacks Result;
    Result.OnConfiguration = [this](const proto::MeshConfiguration &Next) {
      this->Versions.push_back(Next.version());
    };
    Result.OnRolloutOrder = [this](const proto::RolloutOrder &Order) {
      this->Orders.push_back(Order);
    };
    Result.OnEvacuation = [this](const proto::Evacuation &Copy) {
      this->Evacuations.merge(Copy);
    };
    Result.OnEvacuationList =
        [this](const std::vector<proto::Evacuation> &Active,
               std::uint64_t ListNumber, bool IsSettled) {
          for (const proto::Evacuation &End :
               this->Evacuations.endedBy(Active, ListNumber, IsSettled))
            this->Evacuations.merge(End);
        };
    Result.OnNodeEntries = [](const std::vector<proto::NodeEntry> &) {};
    Result.OnOwnStoredEntry = [](const proto::NodeEntry &) {};
    Result.EntryToStore = [this] { return this->Entry; };
    Result.OnStoreCall = [](bool) {};
    Result.OnStoreRequest = [](StoreRequest, StoreOutcome) {};
    Result.OnOperatorPosition = [](std::uint64_t, std::uint64_t) {};
    Result.ShouldFollow = [this] { return this->ShouldFollow; };
    Result.CountNodes = [this] { return this->NodeCount; };
    Result.OnFollowing = [](bool) {};
    return Result;
  }
};

} // namespace

// Each of thousands of nodes that wait for the store called it once a second,
// however long it had been down.
TEST_CASE("a node calls a store that stays down ever more rarely") {
  for (const bool IsSilent : {false, true}) {
    CAPTURE(IsSilent);
    FeedFixture Fixture;
    Fixture.NodeCount = ManyNodes;
    if (IsSilent)
      Fixture.Store.setSilent(true);
    else
      Fixture.Store.setOutage(true);
    Fixture.Feed.start("node-1", /*IsFirstStart=*/false);
    Fixture.runFor(Millis(12000));
    // The interval is an eighth to a quarter of the time that has passed.
    CHECK(Fixture.callsIn(Millis(8000)) <= 5);
  }
}

// After a loss of power nobody knows how many others wait for the store.
TEST_CASE("a node that knows no other one calls a store that stays down ever "
          "more rarely") {
  FeedFixture Fixture;
  Fixture.ShouldFollow = true;
  Fixture.Store.setOutage(true);
  Fixture.Feed.start("node-1", /*IsFirstStart=*/false);
  Fixture.runFor(Millis(12000));
  // The list of nodes and the operator's records.
  CHECK(Fixture.callsIn(Millis(8000)) <= 2 * 5);
}

TEST_CASE("an entry is stored soon after a silence of the store") {
  for (const Millis Silence : {Millis(300), Millis(1500), Millis(4500)}) {
    CAPTURE(Silence.count());
    FeedFixture Fixture;
    Fixture.Store.setSilent(true);
    Fixture.Feed.start("node-1", /*IsFirstStart=*/false);
    Fixture.runFor(Silence);
    Fixture.Store.setSilent(false);
    // Two calls, one of which may have been sent before the return.
    Fixture.runFor(Millis(2500));
    CHECK(Fixture.isEntryStored());
  }
}

// The list of nodes is read again only by followers. One that failed to do so
// went on trying after it had stopped following, so that in a long silence
// more and more nodes called the store.
TEST_CASE("a node that no longer follows reads no list of nodes") {
  FeedFixture Fixture;
  Fixture.ShouldFollow = true;
  Fixture.Feed.start("node-1", /*IsFirstStart=*/false);
  Fixture.runFor(Millis(2000));
  CHECK(Fixture.isEntryStored());
  Fixture.Store.setSilent(true);
  // Long enough for the next list to have been tried and given up.
  Fixture.runFor(Millis(16500));
  Fixture.ShouldFollow = false;
  Fixture.runFor(Millis(2500));
  CHECK(Fixture.callsIn(Millis(5000)) == 0);
}

TEST_CASE("a departure is stored at once although earlier attempts failed") {
  FeedFixture Fixture;
  Fixture.NodeCount = ManyNodes;
  Fixture.Feed.start("node-1", /*IsFirstStart=*/false);
  Fixture.runFor(Millis(2000));
  REQUIRE(Fixture.isEntryStored());
  const auto Store = [&Fixture] {
    asio::co_spawn(
        Fixture.Context,
        [&Fixture]() -> asio::awaitable<void> {
          const absl::Status Ignored =
              co_await Fixture.Feed.storeEntry(Millis(400));
        },
        asio::detached);
  };
  Fixture.Store.setOutage(true);
  Fixture.Entry.add_departed_upstreams()->set_instance("i-1");
  Store();
  Fixture.runFor(Millis(10000));
  Fixture.Store.setOutage(false);
  Fixture.Entry.add_departed_upstreams()->set_instance("i-2");
  Store();
  Fixture.runFor(Millis(400));
  CHECK(Fixture.isEntryStored());
}

/// Stores the end of a rollout of each service until that has succeeded, as
/// the driver of the rollouts does. Returns the number of failed attempts.
int storeEnds(FeedFixture &Fixture, const std::vector<std::string> &Services,
              Millis Timeout) {
  int Failures = 0;
  std::size_t Stored = 0;
  for (const std::string &Service : Services)
    asio::co_spawn(
        Fixture.Context,
        [&Fixture, &Failures, &Stored, Service]() -> asio::awaitable<void> {
          proto::RolloutProgress Progress;
          Progress.mutable_order()->set_service(Service);
          Progress.mutable_order()->set_target_version("v2");
          Progress.set_state(proto::COMPLETED);
          while (!(co_await Fixture.Feed.writeRolloutStatus(Progress)).ok()) {
            ++Failures;
            asio::steady_timer Pause(Fixture.Context, Millis(300));
            co_await Pause.async_wait(NoThrow);
          }
          ++Stored;
        },
        asio::detached);
  const MonoTime End = monoNow() + Timeout;
  while (Stored < Services.size() && monoNow() < End)
    Fixture.runFor(Millis(10));
  CHECK(Stored == Services.size());
  return Failures;
}

// The calls for several rollouts with the same driver got mixed up on one
// connection, so that none of them found its response.
TEST_CASE("ends of several rollouts are stored at the same time") {
  FeedFixture Fixture;
  CHECK(storeEnds(Fixture, {"a", "b", "c", "d"}, Millis(2000)) == 0);
  for (const char *Service : {"a", "b", "c", "d"})
    CHECK(Fixture.Store.newestValue("keyed.status",
                                    std::string("rollout/") + Service));
}

TEST_CASE("ends of rollouts are stored soon after a silence of the store") {
  for (const Millis Silence : {Millis(300), Millis(1500), Millis(4500)}) {
    CAPTURE(Silence.count());
    FeedFixture Fixture;
    Fixture.Store.setSilent(true);
    asio::steady_timer Return(Fixture.Context, Silence);
    Return.async_wait(
        [&Fixture](const ErrorCode &) { Fixture.Store.setSilent(false); });
    storeEnds(Fixture, {"a", "b", "c"}, Silence + Millis(2500));
  }
}

namespace {

/// Returns a configuration without routes.
std::string configuration(std::uint64_t Version) {
  return absl::StrCat(
      R"({"version":)", Version,
      R"(,"services":[],"virtual_hosts":[],"limits":{"max_header_bytes":4096,)"
      R"("max_body_bytes":100000,"header_timeout_s":3,"idle_timeout_s":15}})");
}

std::string rolloutTo(const std::string &TargetVersion) {
  return absl::StrCat(R"({"service":"gallery","target_version":")",
                      TargetVersion, R"(","duration_s":8})");
}

/// A feed that follows the operator's records.
struct FollowingFixture : FeedFixture {
  FollowingFixture() {
    this->ShouldFollow = true;
    this->write("config", configuration(10));
    this->Feed.start("node-1", /*IsFirstStart=*/false);
    this->runFor(FollowTime);
  }

  void write(const std::string &Key, const std::string &Value) {
    this->Store.put("keyed.op", Key, Value);
  }

  /// Takes the store away for `Duration` and lets it come back from its copy.
  void
  playDrill(Millis Duration,
            const std::vector<std::pair<std::string, std::string>> &Rewritten) {
    this->Store.setOutage(true);
    this->runFor(Duration);
    this->Store.restore(Rewritten);
    this->Store.setOutage(false);
  }

  /// Time within which a change is read, also one that follows another.
  static constexpr Millis FollowTime{1500};
  /// Time within which a change must be active.
  static constexpr Millis ApplyTime{2000};
};

} // namespace

// The reader kept its offset over the drill, and so missed the records at
// offsets that had been given out again.
TEST_CASE("a configuration is read after the store has been restored") {
  for (const Millis Duration : {Millis(0), Millis(300), Millis(2500)}) {
    // Offsets 1 and 2 are given out again: fewer, as many, and more records.
    for (int Written = 1; Written <= 3; ++Written) {
      CAPTURE(Duration.count());
      CAPTURE(Written);
      FollowingFixture Fixture;
      Fixture.Store.takeCopy();
      Fixture.write("config", configuration(11));
      Fixture.runFor(FollowingFixture::FollowTime);
      Fixture.write("config", configuration(13));
      Fixture.runFor(FollowingFixture::FollowTime);
      REQUIRE(Fixture.Versions.back() == 13);
      std::vector<std::pair<std::string, std::string>> Rewritten;
      for (int I = 1; I <= Written; ++I)
        Rewritten.emplace_back("config", configuration(13 + I));
      Fixture.playDrill(Duration, Rewritten);
      Fixture.runFor(FollowingFixture::ApplyTime);
      CHECK(Fixture.Versions.back() ==
            static_cast<std::uint64_t>(13 + Written));
    }
  }
}

TEST_CASE("a configuration is read after several restores in a row") {
  FollowingFixture Fixture;
  Fixture.Store.takeCopy();
  std::uint64_t Version = 10;
  for (int Round = 0; Round < 3; ++Round) {
    Fixture.write("config", configuration(++Version));
    Fixture.runFor(FollowingFixture::FollowTime);
    REQUIRE(Fixture.Versions.back() == Version);
    Fixture.playDrill(Millis(100), {{"config", configuration(Version)}});
    // Before the reader has noticed.
    Fixture.playDrill(Millis(0), {{"config", configuration(++Version)}});
    Fixture.runFor(FollowingFixture::ApplyTime);
    CHECK(Fixture.Versions.back() == Version);
  }
}

// The number of an order was its offset, which is given out again, so that the
// next order had a lower number than a known one, or that of another.
TEST_CASE("orders that follow a restore have higher numbers") {
  FollowingFixture Fixture;
  Fixture.Store.takeCopy();
  Fixture.write("config", configuration(11));
  Fixture.write("rollout/gallery", rolloutTo("v2"));
  Fixture.runFor(FollowingFixture::FollowTime);
  REQUIRE(Fixture.Orders.size() == 1);
  Fixture.playDrill(Millis(100), {{"rollout/gallery", rolloutTo("v3")}});
  Fixture.runFor(FollowingFixture::ApplyTime);
  REQUIRE(Fixture.Orders.size() == 2);
  CHECK(Fixture.Orders[1].target_version() == "v3");
  CHECK(Fixture.Orders[1].number() > Fixture.Orders[0].number());
}

// A list of the restored store lacked an evacuation that had not been written
// again yet, and ended it; one written again had a lower number than its end.
TEST_CASE("an evacuation outlasts a restore that loses its record") {
  FollowingFixture Fixture;
  Fixture.Store.takeCopy();
  Fixture.write("config", configuration(11));
  Fixture.write("evacuate/east", "{}");
  Fixture.runFor(FollowingFixture::FollowTime);
  REQUIRE(Fixture.Evacuations.isEvacuated("east"));
  Fixture.playDrill(Millis(100), {});
  Fixture.runFor(FollowingFixture::ApplyTime);
  CHECK(Fixture.Evacuations.isEvacuated("east"));
  Fixture.write("evacuate/east", "{}");
  Fixture.runFor(FollowingFixture::FollowTime);
  CHECK(Fixture.Evacuations.isEvacuated("east"));
  Fixture.write("evacuate/east", "");
  Fixture.runFor(FollowingFixture::FollowTime);
  CHECK_FALSE(Fixture.Evacuations.isEvacuated("east"));
}

TEST_CASE("an evacuation that was removed before a restore can be ordered "
          "again") {
  FollowingFixture Fixture;
  Fixture.Store.takeCopy();
  Fixture.write("config", configuration(11));
  Fixture.write("evacuate/east", "{}");
  Fixture.write("evacuate/east", "");
  Fixture.runFor(FollowingFixture::FollowTime);
  REQUIRE_FALSE(Fixture.Evacuations.isEvacuated("east"));
  Fixture.playDrill(Millis(100), {{"evacuate/east", "{}"}});
  Fixture.runFor(FollowingFixture::ApplyTime);
  CHECK(Fixture.Evacuations.isEvacuated("east"));
}

} // namespace persimmonquay::testing
