#include "persimmonquay/rollout/rollout_evidence.h"

#include <algorithm>

namespace persimmonquay {

void RolloutEvidence::merge(const proto::RolloutTally &Tally) {
  const bool IsTarget = Tally.version() == this->TargetVersion;
  const Source Key{Tally.node(), Tally.boot(), Tally.version(), Tally.route()};
  const auto Found = this->Newest.find(Key);
  // What other versions counted before the order says nothing about it.
  if (Found == this->Newest.end() && !IsTarget) {
    this->Newest[Key] = Tally;
    return;
  }
  proto::RolloutTally Before;
  if (Found != this->Newest.end())
    Before = Found->second;
  if (Tally.calls() <= Before.calls())
    return;
  SpanCounts &Counts = this->Open[Tally.route()];
  Counts.Span = this->Span;
  VersionCounts &Side = IsTarget ? Counts.New : Counts.Old;
  Side.Calls += Tally.calls() - Before.calls();
  Side.Errors += Tally.failures() - Before.failures();
  for (int I = 0; I < std::min<int>(Tally.latency_size(), LatencyBucketCount);
       ++I) {
    const std::uint32_t Known =
        I < Before.latency_size() ? Before.latency(I) : 0;
    Side.Latency[static_cast<std::size_t>(I)] += Tally.latency(I) - Known;
  }
  if (IsTarget) {
    this->TargetCalls += Tally.calls() - Before.calls();
    this->TargetFailures += Tally.failures() - Before.failures();
  }
  this->Newest[Key] = Tally;
}

void RolloutEvidence::closeSpan() {
  for (auto &[Route, Counts] : this->Open)
    this->Closed[Route].push_back(Counts);
  this->Open.clear();
  ++this->Span;
}

} // namespace persimmonquay
