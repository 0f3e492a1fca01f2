// Time types shared by all libraries. Deciding code takes the current time as
// an argument and never reads a clock.
#ifndef PERSIMMONQUAY_BASE_TIME_H
#define PERSIMMONQUAY_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace persimmonquay {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// Time of day, as operators write it; may jump when a clock is set.
using WallTime = std::chrono::sys_time<Millis>;

/// Time that only moves forward; for timeouts, leases and deadlines.
using MonoTime = std::chrono::steady_clock::time_point;

/// Converts milliseconds since 1970, as messages carry them.
inline WallTime wallTimeFromUnixMillis(std::int64_t Value) {
  return WallTime(Millis(Value));
}

/// Returns milliseconds since 1970, as messages carry them.
inline std::int64_t unixMillis(WallTime Time) {
  return Time.time_since_epoch().count();
}

/// Reads the clock of the day.
inline WallTime wallNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
}

/// Reads the monotonic clock.
inline MonoTime monoNow() { return std::chrono::steady_clock::now(); }

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_TIME_H
