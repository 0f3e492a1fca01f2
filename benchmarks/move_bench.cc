// Compares the move policy with two baseline policies in simulated moves of a
// fake service. Prints one JSON line per policy and scenario.
//
// Usage: move_bench RUNS FIRST_SEED
#include "persimmonquay/move/move_policy.h"
#include "proto/configuration.pb.h"
#include "testing/fake_service.h"
#include <algorithm>
#include <atomic>
#include <concepts>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace persimmonquay::testing {
namespace {

constexpr Millis MoveDuration = std::chrono::minutes(10);
constexpr Millis BakeTime = std::chrono::minutes(2);
constexpr Millis DecisionInterval{250};
/// Time from the decision that ends a move until it takes effect on all nodes.
constexpr Millis PropagationDelay{100};
constexpr WallTime StartTime{Millis(1'700'000'000'000)};
constexpr VersionCapacity AmpleCapacity{36, 36};

proto::Move makeMove() {
  proto::Move Move;
  Move.set_name("bench");
  Move.set_service("gallery");
  Move.set_from_version("v1");
  Move.set_to_version("v2");
  Move.set_start_unix_ms(unixMillis(StartTime));
  Move.set_due_unix_ms(unixMillis(StartTime + MoveDuration));
  Move.set_bake_ms(BakeTime.count());
  return Move;
}

/// A policy that controls a move.
template <typename T>
concept Policy = requires(const T &TestedPolicy, const EvidenceTable &Evidence,
                          const MoveProgress &Progress, WallTime Now) {
  {
    TestedPolicy.decide(Evidence, Progress, AmpleCapacity, Now)
    } -> std::same_as<MoveDecision>;
  { TestedPolicy.share(Progress, Now) } -> std::same_as<std::uint32_t>;
};

/// Baseline: follows the schedule regardless of the evidence.
class ScheduleOnlyPolicy {
public:
  MoveDecision decide(const EvidenceTable &, const MoveProgress &Progress,
                      const VersionCapacity &, WallTime Now) const {
    if (Progress.Step + 1 < StepSharesPermille.size())
      return Now >= this->Schedule.plannedStart(Progress.Step + 1)
                 ? MoveDecision{MoveDecision::Kind::Advance, "", ""}
                 : MoveDecision{};
    return Now >= Progress.StepEnteredAt + BakeTime
               ? MoveDecision{MoveDecision::Kind::Finish, "", ""}
               : MoveDecision{};
  }
  std::uint32_t share(const MoveProgress &Progress, WallTime Now) const {
    return this->Schedule.share(Progress, Now);
  }

private:
  MovePolicy Schedule = MovePolicy::Builder(makeMove()).build();
};

/// Baseline: follows the schedule, but rolls back if the new version's rate of
/// failed or of slow calls in a sliding window exceeds a fixed threshold.
class FixedThresholdPolicy {
public:
  MoveDecision decide(const EvidenceTable &Evidence,
                      const MoveProgress &Progress,
                      const VersionCapacity &Capacity, WallTime Now) const {
    constexpr std::size_t WindowSpanCount = 6;
    constexpr double MinCallsToRollBack = 20;
    constexpr double RollBackErrorRate = 0.05;
    // Calls in this and higher buckets take more than about 90 ms.
    constexpr std::size_t FirstSlowBucket = 15;
    constexpr double RollBackSlowRate = 0.2;
    double Calls = 0;
    double Errors = 0;
    double SlowCalls = 0;
    for (const auto &[Route, Spans] : Evidence.byRoute())
      for (std::size_t I =
               Spans.size() - std::min(WindowSpanCount, Spans.size());
           I < Spans.size(); ++I) {
        Calls += Spans[I].New.Calls;
        Errors += Spans[I].New.Errors;
        for (std::size_t Bucket = FirstSlowBucket; Bucket < LatencyBucketCount;
             ++Bucket)
          SlowCalls += Spans[I].New.Latency[Bucket];
      }
    if (Calls >= MinCallsToRollBack && (Errors > RollBackErrorRate * Calls ||
                                        SlowCalls > RollBackSlowRate * Calls))
      return {MoveDecision::Kind::RollBack, "", ""};
    return this->Schedule.decide(Evidence, Progress, Capacity, Now);
  }
  std::uint32_t share(const MoveProgress &Progress, WallTime Now) const {
    return this->Schedule.share(Progress, Now);
  }

private:
  ScheduleOnlyPolicy Schedule;
};

/// Result of one simulated move. Times are counted from its start.
struct RunResult {
  double Calls = 0;
  double NewVersionCalls = 0;
  /// Calls that failed for the caller, after a retry if there was one.
  double CallerFailures = 0;
  /// First call that failed or was slow by the fault of the new version.
  std::optional<Millis> FirstFailureTime;
  std::optional<Millis> LastNewVersionCallTime;
  bool RolledBack = false;
  /// Whether the move finished, and did so by the time it was due.
  bool FinishedOnTime = false;
};

/// Applies `Decision` to the progress of the move. Returns false if it ends the
/// move.
template <Policy P>
bool applyDecision(const MoveDecision &Decision, WallTime Now,
                   MoveProgress *Progress, RunResult *Result) {
  switch (Decision.Action) {
  case MoveDecision::Kind::Hold:
    break;
  case MoveDecision::Kind::Advance:
    ++Progress->Step;
    Progress->StepEnteredAt = Now;
    break;
  case MoveDecision::Kind::Retreat:
    Progress->RetreatUntil = Now + RetreatDuration;
    break;
  case MoveDecision::Kind::RollBack:
    Result->RolledBack = true;
    return false;
  case MoveDecision::Kind::Finish:
    Result->FinishedOnTime = Now <= StartTime + MoveDuration;
    return false;
  }
  return true;
}

template <Policy P>
RunResult simulateMove(const P &TestedPolicy, FaultScenario Scenario,
                       std::uint64_t Seed, bool ConcentrateCalls) {
  FakeService Upstreams(Scenario, Seed, MoveDuration, ConcentrateCalls);
  EvidenceTable Evidence("bench", "node", 1);
  MoveProgress Progress;
  Progress.StepEnteredAt = StartTime;
  RunResult Result;
  Millis NextDecision{0};
  // Time at which the end of the move takes effect. Until then, calls are still
  // split by the share that was in effect before.
  std::optional<Millis> EndTime;
  for (Millis Elapsed{0}; Elapsed < MoveDuration;
       Elapsed += Upstreams.nextInterarrivalTime()) {
    while (!EndTime && NextDecision <= Elapsed) {
      const WallTime Now = StartTime + NextDecision;
      const MoveDecision Decision =
          TestedPolicy.decide(Evidence, Progress, AmpleCapacity, Now);
      if (!applyDecision<P>(Decision, Now, &Progress, &Result))
        EndTime = NextDecision + PropagationDelay;
      NextDecision += DecisionInterval;
    }
    // Once the end of the move is in effect, the new version gets all calls, or
    // none if it was rolled back.
    const bool EndInEffect = EndTime && Elapsed >= *EndTime;
    const std::uint32_t Share =
        EndInEffect ? (Result.RolledBack ? 0 : 1000)
                    : TestedPolicy.share(Progress, StartTime + Elapsed);
    const FakeCall Call = Upstreams.call(Share, Elapsed);
    Result.Calls += 1;
    Result.CallerFailures += Call.FailedForCaller ? 1 : 0;
    if (Call.Result.ToNewVersion) {
      Result.NewVersionCalls += 1;
      Result.LastNewVersionCallTime = Elapsed;
      if (Call.NewVersionAtFault && !Result.FirstFailureTime)
        Result.FirstFailureTime = Elapsed;
    }
    if (Call.CountsAsEvidence)
      Evidence.count(Call.Result, StartTime + Elapsed);
  }
  return Result;
}

/// Returns the value at the quantile `Fraction` (0 to 1), rounded down to the
/// next smaller value; 0 if `Values` is empty.
double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(
      Fraction * static_cast<double>(Values.size() - 1));
  return Values[Index];
}

