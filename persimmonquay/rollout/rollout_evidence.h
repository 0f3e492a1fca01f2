// Adds up what nodes count about a service's versions while one is brought in.
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

/// Counts of the target version and of the others, by route and span. Tallies
/// only grow, so that lost and repeated messages do no harm: of two copies the
/// larger counts.
///
/// Pure; not thread-safe.
///
/// Example:
///   Evidence.merge(Tally);
///   Evidence.closeSpan();
///   Policy.judge(Evidence.byRoute());
class RolloutEvidence {
public:
  explicit RolloutEvidence(std::string Target)
      : TargetVersion(std::move(Target)) {}

  // Commands.

  void merge(const proto::RolloutTally &Tally);

  /// Ends the span in which old and new are compared, and begins the next.
  void closeSpan();

  // Queries.

  /// Returns the spans of each route, in order of time.
  const std::map<std::string, std::vector<SpanCounts>> &byRoute() const {
    return this->Closed;
  }

  std::uint64_t targetCalls() const { return this->TargetCalls; }
  std::uint64_t targetFailures() const { return this->TargetFailures; }

private:
  using Source = std::tuple<std::string, std::uint64_t, std::string,
                            std::string>; // node, boot, version, route

  std::string TargetVersion;
  std::map<Source, proto::RolloutTally> Newest;
  std::map<std::string, SpanCounts> Open;
  std::map<std::string, std::vector<SpanCounts>> Closed;
  std::int64_t Span = 0;
  std::uint64_t TargetCalls = 0;
  std::uint64_t TargetFailures = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROLLOUT_ROLLOUT_EVIDENCE_H
