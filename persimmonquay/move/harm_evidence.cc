#include "persimmonquay/move/harm_evidence.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <span>

namespace persimmonquay {
namespace internal {

/// Calls of one span, and how many of them were events (errors or slow calls).
struct EventCounts {
  double OldCalls = 0;
  double OldEvents = 0;
  double NewCalls = 0;
  double NewEvents = 0;
};

/// Alternative hypotheses: the new version's rates of errors and of slow calls,
/// and the ratios of its rate to the old version's, against which the tolerated
/// values are tested.
constexpr std::array<double, 4> ErrorAlternatives = {0.015, 0.03, 0.2, 0.8};
constexpr std::array<double, 3> SlowAlternatives = {0.35, 0.6, 0.95};
constexpr std::array<double, 3> RatioAlternatives = {3.0, 10.0, 100.0};

/// Natural logarithm of the e-value from which evidence slows a move down.
const double MinLogSuspicious = std::log(20.0);

/// Number of newest spans that tell ongoing harm from harm that is over.
constexpr std::size_t RecentSpans = 6;

/// Ratio of the new version's rate to the old one's that must be refuted before
/// harm counts as shared by both versions.
constexpr double SharedRatio = 3.0;

/// Calls of the old version needed before their quantile is used as the
/// reference for slow calls.
constexpr double MinReferenceCalls = 20;

/// Returns log(exp(Left) + exp(Right)) without overflow.
double logAddExp(double Left, double Right) {
  const double Largest = std::max(Left, Right);
  if (std::isinf(Largest))
    return Largest;
  return Largest +
         std::log(std::exp(Left - Largest) + std::exp(Right - Largest));
}

/// A mixture of likelihood ratios over the span in which harm begins. Half of
/// the weight is on harm from the start, the most common kind; each later span
/// starts a new product of likelihood ratios with an equal part of the other
/// half.
class StartMixture {
public:
  explicit StartMixture(double PlannedSpans)
      : LaterWeight(0.5 / std::max(1.0, PlannedSpans)) {}

  void addSpan(double LogRatio) {
    const double Weight =
        this->RemainingWeight == 1.0
            ? 0.5
            : std::min(this->LaterWeight, this->RemainingWeight);
    this->RemainingWeight -= Weight;
    this->LogSum = logAddExp(this->LogSum, std::log(Weight)) + LogRatio;
  }

