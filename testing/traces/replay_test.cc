// Replays recorded traces of moves and checks that each leads to the outcome
// that it states. record_trace recorded the traces from moves between
// processes.
#include "testing/traces/replayer.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <set>

namespace persimmonquay::testing {
namespace {

std::vector<std::filesystem::path> tracePaths() {
  std::vector<std::filesystem::path> Result;
  for (const auto &Entry :
       std::filesystem::directory_iterator(PQ_TRACE_DIRECTORY))
    if (Entry.path().extension() == ".trace")
      Result.push_back(Entry.path());
  std::sort(Result.begin(), Result.end());
  return Result;
}

TEST_CASE("every trace replays to its expected outcome") {
  for (const auto &Path : tracePaths()) {
    const ReplayResult Result = replayTrace(Path.string());
    INFO(Result.Expected.Scenario, ": ", Result.Reason);
    CHECK(Result.EvidenceCells > 0);
    CHECK(Result.ConfigRecords > 0);
    CHECK(std::is_sorted(Result.Versions.begin(), Result.Versions.end()));
    CHECK(Result.ReferencesAlwaysResolved);
    CHECK(Result.FinalMoveState == Result.Expected.FinalMoveState);
    CHECK(Result.PolicyRollsBack ==
          (Result.Expected.FinalMoveState == "TAKEN_BACK"));
  }
}

TEST_CASE("there are traces of faulty and of healthy versions") {
  std::set<std::string> FinalStates;
  for (const auto &Path : tracePaths())
    FinalStates.insert(replayTrace(Path.string()).Expected.FinalMoveState);
  CHECK(FinalStates == std::set<std::string>{"FINISHED", "TAKEN_BACK"});
}

} // namespace
} // namespace persimmonquay::testing
