// Measures the move policy and two baselines against the fake service.
// Usage: move_bench RUNS FIRST_SEED
// Prints one JSON line for each policy and condition.
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

constexpr Millis MoveTime = std::chrono::minutes(10);
constexpr Millis BakeTime = std::chrono::minutes(2);
constexpr Millis DecisionInterval{250};
/// Time from a decision to its effect everywhere.
constexpr Millis SpreadTime{100};
constexpr WallTime Start{Millis(1'700'000'000'000)};
constexpr VersionCapacity EnoughSlots{36, 36};

proto::Move benchMove() {
  proto::Move Move;
  Move.set_name("bench");
  Move.set_service("gallery");
  Move.set_from_version("v1");
  Move.set_to_version("v2");
  Move.set_start_unix_ms(unixMillis(Start));
  Move.set_due_unix_ms(unixMillis(Start + MoveTime));
  Move.set_bake_ms(BakeTime.count());
  return Move;
}

/// A policy that decides about a move.
template <typename T>
concept Policy = requires(const T &Decider, const EvidenceTable &Evidence,
                          const MoveProgress &Progress, WallTime Now) {
  {
    Decider.decide(Evidence, Progress, EnoughSlots, Now)
    } -> std::same_as<MoveDecision>;
  { Decider.share(Progress, Now) } -> std::same_as<std::uint32_t>;
};

/// Baseline: follows the schedule, whatever happens.
class ScheduleOnly {
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
  MovePolicy Schedule = MovePolicy::Builder(benchMove()).build();
};

/// Baseline: the schedule, and taking back when more than a fixed part of the
/// new version's calls failed or were slow in a sliding window.
class FixedThreshold {
public:
  MoveDecision decide(const EvidenceTable &Evidence,
                      const MoveProgress &Progress,
                      const VersionCapacity &Capacity, WallTime Now) const {
    constexpr std::size_t WindowSpans = 6;
    constexpr double MinCalls = 20;
    constexpr double MaxErrors = 0.05;
    constexpr std::size_t SlowBucket = 15; // Slower than about 90 ms.
    constexpr double MaxSlow = 0.2;
    double Calls = 0;
    double Errors = 0;
    double Slow = 0;
    for (const auto &[Route, Spans] : Evidence.byRoute())
      for (std::size_t I = Spans.size() - std::min(WindowSpans, Spans.size());
           I < Spans.size(); ++I) {
        Calls += Spans[I].New.Calls;
        Errors += Spans[I].New.Errors;
        for (std::size_t B = SlowBucket; B < LatencyBucketCount; ++B)
          Slow += Spans[I].New.Latency[B];
      }
    if (Calls >= MinCalls &&
        (Errors > MaxErrors * Calls || Slow > MaxSlow * Calls))
      return {MoveDecision::Kind::RollBack, "", ""};
    return this->Schedule.decide(Evidence, Progress, Capacity, Now);
  }
  std::uint32_t share(const MoveProgress &Progress, WallTime Now) const {
    return this->Schedule.share(Progress, Now);
  }

private:
  ScheduleOnly Schedule;
};

/// What one run came to.
struct RunResult {
  double Calls = 0;
  double NewCalls = 0;
  double CallerFailures = 0;
  std::optional<Millis> FirstFailureAt;
  std::optional<Millis> LastNewCallAt;
  bool TakenBack = false;
  bool OnTime = false;
};

/// Applies a decision; returns false when the move has ended.
template <Policy P>
bool apply(const MoveDecision &Decision, WallTime Now, MoveProgress *Progress,
           RunResult *Result) {
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
    Result->TakenBack = true;
    return false;
  case MoveDecision::Kind::Finish:
    Result->OnTime = Now <= Start + MoveTime;
    return false;
  }
  return true;
}

