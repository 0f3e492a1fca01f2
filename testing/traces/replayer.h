// Replays a node's recorded trace through the deciding parts.
#ifndef PERSIMMONQUAY_TESTING_TRACES_REPLAYER_H
#define PERSIMMONQUAY_TESTING_TRACES_REPLAYER_H

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonquay::testing {

/// What the first line of a trace states of it.
struct StatedOutcome {
  std::string Condition;
  /// State in which the move "m" ends: FINISHED or TAKEN_BACK.
  std::string MoveEnds;
};

/// What replaying came to.
struct ReplayResult {
  StatedOutcome Stated;
  std::size_t ConfigRecords = 0;
  std::size_t EvidenceCells = 0;
  /// Versions after each record.
  std::vector<std::uint64_t> Versions;
  bool ReferencesAlwaysClosed = true;
  std::string MoveEnds;
  /// Whether the policy, looking after every cell, decided to take back.
  bool PolicyTakesBack = false;
  std::string Reason;
};

/// Replays the trace at `Path`. A trace has a line with the stated outcome and
/// then the lines that a node's TraceRecorder wrote.
ReplayResult replayTrace(const std::string &Path);

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_TRACES_REPLAYER_H
