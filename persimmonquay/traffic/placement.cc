#include "persimmonquay/traffic/placement.h"

#include <algorithm>
#include <cmath>

namespace persimmonquay {
namespace internal {

/// Time that a failed call costs its caller in the comparison of upstreams:
/// about one latency objective, after which a repeat is worth little.
constexpr std::chrono::microseconds FailureCost{1000000};

/// Weight of one result in the failure rate; about the last ten calls count.
constexpr double FailureWeight = 0.1;

/// Time after which an upstream that failed is given a chance to show that it
/// has recovered: the failure rate that is remembered halves.
constexpr std::chrono::duration<double> FailureHalfLife{2.0};

/// Failure rate from which an upstream is not preferred for being near: then
/// most callers would need a second try, which the budget for repeats does not
/// cover.
constexpr double OutlierRate = 0.25;

/// Time that a call to another data centre must save: a transfer is dear, and
/// where all fail alike it saves nothing.
constexpr std::chrono::microseconds CrossingCost{150000};

/// Age at which a load report says nothing any more.
constexpr Millis MaxReportAge{1000};

/// Work that a full upstream is ranked behind an idle one, as a part of it.
constexpr double CrowdingPart = 0.5;

/// Work that is assumed while none of the upstreams has served a call.
constexpr std::chrono::microseconds AssumedWork{100000};

/// Range over which equal upstreams are shuffled, as part of the work.
constexpr double TiebreakPart = 0.1;

} // namespace internal

void UpstreamView::recordLoad(std::uint32_t Running, std::uint32_t,
                              std::uint32_t SlotCount,
                              std::chrono::microseconds Wait, MonoTime Now) {
  this->ReportedRunning = Running;
  this->Slots = std::max<std::uint32_t>(SlotCount, 1);
  this->ReportedWait = Wait;
  this->ReportedAt = Now;
  this->InFlightAtReport = this->InFlight;
}

void UpstreamView::recordResult(bool Failed, std::chrono::microseconds WorkTime,
                                MonoTime Now) {
  const double Known = this->failureRate(Now);
  this->FailureRate =
      Known + internal::FailureWeight * ((Failed ? 1.0 : 0.0) - Known);
  this->FailedAt = Now;
  if (!Failed)
    this->Work.add(WorkTime);
}

double UpstreamView::failureRate(MonoTime Now) const {
  const std::chrono::duration<double> Age = Now - this->FailedAt;
  const std::chrono::duration<double> SharedAge = Now - this->SharedAt;
  return std::max(this->FailureRate *
                      std::exp2(-Age / internal::FailureHalfLife),
                  this->SharedFailureRate *
                      std::exp2(-SharedAge / internal::FailureHalfLife));
}

std::chrono::microseconds UpstreamView::expectedWait(MonoTime Now) const {
  if (Now - this->ReportedAt > internal::MaxReportAge)
    return this->Work.mean() * (this->InFlight / this->Slots);
  const auto Age = std::chrono::duration_cast<std::chrono::microseconds>(
      Now - this->ReportedAt);
  const std::chrono::microseconds Drained =
      std::max(this->ReportedWait - Age, std::chrono::microseconds{0});
  // Calls that this node sent since the report aren't in it.
  const std::uint32_t Unreported = this->InFlight > this->InFlightAtReport
                                       ? this->InFlight - this->InFlightAtReport
                                       : 0;
  const std::uint32_t Busy = this->ReportedRunning + Unreported;
  if (this->ReportedWait.count() == 0 && Busy < this->Slots)
    return std::chrono::microseconds{0};
  return Drained + this->Work.mean() * Unreported / this->Slots;
}

std::optional<std::chrono::microseconds>
UpstreamView::measuredServiceTime() const {
  if (!this->Work.isMeasured())
    return std::nullopt;
  return this->Work.mean();
}

std::chrono::microseconds
UpstreamView::expectedCost(MonoTime Now,
                           std::chrono::microseconds Assumed) const {
  const std::chrono::microseconds OneCall =
      this->measuredServiceTime().value_or(Assumed);
  const double Load =
      static_cast<double>(std::max(this->ReportedRunning, this->InFlight)) /
      this->Slots;
  const auto Failures = std::chrono::duration_cast<std::chrono::microseconds>(
      internal::FailureCost * this->failureRate(Now));
  // A nearly full upstream is a worse bet than its report says, since other
  // nodes read the same report.
  const auto Crowding = std::chrono::duration_cast<std::chrono::microseconds>(
      OneCall * (internal::CrowdingPart * Load * Load));
  return this->expectedWait(Now) + OneCall + Crowding + Failures;
}

std::vector<Candidate>
rankUpstreams(const std::vector<const UpstreamView *> &Views,
              const std::vector<double> &Tiebreak, MonoTime Now) {
  std::optional<std::chrono::microseconds> Fastest;
  for (const UpstreamView *View : Views)
    if (const auto Work = View->measuredServiceTime();
        Work && (!Fastest || *Work < *Fastest))
      Fastest = Work;
  std::vector<Candidate> Result;
  Result.reserve(Views.size());
  for (std::size_t I = 0; I < Views.size(); ++I) {
    const std::chrono::microseconds Cost =
        Views[I]->expectedCost(Now, Fastest.value_or(internal::AssumedWork));
    const auto Shuffle = std::chrono::duration_cast<std::chrono::microseconds>(
        Cost * (internal::TiebreakPart * Tiebreak[I]));
    const bool Local = Views[I]->isLocal();
    const bool Preferred =
        Local && Views[I]->failureRate(Now) < internal::OutlierRate;
    const std::chrono::microseconds Crossing =
        Local ? std::chrono::microseconds{0} : internal::CrossingCost;
    Result.push_back({I, Local, Preferred, Views[I]->expectedWait(Now),
                      Cost + Shuffle + Crossing});
  }
  std::sort(Result.begin(), Result.end(),
            [](const Candidate &Left, const Candidate &Right) {
              if (Left.Preferred != Right.Preferred)
                return Left.Preferred;
              return Left.Cost < Right.Cost;
            });
  return Result;
}

} // namespace persimmonquay
