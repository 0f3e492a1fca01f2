// The endpoints of each service with their last known load, and load balancing
// among them.
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

/// An upstream, as seen by this node. The identifying members are constant
/// after `EndpointTable::build()`; every call updates the load and health
/// members. Thread-safe.
struct Endpoint {
  std::string Node;
  std::string DataCentre;
  std::string Address;
  std::uint16_t IngressPort = 0;
  std::string Version;
  std::uint32_t Slots = 1;
  WallTime AnnouncedAt;

  /// Calls from this node that are in progress at the upstream.
  std::atomic<std::uint32_t> InFlight = 0;
  /// Calls running and waiting at the upstream, as its last response reported.
  std::atomic<std::uint32_t> ReportedLoad = 0;
  /// Consecutive failures to reach the endpoint; reset by a response.
  std::atomic<std::uint32_t> ConsecutiveFailures = 0;
  /// Until this time, in Unix milliseconds, the endpoint is used only if there
  /// is no other; 0 if it is not ejected.
  std::atomic<std::int64_t> EjectedUntilUnixMs = 0;

  /// Records that the endpoint could not be reached or that its response was
  /// lost. Ejects it after repeated failures.
  void recordFailure(WallTime Now);
  /// Records a response and the load that it reported; ends an ejection.
  void recordResponse(std::uint32_t Load);
};

/// Immutable lists of the endpoints of each service. A table shares the objects
/// of unchanged endpoints with the table that it replaces, so that their load
/// survives an update.
///
/// Thread-safe.
///
/// Example:
///   auto Table = EndpointTable::build(Members, Previous.get());
///   auto Chosen =
///       chooseEndpoint(Table->endpointsOf("gallery"), Criteria, Random);
class EndpointTable {
public:
  using List = std::vector<std::shared_ptr<Endpoint>>;

  /// Builds a table of the live members that have an upstream and are not
  /// draining. Reuses unchanged endpoints of `Previous`, which may be null.
  static std::shared_ptr<const EndpointTable>
  build(const std::vector<proto::Member> &Members,
        const EndpointTable *Previous);

  /// Returns the endpoints of `Service`, sorted by node.
  const List &endpointsOf(const std::string &Service) const;

private:
  std::map<std::string, List> ByService;
  std::map<std::string, std::shared_ptr<Endpoint>> ByNode;
};

/// The criteria by which a call chooses an endpoint.
struct EndpointCriteria {
  std::string LocalDataCentre;
  std::string Version;
  /// Share of the version's endpoints in each data centre that are candidates,
  /// in parts per thousand. Below 1000 while a new version gets a small share.
  std::uint32_t SubsetPermille = 1000;
  /// Determines which endpoints belong to the subset.
  std::string SubsetKey;
  /// Time over which the share of a new upstream is raised to its full value.
  Millis ColdStartDuration{0};
  WallTime Now;
  /// Nodes of the endpoints that this call has tried already.
  std::vector<std::string> TriedNodes;
};

/// Returns the less loaded of two random endpoints in the local data centre
/// (power of two choices). Returns an endpoint of another data centre if the
/// local one has no candidate, or if the endpoint chosen there is full and the
/// remote one is not. Ejected endpoints are chosen only if there is no other
/// candidate. Returns null if there is no candidate left, for example because
/// every endpoint was tried.
std::shared_ptr<Endpoint> chooseEndpoint(const EndpointTable::List &Endpoints,
                                         const EndpointCriteria &Criteria,
                                         std::mt19937_64 &Random);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_ENDPOINT_TABLE_H
