// Records the trace of a move over processes.
// Usage: record_trace CONDITION OUTPUT_FILE
// Without arguments it lists the conditions.
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

/// A move on a fleet of three data centres with two versions of one service.
class Recording {
public:
  explicit Recording(bool Cold) : Running(3) {
    for (const char *Version : {"v1", "v2"})
      for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre) {
        HostSpec Spec{DataCentre, "gallery", Version};
        Spec.UpstreamOptions["work_ms"] = "5";
        if (Cold && Spec.Version == "v2")
          Spec.UpstreamOptions["cold_ms"] = "2000";
        this->Running.addHost(Spec);
      }
    this->Running.startAll();
    this->Running.publish(this->Running.host(0), Resources);
    this->Running.waitForVersion(1, Millis(30000));
  }

  void startLoad(std::size_t Callers, Millis Pause) {
    std::vector<TcpEndpoint> Endpoints;
    for (const auto &Each : this->Running.hosts())
      Endpoints.push_back(Each->callerEndpoint());
    this->Callers = std::make_unique<LoadGenerator>(
        Endpoints,
        std::vector<std::string>{"/catalogue/a", "/catalogue/b", "/catalogue/c",
                                 "/progress/d"},
        Callers, Pause);
    this->Callers->start();
  }

  void fault(const std::string &Version, const std::string &Query) const {
    for (const Host *Each : this->Running.hostsRunning("gallery", Version))
      TestFleet::controlUpstream(*Each, Query);
  }

  /// Runs `Event` a while after the move's start and waits for its end.
  void move(const std::function<void()> &Event) {
    this->Running.runCommand(this->Running.host(0),
                             {"move", "start", "m", "--service", "gallery",
                              "--to", "v2", "--due-in-s", "40", "--bake-s",
                              "5"});
    Event();
    this->Running.runCommand(this->Running.host(0), {"move", "watch", "m"});
    std::this_thread::sleep_for(Millis(1000));
  }

  Host &newHost(std::size_t Index) {
    return *this->Running.hostsRunning("gallery", "v2")[Index];
  }

  TestFleet Running;
  std::unique_ptr<LoadGenerator> Callers;
};

void pause(int Seconds) {
  std::this_thread::sleep_for(std::chrono::seconds(Seconds));
}

struct Condition {
  std::string MoveEnds;
  std::function<void(Recording *)> Event;
  /// Set before the move starts.
  std::string OldFault;
  std::string NewFault;
  bool Cold = false;
  bool Quiet = false;
};

void crashAgainAndAgain(Recording *Played) {
  for (int I = 0; I < 12; ++I) {
    for (std::size_t Each = 0; Each < 3; ++Each) {
      Host &Crashing = Played->newHost(Each);
      Crashing.Upstream->signal(SIGKILL);
      Crashing.Upstream->wait(Millis(2000));
      Played->Running.startUpstream(&Crashing);
    }
    pause(2);
  }
}

void sendPoison(Recording *Played) {
  pause(10);
  for (const auto &Each : Played->Running.hosts())
    request(Each->callerEndpoint(), "GET", "/catalogue/poison", "",
            {{"x-crash", "1"}});
  pause(1);
  for (const auto &Each : Played->Running.hosts())
    if (Each->Upstream->wait(Millis(0)))
      Played->Running.startUpstream(Each.get());
}

void killHost(Recording *Played) {
  pause(10);
  Played->newHost(1).Node->signal(SIGKILL);
  Played->newHost(1).Upstream->signal(SIGKILL);
  pause(3);
  Played->Running.startNode(&Played->newHost(1));
  Played->Running.startUpstream(&Played->newHost(1));
}

