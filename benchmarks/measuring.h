// Helpers for the benchmarks that run a fleet of processes.
#ifndef PERSIMMONQUAY_BENCHMARKS_MEASURING_H
#define PERSIMMONQUAY_BENCHMARKS_MEASURING_H

#include "persimmonquay/base/time.h"
#include "testing/fleet/fleet.h"
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace persimmonquay::testing {

using JsonLine = nlohmann::ordered_json;

/// Returns the value nearest to the quantile `Fraction` (0 to 1); 0 if `Values`
/// is empty.
double quantile(std::vector<double> Values, double Fraction);

/// Measures the resource usage of all nodes of a fleet from construction to
/// `finish()`.
///
/// Example:
///   NodeUsage Usage(Fleet);
///   std::this_thread::sleep_for(PhaseDuration);
///   Usage.finish();
class NodeUsage {
public:
  explicit NodeUsage(const TestFleet &Fleet);

  /// Ends the measurement. Must be called before the results are read.
  void finish();

  /// Adds to `Line` the control bytes sent, processor time and resident memory
  /// (means and maxima over the nodes), and the thread count of the first node.
  void addTo(JsonLine *Line) const;

  /// Returns the control bytes that a node sent per second, on average.
  double meanBytesPerSecond() const;

private:
  /// Counters of one node since its start.
  struct Reading {
    double ControlBytes = 0;
    double ProcessorSeconds = 0;
  };
  std::vector<Reading> takeReadings() const;

  const TestFleet &Fleet;
  MonoTime StartTime;
  double ElapsedSeconds = 0;
  std::vector<Reading> StartReadings;
  std::vector<Reading> EndReadings;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_BENCHMARKS_MEASURING_H
