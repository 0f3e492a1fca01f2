#include "persimmonquay/rollout/rollout_policy.h"

#include "persimmonquay/move/harm_evidence.h"
#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace persimmonquay {
namespace internal {

/// Share of the service's calls that the target gets from a part of the
/// duration on. Up to two fifths of the time it stays below the share that may
/// be exposed, so that harm that begins late shows; the steps after it leave
/// time to look, to wait for doubts to pass and to finish.
struct Step {
  double From;
  std::uint32_t SharePermille;
};
constexpr std::array<Step, 5> Steps = {
    {{0.0, 70}, {0.40, 200}, {0.48, 400}, {0.56, 700}, {0.64, 1000}}};

constexpr double WholePermille = 1000;

/// Steps that may be taken at once when the time has run ahead of the share.
constexpr std::size_t MaxStepsAtOnce = 2;

/// Part of the duration from which a version that takes all calls is complete.
constexpr double CompleteFrom = 0.74;

/// Time at the full share before the old upstreams are given up: every node has
/// heard of the share, and calls sent to the old version have ended.
constexpr Millis SettleTime{1000};

/// Time at a step before the next one: evidence of its calls has arrived.
constexpr Millis LookTime{700};

/// Chance that a version without harm is taken back.
constexpr double FalseAlarmRate = 0.001;

/// Spans over which harm may begin; only weighs the start of harm.
constexpr double PlannedSpans = 10;

/// Routes that are looked at beyond their sum; services have a few in use.
constexpr double LookedAt = 5;

/// Failures after which a version is judged by its own rate alone, and the rate
/// that is then bad whatever the other versions do.
constexpr double CertainFailures = 25;
constexpr double CertainRate = 0.2;

/// Latest calls of the target by which it is judged beside all of them: harm
/// that shows only under a larger share is not hidden by the calls before. The
/// first number is for doubt, which only holds a rollout back, the second for
/// taking it back.
constexpr double DoubtCalls = 40;
constexpr double CertainCalls = 100;

/// Slots of the target, as a part of the others', that carry a whole share.
constexpr double EnoughCapacity = 0.6;

/// A call is slow when it takes longer than nearly all of the old version's:
/// a version that slows down only part of its calls so stands out clearly.
constexpr double SlowQuantile = 0.98;
constexpr double ToleratedSlow = 0.05;

/// Calls that a version must have had, without more bad ones than the old
/// version's rate and this margin explain, before it gets more than the share
/// that may be exposed.
constexpr double ProofCalls = 30;
constexpr double BadMargin = 0.08;
constexpr double RecentBadMargin = 0.02;

/// Standard deviations beyond the tolerated count of bad calls from which the
/// share is not raised, and from which it is lowered: the first time, when it
/// may be chance, and after that.
constexpr double HoldExcess = 1;
constexpr double DoubtExcess = 2.5;
constexpr double RenewedDoubtExcess = 1.5;

/// Times that a version may be worse under a larger share before it is taken
/// back; once can be chance.
constexpr std::uint32_t MaxFallbacks = 1;

/// Part of the duration from which a version that is not shown to be sound is
/// taken back: later it could not be completed in time.
constexpr double GiveUpFrom = 0.93;

/// All routes taken together, beside each of them.
std::vector<SpanCounts>
sumOfRoutes(const std::map<std::string, std::vector<SpanCounts>> &ByRoute) {
  std::map<std::int64_t, SpanCounts> Sum;
  for (const auto &[Route, Spans] : ByRoute)
    for (const SpanCounts &Span : Spans) {
      SpanCounts &Target = Sum[Span.Span];
      Target.Span = Span.Span;
      Target.Old.Calls += Span.Old.Calls;
      Target.Old.Errors += Span.Old.Errors;
      Target.New.Calls += Span.New.Calls;
      Target.New.Errors += Span.New.Errors;
      for (std::size_t I = 0; I < LatencyBucketCount; ++I) {
        Target.Old.Latency[I] += Span.Old.Latency[I];
        Target.New.Latency[I] += Span.New.Latency[I];
      }
    }
  std::vector<SpanCounts> Result;
  Result.reserve(Sum.size());
  for (const auto &[Number, Span] : Sum)
    Result.push_back(Span);
  return Result;
}

/// Calls of one version and those among them that failed or were slow.
struct Health {
  double Calls = 0;
  double Bad = 0;

