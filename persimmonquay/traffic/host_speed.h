// How long work takes on an upstream's host at the moment, from what the
// upstream reports.
//
// Handles this load pattern: upstreams share their hosts with others, so that
// work takes several times as long there for some hundred milliseconds. A call
// that goes to such an upstream holds a slot for long while others have free
// ones. Averages over the latest calls tell too late.
#ifndef PERSIMMONQUAY_TRAFFIC_HOST_SPEED_H
#define PERSIMMONQUAY_TRAFFIC_HOST_SPEED_H

#include "persimmonquay/base/time.h"
#include <cstdint>

namespace persimmonquay {

/// The reported speed of one host. A report loses weight as it ages, in favour
/// of the mean of earlier ones. Without reports, work takes as long as usual.
///
/// Does no I/O and reads no clock. Not thread-safe.
class HostSpeed {
public:
  // Commands.

  /// Records how long work takes as a percentage of the usual time; 0 if
  /// unknown.
  void record(std::uint32_t Percent, MonoTime Now);

  // Queries.

  /// Returns by what factor work takes longer than usual.
  double factor(MonoTime Now) const;

  /// Returns `factor()` as a percentage; 0 if nothing has been reported.
  std::uint32_t percent(MonoTime Now) const;

  /// Returns the time that takes `Time` at usual speed.
  Micros scale(Micros Time, MonoTime Now) const;

  /// Returns how long a call that takes `Time` now would take at usual speed.
  Micros atUsualSpeed(Micros Time, MonoTime Now) const;

  /// Returns how much longer than on the average a call takes now that takes
  /// `Time` at usual speed; 0 if it takes less.
  Micros extraTime(Micros Time, MonoTime Now) const;

private:
  /// Whether anything has been reported.
  bool IsKnown = false;
  double Latest = 1;
  double Mean = 1;
  MonoTime ReportedAt;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_HOST_SPEED_H
