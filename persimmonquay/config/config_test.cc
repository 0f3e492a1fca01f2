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

/// Builds changes for tests.
class TestChange {
public:
  explicit TestChange(const std::string &Id) { this->Built.set_id(Id); }

  TestChange &service(const std::string &Name, std::uint64_t BasedOn = 0,
                      const std::string &Version = "v1") {
    proto::Write *Write = this->Built.add_writes();
    Write->set_based_on(BasedOn);
    proto::Service *Service = Write->mutable_resource()->mutable_service();
    Service->set_name(Name);
    Service->set_active_version(Version);
    return *this;
  }

  TestChange &route(const std::string &Name, const std::string &Service,
                    std::uint64_t BasedOn = 0, const std::string &Prefix = "") {
    proto::Write *Write = this->Built.add_writes();
    Write->set_based_on(BasedOn);
    proto::Route *Route = Write->mutable_resource()->mutable_route();
    Route->set_name(Name);
    Route->set_path_prefix(Prefix.empty() ? "/" + Name : Prefix);
    Route->set_service(Service);
    Route->set_priority(proto::NORMAL);
    Route->set_deadline_ms(1000);
    return *this;
  }

  TestChange &move(const std::string &Name, const std::string &Service,
                   const std::string &From, const std::string &To) {
    proto::Move *Move =
        this->Built.add_writes()->mutable_resource()->mutable_move();
    Move->set_name(Name);
    Move->set_service(Service);
    Move->set_from_version(From);
    Move->set_to_version(To);
    Move->set_start_unix_ms(1000);
    Move->set_due_unix_ms(100000);
    Move->set_bake_ms(1000);
    return *this;
  }

  TestChange &remove(proto::ResourceKind Kind, const std::string &Name,
                     std::uint64_t BasedOn) {
    proto::Removal *Removal = this->Built.add_removals();
    Removal->set_kind(Kind);
    Removal->set_name(Name);
    Removal->set_based_on(BasedOn);
    return *this;
  }

  proto::LogRecord record() const {
    proto::LogRecord Record;
    *Record.mutable_change() = this->Built;
    return Record;
  }

private:
  proto::Change Built;
};

proto::LogRecord outcome(const std::string &Move, proto::MoveState State) {
  proto::LogRecord Record;
  Record.mutable_outcome()->set_move(Move);
  Record.mutable_outcome()->set_state(State);
  return Record;
}

/// Applies records at consecutive offsets.
class TestFold {
public:
  Verdict apply(const proto::LogRecord &Record) {
    return applyRecord(this->State.next_offset(), Record, &this->State);
  }
  Verdict apply(const TestChange &Change) {
    return this->apply(Change.record());
  }
  proto::ConfigurationState State;
};

TEST_CASE("a valid change is accepted whole and raises the version") {
  TestFold Fold;
  const Verdict First =
      Fold.apply(TestChange("1").service("gallery").route("r", "gallery"));
  CHECK(First.Accepted);
  CHECK(Fold.State.version() == 1);
  CHECK(Fold.State.routes().at("r").version() == 1);
}

TEST_CASE("a route to a service that does not exist rejects the whole change") {
  TestFold Fold;
  const Verdict Answer =
      Fold.apply(TestChange("1").service("gallery").route("r", "galery"));
  CHECK_FALSE(Answer.Accepted);
  CHECK(Answer.Reason == "route \"r\" points at service \"galery\", which "
                         "does not exist");
  CHECK(Fold.State.services().empty());
  CHECK(Fold.State.version() == 0);
  CHECK(Fold.State.next_offset() == 1);
}

TEST_CASE("a service that a route needs can't be removed alone") {
  TestFold Fold;
  Fold.apply(TestChange("1").service("s").route("r", "s"));
  CHECK_FALSE(
      Fold.apply(TestChange("2").remove(proto::SERVICE, "s", 1)).Accepted);
  CHECK(Fold.apply(TestChange("3")
                       .remove(proto::SERVICE, "s", 1)
                       .remove(proto::ROUTE, "r", 1))
            .Accepted);
  CHECK(Fold.State.routes().empty());
}

