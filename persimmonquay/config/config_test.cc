// Tests of the config library.
#include "persimmonquay/config/config_store.h"
#include "persimmonquay/config/serving_configuration.h"
#include "persimmonquay/config/state_machine.h"
#include "proto/configuration.pb.h"
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <random>
#include <vector>

namespace persimmonquay {
namespace {

/// Builds a configuration change.
class TestChangeBuilder {
public:
  explicit TestChangeBuilder(const std::string &Id) { this->Change.set_id(Id); }

  TestChangeBuilder &service(const std::string &Name, std::uint64_t BasedOn = 0,
                             const std::string &Version = "v1") {
    proto::Write *Write = this->Change.add_writes();
    Write->set_based_on(BasedOn);
    proto::Service *Service = Write->mutable_resource()->mutable_service();
    Service->set_name(Name);
    Service->set_active_version(Version);
    return *this;
  }

  TestChangeBuilder &route(const std::string &Name, const std::string &Service,
                           std::uint64_t BasedOn = 0,
                           const std::string &Prefix = "") {
    proto::Write *Write = this->Change.add_writes();
    Write->set_based_on(BasedOn);
    proto::Route *Route = Write->mutable_resource()->mutable_route();
    Route->set_name(Name);
    Route->set_path_prefix(Prefix.empty() ? "/" + Name : Prefix);
    Route->set_service(Service);
    Route->set_priority(proto::NORMAL);
    Route->set_deadline_ms(1000);
    return *this;
  }

  TestChangeBuilder &move(const std::string &Name, const std::string &Service,
                          const std::string &FromVersion,
                          const std::string &ToVersion) {
    proto::Move *Move =
        this->Change.add_writes()->mutable_resource()->mutable_move();
    Move->set_name(Name);
    Move->set_service(Service);
    Move->set_from_version(FromVersion);
    Move->set_to_version(ToVersion);
    Move->set_start_unix_ms(1000);
    Move->set_due_unix_ms(100000);
    Move->set_bake_ms(1000);
    return *this;
  }

  TestChangeBuilder &remove(proto::ResourceKind Kind, const std::string &Name,
                            std::uint64_t BasedOn) {
    proto::Removal *Removal = this->Change.add_removals();
    Removal->set_kind(Kind);
    Removal->set_name(Name);
    Removal->set_based_on(BasedOn);
    return *this;
  }

