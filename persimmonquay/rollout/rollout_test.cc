#include "persimmonquay/rollout/rollout_evidence.h"
#include "persimmonquay/rollout/rollout_policy.h"
#include "persimmonquay/rollout/rollout_table.h"
#include <doctest/doctest.h>
#include <functional>
#include <random>

namespace persimmonquay {
namespace {

proto::RolloutProgress progressOf(std::uint64_t Number,
                                  const std::string &Version,
                                  proto::RolloutState State,
                                  std::uint32_t Share, std::uint64_t Sequence) {
  proto::RolloutProgress Result;
  Result.mutable_order()->set_service("gallery");
  Result.mutable_order()->set_target_version(Version);
  Result.mutable_order()->set_number(Number);
  Result.set_state(State);
  Result.set_share_permille(Share);
  Result.set_sequence(Sequence);
  return Result;
}

TEST_CASE("a service without orders may use every version") {
  RolloutTable Book;
  CHECK(Book.chooseVersions("gallery").allows("v1"));
  CHECK(Book.chooseVersions("gallery").allows("v2"));
}

TEST_CASE("a running order's version gets its share and nothing else") {
  RolloutTable Book;
  Book.merge(progressOf(1, "v2", proto::RUNNING, 70, 1));
  int Target = 0;
  for (int Call = 0; Call < 1000; ++Call) {
    const VersionFilter Choice = Book.chooseVersions("gallery");
    CHECK(Choice.allows("v1") != Choice.allows("v2"));
    Target += Choice.allows("v2") ? 1 : 0;
  }
  CHECK(Target == 70);
}

TEST_CASE("an order that nobody drives yet gives its version nothing") {
  RolloutTable Book;
  Book.merge(progressOf(1, "v2", proto::RUNNING, 0, 0));
  for (int Call = 0; Call < 100; ++Call)
    CHECK_FALSE(Book.chooseVersions("gallery").allows("v2"));
}

TEST_CASE("an end is final, whatever older copies say") {
  RolloutTable Book;
  CHECK(Book.merge(progressOf(1, "v2", proto::ROLLED_BACK, 0, 4)));
  CHECK_FALSE(Book.merge(progressOf(1, "v2", proto::RUNNING, 700, 9)));
  CHECK_FALSE(Book.merge(progressOf(1, "v2", proto::COMPLETED, 1000, 9)));
  CHECK_FALSE(Book.chooseVersions("gallery").allows("v2"));
}

TEST_CASE("a completed version takes all calls; a bad later one none") {
  RolloutTable Book;
  Book.merge(progressOf(1, "v2", proto::COMPLETED, 1000, 4));
  Book.merge(progressOf(5, "v3", proto::ROLLED_BACK, 0, 4));
  const VersionFilter Choice = Book.chooseVersions("gallery");
  CHECK(Choice.allows("v2"));
  CHECK_FALSE(Choice.allows("v1"));
  CHECK_FALSE(Choice.allows("v3"));
}

/// Counts calls of both versions as the nodes beside them would, and asks the
/// policy every quarter of a second, as the driver does.
class SimulatedRollout {
public:
  /// Returns whether a call is bad and how long it takes, by the time since
  /// the order and the target's share of the calls (0 to 1).
  using Behaviour =
      std::function<std::pair<bool, Micros>(double Seconds, double Share)>;

  struct Result {
    RolloutDecision::Kind End = RolloutDecision::Kind::Hold;
    double TargetCalls = 0;
    double AllCalls = 0;
    double EndedAt = 0;
  };

