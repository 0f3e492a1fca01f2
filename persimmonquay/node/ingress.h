// The node's side towards its own upstream: announcement, admission, running.
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

/// What an upstream says about itself, again and again while it runs.
struct Announcement {
  std::string Service;
  std::string Version;
  std::string Address;
  std::uint16_t Port = 0;
  std::uint32_t Slots = 0;
  /// Differs between two runs of the upstream.
  std::string Boot;
  bool Draining = false;
};

/// A call that another node, or this one, sends to this node's upstream.
struct IngressCall {
  CallRequest Request;
  std::string Service;
  std::string Route;
  int Priority = 0;
  Millis Remaining{0};
  std::uint64_t Fingerprint = 0;
  /// Upstream deaths that the sender has seen this call end in.
  std::uint64_t Deaths = 0;
};

/// How the try ended.
struct IngressReply {
  AttemptResult End = AttemptResult::RefusedByNode;
  CallReply Reply;
  /// Why, when there is no answer of the upstream.
  std::string Detail;
  /// Calls running and waiting at the upstream.
  std::uint32_t Load = 0;
  /// True when the upstream died while the call ran.
  bool UpstreamDied = false;
};

/// Alone admits work to the upstream, so that its slots, its draining, the
/// taking back of its version and the blame for its death are decided in one
/// place with exact knowledge.
///
/// Thread-safe.
///
/// Example:
///   Ingress Inner(&Group, &Views, &Pool, &Moves, Millis(3000));
///   Inner.announce(Heard);
///   IngressReply Reply = Inner.run(Call);
class Ingress {
public:
  Ingress(Cluster *Group, const RoutingViewHolder *Views, HttpPool *Pool,
          MoveDriver *Moves, Millis AnnouncementLease);

  // Commands.

  /// Takes an announcement. Returns InvalidArgument naming the wrong field.
  absl::Status announce(const Announcement &Heard);

  /// Runs a call at the upstream, or refuses it.
  IngressReply run(const IngressCall &Call);

  /// Withdraws the upstream when its announcements have stopped.
  void checkLease(MonoTime Now);

  /// Refuses new work from now on and tells the peers.
  void drain();

  // Queries.

  /// Waits until no call runs; returns false when `Timeout` passed before.
  bool waitUntilIdle(Millis Timeout) const;

  std::uint32_t load() const;

private:
  struct Upstream {
    Announcement Last;
    MonoTime HeardAt;
    WallTime AnnouncedAt;
  };

  /// Returns a refusal, or null when the call may run.
  std::unique_ptr<IngressReply> refusal(const IngressCall &Call,
                                        const Upstream &Known) const;
  IngressReply runUnderBlame(const IngressCall &Call, const Upstream &Known);
  IngressReply runAdmitted(const IngressCall &Call, const Upstream &Known);
  bool startUnderBlame(const IngressCall &Call, MonoTime Deadline,
                       std::string *Detail);
  bool runsAs(const std::string &Boot) const;
  void upstreamDied(const std::string &Boot);
  void countEvidence(const std::string &Route, const Upstream &Known,
                     bool Failed, MonoTime StartedAt);
  void countDeath(const Upstream &Known);
  IngressReply refuse(const std::string &Detail) const;
  std::shared_ptr<const Upstream> known() const;
  std::size_t queueLimitOf(const std::string &Service) const;
  void replaceLocked(std::shared_ptr<const Upstream> Next);
  void tellPeersLocked();
  void noteRoute(const IngressCall &Call);

  Cluster *const Group;
  const RoutingViewHolder *const Views;
  HttpPool *const Pool;
  MoveDriver *const Moves;
  const Millis Lease;

  AdmissionGate Gate;
  CrashSuspectTracker Blame;
  /// Read by every call; replaced under Mutex.
  RcuPointer<std::shared_ptr<const Upstream>> Current;
  std::mutex Mutex;
  /// Route of the newest call of a moving service, on which a death without
  /// calls is counted.
  std::string NewestRoute;
  bool NodeDraining = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_INGRESS_H
