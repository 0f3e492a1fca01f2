// Chooses the upstreams to which a call is offered, and in which order.
//
// Load patterns answered: upstreams of unequal speed and load (shortest
// expected time, not round robin), upstreams that fail part of their calls
// while they look healthy (failures count as time, and an upstream that fails
// many is not preferred for being near), a data centre whose own
// upstreams are full (calls cross only when they would otherwise miss their
// latency objective, and not to data centres that have just said they are full
// too), and upstreams that were just added or can't be reached.
#ifndef PERSIMMONQUAY_TRAFFIC_PLACEMENT_H
#define PERSIMMONQUAY_TRAFFIC_PLACEMENT_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/traffic/service_time_estimate.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmonquay {

/// What one node knows of one upstream. Updated by every reply.
class UpstreamView {
public:
  UpstreamView(bool IsLocal, std::uint32_t SlotCount)
      : Local(IsLocal), Slots(SlotCount == 0 ? 1 : SlotCount) {}

  // Commands.

  /// Records a call that was sent and is not answered yet.
  void recordSent() { ++this->InFlight; }
  /// Records that a sent call has ended, in whatever way.
  void recordEnded() { this->InFlight -= this->InFlight > 0 ? 1 : 0; }
  /// Records the load that a reply reported.
  void recordLoad(std::uint32_t Running, std::uint32_t Waiting,
                  std::uint32_t SlotCount, std::chrono::microseconds Wait,
                  MonoTime Now);
  /// Records an answer's result; `Work` is the time at the upstream.
  void recordResult(bool Failed, std::chrono::microseconds Work, MonoTime Now);
  /// Records the part of all nodes' calls that failed there.
  void recordFleetFailureRate(double Rate, MonoTime Now) {
    this->SharedFailureRate = Rate;
    this->SharedAt = Now;
  }

  // Queries.

  bool isLocal() const { return this->Local; }
  std::uint32_t inFlight() const { return this->InFlight; }

  /// Returns the wait that a call would have there, as far as is known.
  std::chrono::microseconds expectedWait(MonoTime Now) const;

  /// Returns the measured time of a call, if one has ended there.
  std::optional<std::chrono::microseconds> measuredServiceTime() const;

  /// Returns the expected time to a good answer, by which upstreams are
  /// compared; failures make it longer. `Assumed` stands for the time of a
  /// call where none has ended yet.
  std::chrono::microseconds
  expectedCost(MonoTime Now, std::chrono::microseconds Assumed) const;

  double failureRate(MonoTime Now) const;

private:
  bool Local;
  std::uint32_t Slots;
  std::uint32_t InFlight = 0;
  std::uint32_t ReportedRunning = 0;
  std::uint32_t InFlightAtReport = 0;
  std::chrono::microseconds ReportedWait{0};
  MonoTime ReportedAt;
  ServiceTimeEstimate Work{std::chrono::milliseconds(100)};
  double FailureRate = 0;
  double SharedFailureRate = 0;
  MonoTime FailedAt;
  MonoTime SharedAt;
};

/// An upstream as a candidate for one call.
struct Candidate {
  std::size_t Index = 0;
  bool Local = true;
  /// Local, and does not fail many calls.
  bool Preferred = true;
  std::chrono::microseconds Wait{0};
  std::chrono::microseconds Cost{0};
};

/// Returns the views' indices as candidates, best first: those of the own data
/// centre that don't fail many calls, then the others. An upstream that has
/// served no call yet is taken to be as fast as the fastest, so that a new one
/// gets work at once. `Tiebreak` (0 to 1 for each view) orders equals
/// differently on every call, so that nodes don't choose alike.
std::vector<Candidate> rankUpstreams(const std::vector<const UpstreamView *> &,
                                     const std::vector<double> &Tiebreak,
                                     MonoTime Now);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_PLACEMENT_H
