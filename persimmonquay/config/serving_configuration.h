// The compiled, immutable form of a configuration, for the request path.
#ifndef PERSIMMONQUAY_CONFIG_SERVING_CONFIGURATION_H
#define PERSIMMONQUAY_CONFIG_SERVING_CONFIGURATION_H

#include "proto/configuration.pb.h"
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace persimmonquay {

/// One configuration version, indexed for request routing. Each route is stored
/// with its service, so that a lookup never yields a missing service.
///
/// Immutable, therefore thread-safe.
///
/// Example:
///   auto Serving = ServingConfiguration::compile(State);
///   const auto *Route = Serving->findRoute("/catalogue/boards");
class ServingConfiguration {
public:
  /// A route with the service and the move that apply to its calls.
  struct ResolvedRoute {
    proto::Route Route;
    proto::Service Service;
    /// The active move of the service; null when there is none, as is usual.
    std::shared_ptr<const proto::Move> Move;
  };

  /// Compiles `State`. Returns null when one of its routes refers to a service
  /// that does not exist.
  static std::shared_ptr<const ServingConfiguration>
  compile(const proto::ConfigurationState &State);

  /// Returns the route with the longest path prefix of `Path` that ends at a
  /// segment boundary, or null. The pointer is valid as long as this object
  /// exists.
  const ResolvedRoute *findRoute(std::string_view Path) const;

  /// Returns the service, or null. The pointer is valid as long as this object
  /// exists.
  const proto::Service *findService(const std::string &Name) const;

  /// Returns the active moves.
  const std::vector<std::shared_ptr<const proto::Move>> &moves() const {
    return this->Moves;
  }

  std::uint64_t version() const { return this->Version; }

private:
  ServingConfiguration() = default;

  std::uint64_t Version = 0;
  std::map<std::string, ResolvedRoute, std::less<>> RoutesByPrefix;
  std::map<std::string, proto::Service> Services;
  std::vector<std::shared_ptr<const proto::Move>> Moves;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CONFIG_SERVING_CONFIGURATION_H
