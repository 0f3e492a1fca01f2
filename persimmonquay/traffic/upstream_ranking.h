// Ranks the upstreams of a service as candidates for a call.
//
// Handles these load patterns:
//  - Upstreams of different speed and load: the lowest expected time to a
//    response wins, not round robin.
//  - Upstreams that fail some of their calls while they look healthy: failures
//    add to the expected time.
//  - Upstreams whose large answers wait for the link of their host, or have
//    none to pass.
//  - Upstreams that were just added.
//  - Upstreams that are cold and take a few calls a second from all nodes
//    together.
//  - Upstreams that are gone although this node has not heard of it, for
//    instance because another host has taken over the address of theirs.
//
// `CallPlacement` decides between data centres.
#ifndef PERSIMMONQUAY_TRAFFIC_UPSTREAM_RANKING_H
#define PERSIMMONQUAY_TRAFFIC_UPSTREAM_RANKING_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/traffic/cold_returns.h"
#include "persimmonquay/traffic/host_speed.h"
#include "persimmonquay/traffic/processing_time_estimate.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmonquay {

/// What a call needs of the link of the upstream's host.
struct LinkNeed {
  /// Expected size of the answer.
  std::size_t AnswerBytes = 0;
  /// Expected time until the upstream has the answer.
  Micros ProcessingTime{0};
};

/// One node's view of the load, processing time and failure rate of one
/// upstream. Updated by every reply.
class UpstreamView {
public:
  UpstreamView(bool IsLocal, std::uint32_t SlotCount)
      : Local(IsLocal), Slots(SlotCount == 0 ? 1 : SlotCount) {}

  // Commands.

  /// Records that a call was sent to the upstream.
  void recordSent() { ++this->InFlight; }
  /// Records that a sent call has ended, whether it succeeded or not.
  void recordEnded() { this->InFlight -= this->InFlight > 0 ? 1 : 0; }
  /// Records the load reported in a reply. `WorkPercent` is how long work takes
  /// there at the moment as a percentage of the usual time, or 0 if unknown.
  void recordLoad(std::uint32_t Running, std::uint32_t Waiting,
                  std::uint32_t SlotCount, std::chrono::microseconds Wait,
                  MonoTime Now, std::uint32_t WorkPercent = 0);
  /// Sets the bandwidth of the link between the upstream's host and this node;
  /// 0 if it is unknown or there is none between them.
  void setLinkRate(double BytesPerSecond) {
    this->LinkBytesPerSecond = BytesPerSecond;
  }
  /// Records how long that link takes for the answers that are expected there.
  void recordLinkBacklog(Micros Backlog, MonoTime Now) {
    this->LinkBacklog = Backlog;
    this->LinkReportedAt = Now;
  }
  /// Records the result of a call that reached the upstream, after the load
  /// that was reported with it.
  /// `CallProcessingTime` is ignored if the call failed. `TypicalTime` is the
  /// mean processing time of such calls over all upstreams, or 0 if unknown.
  void recordResult(
      bool Failed, std::chrono::microseconds CallProcessingTime, MonoTime Now,
      std::chrono::microseconds TypicalTime = std::chrono::microseconds{0});
  /// Records that a gate has rejected a call for a reason other than load: it
  /// has no such upstream, or the upstream can't be used at present.
  void recordUnavailable(MonoTime Now);
  /// Records that the upstream is cold and takes no call of this node before
  /// `State.OpensAt`.
  void recordClosed(const ClosedUpstream &State) { this->Closed = State; }
  /// Records the fraction of all nodes' calls that failed at the upstream.
  void recordFleetFailureRate(double Rate, MonoTime Now) {
    this->FleetFailureRate = Rate;
    this->FleetRateAt = Now;
  }

  // Queries.

  bool isLocal() const { return this->Local; }

