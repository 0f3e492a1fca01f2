#include "persimmonquay/rollout/rollout_evidence.h"

#include <algorithm>

namespace persimmonquay {

void RolloutEvidence::merge(const proto::RolloutTally &Tally) {
  const bool IsTarget = Tally.version() == this->TargetVersion;
  const TallyKey Key{Tally.node(), Tally.boot(), Tally.version(),
                     Tally.route()};
  const auto Found = this->NewestTallies.find(Key);
  // Calls that other versions served before the rollout are no evidence for it.
  if (Found == this->NewestTallies.end() && !IsTarget) {
    this->NewestTallies[Key] = Tally;
    return;
  }
  proto::RolloutTally Previous;
  if (Found != this->NewestTallies.end())
    Previous = Found->second;
  if (Tally.calls() <= Previous.calls())
    return;
  SpanCounts &Counts = this->OpenSpans[Tally.route()];
  Counts.Span = this->Span;
  VersionCounts &Version = IsTarget ? Counts.New : Counts.Old;
  const std::uint32_t Rejected = Tally.rejected() - Previous.rejected();
  Version.Calls += Tally.calls() - Previous.calls() - Rejected;
  Version.Errors += Tally.failures() - Previous.failures() - Rejected;
  Version.Rejected += Rejected;
  for (int I = 0; I < std::min<int>(Tally.latency_size(), LatencyBucketCount);
       ++I) {
    const std::uint32_t PreviousCount =
        I < Previous.latency_size() ? Previous.latency(I) : 0;
    Version.Latency[static_cast<std::size_t>(I)] +=
        Tally.latency(I) - PreviousCount;
  }
  Totals &Sum = IsTarget ? this->TargetTotals : this->OtherTotals;
  Sum.Calls += Tally.calls() - Previous.calls();
  Sum.Failures += Tally.failures() - Previous.failures();
  Sum.Rejected += Tally.rejected() - Previous.rejected();
  this->NewestTallies[Key] = Tally;
}

void RolloutEvidence::closeSpan() {
  for (auto &[Route, Counts] : this->OpenSpans)
    this->ClosedSpans[Route].push_back(Counts);
  this->OpenSpans.clear();
  ++this->Span;
}

void RolloutEvidence::restart() {
  this->OpenSpans.clear();
  this->ClosedSpans.clear();
}

std::map<std::string, VersionCounts>
RolloutEvidence::othersBeforeOrder() const {
  std::map<std::string, VersionCounts> Result;
  for (const auto &[Key, Tally] : this->NewestTallies) {
    if (Tally.version() == this->TargetVersion)
      continue;
    VersionCounts &Counts = Result[Tally.route()];
    Counts.Calls += Tally.usual_calls_before_order();
    Counts.Errors += Tally.usual_failures_before_order();
  }
  return Result;
}

} // namespace persimmonquay
