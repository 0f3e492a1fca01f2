#include "persimmonquay/rollout/rollout_policy.h"

#include "persimmonquay/move/harm_evidence.h"
#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace persimmonquay {
namespace internal {

/// The target's share of the service's calls from a given fraction of the
/// rollout's duration on. For the first two fifths of the time the share stays
/// below `ExposureLimits::Share`, so that harm that begins late is noticed. The
/// later steps leave time to check each step, to wait until doubts are resolved
/// and to complete the rollout.
struct ShareStep {
  /// Elapsed fraction of the duration, 0 to 1.
  double MinProgress;
  std::uint32_t SharePermille;
};
constexpr std::array<ShareStep, 5> ShareSteps = {
    {{0.0, 70}, {0.40, 200}, {0.48, 400}, {0.56, 700}, {0.64, 1000}}};

constexpr double WholePermille = 1000;

/// Maximum number of steps taken in one decision when the share is behind its
/// schedule.
constexpr std::size_t MaxStepsAtOnce = 2;

/// Fraction of the duration from which a version that serves all calls may be
/// completed.
constexpr double MinProgressToComplete = 0.74;

/// Minimum time at the full share before the rollout completes and the old
/// upstreams are released. By then every node knows the share, and the calls
/// sent to the old version have ended.
constexpr Millis MinTimeAtFullShare{1000};

/// Minimum time at a step before the next one, so that the evidence from its
/// calls has arrived.
constexpr Millis MinTimeAtStep{700};

/// Probability that a harmless version is rolled back.
constexpr double FalseAlarmRate = 0.001;

/// Number of spans over which harm may begin. Only affects the weights given to
/// the possible starts of harm.
constexpr double PlannedSpans = 10;

/// Number of routes for which the evidence limit allows, besides the sum of all
/// routes; services have a few routes in use.
constexpr double AssumedRoutes = 5;

/// A version that failed at least this many of its latest calls, at more than
/// this rate, is rolled back without statistical evidence, unless the old
/// version fails at more than half of this rate.
constexpr double RollBackFailures = 25;
constexpr double RollBackFailureRate = 0.2;

/// Number of the target's latest calls that are judged in addition to all of
/// its calls, so that earlier good calls don't hide harm that only shows at a
/// larger share. The first is used to hold or lower the share, the second to
/// roll back because of the failure rate.
constexpr double RecentCallsForShare = 40;
constexpr double RecentCallsForRollBack = 100;

/// Minimum ratio of the target's slots to those of the other versions at which
/// the target has the capacity for all calls.
constexpr double MinCapacityRatio = 0.6;

/// A call is slow if it takes longer than this quantile of the old version's
/// calls. It is high so that a version that slows down only some of its calls
/// stands out clearly.
constexpr double SlowQuantile = 0.98;
/// Rate of slow calls that is tolerated in any case.
constexpr double ToleratedSlowRate = 0.05;

/// Calls that the target must have served before its share may exceed
/// `ExposureLimits::Share`, and the margins that are added to the tolerated
/// rate of bad (failed or slow) calls: over all of the target's calls, and over
/// the latest.
constexpr double MinProvenCalls = 30;
constexpr double BadRateMargin = 0.08;
constexpr double RecentBadRateMargin = 0.02;

/// Limits on the number of bad calls, in standard deviations above the
/// tolerated number. Above the first the share is held. Above the second it is
/// lowered for the first time, which may be due to chance. Above the third the
/// version is rolled back if its share has been lowered before.
constexpr double HoldDeviations = 1;
constexpr double LowerShareDeviations = 2.5;
constexpr double RollBackDeviations = 1.5;

/// Number of times that the share may be lowered before the version is rolled
/// back; being worse at a larger share once can be due to chance.
constexpr std::uint32_t MaxFallbacks = 1;

/// Fraction of the duration from which a version that has not been shown to be
/// healthy is rolled back, since it could no longer be completed in time.
constexpr double MinProgressToRollBackUnproven = 0.93;

/// Returns the spans of all routes added up.
std::vector<SpanCounts>
sumOfRoutes(const std::map<std::string, std::vector<SpanCounts>> &ByRoute) {
  std::map<std::int64_t, SpanCounts> Sum;
  for (const auto &[Route, Spans] : ByRoute)
    for (const SpanCounts &Span : Spans) {
      SpanCounts &Total = Sum[Span.Span];
      Total.Span = Span.Span;
      Total.Old.Calls += Span.Old.Calls;
      Total.Old.Errors += Span.Old.Errors;
      Total.Old.Rejected += Span.Old.Rejected;
      Total.New.Calls += Span.New.Calls;
      Total.New.Errors += Span.New.Errors;
      Total.New.Rejected += Span.New.Rejected;
      for (std::size_t I = 0; I < LatencyBucketCount; ++I) {
        Total.Old.Latency[I] += Span.Old.Latency[I];
        Total.New.Latency[I] += Span.New.Latency[I];
      }
    }
  std::vector<SpanCounts> Result;
  Result.reserve(Sum.size());
  for (const auto &[Number, Span] : Sum)
    Result.push_back(Span);
  return Result;
}

/// Number of calls of one version, and how many of them failed or were slow.
struct CallHealth {
  double Calls = 0;
  /// Failed or slow calls.
  double BadCalls = 0;

