// How the versions that a new one is compared with are doing.
//
// Handles trouble of the old version, or of a service that it calls, during a
// rollout: the failures of some seconds must not excuse those of a bad version.
#ifndef PERSIMMONQUAY_ROLLOUT_REFERENCE_HEALTH_H
#define PERSIMMONQUAY_ROLLOUT_REFERENCE_HEALTH_H

#include "persimmonquay/move/evidence_table.h"
#include <cstddef>
#include <optional>
#include <vector>

namespace persimmonquay {

/// Usual failure rate of the versions except the target on one route, and the
/// spans of time in which they fail far more often. Rates are fractions of the
/// calls that ran, 0 to 1.
///
/// The usual rate is the one before the rollout was ordered, or the one of the
/// best time since, whichever is lower.
///
/// Example:
///   const ReferenceHealth Others(Spans, OthersBeforeOrder);
///   errorEvidence(Others.soundSpans(), Limits, PlannedSpans);
class ReferenceHealth {
public:
  /// `Spans` are those since the order, oldest first; `BeforeOrder` counts the
  /// calls of the other versions until then.
  ReferenceHealth(const std::vector<SpanCounts> &Spans,
                  const VersionCounts &BeforeOrder);

  /// Returns the usual failure rate; none if there were too few calls.
  std::optional<double> usualErrorRate() const { return this->UsualErrorRate; }

  /// Returns whether the other versions are in trouble now.
  bool isInTrouble() const;

  /// Returns whether the newest `SpanCount` spans show that the other versions
  /// are not in trouble. False while they have had too few calls.
  bool isShownSound(std::size_t SpanCount) const;

  /// Returns the spans in which the other versions were not in trouble.
  const std::vector<SpanCounts> &soundSpans() const { return this->SoundSpans; }

private:
  std::optional<double> UsualErrorRate;
  enum class SpanState { Unknown, Sound, Troubled };

  std::vector<SpanState> States;
  std::vector<SpanCounts> SoundSpans;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROLLOUT_REFERENCE_HEALTH_H
