// Running estimate of the processing time of calls: how long they run at the
// upstream, without the wait for a slot.
#ifndef PERSIMMONQUAY_TRAFFIC_PROCESSING_TIME_ESTIMATE_H
#define PERSIMMONQUAY_TRAFFIC_PROCESSING_TIME_ESTIMATE_H

#include "persimmonquay/base/time.h"
#include <algorithm>
#include <cstdint>

namespace persimmonquay {

/// Exponentially weighted moving average and mean deviation of measured
/// processing times. The first few measurements get more weight, so that a new
/// estimate converges quickly.
class ProcessingTimeEstimate {
public:
  explicit ProcessingTimeEstimate(std::chrono::microseconds Initial)
      : Mean(Initial) {}

  void add(std::chrono::microseconds Sample) {
    this->Count = std::min(this->Count + 1, MaxSampleCount);
    const std::chrono::microseconds Difference =
        Sample > this->Mean ? Sample - this->Mean : this->Mean - Sample;
    this->Mean += (Sample - this->Mean) / this->Count;
    this->Deviation += (Difference - this->Deviation) / this->Count;
  }

  std::chrono::microseconds mean() const { return this->Mean; }
  /// Returns a time within which most calls complete: the mean plus the mean
  /// deviation.
  std::chrono::microseconds upper() const {
    return this->Mean + this->Deviation;
  }
  /// Returns whether at least one sample was added; the mean is the initial
  /// value until then.
  bool isMeasured() const { return this->Count > 0; }

private:
  /// Number of samples over which the mean is effectively taken: a few seconds
  /// of one upstream's calls, so that the estimate follows a change of speed
  /// within seconds.
  static constexpr std::int64_t MaxSampleCount = 20;

  std::chrono::microseconds Mean;
  std::chrono::microseconds Deviation{0};
  std::int64_t Count = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_PROCESSING_TIME_ESTIMATE_H
