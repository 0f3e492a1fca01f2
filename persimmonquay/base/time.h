// Time types shared by all libraries. Code that makes decisions takes the
// current time as an argument and never reads a clock.
#ifndef PERSIMMONQUAY_BASE_TIME_H
#define PERSIMMONQUAY_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace persimmonquay {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

/// Wall-clock time, as operators state it; may jump when the clock is set.
using WallTime = std::chrono::sys_time<Millis>;

/// Monotonic time; for timeouts, leases and deadlines.
using MonoTime = std::chrono::steady_clock::time_point;

/// Converts from milliseconds since the Unix epoch, the form in messages.
inline WallTime wallTimeFromUnixMillis(std::int64_t UnixMillis) {
  return WallTime(Millis(UnixMillis));
}

/// Converts to milliseconds since the Unix epoch, the form in messages.
inline std::int64_t unixMillis(WallTime Time) {
  return Time.time_since_epoch().count();
}

/// Reads the wall clock.
inline WallTime wallNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
}

/// Reads the monotonic clock.
inline MonoTime monoNow() { return std::chrono::steady_clock::now(); }

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_TIME_H
