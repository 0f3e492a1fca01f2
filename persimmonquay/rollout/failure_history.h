// How often the calls of an upstream usually fail.
#ifndef PERSIMMONQUAY_ROLLOUT_FAILURE_HISTORY_H
#define PERSIMMONQUAY_ROLLOUT_FAILURE_HISTORY_H

#include <cstddef>
#include <cstdint>
#include <deque>

namespace persimmonquay {

/// Failed calls in the latest windows of a fixed number of calls. The usual
/// failure rate is the lower quartile of the windows, so that it isn't raised
/// by trouble that lasts for less than three quarters of them.
///
/// Does no I/O and reads no clock. Not thread-safe.
class FailureHistory {
public:
  /// Number of calls and of failures that stands for the usual rate; no calls
  /// if no window is complete.
  struct UsualCounts {
    std::uint32_t Calls = 0;
    std::uint32_t Failures = 0;
  };

  /// Records the end of a call that ran.
  void record(bool Failed);

  UsualCounts usual() const;

private:
  static constexpr std::uint32_t WindowCalls = 50;
  static constexpr std::size_t MaxWindows = 32;

  /// Failures of the complete windows, oldest first.
  std::deque<std::uint32_t> Windows;
  std::uint32_t OpenCalls = 0;
  std::uint32_t OpenFailures = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROLLOUT_FAILURE_HISTORY_H
