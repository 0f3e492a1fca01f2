// Routes requests of callers on this host to upstreams anywhere in the mesh.
#ifndef PERSIMMONQUAY_DAEMON_CALL_ROUTER_H
#define PERSIMMONQUAY_DAEMON_CALL_ROUTER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/caller_responses.h"
#include "persimmonquay/daemon/header_names.h"
#include "persimmonquay/daemon/target_table.h"
#include "persimmonquay/mesh/route_table.h"
#include "persimmonquay/mesh/traffic_split.h"
#include "persimmonquay/traffic/call_placement.h"
#include "persimmonquay/traffic/crash_ledger.h"
#include "persimmonquay/traffic/processing_time_estimate.h"
#include "persimmonquay/traffic/retry_budget.h"
#include "proto/link.pb.h"
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmonquay {

struct CallerRequest;
struct RoutedCall;
struct RouteTarget;
class EvacuationTable;
class NodeDirectory;
class Metrics;
enum class RequestOutcome;
class UpstreamGate;
class PeerLink;
class QuotaService;
class RolloutTable;
struct LinkTraffic;

/// Settings and collaborators of a CallRouter. The referenced objects must
/// outlive it.
struct CallRouterDependencies {
  asio::io_context &IoContext;
  HeaderNames Headers;
  /// Service that runs on this host; sent to upstreams as the calling service.
  std::string LocalService;
  std::string LocalNode;
  std::string LocalDataCentre;
  RetryLimits BudgetLimits;
  FrameLimits LinkLimits;
  UpstreamGate &LocalGate;
  RolloutTable &Rollouts;
  Metrics &Counters;
  CrashLedger &Crashes;
  QuotaService &Quotas;
  /// Returns whether the configuration in force is known to have been the
  /// newest one at about the given time; see
  /// `ConfigurationSync::confirmNewest()`.
  std::function<bool(MonoTime)> ConfirmNewest;
};

/// Finds the route of each call, selects upstreams, offers the call to the
/// nodes next to them and retries it where that is allowed. Every call gets a
/// final response: the upstream's own, 503 if the call has not run and will not
/// run, or 502 or 504 if it may have run.
///
/// Confined to one thread.
class CallRouter {
public:
  using ConfigurationHandler = std::function<void(proto::LinkFrame)>;

  /// `OnConfiguration` receives the configurations that other nodes send.
  explicit CallRouter(CallRouterDependencies RouterDependencies,
                      ConfigurationHandler OnConfiguration);
  CallRouter(const CallRouter &) = delete;
  CallRouter &operator=(const CallRouter &) = delete;
  ~CallRouter();

  // Commands.

  /// Returns the response to one request of a caller.
  asio::awaitable<HttpResponse> serve(std::shared_ptr<CallerRequest> Request);

  /// Sets the end of the startup phase. Until then, calls that cannot be routed
  /// yet are held for a short time, because a node that has just started is
  /// still learning its configuration and the other nodes.
  void holdCallsUntil(MonoTime EndOfStartup) {
    this->StartupEnd = EndOfStartup;
  }

  /// Rejects calls from now on whose deadline is after `End`, when the process
  /// may end: they might be cut.
  void rejectCallsPast(MonoTime End) { this->ShutdownEnd = End; }

  /// Makes `Table` the active route table.
  void setRoutes(std::shared_ptr<const RouteTable> Table);

  /// Sets the function that is called when the link to a node has been
  /// connected, for links that are opened from now on.
  void setConnectHandler(TargetTable::ConnectHandler Handler) {
    this->Targets.setConnectHandler(std::move(Handler));
  }

  /// Sets the function that receives the grants of other nodes, for links that
  /// are opened from now on.
  void setGrantHandler(TargetTable::GrantHandler Handler) {
    this->Targets.setGrantHandler(std::move(Handler));
  }

  /// Updates the known nodes and upstreams from `Nodes` and opens links to new
  /// nodes.
  void updateNodes(const NodeDirectory &Nodes);

  /// Offers no calls to the upstreams of evacuated data centres from now on.
  /// `Known` must outlive this object.
  void setEvacuations(const EvacuationTable &Known) {
    this->Targets.setEvacuations(Known);
  }

  /// Closes all links.
  void stop();

  // Queries.

  const std::shared_ptr<const RouteTable> &routes() const {
    return this->Routes;
  }
  /// Returns the link to a node, or null.
  std::shared_ptr<PeerLink> linkTo(const std::string &Node) const;
  /// Returns the bytes exchanged with nodes of other data centres.
  LinkTraffic crossDataCentreTraffic() const;
  /// Returns whether an upstream of any service is reachable.
  bool hasReachableUpstream() const;
  /// Returns whether a request may run more than once, by its route.
  bool isIdempotent(const HttpRequest &Message) const;

private:
  struct ServiceState;

  /// Waits until the request can be routed, at most until the end of the
  /// startup phase or for a part of the caller's timeout.
  asio::awaitable<void> awaitStartup(std::shared_ptr<CallerRequest> Request);
  /// Waits while other nodes are asked whether a newer configuration holds the
  /// caller's key, if the active one does not.
  asio::awaitable<void> awaitKnownKey(std::shared_ptr<CallerRequest> Request);
  /// Returns whether the request is refused by the active configuration for a
  /// key that a newer one might hold.
  bool hasUnknownKey(const HttpRequest &Message) const;
  /// Returns when a call that can't be handled yet is held no longer.
  MonoTime holdEnd(const CallerRequest &Request) const;
  /// Returns whether the request can be handled without waiting: every service
  /// of its route has a reachable upstream, or there is no route for it.
  bool canRoute(const HttpRequest &Message) const;
  /// Returns the route of a request, or null.
  const proto::MeshRoute *findRoute(const HttpRequest &Message) const;
  /// Looks up the route and sets deadline, objective, service and versions of
  /// `Call`. Returns an error response if the request cannot be routed.
  std::optional<HttpResponse> prepareCall(RoutedCall &Call);
  /// Sets the account of `Call` by its key and whether it is nested. Removes
  /// the key and the account's name from its headers if the configuration has
  /// accounts. Returns an error response if the call must not be routed.
  std::optional<HttpResponse> checkAccess(RoutedCall &Call);
  /// Spends a call of the account's quota. Returns an error response if there
  /// is none left.
  asio::awaitable<std::optional<HttpResponse>>
  spendQuota(std::shared_ptr<RoutedCall> Call);
  /// Offers `Call` to upstreams until one responds or no further attempt is
  /// allowed. Returns the response for the caller.
  asio::awaitable<HttpResponse> forward(std::shared_ptr<RoutedCall> Call);
  /// Offers `Call` to one upstream; `Call->Reply` then holds the reply. Returns
  /// false if the call ends without one.
  asio::awaitable<bool> offer(const std::shared_ptr<RoutedCall> &Call,
                              RouteTarget &Target,
                              std::chrono::microseconds MaxWait);
  /// Sends `Request` and waits for the reply until `Expiry`, or longer while it
  /// is arriving, or until the caller disconnects. Without a reply, the request
  /// is cancelled.
  asio::awaitable<void> exchange(const std::shared_ptr<RoutedCall> &Call,
                                 RouteTarget &Target,
                                 proto::CallRequest Request, MonoTime Expiry);
  /// Withdraws a request that has had no reply in time, and waits for a short
  /// while for the reply.
  asio::awaitable<void> withdraw(const std::shared_ptr<RoutedCall> &Call,
                                 RouteTarget &Target, std::uint64_t Ticket);
  /// Returns the upstream to offer the call to next, or null, and sets the
  /// longest time that the call may wait there.
  std::shared_ptr<RouteTarget> nextTarget(RoutedCall &Call, Micros *MaxWait);
  /// Removes the upstreams that are cold and take no call from this node yet.
  /// If no other is left, sets when `Call` may be repeated.
  void removeClosed(std::vector<std::shared_ptr<RouteTarget>> &Available,
                    RoutedCall &Call);
  PlacementGoal placementGoal(const RoutedCall &Call) const;
  /// Returns the mean size of the responses of the call's route.
  std::size_t expectedResponseBytes(const RoutedCall &Call) const;
  /// Returns a request that only asks whether the call would be admitted; it
  /// carries neither headers nor body.
  proto::CallRequest admissionCheckRequest(const RoutedCall &Call,
                                           const RouteTarget &Target,
                                           Micros MaxWait) const;
  proto::CallRequest callRequest(const RoutedCall &Call,
                                 const RouteTarget &Target,
                                 Micros MaxWait) const;
  /// Returns whether `Call` may be offered again after `Reply`; takes a retry
  /// from the budget if the call had reached an upstream.
  bool mayRetry(RoutedCall &Call, const proto::CallReply &Reply);
  /// Records a reply in the call, in the view of the upstream, in the estimates
  /// and in the metrics.
  void recordReply(RoutedCall &Call, RouteTarget &Target,
                   const proto::CallReply &Reply);
  /// Returns an error response if upstreams have crashed while they ran the
  /// same request, so that it must not run.
  std::optional<HttpResponse> rejectCrashing(RoutedCall &Call);
  /// Returns whether the call's request is known to crash upstreams.
  CrashDecision crashDecision(const RoutedCall &Call) const;
  /// Updates what is known of crashes from a reply to the call.
  void recordCrashes(const RoutedCall &Call, const proto::CallReply &Reply);
  /// Updates the estimates of processing times and response sizes.
  void recordSuccess(const RoutedCall &Call, const proto::CallReply &Reply);
  /// Returns the state of a service; creates it on first use.
  ServiceState &serviceState(const std::string &Service);
  /// Returns a random number in [0, 1).
  double random();

  CallRouterDependencies Dependencies;
  std::mt19937_64 Random;
  TargetTable Targets;
  CallerResponses Responses;
  std::shared_ptr<const RouteTable> Routes;
  MonoTime StartupEnd;
  /// See `rejectCallsPast()`.
  MonoTime ShutdownEnd = MonoTime::max();
  std::map<std::string, TrafficSplit> TrafficSplits;
  /// The calls in progress whose callers have presented a key.
  std::set<std::shared_ptr<RoutedCall>> KeyedCalls;
  std::map<std::string, std::unique_ptr<ServiceState>> ServiceStates;
  /// Processing time at the upstreams, by route.
  std::map<std::string, ProcessingTimeEstimate> ProcessingTimes;
  /// Mean size of response bodies, by route.
  std::map<std::string, double> ResponseBytes;
  /// Longest caller timeout seen, by route.
  std::map<std::string, Millis> MaxCallerTimeouts;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CALL_ROUTER_H
