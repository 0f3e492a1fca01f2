// Upstreams of the mesh to which this node can offer calls.
#ifndef PERSIMMONQUAY_DAEMON_TARGET_TABLE_H
#define PERSIMMONQUAY_DAEMON_TARGET_TABLE_H

#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/frame_limits.h"
#include "persimmonquay/daemon/route_target.h"
#include "persimmonquay/fleet/upstream_notices.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace persimmonquay {

class EvacuationTable;
class NodeDirectory;
class PeerLink;
struct LinkTraffic;
struct RoutedCall;

/// Maintains a link to every other node and a view of every upstream. Confined
/// to one thread.
class TargetTable {
public:
  using ConfigurationHandler = std::function<void(proto::LinkFrame)>;
  using ConnectHandler = std::function<void(const std::string &Node)>;
  using GrantHandler = std::function<void(const proto::QuotaGrant &)>;

  /// `Handler` receives the configurations that other nodes send.
  TargetTable(asio::io_context &IoContext, std::string LocalNodeName,
              std::string LocalDataCentreName, FrameLimits LinkLimits,
              ConfigurationHandler Handler);

  // Commands.

  /// Sets the function that is called when the link to a node has been
  /// connected, for links that are opened from now on.
  void setConnectHandler(ConnectHandler Handler) {
    this->OnConnected = std::move(Handler);
  }

  /// Sets the function that receives the grants of other nodes, for links that
  /// are opened from now on.
  void setGrantHandler(GrantHandler Handler) {
    this->OnGrant = std::move(Handler);
  }

  /// Updates the nodes and upstreams from `Nodes`. Opens links to new nodes and
  /// reopens links to nodes whose address has changed.
  void update(const NodeDirectory &Nodes);

  /// Leaves out the upstreams of evacuated data centres from now on. `Known`
  /// must outlive this object.
  void setEvacuations(const EvacuationTable &Known) {
    this->Evacuations = &Known;
  }

  /// Closes all links.
  void stop();

  /// What upstreams have said in responses. Those that leave take no calls.
  UpstreamNotices &notices() { return this->Notices; }

  // Queries.

  const UpstreamNotices &notices() const { return this->Notices; }

  /// Returns the upstreams to which `Call` may be offered now.
  std::vector<std::shared_ptr<RouteTarget>>
  candidates(const RoutedCall &Call) const;

  /// Returns whether an upstream of `Service`, or of any service if `Service`
  /// is empty, is reachable.
  bool hasReachableUpstream(const std::string &Service) const;

  /// Returns the link to a node, or null.
  std::shared_ptr<PeerLink> linkTo(const std::string &Node) const;

  /// Returns the bytes exchanged with nodes of other data centres.
  LinkTraffic crossDataCentreTraffic() const;

  std::size_t size() const { return this->Targets.size(); }

private:
  /// Returns whether the node has an upstream that takes calls, as far as that
  /// upstream and its node have told.
  bool hasUpstream(const RouteTarget &Target) const;
  /// Updates `FirstStarts` with the upstreams that are known now.
  void recordFirstStarts();
  /// Returns a started link to a node, or null if its address is invalid.
  std::shared_ptr<PeerLink> openLink(const proto::NodeEntry &Entry) const;
  /// Returns the running version of the call's service whose upstreams started
  /// first, or an empty string if there is none.
  std::string baseVersion(const RoutedCall &Call) const;

  asio::io_context &Context;
  std::string LocalNode;
  std::string LocalDataCentre;
  FrameLimits Limits;
  ConfigurationHandler OnConfiguration;
  ConnectHandler OnConnected;
  GrantHandler OnGrant;
  std::map<std::string, std::shared_ptr<RouteTarget>> Targets;
  UpstreamNotices Notices;
  const EvacuationTable *Evacuations = nullptr;
  /// Earliest upstream start that was seen, in Unix milliseconds, by service
  /// and version.
  std::map<std::string, std::map<std::string, std::uint64_t>> FirstStarts;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_TARGET_TABLE_H
