#include "persimmonquay/mesh/configuration_delta.h"
#include "persimmonquay/mesh/configuration_sources.h"
#include "persimmonquay/mesh/route_table.h"
#include "persimmonquay/mesh/traffic_split.h"
#include <cmath>
#include <doctest/doctest.h>

namespace persimmonquay {
namespace {

proto::MeshConfiguration sampleConfiguration() {
  proto::MeshConfiguration Result;
  Result.set_version(7);
  Result.add_services()->set_name("gallery");
  Result.add_services()->set_name("orders");
  proto::VirtualHost *Host = Result.add_hosts();
  Host->set_host("boards.example");
  for (const char *Prefix : {"/", "/v1/", "/v1/orders/"}) {
    proto::MeshRoute *Route = Host->add_routes();
    Route->set_name(Prefix);
    Route->set_path_prefix(Prefix);
    Route->set_timeout_ms(800);
    proto::TrafficPart *Part = Route->add_parts();
    Part->set_service("gallery");
    Part->set_weight(1);
  }
  return Result;
}

TEST_CASE("the longest prefix wins") {
  const RouteTable Table(sampleConfiguration());
  CHECK(Table.find("boards.example", "/v1/orders/7?x=/y/")->name() ==
        "/v1/orders/");
  CHECK(Table.find("boards.example", "/v1/orders")->name() == "/v1/");
  CHECK(Table.find("Boards.Example:8080", "/v2/7")->name() == "/");
}

TEST_CASE("an unknown host or path has no route") {
  proto::MeshConfiguration Source = sampleConfiguration();
  Source.mutable_hosts(0)->mutable_routes()->erase(
      Source.mutable_hosts(0)->mutable_routes()->begin());
  const RouteTable Table(std::move(Source));
  CHECK(Table.find("boards.example", "/other/7") == nullptr);
  CHECK(Table.find("boards.example", "") == nullptr);
  CHECK(Table.find("other.example", "/v1/7") == nullptr);
}

TEST_CASE("a configuration that names an unknown service is refused") {
  proto::MeshConfiguration Source = sampleConfiguration();
  CHECK(checkConfiguration(Source).ok());
  Source.mutable_hosts(0)->mutable_routes(1)->mutable_parts(0)->set_service(
      "galery");
  CHECK(checkConfiguration(Source).message() ==
        "route \"/v1/\" of host \"boards.example\": service \"galery\" is not "
        "defined");
}

TEST_CASE("a configuration without weights, timeout or slashes is refused") {
  proto::MeshConfiguration NoWeight = sampleConfiguration();
  NoWeight.mutable_hosts(0)->mutable_routes(0)->mutable_parts(0)->set_weight(0);
  CHECK_FALSE(checkConfiguration(NoWeight).ok());
  proto::MeshConfiguration NoTimeout = sampleConfiguration();
  NoTimeout.mutable_hosts(0)->mutable_routes(0)->set_timeout_ms(0);
  CHECK_FALSE(checkConfiguration(NoTimeout).ok());
  proto::MeshConfiguration NoSlash = sampleConfiguration();
  NoSlash.mutable_hosts(0)->mutable_routes(0)->set_path_prefix("/v1");
  CHECK_FALSE(checkConfiguration(NoSlash).ok());
}

TEST_CASE("a delta turns one configuration into the next") {
  const proto::MeshConfiguration Base = sampleConfiguration();
  proto::MeshConfiguration Next = Base;
  Next.set_version(12);
  Next.mutable_limits()->set_idle_timeout_ms(9000);
  Next.mutable_hosts(0)->mutable_routes()->DeleteSubrange(0, 1);
  Next.mutable_hosts(0)->mutable_routes(0)->set_timeout_ms(900);
  proto::VirtualHost *Host = Next.add_hosts();
  Host->set_host("crews.example");
  *Host->add_routes() = Base.hosts(0).routes(2);
  const proto::ConfigurationDelta Delta = makeDelta(Base, Next);
  CHECK(Delta.changed_size() == 2);
  CHECK(Delta.removed_size() == 1);
  const auto Made = applyDelta(Base, Delta);
  REQUIRE(Made.ok());
  CHECK(Made->SerializeAsString() == Next.SerializeAsString());
}

TEST_CASE("a small change of many routes makes a small delta") {
  proto::MeshConfiguration Base = sampleConfiguration();
  for (int I = 0; I < 600; ++I) {
    proto::MeshRoute *Route = Base.mutable_hosts(0)->add_routes();
    *Route = Base.hosts(0).routes(1);
    Route->set_path_prefix("/r" + std::to_string(I) + "/");
  }
  proto::MeshConfiguration Next = Base;
  Next.set_version(8);
  Next.mutable_hosts(0)->mutable_routes(300)->set_timeout_ms(1);
  CHECK(makeDelta(Base, Next).ByteSizeLong() * 50 < Next.ByteSizeLong());
}

TEST_CASE("a delta for another version is refused") {
  const proto::MeshConfiguration Base = sampleConfiguration();
  proto::ConfigurationDelta Delta = makeDelta(Base, Base);
  Delta.set_base_version(6);
  CHECK_FALSE(applyDelta(Base, Delta).ok());
}

TEST_CASE("every part is within one call of its weight at any time") {
  const std::vector<std::uint32_t> Weights = {70, 20, 10, 0};
  TrafficSplit Split(Weights, 0.37);
  std::vector<int> Counts(Weights.size(), 0);
  for (int Calls = 1; Calls <= 1000; ++Calls) {
    ++Counts[Split.next()];
    for (std::size_t I = 0; I < Weights.size(); ++I)
      CHECK(std::abs(Counts[I] - Calls * (Weights[I] / 100.0)) < 2.0);
  }
  CHECK(Counts[3] == 0);
}

bool anyone(const std::string &) { return true; }

/// Returns the node that is asked, or nothing.
std::string asked(ConfigurationSources &Sources, std::uint64_t Have,
                  MonoTime Now,
                  const std::function<bool(const std::string &)> &IsReachable) {
  const auto Question = Sources.next(Have, Now, IsReachable);
  return Question ? Question->Node : "";
}

TEST_CASE("a newer configuration is asked for at once where it is near") {
  const MonoTime Start = monoNow();
  ConfigurationSources Sources;
  CHECK_FALSE(Sources.next(7, Start, anyone));
  Sources.told("far", false, 9, Start);
  Sources.told("near", true, 9, Start);
  CHECK(asked(Sources, 7, Start, anyone) == "near");
  // The answer may still come; a yet newer version is asked for at once.
  CHECK_FALSE(Sources.next(7, Start + Millis(50), anyone));
  Sources.told("near", true, 12, Start + Millis(60));
  CHECK(asked(Sources, 7, Start + Millis(60), anyone) == "near");
  CHECK_FALSE(Sources.next(12, Start + Millis(5000), anyone));
  CHECK_FALSE(Sources.behindSince());
}

TEST_CASE("an unanswered question goes to another node that has it") {
  const MonoTime Start = monoNow();
  ConfigurationSources Sources;
  Sources.told("a", true, 9, Start);
  Sources.told("b", true, 9, Start);
  const std::string First = asked(Sources, 7, Start, anyone);
  const std::string Second = asked(Sources, 7, Start + Millis(400), anyone);
  CHECK(First + Second != First + First);
  CHECK(First.size() + Second.size() == 2);
}

// Found by playing days: the followers of a data centre were cut off from the
// store, and nobody there asked elsewhere in time.
TEST_CASE("other data centres are asked when the own one does not deliver") {
  const MonoTime Start = monoNow();
  ConfigurationSources Sources;
  Sources.told("far", false, 9, Start);
  CHECK_FALSE(Sources.next(7, Start + Millis(500), anyone));
  // Told only once: time alone makes it due.
  CHECK(asked(Sources, 7, Start + Millis(800), anyone) == "far");
  CHECK(Sources.behindSince() == Start);
}

// Found by playing days: while changes came each 0.2 s, every node turned to
// the store and to other data centres.
TEST_CASE("a node that keeps up with quick changes is not behind for long") {
  const MonoTime Start = monoNow();
  ConfigurationSources Sources;
  MonoTime Now = Start;
  for (std::uint64_t Version = 8; Version < 40; ++Version) {
    Now += Millis(200);
    Sources.told("far", false, Version, Now);
    // The one before has just arrived from nearby.
    CHECK_FALSE(Sources.next(Version - 1, Now, anyone));
    REQUIRE(Sources.behindSince());
    CHECK(Now - *Sources.behindSince() <= Millis(200));
  }
  CHECK(asked(Sources, 38, Now + Millis(800), anyone) == "far");
}

TEST_CASE("a node without a connection is not asked") {
  const MonoTime Start = monoNow();
  ConfigurationSources Sources;
  Sources.told("lost", true, 9, Start);
  Sources.told("up", true, 9, Start);
  const auto IsUp = [](const std::string &Node) { return Node == "up"; };
  CHECK(asked(Sources, 7, Start, IsUp) == "up");
  CHECK(asked(Sources, 7, Start + Millis(400), IsUp) == "up");
}

} // namespace
} // namespace persimmonquay
