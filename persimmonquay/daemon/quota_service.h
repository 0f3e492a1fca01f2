// The quotas of client accounts at one node: as the node of callers, and as
// keeper for other nodes.
#ifndef PERSIMMONQUAY_DAEMON_QUOTA_SERVICE_H
#define PERSIMMONQUAY_DAEMON_QUOTA_SERVICE_H

#include "persimmonquay/accounts/quota_balances.h"
#include "persimmonquay/accounts/quota_keeper.h"
#include "persimmonquay/accounts/quota_placement.h"
#include "persimmonquay/base/line_writer.h"
#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "proto/link.pb.h"
#include "proto/mesh.pb.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmonquay {

struct CallerRequest;
class NodeDirectory;
class PeerLink;

/// Counts since the start.
struct QuotaCounts {
  std::uint64_t Admitted = 0;
  /// Beyond the quota.
  std::uint64_t Refused = 0;
  /// Refused because no keeper could be reached.
  std::uint64_t Unavailable = 0;
  std::uint64_t GivenBack = 0;
  std::uint64_t AsksSent = 0;
  std::uint64_t AsksHandled = 0;
};

/// Sends the asks and grants of QuotaBalances and QuotaKeeper over the links
/// between nodes. Has no effect while no account has a quota.
///
/// Confined to one thread.
class QuotaService {
public:
  /// Returns the link to a node, or null.
  using LinkSource =
      std::function<std::shared_ptr<PeerLink>(const std::string &Node)>;

  QuotaService(asio::io_context &IoContext, std::string NodeName,
               std::string DataCentreName, LinkSource GetLink);
  QuotaService(const QuotaService &) = delete;
  QuotaService &operator=(const QuotaService &) = delete;

  // Commands.

  /// Adopts the quotas of a configuration.
  void setConfiguration(const proto::MeshConfiguration &Configuration);

  /// Adopts the known nodes.
  void updateNodes(const NodeDirectory &Nodes);

  /// Starts to grant calls to nodes, now that this node knows the others.
  /// `Reason` is logged.
  void startKeeping(const std::string &Reason);

  /// Decides on a call of an account with a quota, after waiting for a grant if
  /// necessary; never returns `Wait`.
  asio::awaitable<QuotaDecision> admit(const proto::ClientAccount &Account,
                                       std::shared_ptr<CallerRequest> Request);

  /// Gives back a call that has not run and will not run.
  void giveBack(const QuotaCharge &Charge);

  /// Handles an ask of another node.
  proto::QuotaGrant handleAsk(const proto::QuotaAsk &Ask);

  /// Handles the reply to an ask of this node.
  void handleGrant(const proto::QuotaGrant &Grant);

  // Queries.

  bool isKeeping() const { return this->Keeper.isStarted(); }
  /// Returns when the set of known nodes last changed.
  MonoTime nodesChangedAt() const { return this->NodesChangedAt; }
  const QuotaCounts &counts() const { return this->Counts; }
  const QuotaKeeper &keeper() const { return this->Keeper; }
  std::size_t accountCount() const { return this->Balances.accountCount(); }

private:
  bool isReachable(const std::string &Node) const;
  void sendAsks();
  void countDecision(const proto::ClientAccount &Account,
                     const QuotaDecision &Decision);

  asio::io_context &Context;
  std::string OwnNode;
  std::string OwnDataCentre;
  LinkSource LinkTo;
  QuotaPlacement Placement;
  QuotaKeeper Keeper;
  QuotaBalances Balances;
  /// Requests that wait for a grant.
  std::unordered_map<AccountHash, std::vector<std::shared_ptr<CallerRequest>>>
      Waiters;
  std::uint64_t NodesHash = 0;
  MonoTime NodesChangedAt;
  QuotaCounts Counts;
  RateLimiter RefusalLogLimit;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_QUOTA_SERVICE_H