  /// Returns whether the upstream has just been found unavailable. The time
  /// grows with each further rejection, since a node may hold an outdated entry
  /// of the upstream for long; a call that reaches the upstream ends it.
  bool isUnavailable(MonoTime Now) const {
    return Now < this->UnavailableUntil;
  }

  /// Returns when the upstream takes calls of this node and until when it is
  /// cold, as it last told; may be in the past. Each node is told another time,
  /// so that few offers are refused.
  const ClosedUpstream &closed() const { return this->Closed; }

  std::uint32_t inFlight() const { return this->InFlight; }
  std::uint32_t slots() const { return this->Slots; }

  /// Returns the expected time that a call would wait for a slot there.
  std::chrono::microseconds expectedWait(MonoTime Now) const;

  /// Returns the reported speed of the upstream's host.
  const HostSpeed &speed() const { return this->Speed; }

  /// Returns the expected time that a large answer waits for the link and takes
  /// on it. Small answers pass the others.
  Micros linkDelay(const LinkNeed &Need, MonoTime Now) const;

  /// Returns the mean measured processing time at usual speed, or none if no
  /// call has succeeded there yet.
  std::optional<std::chrono::microseconds> measuredProcessingTime() const;

  /// Returns the processing time of calls there at usual speed, compared with
  /// the same calls at other upstreams: above 1 if this one is slower. None if
  /// unknown.
  std::optional<double> slowness() const {
    return this->SlownessSamples > 0 ? std::optional(this->Slowness)
                                     : std::nullopt;
  }

  /// Returns the expected time to a successful response, by which upstreams
  /// are compared; failures add to it. `DefaultProcessingTime` is used if no
  /// call has succeeded there yet.
  std::chrono::microseconds
  expectedCost(MonoTime Now,
               std::chrono::microseconds DefaultProcessingTime) const;

  /// Returns the fraction of calls that fail there, as seen by this node or
  /// reported for all nodes, whichever is higher. Decays over time.
  double failureRate(MonoTime Now) const;

private:
  bool Local;
  std::uint32_t Slots;
  std::uint32_t InFlight = 0;
  std::uint32_t ReportedRunning = 0;
  std::uint32_t InFlightAtReport = 0;
  std::chrono::microseconds ReportedWait{0};
  MonoTime ReportedAt;
  HostSpeed Speed;
  double LinkBytesPerSecond = 0;
  Micros LinkBacklog{0};
  MonoTime LinkReportedAt;
  ProcessingTimeEstimate ProcessingTime{std::chrono::milliseconds(100)};
  /// Moving average over the latest calls.
  double Slowness = 1;
  int SlownessSamples = 0;
  /// As of `LastResultAt`, from this node's calls.
  double FailureRate = 0;
  /// As of `FleetRateAt`, from all nodes' calls.
  double FleetFailureRate = 0;
  MonoTime LastResultAt;
  MonoTime FleetRateAt;
  MonoTime UnavailableUntil;
  ClosedUpstream Closed;
  /// Length of the next such time.
  std::chrono::milliseconds UnavailableBackoff{0};
};

/// An upstream as a candidate for one call.
struct Candidate {
  /// Index into the views passed to `rankUpstreams()`.
  std::size_t Index = 0;
  /// Whether the upstream is in this node's data centre.
  bool Local = true;
  std::chrono::microseconds Wait{0};
  std::chrono::microseconds Cost{0};
};

/// Returns a candidate for each view, the one with the lowest cost first. An
/// upstream that has served no call yet is assumed to be as fast as the fastest
/// one, so that a new upstream gets calls at once. `Tiebreak` holds a random
/// number from 0 to 1 for each view, which varies the order of similar
/// upstreams so that nodes don't all choose the same one.
std::vector<Candidate> rankUpstreams(const std::vector<const UpstreamView *> &,
                                     const std::vector<double> &Tiebreak,
                                     MonoTime Now, const LinkNeed &Need = {});

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_UPSTREAM_RANKING_H