TEST_CASE("of two racing operators the first in log order wins") {
  TestFold Fold;
  Fold.apply(TestChange("1").service("s").route("r", "s"));
  CHECK(Fold.apply(TestChange("ada").route("r", "s", 1, "/a")).Accepted);
  const Verdict Second = Fold.apply(TestChange("bob").route("r", "s", 1, "/b"));
  CHECK_FALSE(Second.Accepted);
  CHECK(Second.Reason ==
        "route \"r\" is at version 2, but the change is based on version 1");
  CHECK(Fold.State.routes().at("r").route().path_prefix() == "/a");
}

TEST_CASE("a change that is on the log twice is applied once") {
  TestFold Fold;
  Fold.apply(TestChange("1").service("s"));
  const Verdict Again = Fold.apply(TestChange("1").service("s"));
  CHECK(Again.Accepted);
  CHECK(Fold.State.version() == 1);
  CHECK(Fold.State.audit_size() == 1);
  CHECK(Fold.State.next_offset() == 2);
}

TEST_CASE("rejections name the rule and the resource") {
  TestFold Fold;
  Fold.apply(TestChange("0").service("s").route("r", "s"));
  const std::vector<std::pair<TestChange, std::string>> Cases = {
      {TestChange("a"), "the change writes and removes nothing"},
      {TestChange("b").service(""), "a service has no name"},
      {TestChange("c").service("t").service("t"),
       "service t stands twice in one change"},
      {TestChange("d").route("q", "s", 0, "x"),
       "route \"q\": path_prefix \"x\" does not start with /"},
      {TestChange("e").route("q", "s", 0, "/r"),
       "routes \"q\" and \"r\" share the path_prefix \"/r\""},
      {TestChange("f").remove(proto::ROUTE, "none", 0),
       "route \"none\" does not exist"},
      {TestChange("g").move("m", "s", "v0", "v2"),
       "move \"m\": from_version is \"v0\", but service \"s\" runs \"v1\""},
      {TestChange("h").move("m", "none", "v1", "v2"),
       "move \"m\": service \"none\" does not exist"},
  };
  for (const auto &[Change, Reason] : Cases)
    CHECK(Fold.apply(Change).Reason == Reason);
}

TEST_CASE("the first outcome of a move in log order is final") {
  const std::vector<proto::MoveState> Outcomes = {
      proto::FINISHED, proto::TAKEN_BACK, proto::CANCELLED};
  for (proto::MoveState First : Outcomes)
    for (proto::MoveState Second : Outcomes) {
      TestFold Fold;
      Fold.apply(TestChange("1").service("s"));
      CHECK(Fold.apply(TestChange("2").move("m", "s", "v1", "v2")).Accepted);
      CHECK(Fold.apply(outcome("m", First)).Accepted);
      CHECK_FALSE(Fold.apply(outcome("m", Second)).Accepted);
      CHECK(Fold.State.moves().at("m").state() == First);
      CHECK(Fold.State.services().at("s").service().active_version() ==
            (First == proto::FINISHED ? "v2" : "v1"));
    }
}

TEST_CASE("a service has one active move at a time, and keeps its version") {
  TestFold Fold;
  Fold.apply(TestChange("1").service("s"));
  CHECK(Fold.apply(TestChange("2").move("m", "s", "v1", "v2")).Accepted);
  CHECK_FALSE(Fold.apply(TestChange("3").move("n", "s", "v1", "v3")).Accepted);
  CHECK_FALSE(Fold.apply(TestChange("4").service("s", 1, "v9")).Accepted);
  Fold.apply(outcome("m", proto::CANCELLED));
  CHECK(Fold.apply(TestChange("5").move("n", "s", "v1", "v3")).Accepted);
}

/// Returns a log of random changes, some valid and some not.
std::vector<proto::LogRecord> randomLog(std::uint64_t Seed, int Length) {
  std::mt19937_64 Random(Seed);
  const auto Pick = [&](int Limit) {
    return static_cast<int>(Random() % static_cast<unsigned>(Limit));
  };
  std::vector<proto::LogRecord> Log;
  for (int I = 0; I < Length; ++I) {
    TestChange Change(absl::StrCat(Pick(Length)));
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

TEST_CASE("every prefix of any log keeps references closed") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    TestFold Fold;
    std::uint64_t Version = 0;
    for (const proto::LogRecord &Record : randomLog(Seed, 40)) {
      Fold.apply(Record);
      CHECK(checkReferences(Fold.State).ok());
      CHECK(ServingConfiguration::compile(Fold.State) != nullptr);
      CHECK(Fold.State.version() >= Version);
      Version = Fold.State.version();
    }
  }
}

