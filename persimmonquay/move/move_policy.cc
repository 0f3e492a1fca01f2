#include "persimmonquay/move/move_policy.h"

#include "persimmonquay/move/evidence_table.h"
#include "proto/configuration.pb.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>

namespace persimmonquay {
namespace internal {

constexpr std::size_t LastStep = StepSharesPermille.size() - 1;

/// Calls that the new version should serve at a step before the next one.
constexpr double MinCallsPerStep = 60;

/// Fraction of the time before the bake time that is kept as a reserve.
constexpr double ReserveFraction = 0.1;

/// Number of criteria tested for each route: errors and latency.
constexpr double CriteriaPerRoute = 2;

/// Returns the number of spans of a move, by which the evidence is weighted.
double plannedSpanCount(WallTime Start, WallTime Due) {
  return static_cast<double>((Due - Start) / EvidenceSpanLength + 1);
}

} // namespace internal

MovePolicy::Builder::Builder(const proto::Move &Move)
    : Start(wallTimeFromUnixMillis(Move.start_unix_ms())),
      Due(wallTimeFromUnixMillis(Move.due_unix_ms())),
      BakeTime(Move.bake_ms()) {
  if (Move.tolerated_errors_ppm() > 0)
    this->Limits.ToleratedErrorRate = Move.tolerated_errors_ppm() / 1e6;
}

MovePolicy::Builder &MovePolicy::Builder::limits(const HarmLimits &Value) {
  this->Limits = Value;
  return *this;
}

MovePolicy::Builder &MovePolicy::Builder::falseAlarmRate(double Value) {
  this->FalseAlarmRate = Value;
  return *this;
}

MovePolicy MovePolicy::Builder::build() const { return MovePolicy(*this); }

MovePolicy::MovePolicy(const Builder &Settings) : Settings(Settings) {}

Millis MovePolicy::stepInterval() const {
  const Millis Ramp =
      this->Settings.Due - this->Settings.Start - this->Settings.BakeTime;
  const double Usable =
      static_cast<double>(Ramp.count()) * (1 - internal::ReserveFraction);
  return Millis(static_cast<std::int64_t>(
      Usable / static_cast<double>(internal::LastStep + 1)));
}

WallTime MovePolicy::plannedStart(std::size_t Step) const {
  return this->Settings.Start +
         static_cast<std::int64_t>(Step) * this->stepInterval();
}

std::uint32_t MovePolicy::share(const MoveProgress &Progress,
                                WallTime Now) const {
  if (Progress.RolledBack || Now < this->Settings.Start)
    return 0;
  if (Progress.RetreatUntil && Now < *Progress.RetreatUntil)
    return StepSharesPermille.front();
  return StepSharesPermille[std::min(Progress.Step, internal::LastStep)];
}

MovePolicy::HarmAssessment
MovePolicy::assessHarm(const EvidenceTable &Evidence) const {
  HarmAssessment Worst;
  const double Spans =
      internal::plannedSpanCount(this->Settings.Start, this->Settings.Due);
  const auto Routes = Evidence.byRoute();
  const double TestCount =
      internal::CriteriaPerRoute * std::max<double>(1, Routes.size());
  for (const auto &[Route, Counts] : Routes) {
    const HarmEvidence Errors =
        errorEvidence(Counts, this->Settings.Limits, Spans);
    const HarmEvidence SlowCalls =
        latencyEvidence(Counts, this->Settings.Limits, Spans);
    Worst.IsSuspicious |= Errors.isSuspicious() || SlowCalls.isSuspicious();
    for (const auto &[Criterion, Difference] :
         {std::pair(Errors, "fails more often"),
          std::pair(SlowCalls, "is slower")})
      if (Criterion.logHarm() > Worst.LogHarm) {
        Worst.LogHarm = Criterion.logHarm();
        Worst.Reason = absl::StrFormat(
            "on route \"%s\" the new version %s than the old one: evidence "
            "%.3g against a limit of %.3g",
            Route, Difference, std::exp(Criterion.logHarm()),
            TestCount / this->Settings.FalseAlarmRate);
      }
  }
  Worst.LogHarm -= std::log(TestCount);
  return Worst;
}

MoveDecision MovePolicy::decide(const EvidenceTable &Evidence,
                                const MoveProgress &Progress,
                                const VersionCapacity &Capacity,
                                WallTime Now) const {
  using Kind = MoveDecision::Kind;
  if (Progress.RolledBack || Now < this->Settings.Start)
    return {};
  const HarmAssessment Harm = this->assessHarm(Evidence);
  if (Harm.LogHarm >= -std::log(this->Settings.FalseAlarmRate))
    return {Kind::RollBack, Harm.Reason, ""};
  const bool IsRetreating =
      Progress.RetreatUntil && Now < *Progress.RetreatUntil;
  if (Harm.IsSuspicious) {
    if (Progress.Step > 0 && !IsRetreating)
      return {Kind::Retreat, "the new version shows failures or slow calls",
              ""};
    MoveDecision Hold;
    Hold.Reason = "waiting until the failures or slow calls are understood";
    return Hold;
  }
  if (IsRetreating)
    return {};
  if (Progress.Step < internal::LastStep)
    return this->decideAdvance(Evidence, Progress, Capacity, Now);
  if (Now >= Progress.StepEnteredAt + this->Settings.BakeTime)
    return {Kind::Finish, "the bake time has passed without signs of harm", ""};
  return {};
}

MoveDecision MovePolicy::decideAdvance(const EvidenceTable &Evidence,
                                       const MoveProgress &Progress,
                                       const VersionCapacity &Capacity,
                                       WallTime Now) const {
  using Kind = MoveDecision::Kind;
  const std::size_t Next = Progress.Step + 1;
  const WallTime Planned = this->plannedStart(Next);
  if (Now < Planned)
    return {};
  const std::uint64_t RequiredSlotsTimes1000 =
      StepSharesPermille[Next] * Capacity.OldSlots;
  if (1000 * Capacity.NewSlots < RequiredSlotsTimes1000) {
    MoveDecision Hold;
    Hold.Reason = absl::StrFormat(
        "the new version has %d slots, but a share of %d in 1000 needs %d",
        Capacity.NewSlots, StepSharesPermille[Next],
        (RequiredSlotsTimes1000 + 999) / 1000);
    if (Now >= Planned + this->stepInterval() / 2)
      Hold.Warning = absl::StrCat("can't finish in time: ", Hold.Reason);
    return Hold;
  }
  const double Calls = Evidence.newVersionCallsSince(Progress.StepEnteredAt);
  // A service with few calls gets half a step of extra time. After that the
  // move advances without the wanted number of calls, so as to finish on
  // schedule.
  const bool IsBehindSchedule = Now >= Planned + this->stepInterval() / 2;
  if (Calls < internal::MinCallsPerStep && !IsBehindSchedule)
    return {};
  return {Kind::Advance,
          absl::StrFormat("step %d after %.0f calls without signs of harm",
                          Next, Calls),
          ""};
}

} // namespace persimmonquay
