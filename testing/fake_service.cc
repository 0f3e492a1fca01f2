#include "testing/fake_service.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace persimmonquay::testing {
namespace {

constexpr double BusyCallsPerSecond = 50;
constexpr double QuietCallsPerSecond = 0.1;
/// New upstreams; as many as the largest service of today has old ones.
constexpr double Upstreams = 4;
/// Error rate that every version has.
constexpr double BaseErrorRate = 0.001;
constexpr double MinorRoutePart = 0.2;
/// Part of the calls that must not be repeated.
constexpr double NotRepeatable = 0.2;
constexpr double MedianMicros = 20000;
constexpr double LatencySpread = 0.5;
/// Load of one upstream, relative to its load at full share, above which the
/// fault under load shows.
constexpr double FaultyLoad = 0.6;
constexpr Millis SharedOutage{30000};
constexpr Millis ColdTime{2000};

constexpr std::array<const char *, ScenarioCount> Names = {
    "fails at once",
    "fails rarely",
    "slow at once",
    "fails later",
    "fails in bake time",
    "fails under load",
    "fails on one route",
    "crashes again and again",
    "slow in one data centre",
    "good",
    "old as bad",
    "cold start",
    "shared back end down",
    "quiet service",
    "poisonous request",
    "host dies"};

} // namespace

std::string scenarioName(FaultScenario Value) {
  return Names[static_cast<std::size_t>(Value)];
}

FakeService::FakeService(FaultScenario Wrong, std::uint64_t Seed,
                         Millis MoveTime, bool Concentrated)
    : Wrong(Wrong), Concentrated(Concentrated), Random(Seed),
      CallsPerSecond(Wrong == FaultScenario::QuietService ? QuietCallsPerSecond
                                                          : BusyCallsPerSecond),
      RareRate(std::uniform_real_distribution<>(0.03, 0.1)(this->Random)),
      CrashEvery(std::uniform_real_distribution<>(10, 60)(this->Random)) {
  std::uniform_real_distribution<> Part(0.2, 0.5);
  this->EventAt = Millis(static_cast<Millis::rep>(
      Part(this->Random) * static_cast<double>(MoveTime.count())));
  if (Wrong == FaultScenario::FailsInBake)
    this->EventAt = MoveTime * 65 / 100;
}

bool FakeService::chance(double Probability) {
  return std::uniform_real_distribution<>(0, 1)(this->Random) < Probability;
}

Millis FakeService::nextInterarrivalTime() {
  std::exponential_distribution<> Gap(this->CallsPerSecond);
  return std::max(Millis(1),
                  Millis(static_cast<Millis::rep>(1000 * Gap(this->Random))));
}

bool FakeService::sharedFailure(Millis SinceStart) {
  if (this->Wrong == FaultScenario::OldAsBad)
    return this->chance(0.05);
  return this->Wrong == FaultScenario::SharedBackEndDown &&
         SinceStart >= this->EventAt &&
         SinceStart < this->EventAt + SharedOutage && this->chance(0.8);
}

bool FakeService::newFails(std::uint32_t Share, Millis SinceStart,
                           const std::string &Route) {
  switch (this->Wrong) {
  case FaultScenario::FailsAtOnce:
    return this->chance(0.5);
  case FaultScenario::FailsRarely:
    return this->chance(this->RareRate);
  case FaultScenario::FailsLater:
  case FaultScenario::FailsInBake:
    return SinceStart >= this->EventAt && this->chance(0.3);
  case FaultScenario::FailsUnderLoad: {
    const double Fraction = Share / 1000.0;
    const double Taking = this->Concentrated
                              ? std::max(1.0, std::ceil(Fraction * Upstreams))
                              : Upstreams;
    return Fraction * Upstreams / Taking >= FaultyLoad && this->chance(0.3);
  }
  case FaultScenario::FailsOnOneRoute:
    return Route == "minor" && this->chance(0.3);
  case FaultScenario::CrashesAgainAndAgain:
    return this->chance(1 / this->CrashEvery);
  case FaultScenario::PoisonousRequest:
    // The caller repeats it, and it is refused after the second death.
    if (SinceStart < this->EventAt || this->Deaths >= 2)
      return false;
    ++this->Deaths;
    return true;
  default:
    return false;
  }
}

double FakeService::slowdown(bool ToNew, Millis SinceStart) {
  if (!ToNew)
    return 1;
  if (this->Wrong == FaultScenario::SlowAtOnce)
    return 3;
  if (this->Wrong == FaultScenario::SlowInOneDataCentre)
    return this->chance(1 / 3.0) ? 5 : 1;
  const bool Cold =
      this->Wrong == FaultScenario::ColdStart && SinceStart < ColdTime;
  return Cold ? 4 : 1;
}

FakeCall FakeService::call(std::uint32_t Share, Millis SinceStart) {
  FakeCall Call;
  CallResult &Result = Call.Result;
  Result.ToNewVersion = this->chance(Share / 1000.0);
  Result.Route = this->chance(MinorRoutePart) ? "minor" : "major";
  const bool HostGone = this->Wrong == FaultScenario::HostDies &&
                        Result.ToNewVersion && SinceStart >= this->EventAt &&
                        SinceStart < this->EventAt + ColdTime &&
                        this->chance(1 / Upstreams);
  if (HostGone) {
    // The connection is refused, so that any call may be tried elsewhere.
    Call.CountsAsEvidence = false;
    return Call;
  }
  const bool Shared =
      this->sharedFailure(SinceStart) || this->chance(BaseErrorRate);
  const bool NewVersionAtFault =
      Result.ToNewVersion && this->newFails(Share, SinceStart, Result.Route);
  Result.Failed = Shared || NewVersionAtFault;
  Call.NewVersionAtFault =
      NewVersionAtFault ||
      (Result.ToNewVersion && newVersionAtFault(this->Wrong) &&
       (this->Wrong == FaultScenario::SlowAtOnce ||
        this->Wrong == FaultScenario::SlowInOneDataCentre));
  std::lognormal_distribution<> Latency(std::log(MedianMicros), LatencySpread);
  Result.Latency = std::chrono::microseconds(static_cast<std::int64_t>(
      Latency(this->Random) * this->slowdown(Result.ToNewVersion, SinceStart)));
  Result.IncludeLatency =
      !(this->Wrong == FaultScenario::ColdStart && SinceStart < ColdTime);
  const bool Repeated =
      Result.Failed && Result.ToNewVersion && !this->chance(NotRepeatable);
  Call.FailedForCaller =
      Repeated ? this->sharedFailure(SinceStart) : Result.Failed;
  return Call;
}

} // namespace persimmonquay::testing
