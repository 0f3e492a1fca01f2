// Counts of the calls to the old and the new version of a service during a
// move, merged from all nodes.
#ifndef PERSIMMONQUAY_MOVE_EVIDENCE_TABLE_H
#define PERSIMMONQUAY_MOVE_EVIDENCE_TABLE_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/move/latency_buckets.h"
#include "proto/peer.pb.h"
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonquay {

/// Length of one span of time. The old and the new version are only compared
/// within the same span.
inline constexpr Millis EvidenceSpanLength{5000};

/// Calls through one route to one version in one span, over all nodes.
struct VersionCounts {
  double Calls = 0;
  double Errors = 0;
  /// Calls that the upstream rejected and did not run, which are not in
  /// `Calls`. Not counted by `EvidenceTable`.
  double Rejected = 0;
  /// Calls by latency bucket.
  std::array<double, LatencyBucketCount> Latency{};
};

/// Calls through one route to both versions in one span.
struct SpanCounts {
  /// Number of the span; see `EvidenceTable::spanOf()`.
  std::int64_t Span = 0;
  VersionCounts Old;
  VersionCounts New;
};

/// Result of one call, as seen by the node next to the upstream.
struct CallResult {
  std::string Route;
  bool ToNewVersion = false;
  bool Failed = false;
  /// Whether to count the latency; false during the upstream's cold start.
  bool IncludeLatency = true;
  std::chrono::microseconds Latency{0};
};

/// The evidence about one move. Each node counts its own calls in cells (one
/// per span, route and version) and sends the cells to the other nodes. The
/// counts of a cell only grow, so that merging keeps the larger copy and counts
/// no call twice. Cells carry the boot number of their node, so that a
/// restarted node starts new cells and the old ones remain.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   EvidenceTable Table("m1", "node-a", BootNumber);
///   Table.count(Result, Now);
///   send(Table.ownCells(Now, 1));
class EvidenceTable {
public:
  EvidenceTable(std::string MoveName, std::string NodeName,
                std::uint64_t BootNumber);

  // Commands.

  /// Counts a call that was served by this node's own upstream.
  void count(const CallResult &Result, WallTime Now);

  /// Merges a cell of another node; returns whether it changed the table.
  /// Ignores cells of other moves, of this node itself, with more errors than
  /// calls, or with a span more than an hour from `Now`.
  bool merge(const proto::EvidenceCell &Cell, WallTime Now);

  /// Adds up the cells of spans more than an hour old over all nodes and over
  /// periods of one minute, so that long moves need little memory. Such cells
  /// can no longer change.
  void compact(WallTime Now);

  // Queries.

  /// Returns this node's cells of the current span and of the `PreviousSpans`
  /// spans before it.
  std::vector<proto::EvidenceCell> ownCells(WallTime Now,
                                            std::int64_t PreviousSpans) const;

  /// Returns the spans of each route, oldest first.
  std::map<std::string, std::vector<SpanCounts>> byRoute() const;

  /// Returns the number of calls to the new version since the span that
  /// contains `StartTime`.
  double newVersionCallsSince(WallTime StartTime) const;

  /// Returns the new version's totals over all routes and spans. Compacted
  /// spans contribute no latencies.
  VersionCounts newVersionTotals() const;

  /// Returns the number of the span that contains `Time`.
  static std::int64_t spanOf(WallTime Time);

private:
  // Span, route, new version, node, boot.
  using CellKey =
      std::tuple<std::int64_t, std::string, bool, std::string, std::uint64_t>;

  std::string MoveName;
  std::string NodeName;
  std::uint64_t BootNumber;
  std::map<CellKey, proto::EvidenceCell> Cells;
  /// The sums made by `compact()`, by route and by the first span of each
  /// minute.
  std::map<std::string, std::map<std::int64_t, SpanCounts>> Compacted;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MOVE_EVIDENCE_TABLE_H
