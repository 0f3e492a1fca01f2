// Measures convergence of configurations and control bytes, beside a baseline
// in which every node polls the log for the whole configuration each second.
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

constexpr std::size_t DataCentres = 3;
constexpr Millis PhaseTime{20000};
constexpr Millis ChangeInterval{1000};
constexpr Millis PollInterval{1000};
constexpr Millis Patience{30000};

/// Publishes one change after another and keeps when each was written.
class Publisher {
public:
  explicit Publisher(const Host &Through)
      : Client(absl::StrCat(Through.Address, ":7005"), Millis(10000)) {}

  /// Returns the version of the change, or 0 when it was not accepted.
  std::uint64_t publishNext() {
    const auto State = this->Client.configuration();
    if (!State.ok())
      return 0;
    proto::ResourceFile File;
    proto::Service *Service = File.add_services();
    Service->set_name("gallery");
    Service->set_active_version("v1");
    Service->set_queue_limit(++this->Number);
    const WallTime WrittenAt = wallNow();
    const auto Reply = this->Client.publish(
        ChangeBuilder(*State).writeChangedResources(File).build(WrittenAt));
    if (!Reply.ok() || !Reply->accepted())
      return 0;
    this->WrittenAt[Reply->version()] = WrittenAt;
    return Reply->version();
  }

  std::map<std::uint64_t, WallTime> WrittenAt;

private:
  OperatorClient Client;
  std::uint32_t Number = 0;
};

/// The baseline: as many pollers as there are nodes.
class PollingBaseline {
public:
  PollingBaseline(const Fleet &Running, std::size_t Pollers)
      : LogPlace(Running.logFor(0)) {
    for (std::size_t I = 0; I < Pollers; ++I)
      this->Threads.emplace_back([this, I, Pollers] {
        // Spread over the interval, as separate nodes would be.
        std::this_thread::sleep_for(PollInterval * I / Pollers);
        this->poll();
      });
  }

  /// Stops the pollers. `Seconds` of polling are then over.
  void stop() {
    this->Stopping = true;
    for (std::thread &Thread : this->Threads)
      Thread.join();
  }

  std::atomic<std::uint64_t> Bytes = 0;
  /// When each poller saw each offset.
  std::vector<std::pair<std::uint64_t, WallTime>> Seen;

private:
  void poll() {
    std::uint64_t Known = 0;
    while (!this->Stopping) {
      const ExchangeResult Answer =
          request(this->LogPlace, "GET", "/v1/streams/config/records?from=0");
      this->Bytes += Answer.Reply.Body.size();
      const auto Value =
          nlohmann::json::parse(Answer.Reply.Body, nullptr, false);
      const std::uint64_t End = Value.is_object() ? Value.value("end", 0) : 0;
      {
        std::lock_guard<std::mutex> Lock(this->Mutex);
        for (; Known < End; ++Known)
          this->Seen.emplace_back(Known + 1, wallNow());
      }
      std::this_thread::sleep_for(PollInterval);
    }
  }

  Place LogPlace;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<std::thread> Threads;
};

/// Returns, for every node and change, the milliseconds from writing to force.
std::vector<double> delays(const Fleet &Running, const Publisher &Written,
                           std::uint64_t FirstVersion) {
  std::vector<double> Result;
  for (const auto &Each : Running.hosts()) {
    const auto Applied = Fleet::appliedTimes(*Each);
    for (const auto &[Version, At] : Written.WrittenAt) {
      // A node that was behind may apply several at once.
      const auto Found = Applied.lower_bound(Version);
      if (Version >= FirstVersion && Found != Applied.end())
        Result.push_back(static_cast<double>((Found->second - At).count()));
    }
  }
  return Result;
}

void addDelays(const std::vector<double> &Values, JsonLine *Line) {
  (*Line)["samples"] = Values.size();
  (*Line)["convergence_ms_median"] = quantileOf(Values, 0.5);
  (*Line)["convergence_ms_p99"] = quantileOf(Values, 0.99);
  (*Line)["convergence_ms_max"] = quantileOf(Values, 1);
}

