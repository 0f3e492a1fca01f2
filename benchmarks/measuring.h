// What the benchmarks over processes share.
#ifndef PERSIMMONQUAY_BENCHMARKS_MEASURING_H
#define PERSIMMONQUAY_BENCHMARKS_MEASURING_H

#include "persimmonquay/base/time.h"
#include "testing/fleet/fleet.h"
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace persimmonquay::testing {

using JsonLine = nlohmann::ordered_json;

/// Returns a quantile of the values; 0 when there are none.
double quantileOf(std::vector<double> Values, double Fraction);

/// Control bytes and processor time of all nodes over a span of time.
///
/// Example:
///   NodeUsage Usage(Running);
///   sleep();
///   Usage.finish();
class NodeUsage {
public:
  explicit NodeUsage(const Fleet &Running);

  /// Takes the second reading.
  void finish();

  /// Adds the mean and the largest value over the nodes to `Line`.
  void addTo(JsonLine *Line) const;

  double meanBytesPerSecond() const;

private:
  struct Reading {
    double Bytes = 0;
    double Seconds = 0;
  };
  std::vector<Reading> read() const;

  const Fleet &Running;
  MonoTime StartedAt;
  double Elapsed = 0;
  std::vector<Reading> Before;
  std::vector<Reading> After;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_BENCHMARKS_MEASURING_H
