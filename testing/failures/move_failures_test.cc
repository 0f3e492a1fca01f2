// Tests of moves between processes under faults: a failing new version, killed
// and frozen nodes, cut links and log outages.
#include "testing/failures/small_fleet.h"
#include <absl/strings/str_cat.h>
#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace persimmonquay::testing {
namespace {

/// A fleet with an additional upstream of "gallery" at version "v2" in each
/// data centre, load on that service, and helpers for a move "m" to "v2".
class MoveFixture {
public:
  MoveFixture() {
    for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre)
      this->Fleet.addHost({DataCentre, "gallery", "v2"});
    this->Fleet.startAll();
    REQUIRE(
        this->Fleet.waitForVersion(this->Fleet.publishVariant(1), WaitTimeout));
    this->Generator = std::make_unique<LoadGenerator>(
        this->Fleet.callerEndpoints(), std::vector<std::string>{"/catalogue/a"},
        12, Millis(4));
    this->Generator->start();
  }

  void startMove(unsigned DueS, unsigned BakeS) {
    const CommandResult Result = this->Fleet.runCommand(
        this->Fleet.host(0),
        {"move", "start", "m", "--service", "gallery", "--to", "v2",
         "--due-in-s", absl::StrCat(DueS), "--bake-s", absl::StrCat(BakeS)});
    REQUIRE_MESSAGE(Result.ExitCode == 0, Result.Output);
  }

  /// Passes control parameters to all upstreams of the new version.
  void setNewVersionFaults(const std::string &Query) const {
    for (const Host *Upstream : this->Fleet.hostsRunning("gallery", "v2"))
      TestFleet::controlUpstream(*Upstream, Query);
  }

  /// Returns the number of calls that the new version has run.
  int newVersionRuns() const {
    int Runs = 0;
    for (const Host *Upstream : this->Fleet.hostsRunning("gallery", "v2"))
      Runs += nlohmann::json::parse(
                  request(Upstream->upstreamEndpoint(), "GET", "/runs")
                      .Response.Body)["all"]
                  .get<int>();
    return Runs;
  }

  /// Waits until the new version has had calls and then gets no more for 1.5
  /// seconds.
  bool waitUntilNewVersionIsIdle() const {
    if (!eventually(WaitTimeout, [&] { return this->newVersionRuns() > 0; }))
      return false;
    return eventually(WaitTimeout, [&] {
      const int RunsBefore = this->newVersionRuns();
      std::this_thread::sleep_for(Millis(1500));
      return this->newVersionRuns() == RunsBefore;
    });
  }

  /// Returns the state of the move that a node reports.
  std::string moveStateAt(std::size_t HostIndex) const {
    const CommandResult Status =
        this->Fleet.runCommand(*this->Fleet.hosts()[HostIndex],
                               {"move", "status", "m", "--output", "json"});
    const auto Value = nlohmann::json::parse(Status.Output, nullptr, false);
    return Value.is_object() ? Value.value("state", "") : Status.Output;
  }

  bool waitForMoveStateOnAllNodes(const std::string &State) const {
    return eventually(WaitTimeout, [&] {
      for (std::size_t I = 0; I < this->Fleet.hosts().size(); ++I)
        if (this->moveStateAt(I) != State)
          return false;
      return true;
    });
  }

  SmallFleet Fleet;
  std::unique_ptr<LoadGenerator> Generator;
};

TEST_CASE("a failing version is rolled back during a log outage and the log "
          "records it later") {
  MoveFixture Fixture;
  Fixture.setNewVersionFaults("fail=1");
  Fixture.startMove(120, 5);
  Fixture.Fleet.controlLog("outage=1");
  CHECK(Fixture.waitUntilNewVersionIsIdle());
  CHECK(Fixture.moveStateAt(0) == "ACTIVE");
  Fixture.Fleet.controlLog("outage=0");
  CHECK(Fixture.waitForMoveStateOnAllNodes("TAKEN_BACK"));
  const LoadReport Report = Fixture.Generator->stop();
  CHECK(static_cast<double>(Report.ServerErrors) <
        0.005 * static_cast<double>(Report.Calls));
}

TEST_CASE(
    "a data centre that is cut off rolls a failing version back by itself") {
  MoveFixture Fixture;
  Fixture.startMove(300, 5);
  REQUIRE(Fixture.Fleet.waitForVersion(2, WaitTimeout));
  Fixture.Fleet.setPeerLinksCut(2, true);
  Fixture.Fleet.setLogLinkCut(2, true);
  Fixture.setNewVersionFaults("fail=1");
  CHECK(Fixture.waitUntilNewVersionIsIdle());
  Fixture.Fleet.setPeerLinksCut(2, false);
  Fixture.Fleet.setLogLinkCut(2, false);
  CHECK(Fixture.waitForMoveStateOnAllNodes("TAKEN_BACK"));
}

