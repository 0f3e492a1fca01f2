#include "persimmonquay/membership/failure_detector.h"

#include "persimmonquay/membership/member_table.h"
#include <algorithm>

namespace persimmonquay {

FailureDetector::Builder &
FailureDetector::Builder::probeInterval(Millis Value) {
  this->ProbeInterval = Value;
  return *this;
}

FailureDetector::Builder &
FailureDetector::Builder::suspicionTimeout(Millis Value) {
  this->SuspicionTimeout = Value;
  return *this;
}

FailureDetector::Builder &
FailureDetector::Builder::indirectProbes(std::size_t Value) {
  this->IndirectProbes = Value;
  return *this;
}

FailureDetector FailureDetector::Builder::build() const {
  return FailureDetector(this->ProbeInterval, this->SuspicionTimeout,
                         this->IndirectProbes);
}

FailureDetector::FailureDetector(Millis ProbeInterval, Millis SuspicionTimeout,
                                 std::size_t IndirectProbes)
    : ProbeInterval(ProbeInterval), SuspicionTimeout(SuspicionTimeout),
      IndirectProbes(IndirectProbes) {}

std::vector<DetectorAction> FailureDetector::tick(MonoTime Now,
                                                  std::mt19937_64 &Random,
                                                  MemberTable *Table) {
  std::vector<DetectorAction> Actions;
  // A process that was frozen must not blame others for its own silence.
  const bool WasFrozen = this->LastTick != MonoTime() &&
                         Now - this->LastTick > 2 * this->ProbeInterval;
  this->LastTick = Now;
  if (WasFrozen) {
    this->Current.reset();
    this->SuspectSince.clear();
  }
  if (this->Current && !this->Current->Acked && !this->Current->Indirect &&
      Now - this->Current->StartedAt >= this->ProbeInterval / 3)
    this->startIndirect(Random, *Table, &Actions);
  const bool IntervalOver =
      !this->Current || Now - this->Current->StartedAt >= this->ProbeInterval;
  if (IntervalOver) {
    this->finishProbe(Now, Table, &Actions);
    this->startProbe(Now, Random, *Table, &Actions);
  }
  this->expireSuspects(Now, Table, &Actions);
  return Actions;
}

void FailureDetector::onAck(std::uint64_t Sequence) {
  if (this->Current && this->Current->Sequence == Sequence)
    this->Current->Acked = true;
}

void FailureDetector::finishProbe(MonoTime Now, MemberTable *Table,
                                  std::vector<DetectorAction> *Actions) {
  if (!this->Current)
    return;
  const Probe Finished = *this->Current;
  this->Current.reset();
  if (Finished.Acked ||
      !Table->advanceState(Finished.Node, proto::SUSPECT, Now))
    return;
  Actions->push_back(BroadcastState{Finished.Node});
}

void FailureDetector::startIndirect(std::mt19937_64 &Random,
                                    const MemberTable &Table,
                                    std::vector<DetectorAction> *Actions) {
  this->Current->Indirect = true;
  std::vector<std::string> Helpers =
      Table.liveNodes(Table.self().data_centre());
  std::erase(Helpers, Table.self().node());
  std::erase(Helpers, this->Current->Node);
  std::shuffle(Helpers.begin(), Helpers.end(), Random);
  Helpers.resize(std::min(Helpers.size(), this->IndirectProbes));
  for (const std::string &Helper : Helpers)
    Actions->push_back(
        SendPingRequest{Helper, this->Current->Node, this->Current->Sequence});
}

void FailureDetector::startProbe(MonoTime Now, std::mt19937_64 &Random,
                                 const MemberTable &Table,
                                 std::vector<DetectorAction> *Actions) {
  const std::string Target = this->nextTarget(Random, Table);
  if (Target.empty())
    return;
  this->Current = Probe{Target, this->NextSequence++, Now};
  Actions->push_back(SendPing{Target, this->Current->Sequence});
}

void FailureDetector::expireSuspects(MonoTime Now, MemberTable *Table,
                                     std::vector<DetectorAction> *Actions) {
  std::map<std::string, MonoTime> Still;
  for (const std::string &Node : Table->liveNodes(Table->self().data_centre()))
    if (Table->find(Node)->state() == proto::SUSPECT) {
      const auto Known = this->SuspectSince.find(Node);
      Still[Node] = Known == this->SuspectSince.end() ? Now : Known->second;
    }
  this->SuspectSince = std::move(Still);
  for (const auto &[Node, Since] : this->SuspectSince)
    if (Now - Since >= this->SuspicionTimeout &&
        Table->advanceState(Node, proto::DEAD, Now))
      Actions->push_back(BroadcastState{Node});
}

std::string FailureDetector::nextTarget(std::mt19937_64 &Random,
                                        const MemberTable &Table) {
  while (true) {
    if (this->Round.empty()) {
      this->Round = Table.liveNodes(Table.self().data_centre());
      std::erase(this->Round, Table.self().node());
      if (this->Round.empty())
        return "";
      std::shuffle(this->Round.begin(), this->Round.end(), Random);
    }
    std::string Candidate = this->Round.back();
    this->Round.pop_back();
    const proto::Member *Member = Table.find(Candidate);
    if (Member != nullptr && Member->state() <= proto::SUSPECT)
      return Candidate;
  }
}

} // namespace persimmonquay
