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
};

struct ModelSite {
  std::size_t DataCentres = 3;
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

  ModelCounts &operator+=(const ModelCounts &Other);

  double onTimeShare() const {
    return this->Offered == 0
               ? 1
               : static_cast<double>(this->OnTime) / this->Offered;
  }
};

struct ModelResult {
  /// By kind and by data centre of the caller.
  std::map<std::string, ModelCounts> ByKind;
  std::vector<ModelCounts> ByDataCentre;
  std::uint64_t RemoteBytes = 0;
  /// Work of upstreams whose response was of no use, in seconds.
  double WastedSeconds = 0;
  /// Times that a cold upstream has ended.
  int Crashes = 0;
  /// Answers by the second of the run in which they arrived.
  std::map<std::int64_t, int> AnsweredInSecond;

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

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_MODEL_MESH_MODEL_H