  static Result play(const Behaviour &Old, const Behaviour &New,
                     double CallsPerSecond, std::uint64_t Seed) {
    constexpr double Duration = 15;
    constexpr double Step = 0.25;
    std::mt19937_64 Random(Seed);
    RolloutEvidence Evidence("v2");
    proto::RolloutTally Tallies[2];
    for (int I = 0; I < 2; ++I) {
      Tallies[I].set_version(I == 0 ? "v1" : "v2");
      Tallies[I].set_node(I == 0 ? "a" : "b");
      Tallies[I].set_route("views");
      for (std::size_t B = 0; B < LatencyBucketCount; ++B)
        Tallies[I].add_latency(0);
    }
    Evidence.merge(Tallies[0]);
    Result Played;
    std::uint32_t Share = 0;
    std::uint32_t Fallbacks = 0;
    double ShareSince = 0;
    std::bernoulli_distribution Chosen(0.0);
    for (double Now = Step; Now < Duration; Now += Step) {
      for (int Call = 0; Call < CallsPerSecond * Step; ++Call) {
        const bool Target = std::bernoulli_distribution(Share / 1000.0)(Random);
        const auto [Bad, Taken] = (Target ? New : Old)(Now, Share / 1000.0);
        proto::RolloutTally &Tally = Tallies[Target ? 1 : 0];
        Tally.set_calls(Tally.calls() + 1);
        if (Bad) {
          Tally.set_failures(Tally.failures() + 1);
        } else {
          const int Bucket = static_cast<int>(latencyBucket(Taken));
          Tally.set_latency(Bucket, Tally.latency(Bucket) + 1);
        }
        Played.AllCalls += 1;
        Played.TargetCalls += Target ? 1 : 0;
      }
      Evidence.merge(Tallies[0]);
      Evidence.merge(Tallies[1]);
      Evidence.closeSpan();
      RolloutSituation Situation;
      Situation.Elapsed = Millis(static_cast<int>(Now * 1000));
      Situation.Duration = Millis(15000);
      Situation.SharePermille = Share;
      Situation.TimeAtShare =
          Millis(static_cast<int>((Now - ShareSince) * 1000));
      Situation.Fallbacks = Fallbacks;
      Situation.TargetSlots = 27;
      Situation.OtherSlots = 27;
      const RolloutDecision Next =
          decideRollout(ExposureLimits{}, Situation, Evidence.byRoute());
      Played.EndedAt = Now;
      if (Next.Action == RolloutDecision::Kind::SetShare) {
        Fallbacks += Next.SharePermille < Share ? 1 : 0;
        Share = Next.SharePermille;
        ShareSince = Now;
      } else if (Next.Action != RolloutDecision::Kind::Hold) {
        Played.End = Next.Action;
        return Played;
      }
    }
    return Played;
  }
};

std::pair<bool, Micros> usualCall(std::mt19937_64 &Random) {
  const bool Bad = std::bernoulli_distribution(0.004)(Random);
  const double Taken =
      std::lognormal_distribution<double>(std::log(110000.0), 0.5)(Random);
  return {Bad, Micros(static_cast<std::int64_t>(Taken))};
}

TEST_CASE("a good version is completed in time") {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    std::mt19937_64 Random(Seed * 7919);
    const auto Good = [&Random](double, double) { return usualCall(Random); };
    const SimulatedRollout::Result Played =
        SimulatedRollout::play(Good, Good, 60, Seed);
    CAPTURE(Seed);
    CHECK(Played.End == RolloutDecision::Kind::Complete);
  }
}

/// Plays a bad version with many seeds and checks that it is taken back before
/// it has had more than a tenth of the calls and fifty.
void checkTakenBack(const std::function<std::pair<bool, Micros>(
                        std::mt19937_64 &, double, double)> &Bad,
                    double CallsPerSecond, double OldFailureRate = 0) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    std::mt19937_64 Random(Seed * 104729);
    const SimulatedRollout::Result Played = SimulatedRollout::play(
        [&](double, double) {
          std::pair<bool, Micros> Call = usualCall(Random);
          Call.first |= std::bernoulli_distribution(OldFailureRate)(Random);
          return Call;
        },
        [&](double Now, double Share) { return Bad(Random, Now, Share); },
        CallsPerSecond, Seed);
    CAPTURE(Seed);
    CHECK(Played.End == RolloutDecision::Kind::RollBack);
    CHECK(Played.TargetCalls <=
          0.1 * Played.AllCalls / Played.EndedAt * 15 + 50);
  }
}

