// Immutable snapshot of the data that the request path reads.
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

/// An active move and its current progress.
struct MoveView {
  std::shared_ptr<const proto::Move> Move;
  MovePolicy Policy;
  MoveProgress Progress;
};

/// Configuration, endpoints and active moves at one point in time.
///
/// Immutable, therefore thread-safe.
struct RoutingView {
  /// Null until the node may serve callers.
  std::shared_ptr<const ServingConfiguration> Config;
  std::shared_ptr<const EndpointTable> Endpoints;
  std::map<std::string, MoveView> MovesByService;

  /// Returns the active move of `Service`, or null.
  const MoveView *findMove(const std::string &Service) const;
};

/// Holds the current view. Thread-safe; `current()` takes no lock.
///
/// Example:
///   RoutingViewHolder Views(&Store);
///   Views.rebuild(PeerCluster, RoutingViewHolder::Change::Members);
///   std::shared_ptr<const RoutingView> View = Views.current();
class RoutingViewHolder {
public:
  explicit RoutingViewHolder(const ConfigStore *Store);

  /// What changed since the current view was built.
  enum class Change { ConfigurationOrFacts, Members };

  /// Builds a new view from the store and the cluster. Reuses the endpoints of
  /// the previous view unless members have changed.
  void rebuild(const Cluster &PeerCluster, Change Cause);

  std::shared_ptr<const RoutingView> current() const;

private:
  const ConfigStore *Store;
  std::mutex RebuildMutex;
  RcuPointer<std::shared_ptr<const RoutingView>> View;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_ROUTING_VIEW_H
