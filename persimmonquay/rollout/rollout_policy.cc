#include "persimmonquay/rollout/rollout_policy.h"

#include "persimmonquay/move/harm_evidence.h"
#include "persimmonquay/rollout/reference_health.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>

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

/// Name of the sum of all routes.
constexpr char AllRoutes[] = "(all)";

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

/// A version that failed this many of its latest calls, at more than
/// `RollBackFailureRate`, while the others are in trouble gets no calls until
/// they are well.
constexpr double PauseFailures = 20;

/// Failed calls from which on a version that fails more than
/// `RollBackFailureRate` of its latest calls is rolled back whatever the others
/// do. Below the 50 bad answers after which a version has to be gone, with room
/// for those that are under way.
constexpr double MaxFailures = 40;

/// Number of newest spans without trouble after which a pause ends.
constexpr std::size_t SoundSpansToResume = 4;

/// What the target may fail beyond the other versions' usual failure rate to be
/// raised above `ExposureLimits::Share`, and to be completed.
constexpr double UnusualRateMargin = 0.05;
constexpr double CompletionRateMargin = 0.1;

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
constexpr char NotSoundInTime[] = "not shown to be sound in time";

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

/// Returns the failure rate of the other versions on a route as far as it
/// excuses failures of the target: not beyond their usual rate. On a route with
/// too few calls for a usual rate it counts as it is; the sum of all routes
/// bounds it.
double excusedErrorRate(const std::string &Route, const VersionCounts &Old,
                        const ReferenceHealth &Others) {
  const double Rate = Old.Calls == 0 ? 0 : Old.Errors / Old.Calls;
  const std::optional<double> Usual = Others.usualErrorRate();
  if (!Usual && Route != AllRoutes)
    return Rate;
  return std::min(Rate, Usual.value_or(0) + UnusualRateMargin);
}

