// Counts of calls to the old and the new version, merged from many nodes.
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

/// Length of one span; old and new are compared within the same span.
inline constexpr Millis EvidenceSpanLength{5000};

/// Calls to one version of one route in one span, over all nodes.
struct VersionCounts {
  double Calls = 0;
  double Errors = 0;
  std::array<double, LatencyBucketCount> Latency{};
};

/// Both versions side by side.
struct SpanCounts {
  std::int64_t Span = 0;
  VersionCounts Old;
  VersionCounts New;
};

/// Result of one call, as the node beside the upstream saw it.
struct CallResult {
  std::string Route;
  bool ToNewVersion = false;
  bool Failed = false;
  /// False while the upstream is in its cold start.
  bool IncludeLatency = true;
  std::chrono::microseconds Latency{0};
};

/// The evidence about one move. Each node counts its own calls in cells and
/// sends the cells to the others; a cell only grows, so merging takes the
/// larger copy and nothing is counted twice. Cells carry the boot number of
/// their node: a restarted node starts new cells beside the old ones.
///
/// Not thread-safe.
///
/// Example:
///   EvidenceTable Table("m1", "node-a", BootNumber);
///   Table.count(Result, Now);
///   send(Table.ownCells(Now));
class EvidenceTable {
public:
  EvidenceTable(std::string Move, std::string Node, std::uint64_t Boot);

  // Commands.

  /// Counts a call of this node's own upstream.
  void count(const CallResult &Result, WallTime Now);

  /// Merges a cell of another node; returns true when it brought something.
  /// Cells of other moves, of this node itself, or with a span more than an
  /// hour from `Now` are ignored.
  bool merge(const proto::EvidenceCell &Cell, WallTime Now);

  /// Adds up the cells of spans more than an hour old, which can't change any
  /// more, over nodes and over a minute, so that long moves need little memory.
  void compact(WallTime Now);

  // Queries.

  /// Returns this node's cells of the current span and the `Back` before it.
  std::vector<proto::EvidenceCell> ownCells(WallTime Now,
                                            std::int64_t Back) const;

  /// Returns, for each route, the spans in order of time.
  std::map<std::string, std::vector<SpanCounts>> byRoute() const;

  /// Returns the calls to the new version since `Since`.
  double newVersionCallsSince(WallTime Since) const;

  /// Returns the totals of the new version.
  VersionCounts newVersionTotals() const;

  static std::int64_t spanOf(WallTime Time);

private:
  // Span, route, new version, node, boot.
  using CellKey =
      std::tuple<std::int64_t, std::string, bool, std::string, std::uint64_t>;

  std::string Move;
  std::string Node;
  std::uint64_t Boot;
  std::map<CellKey, proto::EvidenceCell> Cells;
  /// What `compact()` added up, by route and by the first span.
  std::map<std::string, std::map<std::int64_t, SpanCounts>> Compacted;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MOVE_EVIDENCE_TABLE_H
