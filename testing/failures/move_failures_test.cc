// Moves over processes: what fails, and what must hold all the same.
#include "testing/failures/small_fleet.h"
#include <absl/strings/str_cat.h>
#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace persimmonquay::testing {
namespace {

/// A fleet with upstreams of a second version of "gallery" in each data
/// centre, load on it, and a move to the second version.
class MovingFleet {
public:
  MovingFleet() {
    for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre)
      this->Running.addHost({DataCentre, "gallery", "v2"});
    this->Running.startAll();
    REQUIRE(
        this->Running.waitForVersion(this->Running.publishNumber(1), Patience));
    this->Callers = std::make_unique<LoadGenerator>(
        this->Running.callerEndpoints(),
        std::vector<std::string>{"/catalogue/a"}, 12, Millis(4));
    this->Callers->start();
  }

  void startMove(unsigned DueS, unsigned BakeS) {
    const CommandResult Started = this->Running.runCommand(
        this->Running.host(0),
        {"move", "start", "m", "--service", "gallery", "--to", "v2",
         "--due-in-s", absl::StrCat(DueS), "--bake-s", absl::StrCat(BakeS)});
    REQUIRE_MESSAGE(Started.ExitCode == 0, Started.Output);
  }

  void setFaults(const std::string &Query) const {
    for (const Host *Each : this->Running.hostsRunning("gallery", "v2"))
      TestFleet::controlUpstream(*Each, Query);
  }

  /// Returns the calls that the second version has run.
  int newRuns() const {
    int Runs = 0;
    for (const Host *Each : this->Running.hostsRunning("gallery", "v2"))
      Runs += nlohmann::json::parse(
                  request(Each->upstreamEndpoint(), "GET", "/runs")
                      .Reply.Body)["all"]
                  .get<int>();
    return Runs;
  }

  /// Waits until the second version has had calls and then gets none.
  bool waitUntilNoNewRuns() const {
    if (!eventually(Patience, [&] { return this->newRuns() > 0; }))
      return false;
    return eventually(Patience, [&] {
      const int Before = this->newRuns();
      std::this_thread::sleep_for(Millis(1500));
      return this->newRuns() == Before;
    });
  }

  std::string stateAt(std::size_t Host) const {
    const CommandResult Status =
        this->Running.runCommand(*this->Running.hosts()[Host],
                                 {"move", "status", "m", "--output", "json"});
    const auto Value = nlohmann::json::parse(Status.Output, nullptr, false);
    return Value.is_object() ? Value.value("state", "") : Status.Output;
  }

  bool waitForStateEverywhere(const std::string &State) const {
    return eventually(Patience, [&] {
      for (std::size_t I = 0; I < this->Running.hosts().size(); ++I)
        if (this->stateAt(I) != State)
          return false;
      return true;
    });
  }

  SmallFleet Running;
  std::unique_ptr<LoadGenerator> Callers;
};

TEST_CASE("a bad version is taken back while the log is down, and the log "
          "learns of it later") {
  MovingFleet Moving;
  Moving.setFaults("fail=1");
  Moving.startMove(120, 5);
  Moving.Running.controlLog("outage=1");
  CHECK(Moving.waitUntilNoNewRuns());
  CHECK(Moving.stateAt(0) == "ACTIVE");
  Moving.Running.controlLog("outage=0");
  CHECK(Moving.waitForStateEverywhere("TAKEN_BACK"));
  const LoadReport Report = Moving.Callers->stop();
  CHECK(static_cast<double>(Report.ServerErrors) <
        0.005 * static_cast<double>(Report.Calls));
}

TEST_CASE("a data centre cut off from all takes a bad version back by itself") {
  MovingFleet Moving;
  Moving.startMove(300, 5);
  REQUIRE(Moving.Running.waitForVersion(2, Patience));
  Moving.Running.setPeerLinksCut(2, true);
  Moving.Running.setLogLinkCut(2, true);
  Moving.setFaults("fail=1");
  CHECK(Moving.waitUntilNoNewRuns());
  Moving.Running.setPeerLinksCut(2, false);
  Moving.Running.setLogLinkCut(2, false);
  CHECK(Moving.waitForStateEverywhere("TAKEN_BACK"));
}

