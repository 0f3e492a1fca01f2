// The upstreams of the mesh to which a node can offer calls.
#ifndef PERSIMMONQUAY_DAEMON_TARGET_TABLE_H
#define PERSIMMONQUAY_DAEMON_TARGET_TABLE_H

#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/route_target.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonquay {

class NodeDirectory;
class PeerLink;
struct LinkTraffic;
struct RoutedCall;

/// Keeps a connection to every other node and a view of every upstream. Lives
/// on one thread.
class TargetTable {
public:
  using LinkHandler = std::function<void(proto::LinkFrame)>;

  /// `Handler` is given the configurations that other nodes send.
  TargetTable(asio::io_context &Loop, std::string OwnNode,
              std::string OwnDataCentre, LinkHandler Handler);

  // Commands.

  /// Takes over what is known of the nodes and keeps links to them.
  void update(const NodeDirectory &Nodes);

  /// Closes all links.
  void stop();

  // Queries.

  /// Returns the upstreams to which a call may be offered now.
  std::vector<std::shared_ptr<RouteTarget>>
  candidates(const RoutedCall &Asked) const;

  /// Returns whether an upstream of a service can be reached; of any service
  /// when `Service` is empty.
  bool hasReachableUpstream(const std::string &Service) const;

  /// Returns the link to a node, or null.
  std::shared_ptr<PeerLink> linkTo(const std::string &Node) const;

  /// Returns the traffic with nodes of other data centres.
  LinkTraffic crossDataCentreTraffic() const;

  std::size_t size() const { return this->Targets.size(); }

private:
  void noteVersions();
  std::shared_ptr<PeerLink> openLink(const proto::NodeEntry &Entry) const;
  std::string baseVersion(const RoutedCall &Asked) const;

  asio::io_context &Context;
  std::string OwnNode;
  std::string DataCentre;
  LinkHandler OnConfiguration;
  std::map<std::string, std::shared_ptr<RouteTarget>> Targets;
  /// Earliest start seen of an upstream, by service and version.
  std::map<std::string, std::map<std::string, std::uint64_t>> FirstStarts;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_TARGET_TABLE_H
