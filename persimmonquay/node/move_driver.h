// Collects evidence on moves, exchanges it and applies the policy's decisions.
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

/// What a node knows about an active move, for operators.
struct MoveReport {
  /// Calls of the new version, and how many of them failed.
  double NewCalls = 0;
  double NewErrors = 0;
  std::string Warning;
};

/// Evaluates the policy of every active move of the service that this node's
/// upstream runs. All nodes of the service evaluate it on the same evidence,
/// and their decisions are disseminated as grow-only facts, so that there is no
/// leader.
///
/// Thread-safe.
///
/// Example:
///   MoveDriver Driver("node-a", BootNumber, &PeerCluster, &Views,
///                     AppendOutcome, &Trace);
///   Driver.recordCall("m1", Result);
///   Driver.tick(wallNow());
class MoveDriver {
public:
  /// Appends the outcome of a move to the log. May fail; MoveDriver then calls
  /// it again later.
  using OutcomeWriter = std::function<void(const proto::MoveOutcome &)>;

  MoveDriver(std::string Node, std::uint64_t Boot, Cluster *PeerCluster,
             const RoutingViewHolder *Views, OutcomeWriter AppendOutcome,
             TraceRecorder *Trace);

  // Commands.

  /// Adds the result of a call at this node's own upstream to the evidence on
  /// `Move`.
  void recordCall(const std::string &Move, const CallResult &Result);

  /// Merges evidence received from another node.
  void mergeEvidence(const proto::EvidenceCell &Cell);

  /// Sends new evidence to the peers, evaluates the policies that are due and
  /// applies their decisions. Called periodically.
  void tick(WallTime Now);

  // Queries.

  /// Returns what this node knows about `Move`. All zeros when the node takes
  /// no part in the move.
  MoveReport report(const std::string &Move) const;

private:
  /// This node's own state of an active move. See MoveProgress for the state
  /// that all nodes share.
  struct LocalMoveState {
    EvidenceTable Evidence;
    bool HasUnsentEvidence = false;
    /// Set when evidence must be sent without waiting for the interval, because
    /// a call of the new version failed.
    bool SendImmediately = false;
    WallTime LastSentAt{};
    WallTime LastOutcomeWriteAt{};
    /// Set when a failure of the new version was counted here or received from
    /// a peer.
    bool DecisionRequested = false;
    MonoTime LastDecisionAt{};
    MonoTime::duration LastDecisionDuration{};
    std::string Warning{};
  };

  LocalMoveState &stateLocked(const std::string &Move);
  void tickMove(const RoutingView &View, const MoveView &Move, WallTime Now);
  MoveDecision decideIfDue(const RoutingView &View, const MoveView &Move,
                           WallTime Now);
  static bool isDecisionDue(const LocalMoveState &State, MonoTime Now);
  void sendEvidence(const std::string &Move,
                    const std::vector<std::string> &Peers, WallTime Now);
  void applyDecision(const MoveView &Move, const MoveDecision &Decision,
                     const std::vector<std::string> &Nodes, WallTime Now);
  void publishFact(const MoveView &Move, proto::FactKind Kind,
                   std::uint64_t Level, const std::string &Detail);
  void writeOutcome(const MoveView &Move, proto::MoveState FinalState,
                    const std::string &Reason, WallTime Now);
  bool mayWriteOutcome(const MoveView &Move,
                       const std::vector<std::string> &Nodes, WallTime Now);

  const std::string Node;
  const std::uint64_t Boot;
  Cluster *const PeerCluster;
  const RoutingViewHolder *const Views;
  const OutcomeWriter AppendOutcome;
  TraceRecorder *const Trace;

  mutable std::mutex Mutex;
  std::map<std::string, LocalMoveState> States;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_MOVE_DRIVER_H
