// The demonstration: a whole deployment as processes, one good move and one
// bad one. Usage: demo hraunbord|granite-ridge EXAMPLES_DIRECTORY
#include "persimmonquay/base/checked_json.h"
#include "testing/fleet/fleet.h"
#include "testing/fleet/load.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

namespace persimmonquay::testing {
namespace {

/// A service and how many upstreams it has over the three data centres.
struct ServiceSize {
  std::string Name;
  std::size_t Upstreams = 3;
};

/// What differs between the two deployments.
struct Scenario {
  std::string Name;
  std::vector<ServiceSize> Services;
  std::vector<std::string> Targets;
  std::string GoodService;
  std::string BadService;
};

Scenario scenarioOf(const std::string &Name) {
  if (Name == "granite-ridge")
    return {
        Name,
        {{"crew-brief"}, {"dispatch"}, {"inspect-archive"}, {"torque-ledger"}},
        {"/crew/towers", "/dispatch/lifts", "/torque/17", "/archive/2031"},
        "crew-brief",
        "torque-ledger"};
  return {"hraunbord",
          {{"gallery", 4}, {"orders"}, {"quotes"}, {"workshop"}},
          {"/catalogue/boards", "/progress/12", "/orders/list", "/quotes/3"},
          "gallery",
          "quotes"};
}

constexpr std::size_t DataCentres = 3;
constexpr Millis ConvergenceLimit{6000};
constexpr unsigned GoodDueS = 30;
constexpr unsigned BadDueS = 60;
/// Largest part of the service's calls that a bad version may get.
constexpr double BadShareLimit = 0.1;
/// Control bytes that a node may send in a second at the size of two years.
constexpr double ControlLimit = 4096;

/// A line of the closing table.
struct Row {
  std::string What;
  std::string Seen;
  bool Right = false;
};

class Demo {
public:
  Demo(const Scenario &Played, std::string Examples)
      : Played(Played), Examples(std::move(Examples)), Running(DataCentres) {}

  int run() {
    this->startFleet();
    this->publishExample();
    this->startLoad();
    this->moveGood();
    this->moveBad();
    this->report(this->Callers->stop());
    return this->printTable();
  }

private:
  void startFleet() {
    std::cout << "starting " << this->Played.Name << " as processes ..."
              << std::endl;
    std::size_t Next = 0;
    for (const ServiceSize &Service : this->Played.Services)
      for (std::size_t I = 0; I < Service.Upstreams; ++I)
        this->Running.addHost({Next++ % DataCentres, Service.Name});
    for (const ServiceSize &Service : this->Played.Services) {
      const bool Moved = Service.Name == this->Played.GoodService ||
                         Service.Name == this->Played.BadService;
      for (std::size_t I = 0; Moved && I < Service.Upstreams; ++I)
        this->Running.addHost({Next++ % DataCentres, Service.Name, "v2"});
    }
    this->Running.startAll();
    for (Host *Bad : this->Running.hostsOf(this->Played.BadService, "v2"))
      Fleet::controlUpstream(*Bad, "fail=0.5");
  }

  void publishExample() {
    const std::string Path =
        absl::StrCat(this->Examples, "/", this->Played.Name, "/config.json");
    const MonoTime Start = monoNow();
    const CommandResult Published =
        this->Running.run(this->Running.host(0), {"config", "publish", Path});
    const bool Everywhere = Published.ExitCode == 0 &&
                            this->Running.waitForVersion(1, ConvergenceLimit);
    const auto Took = std::chrono::duration_cast<Millis>(monoNow() - Start);
    this->Rows.push_back(
        {"configuration in force everywhere",
         absl::StrFormat("%d ms on %d nodes, command included", Took.count(),
                         this->Running.hosts().size()),
         Everywhere && Took < ConvergenceLimit});
  }

  void startLoad() {
    std::vector<Place> Nodes;
    for (const auto &Each : this->Running.hosts())
      Nodes.push_back(Each->caller());
    constexpr std::size_t Callers = 24;
    this->Callers = std::make_unique<Load>(Nodes, this->Played.Targets, Callers,
                                           Millis(20));
    this->Callers->start();
    this->BytesAtStart = this->controlBytes();
    this->LoadStart = monoNow();
  }

  CommandResult move(const std::string &Name, const std::string &Service,
                     unsigned DueS) const {
    return this->Running.run(*this->Running.hosts().front(),
                             {"move", "start", Name, "--service", Service,
                              "--to", "v2", "--due-in-s", absl::StrCat(DueS),
                              "--bake-s", "5", "--wait", "--timeout-s", "30"});
  }

  static std::string lastLine(const std::string &Text) {
    const std::size_t End = Text.find_last_not_of('\n');
    const std::size_t Start = Text.rfind('\n', End);
    return Text.substr(Start + 1, End - Start);
  }

