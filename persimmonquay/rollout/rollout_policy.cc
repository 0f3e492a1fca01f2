#include "persimmonquay/rollout/rollout_policy.h"

#include "persimmonquay/move/harm_evidence.h"
#include <absl/strings/str_format.h>
#include <array>
#include <cmath>

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
      for (std::size_t I = 0; I < LatencyBuckets; ++I) {
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
  for (std::size_t I = FirstSlow; I < LatencyBuckets; ++I)
    Result.Bad += Counts.Latency[I];
  return Result;
}

/// Whether the target had calls enough and, on each route with some of them,
/// no clearly higher rate of bad ones than the others.
enum class Soundness { Unknown, Sound, Doubtful };
Soundness
soundness(const std::map<std::string, std::vector<SpanCounts>> &ByRoute) {
  double Proofs = 0;
  for (const auto &[Route, Spans] : ByRoute) {
    VersionCounts Old;
    VersionCounts New;
    for (const SpanCounts &Span : Spans) {
      Old.Calls += Span.Old.Calls;
      Old.Errors += Span.Old.Errors;
      New.Calls += Span.New.Calls;
      New.Errors += Span.New.Errors;
      for (std::size_t I = 0; I < LatencyBuckets; ++I) {
        Old.Latency[I] += Span.Old.Latency[I];
        New.Latency[I] += Span.New.Latency[I];
      }
    }
    const std::size_t FirstSlow = quantileBucket(Old.Latency, SlowQuantile) + 1;
    const Health OldHealth = healthOf(Old, FirstSlow);
    const Health NewHealth = healthOf(New, FirstSlow);
    Proofs += NewHealth.Calls;
    // Two standard deviations of the count that the tolerated rate explains.
    const double Tolerated =
        NewHealth.Calls * (1.5 * OldHealth.rate() + BadMargin);
    if (NewHealth.Bad > Tolerated + 2 * std::sqrt(Tolerated))
      return Soundness::Doubtful;
  }
  return Proofs >= ProofCalls ? Soundness::Sound : Soundness::Unknown;
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
  double Calls = 0;
  double Failures = 0;
  double OldCalls = 0;
  double OldFailures = 0;
  for (const SpanCounts &Span : Spans) {
    Calls += Span.New.Calls;
    Failures += Span.New.Errors;
    OldCalls += Span.Old.Calls;
    OldFailures += Span.Old.Errors;
  }
  const bool OldFailsToo =
      OldCalls > 0 && OldFailures / OldCalls > CertainRate / 2;
  if (Failures >= CertainFailures && Failures / Calls > CertainRate &&
      !OldFailsToo)
    return absl::StrFormat("route %s failed %.0f of %.0f calls", Route,
                           Failures, Calls);
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
        Situation.AtShare >= internal::SettleTime && CanCarryAll)
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
    const internal::Soundness Sound = internal::soundness(All);
    if (Sound != internal::Soundness::Sound &&
        Progress >= internal::GiveUpFrom) {
      Result.Action = RolloutDecision::Kind::RollBack;
      Result.Reason = "not shown to be sound in time";
      return Result;
    }
    if (Sound != internal::Soundness::Sound || !CanCarryAll)
      return Result;
  }
  if (Situation.SharePermille > 0 && Situation.AtShare < internal::LookTime)
    return Result;
  if (Wanted > Situation.SharePermille) {
    Result.Action = RolloutDecision::Kind::SetShare;
    Result.SharePermille = Wanted;
  }
  return Result;
}

} // namespace persimmonquay
