// Takes the calls of this host's callers to upstreams anywhere in the mesh.
#ifndef PERSIMMONQUAY_DAEMON_CALL_ROUTER_H
#define PERSIMMONQUAY_DAEMON_CALL_ROUTER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/caller_responses.h"
#include "persimmonquay/daemon/header_names.h"
#include "persimmonquay/daemon/target_table.h"
#include "persimmonquay/mesh/route_table.h"
#include "persimmonquay/mesh/traffic_split.h"
#include "persimmonquay/traffic/retry_budget.h"
#include "persimmonquay/traffic/service_time_estimate.h"
#include "proto/link.pb.h"
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace persimmonquay {

struct CallerRequest;
struct RoutedCall;
struct RouteTarget;
class NodeDirectory;
class Metrics;
enum class RequestOutcome;
class UpstreamGate;
class PeerLink;
class RolloutTable;
struct LinkTraffic;

/// What an egress is built from; all references must outlive it.
struct CallRouterDependencies {
  asio::io_context &Context;
  HeaderNames Names;
  /// Service of this host, on whose behalf its callers call.
  std::string OwnService;
  std::string OwnNode;
  std::string DataCentre;
  RetryLimits Repeats;
  UpstreamGate &OwnGate;
  RolloutTable &Rollouts;
  Metrics &Counts;
};

/// Finds the route of each call, chooses upstreams, offers the call to the
/// nodes beside them, repeats what may be repeated, and always gives a final
/// answer: the upstream's own, 503 for what has not run and won't, 502 or 504
/// for what may have run. Lives on one thread.
class CallRouter {
public:
  using LinkHandler = std::function<void(proto::LinkFrame)>;

  explicit CallRouter(CallRouterDependencies Parts,
                      LinkHandler OnConfiguration);
  CallRouter(const CallRouter &) = delete;
  CallRouter &operator=(const CallRouter &) = delete;
  ~CallRouter();

  // Commands.

  /// Answers one request of a caller.
  asio::awaitable<HttpResponse> serve(std::shared_ptr<CallerRequest> Request);

  /// Sets until when calls that can't be placed yet are held for a moment: the
  /// node has just started and is about to learn what it needs.
  void holdCallsUntil(MonoTime Settled) { this->SettledAt = Settled; }

  /// Takes a configuration into force.
  void setRoutes(std::shared_ptr<const RouteTable> Table);

  /// Takes over what is known of the nodes and keeps links to them.
  void updateNodes(const NodeDirectory &Nodes);

  /// Closes all links.
  void stop();

  // Queries.

  const std::shared_ptr<const RouteTable> &routes() const {
    return this->Routes;
  }
  std::shared_ptr<PeerLink> linkTo(const std::string &Node) const;
  /// Returns the traffic with nodes of other data centres.
  LinkTraffic crossDataCentreTraffic() const;
  /// Returns whether an upstream of some service can be reached.
  bool hasReachableUpstream() const;

private:
  struct ServiceState;

  asio::awaitable<void> awaitStart(std::shared_ptr<CallerRequest> Request);
  bool canPlace(const HttpRequest &Message) const;
  std::optional<HttpResponse> admit(RoutedCall &Asked);
  asio::awaitable<HttpResponse> forward(std::shared_ptr<RoutedCall> Asked);
  asio::awaitable<bool> offer(const std::shared_ptr<RoutedCall> &Asked,
                              RouteTarget &To,
                              std::chrono::microseconds MaxWait);
  asio::awaitable<void> exchange(const std::shared_ptr<RoutedCall> &Asked,
                                 RouteTarget &To, proto::CallRequest Request,
                                 MonoTime Until);
  std::shared_ptr<RouteTarget> nextTarget(RoutedCall &Asked, Micros *MaxWait);
  std::shared_ptr<RouteTarget> bestKnown(RoutedCall &Asked, Micros *MaxWait);
  /// Asks whether the call would be taken, without its content.
  proto::CallRequest question(const RoutedCall &Asked, const RouteTarget &To,
                              Micros MaxWait) const;
  proto::CallRequest callRequest(const RoutedCall &Asked, const RouteTarget &To,
                                 Micros MaxWait) const;
  bool mayRepeat(RoutedCall &Asked, const proto::CallReply &Reply);
  void noteReply(RoutedCall &Asked, RouteTarget &To,
                 const proto::CallReply &Reply);
  ServiceState &stateOf(const std::string &Service);
  double random();

  CallRouterDependencies Parts;
  std::mt19937_64 Random;
  TargetTable Targets;
  CallerResponses Answers;
  std::shared_ptr<const RouteTable> Routes;
  MonoTime SettledAt;
  std::map<std::string, TrafficSplit> Splits;
  std::map<std::string, std::unique_ptr<ServiceState>> Services;
  std::map<std::string, ServiceTimeEstimate> RouteWork;
  /// Longest time that callers of a route have been seen to wait.
  std::map<std::string, Millis> FullPatience;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CALL_ROUTER_H
