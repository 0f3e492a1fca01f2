#include "persimmonquay/move/evidence_table.h"
#include "persimmonquay/move/harm_evidence.h"
#include "persimmonquay/move/latency_buckets.h"
#include "persimmonquay/move/move_policy.h"
#include "proto/configuration.pb.h"
#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <vector>

namespace persimmonquay {
namespace {

constexpr WallTime Start{Millis(1'700'000'000'000)};
constexpr VersionCapacity EnoughSlots{36, 36};
using Kind = MoveDecision::Kind;

proto::Move testMove() {
  proto::Move Move;
  Move.set_name("m");
  Move.set_from_version("v1");
  Move.set_to_version("v2");
  Move.set_start_unix_ms(unixMillis(Start));
  Move.set_due_unix_ms(unixMillis(Start + std::chrono::minutes(10)));
  Move.set_bake_ms(Millis(std::chrono::minutes(2)).count());
  return Move;
}

CallResult call(bool ToNew, bool Failed, Millis Latency = Millis(10)) {
  CallResult Result;
  Result.Route = "r";
  Result.ToNewVersion = ToNew;
  Result.Failed = Failed;
  Result.Latency = Latency;
  return Result;
}

/// Counts calls of both versions at `Now`, the first ones as errors.
void countCalls(EvidenceTable *Evidence, WallTime Now, int OldCalls,
                int OldErrors, int NewCalls, int NewErrors) {
  for (int I = 0; I < OldCalls; ++I)
    Evidence->count(call(false, I < OldErrors), Now);
  for (int I = 0; I < NewCalls; ++I)
    Evidence->count(call(true, I < NewErrors), Now);
}

MoveProgress progressAt(std::size_t Step, WallTime EnteredAt) {
  MoveProgress Progress;
  Progress.Step = Step;
  Progress.StepEnteredAt = EnteredAt;
  return Progress;
}

TEST_CASE("latency buckets grow and cover all latencies") {
  std::size_t PreviousBucket = 0;
  for (std::int64_t Micros = 1; Micros < 100'000'000; Micros *= 2) {
    const std::size_t Bucket = latencyBucket(std::chrono::microseconds(Micros));
    CHECK(Bucket >= PreviousBucket);
    CHECK(Bucket < LatencyBucketCount);
    PreviousBucket = Bucket;
  }
  CHECK(latencyBucket(std::chrono::microseconds(0)) == 0);
  CHECK(PreviousBucket == LatencyBucketCount - 1);
}

TEST_CASE("the quantile bucket without calls is the last one") {
  const std::vector<double> None(LatencyBucketCount, 0.0);
  CHECK(quantileBucket(None, 0.9) == LatencyBucketCount - 1);
  std::vector<double> Some(LatencyBucketCount, 0.0);
  Some[3] = 9;
  Some[7] = 1;
  CHECK(quantileBucket(Some, 0.9) == 3);
  CHECK(quantileBucket(Some, 0.95) == 7);
}

TEST_CASE("calls of a few milliseconds are never slow") {
  std::vector<double> Counts(LatencyBucketCount, 0.0);
  Counts[latencyBucket(std::chrono::microseconds(300))] = 100;
  CHECK(firstSlowBucket(Counts, 0.98) >
        latencyBucket(std::chrono::microseconds(3000)));
  CHECK(firstSlowBucket(Counts, 0.98) <=
        latencyBucket(std::chrono::microseconds(8000)));
  Counts[latencyBucket(std::chrono::milliseconds(50))] = 100;
  CHECK(firstSlowBucket(Counts, 0.98) ==
        latencyBucket(std::chrono::milliseconds(50)) + 1);
}

TEST_CASE("evidence merged twice, late or out of order is counted once") {
  EvidenceTable Sender("m", "a", 1);
  EvidenceTable Receiver("m", "b", 1);
  std::vector<proto::EvidenceCell> Sent;
  for (int I = 0; I < 5; ++I) {
    Sender.count(call(true, I % 2 == 0), Start);
    for (const proto::EvidenceCell &Cell : Sender.ownCells(Start, 0))
      Sent.push_back(Cell);
  }
  std::mt19937 Random(1);
  for (int Round = 0; Round < 5; ++Round) {
    std::shuffle(Sent.begin(), Sent.end(), Random);
    for (const proto::EvidenceCell &Cell : Sent)
      Receiver.merge(Cell, Start);
  }
  CHECK(Receiver.newVersionTotals().Calls == 5);
  CHECK(Receiver.newVersionTotals().Errors == 3);
}

TEST_CASE("counts of a restarted node are added to those before the restart") {
  EvidenceTable Before("m", "a", 1);
  EvidenceTable After("m", "a", 2);
  EvidenceTable Receiver("m", "b", 1);
  for (EvidenceTable *Table : {&Before, &After}) {
    countCalls(Table, Start, 0, 0, 10, 0);
    for (const proto::EvidenceCell &Cell : Table->ownCells(Start, 0))
      Receiver.merge(Cell, Start);
  }
  CHECK(Receiver.newVersionTotals().Calls == 20);
}

TEST_CASE("compacting old spans keeps the counts and the verdict") {
  EvidenceTable Full("m", "a", 1);
  EvidenceTable Compacted("m", "a", 1);
  const WallTime End = Start + std::chrono::hours(3);
  for (WallTime Now = Start; Now < End; Now += std::chrono::minutes(1))
    for (EvidenceTable *Table : {&Full, &Compacted})
      countCalls(Table, Now, 20, 1, 5, 1);
  Compacted.compact(End);
  CHECK(Compacted.byRoute().at("r").size() < Full.byRoute().at("r").size() + 1);
  CHECK(Compacted.newVersionTotals().Calls == Full.newVersionTotals().Calls);
  CHECK(Compacted.newVersionTotals().Errors == Full.newVersionTotals().Errors);
  CHECK(Compacted.newVersionCallsSince(Start) ==
        Full.newVersionCallsSince(Start));
  const double Before =
      errorEvidence(Full.byRoute().at("r"), HarmLimits(), 2000).logHarm();
  const double After =
      errorEvidence(Compacted.byRoute().at("r"), HarmLimits(), 2000).logHarm();
  CHECK(After == doctest::Approx(Before).epsilon(0.01));
}

TEST_CASE(
    "evidence of another move, of the same node or of another day is ignored") {
  EvidenceTable Receiver("m", "b", 1);
  EvidenceTable Other("n", "a", 1);
  EvidenceTable Own("m", "b", 2);
  EvidenceTable Late("m", "a", 1);
  for (EvidenceTable *Table : {&Other, &Own, &Late}) {
    const WallTime Time =
        Table == &Late ? Start - std::chrono::hours(24) : Start;
    countCalls(Table, Time, 0, 0, 1, 0);
    for (const proto::EvidenceCell &Cell : Table->ownCells(Time, 0))
      CHECK_FALSE(Receiver.merge(Cell, Start));
  }
}

/// Returns the fraction of `Runs` simulations of 100 spans in which the e-value
/// reaches 1/`Alpha`, checked after every span.
double alarmRate(double OldRate, double NewRate, double Alpha, int Runs) {
  int Alarms = 0;
  for (int Run = 0; Run < Runs; ++Run) {
    std::mt19937_64 Random(static_cast<std::uint64_t>(Run) + 1);
    std::vector<SpanCounts> Spans;
    bool Alarm = false;
    for (int Span = 0; Span < 100; ++Span) {
      SpanCounts Counts;
      Counts.Span = Span;
      Counts.Old.Calls = 200;
      Counts.New.Calls = 20;
      Counts.Old.Errors = std::binomial_distribution<>(200, OldRate)(Random);
      Counts.New.Errors = std::binomial_distribution<>(20, NewRate)(Random);
      Spans.push_back(Counts);
      Alarm |=
          errorEvidence(Spans, HarmLimits(), 100).logHarm() >= -std::log(Alpha);
    }
    Alarms += Alarm ? 1 : 0;
  }
  return Alarms / static_cast<double>(Runs);
}

TEST_CASE(
    "the false alarm rate holds even if the test is checked after every span") {
  constexpr double Alpha = 0.02;
  constexpr int Runs = 300;
  CHECK(alarmRate(0.001, 0.001, Alpha, Runs) <= Alpha);
  // At the limits of the tolerated absolute rate and of the tolerated ratio.
  CHECK(alarmRate(0.0, 0.005, Alpha, Runs) <= Alpha);
  CHECK(alarmRate(0.05, 0.075, Alpha, Runs) <= Alpha);
}

TEST_CASE("a version that fails ten times as often is always detected") {
  CHECK(alarmRate(0.01, 0.1, 0.001, 100) == 1.0);
}

TEST_CASE("harm that begins late is detected within one span") {
  std::vector<SpanCounts> Spans(100);
  for (SpanCounts &Span : Spans) {
    Span.Old.Calls = 200;
    Span.New.Calls = 20;
  }
  CHECK(errorEvidence(Spans, HarmLimits(), 101).logHarm() < 0.1);
  SpanCounts Failing;
  Failing.Old.Calls = 200;
  Failing.New.Calls = 20;
  Failing.New.Errors = 10;
  Spans.push_back(Failing);
  CHECK(errorEvidence(Spans, HarmLimits(), 101).logHarm() > std::log(1000));
}

TEST_CASE(
    "slow calls are evidence only if the old version's calls are faster") {
  std::vector<SpanCounts> Spans(5);
  for (SpanCounts &Span : Spans) {
    Span.Old.Latency[5] = 100;
    Span.New.Latency[9] = 20;
  }
  CHECK(latencyEvidence(Spans, HarmLimits(), 10).logHarm() > std::log(1000));
  for (SpanCounts &Span : Spans)
    Span.Old.Latency[5] = 0, Span.Old.Latency[9] = 100;
  CHECK(latencyEvidence(Spans, HarmLimits(), 10).logHarm() < 1);
}

TEST_CASE("the share follows the steps and is zero before the start") {
  const MovePolicy Policy = MovePolicy::Builder(testMove()).build();
  CHECK(Policy.share(progressAt(0, Start), Start - Millis(1)) == 0);
  for (std::size_t Step = 0; Step < StepSharesPermille.size(); ++Step)
    CHECK(Policy.share(progressAt(Step, Start), Start) ==
          StepSharesPermille[Step]);
}

TEST_CASE("a rolled back version gets no calls and stays rolled back") {
  const MovePolicy Policy = MovePolicy::Builder(testMove()).build();
  EvidenceTable Evidence("m", "a", 1);
  MoveProgress Progress = progressAt(5, Start);
  Progress.RolledBack = true;
  CHECK(Policy.share(Progress, Start + Millis(1)) == 0);
  CHECK(Policy
            .decide(Evidence, Progress, EnoughSlots,
                    Start + std::chrono::minutes(9))
            .Action == Kind::Hold);
}

TEST_CASE("a good version advances on schedule and finishes in time") {
  const MovePolicy Policy = MovePolicy::Builder(testMove()).build();
  EvidenceTable Evidence("m", "a", 1);
  MoveProgress Progress = progressAt(0, Start);
  WallTime Now = Start;
  Kind LastAction = Kind::Hold;
  for (; LastAction != Kind::Finish && Now < Start + std::chrono::minutes(20);
       Now += Millis(1000)) {
    countCalls(&Evidence, Now, 20, 0, 5, 0);
    LastAction = Policy.decide(Evidence, Progress, EnoughSlots, Now).Action;
    if (LastAction == Kind::Advance) {
      CHECK(Now >= Policy.plannedStart(Progress.Step + 1));
      Progress = progressAt(Progress.Step + 1, Now);
    }
  }
  CHECK(LastAction == Kind::Finish);
  CHECK(Now <= Start + std::chrono::minutes(10));
}

TEST_CASE("a service without any calls still finishes in time") {
  const MovePolicy Policy = MovePolicy::Builder(testMove()).build();
  const EvidenceTable Evidence("m", "a", 1);
  MoveProgress Progress = progressAt(0, Start);
  Kind LastAction = Kind::Hold;
  WallTime Now = Start;
  for (; LastAction != Kind::Finish && Now < Start + std::chrono::minutes(20);
       Now += Millis(1000)) {
    LastAction = Policy.decide(Evidence, Progress, EnoughSlots, Now).Action;
    if (LastAction == Kind::Advance)
      Progress = progressAt(Progress.Step + 1, Now);
  }
  CHECK(Now <= Start + std::chrono::minutes(10));
}

TEST_CASE("a failing version is rolled back, and the reason names the route") {
  const MovePolicy Policy = MovePolicy::Builder(testMove()).build();
  EvidenceTable Evidence("m", "a", 1);
  countCalls(&Evidence, Start, 200, 0, 10, 10);
  const MoveDecision Decision = Policy.decide(Evidence, progressAt(0, Start),
                                              EnoughSlots, Start + Millis(10));
  CHECK(Decision.Action == Kind::RollBack);
  CHECK(Decision.Reason.find("route \"r\"") != std::string::npos);
}

TEST_CASE("a version is not rolled back if both versions fail alike") {
  const MovePolicy Policy = MovePolicy::Builder(testMove()).build();
  EvidenceTable Evidence("m", "a", 1);
  for (int Span = 0; Span < 12; ++Span) {
    const WallTime Now = Start + Span * EvidenceSpanLength;
    countCalls(&Evidence, Now, 200, 160, 20, 16);
    CHECK(Policy.decide(Evidence, progressAt(1, Start), EnoughSlots, Now)
              .Action != Kind::RollBack);
  }
}

TEST_CASE(
    "failures at a larger share make the move retreat before they are proven") {
  const MovePolicy Policy = MovePolicy::Builder(testMove()).build();
  EvidenceTable Evidence("m", "a", 1);
  countCalls(&Evidence, Start, 2, 0, 18, 4);
  MoveProgress Progress = progressAt(5, Start);
  const WallTime Now = Start + Millis(100);
  CHECK(Policy.decide(Evidence, Progress, EnoughSlots, Now).Action ==
        Kind::Retreat);
  Progress.RetreatUntil = Now + RetreatDuration;
  CHECK(Policy.share(Progress, Now) == StepSharesPermille.front());
  CHECK(Policy.share(Progress, Now + RetreatDuration) ==
        StepSharesPermille.back());
}

TEST_CASE("the share waits for the new version's slots, with a warning if it "
          "is late") {
  const MovePolicy Policy = MovePolicy::Builder(testMove()).build();
  const EvidenceTable Evidence("m", "a", 1);
  const WallTime Late = Policy.plannedStart(5) + std::chrono::minutes(1);
  const MoveDecision Decision = Policy.decide(Evidence, progressAt(4, Start),
                                              VersionCapacity{36, 18}, Late);
  CHECK(Decision.Action == Kind::Hold);
  CHECK(Decision.Warning.find("can't finish in time") != std::string::npos);
}

} // namespace
} // namespace persimmonquay
