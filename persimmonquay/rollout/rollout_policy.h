// Decides which share of a service's calls a new version gets, and when its
// rollout is completed or rolled back.
//
// Handles these load patterns: versions that fail or slow down at once, after a
// while, under load or on one route only; and good versions that suffer from
// problems which affect all versions.
#ifndef PERSIMMONQUAY_ROLLOUT_ROLLOUT_POLICY_H
#define PERSIMMONQUAY_ROLLOUT_ROLLOUT_POLICY_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/move/evidence_table.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonquay {

/// Limits on the calls that an unproven version may get.
struct ExposureLimits {
  /// Maximum share of the service's calls, 0 to 1.
  double Share = 0.1;
  /// Number of calls allowed in addition to that share.
  double ExtraCalls = 50;
};

/// The state of a rollout on which a decision is based.
struct RolloutSituation {
  /// Time since the rollout was ordered.
  Millis Elapsed{0};
  /// Time within which the operator wants the rollout to complete.
  Millis Duration{0};
  /// The target version's current share of the calls.
  std::uint32_t SharePermille = 0;
  /// Time since the share was last changed.
  Millis TimeAtShare{0};
  /// Number of times that the share was lowered to the first step.
  std::uint32_t Fallbacks = 0;
  /// Whether the rollout pauses: the target has had calls, and gets none now.
  bool IsPaused = false;
  /// Calls of all versions and of the target since the order, rejected ones
  /// included, and those of the target that ran and failed.
  double AllCalls = 0;
  double TargetCalls = 0;
  double TargetFailures = 0;
  /// Calls of the other versions until the order, by route; their failures are
  /// the usual ones.
  std::map<std::string, VersionCounts> OthersBeforeOrder;
  /// Slots of the upstreams that serve calls, by version.
  std::uint64_t TargetSlots = 0;
  std::uint64_t OtherSlots = 0;
};

/// What to do next about a rollout: keep the share, change it, complete the
/// rollout or roll the target version back.
struct RolloutDecision {
  enum class Kind { Hold, SetShare, Complete, RollBack };
  Kind Action = Kind::Hold;
  /// The new share; only set with `SetShare`. 0 pauses the rollout. Counts
  /// until a share is set to 0, or from 0 to another, are no evidence
  /// afterwards.
  std::uint32_t SharePermille = 0;
  /// Why the share is lowered or the version is rolled back; empty otherwise.
  std::string Reason;
};

/// Decides what to do next about a rollout. A pure function.
///
/// - The share is raised in steps at fixed fractions of the duration, so that
///   harm that begins late shows while the share is still small. Each step is
///   only taken after the one before has been checked.
/// - Each route is judged by the test in move/harm_evidence.h. A version that
///   is shown to do harm is rolled back. Calls that an upstream rejects without
///   running them are no failures of its version.
/// - The other versions excuse the target's failures only as far as they
///   usually fail; see `ReferenceHealth`. If the target fails often while they
///   are in trouble, it can't be told whether it is to blame: the rollout
///   pauses until they are sound again. Once the target has failed too many
///   calls in all, it is rolled back whatever the others do.
/// - If the target's latest calls are worse than the others' while its share is
///   above `Limits.Share`, the share is lowered to the first step, so that a
///   version that fails only under load gets few calls while it is judged. If
///   that happens again, the version is rolled back.
///
/// Example:
///   RolloutDecision Next = decideRollout(Limits, Situation, Spans);
RolloutDecision
decideRollout(const ExposureLimits &Limits, const RolloutSituation &Situation,
              const std::map<std::string, std::vector<SpanCounts>> &ByRoute);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROLLOUT_ROLLOUT_POLICY_H