/// Whether the target has served enough calls and, on each route with enough of
/// them, has no clearly higher rate of bad calls than the others, neither over
/// all of its calls nor over the latest. `Inconclusive` holds the share;
/// `Worse` lowers it or rolls the version back.
enum class HealthVerdict { Inconclusive, Healthy, Worse };
HealthVerdict
judgeHealth(const std::map<std::string, std::vector<SpanCounts>> &ByRoute,
            const std::map<std::string, ReferenceHealth> &OthersByRoute,
            double WorseDeviations) {
  double CountedCalls = 0;
  double WorstExcess = 0;
  double WorstReliableExcess = 0;
  for (const auto &[Route, Spans] : ByRoute) {
    VersionCounts Old = sumOfOldVersion(Spans);
    Old.Errors =
        Old.Calls * excusedErrorRate(Route, Old, OthersByRoute.at(Route));
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
/// for `Time` and then turns out to be bad.
bool staysWithinExposure(const ExposureLimits &Limits,
                         const RolloutSituation &Situation,
                         std::uint32_t SharePermille, Millis Time) {
  const double Elapsed =
      std::chrono::duration<double>(Situation.Elapsed).count();
  const double Duration =
      std::chrono::duration<double>(Situation.Duration).count();
  const double CallsPerSecond = Situation.AllCalls / std::max(Elapsed, 1.0);
  const double FurtherCalls = std::chrono::duration<double>(Time).count() *
                              CallsPerSecond * SharePermille / WholePermille;
  return Situation.TargetCalls + FurtherCalls <=
         Limits.Share * CallsPerSecond * Duration + Limits.ExtraCalls;
}

/// Returns the spans of each route in which the other versions were not in
/// trouble.
std::map<std::string, std::vector<SpanCounts>>
soundSpans(const std::map<std::string, ReferenceHealth> &OthersByRoute) {
  std::map<std::string, std::vector<SpanCounts>> Result;
  for (const auto &[Route, Others] : OthersByRoute)
    Result[Route] = Others.soundSpans();
  return Result;
}

/// Returns whether the target failed at least `Failures` of its latest calls,
/// at a rate that the other versions' usual one doesn't excuse.
bool failsOften(const VersionCounts &Latest, double Failures,
                const ReferenceHealth &Others) {
  return Latest.Errors >= Failures &&
         Latest.Errors / Latest.Calls > RollBackFailureRate &&
         Others.usualErrorRate().value_or(0) <= RollBackFailureRate / 2;
}

std::string failureText(const std::string &Route, const VersionCounts &Latest) {
  return absl::StrFormat("route %s failed %.0f of the latest %.0f calls", Route,
                         Latest.Errors, Latest.Calls);
}

/// Returns why the version must be rolled back because of `Route`, or an empty
/// string. `LogEvidenceLimit` is the natural logarithm of the e-value from
/// which harm counts as proven.
std::string harmReason(const std::string &Route, const ReferenceHealth &Others,
                       double LogEvidenceLimit) {
  const std::vector<SpanCounts> &Spans = Others.soundSpans();
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
  const VersionCounts Latest =
      latestTargetCounts(Spans, RecentCallsForRollBack);
  if (failsOften(Latest, RollBackFailures, Others))
    return failureText(Route, Latest);
  return {};
}

/// Decides about a target that fails often while the other versions are in
/// trouble, so that it can't be told whether it is to blame. Holds otherwise.
RolloutDecision judgeDuringTrouble(
    const RolloutSituation &Situation,
    const std::map<std::string, std::vector<SpanCounts>> &ByRoute,
    const std::map<std::string, ReferenceHealth> &OthersByRoute) {
  RolloutDecision Result;
  for (const auto &[Route, Spans] : ByRoute) {
    const ReferenceHealth &Others = OthersByRoute.at(Route);
    const VersionCounts Latest =
        latestTargetCounts(Spans, RecentCallsForRollBack);
    if (!failsOften(Latest, PauseFailures, Others))
      continue;
    if (Situation.TargetFailures >= MaxFailures) {
      Result.Action = RolloutDecision::Kind::RollBack;
      Result.Reason =
          absl::StrCat(failureText(Route, Latest), ", too many in all");
      return Result;
    }
    if (Others.isInTrouble() && Situation.SharePermille > 0) {
      Result.Action = RolloutDecision::Kind::SetShare;
      Result.SharePermille = 0;
      Result.Reason = absl::StrCat(failureText(Route, Latest),
                                   " while the other versions are in trouble");
    }
  }
  return Result;
}

/// Returns the share with which a rollout begins, or goes on after a pause.
/// Late in its duration the target needs more calls to be judged in time.
std::uint32_t initialShare(const ExposureLimits &Limits,
                           const RolloutSituation &Situation, double Progress) {
  const auto TimeLeft =
      std::chrono::duration_cast<Millis>(Situation.Duration *
                                         MinProgressToRollBackUnproven) -
      Situation.Elapsed;
  if (Progress < ShareSteps[1].MinProgress ||
      !staysWithinExposure(Limits, Situation, ShareSteps[1].SharePermille,
                           TimeLeft))
    return ShareSteps[0].SharePermille;
  return ShareSteps[1].SharePermille;
}

/// Returns whether the target, which gets all calls, fails and rejects few
/// enough of the latest ones to be completed.
bool isSoundAtFullShare(
    const std::map<std::string, std::vector<SpanCounts>> &ByRoute,
    const std::map<std::string, ReferenceHealth> &OthersByRoute) {
  for (const auto &[Route, Spans] : ByRoute) {
    const VersionCounts Latest = latestTargetCounts(Spans, RecentCallsForShare);
    const double Excused = excusedErrorRate(Route, sumOfOldVersion(Spans),
                                            OthersByRoute.at(Route));
    const double Tolerated =
        Latest.Calls * (1.5 * Excused + CompletionRateMargin);
    const bool Fails =
        Latest.Errors > Tolerated + HoldDeviations * std::sqrt(Tolerated);
    const bool Rejects =
        excessDeviations(rejections(Latest), rejections(sumOfOldVersion(Spans)),
                         BadRateMargin) > HoldDeviations;
    if (Latest.Calls + Latest.Rejected >= RecentCallsForShare &&
        (Fails || Rejects))
      return false;
  }
  return true;
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
  RoutesAndTotal[internal::AllRoutes] = internal::sumOfRoutes(ByRoute);
  std::map<std::string, ReferenceHealth> OthersByRoute;
  VersionCounts TotalBeforeOrder;
  for (const auto &[Route, Counts] : Situation.OthersBeforeOrder)
    internal::add(Counts, &TotalBeforeOrder);
  for (const auto &[Route, Spans] : RoutesAndTotal) {
    const auto Before = Situation.OthersBeforeOrder.find(Route);
    OthersByRoute.try_emplace(Route, Spans,
                              Route == internal::AllRoutes ? TotalBeforeOrder
                              : Before == Situation.OthersBeforeOrder.end()
                                  ? VersionCounts()
                                  : Before->second);
  }
  for (const auto &[Route, Others] : OthersByRoute) {
    Result.Reason = internal::harmReason(Route, Others, LogEvidenceLimit);
    if (!Result.Reason.empty()) {
      Result.Action = RolloutDecision::Kind::RollBack;
      return Result;
    }
  }
  Result =
      internal::judgeDuringTrouble(Situation, RoutesAndTotal, OthersByRoute);
  if (Result.Action != RolloutDecision::Kind::Hold)
    return Result;
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
        HasCapacityForAll &&
        internal::isSoundAtFullShare(RoutesAndTotal, OthersByRoute)) {
      Result.Action = RolloutDecision::Kind::Complete;
    } else if (Progress >= internal::MinProgressToRollBackUnproven &&
               !internal::isSoundAtFullShare(RoutesAndTotal, OthersByRoute)) {
      Result.Action = RolloutDecision::Kind::RollBack;
      Result.Reason = internal::NotSoundInTime;
    }
    return Result;
  }
  if (Situation.SharePermille == 0 &&
      Progress >= internal::MinProgressToRollBackUnproven &&
      Situation.IsPaused) {
    Result.Action = RolloutDecision::Kind::RollBack;
    Result.Reason = internal::NotSoundInTime;
    return Result;
  }
  if (Situation.TargetSlots == 0)
    return Result;
  if (Situation.SharePermille == 0) {
    const bool MayResume =
        OthersByRoute.at(internal::AllRoutes)
            .isShownSound(internal::SoundSpansToResume) &&
        std::none_of(
            OthersByRoute.begin(), OthersByRoute.end(),
            [](const auto &Each) { return Each.second.isInTrouble(); });
    if (Situation.IsPaused && !MayResume)
      return Result;
    Result.Action = RolloutDecision::Kind::SetShare;
    Result.SharePermille = internal::initialShare(Limits, Situation, Progress);
    return Result;
  }
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
    const double WorseDeviations = Situation.Fallbacks == 0
                                       ? internal::LowerShareDeviations
                                       : internal::RollBackDeviations;
    internal::HealthVerdict Verdict =
        internal::judgeHealth(RoutesAndTotal, OthersByRoute, WorseDeviations);
    // Calls that failed while the other versions were in trouble say nothing.
    if (internal::judgeHealth(internal::soundSpans(OthersByRoute),
                              OthersByRoute, WorseDeviations) ==
        internal::HealthVerdict::Healthy)
      Verdict = internal::HealthVerdict::Healthy;
    if (Verdict == internal::HealthVerdict::Worse &&
        Situation.SharePermille > MaxUnprovenPermille) {
      Result.Reason = "the latest calls are worse";
      if (OthersByRoute.at(internal::AllRoutes).isInTrouble()) {
        Result.Action = RolloutDecision::Kind::SetShare;
        Result.SharePermille = 0;
        return Result;
      }
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
      Result.Reason = internal::NotSoundInTime;
      return Result;
    }
    if (Verdict != internal::HealthVerdict::Healthy || !HasCapacityForAll)
      return Result;
    if (Situation.Fallbacks > 0 &&
        !internal::staysWithinExposure(Limits, Situation, PlannedPermille,
                                       internal::MinTimeAtStep)) {
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