nlohmann::ordered_json summarise(const std::string &PolicyName,
                                 FaultScenario Scenario,
                                 const std::vector<RunResult> &Results) {
  std::vector<double> NewVersionShares;
  std::vector<double> CallerFailureRates;
  std::vector<double> SecondsToLastCall;
  double RolledBackRuns = 0;
  double OnTimeRuns = 0;
  for (const RunResult &Result : Results) {
    NewVersionShares.push_back(Result.NewVersionCalls /
                               std::max(1.0, Result.Calls));
    CallerFailureRates.push_back(Result.CallerFailures /
                                 std::max(1.0, Result.Calls));
    RolledBackRuns += Result.RolledBack ? 1 : 0;
    OnTimeRuns += Result.FinishedOnTime ? 1 : 0;
    if (Result.RolledBack && Result.FirstFailureTime &&
        Result.LastNewVersionCallTime)
      SecondsToLastCall.push_back(
          std::chrono::duration<double>(*Result.LastNewVersionCallTime -
                                        *Result.FirstFailureTime)
              .count());
  }
  const auto RunCount = static_cast<double>(Results.size());
  nlohmann::ordered_json Line;
  Line["policy"] = PolicyName;
  Line["condition"] = scenarioName(Scenario);
  Line["bad"] = newVersionAtFault(Scenario);
  Line["runs"] = Results.size();
  Line["taken_back"] = RolledBackRuns / RunCount;
  Line["on_time"] = OnTimeRuns / RunCount;
  Line["new_share_median"] = quantile(NewVersionShares, 0.5);
  Line["caller_failures_median"] = quantile(CallerFailureRates, 0.5);
  Line["caller_failures_max"] = quantile(CallerFailureRates, 1);
  Line["first_failure_to_last_call_s_median"] =
      quantile(SecondsToLastCall, 0.5);
  Line["first_failure_to_last_call_s_max"] = quantile(SecondsToLastCall, 1);
  return Line;
}

