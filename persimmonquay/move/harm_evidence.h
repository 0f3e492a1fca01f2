// A sequential hypothesis test for harm done by a new version.
//
// The test is an e-process: a value that starts at 1 and whose expectation does
// not grow while the new version does no harm, however often it is checked. By
// Ville's inequality, the probability that it ever reaches 1/alpha is then at
// most alpha. docs/MOVES.md derives the formulas.
#ifndef PERSIMMONQUAY_MOVE_HARM_EVIDENCE_H
#define PERSIMMONQUAY_MOVE_HARM_EVIDENCE_H

#include "persimmonquay/move/evidence_table.h"
#include <string>
#include <vector>

namespace persimmonquay {

/// What is tolerated of a new version. Rates are fractions of calls, 0 to 1.
struct HarmLimits {
  /// Error rate that is tolerated whatever the old version's rate is.
  double ToleratedErrorRate = 0.005;
  /// Tolerated ratio of the new version's rate to the old version's, both for
  /// errors and for slow calls.
  double ToleratedRatio = 1.5;
  /// Rate of slow calls that is tolerated whatever the old version's rate is.
  double ToleratedSlowRate = 0.2;
  /// Quantile of the old version's latency above which a call is slow.
  double SlowQuantile = 0.9;
};

/// Strength of the evidence on one criterion (errors or latency), as natural
/// logarithms of e-values.
struct HarmEvidence {
  /// Against "the new version's rate is at most the tolerated rate".
  double LogAbsolute = 0;
  /// Against "the new version's rate is at most the tolerated multiple of the
  /// old version's".
  double LogRelative = 0;
  /// As `LogAbsolute`, over the newest spans only.
  double LogRecent = 0;
  /// Against "the new version's rate is at least three times the old
  /// version's", over the newest spans. Large if both versions have the same
  /// problem.
  double LogShared = 0;

  /// Returns the evidence of harm: the smaller of `LogAbsolute` and
  /// `LogRelative`, since both hypotheses must be refuted before the version is
  /// judged bad.
  double logHarm() const {
    return this->LogAbsolute < this->LogRelative ? this->LogAbsolute
                                                 : this->LogRelative;
  }

  /// Returns whether the new version currently shows harm that isn't known to
  /// be shared with the old version. Only slows a move down.
  bool isSuspicious() const;
};

/// Returns the evidence that the new version fails more often. `PlannedSpans`
/// is the number of spans in which the harm may begin.
HarmEvidence errorEvidence(const std::vector<SpanCounts> &Spans,
                           const HarmLimits &Limits, double PlannedSpans);

/// Returns the evidence that the new version is slower; see `errorEvidence()`.
HarmEvidence latencyEvidence(const std::vector<SpanCounts> &Spans,
                             const HarmLimits &Limits, double PlannedSpans);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MOVE_HARM_EVIDENCE_H
