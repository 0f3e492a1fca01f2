// The sequential test that decides whether a new version does harm.
//
// The test is an e-process: a number that starts at 1 and, while the new
// version does no harm, is expected not to grow, however often it is looked
// at. By Ville's inequality the chance that it ever reaches 1/alpha is then at
// most alpha. docs/MOVES.md derives the formulas.
#ifndef PERSIMMONQUAY_MOVE_HARM_EVIDENCE_H
#define PERSIMMONQUAY_MOVE_HARM_EVIDENCE_H

#include "persimmonquay/move/evidence_table.h"
#include <string>
#include <vector>

namespace persimmonquay {

/// Limits of harm. Rates are fractions of calls.
struct HarmLimits {
  /// Error rate that is tolerated in any case.
  double ToleratedErrorRate = 0.005;
  /// The new rate may be this many times the old one.
  double ToleratedRatio = 1.5;
  /// Fraction of calls slower than the old version's reference quantile that
  /// is tolerated in any case.
  double ToleratedSlowRate = 0.2;
  /// Quantile of the old version's latency above which a call is slow.
  double SlowQuantile = 0.9;
};

/// Strength of the evidence on one criterion, as natural logarithms of
/// e-values.
struct HarmEvidence {
  /// Against "the new rate is at most the tolerated one".
  double LogAbsolute = 0;
  /// Against "the new rate is at most a tolerated multiple of the old one".
  double LogRelative = 0;
  /// LogAbsolute over the newest spans only.
  double LogRecent = 0;
  /// Against "the new rate is three times the old one or more", over the
  /// newest spans: large when both versions suffer alike.
  double LogShared = 0;

  /// Both must be refuted before the version is judged bad.
  double logHarm() const {
    return this->LogAbsolute < this->LogRelative ? this->LogAbsolute
                                                 : this->LogRelative;
  }

  /// Returns whether the new version shows harm now that isn't yet known to
  /// be shared with the old one. This only slows a move down.
  bool isSuspicious() const;
};

/// Returns the evidence that the new version fails more. `PlannedSpans` is the
/// number of spans over which the harm may begin.
HarmEvidence errorEvidence(const std::vector<SpanCounts> &Spans,
                           const HarmLimits &Limits, double PlannedSpans);

/// Returns the evidence that the new version is slower.
HarmEvidence latencyEvidence(const std::vector<SpanCounts> &Spans,
                             const HarmLimits &Limits, double PlannedSpans);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MOVE_HARM_EVIDENCE_H