template <Policy P>
RunResult runOnce(const P &Decider, Condition Wrong, std::uint64_t Seed,
                  bool Concentrated) {
  FakeService Service(Wrong, Seed, MoveTime, Concentrated);
  EvidenceTable Evidence("bench", "node", 1);
  MoveProgress Progress;
  Progress.StepEnteredAt = Start;
  RunResult Result;
  Millis NextDecision{0};
  // Calls are served at the share that was in force a little earlier.
  std::optional<Millis> EndsAt;
  for (Millis At{0}; At < MoveTime; At += Service.nextGap()) {
    while (!EndsAt && NextDecision <= At) {
      const WallTime Now = Start + NextDecision;
      const MoveDecision Decision =
          Decider.decide(Evidence, Progress, EnoughSlots, Now);
      if (!apply<P>(Decision, Now, &Progress, &Result))
        EndsAt = NextDecision + SpreadTime;
      NextDecision += DecisionInterval;
    }
    // After its end a move is either in full force or takes nothing.
    const bool Over = EndsAt && At >= *EndsAt;
    const std::uint32_t Share = Over ? (Result.TakenBack ? 0 : 1000)
                                     : Decider.share(Progress, Start + At);
    const FakeCall Call = Service.call(Share, At);
    Result.Calls += 1;
    Result.CallerFailures += Call.CallerFailed ? 1 : 0;
    if (Call.Evidence.ToNewVersion) {
      Result.NewCalls += 1;
      Result.LastNewCallAt = At;
      if (Call.OwnFault && !Result.FirstFailureAt)
        Result.FirstFailureAt = At;
    }
    if (Call.Counts)
      Evidence.count(Call.Evidence, Start + At);
  }
  return Result;
}

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(
      Fraction * static_cast<double>(Values.size() - 1));
  return Values[Index];
}

nlohmann::ordered_json summarise(const std::string &Policy, Condition Wrong,
                                 const std::vector<RunResult> &Runs) {
  std::vector<double> Share;
  std::vector<double> Failed;
  std::vector<double> Seconds;
  double TakenBack = 0;
  double OnTime = 0;
  for (const RunResult &Run : Runs) {
    Share.push_back(Run.NewCalls / std::max(1.0, Run.Calls));
    Failed.push_back(Run.CallerFailures / std::max(1.0, Run.Calls));
    TakenBack += Run.TakenBack ? 1 : 0;
    OnTime += Run.OnTime ? 1 : 0;
    if (Run.TakenBack && Run.FirstFailureAt && Run.LastNewCallAt)
      Seconds.push_back(std::chrono::duration<double>(*Run.LastNewCallAt -
                                                      *Run.FirstFailureAt)
                            .count());
  }
  const auto Count = static_cast<double>(Runs.size());
  nlohmann::ordered_json Line;
  Line["policy"] = Policy;
  Line["condition"] = conditionName(Wrong);
  Line["bad"] = isBad(Wrong);
  Line["runs"] = Runs.size();
  Line["taken_back"] = TakenBack / Count;
  Line["on_time"] = OnTime / Count;
  Line["new_share_median"] = quantile(Share, 0.5);
  Line["caller_failures_median"] = quantile(Failed, 0.5);
  Line["caller_failures_max"] = quantile(Failed, 1);
  Line["first_failure_to_last_call_s_median"] = quantile(Seconds, 0.5);
  Line["first_failure_to_last_call_s_max"] = quantile(Seconds, 1);
  return Line;
}

template <Policy P>
void measureOne(const std::string &Name, const P &Decider, Condition Wrong,
                std::size_t Runs, std::uint64_t FirstSeed,
                bool Concentrated = true) {
  std::vector<RunResult> Results(Runs);
  std::atomic<std::size_t> Next = 0;
  std::vector<std::thread> Workers;
  for (unsigned I = 0; I < std::thread::hardware_concurrency(); ++I)
    Workers.emplace_back([&] {
      for (std::size_t Run = Next++; Run < Runs; Run = Next++)
        Results[Run] = runOnce(Decider, Wrong, FirstSeed + Run, Concentrated);
    });
  for (std::thread &Worker : Workers)
    Worker.join();
  std::cout << summarise(Name, Wrong, Results).dump() << std::endl;
}

template <Policy P>
void measure(const std::string &Name, const P &Decider, std::size_t Runs,
             std::uint64_t FirstSeed) {
  for (std::size_t Kind = 0; Kind < ConditionCount; ++Kind)
    measureOne(Name, Decider, static_cast<Condition>(Kind), Runs, FirstSeed);
}

} // namespace
} // namespace persimmonquay::testing

int main(int Count, char **Words) {
  using namespace persimmonquay;
  using namespace persimmonquay::testing;
  if (Count != 3) {
    std::cerr << "usage: move_bench RUNS FIRST_SEED\n";
    return 2;
  }
  const std::size_t Runs = std::stoul(Words[1]);
  const std::uint64_t FirstSeed = std::stoull(Words[2]);
  measure("sequential test", MovePolicy::Builder(benchMove()).build(), Runs,
          FirstSeed);
  measureOne("sequential test, calls spread over all new upstreams",
             MovePolicy::Builder(benchMove()).build(),
             Condition::FailsUnderLoad, Runs, FirstSeed, false);
  measure("schedule only", ScheduleOnly(), Runs, FirstSeed);
  measure("fixed threshold", FixedThreshold(), Runs, FirstSeed);
  return 0;
}
