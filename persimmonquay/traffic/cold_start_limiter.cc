#include "persimmonquay/traffic/cold_start_limiter.h"

#include <algorithm>
#include <cmath>

namespace persimmonquay {
namespace internal {

/// Cold time that is assumed if the service states none.
constexpr Millis DefaultColdDuration{5000};

/// Longest cold time that is believed. Heartbeats repeat it, so that a longer
/// one only matters if they stop.
constexpr Millis MaxColdDuration{60000};

/// Lowest rate in calls a second.
constexpr double MinRate = 0.01;

/// Calls of other upstreams for which room is kept, and the time without such a
/// call after which none is. Less than what the bucket holds at usual rates.
constexpr std::size_t NestedReserve = 2;
constexpr Millis NestedOfferAge{2000};

/// Lowest rate at which room is kept: the bucket holds calls of half a second.
constexpr double MinRateForReserve = 2 * (NestedReserve + 1);

/// Longest time that a refused call is told to wait. An upstream that is only
/// assumed to be cold is warm sooner, and nodes that come back find out.
constexpr Millis MaxReturnDelay{1000};

} // namespace internal

MonoTime ColdStartLimiter::coldUntil() const {
  if (!this->AssumedAt)
    return this->ToldUntil;
  return std::max(this->ToldUntil,
                  *this->AssumedAt + (this->Duration > Millis{0}
                                          ? this->Duration
                                          : internal::DefaultColdDuration));
}

void ColdStartLimiter::prepareBucket(MonoTime Now) {
  if (Now < this->coldUntil())
    return;
  this->Pacer = CallPacer();
  if (this->CallsPerSecond > 0)
    this->Pacer.setLimit(this->CallsPerSecond, Now);
}

void ColdStartLimiter::setLimits(Millis ColdDuration, double Rate,
                                 MonoTime Now) {
  this->Duration = std::min(ColdDuration, internal::MaxColdDuration);
  const bool IsLimited = std::isfinite(Rate) && Rate > 0;
  const double NewRate = IsLimited ? std::max(Rate, internal::MinRate) : 0;
  if (NewRate == this->CallsPerSecond)
    return;
  this->CallsPerSecond = NewRate;
  if (IsLimited)
    this->Pacer.setLimit(NewRate, Now);
  else
    this->Pacer = CallPacer();
}

void ColdStartLimiter::assumeCold(MonoTime Now) {
  this->prepareBucket(Now);
  this->AssumedAt = Now;
}

void ColdStartLimiter::recordRemaining(Millis ColdTime, MonoTime Now) {
  this->prepareBucket(Now);
  this->ToldUntil =
      Now + std::clamp(ColdTime, Millis{0}, internal::MaxColdDuration);
  this->AssumedAt.reset();
}

void ColdStartLimiter::recordSend(MonoTime Now) {
  if (this->isCold(Now))
    this->Pacer.recordSend(Now);
}

Micros ColdStartLimiter::scheduleReturn(std::size_t CallsAhead, MonoTime Now) {
  if (!this->isCold(Now))
    return Micros{0};
  const auto Interval = std::chrono::duration_cast<MonoTime::duration>(
      std::chrono::duration<double>(1 / this->CallsPerSecond));
  const MonoTime Earliest = this->startTime(CallsAhead, Now);
  MonoTime Return = std::max(this->LastReturn + Interval, Earliest);
  // Those who come back next may not want all the room, so that the times are
  // told again.
  if (Return > Now + internal::MaxReturnDelay)
    Return = std::min(Earliest, Now + internal::MaxReturnDelay);
  this->LastReturn = Return;
  return std::chrono::duration_cast<Micros>(
      std::min(Return, this->coldUntil()) - Now);
}

Millis ColdStartLimiter::remaining(MonoTime Now) const {
  // Rounded up, so that a cold upstream is never reported as warm.
  return this->isCold(Now) ? std::chrono::ceil<Millis>(this->coldUntil() - Now)
                           : Millis{0};
}

std::size_t ColdStartLimiter::callsAhead(std::size_t WaitingCalls,
                                         bool IsNested, MonoTime Now) const {
  const bool KeepsRoom =
      !IsNested && this->NestedOfferAt &&
      Now - *this->NestedOfferAt < internal::NestedOfferAge &&
      this->CallsPerSecond >= internal::MinRateForReserve;
  return WaitingCalls + (KeepsRoom ? internal::NestedReserve : 0);
}

MonoTime ColdStartLimiter::startTime(std::size_t CallsAhead,
                                     MonoTime Now) const {
  if (!this->isCold(Now))
    return Now;
  return std::min(this->Pacer.startTime(CallsAhead, Now), this->coldUntil());
}

} // namespace persimmonquay
