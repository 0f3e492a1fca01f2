#include "persimmonquay/mesh/configuration_delta.h"
#include "persimmonquay/mesh/configuration_freshness.h"
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

TEST_CASE("the route with the longest matching prefix is chosen") {
  const RouteTable Table(sampleConfiguration());
  CHECK(Table.find("boards.example", "/v1/orders/7?x=/y/")->name() ==
        "/v1/orders/");
  CHECK(Table.find("boards.example", "/v1/orders")->name() == "/v1/");
  CHECK(Table.find("Boards.Example:8080", "/v2/7")->name() == "/");
}

TEST_CASE("no route is found for an unknown host or path") {
  proto::MeshConfiguration Configuration = sampleConfiguration();
  Configuration.mutable_hosts(0)->mutable_routes()->erase(
      Configuration.mutable_hosts(0)->mutable_routes()->begin());
  const RouteTable Table(std::move(Configuration));
  CHECK(Table.find("boards.example", "/other/7") == nullptr);
  CHECK(Table.find("boards.example", "") == nullptr);
  CHECK(Table.find("other.example", "/v1/7") == nullptr);
}

TEST_CASE("a configuration that names an undefined service is rejected") {
  proto::MeshConfiguration Configuration = sampleConfiguration();
  CHECK(checkConfiguration(Configuration).ok());
  Configuration.mutable_hosts(0)
      ->mutable_routes(1)
      ->mutable_parts(0)
      ->set_service("galery");
  CHECK(checkConfiguration(Configuration).message() ==
        "route \"/v1/\" of host \"boards.example\": service \"galery\" is not "
        "defined");
}

