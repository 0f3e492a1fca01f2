// Demonstrates a complete deployment as separate processes on the loopback
// network: publishes a configuration, moves one service to a good version and
// another to a bad one, and prints a table of checks. Exits with 1 if a check
// fails.
//
// Usage: demo hraunbord|granite-ridge EXAMPLES_DIRECTORY
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

/// A service and the number of its upstreams in all data centres together.
struct ServiceSize {
  std::string Name;
  std::size_t UpstreamCount = 3;
};

/// The properties in which the deployments differ.
struct ExampleDeployment {
  std::string Name;
  std::vector<ServiceSize> Services;
  /// Request targets of the callers.
  std::vector<std::string> Targets;
  /// The service that is moved to a good version.
  std::string GoodService;
  /// The service that is moved to a version that fails half of its calls.
  std::string BadService;
};

ExampleDeployment exampleDeployment(const std::string &Name) {
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

constexpr std::size_t DataCentreCount = 3;
constexpr Millis MaxConvergenceTime{6000};
constexpr unsigned GoodMoveDueSeconds = 30;
constexpr unsigned BadMoveDueSeconds = 60;
/// Maximum share of the service's calls that the bad version may get.
constexpr double MaxBadVersionShare = 0.1;
/// Maximum number of control bytes that a node may send per second at the fleet
/// size that is expected in two years.
constexpr double MaxControlBytesPerSecond = 4096;

/// One check in the table at the end.
struct Check {
  std::string Criterion;
  std::string Observation;
  bool Passed = false;
};

class Demo {
public:
  Demo(const ExampleDeployment &Deployment, std::string ExamplesDirectory)
      : Deployment(Deployment), ExamplesDirectory(std::move(ExamplesDirectory)),
        Fleet(DataCentreCount) {}

  int run() {
    this->startFleet();
    this->publishExample();
    this->startLoad();
    this->moveToGoodVersion();
    this->moveToBadVersion();
    this->addLoadChecks(this->CallerLoad->stop());
    return this->printTable();
  }

private:
  void startFleet() {
    std::cout << "starting " << this->Deployment.Name << " as processes ..."
              << std::endl;
    std::size_t NextIndex = 0;
    for (const ServiceSize &Service : this->Deployment.Services)
      for (std::size_t I = 0; I < Service.UpstreamCount; ++I)
        this->Fleet.addHost({NextIndex++ % DataCentreCount, Service.Name});
    for (const ServiceSize &Service : this->Deployment.Services) {
      const bool IsMoved = Service.Name == this->Deployment.GoodService ||
                           Service.Name == this->Deployment.BadService;
      for (std::size_t I = 0; IsMoved && I < Service.UpstreamCount; ++I)
        this->Fleet.addHost(
            {NextIndex++ % DataCentreCount, Service.Name, "v2"});
    }
    this->Fleet.startAll();
    for (Host *BadHost :
         this->Fleet.hostsRunning(this->Deployment.BadService, "v2"))
      TestFleet::controlUpstream(*BadHost, "fail=0.5");
  }

  void publishExample() {
    const std::string Path = absl::StrCat(
        this->ExamplesDirectory, "/", this->Deployment.Name, "/config.json");
    const MonoTime StartTime = monoNow();
    const CommandResult PublishResult = this->Fleet.runCommand(
        this->Fleet.host(0), {"config", "publish", Path});
    const bool Converged = PublishResult.ExitCode == 0 &&
                           this->Fleet.waitForVersion(1, MaxConvergenceTime);
    const auto Duration =
        std::chrono::duration_cast<Millis>(monoNow() - StartTime);
    this->Checks.push_back(
        {"configuration in force everywhere",
         absl::StrFormat("%d ms on %d nodes, command included",
                         Duration.count(), this->Fleet.hosts().size()),
         Converged && Duration < MaxConvergenceTime});
  }

  void startLoad() {
    std::vector<TcpEndpoint> Nodes;
    for (const auto &TestHost : this->Fleet.hosts())
      Nodes.push_back(TestHost->callerEndpoint());
    constexpr std::size_t CallerCount = 24;
    this->CallerLoad = std::make_unique<LoadGenerator>(
        Nodes, this->Deployment.Targets, CallerCount, Millis(20));
    this->CallerLoad->start();
    this->ControlBytesAtStart = this->controlBytes();
    this->LoadStartTime = monoNow();
  }

  /// Moves `Service` to version v2 and waits until the move has ended.
  CommandResult runMove(const std::string &MoveName, const std::string &Service,
                        unsigned DueSeconds) const {
    return this->Fleet.runCommand(*this->Fleet.hosts().front(),
                                  {"move", "start", MoveName, "--service",
                                   Service, "--to", "v2", "--due-in-s",
                                   absl::StrCat(DueSeconds), "--bake-s", "5",
                                   "--wait", "--timeout-s", "30"});
  }

  static std::string lastLine(const std::string &Text) {
    const std::size_t End = Text.find_last_not_of('\n');
    const std::size_t Start = Text.rfind('\n', End);
    return Text.substr(Start + 1, End - Start);
  }

  void moveToGoodVersion() {
    std::cout << "moving " << this->Deployment.GoodService
              << " to a good version ..." << std::endl;
    const MonoTime StartTime = monoNow();
    const CommandResult Result =
        this->runMove("good", this->Deployment.GoodService, GoodMoveDueSeconds);
    const auto Duration =
        std::chrono::duration_cast<std::chrono::seconds>(monoNow() - StartTime);
    std::cout << "  " << lastLine(Result.Output) << std::endl;
    this->Checks.push_back(
        {"good version completed",
         absl::StrFormat("after %d s, due after %d s", Duration.count(),
                         GoodMoveDueSeconds),
         Result.ExitCode == 0 &&
             Duration <= std::chrono::seconds(GoodMoveDueSeconds)});
  }

  void moveToBadVersion() {
    std::cout << "moving " << this->Deployment.BadService
              << " to a version that fails half of its calls ..." << std::endl;
    const double OldVersionRunsBefore =
        this->countRuns(this->Deployment.BadService, "v1");
    const CommandResult Result =
        this->runMove("bad", this->Deployment.BadService, BadMoveDueSeconds);
    std::cout << "  " << lastLine(Result.Output) << std::endl;
    const double OldVersionRuns =
        this->countRuns(this->Deployment.BadService, "v1") -
        OldVersionRunsBefore;
    const double BadVersionRuns =
        this->countRuns(this->Deployment.BadService, "v2");
    const double Share =
        BadVersionRuns / std::max(1.0, OldVersionRuns + BadVersionRuns);
    this->Checks.push_back(
        {"bad version taken back",
         absl::StrFormat("it got %.0f calls, %.1f%% of the service's",
                         BadVersionRuns, 100 * Share),
         Result.ExitCode == 1 && Share <= MaxBadVersionShare});
    const bool NoCalls = this->badVersionGetsNoCalls();
    this->Checks.push_back({"calls to the bad version afterwards",
                            NoCalls ? "none" : "some", NoCalls});
  }

  /// Returns whether the bad version runs no calls for two seconds.
  bool badVersionGetsNoCalls() const {
    const double RunsBefore =
        this->countRuns(this->Deployment.BadService, "v2");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    return this->countRuns(this->Deployment.BadService, "v2") == RunsBefore;
  }

  /// Returns the number of calls that the upstreams of a version have run.
  double countRuns(const std::string &Service,
                   const std::string &Version) const {
    double Runs = 0;
    for (const Host *TestHost : this->Fleet.hostsRunning(Service, Version)) {
      const auto Json = nlohmann::json::parse(
          request(TestHost->upstreamEndpoint(), "GET", "/runs").Response.Body,
          nullptr, false);
      Runs += Json.is_object() ? Json.value("all", 0.0) : 0.0;
    }
    return Runs;
  }

  double controlBytes() const {
    double Bytes = 0;
    for (const auto &TestHost : this->Fleet.hosts())
      Bytes +=
          readMetric(TestHost->localEndpoint(), "pq_control_bytes_sent_total");
    return Bytes;
  }

  /// Adds the checks on the callers' results and on the control traffic.
  void addLoadChecks(const LoadReport &Report) {
    const std::chrono::duration<double> Duration =
        monoNow() - this->LoadStartTime;
    const double BytesPerSecond =
        (this->controlBytes() - this->ControlBytesAtStart) / Duration.count() /
        static_cast<double>(this->Fleet.hosts().size());
    this->Checks.push_back({"control bytes sent by a node",
                            absl::StrFormat("%.0f a second", BytesPerSecond),
                            BytesPerSecond < MaxControlBytesPerSecond});
    this->Checks.push_back({"calls",
                            absl::StrFormat("%d, of which %d good",
                                            Report.Calls, Report.Succeeded),
                            Report.Succeeded > 0});
    this->Checks.push_back(
        {"calls failed by an upstream",
         absl::StrFormat("%d (%.3f%%)", Report.ServerErrors,
                         100.0 * static_cast<double>(Report.ServerErrors) /
                             static_cast<double>(Report.Calls)),
         static_cast<double>(Report.ServerErrors) <
             0.005 * static_cast<double>(Report.Calls)});
    this->Checks.push_back({"calls refused as not run",
                            absl::StrCat(Report.NotRun), Report.NotRun == 0});
    this->Checks.push_back(
        {"calls of unknown outcome, broken or wrong",
         absl::StrFormat("%d, %d, %d", Report.Unknown, Report.ConnectionsBroken,
                         Report.Mismatched),
         Report.Unknown + Report.ConnectionsBroken + Report.Mismatched == 0});
    for (const std::string &Example : Report.FailureExamples)
      std::cout << "  " << Example << "\n";
  }

  /// Prints all checks. Returns the exit code: 0 if all have passed,
  /// otherwise 1.
  int printTable() const {
    bool AllPassed = true;
    std::cout << "\n";
    for (const Check &TableRow : this->Checks) {
      AllPassed &= TableRow.Passed;
      std::cout << absl::StrFormat("%-42s %-44s %s\n", TableRow.Criterion,
                                   TableRow.Observation,
                                   TableRow.Passed ? "ok" : "NOT RIGHT");
    }
    return AllPassed ? 0 : 1;
  }

  const ExampleDeployment Deployment;
  const std::string ExamplesDirectory;
  TestFleet Fleet;
  std::unique_ptr<LoadGenerator> CallerLoad;
  std::vector<Check> Checks;
  double ControlBytesAtStart = 0;
  MonoTime LoadStartTime;
};

} // namespace
} // namespace persimmonquay::testing

int main(int ArgumentCount, char **Arguments) {
  using namespace persimmonquay::testing;
  if (ArgumentCount != 3) {
    std::cerr << "usage: demo hraunbord|granite-ridge EXAMPLES_DIRECTORY\n";
    return 2;
  }
  return Demo(exampleDeployment(Arguments[1]), Arguments[2]).run();
}