  /// Returns the log e-value. The likelihood ratio of the weight that isn't
  /// assigned to a span yet is 1.
  double logValue() const {
    return logAddExp(this->LogSum, std::log(this->RemainingWeight));
  }

private:
  double LaterWeight;
  double LogSum = -std::numeric_limits<double>::infinity();
  double RemainingWeight = 1;
};

/// Returns the logarithm of the mean of the mixtures' e-values.
double logMean(std::span<const StartMixture> Mixtures) {
  double Sum = -std::numeric_limits<double>::infinity();
  for (const StartMixture &Mixture : Mixtures)
    Sum = logAddExp(Sum, Mixture.logValue());
  return Sum - std::log(static_cast<double>(Mixtures.size()));
}

/// Returns the log likelihood ratio of "events occur at `AlternativeRate`" to
/// "events occur at `NullRate`".
double bernoulliLogRatio(double Events, double Calls, double AlternativeRate,
                         double NullRate) {
  return Events * std::log(AlternativeRate / NullRate) +
         (Calls - Events) * std::log((1 - AlternativeRate) / (1 - NullRate));
}

/// Returns the log e-value against "the new version's rate is at most
/// `NullRate`".
double absoluteEvidence(const std::vector<EventCounts> &Spans,
                        std::span<const double> Alternatives, double NullRate,
                        double PlannedSpans) {
  std::vector<StartMixture> Mixtures;
  for (double AlternativeRate : Alternatives) {
    // An alternative below the null rate would yield evidence for the version
    // being better, not worse.
    const double Rate = std::max(AlternativeRate, std::min(0.97, 2 * NullRate));
    StartMixture Mixture(PlannedSpans);
    for (const EventCounts &Span : Spans)
      Mixture.addSpan(
          bernoulliLogRatio(Span.NewEvents, Span.NewCalls, Rate, NullRate));
    Mixtures.push_back(Mixture);
  }
  return logMean(Mixtures);
}

/// Returns the probability that an event is one of the new version's if that
/// version's rate is `Ratio` times the old one's.
double newShareOfEvents(double NewShareOfCalls, double Ratio) {
  return Ratio * NewShareOfCalls /
         (Ratio * NewShareOfCalls + 1 - NewShareOfCalls);
}

/// Returns the log e-value against "the new version's rate is at most
/// `ToleratedRatio` times the old one's".
double relativeEvidence(const std::vector<EventCounts> &Spans,
                        double ToleratedRatio, double PlannedSpans) {
  std::vector<StartMixture> Mixtures;
  for (double Ratio : RatioAlternatives) {
    StartMixture Mixture(PlannedSpans);
    for (const EventCounts &Span : Spans) {
      const double Calls = Span.OldCalls + Span.NewCalls;
      if (Span.OldCalls <= 0 || Span.NewCalls <= 0) {
        Mixture.addSpan(0);
        continue;
      }
      const double Share = Span.NewCalls / Calls;
      Mixture.addSpan(
          bernoulliLogRatio(Span.NewEvents, Span.NewEvents + Span.OldEvents,
                            newShareOfEvents(Share, Ratio),
                            newShareOfEvents(Share, ToleratedRatio)));
    }
    Mixtures.push_back(Mixture);
  }
  return logMean(Mixtures);
}

/// Returns the log likelihood ratio of "both versions have the same rate" to
/// "the new version's rate is `SharedRatio` times the old one's".
double sharedEvidence(const std::vector<EventCounts> &Spans) {
  double Sum = 0;
  for (const EventCounts &Span : Spans) {
    const double Calls = Span.OldCalls + Span.NewCalls;
    if (Span.OldCalls <= 0 || Span.NewCalls <= 0)
      continue;
    const double Share = Span.NewCalls / Calls;
    Sum += bernoulliLogRatio(Span.NewEvents, Span.NewEvents + Span.OldEvents,
                             newShareOfEvents(Share, 1.0),
                             newShareOfEvents(Share, SharedRatio));
  }
  return Sum;
}

HarmEvidence computeEvidence(const std::vector<EventCounts> &Spans,
                             std::span<const double> Alternatives,
                             double ToleratedRate, double ToleratedRatio,
                             double PlannedSpans) {
  const std::size_t RecentCount = std::min(Spans.size(), RecentSpans);
  const std::vector<EventCounts> RecentCounts(
      Spans.end() - static_cast<std::ptrdiff_t>(RecentCount), Spans.end());
  HarmEvidence Result;
  Result.LogAbsolute =
      absoluteEvidence(Spans, Alternatives, ToleratedRate, PlannedSpans);
  Result.LogRelative = relativeEvidence(Spans, ToleratedRatio, PlannedSpans);
  Result.LogRecent =
      absoluteEvidence(RecentCounts, Alternatives, ToleratedRate, RecentSpans);
  Result.LogShared = sharedEvidence(RecentCounts);
  return Result;
}

/// Returns the sum of `Counts` from `FirstIndex` on.
double sumFrom(std::span<const double> Counts, std::size_t FirstIndex) {
  double Sum = 0;
  for (std::size_t I = FirstIndex; I < Counts.size(); ++I)
    Sum += Counts[I];
  return Sum;
}

/// Counts the calls of each span that are slower than `Quantile` of the old
/// version's calls. The reference is taken from the earlier spans once they
/// have enough calls, so that a span isn't compared with itself. Returns
/// nothing while there are too few calls for a reference.
std::vector<EventCounts> slowCallCounts(const std::vector<SpanCounts> &Spans,
                                        double Quantile) {
  std::array<double, LatencyBucketCount> Reference{};
  for (const SpanCounts &Span : Spans) {
    if (sumFrom(Reference, 0) >= MinReferenceCalls)
      break;
    for (std::size_t I = 0; I < LatencyBucketCount; ++I)
      Reference[I] += Span.Old.Latency[I];
  }
  std::vector<EventCounts> Result;
  if (sumFrom(Reference, 0) < MinReferenceCalls)
    return Result;
  for (const SpanCounts &Span : Spans) {
    const std::size_t FirstSlow = firstSlowBucket(Reference, Quantile);
    Result.push_back(EventCounts{
        sumFrom(Span.Old.Latency, 0), sumFrom(Span.Old.Latency, FirstSlow),
        sumFrom(Span.New.Latency, 0), sumFrom(Span.New.Latency, FirstSlow)});
    for (std::size_t I = 0; I < LatencyBucketCount; ++I)
      Reference[I] += Span.Old.Latency[I];
  }
  return Result;
}

} // namespace internal

bool HarmEvidence::isSuspicious() const {
  return this->LogRecent >= internal::MinLogSuspicious &&
         this->LogShared < internal::MinLogSuspicious;
}

HarmEvidence errorEvidence(const std::vector<SpanCounts> &Spans,
                           const HarmLimits &Limits, double PlannedSpans) {
  std::vector<internal::EventCounts> Counts;
  Counts.reserve(Spans.size());
  for (const SpanCounts &Span : Spans)
    Counts.push_back(internal::EventCounts{Span.Old.Calls, Span.Old.Errors,
                                           Span.New.Calls, Span.New.Errors});
  return internal::computeEvidence(Counts, internal::ErrorAlternatives,
                                   Limits.ToleratedErrorRate,
                                   Limits.ToleratedRatio, PlannedSpans);
}

HarmEvidence latencyEvidence(const std::vector<SpanCounts> &Spans,
                             const HarmLimits &Limits, double PlannedSpans) {
  const std::vector<internal::EventCounts> Counts =
      internal::slowCallCounts(Spans, Limits.SlowQuantile);
  return internal::computeEvidence(Counts, internal::SlowAlternatives,
                                   Limits.ToleratedSlowRate,
                                   Limits.ToleratedRatio, PlannedSpans);
}

} // namespace persimmonquay
