// Configuration over processes: what fails, and what must hold all the same.
#include "testing/failures/small_fleet.h"
#include <absl/strings/str_cat.h>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

namespace persimmonquay::testing {
namespace {

TEST_CASE("a herd of nodes that die and return never goes back") {
  SmallFleet Running;
  Running.startAll();
  Running.publishNumber(1);
  for (int Round = 2; Round <= 3; ++Round) {
    const std::uint64_t Version = Running.publishNumber(Round);
    REQUIRE(Running.waitForVersion(Version, Patience));
    for (const auto &Each : Running.hosts())
      Each->Node->signal(SIGKILL);
    for (const auto &Each : Running.hosts())
      Running.killAndRestart(Each.get());
    REQUIRE(Running.waitForVersion(Version, Patience));
  }
  Running.requireNoneWentBack();
}

TEST_CASE("a data centre that dies returns from its peers while the log is "
          "down") {
  SmallFleet Running;
  Running.startAll();
  const std::uint64_t Version = Running.publishNumber(1);
  REQUIRE(Running.waitForVersion(Version, Patience));
  Running.controlLog("outage=1");
  for (std::size_t I : {2, 3})
    Running.killAndRestart(&Running.host(I));
  CHECK(Running.waitForVersion(Version, Patience));
  Running.requireNoneWentBack();
}

TEST_CASE("a data centre cut off from the platform hears from its sisters") {
  SmallFleet Running;
  Running.startAll();
  REQUIRE(Running.waitForVersion(Running.publishNumber(1), Patience));
  Running.setLogLinkCut(2, true);
  CHECK(Running.waitForVersion(Running.publishNumber(2), Patience));
  Running.requireNoneWentBack();
}

TEST_CASE("a data centre cut off from its sisters hears from the platform") {
  SmallFleet Running;
  Running.startAll();
  REQUIRE(Running.waitForVersion(Running.publishNumber(1), Patience));
  Running.setPeerLinksCut(2, true);
  CHECK(Running.waitForVersion(Running.publishNumber(2), Patience));
  Running.requireNoneWentBack();
}

TEST_CASE("a data centre cut off from all goes on serving and catches up") {
  SmallFleet Running;
  Running.startAll();
  REQUIRE(Running.waitForVersion(Running.publishNumber(1), Patience));
  Running.setPeerLinksCut(2, true);
  Running.setLogLinkCut(2, true);
  const std::uint64_t Version = Running.publishNumber(2);
  LoadGenerator Callers(
      {Running.host(4).callerEndpoint(), Running.host(5).callerEndpoint()},
      {"/catalogue/a", "/orders/b"}, 4, Millis(5));
  Callers.start();
  std::this_thread::sleep_for(Millis(4000));
  const LoadReport Report = Callers.stop();
  CHECK(Report.Succeeded == Report.Calls);
  CHECK(Report.Succeeded > 100);
  CHECK_FALSE(Running.waitForVersion(Version, Millis(10)));
  Running.setPeerLinksCut(2, false);
  Running.setLogLinkCut(2, false);
  CHECK(Running.waitForVersion(Version, Patience));
  Running.requireNoneWentBack();
}

TEST_CASE("a node frozen past every time limit catches up and never goes "
          "back") {
  SmallFleet Running;
  Running.startAll();
  REQUIRE(Running.waitForVersion(Running.publishNumber(1), Patience));
  Host &Frozen = Running.host(4);
  Frozen.Node->signal(SIGSTOP);
  std::this_thread::sleep_for(Millis(5000));
  const std::uint64_t Version = Running.publishNumber(2);
  Frozen.Node->signal(SIGCONT);
  CHECK(Running.waitForVersion(Version, Patience));
  CHECK(Running.waitForUpstreams(6, Patience));
  Running.requireNoneWentBack();
}

TEST_CASE("an append whose answer was lost is neither repeated nor lost") {
  SmallFleet Running;
  Running.startAll();
  Running.controlLog("lose_answers=1");
  const std::uint64_t Version = Running.publishNumber(1);
  CHECK(Version == 1);
  CHECK(Running.waitForVersion(Version, Patience));
  const CommandResult Audit = Running.runCommand(Running.host(3), {"audit"});
  CHECK(Audit.Output.find("accepted") != std::string::npos);
  CHECK(Audit.Output.find("rejected") == std::string::npos);
}

TEST_CASE("of two operators that race one is told of the conflict") {
  SmallFleet Running;
  Running.startAll();
  Running.publishNumber(1);
  Running.controlLog("slow_ms=200");
  CommandResult Results[2];
  std::thread Ada([&] {
    Results[0] = Running.runCommand(
        Running.host(0), {"move", "start", "ada", "--service", "gallery",
                          "--to", "v2", "--due-in-s", "600"});
  });
  std::thread Bob([&] {
    Results[1] = Running.runCommand(
        Running.host(4), {"move", "start", "bob", "--service", "gallery",
                          "--to", "v3", "--due-in-s", "600"});
  });
  Ada.join();
  Bob.join();
  CHECK(Results[0].ExitCode + Results[1].ExitCode == 1);
  const std::string &Loser = Results[Results[0].ExitCode == 1 ? 0 : 1].Output;
  CHECK_MESSAGE(Loser.find("already has the active move") != std::string::npos,
                Loser);
}

TEST_CASE("when records expire nodes start from the snapshot") {
  SmallFleet Running("\"snapshot_every_records\": 2");
  Running.startAll();
  std::uint64_t Version = 0;
  for (int Number = 1; Number <= 5; ++Number)
    Version = Running.publishNumber(Number);
  REQUIRE(Running.waitForVersion(Version, Patience));
  Running.controlLog("keep=2");
  for (const auto &Each : Running.hosts())
    Each->Node->signal(SIGKILL);
  for (const auto &Each : Running.hosts())
    Running.killAndRestart(Each.get());
  CHECK(Running.waitForVersion(Version, Patience));
  CHECK(Running.publishNumber(6) > Version);
  Running.requireNoneWentBack();
}

TEST_CASE("a data centre of many nodes writes snapshots too") {
  TestFleet Running(1, "\"snapshot_every_records\": 1");
  for (int I = 0; I < 8; ++I)
    Running.addHost({0, ""});
  Running.startAll();
  REQUIRE(Running.publish(Running.host(0), SmallFleet::resources(1)).ExitCode ==
          0);
  CHECK(eventually(
      Patience, [&] { return Running.appendedRecordCount("snapshots") > 0; }));
}

TEST_CASE("nodes that are told of no other find each other through the log") {
  TestFleet Running(2, "", TestFleet::SeedNodes::None);
  for (std::size_t I = 0; I < 6; ++I)
    Running.addHost({I % 2, ""});
  // Waits until every node knows all.
  Running.startAll();
  // Writing is bounded: about one address for each node at the start.
  CHECK(Running.appendedRecordCount("members") <= 12);
}

TEST_CASE("a slow log delays a change but loses nothing") {
  SmallFleet Running;
  Running.startAll();
  Running.controlLog("slow_ms=800");
  const std::uint64_t Version = Running.publishNumber(1);
  CHECK(Running.waitForVersion(Version, Patience));
}

} // namespace
} // namespace persimmonquay::testing
