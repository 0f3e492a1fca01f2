// The immutable form of a configuration that the request path reads.
#ifndef PERSIMMONQUAY_CONFIG_SERVING_CONFIGURATION_H
#define PERSIMMONQUAY_CONFIG_SERVING_CONFIGURATION_H

#include "proto/configuration.pb.h"
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace persimmonquay {

/// One configuration version, indexed for looking up calls. A route is listed
/// only together with its service, so a lookup never ends at a missing one.
///
/// Immutable, therefore safe to share between threads.
///
/// Example:
///   auto Serving = ServingConfiguration::compile(State);
///   const auto *Match = Serving->findRoute("/catalogue/boards");
class ServingConfiguration {
public:
  /// A route with everything a call to it needs.
  struct ResolvedRoute {
    proto::Route Route;
    proto::Service Service;
    /// The service's active move; absent most of the time.
    std::shared_ptr<const proto::Move> Move;
  };

  /// Builds the serving form of `State`, or returns null when a route of
  /// `State` points at a service that does not exist.
  static std::shared_ptr<const ServingConfiguration>
  compile(const proto::ConfigurationState &State);

  /// Returns the target with the longest prefix of `Path` that ends at a
  /// segment boundary, or null. The pointer lives as long as this object.
  const ResolvedRoute *findRoute(std::string_view Path) const;

  /// Returns the service, or null. The pointer lives as long as this object.
  const proto::Service *findService(const std::string &Name) const;

  /// Returns the active moves.
  const std::vector<std::shared_ptr<const proto::Move>> &moves() const {
    return this->Moves;
  }

  std::uint64_t version() const { return this->Version; }

private:
  ServingConfiguration() = default;

  std::uint64_t Version = 0;
  std::map<std::string, ResolvedRoute, std::less<>> ByPrefix;
  std::map<std::string, proto::Service> Services;
  std::vector<std::shared_ptr<const proto::Move>> Moves;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CONFIG_SERVING_CONFIGURATION_H
