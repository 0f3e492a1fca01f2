// Carries out the operator's orders to roll out new versions of services.
#ifndef PERSIMMONQUAY_DAEMON_ROLLOUT_DRIVER_H
#define PERSIMMONQUAY_DAEMON_ROLLOUT_DRIVER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/upstream_gate.h"
#include "persimmonquay/rollout/rollout_policy.h"
#include "proto/link.pb.h"
#include "proto/mesh.pb.h"
#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace persimmonquay {

class NodeDirectory;
class Gossip;
class RolloutTable;
class RolloutEvidence;

/// Counts the calls to this node's upstream for the rollouts that concern it,
/// and decides on the rollouts for which this node is the driver.
///
/// The driver of a rollout is the live node with the highest rendezvous weight.
/// If no progress of a running rollout arrives for a while, the node with the
/// next lower weight takes over. Two drivers at once do no harm, since copies
/// of the progress can be merged and an end state is final.
///
/// Confined to one thread.
class RolloutDriver {
public:
  /// Stores the state of a rollout for the operator. Returns the state that
  /// the store holds afterwards, which differs if another node stored one
  /// first.
  using StatusWriter =
      std::function<asio::awaitable<absl::StatusOr<proto::RolloutState>>(
          proto::RolloutProgress)>;

  RolloutDriver(asio::io_context &IoContext, const NodeDirectory &KnownNodes,
                RolloutTable &KnownRollouts, Gossip &OwnGossip,
                UpstreamGate &OwnGate, ExposureLimits Exposure,
                StatusWriter StoreWriter);
  ~RolloutDriver();

  /// Starts the periodic decisions.
  void start();
  void stop();

  /// Adds an order of the operator. Returns its progress, or null if the order
  /// is known already.
  const proto::RolloutProgress *addOrder(const proto::RolloutOrder &NewOrder);

  /// Merges the progress of a rollout that another node has sent.
  void mergeProgress(const proto::RolloutProgress &Progress);

  /// Adds a node's counts of calls to the evidence about the rollouts of their
  /// service.
  void mergeTally(const proto::RolloutTally &Tally);

private:
  struct OrderState;
  struct RouteCounts;

  asio::awaitable<void> decisionLoop();
  asio::awaitable<void> writeStatus(proto::RolloutProgress Progress);
  void recordResult(const UpstreamCallResult &Result);
  void sendOwnTallies();
  void processOrder(OrderState &State);
  /// Ends the rollout if another order that is the same has ended.
  void adoptEnd(OrderState &State);
  bool isDriver(const OrderState &State) const;
  void decide(OrderState &State);
  void publish(OrderState &State, proto::RolloutProgress Progress);
  RolloutSituation makeSituation(const OrderState &State) const;

  asio::io_context &Context;
  const NodeDirectory &Directory;
  RolloutTable &Rollouts;
  Gossip &NodeGossip;
  UpstreamGate &Gate;
  ExposureLimits Limits;
  StatusWriter Writer;
  asio::steady_timer DecisionTimer;
  std::map<std::uint64_t, std::unique_ptr<OrderState>> Orders;
  /// Counts of this node's upstream, of the instance `CountedInstance`.
  std::map<std::string, RouteCounts> CountsByRoute;
  std::string CountedInstance;
  bool Stopped = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_ROLLOUT_DRIVER_H