  void moveGood() {
    std::cout << "moving " << this->Played.GoodService
              << " to a good version ..." << std::endl;
    const MonoTime Start = monoNow();
    const CommandResult Result =
        this->move("good", this->Played.GoodService, GoodDueS);
    const auto Took =
        std::chrono::duration_cast<std::chrono::seconds>(monoNow() - Start);
    std::cout << "  " << lastLine(Result.Output) << std::endl;
    this->Rows.push_back(
        {"good version completed",
         absl::StrFormat("after %d s, due after %d s", Took.count(), GoodDueS),
         Result.ExitCode == 0 && Took <= std::chrono::seconds(GoodDueS)});
  }

  void moveBad() {
    std::cout << "moving " << this->Played.BadService
              << " to a version that fails half of its calls ..." << std::endl;
    const double RunsBefore = this->runsOf(this->Played.BadService, "v1");
    const CommandResult Result =
        this->move("bad", this->Played.BadService, BadDueS);
    std::cout << "  " << lastLine(Result.Output) << std::endl;
    const double OldRuns =
        this->runsOf(this->Played.BadService, "v1") - RunsBefore;
    const double BadRuns = this->runsOf(this->Played.BadService, "v2");
    const double Share = BadRuns / std::max(1.0, OldRuns + BadRuns);
    this->Rows.push_back(
        {"bad version taken back",
         absl::StrFormat("it got %.0f calls, %.1f%% of the service's", BadRuns,
                         100 * Share),
         Result.ExitCode == 1 && Share <= BadShareLimit});
    const bool Silent = this->getsNothing();
    this->Rows.push_back({"calls to the bad version afterwards",
                          Silent ? "none" : "some", Silent});
  }

  /// Returns whether the bad version's runs stay as they are for a while.
  bool getsNothing() const {
    const double Before = this->runsOf(this->Played.BadService, "v2");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    return this->runsOf(this->Played.BadService, "v2") == Before;
  }

  double runsOf(const std::string &Service, const std::string &Version) const {
    double Runs = 0;
    for (const Host *Each : this->Running.hostsOf(Service, Version)) {
      const auto Answer = nlohmann::json::parse(
          request(Each->upstream(), "GET", "/runs").Reply.Body, nullptr, false);
      Runs += Answer.is_object() ? Answer.value("all", 0.0) : 0.0;
    }
    return Runs;
  }

  double controlBytes() const {
    double Bytes = 0;
    for (const auto &Each : this->Running.hosts())
      Bytes += metricOf(Each->local(), "pq_control_bytes_sent_total");
    return Bytes;
  }

  void report(const LoadReport &Seen) {
    const std::chrono::duration<double> Took = monoNow() - this->LoadStart;
    const double BytesPerNode =
        (this->controlBytes() - this->BytesAtStart) / Took.count() /
        static_cast<double>(this->Running.hosts().size());
    this->Rows.push_back({"control bytes sent by a node",
                          absl::StrFormat("%.0f a second", BytesPerNode),
                          BytesPerNode < ControlLimit});
    this->Rows.push_back(
        {"calls",
         absl::StrFormat("%d, of which %d good", Seen.Calls, Seen.Good),
         Seen.Good > 0});
    this->Rows.push_back(
        {"calls failed by an upstream",
         absl::StrFormat("%d (%.3f%%)", Seen.Failed,
                         100.0 * static_cast<double>(Seen.Failed) /
                             static_cast<double>(Seen.Calls)),
         static_cast<double>(Seen.Failed) <
             0.005 * static_cast<double>(Seen.Calls)});
    this->Rows.push_back({"calls refused as not run", absl::StrCat(Seen.NotRun),
                          Seen.NotRun == 0});
    this->Rows.push_back(
        {"calls of unknown outcome, broken or wrong",
         absl::StrFormat("%d, %d, %d", Seen.Unknown, Seen.Broken, Seen.Wrong),
         Seen.Unknown + Seen.Broken + Seen.Wrong == 0});
    for (const std::string &Example : Seen.Examples)
      std::cout << "  " << Example << "\n";
  }

  int printTable() const {
    bool AllRight = true;
    std::cout << "\n";
    for (const Row &Line : this->Rows) {
      AllRight &= Line.Right;
      std::cout << absl::StrFormat("%-42s %-44s %s\n", Line.What, Line.Seen,
                                   Line.Right ? "ok" : "NOT RIGHT");
    }
    return AllRight ? 0 : 1;
  }

  const Scenario Played;
  const std::string Examples;
  Fleet Running;
  std::unique_ptr<Load> Callers;
  std::vector<Row> Rows;
  double BytesAtStart = 0;
  MonoTime LoadStart;
};

} // namespace
} // namespace persimmonquay::testing

int main(int Count, char **Words) {
  using namespace persimmonquay::testing;
  if (Count != 3) {
    std::cerr << "usage: demo hraunbord|granite-ridge EXAMPLES_DIRECTORY\n";
    return 2;
  }
  return Demo(scenarioOf(Words[1]), Words[2]).run();
}
