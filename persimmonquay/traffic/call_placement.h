// Chooses the upstreams to which one call is offered, one after the other.
//
// Handles these load patterns:
//  - Upstreams of different speed in different data centres. A call leaves its
//    data centre if that makes it less likely to be late by more than its
//    transfer is worth, so that a data centre whose upstreams are slow or few
//    is not served worse than the others. Small calls cross more readily than
//    large ones.
//  - A data centre whose own upstreams are full: calls go to another one rather
//    than wait until they are late, but not to one that has just reported that
//    it is full too.
//  - A full mesh: after a few offers, the call joins the shortest queue that it
//    has met.
//  - An upstream that fails part of its calls: it is treated like one at which
//    that part of the calls is late.
#ifndef PERSIMMONQUAY_TRAFFIC_CALL_PLACEMENT_H
#define PERSIMMONQUAY_TRAFFIC_CALL_PLACEMENT_H

#include "persimmonquay/base/time.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonquay {

class UpstreamView;

/// What a call needs, as far as placement is concerned.
struct PlacementGoal {
  /// Latency objective; a response after this time is late and worth less.
  MonoTime Objective;
  /// A response after this time is worth nothing.
  MonoTime Deadline;
  /// Mean processing time of calls like this one over all upstreams, and its
  /// mean deviation.
  Micros MeanProcessingTime{0};
  Micros ProcessingTimeDeviation{0};
  /// Bytes that a call to another data centre transfers in both directions.
  std::size_t TransferBytes = 0;
  /// Expected size of the answer.
  std::size_t AnswerBytes = 0;
};

/// An upstream to which a call may be offered. The referenced objects must
/// outlive it.
struct PlacementTarget {
  const std::string &Node;
  const std::string &DataCentre;
  const UpstreamView &View;
};

/// The next upstream to offer a call to.
struct PlacementOffer {
  /// Index into the targets passed to `CallPlacement::nextOffer()`.
  std::size_t Index = 0;
  /// The longest time that the call may wait there.
  Micros MaxWait{0};
};

/// Returns how much a call is expected to lose if it waits for `Wait` at the
/// upstream: 0 if it surely succeeds on time, 1 if it surely fails.
double expectedLoss(const PlacementGoal &Goal, const UpstreamView &View,
                    double Slowness, Micros Wait, MonoTime Now);

/// The offers of one call and their rejections so far. Does no I/O and reads no
/// clock. Not thread-safe.
///
/// Example:
///   while (std::optional<PlacementOffer> Offer =
///              Placement.nextOffer(Goal, Targets, IsBusy, Random, Now))
///     if (accepted(*Offer))
///       break;
///     else
///       Placement.recordBusy(Targets[Offer->Index], ReportedWait);
class CallPlacement {
public:
  /// Returns whether a data centre has just rejected calls to the service.
  using BusyCheck = std::function<bool(const std::string &DataCentre)>;

  // Commands.

  /// Returns the next offer, or none if the call should be rejected. `Random`
  /// returns numbers in [0, 1); they vary the order of similar upstreams, so
  /// that nodes don't all choose the same one.
  std::optional<PlacementOffer>
  nextOffer(const PlacementGoal &Goal,
            const std::vector<PlacementTarget> &Targets,
            const BusyCheck &IsDataCentreBusy,
            const std::function<double()> &Random, MonoTime Now);

  /// Records that an upstream has rejected the call because the wait there
  /// would have been `Wait`.
  void recordBusy(const PlacementTarget &Target, Micros Wait);

  /// Lets the call join a queue again; called when it is retried.
  void allowQueueing() { this->JoinedQueue = false; }

  // Queries.

  /// Returns how many upstreams have rejected the call because of load.
  std::size_t busyCount() const { return this->BusyNodes.size(); }

private:
  /// Returns whether the call may be offered to another upstream of the local
  /// data centre.
  bool mayOfferLocally() const;

  /// Upstreams that have rejected the call because of load, with the wait that
  /// they reported.
  std::map<std::string, Micros> BusyNodes;
  /// Offers that were rejected because of load, within the data centre and to
  /// other ones.
  std::size_t LocalOffers = 0;
  std::size_t RemoteOffers = 0;
  /// Slots of the upstreams of the data centre that rejected the call.
  std::size_t OfferedSlots = 0;
  /// Whether the call has been offered to the shortest queue that it met.
  bool JoinedQueue = false;
  /// Whether the data centre has no upstream for the call; those of others are
  /// then treated as local, since waiting for a local one can't save the
  /// transfer.
  bool NoLocalUpstream = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_CALL_PLACEMENT_H
