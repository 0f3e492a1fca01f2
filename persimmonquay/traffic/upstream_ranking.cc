#include "persimmonquay/traffic/upstream_ranking.h"

#include "persimmonquay/traffic/link_admission.h"
#include <algorithm>
#include <cmath>

namespace persimmonquay {
namespace internal {

/// Cost of a failed call when upstreams are compared: about one latency
/// objective, after which a retry is worth little.
constexpr std::chrono::microseconds FailurePenalty{1000000};

/// Weight of one result in the moving average of the failure rate, so that
/// about the last ten calls count.
constexpr double FailureWeight = 0.1;

/// Half-life of a recorded failure rate. The decay lets an upstream that failed
/// get calls again, which show whether it has recovered.
constexpr std::chrono::duration<double> FailureHalfLife{2.0};

/// Age from which a load report is ignored.
constexpr Millis MaxReportAge{1000};

/// Cost of a full upstream compared with an idle one, as a fraction of its
/// processing time.
constexpr double CrowdingFactor = 0.5;

/// Processing time that is assumed while no upstream has served a call.
constexpr std::chrono::microseconds AssumedProcessingTime{100000};

/// Number of calls over which the slowness is effectively averaged: enough that
/// the spread of single calls doesn't matter, few enough to follow a change of
/// speed within seconds.
constexpr int MaxSlownessSamples = 20;

/// Range of the random tiebreak, as a fraction of an upstream's cost.
constexpr double TiebreakFactor = 0.1;

/// Time for which an unavailable upstream gets no calls if there are others;
/// doubled with each rejection.
constexpr Millis MinUnavailableBackoff{200};
constexpr Millis MaxUnavailableBackoff{3200};

} // namespace internal

void UpstreamView::recordLoad(std::uint32_t Running, std::uint32_t,
                              std::uint32_t SlotCount,
                              std::chrono::microseconds Wait, MonoTime Now,
                              std::uint32_t WorkPercent) {
  this->Speed.record(WorkPercent, Now);
  this->ReportedRunning = Running;
  this->Slots = std::max<std::uint32_t>(SlotCount, 1);
  this->ReportedWait = Wait;
  this->ReportedAt = Now;
  this->InFlightAtReport = this->InFlight;
}

void UpstreamView::recordResult(bool Failed,
                                std::chrono::microseconds CallProcessingTime,
                                MonoTime Now,
                                std::chrono::microseconds TypicalTime) {
  const double PreviousRate = this->failureRate(Now);
  this->FailureRate = PreviousRate + internal::FailureWeight *
                                         ((Failed ? 1.0 : 0.0) - PreviousRate);
  this->LastResultAt = Now;
  this->UnavailableUntil = MonoTime{};
  this->UnavailableBackoff = Millis{0};
  if (Failed)
    return;
  const Micros UsualTime = this->Speed.atUsualSpeed(CallProcessingTime, Now);
  this->ProcessingTime.add(UsualTime);
  if (TypicalTime.count() <= 0)
    return;
  const double Ratio = std::chrono::duration<double>(UsualTime) /
                       std::chrono::duration<double>(TypicalTime);
  this->SlownessSamples =
      std::min(this->SlownessSamples + 1, internal::MaxSlownessSamples);
  this->Slowness += (Ratio - this->Slowness) / this->SlownessSamples;
}

void UpstreamView::recordUnavailable(MonoTime Now) {
  this->UnavailableBackoff =
      std::clamp(this->UnavailableBackoff * 2, internal::MinUnavailableBackoff,
                 internal::MaxUnavailableBackoff);
  this->UnavailableUntil = Now + this->UnavailableBackoff;
}

double UpstreamView::failureRate(MonoTime Now) const {
  const std::chrono::duration<double> Age = Now - this->LastResultAt;
  const std::chrono::duration<double> FleetRateAge = Now - this->FleetRateAt;
  return std::max(this->FailureRate *
                      std::exp2(-Age / internal::FailureHalfLife),
                  this->FleetFailureRate *
                      std::exp2(-FleetRateAge / internal::FailureHalfLife));
}

std::chrono::microseconds UpstreamView::expectedWait(MonoTime Now) const {
  if (Now - this->ReportedAt > internal::MaxReportAge)
    return this->ProcessingTime.mean() * (this->InFlight / this->Slots);
  const auto Age = std::chrono::duration_cast<std::chrono::microseconds>(
      Now - this->ReportedAt);
  const std::chrono::microseconds RemainingWait =
      std::max(this->ReportedWait - Age, std::chrono::microseconds{0});
  // The report doesn't include the calls that this node has sent since.
  const std::uint32_t UnreportedCalls =
      this->InFlight > this->InFlightAtReport
          ? this->InFlight - this->InFlightAtReport
          : 0;
  const std::uint32_t BusySlots = this->ReportedRunning + UnreportedCalls;
  if (this->ReportedWait.count() == 0 && BusySlots < this->Slots)
    return std::chrono::microseconds{0};
  return RemainingWait +
         this->ProcessingTime.mean() * UnreportedCalls / this->Slots;
}

Micros UpstreamView::linkDelay(const LinkNeed &Need, MonoTime Now) const {
  if (this->LinkBytesPerSecond <= 0 || Need.AnswerBytes <= MaxSmallAnswerBytes)
    return Micros{0};
  // The link goes on sending until the answer is ready.
  const auto Age =
      std::chrono::duration_cast<Micros>(Now - this->LinkReportedAt);
  const Micros Wait = Age > internal::MaxReportAge
                          ? Micros{0}
                          : this->LinkBacklog - Age - Need.ProcessingTime;
  return std::max(Wait, Micros{0}) +
         std::chrono::duration_cast<Micros>(std::chrono::duration<double>(
             static_cast<double>(Need.AnswerBytes) / this->LinkBytesPerSecond));
}

std::optional<std::chrono::microseconds>
UpstreamView::measuredProcessingTime() const {
  if (!this->ProcessingTime.isMeasured())
    return std::nullopt;
  return this->ProcessingTime.mean();
}

std::chrono::microseconds UpstreamView::expectedCost(
    MonoTime Now, std::chrono::microseconds DefaultProcessingTime) const {
  const std::chrono::microseconds ExpectedProcessingTime = this->Speed.scale(
      this->measuredProcessingTime().value_or(DefaultProcessingTime), Now);
  const double Load =
      static_cast<double>(std::max(this->ReportedRunning, this->InFlight)) /
      this->Slots;
  const auto FailureCost =
      std::chrono::duration_cast<std::chrono::microseconds>(
          internal::FailurePenalty * this->failureRate(Now));
  // A nearly full upstream is likely to be busier than its report says, since
  // other nodes act on the same report.
  const auto CrowdingCost =
      std::chrono::duration_cast<std::chrono::microseconds>(
          ExpectedProcessingTime * (internal::CrowdingFactor * Load * Load));
  return this->expectedWait(Now) + ExpectedProcessingTime + CrowdingCost +
         FailureCost;
}

std::vector<Candidate>
rankUpstreams(const std::vector<const UpstreamView *> &Views,
              const std::vector<double> &Tiebreak, MonoTime Now,
              const LinkNeed &Need) {
  std::optional<std::chrono::microseconds> Fastest;
  for (const UpstreamView *View : Views)
    if (const auto ProcessingTime = View->measuredProcessingTime();
        ProcessingTime && (!Fastest || *ProcessingTime < *Fastest))
      Fastest = ProcessingTime;
  std::vector<Candidate> Result;
  Result.reserve(Views.size());
  for (std::size_t I = 0; I < Views.size(); ++I) {
    const Micros LinkDelay = Views[I]->linkDelay(Need, Now);
    const std::chrono::microseconds Cost =
        LinkDelay + Views[I]->expectedCost(
                        Now, Fastest.value_or(internal::AssumedProcessingTime));
    const auto TiebreakCost =
        std::chrono::duration_cast<std::chrono::microseconds>(
            Cost * (internal::TiebreakFactor * Tiebreak[I]));
    Result.push_back({I, Views[I]->isLocal(),
                      Views[I]->expectedWait(Now) + LinkDelay,
                      Cost + TiebreakCost});
  }
  std::sort(Result.begin(), Result.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return Left.Cost < Right.Cost;
            });
  return Result;
}

} // namespace persimmonquay