  proto::LogRecord record() const {
    proto::LogRecord Record;
    *Record.mutable_change() = this->Change;
    return Record;
  }

private:
  proto::Change Change;
};

proto::LogRecord outcome(const std::string &Move, proto::MoveState State) {
  proto::LogRecord Record;
  Record.mutable_outcome()->set_move(Move);
  Record.mutable_outcome()->set_state(State);
  return Record;
}

/// Applies records to a state at consecutive offsets.
class TestStateMachine {
public:
  Verdict apply(const proto::LogRecord &Record) {
    return applyRecord(this->State.next_offset(), Record, &this->State);
  }
  Verdict apply(const TestChangeBuilder &Change) {
    return this->apply(Change.record());
  }
  proto::ConfigurationState State;
};

TEST_CASE("a valid change is applied as a whole and raises the version") {
  TestStateMachine Machine;
  const Verdict First = Machine.apply(
      TestChangeBuilder("1").service("gallery").route("r", "gallery"));
  CHECK(First.Accepted);
  CHECK(Machine.State.version() == 1);
  CHECK(Machine.State.routes().at("r").version() == 1);
}

TEST_CASE("a route to a missing service rejects the whole change") {
  TestStateMachine Machine;
  const Verdict Rejection = Machine.apply(
      TestChangeBuilder("1").service("gallery").route("r", "galery"));
  CHECK_FALSE(Rejection.Accepted);
  CHECK(Rejection.Reason == "route \"r\" points at service \"galery\", which "
                            "does not exist");
  CHECK(Machine.State.services().empty());
  CHECK(Machine.State.version() == 0);
  CHECK(Machine.State.next_offset() == 1);
}

TEST_CASE("a service can't be removed without the routes that refer to it") {
  TestStateMachine Machine;
  Machine.apply(TestChangeBuilder("1").service("s").route("r", "s"));
  CHECK_FALSE(
      Machine.apply(TestChangeBuilder("2").remove(proto::SERVICE, "s", 1))
          .Accepted);
  CHECK(Machine
            .apply(TestChangeBuilder("3")
                       .remove(proto::SERVICE, "s", 1)
                       .remove(proto::ROUTE, "r", 1))
            .Accepted);
  CHECK(Machine.State.routes().empty());
}

TEST_CASE("the first of two conflicting changes in log order wins") {
  TestStateMachine Machine;
  Machine.apply(TestChangeBuilder("1").service("s").route("r", "s"));
  CHECK(Machine.apply(TestChangeBuilder("ada").route("r", "s", 1, "/a"))
            .Accepted);
  const Verdict Second =
      Machine.apply(TestChangeBuilder("bob").route("r", "s", 1, "/b"));
  CHECK_FALSE(Second.Accepted);
  CHECK(Second.Reason ==
        "route \"r\" is at version 2, but the change is based on version 1");
  CHECK(Machine.State.routes().at("r").route().path_prefix() == "/a");
}

TEST_CASE("a change that was appended twice is applied once") {
  TestStateMachine Machine;
  Machine.apply(TestChangeBuilder("1").service("s"));
  const Verdict Repeated = Machine.apply(TestChangeBuilder("1").service("s"));
  CHECK(Repeated.Accepted);
  CHECK(Machine.State.version() == 1);
  CHECK(Machine.State.audit_size() == 1);
  CHECK(Machine.State.next_offset() == 2);
}

TEST_CASE("rejections state the violated rule and the resource") {
  TestStateMachine Machine;
  Machine.apply(TestChangeBuilder("0").service("s").route("r", "s"));
  const std::vector<std::pair<TestChangeBuilder, std::string>> Cases = {
      {TestChangeBuilder("a"), "the change writes and removes nothing"},
      {TestChangeBuilder("b").service(""), "a service has no name"},
      {TestChangeBuilder("c").service("t").service("t"),
       "service t stands twice in one change"},
      {TestChangeBuilder("d").route("q", "s", 0, "x"),
       "route \"q\": path_prefix \"x\" does not start with /"},
      {TestChangeBuilder("e").route("q", "s", 0, "/r"),
       "routes \"q\" and \"r\" share the path_prefix \"/r\""},
      {TestChangeBuilder("f").remove(proto::ROUTE, "none", 0),
       "route \"none\" does not exist"},
      {TestChangeBuilder("g").move("m", "s", "v0", "v2"),
       "move \"m\": from_version is \"v0\", but service \"s\" runs \"v1\""},
      {TestChangeBuilder("h").move("m", "none", "v1", "v2"),
       "move \"m\": service \"none\" does not exist"},
  };
  for (const auto &[Change, Reason] : Cases)
    CHECK(Machine.apply(Change).Reason == Reason);
}

TEST_CASE("the first outcome of a move in log order is final") {
  const std::vector<proto::MoveState> Outcomes = {
      proto::FINISHED, proto::TAKEN_BACK, proto::CANCELLED};
  for (proto::MoveState First : Outcomes)
    for (proto::MoveState Second : Outcomes) {
      TestStateMachine Machine;
      Machine.apply(TestChangeBuilder("1").service("s"));
      CHECK(Machine.apply(TestChangeBuilder("2").move("m", "s", "v1", "v2"))
                .Accepted);
      CHECK(Machine.apply(outcome("m", First)).Accepted);
      CHECK_FALSE(Machine.apply(outcome("m", Second)).Accepted);
      CHECK(Machine.State.moves().at("m").state() == First);
      CHECK(Machine.State.services().at("s").service().active_version() ==
            (First == proto::FINISHED ? "v2" : "v1"));
    }
}

TEST_CASE("a service has at most one active move, which locks its version") {
  TestStateMachine Machine;
  Machine.apply(TestChangeBuilder("1").service("s"));
  CHECK(Machine.apply(TestChangeBuilder("2").move("m", "s", "v1", "v2"))
            .Accepted);
  CHECK_FALSE(Machine.apply(TestChangeBuilder("3").move("n", "s", "v1", "v3"))
                  .Accepted);
  CHECK_FALSE(
      Machine.apply(TestChangeBuilder("4").service("s", 1, "v9")).Accepted);
  Machine.apply(outcome("m", proto::CANCELLED));
  CHECK(Machine.apply(TestChangeBuilder("5").move("n", "s", "v1", "v3"))
            .Accepted);
}

/// Returns a log of random changes, some valid and some not.
std::vector<proto::LogRecord> randomLog(std::uint64_t Seed, int Length) {
  std::mt19937_64 Random(Seed);
  const auto Pick = [&](int Limit) {
    return static_cast<int>(Random() % static_cast<unsigned>(Limit));
  };
  std::vector<proto::LogRecord> Log;
  for (int I = 0; I < Length; ++I) {
    TestChangeBuilder Change(absl::StrCat(Pick(Length)));
    const std::string Service = absl::StrCat("s", Pick(3));
    const auto Base = static_cast<std::uint64_t>(Pick(4) ? Pick(I + 1) : 0);
    switch (Pick(5)) {
    case 0:
      Change.service(Service, Base);
      break;
    case 1:
      Change.service(Service).route(absl::StrCat("r", Pick(4)), Service, Base);
      break;
    case 2:
      Change.route(absl::StrCat("r", Pick(4)), Service, Base);
      break;
    case 3:
      Change.remove(Pick(2) ? proto::SERVICE : proto::ROUTE, Service, Base);
      break;
    default:
      Change.move(absl::StrCat("m", Pick(4)), Service, "v1", "v2");
    }
    Log.push_back(Pick(6)
                      ? Change.record()
                      : outcome(absl::StrCat("m", Pick(4)), proto::FINISHED));
  }
  return Log;
}

TEST_CASE("every prefix of a random log yields only valid references") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    TestStateMachine Machine;
    std::uint64_t LastVersion = 0;
    for (const proto::LogRecord &Record : randomLog(Seed, 40)) {
      Machine.apply(Record);
      CHECK(checkReferences(Machine.State).ok());
      CHECK(ServingConfiguration::compile(Machine.State) != nullptr);
      CHECK(Machine.State.version() >= LastVersion);
      LastVersion = Machine.State.version();
    }
  }
}

