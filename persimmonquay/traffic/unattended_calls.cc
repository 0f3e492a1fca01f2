#include "persimmonquay/traffic/unattended_calls.h"

#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Bounds memory; several times the slots of an upstream.
constexpr std::size_t MaxUnattendedCalls = 64;

bool endsEarlier(const SentCall &Left, const SentCall &Right) {
  return Left.EndsBy < Right.EndsBy;
}

} // namespace internal

void UnattendedCalls::add(SentCall Call) {
  this->Calls.push_back(std::move(Call));
  if (this->Calls.size() > internal::MaxUnattendedCalls)
    this->Calls.erase(std::min_element(this->Calls.begin(), this->Calls.end(),
                                       internal::endsEarlier));
}

void UnattendedCalls::removeAnswered(std::uint64_t Fingerprint) {
  std::erase_if(this->Calls, [Fingerprint](const SentCall &Call) {
    return Call.Fingerprint == Fingerprint;
  });
}

void UnattendedCalls::expire(MonoTime Now) {
  std::erase_if(this->Calls,
                [Now](const SentCall &Call) { return Call.EndsBy <= Now; });
}

std::vector<SentCall> UnattendedCalls::takeAll() {
  std::vector<SentCall> Result = std::exchange(this->Calls, {});
  std::reverse(Result.begin(), Result.end());
  return Result;
}

std::optional<MonoTime> UnattendedCalls::lastEnd() const {
  if (this->Calls.empty())
    return std::nullopt;
  return std::max_element(this->Calls.begin(), this->Calls.end(),
                          internal::endsEarlier)
      ->EndsBy;
}

} // namespace persimmonquay
