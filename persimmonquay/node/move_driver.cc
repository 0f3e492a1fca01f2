#include "persimmonquay/node/move_driver.h"

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/logging.h"
#include "persimmonquay/node/routing_view.h"
#include "persimmonquay/peer/cluster.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Shortest time between two messages with evidence, unless a call of the new
/// version failed.
constexpr Millis EvidenceInterval{250};
/// Longest time between two evaluations of the policy. A failure of the new
/// version triggers one earlier.
constexpr Millis DecisionInterval{1000};
/// After an evaluation, the next one waits for at least this multiple of its
/// duration, so that long moves use at most 1/40 of a core.
constexpr int DecisionPauseFactor = 40;
/// Number of past time spans whose cells are sent again with the current one.
constexpr std::int64_t ResentSpanCount = 2;
/// Delay per rank by which the nodes of a service stagger their writes of the
/// same outcome.
constexpr Millis WriterStagger{1000};
/// Time after which a node appends an outcome again while the move is still
/// active.
constexpr Millis OutcomeRetryInterval{3000};
/// Time for which facts on a move are kept after its due time.
constexpr Millis FactLifetime = std::chrono::hours(24);
constexpr std::size_t MaxReasonBytes = 190;

/// Returns the slots of the ready upstreams, by version.
VersionCapacity capacityOf(const RoutingView &View, const proto::Move &Move) {
  VersionCapacity Capacity;
  for (const auto &Endpoint : View.Endpoints->endpointsOf(Move.service())) {
    if (Endpoint->Version == Move.from_version())
      Capacity.OldSlots += Endpoint->Slots;
    if (Endpoint->Version == Move.to_version())
      Capacity.NewSlots += Endpoint->Slots;
  }
  return Capacity;
}

/// Returns the nodes whose upstreams run the move's service.
std::vector<std::string> nodesOf(const RoutingView &View,
                                 const proto::Move &Move) {
  std::vector<std::string> Nodes;
  for (const auto &Endpoint : View.Endpoints->endpointsOf(Move.service()))
    Nodes.push_back(Endpoint->Node);
  return Nodes;
}

} // namespace internal

MoveDriver::MoveDriver(std::string Node, std::uint64_t Boot,
                       Cluster *PeerCluster, const RoutingViewHolder *Views,
                       OutcomeWriter AppendOutcome, TraceRecorder *Trace)
    : Node(std::move(Node)), Boot(Boot), PeerCluster(PeerCluster), Views(Views),
      AppendOutcome(std::move(AppendOutcome)), Trace(Trace) {}

MoveDriver::LocalMoveState &MoveDriver::stateLocked(const std::string &Move) {
  const auto It = this->States.find(Move);
  if (It != this->States.end())
    return It->second;
  LocalMoveState NewState{EvidenceTable(Move, this->Node, this->Boot)};
  return this->States.emplace(Move, std::move(NewState)).first->second;
}

void MoveDriver::recordCall(const std::string &Move, const CallResult &Result) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  LocalMoveState &State = this->stateLocked(Move);
  State.Evidence.count(Result, wallNow());
  State.HasUnsentEvidence = true;
  const bool NewVersionFailure = Result.Failed && Result.ToNewVersion;
  State.SendImmediately |= NewVersionFailure;
  State.DecisionRequested |= NewVersionFailure;
}

void MoveDriver::mergeEvidence(const proto::EvidenceCell &Cell) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  LocalMoveState &State = this->stateLocked(Cell.move());
  if (!State.Evidence.merge(Cell, wallNow()))
    return;
  State.DecisionRequested |= Cell.to_new_version() && Cell.errors() > 0;
  this->Trace->record("evidence", Cell, wallNow());
}

void MoveDriver::tick(WallTime Now) {
  const auto View = this->Views->current();
  if (View->Config == nullptr)
    return;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    std::erase_if(this->States, [&](const auto &Entry) {
      return std::none_of(
          View->Config->moves().begin(), View->Config->moves().end(),
          [&](const auto &Move) { return Move->name() == Entry.first; });
    });
  }
  for (const auto &[Service, Move] : View->MovesByService)
    this->tickMove(*View, Move, Now);
}

void MoveDriver::tickMove(const RoutingView &View, const MoveView &Move,
                          WallTime Now) {
  const std::vector<std::string> Nodes = internal::nodesOf(View, *Move.Move);
  if (std::find(Nodes.begin(), Nodes.end(), this->Node) == Nodes.end())
    return;
  std::vector<std::string> Peers = Nodes;
  std::erase(Peers, this->Node);
  this->sendEvidence(Move.Move->name(), Peers, Now);
  MoveDecision Decision;
  if (Move.Progress.RolledBack) {
    Decision.Action = MoveDecision::Kind::RollBack;
  } else {
    Decision = this->decideIfDue(View, Move, Now);
  }
  this->applyDecision(Move, Decision, Nodes, Now);
}

bool MoveDriver::isDecisionDue(const LocalMoveState &State, MonoTime Now) {
  const auto Elapsed = Now - State.LastDecisionAt;
  if (Elapsed < internal::DecisionPauseFactor * State.LastDecisionDuration)
    return false;
  return State.DecisionRequested || Elapsed >= internal::DecisionInterval;
}

