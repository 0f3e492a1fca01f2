// Tests of configuration distribution between processes under faults: killed
// and frozen nodes, cut links, and a log that is slow, down or loses responses.
#include "testing/failures/small_fleet.h"
#include <absl/strings/str_cat.h>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

namespace persimmonquay::testing {
namespace {

TEST_CASE(
    "nodes that are all killed and restarted never apply an older version") {
  SmallFleet Fleet;
  Fleet.startAll();
  Fleet.publishVariant(1);
  for (int Variant = 2; Variant <= 3; ++Variant) {
    const std::uint64_t Version = Fleet.publishVariant(Variant);
    REQUIRE(Fleet.waitForVersion(Version, WaitTimeout));
    for (const auto &Host : Fleet.hosts())
      Host->Node->signal(SIGKILL);
    for (const auto &Host : Fleet.hosts())
      Fleet.killAndRestart(Host.get());
    REQUIRE(Fleet.waitForVersion(Version, WaitTimeout));
  }
  Fleet.requireVersionsNeverDecrease();
}

TEST_CASE("a restarted data centre gets its configuration from the others "
          "during a log outage") {
  SmallFleet Fleet;
  Fleet.startAll();
  const std::uint64_t Version = Fleet.publishVariant(1);
  REQUIRE(Fleet.waitForVersion(Version, WaitTimeout));
  Fleet.controlLog("outage=1");
  for (std::size_t I : {2, 3})
    Fleet.killAndRestart(&Fleet.host(I));
  CHECK(Fleet.waitForVersion(Version, WaitTimeout));
  Fleet.requireVersionsNeverDecrease();
}

TEST_CASE("a data centre cut off from the log gets changes from the others") {
  SmallFleet Fleet;
  Fleet.startAll();
  REQUIRE(Fleet.waitForVersion(Fleet.publishVariant(1), WaitTimeout));
  Fleet.setLogLinkCut(2, true);
  CHECK(Fleet.waitForVersion(Fleet.publishVariant(2), WaitTimeout));
  Fleet.requireVersionsNeverDecrease();
}

TEST_CASE("a data centre cut off from the others gets changes from the log") {
  SmallFleet Fleet;
  Fleet.startAll();
  REQUIRE(Fleet.waitForVersion(Fleet.publishVariant(1), WaitTimeout));
  Fleet.setPeerLinksCut(2, true);
  CHECK(Fleet.waitForVersion(Fleet.publishVariant(2), WaitTimeout));
  Fleet.requireVersionsNeverDecrease();
}

TEST_CASE("a data centre cut off from the log and the others keeps serving and "
          "catches up later") {
  SmallFleet Fleet;
  Fleet.startAll();
  REQUIRE(Fleet.waitForVersion(Fleet.publishVariant(1), WaitTimeout));
  Fleet.setPeerLinksCut(2, true);
  Fleet.setLogLinkCut(2, true);
  const std::uint64_t Version = Fleet.publishVariant(2);
  LoadGenerator Generator(
      {Fleet.host(4).callerEndpoint(), Fleet.host(5).callerEndpoint()},
      {"/catalogue/a", "/orders/b"}, 4, Millis(5));
  Generator.start();
  std::this_thread::sleep_for(Millis(4000));
  const LoadReport Report = Generator.stop();
  CHECK(Report.Succeeded == Report.Calls);
  CHECK(Report.Succeeded > 100);
  CHECK_FALSE(Fleet.waitForVersion(Version, Millis(10)));
  Fleet.setPeerLinksCut(2, false);
  Fleet.setLogLinkCut(2, false);
  CHECK(Fleet.waitForVersion(Version, WaitTimeout));
  Fleet.requireVersionsNeverDecrease();
}

TEST_CASE("a node frozen for longer than every timeout catches up and never "
          "applies an older version") {
  SmallFleet Fleet;
  Fleet.startAll();
  REQUIRE(Fleet.waitForVersion(Fleet.publishVariant(1), WaitTimeout));
  Host &Frozen = Fleet.host(4);
  Frozen.Node->signal(SIGSTOP);
  std::this_thread::sleep_for(Millis(5000));
  const std::uint64_t Version = Fleet.publishVariant(2);
  Frozen.Node->signal(SIGCONT);
  CHECK(Fleet.waitForVersion(Version, WaitTimeout));
  CHECK(Fleet.waitForUpstreams(6, WaitTimeout));
  Fleet.requireVersionsNeverDecrease();
}

TEST_CASE("an append whose response was lost is stored exactly once") {
  SmallFleet Fleet;
  Fleet.startAll();
  Fleet.controlLog("lose_answers=1");
  const std::uint64_t Version = Fleet.publishVariant(1);
  CHECK(Version == 1);
  CHECK(Fleet.waitForVersion(Version, WaitTimeout));
  const CommandResult Audit = Fleet.runCommand(Fleet.host(3), {"audit"});
  CHECK(Audit.Output.find("accepted") != std::string::npos);
  CHECK(Audit.Output.find("rejected") == std::string::npos);
}

TEST_CASE(
    "one of two operators who start competing moves is told of the conflict") {
  SmallFleet Fleet;
  Fleet.startAll();
  Fleet.publishVariant(1);
  Fleet.controlLog("slow_ms=200");
  CommandResult Results[2];
  std::thread FirstOperator([&] {
    Results[0] = Fleet.runCommand(
        Fleet.host(0), {"move", "start", "ada", "--service", "gallery", "--to",
                        "v2", "--due-in-s", "600"});
  });
  std::thread SecondOperator([&] {
    Results[1] = Fleet.runCommand(
        Fleet.host(4), {"move", "start", "bob", "--service", "gallery", "--to",
                        "v3", "--due-in-s", "600"});
  });
  FirstOperator.join();
  SecondOperator.join();
  CHECK(Results[0].ExitCode + Results[1].ExitCode == 1);
  const std::string &RejectedOutput =
      Results[Results[0].ExitCode == 1 ? 0 : 1].Output;
  CHECK_MESSAGE(RejectedOutput.find("already has the active move") !=
                    std::string::npos,
                RejectedOutput);
}

TEST_CASE("nodes start from the snapshot when records have expired") {
  SmallFleet Fleet("\"snapshot_every_records\": 2");
  Fleet.startAll();
  std::uint64_t Version = 0;
  for (int Variant = 1; Variant <= 5; ++Variant)
    Version = Fleet.publishVariant(Variant);
  REQUIRE(Fleet.waitForVersion(Version, WaitTimeout));
  Fleet.controlLog("keep=2");
  for (const auto &Host : Fleet.hosts())
    Host->Node->signal(SIGKILL);
  for (const auto &Host : Fleet.hosts())
    Fleet.killAndRestart(Host.get());
  CHECK(Fleet.waitForVersion(Version, WaitTimeout));
  CHECK(Fleet.publishVariant(6) > Version);
  Fleet.requireVersionsNeverDecrease();
}

TEST_CASE("a data centre with many nodes writes snapshots") {
  TestFleet Fleet(1, "\"snapshot_every_records\": 1");
  for (int I = 0; I < 8; ++I)
    Fleet.addHost({0, ""});
  Fleet.startAll();
  REQUIRE(Fleet.publish(Fleet.host(0), SmallFleet::resources(1)).ExitCode == 0);
  CHECK(eventually(WaitTimeout,
                   [&] { return Fleet.appendedRecordCount("snapshots") > 0; }));
}

TEST_CASE("nodes without seed addresses find each other through the log") {
  TestFleet Fleet(2, "", TestFleet::SeedNodes::None);
  for (std::size_t I = 0; I < 6; ++I)
    Fleet.addHost({I % 2, ""});
  // Returns once every node knows all the others.
  Fleet.startAll();
  // The number of appends is bounded: about one address for each node at its
  // start.
  CHECK(Fleet.appendedRecordCount("members") <= 12);
}

TEST_CASE("a slow log delays a change but does not lose it") {
  SmallFleet Fleet;
  Fleet.startAll();
  Fleet.controlLog("slow_ms=800");
  const std::uint64_t Version = Fleet.publishVariant(1);
  CHECK(Fleet.waitForVersion(Version, WaitTimeout));
}

} // namespace
} // namespace persimmonquay::testing
