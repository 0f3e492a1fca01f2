// Measures how fast configuration changes reach all nodes and how many control
// bytes the nodes send, and compares both with a baseline in which every node
// polls the log for the whole configuration once per second.
//
// Usage: convergence_bench [NODES ...]   default: 13 26 52 104
#include "benchmarks/measuring.h"
#include "persimmonquay/cli/change_builder.h"
#include "persimmonquay/cli/operator_client.h"
#include "persimmonquay/config/state_machine.h"
#include <absl/strings/str_cat.h>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace persimmonquay::testing {
namespace {

constexpr std::size_t DataCentreCount = 3;
constexpr Millis PhaseDuration{20000};
constexpr Millis ChangeInterval{1000};
constexpr Millis PollInterval{1000};
constexpr Millis ConvergenceTimeout{30000};

/// Publishes configuration changes and records the time of each write.
class Publisher {
public:
  explicit Publisher(const Host &EntryHost)
      : Client(absl::StrCat(EntryHost.Address, ":7005"), Millis(10000)) {}

  /// Publishes the next change. Returns its version, or 0 if it was not
  /// accepted.
  std::uint64_t publishNext() {
    const auto State = this->Client.configuration();
    if (!State.ok())
      return 0;
    proto::ResourceFile File;
    proto::Service *Service = File.add_services();
    Service->set_name("gallery");
    Service->set_active_version("v1");
    Service->set_queue_limit(++this->LastQueueLimit);
    const WallTime WriteTime = wallNow();
    const auto Reply = this->Client.publish(
        ChangeBuilder(*State).writeChangedResources(File).build(WriteTime));
    if (!Reply.ok() || !Reply->accepted())
      return 0;
    this->WriteTimes[Reply->version()] = WriteTime;
    return Reply->version();
  }

  /// The time at which each version was written.
  std::map<std::uint64_t, WallTime> WriteTimes;

private:
  OperatorClient Client;
  std::uint32_t LastQueueLimit = 0;
};

/// The baseline: polls the log from as many threads as there are nodes.
class PollingBaseline {
public:
  PollingBaseline(const TestFleet &Fleet, std::size_t PollerCount)
      : LogEndpoint(Fleet.logEndpoint(0)) {
    for (std::size_t I = 0; I < PollerCount; ++I)
      this->Threads.emplace_back([this, I, PollerCount] {
        // Spread the polls over the interval, as those of separate nodes would
        // be.
        std::this_thread::sleep_for(PollInterval * I / PollerCount);
        this->poll();
      });
  }

  /// Stops all pollers and waits for them to end.
  void stop() {
    this->Stopping = true;
    for (std::thread &Thread : this->Threads)
      Thread.join();
  }

  /// Body bytes that all pollers have received.
  std::atomic<std::uint64_t> BytesReceived = 0;
  /// The end offsets that the pollers have seen, and when each poller first saw
  /// each. Must only be read after `stop()`.
  std::vector<std::pair<std::uint64_t, WallTime>> SeenOffsets;

private:
  void poll() {
    std::uint64_t KnownEnd = 0;
    while (!this->Stopping) {
      const ExchangeResult Result = request(
          this->LogEndpoint, "GET", "/v1/streams/config/records?from=0");
      this->BytesReceived += Result.Response.Body.size();
      const auto Json =
          nlohmann::json::parse(Result.Response.Body, nullptr, false);
      const std::uint64_t EndOffset =
          Json.is_object() ? Json.value("end", 0) : 0;
      {
        std::lock_guard<std::mutex> Lock(this->Mutex);
        for (; KnownEnd < EndOffset; ++KnownEnd)
          this->SeenOffsets.emplace_back(KnownEnd + 1, wallNow());
      }
      std::this_thread::sleep_for(PollInterval);
    }
  }