MoveDecision MoveDriver::decideIfDue(const RoutingView &View,
                                     const MoveView &Move, WallTime Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  LocalMoveState &State = this->stateLocked(Move.Move->name());
  const MonoTime StartTime = monoNow();
  if (!isDecisionDue(State, StartTime))
    return {};
  State.DecisionRequested = false;
  State.LastDecisionAt = StartTime;
  State.Evidence.compact(Now);
  MoveDecision Decision =
      Move.Policy.decide(State.Evidence, Move.Progress,
                         internal::capacityOf(View, *Move.Move), Now);
  State.LastDecisionDuration = monoNow() - StartTime;
  State.Warning = Decision.Warning;
  return Decision;
}

void MoveDriver::sendEvidence(const std::string &Move,
                              const std::vector<std::string> &Peers,
                              WallTime Now) {
  std::vector<proto::EvidenceCell> Cells;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    LocalMoveState &State = this->stateLocked(Move);
    const bool IsDue = Now - State.LastSentAt >= internal::EvidenceInterval;
    if (!State.HasUnsentEvidence || (!IsDue && !State.SendImmediately))
      return;
    State.HasUnsentEvidence = false;
    State.SendImmediately = false;
    State.LastSentAt = Now;
    Cells = State.Evidence.ownCells(Now, internal::ResentSpanCount);
  }
  for (const proto::EvidenceCell &Cell : Cells)
    this->Trace->record("evidence", Cell, Now);
  this->PeerCluster->sendEvidence(Cells, Peers);
}

void MoveDriver::applyDecision(const MoveView &Move,
                               const MoveDecision &Decision,
                               const std::vector<std::string> &Nodes,
                               WallTime Now) {
  using Kind = MoveDecision::Kind;
  switch (Decision.Action) {
  case Kind::Hold:
    return;
  case Kind::Advance:
    this->publishFact(Move, proto::MOVE_STEP, Move.Progress.Step + 1,
                      absl::StrCat(unixMillis(Now)));
    return;
  case Kind::Retreat:
    this->publishFact(
        Move, proto::MOVE_RETREAT,
        static_cast<std::uint64_t>(unixMillis(Now + RetreatDuration)), "");
    return;
  case Kind::RollBack: {
    std::string Reason = Decision.Reason;
    if (!Move.Progress.RolledBack)
      this->publishFact(Move, proto::MOVE_TAKEN_BACK, 1, Reason);
    else
      for (const proto::Fact &Fact : this->PeerCluster->facts())
        if (Fact.kind() == proto::MOVE_TAKEN_BACK &&
            Fact.key() == Move.Move->name())
          Reason = Fact.detail();
    if (this->mayWriteOutcome(Move, Nodes, Now))
      this->writeOutcome(Move, proto::TAKEN_BACK, Reason, Now);
    return;
  }
  case Kind::Finish:
    if (this->mayWriteOutcome(Move, Nodes, Now))
      this->writeOutcome(Move, proto::FINISHED, Decision.Reason, Now);
    return;
  }
}

void MoveDriver::publishFact(const MoveView &Move, proto::FactKind Kind,
                             std::uint64_t Level, const std::string &Detail) {
  proto::Fact Fact;
  Fact.set_kind(Kind);
  Fact.set_key(Move.Move->name());
  Fact.set_level(Level);
  Fact.set_detail(Detail.substr(0, internal::MaxReasonBytes));
  Fact.set_expires_unix_ms(Move.Move->due_unix_ms() +
                           internal::FactLifetime.count());
  logLine(LogLevel::Info, "move decision",
          {{"move", Fact.key()},
           {"kind", proto::FactKind_Name(Kind)},
           {"level", absl::StrCat(Level)},
           {"reason", Fact.detail()}});
  this->Trace->record("fact", Fact, wallNow());
  this->PeerCluster->publishFact(Fact);
}

bool MoveDriver::mayWriteOutcome(const MoveView &Move,
                                 const std::vector<std::string> &Nodes,
                                 WallTime Now) {
  // Any node may write the outcome. They are staggered by rank only to reduce
  // the number of duplicate records on the log.
  const std::uint64_t OwnWeight =
      rendezvousWeight(Move.Move->name(), this->Node);
  const auto Rank =
      std::count_if(Nodes.begin(), Nodes.end(), [&](const std::string &Other) {
        return rendezvousWeight(Move.Move->name(), Other) > OwnWeight;
      });
  std::lock_guard<std::mutex> Lock(this->Mutex);
  LocalMoveState &State = this->stateLocked(Move.Move->name());
  if (State.LastOutcomeWriteAt == WallTime())
    State.LastOutcomeWriteAt =
        Now + Rank * internal::WriterStagger - internal::OutcomeRetryInterval;
  if (Now - State.LastOutcomeWriteAt < internal::OutcomeRetryInterval)
    return false;
  State.LastOutcomeWriteAt = Now;
  return true;
}

void MoveDriver::writeOutcome(const MoveView &Move, proto::MoveState FinalState,
                              const std::string &Reason, WallTime Now) {
  proto::MoveOutcome Outcome;
  Outcome.set_move(Move.Move->name());
  Outcome.set_state(FinalState);
  Outcome.set_reason(Reason);
  Outcome.set_author(this->Node);
  Outcome.set_written_unix_ms(unixMillis(Now));
  this->AppendOutcome(Outcome);
}

MoveReport MoveDriver::report(const std::string &Move) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto It = this->States.find(Move);
  if (It == this->States.end())
    return {};
  const VersionCounts Totals = It->second.Evidence.newVersionTotals();
  return MoveReport{Totals.Calls, Totals.Errors, It->second.Warning};
}

} // namespace persimmonquay