  double badRate() const {
    return this->Calls == 0 ? 0 : this->BadCalls / this->Calls;
  }
};

CallHealth callHealth(const VersionCounts &Counts,
                      std::size_t FirstSlowBucket) {
  CallHealth Result{Counts.Calls, Counts.Errors};
  for (std::size_t I = FirstSlowBucket; I < LatencyBucketCount; ++I)
    Result.BadCalls += Counts.Latency[I];
  return Result;
}

void add(const VersionCounts &Part, VersionCounts *Sum) {
  Sum->Calls += Part.Calls;
  Sum->Errors += Part.Errors;
  Sum->Rejected += Part.Rejected;
  for (std::size_t I = 0; I < LatencyBucketCount; ++I)
    Sum->Latency[I] += Part.Latency[I];
}

VersionCounts sumOfOldVersion(const std::vector<SpanCounts> &Spans) {
  VersionCounts Result;
  for (const SpanCounts &Span : Spans)
    add(Span.Old, &Result);
  return Result;
}

/// Returns the target's counts over the newest spans that contain at least
/// `Calls` of its calls, or over all spans if it has had fewer.
VersionCounts latestTargetCounts(const std::vector<SpanCounts> &Spans,
                                 double Calls) {
  VersionCounts Result;
  for (auto Span = Spans.rbegin(); Span != Spans.rend() && Result.Calls < Calls;
       ++Span)
    add(Span->New, &Result);
  return Result;
}

/// Returns how many of the calls that reached the version it rejected.
CallHealth rejections(const VersionCounts &Counts) {
  return {Counts.Calls + Counts.Rejected, Counts.Rejected};
}

/// Returns by how many standard deviations the target's bad calls exceed the
/// number tolerated, which is 1.5 times the others' rate plus `Margin`.
double excessDeviations(const CallHealth &Target, const CallHealth &Others,
                        double Margin) {
  const double Tolerated = Target.Calls * (1.5 * Others.badRate() + Margin);
  return Tolerated == 0 ? 0
                        : (Target.BadCalls - Tolerated) / std::sqrt(Tolerated);
}

/// Whether the target has served enough calls and, on each route with enough of
/// them, has no clearly higher rate of bad calls than the others, neither over
/// all of its calls nor over the latest. `Inconclusive` holds the share;
/// `Worse` lowers it or rolls the version back.
enum class HealthVerdict { Inconclusive, Healthy, Worse };
HealthVerdict
judgeHealth(const std::map<std::string, std::vector<SpanCounts>> &ByRoute,
            double WorseDeviations) {
  double CountedCalls = 0;
  double WorstExcess = 0;
  double WorstReliableExcess = 0;
  for (const auto &[Route, Spans] : ByRoute) {
    const VersionCounts Old = sumOfOldVersion(Spans);
    const std::size_t FirstSlowBucket =
        firstSlowBucket(Old.Latency, SlowQuantile);
    const CallHealth Others = callHealth(Old, FirstSlowBucket);
    const VersionCounts AllCounts =
        latestTargetCounts(Spans, std::numeric_limits<double>::infinity());
    const CallHealth All = callHealth(AllCounts, FirstSlowBucket);
    const CallHealth Latest = callHealth(
        latestTargetCounts(Spans, RecentCallsForShare), FirstSlowBucket);
    // The sum of all routes is in `ByRoute` too, so that every call counts
    // twice.
    CountedCalls += All.Calls;
    const double ExcessOfAll = excessDeviations(All, Others, BadRateMargin);
    // A version that rejects calls lacks room, which is no harm to them.
    const double ExcessRejections =
        excessDeviations(rejections(AllCounts), rejections(Old), BadRateMargin);
    WorstExcess = std::max({WorstExcess, ExcessOfAll, ExcessRejections});
    // A few calls on a rarely used route are too little evidence for lowering
    // the share.
    if (Latest.Calls >= RecentCallsForShare)
      WorstReliableExcess =
          std::max({WorstReliableExcess, ExcessOfAll,
                    excessDeviations(Latest, Others, RecentBadRateMargin)});
  }
  WorstExcess = std::max(WorstExcess, WorstReliableExcess);
  if (WorstReliableExcess > WorseDeviations)
    return HealthVerdict::Worse;
  return CountedCalls >= MinProvenCalls && WorstExcess <= HoldDeviations
             ? HealthVerdict::Healthy
             : HealthVerdict::Inconclusive;
}

/// Returns whether the target stays within `Limits` if it gets `SharePermille`
/// until the next step and then turns out to be bad. Checked for a version
/// whose share has been lowered before.
bool staysWithinExposure(const ExposureLimits &Limits,
                         const RolloutSituation &Situation,
                         const std::vector<SpanCounts> &Spans,
                         std::uint32_t SharePermille) {
  const double TargetCalls =
      rejections(
          latestTargetCounts(Spans, std::numeric_limits<double>::infinity()))
          .Calls;
  const double Calls = rejections(sumOfOldVersion(Spans)).Calls + TargetCalls;
  const double Elapsed =
      std::chrono::duration<double>(Situation.Elapsed).count();
  const double Duration =
      std::chrono::duration<double>(Situation.Duration).count();
  const double CallsPerSecond = Calls / std::max(Elapsed, 1.0);
  const double CallsUntilNextStep =
      std::chrono::duration<double>(MinTimeAtStep).count() * CallsPerSecond *
      SharePermille / WholePermille;
  return TargetCalls + CallsUntilNextStep <=
         Limits.Share * CallsPerSecond * Duration + Limits.ExtraCalls;
}

/// Returns why the version must be rolled back because of `Route`, or an empty
/// string. `LogEvidenceLimit` is the natural logarithm of the e-value from
/// which harm counts as proven.
std::string harmReason(const std::string &Route,
                       const std::vector<SpanCounts> &Spans,
                       double LogEvidenceLimit) {
  HarmLimits Limits;
  Limits.SlowQuantile = SlowQuantile;
  Limits.ToleratedSlowRate = ToleratedSlowRate;
  const HarmEvidence Errors = errorEvidence(Spans, Limits, PlannedSpans);
  if (Errors.logHarm() > LogEvidenceLimit)
    return absl::StrFormat("route %s fails more (log evidence %.1f)", Route,
                           Errors.logHarm());
  const HarmEvidence Latency = latencyEvidence(Spans, Limits, PlannedSpans);
  if (Latency.logHarm() > LogEvidenceLimit)
    return absl::StrFormat("route %s is slower (log evidence %.1f)", Route,
                           Latency.logHarm());
  const VersionCounts Old = sumOfOldVersion(Spans);
  const VersionCounts Latest =
      latestTargetCounts(Spans, RecentCallsForRollBack);
  const bool OldFailsToo =
      Old.Calls > 0 && Old.Errors / Old.Calls > RollBackFailureRate / 2;
  if (Latest.Errors >= RollBackFailures &&
      Latest.Errors / Latest.Calls > RollBackFailureRate && !OldFailsToo)
    return absl::StrFormat("route %s failed %.0f of the latest %.0f calls",
                           Route, Latest.Errors, Latest.Calls);
  return {};
}

} // namespace internal

