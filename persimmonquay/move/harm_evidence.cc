#include "persimmonquay/move/harm_evidence.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <span>

namespace persimmonquay {
namespace internal {

/// Events (errors or slow calls) among the calls of one span.
struct EventCounts {
  double OldCalls = 0;
  double OldEvents = 0;
  double NewCalls = 0;
  double NewEvents = 0;
};

constexpr std::array<double, 4> ErrorAlternatives = {0.015, 0.03, 0.2, 0.8};
constexpr std::array<double, 3> SlowAlternatives = {0.35, 0.6, 0.95};
constexpr std::array<double, 3> RatioAlternatives = {3.0, 10.0, 100.0};

/// E-value, as a logarithm, at which evidence counts for slowing down.
const double LogSuspicious = std::log(20.0);

/// Newest spans by which harm that goes on now is told from harm that is over.
constexpr std::size_t RecentSpans = 6;

/// Ratio of the rates that shared harm must refute.
constexpr double SharedRatio = 3.0;

/// Old calls needed before their quantile is used as a reference.
constexpr double MinReferenceCalls = 20;

double logAddExp(double Left, double Right) {
  const double High = std::max(Left, Right);
  if (std::isinf(High))
    return High;
  return High + std::log(std::exp(Left - High) + std::exp(Right - High));
}

/// Accumulates log likelihood ratios for harm that begins at any span. Half of
/// the initial weight is on harm from the start, the most common kind; each
/// later span opens a new product with an equal part of the other half.
class StartMixture {
public:
  explicit StartMixture(double PlannedSpans)
      : LaterWeight(0.5 / std::max(1.0, PlannedSpans)) {}

  void addSpan(double LogRatio) {
    const double Weight =
        this->Unspent == 1.0 ? 0.5 : std::min(this->LaterWeight, this->Unspent);
    this->Unspent -= Weight;
    this->LogSum = logAddExp(this->LogSum, std::log(Weight)) + LogRatio;
  }

  /// Returns the log e-value; weight that is not yet spent counts as 1.
  double logValue() const {
    return logAddExp(this->LogSum, std::log(this->Unspent));
  }

private:
  double LaterWeight;
  double LogSum = -std::numeric_limits<double>::infinity();
  double Unspent = 1;
};

double meanInLogs(std::span<const StartMixture> Mixtures) {
  double Sum = -std::numeric_limits<double>::infinity();
  for (const StartMixture &Mixture : Mixtures)
    Sum = logAddExp(Sum, Mixture.logValue());
  return Sum - std::log(static_cast<double>(Mixtures.size()));
}

/// Log likelihood ratio of "events at rate Alternative" to "at rate Null".
double bernoulliLogRatio(double Events, double Calls, double Alternative,
                         double Null) {
  return Events * std::log(Alternative / Null) +
         (Calls - Events) * std::log((1 - Alternative) / (1 - Null));
}

double absoluteEvidence(const std::vector<EventCounts> &Spans,
                        std::span<const double> Alternatives, double Null,
                        double PlannedSpans) {
  std::vector<StartMixture> Mixtures;
  for (double Alternative : Alternatives) {
    // An alternative below the null would be evidence of the wrong kind.
    const double Rate = std::max(Alternative, std::min(0.97, 2 * Null));
    StartMixture Mixture(PlannedSpans);
    for (const EventCounts &Span : Spans)
      Mixture.addSpan(
          bernoulliLogRatio(Span.NewEvents, Span.NewCalls, Rate, Null));
    Mixtures.push_back(Mixture);
  }
  return meanInLogs(Mixtures);
}

/// Given that an event happened, it is one of the new version's with the
/// probability returned, if the new rate is `Ratio` times the old one.
double newShareOfEvents(double NewShareOfCalls, double Ratio) {
  return Ratio * NewShareOfCalls /
         (Ratio * NewShareOfCalls + 1 - NewShareOfCalls);
}

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
  return meanInLogs(Mixtures);
}

/// Log likelihood ratio of "both versions suffer alike" to "the new version
/// suffers SharedRatio times as much".
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

HarmEvidence weigh(const std::vector<EventCounts> &Spans,
                   std::span<const double> Alternatives, double Tolerated,
                   double ToleratedRatio, double PlannedSpans) {
  const std::size_t Recent = std::min(Spans.size(), RecentSpans);
  const std::vector<EventCounts> Newest(
      Spans.end() - static_cast<std::ptrdiff_t>(Recent), Spans.end());
  HarmEvidence Result;
  Result.LogAbsolute =
      absoluteEvidence(Spans, Alternatives, Tolerated, PlannedSpans);
  Result.LogRelative = relativeEvidence(Spans, ToleratedRatio, PlannedSpans);
  Result.LogRecent =
      absoluteEvidence(Newest, Alternatives, Tolerated, RecentSpans);
  Result.LogShared = sharedEvidence(Newest);
  return Result;
}

double sumFrom(std::span<const double> Counts, std::size_t First) {
  double Sum = 0;
  for (std::size_t I = First; I < Counts.size(); ++I)
    Sum += Counts[I];
  return Sum;
}

/// Counts the calls slower than the old version's quantile. The reference
/// comes from earlier spans where these suffice, so that a span is not judged
/// by itself.
std::vector<EventCounts> slowCalls(const std::vector<SpanCounts> &Spans,
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
    const std::size_t FirstSlow = quantileBucket(Reference, Quantile) + 1;
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
  return this->LogRecent >= internal::LogSuspicious &&
         this->LogShared < internal::LogSuspicious;
}

HarmEvidence errorEvidence(const std::vector<SpanCounts> &Spans,
                           const HarmLimits &Limits, double PlannedSpans) {
  std::vector<internal::EventCounts> Counts;
  Counts.reserve(Spans.size());
  for (const SpanCounts &Span : Spans)
    Counts.push_back(internal::EventCounts{Span.Old.Calls, Span.Old.Errors,
                                           Span.New.Calls, Span.New.Errors});
  return internal::weigh(Counts, internal::ErrorAlternatives,
                         Limits.ToleratedErrorRate, Limits.ToleratedRatio,
                         PlannedSpans);
}

HarmEvidence latencyEvidence(const std::vector<SpanCounts> &Spans,
                             const HarmLimits &Limits, double PlannedSpans) {
  const std::vector<internal::EventCounts> Counts =
      internal::slowCalls(Spans, Limits.SlowQuantile);
  return internal::weigh(Counts, internal::SlowAlternatives,
                         Limits.ToleratedSlowRate, Limits.ToleratedRatio,
                         PlannedSpans);
}

} // namespace persimmonquay
