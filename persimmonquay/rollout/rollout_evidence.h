// Adds up the call counts that nodes report for a service's versions during a
// rollout.
#ifndef PERSIMMONQUAY_ROLLOUT_ROLLOUT_EVIDENCE_H
#define PERSIMMONQUAY_ROLLOUT_ROLLOUT_EVIDENCE_H

#include "persimmonquay/move/evidence_table.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonquay {

/// Call counts of the target version and of the other versions, by route and
/// span of time. Tallies only grow, so that lost and duplicate messages do no
/// harm: of two copies the larger one counts.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   Evidence.merge(Tally);
///   Evidence.closeSpan();
///   decideRollout(Limits, Situation, Evidence.byRoute());
class RolloutEvidence {
public:
  /// Calls of one or several versions since the rollout was ordered.
  struct Totals {
    std::uint64_t Calls = 0;
    /// Includes `Rejected`.
    std::uint64_t Failures = 0;
    /// Calls that the upstream rejected and did not run.
    std::uint64_t Rejected = 0;
  };

  explicit RolloutEvidence(std::string Target)
      : TargetVersion(std::move(Target)) {}

  // Commands.

  /// Adds what the tally has counted since the last copy of it to the open
  /// span. The first tally of another version than the target is only taken as
  /// the starting point.
  void merge(const proto::RolloutTally &Tally);

  /// Ends the open span, in which the versions are compared, and begins the
  /// next.
  void closeSpan();

  /// Forgets the spans, so that only later calls are evidence. The totals stay.
  void restart();

  // Queries.

  /// Returns the closed spans of each route, oldest first.
  const std::map<std::string, std::vector<SpanCounts>> &byRoute() const {
    return this->ClosedSpans;
  }

  /// Returns how often the calls of all versions except the target usually
  /// failed until the order, by route, as far as their nodes know; no
  /// latencies.
  std::map<std::string, VersionCounts> othersBeforeOrder() const;

  const Totals &target() const { return this->TargetTotals; }
  /// Returns the totals of all versions except the target.
  const Totals &others() const { return this->OtherTotals; }

private:
  using TallyKey = std::tuple<std::string, std::uint64_t, std::string,
                              std::string>; // node, boot, version, route

  std::string TargetVersion;
  std::map<TallyKey, proto::RolloutTally> NewestTallies;
  std::map<std::string, SpanCounts> OpenSpans;
  std::map<std::string, std::vector<SpanCounts>> ClosedSpans;
  std::int64_t Span = 0;
  Totals TargetTotals;
  Totals OtherTotals;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROLLOUT_ROLLOUT_EVIDENCE_H
