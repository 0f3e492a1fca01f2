// Carries out this node's part in moves: counting, deciding, telling others.
#ifndef PERSIMMONQUAY_NODE_MOVE_DRIVER_H
#define PERSIMMONQUAY_NODE_MOVE_DRIVER_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/move/evidence_table.h"
#include "persimmonquay/move/move_policy.h"
#include "persimmonquay/node/trace_recorder.h"
#include "proto/peer.pb.h"
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace persimmonquay {

class Cluster;
class RoutingViewHolder;
struct MoveView;
struct RoutingView;

/// Evidence and decision about one move, for operators.
struct MoveReport {
  double NewCalls = 0;
  double NewErrors = 0;
  std::string Warning;
};

/// Runs the policy of every active move of the service whose upstream this node
/// has. All nodes of the service do so with the same evidence, and what they
/// decide spreads as grow-only facts: none of them is special.
///
/// Thread-safe.
///
/// Example:
///   MoveDriver Driver("node-a", BootNumber, &Group, &Views, AppendOutcome);
///   Driver.count("m1", Result);
///   Driver.tick(wallNow());
class MoveDriver {
public:
  /// Appends the outcome of a move to the log; may fail and is then repeated.
  using OutcomeWriter = std::function<void(const proto::MoveOutcome &)>;

  MoveDriver(std::string Node, std::uint64_t Boot, Cluster *Group,
             const RoutingViewHolder *Views, OutcomeWriter Write,
             TraceRecorder *Trace);

  // Commands.

  /// Counts a call of this node's own upstream in the move `Move`.
  void count(const std::string &Move, const CallResult &Result);

  /// Merges a cell from another node.
  void merge(const proto::EvidenceCell &Cell);

  /// Sends new evidence and acts on the policy's decisions.
  void tick(WallTime Now);

  // Queries.

  /// Returns what this node knows about `Move`; zeros when it takes no part.
  MoveReport report(const std::string &Move) const;

private:
  struct Progress {
    EvidenceTable Evidence;
    bool Unsent = false;
    /// Set when the next evidence must not wait, because a call failed.
    bool Urgent = false;
    WallTime SentAt{};
    WallTime OutcomeWrittenAt{};
    /// Set when a failure at the new version was counted or heard of.
    bool DecisionWanted = false;
    MonoTime DecidedAt{};
    MonoTime::duration DecisionCost{};
    std::string Warning{};
  };

  Progress &progressLocked(const std::string &Move);
  void tickMove(const RoutingView &View, const MoveView &Move, WallTime Now);
  MoveDecision decideIfDue(const RoutingView &View, const MoveView &Move,
                           WallTime Now);
  static bool decisionIsDue(const Progress &Known, MonoTime Now);
  void sendEvidence(const std::string &Move,
                    const std::vector<std::string> &Peers, WallTime Now);
  void perform(const MoveView &Move, const MoveDecision &Decision,
               const std::vector<std::string> &Peers, WallTime Now);
  void raise(const MoveView &Move, proto::FactKind Kind, std::uint64_t Level,
             const std::string &Detail);
  void writeOutcome(const MoveView &Move, proto::MoveState State,
                    const std::string &Reason, WallTime Now);
  bool mayWriteOutcome(const MoveView &Move,
                       const std::vector<std::string> &Peers, WallTime Now);

  const std::string Node;
  const std::uint64_t Boot;
  Cluster *const Group;
  const RoutingViewHolder *const Views;
  const OutcomeWriter Write;
  TraceRecorder *const Trace;

  mutable std::mutex Mutex;
  std::map<std::string, Progress> Moves;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_MOVE_DRIVER_H