  TcpEndpoint LogEndpoint;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<std::thread> Threads;
};

/// Returns the time in milliseconds from the write of each change, starting at
/// `FirstVersion`, until each node applied it.
std::vector<double> convergenceDelays(const TestFleet &Fleet,
                                      const Publisher &ChangePublisher,
                                      std::uint64_t FirstVersion) {
  std::vector<double> Delays;
  for (const auto &TestHost : Fleet.hosts()) {
    const auto AppliedTimes = TestFleet::appliedTimes(*TestHost);
    for (const auto &[Version, WriteTime] : ChangePublisher.WriteTimes) {
      // A node that is behind may apply several versions at once.
      const auto Found = AppliedTimes.lower_bound(Version);
      if (Version >= FirstVersion && Found != AppliedTimes.end())
        Delays.push_back(
            static_cast<double>((Found->second - WriteTime).count()));
    }
  }
  return Delays;
}

void addDelays(const std::vector<double> &Delays, JsonLine *Line) {
  (*Line)["samples"] = Delays.size();
  (*Line)["convergence_ms_median"] = quantile(Delays, 0.5);
  (*Line)["convergence_ms_p99"] = quantile(Delays, 0.99);
  (*Line)["convergence_ms_max"] = quantile(Delays, 1);
}

void measureIdle(const TestFleet &Fleet, JsonLine Line) {
  NodeUsage Usage(Fleet);
  std::this_thread::sleep_for(PhaseDuration);
  Usage.finish();
  Line["phase"] = "idle";
  Usage.addTo(&Line);
  std::cout << Line.dump() << std::endl;
}

void measureSteadyChanges(const TestFleet &Fleet, Publisher *ChangePublisher,
                          JsonLine Line) {
  const std::uint64_t FirstVersion =
      ChangePublisher->WriteTimes.rbegin()->first + 1;
  PollingBaseline Baseline(Fleet, Fleet.hosts().size());
  std::this_thread::sleep_for(PollInterval);
  const std::uint64_t BytesBefore = Baseline.BytesReceived;
  NodeUsage Usage(Fleet);
  const MonoTime StartTime = monoNow();
  std::uint64_t LastVersion = 0;
  while (monoNow() - StartTime < PhaseDuration) {
    LastVersion = std::max(LastVersion, ChangePublisher->publishNext());
    std::this_thread::sleep_for(ChangeInterval);
  }
  Usage.finish();
  const double Seconds =
      std::chrono::duration<double>(monoNow() - StartTime).count();
  Fleet.waitForVersion(LastVersion, ConvergenceTimeout);
  Baseline.stop();
  Line["phase"] = "one change a second";
  addDelays(convergenceDelays(Fleet, *ChangePublisher, FirstVersion), &Line);
  Usage.addTo(&Line);
  std::vector<double> PollDelays;
  for (const auto &[Version, SeenTime] : Baseline.SeenOffsets)
    if (ChangePublisher->WriteTimes.contains(Version) &&
        Version >= FirstVersion)
      PollDelays.push_back(static_cast<double>(
          (SeenTime - ChangePublisher->WriteTimes[Version]).count()));
  Line["baseline_convergence_ms_median"] = quantile(PollDelays, 0.5);
  Line["baseline_convergence_ms_max"] = quantile(PollDelays, 1);
  Line["baseline_bytes_per_s"] =
      static_cast<double>(Baseline.BytesReceived - BytesBefore) / Seconds /
      static_cast<double>(Fleet.hosts().size());
  std::cout << Line.dump() << std::endl;
}

void measurePartitionRecovery(const TestFleet &Fleet,
                              Publisher *ChangePublisher, JsonLine Line) {
  constexpr std::size_t IsolatedDataCentre = 2;
  Fleet.setPeerLinksCut(IsolatedDataCentre, true);
  Fleet.setLogLinkCut(IsolatedDataCentre, true);
  std::uint64_t LastVersion = 0;
  for (int I = 0; I < 5; ++I) {
    LastVersion = ChangePublisher->publishNext();
    std::this_thread::sleep_for(ChangeInterval);
  }
  const WallTime ReconnectTime = wallNow();
  Fleet.setPeerLinksCut(IsolatedDataCentre, false);
  Fleet.setLogLinkCut(IsolatedDataCentre, false);
  const bool Converged = Fleet.waitForVersion(LastVersion, ConvergenceTimeout);
  std::vector<double> Delays;
  for (const auto &TestHost : Fleet.hosts()) {
    const auto AppliedTimes = TestFleet::appliedTimes(*TestHost);
    const auto Found = AppliedTimes.lower_bound(LastVersion);
    if (TestHost->Spec.DataCentre == IsolatedDataCentre &&
        Found != AppliedTimes.end())
      Delays.push_back(
          static_cast<double>((Found->second - ReconnectTime).count()));
  }
  Line["phase"] = "one data centre cut off and healed";
  Line["in_force_everywhere"] = Converged;
  addDelays(Delays, &Line);
  std::cout << Line.dump() << std::endl;
}

void measure(std::size_t NodeCount) {
  TestFleet Fleet(DataCentreCount);
  for (std::size_t I = 0; I < NodeCount; ++I)
    Fleet.addHost({I % DataCentreCount, ""});
  Fleet.startAll();
  Publisher ChangePublisher(Fleet.host(0));
  const std::uint64_t FirstVersion = ChangePublisher.publishNext();
  Fleet.waitForVersion(FirstVersion, ConvergenceTimeout);
  // Wait until the traffic of the start is over, so that it doesn't count as
  // idle traffic.
  std::this_thread::sleep_for(Millis(5000));
  JsonLine Line;
  Line["nodes"] = NodeCount;
  measureIdle(Fleet, Line);
  measureSteadyChanges(Fleet, &ChangePublisher, Line);
  measurePartitionRecovery(Fleet, &ChangePublisher, Line);
}

} // namespace
} // namespace persimmonquay::testing

int main(int ArgumentCount, char **Arguments) {
  std::vector<std::size_t> NodeCounts;
  for (int I = 1; I < ArgumentCount; ++I)
    NodeCounts.push_back(std::stoul(Arguments[I]));
  if (NodeCounts.empty())
    NodeCounts = {13, 26, 52, 104};
  for (std::size_t NodeCount : NodeCounts)
    persimmonquay::testing::measure(NodeCount);
  return 0;
}
