// A small fake of a service's upstreams, at the interface of the move policy:
// it turns shares into calls and calls into evidence.
#ifndef PERSIMMONQUAY_TESTING_FAKE_SERVICE_H
#define PERSIMMONQUAY_TESTING_FAKE_SERVICE_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/move/evidence_table.h"
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace persimmonquay::testing {

/// What is wrong with the new version, or with something else.
enum class FaultScenario {
  // Bad versions.
  FailsAtOnce,
  FailsRarely,
  SlowAtOnce,
  FailsLater,
  FailsInBake,
  FailsUnderLoad,
  FailsOnOneRoute,
  CrashesAgainAndAgain,
  SlowInOneDataCentre,
  // Innocent ones.
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

std::string scenarioName(FaultScenario Value);
inline bool newVersionAtFault(FaultScenario Value) {
  return Value < FaultScenario::Good;
}

/// One call as the fake served it.
struct FakeCall {
  CallResult Result;
  /// Whether the call gives evidence at all: one that never reached an
  /// upstream does not, and of those that a crash ends only the first does.
  bool CountsAsEvidence = true;
  /// Whether the caller saw a failure, after the one retry at the old version
  /// that an idempotent call gets.
  bool FailedForCaller = false;
  /// Whether the new version's own fault failed or slowed the call.
  bool NewVersionAtFault = false;
};

/// Deterministic for a seed. Not thread-safe.
///
/// Example:
///   FakeService Service(FaultScenario::FailsLater, Seed, MoveTime);
///   FakeCall Call = Service.call(SharePermille, SinceStart);
class FakeService {
public:
  /// With `Concentrated`, a small share goes to as few of the new upstreams as
  /// can carry it; otherwise to all of them.
  FakeService(FaultScenario Wrong, std::uint64_t Seed, Millis MoveTime,
              bool Concentrated = true);

  /// Returns the time to the next call.
  Millis nextInterarrivalTime();

  /// Serves one call at `SinceStart` while the new version gets `Share` calls
  /// in 1000, on as many of its upstreams as that share needs.
  FakeCall call(std::uint32_t Share, Millis SinceStart);

private:
  bool chance(double Probability);
  bool newFails(std::uint32_t Share, Millis SinceStart,
                const std::string &Route);
  double slowdown(bool ToNew, Millis SinceStart);
  bool sharedFailure(Millis SinceStart);

  const FaultScenario Wrong;
  const bool Concentrated;
  std::mt19937_64 Random;
  double CallsPerSecond;
  double RareRate;
  Millis EventAt;
  std::size_t Deaths = 0;
  double CrashEvery;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FAKE_SERVICE_H
