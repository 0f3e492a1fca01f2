#include "persimmonquay/fleet/store_retry.h"

#include <algorithm>

namespace persimmonquay {
namespace internal {

constexpr Millis MinRetryInterval{100};
constexpr Millis MinRetryPause{50};

/// Interval up to which attempts are spaced by half of the time since the first
/// failure, and beyond it by a quarter: a change has to be active within two
/// seconds.
constexpr Millis ShortRetryInterval{1000};
constexpr int ShortOutageDivisor = 2;
constexpr int LongOutageDivisor = 4;

/// All callers together make at most one attempt in this time on average. A
/// store takes some hundred writes a second.
constexpr Millis SpacingOfCallers{4};

constexpr Millis MaxRetryInterval{60000};

/// An interval is shortened to this part of it at most.
constexpr double MinJitter = 0.5;

} // namespace internal

Millis StoreRetry::maxInterval(std::size_t Callers) {
  return std::clamp(internal::SpacingOfCallers *
                        static_cast<std::int64_t>(Callers),
                    internal::ShortRetryInterval, internal::MaxRetryInterval);
}

Millis StoreRetry::recordFailure(MonoTime Start, MonoTime Now,
                                 std::size_t Callers) {
  if (!this->FirstFailure)
    this->FirstFailure = Start;
  const auto Outage =
      std::chrono::duration_cast<Millis>(Now - *this->FirstFailure);
  const Millis Wanted = std::max(std::min(Outage / internal::ShortOutageDivisor,
                                          internal::ShortRetryInterval),
                                 Outage / internal::LongOutageDivisor);
  const Millis Interval =
      std::clamp(Wanted, internal::MinRetryInterval, maxInterval(Callers));
  std::uniform_real_distribution<double> Jitter(internal::MinJitter, 1);
  const auto Jittered =
      std::chrono::duration_cast<Millis>(Interval * Jitter(this->Random));
  return std::max(Jittered - std::chrono::duration_cast<Millis>(Now - Start),
                  internal::MinRetryPause);
}

} // namespace persimmonquay