void measureIdle(const Fleet &Running, JsonLine Line) {
  NodeUsage Usage(Running);
  std::this_thread::sleep_for(PhaseTime);
  Usage.finish();
  Line["phase"] = "idle";
  Usage.addTo(&Line);
  std::cout << Line.dump() << std::endl;
}

void measureSteady(const Fleet &Running, Publisher *Operator, JsonLine Line) {
  const std::uint64_t First = Operator->WrittenAt.rbegin()->first + 1;
  PollingBaseline Baseline(Running, Running.hosts().size());
  std::this_thread::sleep_for(PollInterval);
  const std::uint64_t BytesBefore = Baseline.Bytes;
  NodeUsage Usage(Running);
  const MonoTime Start = monoNow();
  std::uint64_t Last = 0;
  while (monoNow() - Start < PhaseTime) {
    Last = std::max(Last, Operator->publishNext());
    std::this_thread::sleep_for(ChangeInterval);
  }
  Usage.finish();
  const double Seconds =
      std::chrono::duration<double>(monoNow() - Start).count();
  Running.waitForVersion(Last, Patience);
  Baseline.stop();
  Line["phase"] = "one change a second";
  addDelays(delays(Running, *Operator, First), &Line);
  Usage.addTo(&Line);
  std::vector<double> PollDelays;
  for (const auto &[Version, At] : Baseline.Seen)
    if (Operator->WrittenAt.contains(Version) && Version >= First)
      PollDelays.push_back(
          static_cast<double>((At - Operator->WrittenAt[Version]).count()));
  Line["baseline_convergence_ms_median"] = quantileOf(PollDelays, 0.5);
  Line["baseline_convergence_ms_max"] = quantileOf(PollDelays, 1);
  Line["baseline_bytes_per_s"] =
      static_cast<double>(Baseline.Bytes - BytesBefore) / Seconds /
      static_cast<double>(Running.hosts().size());
  std::cout << Line.dump() << std::endl;
}

void measureHealing(const Fleet &Running, Publisher *Operator, JsonLine Line) {
  constexpr std::size_t Cut = 2;
  Running.cutFromOthers(Cut, true);
  Running.cutFromLog(Cut, true);
  std::uint64_t Last = 0;
  for (int I = 0; I < 5; ++I) {
    Last = Operator->publishNext();
    std::this_thread::sleep_for(ChangeInterval);
  }
  const WallTime HealedAt = wallNow();
  Running.cutFromOthers(Cut, false);
  Running.cutFromLog(Cut, false);
  const bool Everywhere = Running.waitForVersion(Last, Patience);
  std::vector<double> Values;
  for (const auto &Each : Running.hosts()) {
    const auto Applied = Fleet::appliedTimes(*Each);
    const auto Found = Applied.lower_bound(Last);
    if (Each->Spec.DataCentre == Cut && Found != Applied.end())
      Values.push_back(static_cast<double>((Found->second - HealedAt).count()));
  }
  Line["phase"] = "one data centre cut off and healed";
  Line["in_force_everywhere"] = Everywhere;
  addDelays(Values, &Line);
  std::cout << Line.dump() << std::endl;
}

void measure(std::size_t Nodes) {
  Fleet Running(DataCentres);
  for (std::size_t I = 0; I < Nodes; ++I)
    Running.addHost({I % DataCentres, ""});
  Running.startAll();
  Publisher Operator(Running.host(0));
  const std::uint64_t First = Operator.publishNext();
  Running.waitForVersion(First, Patience);
  // Start-up traffic is not part of the idle state.
  std::this_thread::sleep_for(Millis(5000));
  JsonLine Line;
  Line["nodes"] = Nodes;
  measureIdle(Running, Line);
  measureSteady(Running, &Operator, Line);
  measureHealing(Running, &Operator, Line);
}

} // namespace
} // namespace persimmonquay::testing

int main(int Count, char **Words) {
  std::vector<std::size_t> Sizes;
  for (int I = 1; I < Count; ++I)
    Sizes.push_back(std::stoul(Words[I]));
  if (Sizes.empty())
    Sizes = {13, 26, 52, 104};
  for (std::size_t Nodes : Sizes)
    persimmonquay::testing::measure(Nodes);
  return 0;
}
