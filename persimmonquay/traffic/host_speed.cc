#include "persimmonquay/traffic/host_speed.h"

#include <algorithm>
#include <cmath>

namespace persimmonquay {
namespace internal {

/// Bounds of a report. A wrong one can't make an upstream look idle or
/// unusable.
constexpr std::uint32_t MinPercent = 25;
constexpr std::uint32_t MaxPercent = 1000;

/// Half-life of a report. Hosts change their speed within some hundred
/// milliseconds.
constexpr Millis ReportHalfLife{250};

/// Time over which the mean is taken.
constexpr Millis MeanTime{10000};

Micros multiply(Micros Time, double Factor) {
  return Micros(static_cast<std::int64_t>(
      std::llround(static_cast<double>(Time.count()) * Factor)));
}

} // namespace internal

void HostSpeed::record(std::uint32_t Percent, MonoTime Now) {
  if (Percent == 0)
    return;
  const double Reported =
      std::clamp(Percent, internal::MinPercent, internal::MaxPercent) / 100.0;
  // The previous report held until now.
  const double Weight =
      1 - std::exp(-std::chrono::duration<double>(Now - this->ReportedAt) /
                   std::chrono::duration<double>(internal::MeanTime));
  this->Mean += Weight * (this->Latest - this->Mean);
  this->IsKnown = true;
  this->Latest = Reported;
  this->ReportedAt = Now;
}

double HostSpeed::factor(MonoTime Now) const {
  if (!this->IsKnown)
    return 1;
  const double Weight =
      std::exp2(-std::chrono::duration<double>(Now - this->ReportedAt) /
                std::chrono::duration<double>(internal::ReportHalfLife));
  return this->Mean + Weight * (this->Latest - this->Mean);
}

std::uint32_t HostSpeed::percent(MonoTime Now) const {
  return this->IsKnown
             ? static_cast<std::uint32_t>(std::lround(100 * this->factor(Now)))
             : 0;
}

Micros HostSpeed::scale(Micros Time, MonoTime Now) const {
  return this->IsKnown ? internal::multiply(Time, this->factor(Now)) : Time;
}

Micros HostSpeed::atUsualSpeed(Micros Time, MonoTime Now) const {
  return this->IsKnown ? internal::multiply(Time, 1 / this->factor(Now)) : Time;
}

Micros HostSpeed::extraTime(Micros Time, MonoTime Now) const {
  return internal::multiply(Time,
                            std::max(this->factor(Now) - this->Mean, 0.0));
}

} // namespace persimmonquay
