// One request of a caller on its way to an upstream.
#ifndef PERSIMMONQUAY_DAEMON_ROUTED_CALL_H
#define PERSIMMONQUAY_DAEMON_ROUTED_CALL_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/caller_server.h"
#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/mesh/route_table.h"
#include "persimmonquay/rollout/rollout_table.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace persimmonquay {

/// What the router knows of one request, and what it has tried so far.
struct RoutedCall {
  std::shared_ptr<CallerRequest> Request;
  std::string RequestId;
  const proto::MeshRoute *Route = nullptr;
  std::shared_ptr<const RouteTable> Routes;
  std::string Service;
  VersionFilter Versions;
  MonoTime Deadline;
  MonoTime Objective;
  Millis Patience{0};
  Micros Work{0};
  Micros LikelyWork{0};
  /// Nodes that rejected the call because of their load, with their wait.
  std::map<std::string, Micros> Busy;
  /// Nodes that the call won't be offered to again.
  std::set<std::string> Excluded;
  std::size_t LocalOffers = 0;
  std::size_t RemoteOffers = 0;
  bool JoinedQueue = false;
  bool NoneHere = false;
  /// Upstreams on which the call ran, or may have.
  std::uint32_t Ran = 0;
  std::uint32_t Arrived = 0;
  bool MayHaveRun = false;
  std::uint64_t Attempt = 0;
  std::optional<proto::CallReply> Reply;
  /// An upstream's failure, given to the caller when no repeat does better.
  std::optional<proto::CallReply> Failure;
  Millis RetryAfter{0};
  std::string LastReason;
  RequestOutcome End = RequestOutcome::Answered;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_ROUTED_CALL_H
