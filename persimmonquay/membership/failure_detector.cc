#include "persimmonquay/membership/failure_detector.h"

#include "persimmonquay/membership/member_table.h"
#include <algorithm>

namespace persimmonquay {

FailureDetector::Builder &
FailureDetector::Builder::probeInterval(Millis Interval) {
  this->ProbeInterval = Interval;
  return *this;
}

FailureDetector::Builder &
FailureDetector::Builder::suspicionTimeout(Millis Timeout) {
  this->SuspicionTimeout = Timeout;
  return *this;
}

FailureDetector::Builder &
FailureDetector::Builder::indirectProbes(std::size_t Count) {
  this->IndirectProbes = Count;
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
  // A process that was suspended has received no acknowledgements and must not
  // suspect others because of that.
  const bool WasSuspended = this->LastTick != MonoTime() &&
                            Now - this->LastTick > 2 * this->ProbeInterval;
  this->LastTick = Now;
  if (WasSuspended) {
    this->CurrentProbe.reset();
    this->SuspectedSince.clear();
  }
  if (this->CurrentProbe && !this->CurrentProbe->Acked &&
      !this->CurrentProbe->SentIndirect &&
      Now - this->CurrentProbe->StartedAt >= this->ProbeInterval / 3)
    this->startIndirectProbes(Random, *Table, &Actions);
  const bool IntervalElapsed =
      !this->CurrentProbe ||
      Now - this->CurrentProbe->StartedAt >= this->ProbeInterval;
  if (IntervalElapsed) {
    this->finishProbe(Now, Table, &Actions);
    this->startProbe(Now, Random, *Table, &Actions);
  }
  this->expireSuspects(Now, Table, &Actions);
  return Actions;
}

void FailureDetector::onAck(std::uint64_t Sequence) {
  if (this->CurrentProbe && this->CurrentProbe->Sequence == Sequence)
    this->CurrentProbe->Acked = true;
}

void FailureDetector::finishProbe(MonoTime Now, MemberTable *Table,
                                  std::vector<DetectorAction> *Actions) {
  if (!this->CurrentProbe)
    return;
  const Probe Finished = *this->CurrentProbe;
  this->CurrentProbe.reset();
  if (Finished.Acked ||
      !Table->advanceState(Finished.Node, proto::SUSPECT, Now))
    return;
  Actions->push_back(BroadcastState{Finished.Node});
}

void FailureDetector::startIndirectProbes(
    std::mt19937_64 &Random, const MemberTable &Table,
    std::vector<DetectorAction> *Actions) {
  this->CurrentProbe->SentIndirect = true;
  std::vector<std::string> Helpers =
      Table.liveNodes(Table.self().data_centre());
  std::erase(Helpers, Table.self().node());
  std::erase(Helpers, this->CurrentProbe->Node);
  std::shuffle(Helpers.begin(), Helpers.end(), Random);
  Helpers.resize(std::min(Helpers.size(), this->IndirectProbes));
  for (const std::string &Helper : Helpers)
    Actions->push_back(SendPingRequest{Helper, this->CurrentProbe->Node,
                                       this->CurrentProbe->Sequence});
}

void FailureDetector::startProbe(MonoTime Now, std::mt19937_64 &Random,
                                 const MemberTable &Table,
                                 std::vector<DetectorAction> *Actions) {
  const std::string Target = this->nextTarget(Random, Table);
  if (Target.empty())
    return;
  this->CurrentProbe = Probe{Target, this->NextSequence++, Now};
  Actions->push_back(SendPing{Target, this->CurrentProbe->Sequence});
}

void FailureDetector::expireSuspects(MonoTime Now, MemberTable *Table,
                                     std::vector<DetectorAction> *Actions) {
  std::map<std::string, MonoTime> StillSuspected;
  for (const std::string &Node : Table->liveNodes(Table->self().data_centre()))
    if (Table->find(Node)->state() == proto::SUSPECT) {
      const auto Existing = this->SuspectedSince.find(Node);
      StillSuspected[Node] =
          Existing == this->SuspectedSince.end() ? Now : Existing->second;
    }
  this->SuspectedSince = std::move(StillSuspected);
  for (const auto &[Node, Since] : this->SuspectedSince)
    if (Now - Since >= this->SuspicionTimeout &&
        Table->advanceState(Node, proto::DEAD, Now))
      Actions->push_back(BroadcastState{Node});
}

std::string FailureDetector::nextTarget(std::mt19937_64 &Random,
                                        const MemberTable &Table) {
  while (true) {
    if (this->RoundTargets.empty()) {
      this->RoundTargets = Table.liveNodes(Table.self().data_centre());
      std::erase(this->RoundTargets, Table.self().node());
      if (this->RoundTargets.empty())
        return "";
      std::shuffle(this->RoundTargets.begin(), this->RoundTargets.end(),
                   Random);
    }
    std::string Candidate = this->RoundTargets.back();
    this->RoundTargets.pop_back();
    const proto::Member *Member = Table.find(Candidate);
    if (Member != nullptr && Member->state() <= proto::SUSPECT)
      return Candidate;
  }
}

} // namespace persimmonquay