RolloutDecision
decideRollout(const ExposureLimits &Limits, const RolloutSituation &Situation,
              const std::map<std::string, std::vector<SpanCounts>> &ByRoute) {
  RolloutDecision Result;
  // Corrects for multiple tests: errors and latency are tested for each route.
  const double LogEvidenceLimit =
      std::log(2.0 * internal::AssumedRoutes / internal::FalseAlarmRate);
  std::map<std::string, std::vector<SpanCounts>> RoutesAndTotal = ByRoute;
  RoutesAndTotal["(all)"] = internal::sumOfRoutes(ByRoute);
  for (const auto &[Route, Spans] : RoutesAndTotal) {
    Result.Reason = internal::harmReason(Route, Spans, LogEvidenceLimit);
    if (!Result.Reason.empty()) {
      Result.Action = RolloutDecision::Kind::RollBack;
      return Result;
    }
  }
  const double Progress =
      Situation.Duration.count() == 0
          ? 0
          : static_cast<double>(Situation.Elapsed.count()) /
                static_cast<double>(Situation.Duration.count());
  const bool HasCapacityForAll =
      static_cast<double>(Situation.TargetSlots) >=
      internal::MinCapacityRatio * static_cast<double>(Situation.OtherSlots);
  if (Situation.SharePermille >= 1000) {
    if (Progress >= internal::MinProgressToComplete &&
        Situation.TimeAtShare >= internal::MinTimeAtFullShare &&
        HasCapacityForAll)
      Result.Action = RolloutDecision::Kind::Complete;
    return Result;
  }
  if (Situation.TargetSlots == 0)
    return Result;
  std::uint32_t PlannedPermille = Situation.SharePermille;
  std::size_t StepsTaken = 0;
  for (const internal::ShareStep &Step : internal::ShareSteps)
    if (Progress >= Step.MinProgress &&
        Step.SharePermille > Situation.SharePermille &&
        StepsTaken < internal::MaxStepsAtOnce) {
      PlannedPermille = Step.SharePermille;
      ++StepsTaken;
    }
  const auto MaxUnprovenPermille =
      static_cast<std::uint32_t>(Limits.Share * 1000);
  if (PlannedPermille > MaxUnprovenPermille) {
    const internal::HealthVerdict Verdict = internal::judgeHealth(
        RoutesAndTotal, Situation.Fallbacks == 0
                            ? internal::LowerShareDeviations
                            : internal::RollBackDeviations);
    if (Verdict == internal::HealthVerdict::Worse &&
        Situation.SharePermille > MaxUnprovenPermille) {
      Result.Reason = "the latest calls are worse";
      if (Situation.Fallbacks >= internal::MaxFallbacks) {
        Result.Action = RolloutDecision::Kind::RollBack;
        return Result;
      }
      // Whether the version is bad is found out at a share that does little
      // harm.
      Result.Action = RolloutDecision::Kind::SetShare;
      Result.SharePermille = internal::ShareSteps.front().SharePermille;
      return Result;
    }
    if (Verdict != internal::HealthVerdict::Healthy &&
        Progress >= internal::MinProgressToRollBackUnproven) {
      Result.Action = RolloutDecision::Kind::RollBack;
      Result.Reason = "not shown to be sound in time";
      return Result;
    }
    if (Verdict != internal::HealthVerdict::Healthy || !HasCapacityForAll)
      return Result;
    if (Situation.Fallbacks > 0 &&
        !internal::staysWithinExposure(
            Limits, Situation, RoutesAndTotal.at("(all)"), PlannedPermille)) {
      Result.Action = RolloutDecision::Kind::RollBack;
      Result.Reason =
          "it was worse under a larger share, and no calls are left "
          "to look again";
      return Result;
    }
  }
  if (Situation.SharePermille > 0 &&
      Situation.TimeAtShare < internal::MinTimeAtStep)
    return Result;
  if (PlannedPermille > Situation.SharePermille) {
    Result.Action = RolloutDecision::Kind::SetShare;
    Result.SharePermille = PlannedPermille;
  }
  return Result;
}

} // namespace persimmonquay
