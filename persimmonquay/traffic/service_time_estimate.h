// Running estimate of how long calls take.
#ifndef PERSIMMONQUAY_TRAFFIC_SERVICE_TIME_ESTIMATE_H
#define PERSIMMONQUAY_TRAFFIC_SERVICE_TIME_ESTIMATE_H

#include "persimmonquay/base/time.h"
#include <algorithm>
#include <cstdint>

namespace persimmonquay {

/// Exponentially weighted mean and mean deviation of measured times. The first
/// few measurements weigh more, so that a new estimate is soon near the truth.
class ServiceTimeEstimate {
public:
  explicit ServiceTimeEstimate(std::chrono::microseconds Initial)
      : Mean(Initial) {}

  void add(std::chrono::microseconds Measured) {
    this->Count = std::min(this->Count + 1, Memory);
    const std::chrono::microseconds Distance =
        Measured > this->Mean ? Measured - this->Mean : this->Mean - Measured;
    this->Mean += (Measured - this->Mean) / this->Count;
    this->Deviation += (Distance - this->Deviation) / this->Count;
  }

  std::chrono::microseconds mean() const { return this->Mean; }
  /// Returns a time within which most calls have ended.
  std::chrono::microseconds upper() const {
    return this->Mean + this->Deviation;
  }
  bool isMeasured() const { return this->Count > 0; }

private:
  /// Measurements over which the mean is taken: a few seconds of one
  /// upstream's calls, so that a change of speed is followed within seconds.
  static constexpr std::int64_t Memory = 20;

  std::chrono::microseconds Mean;
  std::chrono::microseconds Deviation{0};
  std::int64_t Count = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_SERVICE_TIME_ESTIMATE_H
