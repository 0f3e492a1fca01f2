// A fake of a service's upstreams for tests of the move policy: it simulates
// single calls at a given traffic share and returns them as evidence.
#ifndef PERSIMMONQUAY_TESTING_FAKE_SERVICE_H
#define PERSIMMONQUAY_TESTING_FAKE_SERVICE_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/move/evidence_table.h"
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace persimmonquay::testing {

/// A fault of the new version, or of something that affects both versions or
/// neither.
enum class FaultScenario {
  // The new version is at fault and should be rolled back.
  FailsAtOnce,
  FailsRarely,
  SlowAtOnce,
  FailsLater,
  FailsInBake,
  FailsUnderLoad,
  FailsOnOneRoute,
  CrashesAgainAndAgain,
  SlowInOneDataCentre,
  // The new version is not at fault and its move should finish.
  Good,
  OldAsBad,
  ColdStart,
  SharedBackEndDown,
  QuietService,
  PoisonousRequest,
  HostDies,
};

inline constexpr std::size_t FirstNewVersionNotAtFault =
    static_cast<std::size_t>(FaultScenario::Good);
inline constexpr std::size_t ScenarioCount =
    static_cast<std::size_t>(FaultScenario::HostDies) + 1;

std::string scenarioName(FaultScenario Scenario);
inline bool newVersionAtFault(FaultScenario Scenario) {
  return Scenario < FaultScenario::Good;
}

/// One simulated call.
struct FakeCall {
  CallResult Result;
  /// Whether the call counts as evidence. A call that never reached an upstream
  /// does not, and of the calls that a crash ends only the first does.
  bool CountsAsEvidence = true;
  /// Whether the caller saw a failure, after the single retry at the old
  /// version that an idempotent call gets.
  bool FailedForCaller = false;
  /// Whether a fault of the new version itself failed the call or slowed it.
  bool NewVersionAtFault = false;
};

/// Deterministic for a given seed. Not thread-safe.
///
/// Example:
///   FakeService Service(FaultScenario::FailsLater, Seed, MoveTime);
///   FakeCall Call = Service.call(SharePermille, SinceStart);
class FakeService {
public:
  /// If `ConcentrateCalls` is set, a small share goes to as few upstreams of
  /// the new version as can carry it; otherwise it is spread over all of them.
  FakeService(FaultScenario Scenario, std::uint64_t Seed, Millis MoveTime,
              bool ConcentrateCalls = true);

  /// Returns the random time from one call to the next.
  Millis nextInterarrivalTime();

  /// Simulates one call at `SinceStart` after the start of the move, while
  /// `SharePermille` of 1000 calls go to the new version.
  FakeCall call(std::uint32_t SharePermille, Millis SinceStart);

private:
  bool chance(double Probability);
  bool newVersionFails(std::uint32_t SharePermille, Millis SinceStart,
                       const std::string &Route);
  double latencyFactor(bool ToNewVersion, Millis SinceStart);
  bool failsInBothVersions(Millis SinceStart);

  const FaultScenario Scenario;
  const bool ConcentrateCalls;
  std::mt19937_64 Random;
  double CallsPerSecond;
  double RareErrorRate;
  /// When the fault starts, counted from the start of the move.
  Millis FaultStart;
  /// Crashes that the poisonous request has caused.
  std::size_t PoisonCrashes = 0;
  double CallsPerCrash;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FAKE_SERVICE_H