TEST_CASE("a bad version is taken back though deciding nodes die or freeze") {
  MovingFleet Moving;
  Moving.startMove(120, 5);
  Moving.setFaults("fail=1");
  // A node of the new version dies and one of the old version freezes.
  Moving.Running.killAndRestart(&Moving.Running.host(6));
  Moving.Running.host(0).Node->signal(SIGSTOP);
  CHECK(Moving.waitUntilNoNewRuns());
  Moving.Running.host(0).Node->signal(SIGCONT);
  CHECK(Moving.waitForStateEverywhere("TAKEN_BACK"));
}

TEST_CASE("a version that fails in the bake time is taken back at once") {
  MovingFleet Moving;
  Moving.startMove(50, 30);
  REQUIRE(eventually(Patience, [&] {
    const CommandResult Status = Moving.Running.runCommand(
        Moving.Running.host(0), {"move", "status", "m"});
    return Status.Output.find("share 90.0%") != std::string::npos;
  }));
  Moving.setFaults("fail=0.5");
  CHECK(Moving.waitForStateEverywhere("TAKEN_BACK"));
}

TEST_CASE("a good version finishes in time and an operator who connects later "
          "is told") {
  MovingFleet Moving;
  Moving.startMove(30, 4);
  const CommandResult Watched =
      Moving.Running.runCommand(Moving.Running.host(0), {"move", "watch", "m"});
  CHECK(Watched.ExitCode == 0);
  CHECK(Watched.Output.find("done") != std::string::npos);
  const CommandResult Later =
      Moving.Running.runCommand(Moving.Running.host(5), {"move", "watch", "m"});
  CHECK(Later.ExitCode == 0);
  CHECK(Later.Output.find("done") != std::string::npos);
  const CommandResult TooLate = Moving.Running.runCommand(
      Moving.Running.host(5), {"move", "cancel", "m"});
  CHECK(TooLate.ExitCode == 1);
  CHECK(Moving.waitForStateEverywhere("FINISHED"));
  const LoadReport Report = Moving.Callers->stop();
  CHECK_MESSAGE(
      Report.Succeeded == Report.Calls,
      (Report.FailureExamples.empty() ? "" : Report.FailureExamples.front()));
}

TEST_CASE("a cancelled move returns all traffic and has one end everywhere") {
  MovingFleet Moving;
  Moving.startMove(120, 5);
  REQUIRE(eventually(Patience, [&] { return Moving.newRuns() > 0; }));
  const CommandResult Cancelled = Moving.Running.runCommand(
      Moving.Running.host(4), {"move", "cancel", "m", "--reason", "test"});
  CHECK(Cancelled.ExitCode == 0);
  CHECK(Moving.waitForStateEverywhere("CANCELLED"));
  CHECK(Moving.waitUntilNoNewRuns());
  // To cancel again changes nothing.
  CHECK(
      Moving.Running.runCommand(Moving.Running.host(0), {"move", "cancel", "m"})
          .ExitCode == 0);
  CHECK(Moving.waitForStateEverywhere("CANCELLED"));
}

TEST_CASE("an outage of the log in a move harms no good version") {
  MovingFleet Moving;
  Moving.startMove(30, 4);
  REQUIRE(Moving.Running.waitForVersion(2, Patience));
  Moving.Running.controlLog("outage=1");
  CHECK(eventually(Patience, [&] {
    const CommandResult Status = Moving.Running.runCommand(
        Moving.Running.host(0), {"move", "status", "m"});
    return Status.Output.find("share 90.0%") != std::string::npos;
  }));
  Moving.Running.controlLog("outage=0");
  CHECK(Moving.waitForStateEverywhere("FINISHED"));
  CHECK(Moving.Callers->stop().ServerErrors == 0);
}

} // namespace
} // namespace persimmonquay::testing
