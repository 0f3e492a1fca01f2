#include "persimmonquay/move/evidence_table.h"

#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Maximum distance from now of a span whose cells are still merged; older
/// cells are compacted.
constexpr Millis MaxSpanDistance = std::chrono::hours(1);
/// Maximum number of cells in a table; further cells of other nodes are
/// ignored.
constexpr std::size_t MaxCells = 100000;
/// Spans that `compact()` adds up: one minute.
constexpr std::int64_t SpansPerCompactedSpan = 12;

void addCell(const proto::EvidenceCell &Cell, VersionCounts *Counts) {
  Counts->Calls += static_cast<double>(Cell.calls());
  Counts->Errors += static_cast<double>(Cell.errors());
  const int Buckets =
      std::min(Cell.latency_size(), static_cast<int>(LatencyBucketCount));
  for (int I = 0; I < Buckets; ++I)
    Counts->Latency[static_cast<std::size_t>(I)] += Cell.latency(I);
}

} // namespace internal

EvidenceTable::EvidenceTable(std::string MoveName, std::string NodeName,
                             std::uint64_t BootNumber)
    : MoveName(std::move(MoveName)), NodeName(std::move(NodeName)),
      BootNumber(BootNumber) {}

std::int64_t EvidenceTable::spanOf(WallTime Time) {
  return Time.time_since_epoch() / EvidenceSpanLength;
}

void EvidenceTable::count(const CallResult &Result, WallTime Now) {
  const CellKey Key{spanOf(Now), Result.Route, Result.ToNewVersion,
                    this->NodeName, this->BootNumber};
  proto::EvidenceCell &Cell = this->Cells[Key];
  if (Cell.calls() == 0) {
    Cell.set_move(this->MoveName);
    Cell.set_node(this->NodeName);
    Cell.set_boot(this->BootNumber);
    Cell.set_span(spanOf(Now));
    Cell.set_route(Result.Route);
    Cell.set_to_new_version(Result.ToNewVersion);
  }
  Cell.set_calls(Cell.calls() + 1);
  if (Result.Failed)
    Cell.set_errors(Cell.errors() + 1);
  if (!Result.IncludeLatency || Result.Failed)
    return;
  const std::size_t Bucket = latencyBucket(Result.Latency);
  while (static_cast<std::size_t>(Cell.latency_size()) <= Bucket)
    Cell.add_latency(0);
  const int Index = static_cast<int>(Bucket);
  Cell.set_latency(Index, Cell.latency(Index) + 1);
}

bool EvidenceTable::merge(const proto::EvidenceCell &Cell, WallTime Now) {
  if (Cell.move() != this->MoveName || Cell.node() == this->NodeName)
    return false;
  const std::int64_t Distance = Cell.span() - spanOf(Now);
  const std::int64_t MaxDistance =
      internal::MaxSpanDistance / EvidenceSpanLength;
  if (std::abs(Distance) > MaxDistance || Cell.errors() > Cell.calls())
    return false;
  const CellKey Key{Cell.span(), Cell.route(), Cell.to_new_version(),
                    Cell.node(), Cell.boot()};
  const auto Found = this->Cells.find(Key);
  if (Found == this->Cells.end()) {
    if (this->Cells.size() >= internal::MaxCells)
      return false;
    this->Cells.emplace(Key, Cell);
    return true;
  }
  if (Found->second.calls() >= Cell.calls())
    return false;
  Found->second = Cell;
  return true;
}

void EvidenceTable::compact(WallTime Now) {
  const CellKey FirstKept{spanOf(Now - internal::MaxSpanDistance), "", false,
                          "", 0};
  const auto End = this->Cells.lower_bound(FirstKept);
  for (auto It = this->Cells.begin(); It != End; ++It) {
    const proto::EvidenceCell &Cell = It->second;
    const std::int64_t FirstSpan =
        Cell.span() - Cell.span() % internal::SpansPerCompactedSpan;
    SpanCounts &Counts = this->Compacted[Cell.route()][FirstSpan];
    Counts.Span = FirstSpan;
    internal::addCell(Cell, Cell.to_new_version() ? &Counts.New : &Counts.Old);
  }
  this->Cells.erase(this->Cells.begin(), End);
}

std::vector<proto::EvidenceCell>
EvidenceTable::ownCells(WallTime Now, std::int64_t PreviousSpans) const {
  std::vector<proto::EvidenceCell> Result;
  const CellKey FirstKey{spanOf(Now) - PreviousSpans, "", false, "", 0};
  for (auto It = this->Cells.lower_bound(FirstKey); It != this->Cells.end();
       ++It)
    if (It->second.node() == this->NodeName &&
        It->second.boot() == this->BootNumber)
      Result.push_back(It->second);
  return Result;
}

std::map<std::string, std::vector<SpanCounts>> EvidenceTable::byRoute() const {
  std::map<std::string, std::vector<SpanCounts>> Result;
  for (const auto &[Route, Spans] : this->Compacted)
    for (const auto &[FirstSpan, Counts] : Spans)
      Result[Route].push_back(Counts);
  for (const auto &[Key, Cell] : this->Cells) {
    std::vector<SpanCounts> &Spans = Result[Cell.route()];
    if (Spans.empty() || Spans.back().Span != Cell.span())
      Spans.push_back(SpanCounts{Cell.span(), {}, {}});
    internal::addCell(Cell, Cell.to_new_version() ? &Spans.back().New
                                                  : &Spans.back().Old);
  }
  return Result;
}

double EvidenceTable::newVersionCallsSince(WallTime StartTime) const {
  double Calls = 0;
  const std::int64_t FirstCompactedSpan =
      spanOf(StartTime) - spanOf(StartTime) % internal::SpansPerCompactedSpan;
  for (const auto &[Route, Spans] : this->Compacted)
    for (auto It = Spans.lower_bound(FirstCompactedSpan); It != Spans.end();
         ++It)
      Calls += It->second.New.Calls;
  const CellKey FirstKey{spanOf(StartTime), "", false, "", 0};
  for (auto It = this->Cells.lower_bound(FirstKey); It != this->Cells.end();
       ++It)
    if (It->second.to_new_version())
      Calls += static_cast<double>(It->second.calls());
  return Calls;
}

VersionCounts EvidenceTable::newVersionTotals() const {
  VersionCounts Totals;
  for (const auto &[Route, Spans] : this->Compacted)
    for (const auto &[FirstSpan, Counts] : Spans) {
      Totals.Calls += Counts.New.Calls;
      Totals.Errors += Counts.New.Errors;
    }
  for (const auto &[Key, Cell] : this->Cells)
    if (Cell.to_new_version())
      internal::addCell(Cell, &Totals);
  return Totals;
}

} // namespace persimmonquay
