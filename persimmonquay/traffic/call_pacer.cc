#include "persimmonquay/traffic/call_pacer.h"

#include <algorithm>
#include <cmath>

namespace persimmonquay {
namespace internal {

/// Calls that have not been sent are saved up for this long, so that calls that
/// arrive unevenly can use the whole rate.
constexpr std::chrono::duration<double> BurstTime(0.5);

/// Lowest rate in calls a second. Only a response tells that the limit has been
/// raised or lifted, so a call is sent now and then.
constexpr double MinRate = 0.5;

} // namespace internal

double CallPacer::rate() const {
  return std::max(*this->Limit, internal::MinRate);
}

double CallPacer::tokensAt(MonoTime Now) const {
  const double Elapsed =
      std::chrono::duration<double>(Now - this->TokensAt).count();
  const double MaxTokens =
      std::max(1.0, this->rate() * internal::BurstTime.count());
  return std::min(MaxTokens,
                  this->Tokens + std::max(Elapsed, 0.0) * this->rate());
}

void CallPacer::setLimit(std::optional<double> CallsPerSecond, MonoTime Now) {
  if (CallsPerSecond == this->Limit)
    return;
  this->Tokens = this->Limit ? this->tokensAt(Now) : 0;
  this->TokensAt = Now;
  this->Limit = CallsPerSecond;
}

void CallPacer::recordSend(MonoTime Now) {
  if (!this->Limit)
    return;
  this->Tokens = this->tokensAt(Now) - 1;
  this->TokensAt = Now;
}

MonoTime CallPacer::startTime(std::size_t CallsAhead, MonoTime Now) const {
  if (!this->Limit)
    return Now;
  const double Missing =
      static_cast<double>(CallsAhead) + 1 - this->tokensAt(Now);
  if (Missing <= 0)
    return Now;
  // Rounded up, so that the call may start when a timer for this time expires.
  return Now + Micros(static_cast<std::int64_t>(
                   std::ceil(Missing / this->rate() * 1e6)));
}

} // namespace persimmonquay
