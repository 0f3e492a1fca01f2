#include "persimmonquay/traffic/retry_budget.h"

#include <algorithm>

namespace persimmonquay {
namespace internal {

/// Number of slices into which the window is divided. A retry is counted for
/// at most one slice longer than the window.
constexpr int SlicesPerWindow = 20;

/// Fraction of the limit that nodes spend. The rest covers the nested calls
/// that upstreams make while they serve a retry, which are retries at the
/// services they call: two nested calls for each retry double the demand.
constexpr double UsableFraction = 0.45;

} // namespace internal

void RetryBudget::recordCall(MonoTime Now) { ++this->currentSlice(Now).Calls; }

double RetryBudget::remaining(std::size_t NodeCount, MonoTime Now) {
  this->dropSlicesBefore(Now - this->Limits.Window -
                         this->Limits.Window / internal::SlicesPerWindow);
  double Calls = 0;
  double Retries = 0;
  for (const Slice &Counts : this->Slices) {
    Calls += Counts.Calls;
    Retries += Counts.Retries;
  }
  const double ExtraShare =
      this->Limits.ExtraRetries /
      static_cast<double>(std::max<std::size_t>(NodeCount, 1));
  return internal::UsableFraction * (this->Limits.Ratio * Calls + ExtraShare) -
         Retries;
}

bool RetryBudget::trySpend(std::size_t NodeCount, MonoTime Now) {
  if (this->remaining(NodeCount, Now) < 1)
    return false;
  ++this->currentSlice(Now).Retries;
  return true;
}

void RetryBudget::charge(std::uint32_t Retries, MonoTime Now) {
  this->currentSlice(Now).Retries += Retries;
}

RetryBudget::Slice &RetryBudget::currentSlice(MonoTime Now) {
  const Millis Length = this->Limits.Window / internal::SlicesPerWindow;
  if (this->Slices.empty() || Now - this->Slices.back().Start >= Length)
    this->Slices.push_back({Now, 0, 0});
  return this->Slices.back();
}

void RetryBudget::dropSlicesBefore(MonoTime Time) {
  while (!this->Slices.empty() && this->Slices.front().Start < Time)
    this->Slices.pop_front();
}

} // namespace persimmonquay
