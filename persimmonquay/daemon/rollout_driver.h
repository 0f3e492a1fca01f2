// Carries out orders to bring in new versions.
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

/// Counts calls for the orders that concern this node's upstream, and decides
/// on the orders for which this node is the driver. The driver is the node
/// with the highest rendezvous weight that is heard of; when nothing is heard
/// of a running order for a while, the next node takes it over. Two drivers at
/// once do no harm, since progress merges and an end is final. Lives on one
/// thread.
class RolloutDriver {
public:
  /// Stores the state of a rollout for the operator. Returns the state that
  /// the store holds afterwards, which differs if another node was first.
  using StatusWriter =
      std::function<asio::awaitable<absl::StatusOr<proto::RolloutState>>(
          proto::RolloutProgress)>;

  RolloutDriver(asio::io_context &Loop, const NodeDirectory &Entries,
                RolloutTable &Book, Gossip &Messages, UpstreamGate &Gate,
                ExposureLimits Exposure, StatusWriter Writer);
  ~RolloutDriver();

  void start();
  void stop();

  /// Takes an order of the operator. Returns its progress if it is new.
  const proto::RolloutProgress *order(const proto::RolloutOrder &Order);

  /// Takes what another node says about a rollout.
  void learn(const proto::RolloutProgress &Progress);

  /// Takes counts of another node.
  void count(const proto::RolloutTally &Tally);

private:
  struct Order;
  struct RouteTally;

  asio::awaitable<void> loop();
  asio::awaitable<void> writeStatus(proto::RolloutProgress Progress);
  void noteResult(const UpstreamCallResult &Result);
  void sendOwnTallies();
  void consider(Order &Known);
  bool isDriver(const Order &Known) const;
  void decide(Order &Known);
  void publish(Order &Known, proto::RolloutProgress Progress);
  RolloutSituation situation(const Order &Known) const;

  asio::io_context &Context;
  const NodeDirectory &Nodes;
  RolloutTable &Rollouts;
  Gossip &Messenger;
  UpstreamGate &Gate;
  ExposureLimits Limits;
  StatusWriter Writer;
  asio::steady_timer Timer;
  std::map<std::uint64_t, std::unique_ptr<Order>> Orders;
  std::map<std::string, RouteTally> Tallies;
  std::string TalliedInstance;
  bool Stopped = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_ROLLOUT_DRIVER_H
