// Decides how a move progresses: it follows a schedule unless the evidence
// about the new version slows it down or rolls it back.
#ifndef PERSIMMONQUAY_MOVE_MOVE_POLICY_H
#define PERSIMMONQUAY_MOVE_MOVE_POLICY_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/move/harm_evidence.h"
#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace persimmonquay::proto {
class Move;
} // namespace persimmonquay::proto

namespace persimmonquay {

class EvidenceTable;

/// The new version's share of the calls at each step, in parts per thousand. At
/// the last step, some calls still go to the old version until the move is
/// finished, so that the versions can be compared during the bake time.
inline constexpr std::array<std::uint32_t, 6> StepSharesPermille = {
    20, 50, 100, 250, 500, 900};

/// Duration of a retreat, during which the new version only gets the share of
/// the first step.
inline constexpr Millis RetreatDuration{10000};

/// The progress of a move as known to all nodes. It is exchanged as facts; see
/// `FactKind` in proto/peer.proto, where `RolledBack` is MOVE_TAKEN_BACK.
struct MoveProgress {
  std::size_t Step = 0;
  /// When the step began; for step 0 the start of the move.
  WallTime StepEnteredAt;
  /// End of a retreat, if there was one.
  std::optional<WallTime> RetreatUntil;
  bool RolledBack = false;
};

/// Slots of the upstreams that are ready, by version.
struct VersionCapacity {
  std::uint64_t OldSlots = 0;
  std::uint64_t NewSlots = 0;
};

/// What to do next about a move: keep the share, raise it by one step, lower it
/// to the first step for `RetreatDuration`, roll the new version back, or
/// finish.
struct MoveDecision {
  enum class Kind { Hold, Advance, Retreat, RollBack, Finish };
  Kind Action = Kind::Hold;
  /// Reason of the decision, for operators and the audit trail.
  std::string Reason;
  /// Set if the move is not expected to finish in time.
  std::string Warning;
};

/// The schedule and the limits of one move.
///
/// Immutable, therefore thread-safe; every method is a pure function.
///
/// Example:
///   MovePolicy Policy = MovePolicy::Builder(Move).build();
///   MoveDecision Next = Policy.decide(Evidence, Progress, Capacity, Now);
class MovePolicy {
public:
  class Builder {
  public:
    explicit Builder(const proto::Move &Move);
    /// Replaces the limits of harm; by default only the tolerated error rate
    /// is taken from the move, if it has one.
    Builder &limits(const HarmLimits &Value);
    /// Probability that a harmless version is rolled back; default 1/1000.
    Builder &falseAlarmRate(double Value);
    MovePolicy build() const;

  private:
    friend class MovePolicy;
    WallTime Start;
    WallTime Due;
    Millis BakeTime;
    HarmLimits Limits;
    double FalseAlarmRate = 0.001;
  };

  /// Returns the new version's share of the calls at `Now`, in parts per
  /// thousand.
  std::uint32_t share(const MoveProgress &Progress, WallTime Now) const;

  /// Returns what to do at `Now`.
  MoveDecision decide(const EvidenceTable &Evidence,
                      const MoveProgress &Progress,
                      const VersionCapacity &Capacity, WallTime Now) const;

  /// Returns the time at which `Step` is scheduled to begin.
  WallTime plannedStart(std::size_t Step) const;

private:
  explicit MovePolicy(const Builder &Settings);

  /// The strongest evidence of harm over all routes and criteria.
  struct HarmAssessment {
    double LogHarm = 0;
    bool IsSuspicious = false;
    std::string Reason;
  };

  /// `LogHarm` of the result is corrected for the number of tests.
  HarmAssessment assessHarm(const EvidenceTable &Evidence) const;
  /// Decides whether to enter the next step.
  MoveDecision decideAdvance(const EvidenceTable &Evidence,
                             const MoveProgress &Progress,
                             const VersionCapacity &Capacity,
                             WallTime Now) const;
  /// Returns the scheduled length of a step.
  Millis stepInterval() const;

  Builder Settings;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MOVE_MOVE_POLICY_H