  double rate() const { return this->Calls == 0 ? 0 : this->Bad / this->Calls; }
};

Health healthOf(const VersionCounts &Counts, std::size_t FirstSlow) {
  Health Result{Counts.Calls, Counts.Errors};
  for (std::size_t I = FirstSlow; I < LatencyBucketCount; ++I)
    Result.Bad += Counts.Latency[I];
  return Result;
}

void add(const VersionCounts &Part, VersionCounts *Sum) {
  Sum->Calls += Part.Calls;
  Sum->Errors += Part.Errors;
  for (std::size_t I = 0; I < LatencyBucketCount; ++I)
    Sum->Latency[I] += Part.Latency[I];
}

VersionCounts sumOfOld(const std::vector<SpanCounts> &Spans) {
  VersionCounts Result;
  for (const SpanCounts &Span : Spans)
    add(Span.Old, &Result);
  return Result;
}

/// Returns the counts of the newest spans in which the target had `Calls`
/// calls, or of all.
VersionCounts latestOfTarget(const std::vector<SpanCounts> &Spans,
                             double Calls) {
  VersionCounts Result;
  for (auto Span = Spans.rbegin(); Span != Spans.rend() && Result.Calls < Calls;
       ++Span)
    add(Span->New, &Result);
  return Result;
}

/// Returns by how many standard deviations more calls were bad than the
/// others' rate and `Margin` explain.
double excess(const Health &Target, const Health &Others, double Margin) {
  const double Tolerated = Target.Calls * (1.5 * Others.rate() + Margin);
  return Tolerated == 0 ? 0 : (Target.Bad - Tolerated) / std::sqrt(Tolerated);
}

/// Whether the target had calls enough and, on each route with some of them,
/// no clearly higher rate of bad ones than the others, neither among all of
/// its calls nor among the latest. Unknown holds the share, Doubtful lowers it.
enum class Soundness { Unknown, Sound, Doubtful };
Soundness
soundness(const std::map<std::string, std::vector<SpanCounts>> &ByRoute,
          double TooMuch) {
  double Proofs = 0;
  double Worst = 0;
  double WorstProven = 0;
  for (const auto &[Route, Spans] : ByRoute) {
    const VersionCounts Old = sumOfOld(Spans);
    const std::size_t FirstSlow = quantileBucket(Old.Latency, SlowQuantile) + 1;
    const Health Others = healthOf(Old, FirstSlow);
    const Health All =
        healthOf(latestOfTarget(Spans, std::numeric_limits<double>::infinity()),
                 FirstSlow);
    const Health Latest =
        healthOf(latestOfTarget(Spans, DoubtCalls), FirstSlow);
    Proofs += All.Calls;
    const double OfAll = excess(All, Others, BadMargin);
    Worst = std::max(Worst, OfAll);
    // A handful of calls on a rare route says too little to take a share away.
    if (Latest.Calls >= DoubtCalls)
      WorstProven = std::max(
          {WorstProven, OfAll, excess(Latest, Others, RecentBadMargin)});
  }
  Worst = std::max(Worst, WorstProven);
  if (WorstProven > TooMuch)
    return Soundness::Doubtful;
  return Proofs >= ProofCalls && Worst <= HoldExcess ? Soundness::Sound
                                                     : Soundness::Unknown;
}

/// Whether a version that was doubted once stays within what may be exposed if
/// it gets `SharePermille` until the next look and then turns out to be bad.
bool mayExpose(const ExposureLimits &Limits, const RolloutSituation &Situation,
               const std::vector<SpanCounts> &Spans,
               std::uint32_t SharePermille) {
  const double Had =
      latestOfTarget(Spans, std::numeric_limits<double>::infinity()).Calls;
  const double Calls = sumOfOld(Spans).Calls + Had;
  const double Elapsed =
      std::chrono::duration<double>(Situation.Elapsed).count();
  const double Duration =
      std::chrono::duration<double>(Situation.Duration).count();
  const double CallsPerSecond = Calls / std::max(Elapsed, 1.0);
  const double UntilLook = std::chrono::duration<double>(LookTime).count() *
                           CallsPerSecond * SharePermille / WholePermille;
  return Had + UntilLook <=
         Limits.Share * CallsPerSecond * Duration + Limits.ExtraCalls;
}

std::string harmOf(const std::string &Route,
                   const std::vector<SpanCounts> &Spans, double Limit) {
  HarmLimits Limits;
  Limits.SlowQuantile = SlowQuantile;
  Limits.ToleratedSlow = ToleratedSlow;
  const HarmEvidence Errors = errorEvidence(Spans, Limits, PlannedSpans);
  if (Errors.logHarm() > Limit)
    return absl::StrFormat("route %s fails more (log evidence %.1f)", Route,
                           Errors.logHarm());
  const HarmEvidence Latency = latencyEvidence(Spans, Limits, PlannedSpans);
  if (Latency.logHarm() > Limit)
    return absl::StrFormat("route %s is slower (log evidence %.1f)", Route,
                           Latency.logHarm());
  const VersionCounts Old = sumOfOld(Spans);
  const VersionCounts Latest = latestOfTarget(Spans, CertainCalls);
  const bool OldFailsToo =
      Old.Calls > 0 && Old.Errors / Old.Calls > CertainRate / 2;
  if (Latest.Errors >= CertainFailures &&
      Latest.Errors / Latest.Calls > CertainRate && !OldFailsToo)
    return absl::StrFormat("route %s failed %.0f of the latest %.0f calls",
                           Route, Latest.Errors, Latest.Calls);
  return {};
}

} // namespace internal

