// Decides how much of a service's calls a new version gets, and when it is
// completed or taken back.
//
// Load pattern answered: a version that fails or slows down at once, after a
// while, under load or on one route only, and good versions that suffer from
// what all versions suffer from.
#ifndef PERSIMMONQUAY_ROLLOUT_ROLLOUT_POLICY_H
#define PERSIMMONQUAY_ROLLOUT_ROLLOUT_POLICY_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/move/evidence_table.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonquay {

/// Bounds on what an unproven version may get.
struct ExposureLimits {
  /// Share of the service's calls.
  double Share = 0.1;
  /// Calls beside that share.
  double ExtraCalls = 50;
};

/// What is known when a decision is due.
struct RolloutSituation {
  Millis Elapsed{0};
  Millis Duration{0};
  std::uint32_t SharePermille = 0;
  /// Time since the share was last raised.
  Millis TimeAtShare{0};
  /// Times that the share has fallen back to the first step.
  std::uint32_t Fallbacks = 0;
  /// Slots of the upstreams that take calls.
  std::uint64_t TargetSlots = 0;
  std::uint64_t OtherSlots = 0;
};

struct RolloutDecision {
  enum class Kind { Hold, SetShare, Complete, RollBack };
  Kind Action = Kind::Hold;
  std::uint32_t SharePermille = 0;
  std::string Reason;
};

/// Pure. The share grows by steps at fixed parts of the time that the operator
/// gave, so that harm that begins late shows at a small share; each step wants
/// a look at the one before. The test of move/harm_evidence.h judges each
/// route. When the latest calls are worse than the others' while the share is
/// above what may be exposed, it falls back to the first step, so that a
/// version that fails only under load takes few calls while it is judged; when
/// that happens again the version is taken back.
///
/// Example:
///   RolloutDecision Next = decideRollout(Limits, Situation, Spans);
RolloutDecision
decideRollout(const ExposureLimits &Limits, const RolloutSituation &Situation,
              const std::map<std::string, std::vector<SpanCounts>> &ByRoute);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROLLOUT_ROLLOUT_POLICY_H
