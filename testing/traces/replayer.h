// Replays a node's recorded trace through the configuration state and the move
// policy.
#ifndef PERSIMMONQUAY_TESTING_TRACES_REPLAYER_H
#define PERSIMMONQUAY_TESTING_TRACES_REPLAYER_H

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonquay::testing {

/// The scenario and outcome that the first line of a trace states.
struct ExpectedOutcome {
  std::string Scenario;
  /// State in which the move "m" ends: FINISHED or TAKEN_BACK.
  std::string FinalMoveState;
};

/// What replaying a trace led to.
struct ReplayResult {
  ExpectedOutcome Expected;
  /// Number of configuration records applied.
  std::size_t ConfigRecords = 0;
  /// Number of evidence cells that changed the evidence table once the move was
  /// known.
  std::size_t EvidenceCells = 0;
  /// The configuration version after each record.
  std::vector<std::uint64_t> Versions;
  /// Whether all references within the configuration resolved after every
  /// record.
  bool ReferencesAlwaysResolved = true;
  /// State of the move "m" after the last record.
  std::string FinalMoveState;
  /// Whether the policy, consulted after every evidence cell, decided to roll
  /// back, and its reason for the first such decision.
  bool PolicyRollsBack = false;
  std::string Reason;
};

/// Replays the trace at `Path`. A trace has a line with the expected outcome
/// and then the lines that a node's TraceRecorder wrote.
ReplayResult replayTrace(const std::string &Path);

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_TRACES_REPLAYER_H
