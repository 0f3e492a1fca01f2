// The fleet that most tests of failures use.
#ifndef PERSIMMONQUAY_TESTING_FAILURES_SMALL_FLEET_H
#define PERSIMMONQUAY_TESTING_FAILURES_SMALL_FLEET_H

#include "testing/fleet/fleet.h"
#include "testing/fleet/load.h"
#include <string>

namespace persimmonquay::testing {

inline constexpr Millis Patience = std::chrono::seconds(30);

/// Three data centres, each with one upstream of "gallery" and one of
/// "orders", and the routes /catalogue and /orders. Failures are noticed
/// sooner than with the default settings.
class SmallFleet : public TestFleet {
public:
  explicit SmallFleet(const std::string &ExtraSettings = "");

  /// Returns the file of resources with one more route than version `Number`
  /// has; every number gives another configuration.
  static std::string resources(int Number);

  /// Publishes `resources(Number)` through the host `Through` and requires
  /// that it is accepted; returns the version it got.
  std::uint64_t publishNumber(int Number, std::size_t Through = 0);

  /// Requires of every node's own record that it never went back.
  void requireNoneWentBack() const;

  /// Restarts the node of `Restarted` after killing it.
  void killAndRestart(Host *Restarted);

  std::vector<TcpEndpoint> callerEndpoints() const;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FAILURES_SMALL_FLEET_H
