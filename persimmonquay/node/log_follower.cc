#include "persimmonquay/node/log_follower.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/config/config_store.h"
#include "persimmonquay/peer/cluster.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

constexpr char ReaderDuty[] = "log-reader";
/// How often a node that knows no other looks for one on the log, and how many
/// of the newest records it tries.
constexpr Millis JoinInterval{2000};
constexpr std::uint64_t MembersRead = 40;
/// How often a data centre's address on the log is renewed.
constexpr Millis MemberInterval = std::chrono::minutes(2);
constexpr std::size_t Readers = 2;
constexpr Millis LongPoll{2000};
constexpr Millis LogTimeout{2000};
constexpr Millis IdlePause{200};
constexpr Millis ErrorPause{500};
/// Time in which peers may make themselves known before a starting node reads
/// the log itself.
constexpr Millis JoinTime{300};
/// Snapshots are written anew after this time, well inside the retention.
constexpr Millis SnapshotInterval = std::chrono::minutes(10);

} // namespace internal

LogFollower::LogFollower(HttpLogClient *Log, ConfigStore *Store, Cluster *Group,
                         std::uint64_t SnapshotEvery)
    : Log(Log), Store(Store), Group(Group), SnapshotEvery(SnapshotEvery) {}

LogFollower::~LogFollower() { this->stop(); }

void LogFollower::start() {
  this->Worker = std::thread([this] { this->run(); });
}

void LogFollower::stop() {
  this->Stopping = true;
  this->StopWanted.notify_all();
  if (this->Worker.joinable())
    this->Worker.join();
}

void LogFollower::pause(Millis Time) {
  std::unique_lock<std::mutex> Lock(this->PauseMutex);
  this->StopWanted.wait_for(Lock, Time,
                            [this] { return this->Stopping.load(); });
}

bool LogFollower::hasDuty() const {
  return this->Group->hasRole(internal::ReaderDuty, internal::Readers);
}

void LogFollower::run() {
  this->pause(internal::JoinTime);
  while (!this->Stopping) {
    if (!this->hasDuty()) {
      this->pause(internal::IdlePause);
      continue;
    }
    const absl::Status Read = this->readOnce(internal::LongPoll);
    if (!Read.ok()) {
      logLine(LogLevel::Warning, "the log could not be read",
              {{"error", std::string(Read.message())}});
      this->pause(internal::ErrorPause);
      continue;
    }
    this->writeSnapshotIfDue(monoNow());
    this->joinThroughLog(monoNow());
    this->writeMemberIfDue(monoNow());
  }
}

void LogFollower::joinThroughLog(MonoTime Now) {
  if (this->Group->hasPeers() ||
      Now - this->LastJoinAt < internal::JoinInterval)
    return;
  this->LastJoinAt = Now;
  const auto Bounds = this->Log->bounds(MemberStream, internal::LogTimeout);
  if (!Bounds.ok() || Bounds->EndOffset == Bounds->OldestOffset)
    return;
  const std::uint64_t From = std::max(
      Bounds->OldestOffset,
      Bounds->EndOffset - std::min(Bounds->EndOffset, internal::MembersRead));
  const auto Chunk =
      this->Log->read(MemberStream, From, Millis(0), internal::LogTimeout);
  if (!Chunk.ok())
    return;
  std::vector<proto::Member> Known;
  for (const std::string &Payload : Chunk->Records) {
    proto::Member Member;
    if (Member.ParseFromString(Payload))
      Known.push_back(std::move(Member));
  }
  this->Group->join(Known);
}

void LogFollower::writeMemberIfDue(MonoTime Now) {
  const bool Due = this->LastMemberAt == MonoTime() ||
                   Now - this->LastMemberAt > internal::MemberInterval;
  if (!Due || !this->Group->hasRole(internal::ReaderDuty, 1))
    return;
  this->LastMemberAt = Now;
  const auto Offset =
      this->Log->append(MemberStream, this->Group->self().SerializeAsString(),
                        internal::LogTimeout);
  if (!Offset.ok())
    this->LastMemberAt = MonoTime();
}

absl::Status LogFollower::readOnce(Millis Wait) {
  if (this->Store->nextOffset() == 0 && !this->SnapshotTried) {
    absl::Status Loaded = this->loadSnapshot();
    if (!Loaded.ok())
      return Loaded;
    this->SnapshotTried = true;
  }
  const std::uint64_t From = this->Store->nextOffset();
  auto Chunk = this->Log->read(ConfigStream, From, Wait, internal::LogTimeout);
  this->Reachable = Chunk.ok() || absl::IsOutOfRange(Chunk.status());
  if (absl::IsOutOfRange(Chunk.status())) {
    absl::Status Loaded = this->loadSnapshot();
    if (!Loaded.ok())
      return Loaded;
    if (this->Store->nextOffset() <= From)
      return absl::DataLossError(
          absl::StrCat("records from ", From,
                       " on have expired and no snapshot or peer "
                       "has what they contained"));
    return absl::OkStatus();
  }
  if (!Chunk.ok())
    return Chunk.status();
  // A process that ran before in this node's place may have served anything
  // up to the end, so that nothing older is served while catching up.
  this->Store->raiseMinServingOffset(Chunk->EndOffset);
  std::uint64_t Offset = Chunk->FirstOffset;
  for (const std::string &Payload : Chunk->Records) {
    absl::Status Applied = this->Store->applyRecord(Offset, Payload);
    if (absl::IsOutOfRange(Applied))
      return Applied;
    ++Offset;
  }
  return absl::OkStatus();
}

