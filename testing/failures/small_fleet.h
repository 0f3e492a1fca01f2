// The test fleet that most failure tests use.
#ifndef PERSIMMONQUAY_TESTING_FAILURES_SMALL_FLEET_H
#define PERSIMMONQUAY_TESTING_FAILURES_SMALL_FLEET_H

#include "testing/fleet/fleet.h"
#include "testing/fleet/load.h"
#include <string>

namespace persimmonquay::testing {

/// How long a test waits for an expected state before it fails.
inline constexpr Millis WaitTimeout = std::chrono::seconds(30);

/// Three data centres, each with one upstream of "gallery" and one of
/// "orders", and the routes /catalogue and /orders. Probes, suspicion and
/// announcement leases are shorter than by default, so that nodes detect
/// failures sooner.
class SmallFleet : public TestFleet {
public:
  explicit SmallFleet(const std::string &ExtraSettings = "");

  /// Returns a file of resources. Each `Variant` has its own path prefix on the
  /// route "extra", so that publishing another one changes the configuration.
  static std::string resources(int Variant);

  /// Publishes `resources(Variant)` through the node of host `HostIndex`,
  /// requires that it is accepted and returns its version.
  std::uint64_t publishVariant(int Variant, std::size_t HostIndex = 0);

  /// Requires that every node has logged the versions it applied, and that it
  /// never applied an older version after a newer one.
  void requireVersionsNeverDecrease() const;

  /// Kills the node of `Target`, waits for its exit and starts it again.
  void killAndRestart(Host *Target);

  /// Returns the caller endpoints of all hosts.
  std::vector<TcpEndpoint> callerEndpoints() const;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FAILURES_SMALL_FLEET_H
