// Runs a move between processes in a given scenario and records its trace.
// Usage: record_trace SCENARIO OUTPUT_FILE
// Without arguments, lists the scenarios.
#include "testing/fleet/fleet.h"
#include "testing/fleet/load.h"
#include <absl/strings/str_cat.h>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace persimmonquay::testing {
namespace {

constexpr char Resources[] =
    R"({"services": [{"name": "gallery", "active_version": "v1",
                      "cold_start_ms": 2500}],
        "routes": [
          {"name": "catalogue", "path_prefix": "/catalogue",
           "service": "gallery", "priority": "CRITICAL", "deadline_ms": 3000},
          {"name": "progress", "path_prefix": "/progress",
           "service": "gallery", "priority": "NORMAL",
           "deadline_ms": 3000}]})";

/// A fleet of three data centres with two versions of one service, on which a
/// move is recorded.
class MoveRecording {
public:
  explicit MoveRecording(bool ColdStart) : Fleet(3) {
    for (const char *Version : {"v1", "v2"})
      for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre) {
        HostSpec Spec{DataCentre, "gallery", Version};
        Spec.UpstreamOptions["work_ms"] = "5";
        if (ColdStart && Spec.Version == "v2")
          Spec.UpstreamOptions["cold_ms"] = "2000";
        this->Fleet.addHost(Spec);
      }
    this->Fleet.startAll();
    this->Fleet.publish(this->Fleet.host(0), Resources);
    this->Fleet.waitForVersion(1, Millis(30000));
  }

  /// Starts `CallerCount` callers that sleep for `Pause` after each call.
  void startLoad(std::size_t CallerCount, Millis Pause) {
    std::vector<TcpEndpoint> Endpoints;
    for (const auto &Host : this->Fleet.hosts())
      Endpoints.push_back(Host->callerEndpoint());
    this->Generator = std::make_unique<LoadGenerator>(
        Endpoints,
        std::vector<std::string>{"/catalogue/a", "/catalogue/b", "/catalogue/c",
                                 "/progress/d"},
        CallerCount, Pause);
    this->Generator->start();
  }

  /// Passes control parameters to all upstreams of a version.
  void setFaults(const std::string &Version, const std::string &Query) const {
    for (const Host *Upstream : this->Fleet.hostsRunning("gallery", Version))
      TestFleet::controlUpstream(*Upstream, Query);
  }

  /// Starts a move to "v2", calls `DuringMove` and waits for the end of the
  /// move.
  void runMove(const std::function<void()> &DuringMove) {
    this->Fleet.runCommand(this->Fleet.host(0),
                           {"move", "start", "m", "--service", "gallery",
                            "--to", "v2", "--due-in-s", "40", "--bake-s", "5"});
    DuringMove();
    this->Fleet.runCommand(this->Fleet.host(0), {"move", "watch", "m"});
    std::this_thread::sleep_for(Millis(1000));
  }

  Host &newVersionHost(std::size_t Index) {
    return *this->Fleet.hostsRunning("gallery", "v2")[Index];
  }

  TestFleet Fleet;
  std::unique_ptr<LoadGenerator> Generator;
};

void sleepSeconds(int Seconds) {
  std::this_thread::sleep_for(std::chrono::seconds(Seconds));
}

/// What goes wrong in a recorded move, and how the move must end.
struct Scenario {
  /// State in which the move must end: FINISHED or TAKEN_BACK.
  std::string ExpectedState;
  /// Called after the move has started.
  std::function<void(MoveRecording *)> DuringMove;
  /// Control parameters of the upstreams of each version, set before the move
  /// starts.
  std::string OldVersionFaults;
  std::string NewVersionFaults;
  /// The upstreams of the new version are slow for the first two seconds.
  bool ColdStart = false;
  /// There is one caller instead of ten, with 700 ms instead of 40 ms between
  /// its calls.
  bool QuietService = false;
};

void crashAgainAndAgain(MoveRecording *Recording) {
  for (int I = 0; I < 12; ++I) {
    for (std::size_t Index = 0; Index < 3; ++Index) {
      Host &Crashing = Recording->newVersionHost(Index);
      Crashing.Upstream->signal(SIGKILL);
      Crashing.Upstream->wait(Millis(2000));
      Recording->Fleet.startUpstream(&Crashing);
    }
    sleepSeconds(2);
  }
}

void sendPoison(MoveRecording *Recording) {
  sleepSeconds(10);
  for (const auto &Host : Recording->Fleet.hosts())
    request(Host->callerEndpoint(), "GET", "/catalogue/poison", "",
            {{"x-crash", "1"}});
  sleepSeconds(1);
  for (const auto &Host : Recording->Fleet.hosts())
    if (Host->Upstream->wait(Millis(0)))
      Recording->Fleet.startUpstream(Host.get());
}

void killHost(MoveRecording *Recording) {
  sleepSeconds(10);
  Recording->newVersionHost(1).Node->signal(SIGKILL);
  Recording->newVersionHost(1).Upstream->signal(SIGKILL);
  sleepSeconds(3);
  Recording->Fleet.startNode(&Recording->newVersionHost(1));
  Recording->Fleet.startUpstream(&Recording->newVersionHost(1));
}

