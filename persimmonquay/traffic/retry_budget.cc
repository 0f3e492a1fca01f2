#include "persimmonquay/traffic/retry_budget.h"

#include <algorithm>

namespace persimmonquay {
namespace internal {

/// Parts into which a window is cut; a repeat is counted for at most one part
/// longer than the window.
constexpr int SlicesInWindow = 20;

/// Part of the bound that is used. The rest covers the calls that upstreams
/// make while they run a repeat, which are repeats at the services called: two
/// for each repeat double the demand.
constexpr double UsedPart = 0.45;

} // namespace internal

void RetryBudget::recordCall(MonoTime Now) { ++this->currentSlice(Now).Calls; }

double RetryBudget::remaining(std::size_t Nodes, MonoTime Now) {
  this->forgetBefore(Now - this->Limits.Window -
                     this->Limits.Window / internal::SlicesInWindow);
  double Calls = 0;
  double Repeats = 0;
  for (const Slice &Each : this->Slices) {
    Calls += Each.Calls;
    Repeats += Each.Repeats;
  }
  const double Share = this->Limits.ExtraRetries /
                       static_cast<double>(std::max<std::size_t>(Nodes, 1));
  return internal::UsedPart * (this->Limits.Ratio * Calls + Share) - Repeats;
}

bool RetryBudget::trySpend(std::size_t Nodes, MonoTime Now) {
  if (this->remaining(Nodes, Now) < 1)
    return false;
  ++this->currentSlice(Now).Repeats;
  return true;
}

void RetryBudget::charge(std::uint32_t Repeats, MonoTime Now) {
  this->currentSlice(Now).Repeats += Repeats;
}

RetryBudget::Slice &RetryBudget::currentSlice(MonoTime Now) {
  const Millis Length = this->Limits.Window / internal::SlicesInWindow;
  if (this->Slices.empty() || Now - this->Slices.back().Start >= Length)
    this->Slices.push_back({Now, 0, 0});
  return this->Slices.back();
}

void RetryBudget::forgetBefore(MonoTime Oldest) {
  while (!this->Slices.empty() && this->Slices.front().Start < Oldest)
    this->Slices.pop_front();
}

} // namespace persimmonquay
