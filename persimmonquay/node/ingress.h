// Tracks the node's own upstream and admits and runs calls on it.
#ifndef PERSIMMONQUAY_NODE_INGRESS_H
#define PERSIMMONQUAY_NODE_INGRESS_H

#include "persimmonquay/base/rcu_pointer.h"
#include "persimmonquay/base/time.h"
#include "persimmonquay/node/call.h"
#include "persimmonquay/routing/admission_gate.h"
#include "persimmonquay/routing/crash_suspect_tracker.h"
#include "persimmonquay/routing/outcome.h"
#include <absl/status/status.h>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace persimmonquay {

class Cluster;
class HttpPool;
class MoveDriver;
class RoutingViewHolder;

/// Self-description that an upstream sends periodically while it runs.
struct Announcement {
  std::string Service;
  std::string Version;
  std::string Address;
  std::uint16_t Port = 0;
  std::uint32_t Slots = 0;
  /// Identifies one run of the upstream process; changes on every restart.
  std::string Boot;
  bool Draining = false;
};

/// A call that another node, or this one, sends to this node's upstream.
struct IngressCall {
  CallRequest Request;
  std::string Service;
  std::string Route;
  int Priority = 0;
  /// Time left until the call's deadline.
  Millis Timeout{0};
  std::uint64_t Fingerprint = 0;
  /// Number of upstream crashes that the sender has seen while this call ran.
  std::uint64_t CrashCount = 0;
};

/// The result of one attempt to run a call at this node's upstream.
struct IngressReply {
  AttemptResult Result = AttemptResult::RefusedByNode;
  CallResponse Response;
  /// The reason when there is no response from the upstream.
  std::string Detail;
  /// Number of calls that are running or queued at the upstream.
  std::uint32_t Load = 0;
  /// True if the upstream crashed while the call ran.
  bool UpstreamCrashed = false;
};

/// The only component that admits calls to the node's own upstream. Decisions
/// on free slots, draining, rolled back versions and requests suspected of
/// crashing the upstream are therefore made in one place, on exact data.
///
/// Thread-safe.
///
/// Example:
///   Ingress LocalIngress(&PeerCluster, &Views, &Pool, &Moves, Millis(3000));
///   absl::Status Status = LocalIngress.announce(NewAnnouncement);
///   IngressReply Reply = LocalIngress.run(Call);
class Ingress {
public:
  Ingress(Cluster *PeerCluster, const RoutingViewHolder *Views, HttpPool *Pool,
          MoveDriver *Moves, Millis AnnouncementLease);

  // Commands.

  /// Registers the upstream, or renews its registration. Returns
  /// InvalidArgument, naming the field, when a value is missing or out of
  /// range.
  absl::Status announce(const Announcement &NewAnnouncement);

  /// Runs a call at the upstream, waiting for a slot within `Call.Timeout`,
  /// or refuses it.
  IngressReply run(const IngressCall &Call);

  /// Drops the registration when no announcement arrived within the lease.
  void checkLease(MonoTime Now);

  /// Refuses new calls from now on and publishes this to the peers.
  void drain();

  // Queries.

  /// Waits until no call runs. Returns false when `Timeout` expires first.
  bool waitUntilIdle(Millis Timeout) const;

  /// Returns the number of calls that are running or queued.
  std::uint32_t load() const;

private:
  /// The upstream as of its most recent announcement.
  struct Registration {
    Announcement LastAnnouncement;
    MonoTime LastAnnouncedAt;
    /// When the current run of the upstream announced itself first.
    WallTime FirstAnnouncedAt;
  };

  /// Returns a refusal, or null when the call may run.
  std::unique_ptr<IngressReply> refusal(const IngressCall &Call,
                                        const Registration &Upstream) const;
  IngressReply runTrackingCrashes(const IngressCall &Call,
                                  const Registration &Upstream);
  IngressReply forwardToUpstream(const IngressCall &Call,
                                 const Registration &Upstream);
  /// Waits for the call's turn among requests suspected of crashing the
  /// upstream. Returns false, and the reason in `Detail`, when it must not run.
  bool startCrashTracking(const IngressCall &Call, MonoTime Deadline,
                          std::string *Detail);
  /// Returns whether the registered upstream is still the run `Boot`.
  bool isCurrentBoot(const std::string &Boot) const;
  /// Drops the registration of the run `Boot` and publishes which requests are
  /// suspected of crashing it. Does nothing if another run is registered.
  void handleUpstreamExit(const std::string &Boot);
  void countEvidence(const std::string &Route, const Registration &Upstream,
                     bool Failed, MonoTime StartedAt);
  void countCrash(const Registration &Upstream);
  IngressReply refuse(const std::string &Detail) const;
  std::shared_ptr<const Registration> registration() const;
  std::size_t queueLimitOf(const std::string &Service) const;
  void replaceLocked(std::shared_ptr<const Registration> NewRegistration);
  void publishSelfLocked();
  void recordRoute(const IngressCall &Call);

  Cluster *const PeerCluster;
  const RoutingViewHolder *const Views;
  HttpPool *const Pool;
  MoveDriver *const Moves;
  const Millis Lease;

  AdmissionGate Gate;
  CrashSuspectTracker CrashSuspects;
  /// Null while no upstream is registered. Read by every call without a lock;
  /// replaced while holding Mutex.
  RcuPointer<std::shared_ptr<const Registration>> Current;
  std::mutex Mutex;
  /// Route of the most recent call while the service had an active move. A
  /// crash outside any call is counted as a failure on this route.
  std::string NewestRoute;
  bool NodeDraining = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_INGRESS_H