absl::Status LogFollower::loadSnapshot() {
  // Nothing older than the log's end is served while catching up; see
  // readOnce().
  const auto End = this->Log->bounds(ConfigStream, internal::LogTimeout);
  if (!End.ok())
    return End.status();
  this->Store->raiseMinServingOffset(End->EndOffset);
  auto Bounds = this->Log->bounds(SnapshotStream, internal::LogTimeout);
  this->Reachable = Bounds.ok();
  if (!Bounds.ok())
    return Bounds.status();
  if (Bounds->EndOffset == Bounds->OldestOffset)
    return absl::OkStatus();
  auto Chunk = this->Log->read(SnapshotStream, Bounds->EndOffset - 1, Millis(0),
                               internal::LogTimeout);
  if (!Chunk.ok())
    return Chunk.status();
  for (const std::string &Payload : Chunk->Records) {
    proto::SnapshotRecord Record;
    proto::ConfigurationState State;
    if (!Record.ParseFromString(Payload) ||
        !State.ParseFromString(Record.state()))
      return absl::DataLossError("the newest snapshot can't be decoded");
    absl::Status Adopted = this->Store->installState(State);
    if (!Adopted.ok())
      return Adopted;
    this->LastSnapshotOffset =
        std::max(this->LastSnapshotOffset, Record.next_offset());
  }
  return absl::OkStatus();
}

void LogFollower::writeSnapshotIfDue(MonoTime Now) {
  const proto::ConfigurationState State = this->Store->state();
  if (State.next_offset() == 0)
    return;
  const bool Grown =
      State.next_offset() >= this->LastSnapshotOffset + this->SnapshotEvery;
  const bool Old = this->LastSnapshotAt != MonoTime() &&
                   Now - this->LastSnapshotAt > internal::SnapshotInterval;
  if (this->LastSnapshotAt == MonoTime())
    this->LastSnapshotAt = Now;
  if ((!Grown && !Old) || !this->Group->hasRole(internal::ReaderDuty, 1))
    return;
  // Another data centre's writer may have been faster.
  if (!Old && this->loadSnapshot().ok() &&
      State.next_offset() < this->LastSnapshotOffset + this->SnapshotEvery)
    return;
  proto::SnapshotRecord Record;
  Record.set_next_offset(State.next_offset());
  Record.set_state(encodeState(State));
  const auto Offset = this->Log->append(
      SnapshotStream, Record.SerializeAsString(), internal::LogTimeout);
  if (!Offset.ok())
    return;
  this->LastSnapshotOffset = State.next_offset();
  this->LastSnapshotAt = Now;
  logLine(LogLevel::Info, "snapshot written",
          {{"next_offset", absl::StrCat(State.next_offset())}});
}

absl::StatusOr<proto::AuditEntry>
LogFollower::publish(const proto::Change &Change, Millis Timeout) {
  proto::LogRecord Record;
  *Record.mutable_change() = Change;
  const MonoTime Deadline = monoNow() + Timeout;
  const auto Offset =
      this->Log->append(ConfigStream, Record.SerializeAsString(),
                        std::min(Timeout, internal::LogTimeout));
  if (absl::IsResourceExhausted(Offset.status()))
    return absl::UnavailableError(absl::StrCat(
        "not published: ", std::string(Offset.status().message())));
  // With or without an answer, the verdict is what the stream says.
  const auto Left = std::chrono::duration_cast<Millis>(Deadline - monoNow());
  const auto Verdict =
      this->Store->waitForVerdict(Change.id(), std::max(Left, Millis(0)));
  if (Verdict)
    return *Verdict;
  if (!Offset.ok())
    return absl::UnavailableError(absl::StrCat(
        "it is not known whether change \"", Change.id(),
        "\" was published; ask for the audit trail before sending it again: ",
        std::string(Offset.status().message())));
  return absl::DeadlineExceededError(
      absl::StrCat("change \"", Change.id(), "\" is on the log at offset ",
                   *Offset, ", but this node has not read it yet"));
}

absl::Status LogFollower::appendOutcome(const proto::MoveOutcome &Outcome) {
  proto::LogRecord Record;
  *Record.mutable_outcome() = Outcome;
  return this->Log
      ->append(ConfigStream, Record.SerializeAsString(), internal::LogTimeout)
      .status();
}

} // namespace persimmonquay
