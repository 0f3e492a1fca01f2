// A model of a mesh under load, in simulated time: callers, nodes, gates and
// upstreams in several data centres. It runs the real decisions (placement,
// admission, Retry-After) against modelled upstreams, so that a rule can be
// compared with simpler ones in seconds and with the same random numbers.
//
// The model leaves out what doesn't bear on these decisions: connections,
// processor time of the nodes, configuration, rollouts and faults of nodes.
#ifndef PERSIMMONQUAY_TESTING_MODEL_MESH_MODEL_H
#define PERSIMMONQUAY_TESTING_MODEL_MESH_MODEL_H

#include "persimmonquay/base/time.h"
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmonquay::testing {

/// An upstream and the node next to it.
struct ModelUpstream {
  std::string Service;
  std::size_t DataCentre = 0;
  std::size_t Slots = 9;
  /// Processing times are multiplied by this.
  double Slowness = 1;
  /// Fraction of calls that it fails.
  double FailureRate = 0;
  /// Time for which it can't be reached.
  Millis DownFrom{0};
  Millis DownUntil{0};
};

/// A kind of request.
struct ModelKind {
  std::string Name;
  std::string Service;
  bool IsIdempotent = true;
  /// Arrivals per second in each data centre.
  std::vector<double> Rates = {};
  Millis ProcessingTime{120};
  /// Parameter of the lognormal distribution of processing times.
  double Spread = 0.3;
  /// Part of the calls that take `TailFactor` times as long.
  double TailShare = 0;
  double TailFactor = 7;
  Millis Objective{400};
  Millis Deadline{1500};
  std::uint32_t Priority = 1;
  std::size_t TransferBytes = 6000;
  /// Number of retries that a caller makes after a rejection.
  int CallerRetries = 1;
  /// Name of the kind that the upstream calls while it runs this one, if any,
  /// and the probability that it does. Such calls have no rate of their own.
  std::string NestedKind = {};
  double NestedProbability = 0;
  /// Number of nested calls, made at the same time.
  int NestedCalls = 1;
  /// Whether calls of this kind say that they are nested.
  bool IsNested = false;
  /// What a response on time and a late one are worth to the caller. The
  /// decisions don't know it.
  double Worth = 1;
  double LateWorth = 0.3;
};

struct ModelSite {
  std::size_t DataCentres = 3;
  /// Nodes that callers of a data centre use. Each has its own view of the
  /// upstreams.
  std::size_t NodesPerDataCentre = 1;
  std::vector<ModelUpstream> Upstreams;
  std::vector<ModelKind> Kinds;
  Millis Duration{20000};
  /// Rates are multiplied by this in a part of the run.
  double BurstFactor = 1;
  /// Calls a second that a cold upstream bears; 0 if there is no limit. It ends
  /// if it gets many more in one second, and is back after a while, cold.
  double ColdRate = 0;
  /// How long upstreams are cold, from the beginning of the run.
  Millis ColdDuration{0};
  /// Whether the gates hold the rate of cold upstreams.
  bool LimitsColdUpstreams = true;
  Millis BurstFrom{0};
  Millis BurstUntil{0};
  /// Rates swing by this part of them, in each data centre at another time.
  double WaveHeight = 0;
  Millis WavePeriod{17000};
  /// Part of the time in which an upstream's host is slow, for how long at a
  /// time, and how many times as long work takes then.
  double SlowSpellShare = 0;
  Millis SlowSpellTime{600};
  double SlowSpellFactor = 2.5;
  /// Whether upstreams report how long work takes at the moment.
  bool ReportsSpeed = true;
};

/// What became of the callers' requests.
struct ModelCounts {
  int Offered = 0;
  int OnTime = 0;
  int Late = 0;
  /// Rejected, also after the caller's retries.
  int Rejected = 0;
  /// Ran, but failed or ended too late.
  int Failed = 0;
  /// Requests of which a retry was rejected again.
  int RejectedAgain = 0;
  double Worth = 0;

  ModelCounts &operator+=(const ModelCounts &Other);

  /// Returns the share of the requests that were answered, on time or late.
  double servedShare() const {
    return this->Offered == 0
               ? 1
               : static_cast<double>(this->OnTime + this->Late) / this->Offered;
  }
  double onTimeShare() const {
    return this->Offered == 0
               ? 1
               : static_cast<double>(this->OnTime) / this->Offered;
  }
};

/// A request that a caller made, whatever became of it.
struct ModelDemand {
  /// Points into the site.
  const ModelKind *Kind = nullptr;
  /// Its work at an upstream of slowness 1, in seconds.
  double Work = 0;
};

struct ModelResult {
  /// By kind and by data centre of the caller.
  std::map<std::string, ModelCounts> ByKind;
  std::vector<ModelCounts> ByDataCentre;
  std::uint64_t RemoteBytes = 0;
  /// Work of upstreams whose response was of no use, in seconds.
  double WastedSeconds = 0;
  /// Time in which a slot was free while a call waited at another upstream of
  /// the same service in the same data centre, in seconds of slots. At most one
  /// slot counts for each waiting call.
  double IdleSlotSeconds = 0;
  /// By the second of their arrival.
  std::map<std::int64_t, ModelCounts> BySecond;
  std::vector<ModelDemand> Demand;
  /// Times that a cold upstream has ended.
  int Crashes = 0;
  /// Answers by the second of the run in which they arrived.
  std::map<std::int64_t, int> AnsweredInSecond;

  double offeredWorth() const;
  /// Returns the earned part of the worth of the requests.
  double worthShare() const {
    return this->total().Worth / this->offeredWorth();
  }
  ModelCounts total() const;
};

/// Which rule chooses the upstream of a call.
enum class ModelPlacement {
  /// `CallPlacement`.
  Expected,
  /// The local upstream with the fewest calls of this node in progress, others
  /// only if there is none.
  LocalLeastLoaded,
  /// Any upstream at random.
  Random,
};

/// Simulates the site. The same seed gives the same arrivals and processing
/// times for every rule.
ModelResult simulate(const ModelSite &Site, ModelPlacement Rule,
                     std::uint64_t Seed);

/// Returns a bound on the part of the worth of the requests that any scheduler
/// could have earned: each request takes its work, and no more work is done
/// than the slots have time for. Leaves out what depends on when requests
/// arrive.
double worthBound(const ModelSite &Site, const ModelResult &Result);

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_MODEL_MESH_MODEL_H