TEST_CASE("folding from a snapshot gives the same bytes as from the start") {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    const auto Log = randomLog(Seed, 40);
    TestFold Whole;
    for (const proto::LogRecord &Record : Log)
      Whole.apply(Record);
    TestFold Resumed;
    for (std::size_t I = 0; I < Log.size(); ++I) {
      if (I == Log.size() / 2)
        REQUIRE(Resumed.State.ParseFromString(encodeState(Resumed.State)));
      Resumed.apply(Log[I]);
    }
    CHECK(encodeState(Whole.State) == encodeState(Resumed.State));
  }
}

TEST_CASE("the store never goes back and never skips a record") {
  ConfigStore Store;
  const std::string First =
      TestChange("1").service("s").route("r", "s").record().SerializeAsString();
  CHECK(absl::IsOutOfRange(Store.applyRecord(1, First)));
  CHECK(Store.applyRecord(0, First).ok());
  CHECK(Store.applyRecord(0, First).ok());
  CHECK(Store.version() == 1);
  CHECK(Store.installState(proto::ConfigurationState()).ok());
  CHECK(Store.version() == 1);
  CHECK(Store.serving()->findRoute("/r") != nullptr);
}

TEST_CASE("a state with an open reference is never adopted") {
  TestFold Fold;
  Fold.apply(TestChange("1").service("s").route("r", "s"));
  Fold.State.mutable_services()->clear();
  ConfigStore Store;
  CHECK(absl::IsDataLoss(Store.installState(Fold.State)));
  CHECK(Store.serving() == nullptr);
}

TEST_CASE("a record that can't be decoded is rejected and passed over") {
  ConfigStore Store;
  CHECK(absl::IsDataLoss(Store.applyRecord(0, "\xff\xff\xff")));
  CHECK(Store.nextOffset() == 1);
  CHECK_FALSE(Store.state().audit(0).accepted());
}

TEST_CASE("the store serves nothing below the floor its peers remember") {
  ConfigStore Store;
  Store.raiseMinServingOffset(2);
  Store
      .applyRecord(0, TestChange("1").service("s").record().SerializeAsString())
      .IgnoreError();
  CHECK(Store.serving() == nullptr);
  Store
      .applyRecord(1, TestChange("2").service("t").record().SerializeAsString())
      .IgnoreError();
  CHECK(Store.serving() != nullptr);
}

TEST_CASE("peers get records where they are kept and a state otherwise") {
  ConfigStore Store;
  for (int I = 0; I < 3; ++I)
    Store
        .applyRecord(static_cast<std::uint64_t>(I),
                     TestChange(absl::StrCat(I))
                         .service(absl::StrCat("s", I))
                         .record()
                         .SerializeAsString())
        .IgnoreError();
  proto::SyncReply Records;
  Store.fillSyncReply(1, 1 << 20, &Records);
  CHECK(Records.records_size() == 2);
  ConfigStore Joined;
  CHECK(Joined.installState(Store.state()).ok());
  proto::SyncReply Whole;
  Joined.fillSyncReply(1, 1 << 20, &Whole);
  CHECK(Whole.has_state());
  proto::SyncReply Nothing;
  Joined.fillSyncReply(3, 1 << 20, &Nothing);
  CHECK_FALSE(Nothing.has_state());
}

TEST_CASE("the longest prefix that ends at a segment wins") {
  TestFold Fold;
  Fold.apply(TestChange("1")
                 .service("s")
                 .route("short", "s", 0, "/a")
                 .route("long", "s", 0, "/a/b")
                 .route("slash", "s", 0, "/c/"));
  const auto Serving = ServingConfiguration::compile(Fold.State);
  const auto NameOf = [&](std::string_view Path) {
    const auto *Target = Serving->findRoute(Path);
    return Target == nullptr ? std::string() : Target->Route.name();
  };
  CHECK(NameOf("/a/b/c") == "long");
  CHECK(NameOf("/a/bc") == "short");
  CHECK(NameOf("/a") == "short");
  CHECK(NameOf("/ab").empty());
  CHECK(NameOf("/c/d") == "slash");
  CHECK(NameOf("/").empty());
}

} // namespace
} // namespace persimmonquay
