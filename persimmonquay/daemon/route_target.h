// An upstream to which calls can be offered.
#ifndef PERSIMMONQUAY_DAEMON_ROUTE_TARGET_H
#define PERSIMMONQUAY_DAEMON_ROUTE_TARGET_H

#include "persimmonquay/traffic/upstream_ranking.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <memory>

namespace persimmonquay {

class PeerLink;

/// An upstream and the node next to it, with the local view of its load.
struct RouteTarget {
  proto::NodeEntry Entry;
  /// Identifies the upstream; see `incarnationId()`.
  std::uint64_t Incarnation = 0;
  UpstreamView View{true, 1};
  /// Link to the node; null for the upstream on this host.
  std::shared_ptr<PeerLink> Link;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_ROUTE_TARGET_H