TEST_CASE(
    "a failing version is rolled back although deciding nodes die or freeze") {
  MoveFixture Fixture;
  Fixture.startMove(120, 5);
  Fixture.setNewVersionFaults("fail=1");
  // A node beside the new version is killed, and one beside the old version
  // freezes.
  Fixture.Fleet.killAndRestart(&Fixture.Fleet.host(6));
  Fixture.Fleet.host(0).Node->signal(SIGSTOP);
  CHECK(Fixture.waitUntilNewVersionIsIdle());
  Fixture.Fleet.host(0).Node->signal(SIGCONT);
  CHECK(Fixture.waitForMoveStateOnAllNodes("TAKEN_BACK"));
}

TEST_CASE("a version that fails during the bake time is rolled back") {
  MoveFixture Fixture;
  Fixture.startMove(50, 30);
  REQUIRE(eventually(WaitTimeout, [&] {
    const CommandResult Status = Fixture.Fleet.runCommand(
        Fixture.Fleet.host(0), {"move", "status", "m"});
    return Status.Output.find("share 90.0%") != std::string::npos;
  }));
  Fixture.setNewVersionFaults("fail=0.5");
  CHECK(Fixture.waitForMoveStateOnAllNodes("TAKEN_BACK"));
}

TEST_CASE("a move to a healthy version finishes and commands at other nodes "
          "report it later") {
  MoveFixture Fixture;
  Fixture.startMove(30, 4);
  const CommandResult Watched =
      Fixture.Fleet.runCommand(Fixture.Fleet.host(0), {"move", "watch", "m"});
  CHECK(Watched.ExitCode == 0);
  CHECK(Watched.Output.find("done") != std::string::npos);
  const CommandResult WatchedLater =
      Fixture.Fleet.runCommand(Fixture.Fleet.host(5), {"move", "watch", "m"});
  CHECK(WatchedLater.ExitCode == 0);
  CHECK(WatchedLater.Output.find("done") != std::string::npos);
  const CommandResult CancelledLater =
      Fixture.Fleet.runCommand(Fixture.Fleet.host(5), {"move", "cancel", "m"});
  CHECK(CancelledLater.ExitCode == 1);
  CHECK(Fixture.waitForMoveStateOnAllNodes("FINISHED"));
  const LoadReport Report = Fixture.Generator->stop();
  CHECK_MESSAGE(
      Report.Succeeded == Report.Calls,
      (Report.FailureExamples.empty() ? "" : Report.FailureExamples.front()));
}

TEST_CASE("a cancelled move returns all traffic and ends in the same state on "
          "every node") {
  MoveFixture Fixture;
  Fixture.startMove(120, 5);
  REQUIRE(
      eventually(WaitTimeout, [&] { return Fixture.newVersionRuns() > 0; }));
  const CommandResult Cancelled = Fixture.Fleet.runCommand(
      Fixture.Fleet.host(4), {"move", "cancel", "m", "--reason", "test"});
  CHECK(Cancelled.ExitCode == 0);
  CHECK(Fixture.waitForMoveStateOnAllNodes("CANCELLED"));
  CHECK(Fixture.waitUntilNewVersionIsIdle());
  // Cancelling again changes nothing.
  CHECK(Fixture.Fleet.runCommand(Fixture.Fleet.host(0), {"move", "cancel", "m"})
            .ExitCode == 0);
  CHECK(Fixture.waitForMoveStateOnAllNodes("CANCELLED"));
}

TEST_CASE("a log outage during a move does not hinder a healthy version") {
  MoveFixture Fixture;
  Fixture.startMove(30, 4);
  REQUIRE(Fixture.Fleet.waitForVersion(2, WaitTimeout));
  Fixture.Fleet.controlLog("outage=1");
  CHECK(eventually(WaitTimeout, [&] {
    const CommandResult Status = Fixture.Fleet.runCommand(
        Fixture.Fleet.host(0), {"move", "status", "m"});
    return Status.Output.find("share 90.0%") != std::string::npos;
  }));
  Fixture.Fleet.controlLog("outage=0");
  CHECK(Fixture.waitForMoveStateOnAllNodes("FINISHED"));
  CHECK(Fixture.Generator->stop().ServerErrors == 0);
}

} // namespace
} // namespace persimmonquay::testing