TEST_CASE("a configuration without weights, timeout or slashes is rejected") {
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

TEST_CASE("applying a delta to the base gives the next configuration") {
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
  const auto Applied = applyDelta(Base, Delta);
  REQUIRE(Applied.ok());
  CHECK(Applied->SerializeAsString() == Next.SerializeAsString());
}

TEST_CASE("changing one of many routes gives a small delta") {
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

TEST_CASE("a delta for another base version is rejected") {
  const proto::MeshConfiguration Base = sampleConfiguration();
  proto::ConfigurationDelta Delta = makeDelta(Base, Base);
  Delta.set_base_version(6);
  CHECK_FALSE(applyDelta(Base, Delta).ok());
}

TEST_CASE(
    "a traffic split with a phase stays within two calls of its weights") {
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

bool allReachable(const std::string &) { return true; }

/// Returns the node to which the next request goes, or "" if there is none.
std::string
requestedNode(ConfigurationSources &Sources, std::uint64_t OwnVersion,
              MonoTime Now,
              const std::function<bool(const std::string &)> &IsReachable) {
  const auto Request = Sources.nextRequest(OwnVersion, Now, IsReachable);
  return Request ? Request->Node : "";
}

TEST_CASE("a newer configuration is requested at once within the data centre") {
  const MonoTime Start = monoNow();
  ConfigurationSources Sources;
  CHECK_FALSE(Sources.nextRequest(7, Start, allReachable));
  Sources.recordVersion("remote", false, 9, Start);
  Sources.recordVersion("local", true, 9, Start);
  CHECK(requestedNode(Sources, 7, Start, allReachable) == "local");
  // A reply is still expected; an even newer version is requested at once.
  CHECK_FALSE(Sources.nextRequest(7, Start + Millis(50), allReachable));
  Sources.recordVersion("local", true, 12, Start + Millis(60));
  CHECK(requestedNode(Sources, 7, Start + Millis(60), allReachable) == "local");
  CHECK_FALSE(Sources.nextRequest(12, Start + Millis(5000), allReachable));
  CHECK_FALSE(Sources.behindSince());
}

TEST_CASE("a request without a reply is repeated to another node") {
  const MonoTime Start = monoNow();
  ConfigurationSources Sources;
  Sources.recordVersion("a", true, 9, Start);
  Sources.recordVersion("b", true, 9, Start);
  const std::string First = requestedNode(Sources, 7, Start, allReachable);
  const std::string Second =
      requestedNode(Sources, 7, Start + Millis(400), allReachable);
  CHECK(First + Second != First + First);
  CHECK(First.size() + Second.size() == 2);
}

// Guards against a data centre that stays on an old configuration: its nodes
// that follow the store were cut off from it, and no node there asked another
// data centre in time.
TEST_CASE("other data centres are asked if the local one does not deliver") {
  const MonoTime Start = monoNow();
  ConfigurationSources Sources;
  Sources.recordVersion("remote", false, 9, Start);
  CHECK_FALSE(Sources.nextRequest(7, Start + Millis(500), allReachable));
  // The version was recorded only once: the request becomes due by time alone.
  CHECK(requestedNode(Sources, 7, Start + Millis(800), allReachable) ==
        "remote");
  CHECK(Sources.behindSince() == Start);
}

// Guards against needless requests to the store and to other data centres: with
// a change every 0.2 s some newer version is always known, and every node took
// itself to be behind although it kept up.
TEST_CASE("a node that keeps up with frequent changes is not long behind") {
  const MonoTime Start = monoNow();
  ConfigurationSources Sources;
  MonoTime Now = Start;
  for (std::uint64_t Version = 8; Version < 40; ++Version) {
    Now += Millis(200);
    Sources.recordVersion("remote", false, Version, Now);
    // The previous version has just arrived from the local data centre.
    CHECK_FALSE(Sources.nextRequest(Version - 1, Now, allReachable));
    REQUIRE(Sources.behindSince());
    CHECK(Now - *Sources.behindSince() <= Millis(200));
  }
  CHECK(requestedNode(Sources, 38, Now + Millis(800), allReachable) ==
        "remote");
}

TEST_CASE("no request goes to a node without a connection") {
  const MonoTime Start = monoNow();
  ConfigurationSources Sources;
  Sources.recordVersion("lost", true, 9, Start);
  Sources.recordVersion("up", true, 9, Start);
  const auto IsUp = [](const std::string &Node) { return Node == "up"; };
  CHECK(requestedNode(Sources, 7, Start, IsUp) == "up");
  CHECK(requestedNode(Sources, 7, Start + Millis(400), IsUp) == "up");
}

// Callers with withdrawn keys come by the thousand.
TEST_CASE("calls with unknown keys share one inquiry at a time") {
  const MonoTime Start = monoNow();
  ConfigurationFreshness Freshness;
  CHECK_FALSE(Freshness.isConfirmed(Start));
  int InquiryCount = 0;
  for (int CallIndex = 0; CallIndex < 1000; ++CallIndex) {
    const MonoTime Now = Start + Millis(CallIndex);
    if (Freshness.isConfirmed(Now))
      continue;
    if (const auto Inquiry = Freshness.nextInquiry(Now, Now)) {
      ++InquiryCount;
      Freshness.recordConfirmation(*Inquiry);
    }
    CHECK(Freshness.isConfirmed(Now));
  }
  CHECK(InquiryCount == 5);
}

TEST_CASE("an inquiry is repeated until a node replies") {
  const MonoTime Start = monoNow();
  ConfigurationFreshness Freshness;
  const auto First = Freshness.nextInquiry(Start, Start);
  REQUIRE(First);
  CHECK_FALSE(Freshness.nextInquiry(Start, Start + Millis(20)));
  CHECK(Freshness.nextInquiry(Start, Start + Millis(60)) == First);
  CHECK_FALSE(Freshness.isConfirmed(Start));
  Freshness.recordConfirmation(*First);
  CHECK(Freshness.isConfirmed(Start));
  CHECK_FALSE(Freshness.nextInquiry(Start, Start + Millis(120)));
}

// The reply may have been sent before the newer configuration was written.
TEST_CASE("a reply does not count for calls that came long after the inquiry") {
  const MonoTime Start = monoNow();
  const MonoTime Later = Start + Millis(300);
  ConfigurationFreshness Freshness;
  const auto First = Freshness.nextInquiry(Start, Start);
  const auto Second = Freshness.nextInquiry(Later, Later);
  REQUIRE(First);
  REQUIRE(Second);
  Freshness.recordConfirmation(*First);
  CHECK_FALSE(Freshness.isConfirmed(Later));
  Freshness.recordConfirmation(*Second);
  CHECK(Freshness.isConfirmed(Later));
  CHECK_FALSE(Freshness.isConfirmed(Later + Millis(200)));
}

} // namespace
} // namespace persimmonquay
