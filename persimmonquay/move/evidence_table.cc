#include "persimmonquay/move/evidence_table.h"

#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

constexpr Millis MaxSpanDistance = std::chrono::hours(1);
constexpr std::size_t MaxCells = 100000;
constexpr std::int64_t SpansJoined = 12;

void addCell(const proto::EvidenceCell &Cell, VersionCounts *Counts) {
  Counts->Calls += static_cast<double>(Cell.calls());
  Counts->Errors += static_cast<double>(Cell.errors());
  const int Buckets =
      std::min(Cell.latency_size(), static_cast<int>(LatencyBucketCount));
  for (int I = 0; I < Buckets; ++I)
    Counts->Latency[static_cast<std::size_t>(I)] += Cell.latency(I);
}

} // namespace internal

EvidenceTable::EvidenceTable(std::string Move, std::string Node,
                             std::uint64_t Boot)
    : Move(std::move(Move)), Node(std::move(Node)), Boot(Boot) {}

std::int64_t EvidenceTable::spanOf(WallTime Time) {
  return Time.time_since_epoch() / EvidenceSpanLength;
}

void EvidenceTable::count(const CallResult &Result, WallTime Now) {
  const CellKey Key{spanOf(Now), Result.Route, Result.ToNewVersion, this->Node,
                    this->Boot};
  proto::EvidenceCell &Cell = this->Cells[Key];
  if (Cell.calls() == 0) {
    Cell.set_move(this->Move);
    Cell.set_node(this->Node);
    Cell.set_boot(this->Boot);
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
  if (Cell.move() != this->Move || Cell.node() == this->Node)
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
  const CellKey Newest{spanOf(Now - internal::MaxSpanDistance), "", false, "",
                       0};
  const auto End = this->Cells.lower_bound(Newest);
  for (auto It = this->Cells.begin(); It != End; ++It) {
    const proto::EvidenceCell &Cell = It->second;
    const std::int64_t First =
        Cell.span() - Cell.span() % internal::SpansJoined;
    SpanCounts &Counts = this->Compacted[Cell.route()][First];
    Counts.Span = First;
    internal::addCell(Cell, Cell.to_new_version() ? &Counts.New : &Counts.Old);
  }
  this->Cells.erase(this->Cells.begin(), End);
}

std::vector<proto::EvidenceCell>
EvidenceTable::ownCells(WallTime Now, std::int64_t Back) const {
  std::vector<proto::EvidenceCell> Result;
  const CellKey From{spanOf(Now) - Back, "", false, "", 0};
  for (auto It = this->Cells.lower_bound(From); It != this->Cells.end(); ++It)
    if (It->second.node() == this->Node && It->second.boot() == this->Boot)
      Result.push_back(It->second);
  return Result;
}

std::map<std::string, std::vector<SpanCounts>> EvidenceTable::byRoute() const {
  std::map<std::string, std::vector<SpanCounts>> Result;
  for (const auto &[Route, Spans] : this->Compacted)
    for (const auto &[First, Counts] : Spans)
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

double EvidenceTable::newVersionCallsSince(WallTime Since) const {
  double Calls = 0;
  const std::int64_t FirstJoined =
      spanOf(Since) - spanOf(Since) % internal::SpansJoined;
  for (const auto &[Route, Spans] : this->Compacted)
    for (auto It = Spans.lower_bound(FirstJoined); It != Spans.end(); ++It)
      Calls += It->second.New.Calls;
  const CellKey From{spanOf(Since), "", false, "", 0};
  for (auto It = this->Cells.lower_bound(From); It != this->Cells.end(); ++It)
    if (It->second.to_new_version())
      Calls += static_cast<double>(It->second.calls());
  return Calls;
}

VersionCounts EvidenceTable::newVersionTotals() const {
  VersionCounts Totals;
  for (const auto &[Route, Spans] : this->Compacted)
    for (const auto &[First, Counts] : Spans) {
      Totals.Calls += Counts.New.Calls;
      Totals.Errors += Counts.New.Errors;
    }
  for (const auto &[Key, Cell] : this->Cells)
    if (Cell.to_new_version())
      internal::addCell(Cell, &Totals);
  return Totals;
}

} // namespace persimmonquay