std::map<std::string, Scenario> scenarios() {
  const auto NoEvent = [](MoveRecording *) {};
  std::map<std::string, Scenario> Scenarios;
  Scenarios["fails-at-once"] = {"TAKEN_BACK", NoEvent, "", "fail=0.5"};
  Scenarios["slow-at-once"] = {"TAKEN_BACK", NoEvent, "", "slow_ms=40"};
  Scenarios["fails-later"] = {"TAKEN_BACK",
                              [](MoveRecording *Recording) {
                                sleepSeconds(12);
                                Recording->setFaults("v2", "fail=0.5");
                              },
                              "", ""};
  Scenarios["fails-under-load"] = {"TAKEN_BACK", NoEvent, "",
                                   "fail=0.7&fail_over=1"};
  Scenarios["fails-on-one-route"] = {"TAKEN_BACK", NoEvent, "",
                                     "fail=0.6&fail_route=/progress"};
  Scenarios["crashes-again-and-again"] = {"TAKEN_BACK", crashAgainAndAgain, "",
                                          ""};
  Scenarios["slow-in-one-data-centre"] = {
      "TAKEN_BACK",
      [](MoveRecording *Recording) {
        TestFleet::controlUpstream(Recording->newVersionHost(2), "slow_ms=60");
      },
      "", ""};
  Scenarios["good"] = {"FINISHED", NoEvent, "", ""};
  Scenarios["old-as-bad"] = {"FINISHED", NoEvent, "fail=0.05", "fail=0.05"};
  Scenarios["cold-start"] = {"FINISHED", NoEvent, "", "", true};
  Scenarios["shared-back-end-down"] = {
      "FINISHED",
      [](MoveRecording *Recording) {
        sleepSeconds(10);
        for (const char *Version : {"v1", "v2"})
          Recording->setFaults(Version, "fail=0.8");
        sleepSeconds(4);
        for (const char *Version : {"v1", "v2"})
          Recording->setFaults(Version, "fail=0");
      },
      "", ""};
  Scenarios["log-outage"] = {"FINISHED",
                             [](MoveRecording *Recording) {
                               sleepSeconds(2);
                               Recording->Fleet.controlLog("outage=1");
                               sleepSeconds(20);
                               Recording->Fleet.controlLog("outage=0");
                             },
                             "", ""};
  Scenarios["quiet-service"] = {"FINISHED", NoEvent, "", "", false, true};
  Scenarios["poisonous-request"] = {"FINISHED", sendPoison, "", ""};
  Scenarios["host-dies"] = {"FINISHED", killHost, "", ""};
  return Scenarios;
}

/// Writes the trace of a node with only the newest copy of each evidence cell
/// in each half second.
void writeThinnedTrace(const std::string &SourcePath, const std::string &Name,
                       const Scenario &Selected,
                       const std::string &OutputPath) {
  std::vector<std::string> Lines;
  std::ifstream File(SourcePath);
  for (std::string Line; std::getline(File, Line);)
    Lines.push_back(Line);
  std::set<std::string> KeptCells;
  std::vector<std::string> KeptLines;
  constexpr std::int64_t BucketMs = 500;
  for (auto Line = Lines.rbegin(); Line != Lines.rend(); ++Line) {
    auto Event = nlohmann::json::parse(*Line);
    if (Event["event"] == "evidence") {
      auto Subject = Event["data"];
      for (const char *CountField : {"calls", "errors", "latency"})
        Subject.erase(CountField);
      const std::int64_t Bucket =
          Event["unix_ms"].get<std::int64_t>() / BucketMs;
      if (!KeptCells.insert(absl::StrCat(Bucket, Subject.dump())).second)
        continue;
    }
    KeptLines.push_back(*Line);
  }
  std::ofstream Output(OutputPath);
  Output << nlohmann::json{{"condition", Name},
                           {"move_ends", Selected.ExpectedState}}
                .dump()
         << "\n";
  for (auto Line = KeptLines.rbegin(); Line != KeptLines.rend(); ++Line)
    Output << *Line << "\n";
}

int record(const std::string &Name, const std::string &OutputPath) {
  const auto Scenarios = scenarios();
  const auto Found = Scenarios.find(Name);
  if (Found == Scenarios.end()) {
    std::cerr << "unknown scenario \"" << Name << "\"\n";
    return 2;
  }
  const Scenario &Selected = Found->second;
  MoveRecording Recording(Selected.ColdStart);
  constexpr std::size_t BusyCallers = 10;
  Recording.startLoad(Selected.QuietService ? 1 : BusyCallers,
                      Millis(Selected.QuietService ? 700 : 40));
  if (!Selected.OldVersionFaults.empty())
    Recording.setFaults("v1", Selected.OldVersionFaults);
  if (!Selected.NewVersionFaults.empty())
    Recording.setFaults("v2", Selected.NewVersionFaults);
  Recording.runMove([&] { Selected.DuringMove(&Recording); });
  const CommandResult Status = Recording.Fleet.runCommand(
      Recording.Fleet.host(0), {"move", "status", "m"});
  Recording.Generator->stop();
  std::cout << Name << ": " << Status.Output;
  writeThinnedTrace(absl::StrCat(Recording.Fleet.directory(), "/",
                                 Recording.newVersionHost(0).Name, ".trace"),
                    Name, Selected, OutputPath);
  const bool Finished = Status.Output.find(": done") != std::string::npos;
  return Finished == (Selected.ExpectedState == "FINISHED") ? 0 : 1;
}

} // namespace
} // namespace persimmonquay::testing

int main(int ArgumentCount, char **Arguments) {
  using namespace persimmonquay::testing;
  if (ArgumentCount == 3)
    return record(Arguments[1], Arguments[2]);
  for (const auto &[Name, Scenario] : scenarios())
    std::cout << Name << "\n";
  return ArgumentCount == 1 ? 0 : 2;
}
