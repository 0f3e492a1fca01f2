// The upstreams of each service, with the load that answers reported, and the
// choice among them.
#ifndef PERSIMMONQUAY_ROUTING_ENDPOINT_TABLE_H
#define PERSIMMONQUAY_ROUTING_ENDPOINT_TABLE_H

#include "persimmonquay/base/time.h"
#include "proto/peer.pb.h"
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace persimmonquay {

/// An upstream as this node sees it. The identity is fixed; the load is
/// updated by every call. Thread-safe.
struct Endpoint {
  std::string Node;
  std::string DataCentre;
  std::string Address;
  std::uint16_t IngressPort = 0;
  std::string Version;
  std::uint32_t Slots = 1;
  WallTime AnnouncedAt;

  /// Calls of this node that are under way at the upstream.
  std::atomic<std::uint32_t> InFlight = 0;
  /// Calls running and waiting there, as its last answer reported.
  std::atomic<std::uint32_t> ReportedLoad = 0;
  /// Failures in a row to reach it; cleared by an answer.
  std::atomic<std::uint32_t> ConsecutiveFailures = 0;
  /// No calls are sent before this time, in Unix milliseconds.
  std::atomic<std::int64_t> EjectedUntilUnixMs = 0;

  /// Records that the endpoint could not be reached.
  void recordFailure(WallTime Now);
  /// Records an answer and the load it reported.
  void recordAnswer(std::uint32_t Load);
};

/// Immutable lists of the endpoints of each service. Endpoint objects are
/// shared with the table before, so that their load survives an update.
///
/// Thread-safe.
///
/// Example:
///   auto Table = EndpointTable::build(Members, Previous.get());
///   auto Chosen = chooseEndpoint(Table->endpointsOf("gallery"), Wanted,
///   Random);
class EndpointTable {
public:
  using List = std::vector<std::shared_ptr<Endpoint>>;

  /// Builds a table of the live members that have an upstream and don't drain.
  static std::shared_ptr<const EndpointTable>
  build(const std::vector<proto::Member> &Members,
        const EndpointTable *Previous);

  /// Returns the endpoints of `Service`, sorted by node.
  const List &endpointsOf(const std::string &Service) const;

private:
  std::map<std::string, List> ByService;
  std::map<std::string, std::shared_ptr<Endpoint>> ByNode;
};

/// What a call wants of an endpoint.
struct EndpointCriteria {
  std::string DataCentre;
  std::string Version;
  /// Endpoints of the version that take part, by data centre, in parts per
  /// thousand; fewer than all while a new version gets a small share.
  std::uint32_t SubsetPermille = 1000;
  /// Seeds the order in which endpoints take part.
  std::string SubsetKey;
  /// Time over which a new upstream's share is raised to its full value.
  Millis ColdStartDuration{0};
  WallTime Now;
  /// Endpoints that this call has tried already.
  std::vector<std::string> TriedNodes;
};

/// Returns the less loaded of two random endpoints of the own data centre. One
/// of another data centre is returned when the own has none that can be
/// reached, or when both are full while the other is not. Endpoints that
/// failed lately are chosen only when there is no other. Returns null when
/// every endpoint was tried.
std::shared_ptr<Endpoint> chooseEndpoint(const EndpointTable::List &Endpoints,
                                         const EndpointCriteria &Wish,
                                         std::mt19937_64 &Random);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_ENDPOINT_TABLE_H
