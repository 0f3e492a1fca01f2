// Decides how far a move may go: the schedule, bent by the evidence.
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

/// Shares of the new version by step, in parts per thousand. The last step
/// leaves some calls with the old version until the move is finished, so that
/// both can still be compared during the bake time.
inline constexpr std::array<std::uint32_t, 6> StepSharesPermille = {
    20, 50, 100, 250, 500, 900};

/// Time for which one retreat holds.
inline constexpr Millis RetreatDuration{10000};

/// What all nodes know about the progress of a move; see proto FactKind.
struct MoveProgress {
  std::size_t Step = 0;
  /// When the step was entered; the start of the move for step 0.
  WallTime StepEnteredAt;
  /// Until then the new version gets only the first share.
  std::optional<WallTime> RetreatUntil;
  bool RolledBack = false;
};

/// Slots of the upstreams that are ready, by version.
struct VersionCapacity {
  std::uint64_t OldSlots = 0;
  std::uint64_t NewSlots = 0;
};

/// The next thing to do about a move.
struct MoveDecision {
  enum class Kind { Hold, Advance, Retreat, RollBack, Finish };
  Kind Action = Kind::Hold;
  /// Why, for operators and the audit trail.
  std::string Reason;
  /// Set when the move can't finish in time as things stand.
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
    Builder &limits(const HarmLimits &Value);
    /// Chance that a version without harm is taken back; default 1/1000.
    Builder &falseAlarmRate(double Value);
    MovePolicy build() const;

  private:
    friend class MovePolicy;
    WallTime Start;
    WallTime Due;
    Millis Bake;
    HarmLimits Limits;
    double FalseAlarmRate = 0.001;
  };

  /// Returns the share of calls, in parts per thousand, that the new version
  /// gets at `Now`.
  std::uint32_t share(const MoveProgress &Progress, WallTime Now) const;

  /// Returns what is to be done at `Now`.
  MoveDecision decide(const EvidenceTable &Evidence,
                      const MoveProgress &Progress,
                      const VersionCapacity &Capacity, WallTime Now) const;

  /// Returns when `Step` is planned to begin.
  WallTime plannedStart(std::size_t Step) const;

private:
  explicit MovePolicy(const Builder &Settings);

  /// Strongest signs of harm over all routes and criteria.
  struct Judgement {
    double LogHarm = 0;
    bool IsSuspicious = false;
    std::string Reason;
  };

  Judgement judge(const EvidenceTable &Evidence) const;
  MoveDecision decideAdvance(const EvidenceTable &Evidence,
                             const MoveProgress &Progress,
                             const VersionCapacity &Capacity,
                             WallTime Now) const;
  Millis stepInterval() const;

  Builder Settings;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MOVE_MOVE_POLICY_H
