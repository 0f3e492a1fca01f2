// Everything the request path reads, as one immutable value.
#ifndef PERSIMMONQUAY_NODE_ROUTING_VIEW_H
#define PERSIMMONQUAY_NODE_ROUTING_VIEW_H

#include "persimmonquay/base/rcu_pointer.h"
#include "persimmonquay/config/serving_configuration.h"
#include "persimmonquay/move/move_policy.h"
#include "persimmonquay/routing/endpoint_table.h"
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace persimmonquay {

class Cluster;
class ConfigStore;

/// An active move and how far it has got.
struct MoveView {
  std::shared_ptr<const proto::Move> Move;
  MovePolicy Policy;
  MoveProgress Progress;
};

/// Immutable, therefore thread-safe.
struct RoutingView {
  /// Null while the node may not serve yet.
  std::shared_ptr<const ServingConfiguration> Config;
  std::shared_ptr<const EndpointTable> Endpoints;
  std::map<std::string, MoveView> MoveOfService;

  /// Returns the service's active move, or null.
  const MoveView *moveOf(const std::string &Service) const;
};

/// Holds the newest view. Thread-safe; `current()` takes no lock.
///
/// Example:
///   RoutingViewHolder Views(&Store);
///   Views.rebuild(Group);
///   std::shared_ptr<const RoutingView> View = Views.current();
class RoutingViewHolder {
public:
  explicit RoutingViewHolder(const ConfigStore *Store);

  /// What has changed since the view was built.
  enum class Change { ConfigurationOrFacts, Members };

  /// Builds a new view from the store and the group. The endpoints are taken
  /// from the view before unless members have changed.
  void rebuild(const Cluster &Group, Change What);

  std::shared_ptr<const RoutingView> current() const;

private:
  const ConfigStore *Store;
  std::mutex RebuildMutex;
  RcuPointer<std::shared_ptr<const RoutingView>> View;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_ROUTING_VIEW_H
