// Replays recorded traces of moves against their stated outcomes. The traces
// were recorded over processes by record_trace.
#include "testing/traces/replayer.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <set>

namespace persimmonquay::testing {
namespace {

std::vector<std::filesystem::path> traces() {
  std::vector<std::filesystem::path> Result;
  for (const auto &Entry :
       std::filesystem::directory_iterator(PQ_TRACE_DIRECTORY))
    if (Entry.path().extension() == ".trace")
      Result.push_back(Entry.path());
  std::sort(Result.begin(), Result.end());
  return Result;
}

TEST_CASE("every trace replays to its stated outcome") {
  for (const auto &Path : traces()) {
    const ReplayResult Result = replayTrace(Path.string());
    INFO(Result.Stated.Condition, ": ", Result.Reason);
    CHECK(Result.EvidenceCells > 0);
    CHECK(Result.ConfigRecords > 0);
    CHECK(std::is_sorted(Result.Versions.begin(), Result.Versions.end()));
    CHECK(Result.ReferencesAlwaysClosed);
    CHECK(Result.MoveEnds == Result.Stated.MoveEnds);
    CHECK(Result.PolicyTakesBack == (Result.Stated.MoveEnds == "TAKEN_BACK"));
  }
}

TEST_CASE("there are traces of bad versions and of innocent ones") {
  std::set<std::string> Ends;
  for (const auto &Path : traces())
    Ends.insert(replayTrace(Path.string()).Stated.MoveEnds);
  CHECK(Ends == std::set<std::string>{"FINISHED", "TAKEN_BACK"});
}

} // namespace
} // namespace persimmonquay::testing
