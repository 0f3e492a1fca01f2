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

constexpr Millis EvidenceInterval{250};
/// Longest time between two decisions; failures at the new version hasten one.
constexpr Millis DecisionInterval{1000};
/// A decision is followed by a pause of so many times what it cost, so that
/// long moves take at most a fortieth of a core.
constexpr int DecisionCostFactor = 40;
constexpr std::int64_t ResentSpans = 2;
/// Time by which the nodes of a service wait for one another before they write
/// the same outcome.
constexpr Millis WriterStagger{1000};
constexpr Millis OutcomeRepeat{3000};
constexpr Millis FactLifetime = std::chrono::hours(24);
constexpr std::size_t MaxReasonBytes = 190;

/// Returns the ready slots of both versions.
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

std::vector<std::string> nodesOf(const RoutingView &View,
                                 const proto::Move &Move) {
  std::vector<std::string> Nodes;
  for (const auto &Endpoint : View.Endpoints->endpointsOf(Move.service()))
    Nodes.push_back(Endpoint->Node);
  return Nodes;
}

} // namespace internal

MoveDriver::MoveDriver(std::string Node, std::uint64_t Boot, Cluster *Group,
                       const RoutingViewHolder *Views, OutcomeWriter Write,
                       TraceRecorder *Trace)
    : Node(std::move(Node)), Boot(Boot), Group(Group), Views(Views),
      Write(std::move(Write)), Trace(Trace) {}

MoveDriver::Progress &MoveDriver::progressLocked(const std::string &Move) {
  const auto Found = this->Moves.find(Move);
  if (Found != this->Moves.end())
    return Found->second;
  Progress Fresh{EvidenceTable(Move, this->Node, this->Boot)};
  return this->Moves.emplace(Move, std::move(Fresh)).first->second;
}

void MoveDriver::count(const std::string &Move, const CallResult &Result) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Progress &Known = this->progressLocked(Move);
  Known.Evidence.count(Result, wallNow());
  Known.Unsent = true;
  const bool Harm = Result.Failed && Result.ToNewVersion;
  Known.Urgent |= Harm;
  Known.DecisionWanted |= Harm;
}

void MoveDriver::merge(const proto::EvidenceCell &Cell) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Progress &Known = this->progressLocked(Cell.move());
  if (!Known.Evidence.merge(Cell, wallNow()))
    return;
  Known.DecisionWanted |= Cell.to_new_version() && Cell.errors() > 0;
  this->Trace->record("evidence", Cell, wallNow());
}

void MoveDriver::tick(WallTime Now) {
  const auto View = this->Views->current();
  if (View->Config == nullptr)
    return;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    std::erase_if(this->Moves, [&](const auto &Entry) {
      return std::none_of(
          View->Config->moves().begin(), View->Config->moves().end(),
          [&](const auto &Move) { return Move->name() == Entry.first; });
    });
  }
  for (const auto &[Service, Move] : View->MoveOfService)
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
  this->perform(Move, Decision, Nodes, Now);
}

bool MoveDriver::decisionIsDue(const Progress &Known, MonoTime Now) {
  const auto Passed = Now - Known.DecidedAt;
  if (Passed < internal::DecisionCostFactor * Known.DecisionCost)
    return false;
  return Known.DecisionWanted || Passed >= internal::DecisionInterval;
}

MoveDecision MoveDriver::decideIfDue(const RoutingView &View,
                                     const MoveView &Move, WallTime Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Progress &Known = this->progressLocked(Move.Move->name());
  const MonoTime Before = monoNow();
  if (!decisionIsDue(Known, Before))
    return {};
  Known.DecisionWanted = false;
  Known.DecidedAt = Before;
  Known.Evidence.compact(Now);
  MoveDecision Decision =
      Move.Policy.decide(Known.Evidence, Move.Progress,
                         internal::capacityOf(View, *Move.Move), Now);
  Known.DecisionCost = monoNow() - Before;
  Known.Warning = Decision.Warning;
  return Decision;
}

void MoveDriver::sendEvidence(const std::string &Move,
                              const std::vector<std::string> &Peers,
                              WallTime Now) {
  std::vector<proto::EvidenceCell> Cells;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Progress &Known = this->progressLocked(Move);
    const bool Due = Now - Known.SentAt >= internal::EvidenceInterval;
    if (!Known.Unsent || (!Due && !Known.Urgent))
      return;
    Known.Unsent = false;
    Known.Urgent = false;
    Known.SentAt = Now;
    Cells = Known.Evidence.ownCells(Now, internal::ResentSpans);
  }
  for (const proto::EvidenceCell &Cell : Cells)
    this->Trace->record("evidence", Cell, Now);
  this->Group->sendEvidence(Cells, Peers);
}

void MoveDriver::perform(const MoveView &Move, const MoveDecision &Decision,
                         const std::vector<std::string> &Nodes, WallTime Now) {
  using Kind = MoveDecision::Kind;
  switch (Decision.Action) {
  case Kind::Hold:
    return;
  case Kind::Advance:
    this->raise(Move, proto::MOVE_STEP, Move.Progress.Step + 1,
                absl::StrCat(unixMillis(Now)));
    return;
  case Kind::Retreat:
    this->raise(Move, proto::MOVE_RETREAT,
                static_cast<std::uint64_t>(unixMillis(Now + RetreatDuration)),
                "");
    return;
  case Kind::RollBack: {
    std::string Reason = Decision.Reason;
    if (!Move.Progress.RolledBack)
      this->raise(Move, proto::MOVE_TAKEN_BACK, 1, Reason);
    else
      for (const proto::Fact &Fact : this->Group->facts())
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

void MoveDriver::raise(const MoveView &Move, proto::FactKind Kind,
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
  this->Group->publishFact(Fact);
}

bool MoveDriver::mayWriteOutcome(const MoveView &Move,
                                 const std::vector<std::string> &Nodes,
                                 WallTime Now) {
  // Every node may write; they only take turns to spare the log.
  const std::uint64_t Own = rendezvousWeight(Move.Move->name(), this->Node);
  const auto Rank =
      std::count_if(Nodes.begin(), Nodes.end(), [&](const std::string &Other) {
        return rendezvousWeight(Move.Move->name(), Other) > Own;
      });
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Progress &Known = this->progressLocked(Move.Move->name());
  if (Known.OutcomeWrittenAt == WallTime())
    Known.OutcomeWrittenAt =
        Now + Rank * internal::WriterStagger - internal::OutcomeRepeat;
  if (Now - Known.OutcomeWrittenAt < internal::OutcomeRepeat)
    return false;
  Known.OutcomeWrittenAt = Now;
  return true;
}

void MoveDriver::writeOutcome(const MoveView &Move, proto::MoveState State,
                              const std::string &Reason, WallTime Now) {
  proto::MoveOutcome Outcome;
  Outcome.set_move(Move.Move->name());
  Outcome.set_state(State);
  Outcome.set_reason(Reason);
  Outcome.set_author(this->Node);
  Outcome.set_written_unix_ms(unixMillis(Now));
  this->Write(Outcome);
}

MoveReport MoveDriver::report(const std::string &Move) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Moves.find(Move);
  if (Found == this->Moves.end())
    return {};
  const VersionCounts Totals = Found->second.Evidence.newVersionTotals();
  return MoveReport{Totals.Calls, Totals.Errors, Found->second.Warning};
}

} // namespace persimmonquay