TEST_CASE("resuming from a snapshot yields the same bytes as a full replay") {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    const auto Log = randomLog(Seed, 40);
    TestStateMachine FullReplay;
    for (const proto::LogRecord &Record : Log)
      FullReplay.apply(Record);
    TestStateMachine Resumed;
    for (std::size_t I = 0; I < Log.size(); ++I) {
      if (I == Log.size() / 2)
        REQUIRE(Resumed.State.ParseFromString(encodeState(Resumed.State)));
      Resumed.apply(Log[I]);
    }
    CHECK(encodeState(FullReplay.State) == encodeState(Resumed.State));
  }
}

TEST_CASE("the store never regresses and never skips a record") {
  ConfigStore Store;
  const std::string First = TestChangeBuilder("1")
                                .service("s")
                                .route("r", "s")
                                .record()
                                .SerializeAsString();
  CHECK(absl::IsOutOfRange(Store.applyRecord(1, First)));
  CHECK(Store.applyRecord(0, First).ok());
  CHECK(Store.applyRecord(0, First).ok());
  CHECK(Store.version() == 1);
  CHECK(Store.installState(proto::ConfigurationState()).ok());
  CHECK(Store.version() == 1);
  CHECK(Store.serving()->findRoute("/r") != nullptr);
}

TEST_CASE("a state with a dangling reference is not installed") {
  TestStateMachine Machine;
  Machine.apply(TestChangeBuilder("1").service("s").route("r", "s"));
  Machine.State.mutable_services()->clear();
  ConfigStore Store;
  CHECK(absl::IsDataLoss(Store.installState(Machine.State)));
  CHECK(Store.serving() == nullptr);
}

TEST_CASE("an undecodable record is rejected and skipped") {
  ConfigStore Store;
  CHECK(absl::IsDataLoss(Store.applyRecord(0, "\xff\xff\xff")));
  CHECK(Store.nextOffset() == 1);
  CHECK_FALSE(Store.state().audit(0).accepted());
}

TEST_CASE("the store serves nothing below its minimum offset") {
  ConfigStore Store;
  Store.raiseMinServingOffset(2);
  Store
      .applyRecord(
          0, TestChangeBuilder("1").service("s").record().SerializeAsString())
      .IgnoreError();
  CHECK(Store.serving() == nullptr);
  Store
      .applyRecord(
          1, TestChangeBuilder("2").service("t").record().SerializeAsString())
      .IgnoreError();
  CHECK(Store.serving() != nullptr);
}

TEST_CASE("peers get the records if they are retained, else the whole state") {
  ConfigStore Store;
  for (int I = 0; I < 3; ++I)
    Store
        .applyRecord(static_cast<std::uint64_t>(I),
                     TestChangeBuilder(absl::StrCat(I))
                         .service(absl::StrCat("s", I))
                         .record()
                         .SerializeAsString())
        .IgnoreError();
  proto::SyncReply RecordsReply;
  Store.fillSyncReply(1, 1 << 20, &RecordsReply);
  CHECK(RecordsReply.records_size() == 2);
  ConfigStore JoinedStore;
  CHECK(JoinedStore.installState(Store.state()).ok());
  proto::SyncReply StateReply;
  JoinedStore.fillSyncReply(1, 1 << 20, &StateReply);
  CHECK(StateReply.has_state());
  proto::SyncReply EmptyReply;
  JoinedStore.fillSyncReply(3, 1 << 20, &EmptyReply);
  CHECK_FALSE(EmptyReply.has_state());
}

TEST_CASE("the longest prefix that ends at a segment boundary wins") {
  TestStateMachine Machine;
  Machine.apply(TestChangeBuilder("1")
                    .service("s")
                    .route("short", "s", 0, "/a")
                    .route("long", "s", 0, "/a/b")
                    .route("slash", "s", 0, "/c/"));
  const auto Serving = ServingConfiguration::compile(Machine.State);
  const auto RouteNameOf = [&](std::string_view Path) {
    const auto *Resolved = Serving->findRoute(Path);
    return Resolved == nullptr ? std::string() : Resolved->Route.name();
  };
  CHECK(RouteNameOf("/a/b/c") == "long");
  CHECK(RouteNameOf("/a/bc") == "short");
  CHECK(RouteNameOf("/a") == "short");
  CHECK(RouteNameOf("/ab").empty());
  CHECK(RouteNameOf("/c/d") == "slash");
  CHECK(RouteNameOf("/").empty());
}

} // namespace
} // namespace persimmonquay
