// State of one caller's request while it is routed to an upstream.
#ifndef PERSIMMONQUAY_DAEMON_ROUTED_CALL_H
#define PERSIMMONQUAY_DAEMON_ROUTED_CALL_H

#include "persimmonquay/accounts/quota_balances.h"
#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/caller_server.h"
#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/mesh/route_table.h"
#include "persimmonquay/rollout/rollout_table.h"
#include "persimmonquay/traffic/call_placement.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace persimmonquay {

/// Data of one request and the record of its attempts so far.
struct RoutedCall {
  std::shared_ptr<CallerRequest> Request;
  std::string RequestId;
  const proto::MeshRoute *Route = nullptr;
  /// Keeps `Route` alive when a new route table becomes active.
  std::shared_ptr<const RouteTable> Routes;
  /// Account of the caller, in `Routes`; null if it has none.
  const proto::ClientAccount *Account = nullptr;
  /// Whether the upstream on this host makes the call while it runs another.
  bool IsNested = false;
  /// What the call has spent of the account's quota.
  std::optional<QuotaCharge> Charge;
  std::string Service;
  VersionFilter Versions;
  /// Time after which a response is useless to the caller.
  MonoTime Deadline;
  /// Time by which a response meets the latency objective of the route.
  MonoTime Objective;
  /// Time that the caller still waits, as it stated; the route's timeout if it
  /// stated none.
  Millis CallerTimeout{0};
  /// Mean processing time of the route's calls at the upstreams.
  Micros MeanProcessingTime{0};
  /// Processing time that most calls of the route do not exceed.
  Micros UpperProcessingTime{0};
  /// Nodes to which the call must not be offered again.
  std::set<std::string> ExcludedNodes;
  CallPlacement Placement;
  /// Number of times that the call ran, or may have run, at an upstream.
  std::uint32_t RunCount = 0;
  /// Number of times that the call was delivered to an upstream.
  std::uint32_t Arrivals = 0;
  bool MayHaveRun = false;
  /// Number of the current exchange; replies to earlier ones are ignored.
  std::uint64_t ExchangeId = 0;
  /// Reply to the current exchange.
  std::optional<proto::CallReply> Reply;
  /// An upstream's error response; returned to the caller if no retry succeeds.
  std::optional<proto::CallReply> UpstreamFailure;
  /// Shortest time that a rejecting node suggested for a retry; 0 if none did.
  Millis RetryAfter{0};
  /// Reason given in the last reply; used in the error response.
  std::string LastReason;
  RequestOutcome End = RequestOutcome::Answered;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_ROUTED_CALL_H