TEST_CASE("a version that fails half of its calls is taken back") {
  checkTakenBack(
      [](std::mt19937_64 &Random, double, double) {
        std::pair<bool, Micros> Call = usualCall(Random);
        Call.first |= std::bernoulli_distribution(0.5)(Random);
        return Call;
      },
      60);
}

// Found by playing days: with a slow call defined by the old version's 90th
// percentile, half of the calls eight times slower went unnoticed until the
// version had 70% of the calls.
TEST_CASE("a version that slows half of its calls is taken back") {
  checkTakenBack(
      [](std::mt19937_64 &Random, double, double) {
        std::pair<bool, Micros> Call = usualCall(Random);
        if (std::bernoulli_distribution(0.45)(Random))
          Call.second *= 8;
        return Call;
      },
      110);
}

TEST_CASE("a version that turns bad after three seconds is taken back") {
  checkTakenBack(
      [](std::mt19937_64 &Random, double Now, double) {
        std::pair<bool, Micros> Call = usualCall(Random);
        Call.first |= Now > 3 && std::bernoulli_distribution(0.45)(Random);
        return Call;
      },
      60);
}

// Found by playing days: a version that failed a fifth of its calls from a
// share of 40% on stayed there for three seconds, since the calls before had
// been good.
TEST_CASE("a version that fails only under load is taken back") {
  checkTakenBack(
      [](std::mt19937_64 &Random, double, double Share) {
        std::pair<bool, Micros> Call = usualCall(Random);
        const double Rate = Share > 0.3 ? 0.21 : 0.03;
        Call.first |= std::bernoulli_distribution(Rate)(Random);
        return Call;
      },
      165, 0.02);
}

// Found by an incident: two failures of three calls on a rare route lowered the
// share of a good version, which then could not be completed.
TEST_CASE("a few failures on a rare route hold the share and don't lower it") {
  const auto SpanOf = [](double OldCalls, double NewCalls, double NewErrors) {
    SpanCounts Result;
    Result.Old.Calls = OldCalls;
    Result.Old.Errors = 1;
    Result.Old.Latency[5] = OldCalls - 1;
    Result.New.Calls = NewCalls;
    Result.New.Errors = NewErrors;
    Result.New.Latency[5] = NewCalls - NewErrors;
    return std::vector<SpanCounts>{Result};
  };
  RolloutSituation Situation;
  Situation.Elapsed = Millis(6500);
  Situation.Duration = Millis(15000);
  Situation.SharePermille = 200;
  Situation.TimeAtShare = Millis(1000);
  Situation.TargetSlots = 27;
  Situation.OtherSlots = 27;
  const RolloutDecision Next = decideRollout(
      ExposureLimits{}, Situation,
      {{"often", SpanOf(400, 36, 0)}, {"rare", SpanOf(40, 3, 2)}});
  CHECK(Next.Action == RolloutDecision::Kind::Hold);
}

TEST_CASE("tallies that arrive twice, late or not at all add up once") {
  RolloutEvidence Evidence("v2");
  proto::RolloutTally Tally;
  Tally.set_node("b");
  Tally.set_version("v2");
  Tally.set_route("views");
  Tally.set_calls(10);
  Tally.set_failures(3);
  proto::RolloutTally Later = Tally;
  Later.set_calls(25);
  Later.set_failures(4);
  Evidence.merge(Later);
  Evidence.merge(Tally);
  Evidence.merge(Later);
  CHECK(Evidence.targetCalls() == 25);
  CHECK(Evidence.targetFailures() == 4);
}

} // namespace
} // namespace persimmonquay