std::map<std::string, Condition> conditions() {
  const auto Nothing = [](Recording *) {};
  std::map<std::string, Condition> All;
  All["fails-at-once"] = {"TAKEN_BACK", Nothing, "", "fail=0.5"};
  All["slow-at-once"] = {"TAKEN_BACK", Nothing, "", "slow_ms=40"};
  All["fails-later"] = {"TAKEN_BACK",
                        [](Recording *Played) {
                          pause(12);
                          Played->fault("v2", "fail=0.5");
                        },
                        "", ""};
  All["fails-under-load"] = {"TAKEN_BACK", Nothing, "", "fail=0.7&fail_over=1"};
  All["fails-on-one-route"] = {"TAKEN_BACK", Nothing, "",
                               "fail=0.6&fail_route=/progress"};
  All["crashes-again-and-again"] = {"TAKEN_BACK", crashAgainAndAgain, "", ""};
  All["slow-in-one-data-centre"] = {"TAKEN_BACK",
                                    [](Recording *Played) {
                                      TestFleet::controlUpstream(
                                          Played->newHost(2), "slow_ms=60");
                                    },
                                    "", ""};
  All["good"] = {"FINISHED", Nothing, "", ""};
  All["old-as-bad"] = {"FINISHED", Nothing, "fail=0.05", "fail=0.05"};
  All["cold-start"] = {"FINISHED", Nothing, "", "", true};
  All["shared-back-end-down"] = {"FINISHED",
                                 [](Recording *Played) {
                                   pause(10);
                                   for (const char *Each : {"v1", "v2"})
                                     Played->fault(Each, "fail=0.8");
                                   pause(4);
                                   for (const char *Each : {"v1", "v2"})
                                     Played->fault(Each, "fail=0");
                                 },
                                 "", ""};
  All["log-outage"] = {"FINISHED",
                       [](Recording *Played) {
                         pause(2);
                         Played->Running.controlLog("outage=1");
                         pause(20);
                         Played->Running.controlLog("outage=0");
                       },
                       "", ""};
  All["quiet-service"] = {"FINISHED", Nothing, "", "", false, true};
  All["poisonous-request"] = {"FINISHED", sendPoison, "", ""};
  All["host-dies"] = {"FINISHED", killHost, "", ""};
  return All;
}

/// Writes the trace of a node, without the cells that a newer copy within half
/// a second replaces.
void writeThinned(const std::string &From, const std::string &Name,
                  const Condition &Played, const std::string &To) {
  std::vector<std::string> Lines;
  std::ifstream File(From);
  for (std::string Line; std::getline(File, Line);)
    Lines.push_back(Line);
  std::set<std::string> Seen;
  std::vector<std::string> Kept;
  constexpr std::int64_t BucketMs = 500;
  for (auto Line = Lines.rbegin(); Line != Lines.rend(); ++Line) {
    auto Event = nlohmann::json::parse(*Line);
    if (Event["event"] == "evidence") {
      auto Subject = Event["data"];
      for (const char *Counted : {"calls", "errors", "latency"})
        Subject.erase(Counted);
      const std::int64_t Bucket =
          Event["unix_ms"].get<std::int64_t>() / BucketMs;
      if (!Seen.insert(absl::StrCat(Bucket, Subject.dump())).second)
        continue;
    }
    Kept.push_back(*Line);
  }
  std::ofstream Written(To);
  Written << nlohmann::json{{"condition", Name}, {"move_ends", Played.MoveEnds}}
                 .dump()
          << "\n";
  for (auto Line = Kept.rbegin(); Line != Kept.rend(); ++Line)
    Written << *Line << "\n";
}

int record(const std::string &Name, const std::string &Output) {
  const auto All = conditions();
  const auto Found = All.find(Name);
  if (Found == All.end()) {
    std::cerr << "condition \"" << Name << "\" does not exist\n";
    return 2;
  }
  const Condition &Played = Found->second;
  Recording Move(Played.Cold);
  constexpr std::size_t BusyCallers = 10;
  Move.startLoad(Played.Quiet ? 1 : BusyCallers,
                 Millis(Played.Quiet ? 700 : 40));
  if (!Played.OldFault.empty())
    Move.fault("v1", Played.OldFault);
  if (!Played.NewFault.empty())
    Move.fault("v2", Played.NewFault);
  Move.move([&] { Played.Event(&Move); });
  const CommandResult Status =
      Move.Running.runCommand(Move.Running.host(0), {"move", "status", "m"});
  Move.Callers->stop();
  std::cout << Name << ": " << Status.Output;
  writeThinned(absl::StrCat(Move.Running.directory(), "/", Move.newHost(0).Name,
                            ".trace"),
               Name, Played, Output);
  const bool Finished = Status.Output.find(": done") != std::string::npos;
  return Finished == (Played.MoveEnds == "FINISHED") ? 0 : 1;
}

} // namespace
} // namespace persimmonquay::testing

int main(int Count, char **Words) {
  using namespace persimmonquay::testing;
  if (Count == 3)
    return record(Words[1], Words[2]);
  for (const auto &[Name, Condition] : conditions())
    std::cout << Name << "\n";
  return Count == 1 ? 0 : 2;
}
