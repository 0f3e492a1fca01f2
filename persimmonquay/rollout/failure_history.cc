#include "persimmonquay/rollout/failure_history.h"

#include <algorithm>
#include <vector>

namespace persimmonquay {

void FailureHistory::record(bool Failed) {
  this->OpenFailures += Failed ? 1 : 0;
  if (++this->OpenCalls < WindowCalls)
    return;
  this->Windows.push_back(this->OpenFailures);
  if (this->Windows.size() > MaxWindows)
    this->Windows.pop_front();
  this->OpenCalls = 0;
  this->OpenFailures = 0;
}

FailureHistory::UsualCounts FailureHistory::usual() const {
  if (this->Windows.empty())
    return {};
  std::vector<std::uint32_t> Sorted(this->Windows.begin(), this->Windows.end());
  const auto Quartile =
      Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() / 4);
  std::nth_element(Sorted.begin(), Quartile, Sorted.end());
  const auto Count = static_cast<std::uint32_t>(Sorted.size());
  return {WindowCalls * Count, *Quartile * Count};
}

} // namespace persimmonquay