template <Policy P>
void measureScenario(const std::string &PolicyName, const P &TestedPolicy,
                     FaultScenario Scenario, std::size_t RunCount,
                     std::uint64_t FirstSeed, bool ConcentrateCalls = true) {
  std::vector<RunResult> Results(RunCount);
  std::atomic<std::size_t> NextRun = 0;
  std::vector<std::thread> Workers;
  for (unsigned I = 0; I < std::thread::hardware_concurrency(); ++I)
    Workers.emplace_back([&] {
      for (std::size_t Run = NextRun++; Run < RunCount; Run = NextRun++)
        Results[Run] = simulateMove(TestedPolicy, Scenario, FirstSeed + Run,
                                    ConcentrateCalls);
    });
  for (std::thread &Worker : Workers)
    Worker.join();
  std::cout << summarise(PolicyName, Scenario, Results).dump() << std::endl;
}

template <Policy P>
void measureAllScenarios(const std::string &PolicyName, const P &TestedPolicy,
                         std::size_t RunCount, std::uint64_t FirstSeed) {
  for (std::size_t Index = 0; Index < ScenarioCount; ++Index)
    measureScenario(PolicyName, TestedPolicy, static_cast<FaultScenario>(Index),
                    RunCount, FirstSeed);
}

} // namespace
} // namespace persimmonquay::testing

int main(int ArgumentCount, char **Arguments) {
  using namespace persimmonquay;
  using namespace persimmonquay::testing;
  if (ArgumentCount != 3) {
    std::cerr << "usage: move_bench RUNS FIRST_SEED\n";
    return 2;
  }
  const std::size_t RunCount = std::stoul(Arguments[1]);
  const std::uint64_t FirstSeed = std::stoull(Arguments[2]);
  measureAllScenarios("sequential test",
                      MovePolicy::Builder(makeMove()).build(), RunCount,
                      FirstSeed);
  measureScenario("sequential test, calls spread over all new upstreams",
                  MovePolicy::Builder(makeMove()).build(),
                  FaultScenario::FailsUnderLoad, RunCount, FirstSeed, false);
  measureAllScenarios("schedule only", ScheduleOnlyPolicy(), RunCount,
                      FirstSeed);
  measureAllScenarios("fixed threshold", FixedThresholdPolicy(), RunCount,
                      FirstSeed);
  return 0;
}
