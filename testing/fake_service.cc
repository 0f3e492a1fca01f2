#include "testing/fake_service.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace persimmonquay::testing {
namespace {

constexpr double BusyCallsPerSecond = 50;
constexpr double QuietCallsPerSecond = 0.1;
/// Upstreams of the new version: as many as the largest service has of its old
/// version today.
constexpr double NewUpstreams = 4;
/// Error rate of both versions without any fault.
constexpr double BaseErrorRate = 0.001;
constexpr double MinorRouteFraction = 0.2;
/// Fraction of the calls that must not be retried.
constexpr double NonIdempotentFraction = 0.2;
constexpr double MedianLatencyMicros = 20000;
/// Standard deviation of the logarithm of the latency.
constexpr double LatencyLogSigma = 0.5;
/// Load of one upstream, as a fraction of its load at the full traffic share,
/// from which `FailsUnderLoad` makes calls fail.
constexpr double FaultLoadThreshold = 0.6;
constexpr Millis SharedOutageDuration{30000};
/// How long a cold start slows calls, and how long a host is down.
constexpr Millis ColdStartDuration{2000};

constexpr std::array<const char *, ScenarioCount> ScenarioNames = {
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

std::string scenarioName(FaultScenario Scenario) {
  return ScenarioNames[static_cast<std::size_t>(Scenario)];
}

FakeService::FakeService(FaultScenario Scenario, std::uint64_t Seed,
                         Millis MoveTime, bool ConcentrateCalls)
    : Scenario(Scenario), ConcentrateCalls(ConcentrateCalls), Random(Seed),
      CallsPerSecond(Scenario == FaultScenario::QuietService
                         ? QuietCallsPerSecond
                         : BusyCallsPerSecond),
      RareErrorRate(std::uniform_real_distribution<>(0.03, 0.1)(this->Random)),
      CallsPerCrash(std::uniform_real_distribution<>(10, 60)(this->Random)) {
  std::uniform_real_distribution<> StartFraction(0.2, 0.5);
  this->FaultStart = Millis(static_cast<Millis::rep>(
      StartFraction(this->Random) * static_cast<double>(MoveTime.count())));
  if (Scenario == FaultScenario::FailsInBake)
    this->FaultStart = MoveTime * 65 / 100;
}

bool FakeService::chance(double Probability) {
  return std::uniform_real_distribution<>(0, 1)(this->Random) < Probability;
}

Millis FakeService::nextInterarrivalTime() {
  std::exponential_distribution<> Interval(this->CallsPerSecond);
  return std::max(Millis(1), Millis(static_cast<Millis::rep>(
                                 1000 * Interval(this->Random))));
}

bool FakeService::failsInBothVersions(Millis SinceStart) {
  if (this->Scenario == FaultScenario::OldAsBad)
    return this->chance(0.05);
  return this->Scenario == FaultScenario::SharedBackEndDown &&
         SinceStart >= this->FaultStart &&
         SinceStart < this->FaultStart + SharedOutageDuration &&
         this->chance(0.8);
}

bool FakeService::newVersionFails(std::uint32_t SharePermille,
                                  Millis SinceStart, const std::string &Route) {
  switch (this->Scenario) {
  case FaultScenario::FailsAtOnce:
    return this->chance(0.5);
  case FaultScenario::FailsRarely:
    return this->chance(this->RareErrorRate);
  case FaultScenario::FailsLater:
  case FaultScenario::FailsInBake:
    return SinceStart >= this->FaultStart && this->chance(0.3);
  case FaultScenario::FailsUnderLoad: {
    const double TrafficFraction = SharePermille / 1000.0;
    const double UsedUpstreams =
        this->ConcentrateCalls
            ? std::max(1.0, std::ceil(TrafficFraction * NewUpstreams))
            : NewUpstreams;
    return TrafficFraction * NewUpstreams / UsedUpstreams >=
               FaultLoadThreshold &&
           this->chance(0.3);
  }
  case FaultScenario::FailsOnOneRoute:
    return Route == "minor" && this->chance(0.3);
  case FaultScenario::CrashesAgainAndAgain:
    return this->chance(1 / this->CallsPerCrash);
  case FaultScenario::PoisonousRequest:
    // The caller retries the request, and it is rejected after the second
    // crash.
    if (SinceStart < this->FaultStart || this->PoisonCrashes >= 2)
      return false;
    ++this->PoisonCrashes;
    return true;
  default:
    return false;
  }
}

double FakeService::latencyFactor(bool ToNewVersion, Millis SinceStart) {
  if (!ToNewVersion)
    return 1;
  if (this->Scenario == FaultScenario::SlowAtOnce)
    return 3;
  if (this->Scenario == FaultScenario::SlowInOneDataCentre)
    return this->chance(1 / 3.0) ? 5 : 1;
  const bool Cold = this->Scenario == FaultScenario::ColdStart &&
                    SinceStart < ColdStartDuration;
  return Cold ? 4 : 1;
}

FakeCall FakeService::call(std::uint32_t SharePermille, Millis SinceStart) {
  FakeCall Call;
  CallResult &Result = Call.Result;
  Result.ToNewVersion = this->chance(SharePermille / 1000.0);
  Result.Route = this->chance(MinorRouteFraction) ? "minor" : "major";
  const bool ConnectionRefused =
      this->Scenario == FaultScenario::HostDies && Result.ToNewVersion &&
      SinceStart >= this->FaultStart &&
      SinceStart < this->FaultStart + ColdStartDuration &&
      this->chance(1 / NewUpstreams);
  if (ConnectionRefused) {
    // The connection is refused, so that the call may be retried at another
    // upstream even if it is not idempotent.
    Call.CountsAsEvidence = false;
    return Call;
  }
  const bool SharedFault =
      this->failsInBothVersions(SinceStart) || this->chance(BaseErrorRate);
  const bool NewVersionAtFault =
      Result.ToNewVersion &&
      this->newVersionFails(SharePermille, SinceStart, Result.Route);
  Result.Failed = SharedFault || NewVersionAtFault;
  Call.NewVersionAtFault =
      NewVersionAtFault ||
      (Result.ToNewVersion && newVersionAtFault(this->Scenario) &&
       (this->Scenario == FaultScenario::SlowAtOnce ||
        this->Scenario == FaultScenario::SlowInOneDataCentre));
  std::lognormal_distribution<> Latency(std::log(MedianLatencyMicros),
                                        LatencyLogSigma);
  Result.Latency = std::chrono::microseconds(static_cast<std::int64_t>(
      Latency(this->Random) *
      this->latencyFactor(Result.ToNewVersion, SinceStart)));
  Result.IncludeLatency = !(this->Scenario == FaultScenario::ColdStart &&
                            SinceStart < ColdStartDuration);
  const bool Retried = Result.Failed && Result.ToNewVersion &&
                       !this->chance(NonIdempotentFraction);
  Call.FailedForCaller =
      Retried ? this->failsInBothVersions(SinceStart) : Result.Failed;
  return Call;
}

} // namespace persimmonquay::testing