RolloutDecision
decideRollout(const ExposureLimits &Limits, const RolloutSituation &Situation,
              const std::map<std::string, std::vector<SpanCounts>> &ByRoute) {
  RolloutDecision Result;
  // Two criteria for each route are looked at.
  const double Limit =
      std::log(2.0 * internal::LookedAt / internal::FalseAlarmRate);
  std::map<std::string, std::vector<SpanCounts>> All = ByRoute;
  All["(all)"] = internal::sumOfRoutes(ByRoute);
  for (const auto &[Route, Spans] : All) {
    Result.Reason = internal::harmOf(Route, Spans, Limit);
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
  const bool CanCarryAll =
      static_cast<double>(Situation.TargetSlots) >=
      internal::EnoughCapacity * static_cast<double>(Situation.OtherSlots);
  if (Situation.SharePermille >= 1000) {
    if (Progress >= internal::CompleteFrom &&
        Situation.TimeAtShare >= internal::SettleTime && CanCarryAll)
      Result.Action = RolloutDecision::Kind::Complete;
    return Result;
  }
  if (Situation.TargetSlots == 0)
    return Result;
  std::uint32_t Wanted = Situation.SharePermille;
  std::size_t StepsTaken = 0;
  for (const internal::Step &Each : internal::Steps)
    if (Progress >= Each.From && Each.SharePermille > Situation.SharePermille &&
        StepsTaken < internal::MaxStepsAtOnce) {
      Wanted = Each.SharePermille;
      ++StepsTaken;
    }
  const auto MaxUnproven = static_cast<std::uint32_t>(Limits.Share * 1000);
  if (Wanted > MaxUnproven) {
    const internal::Soundness Sound = internal::soundness(
        All, Situation.Fallbacks == 0 ? internal::DoubtExcess
                                      : internal::RenewedDoubtExcess);
    if (Sound == internal::Soundness::Doubtful &&
        Situation.SharePermille > MaxUnproven) {
      Result.Reason = "the latest calls are worse";
      if (Situation.Fallbacks >= internal::MaxFallbacks) {
        Result.Action = RolloutDecision::Kind::RollBack;
        return Result;
      }
      // The doubt is resolved at a share that does little harm.
      Result.Action = RolloutDecision::Kind::SetShare;
      Result.SharePermille = internal::Steps.front().SharePermille;
      return Result;
    }
    if (Sound != internal::Soundness::Sound &&
        Progress >= internal::GiveUpFrom) {
      Result.Action = RolloutDecision::Kind::RollBack;
      Result.Reason = "not shown to be sound in time";
      return Result;
    }
    if (Sound != internal::Soundness::Sound || !CanCarryAll)
      return Result;
    if (Situation.Fallbacks > 0 &&
        !internal::mayExpose(Limits, Situation, All.at("(all)"), Wanted)) {
      Result.Action = RolloutDecision::Kind::RollBack;
      Result.Reason =
          "it was worse under a larger share, and no calls are left "
          "to look again";
      return Result;
    }
  }
  if (Situation.SharePermille > 0 && Situation.TimeAtShare < internal::LookTime)
    return Result;
  if (Wanted > Situation.SharePermille) {
    Result.Action = RolloutDecision::Kind::SetShare;
    Result.SharePermille = Wanted;
  }
  return Result;
}

} // namespace persimmonquay
