#include "persimmonquay/node/log_follower.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/config/config_store.h"
#include "persimmonquay/peer/cluster.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

constexpr char LogReaderRole[] = "log-reader";
/// How often a node without peers looks for them on the log, and how many of
/// the newest member records it reads.
constexpr Millis DiscoveryInterval{2000};
constexpr std::uint64_t MaxMemberRecords = 40;
/// How often a data centre's member record on the log is renewed.
constexpr Millis MemberWriteInterval = std::chrono::minutes(2);
constexpr std::size_t ReadersPerDataCentre = 2;
constexpr Millis LongPollTimeout{2000};
constexpr Millis LogRequestTimeout{2000};
constexpr Millis IdlePause{200};
constexpr Millis ErrorPause{500};
/// Delay at start before a node reads the log itself, so that peers can be
/// discovered first.
constexpr Millis JoinDelay{300};
/// Snapshots are rewritten after this time, which is well within the log's
/// retention.
constexpr Millis SnapshotInterval = std::chrono::minutes(10);

} // namespace internal

LogFollower::LogFollower(HttpLogClient *Log, ConfigStore *Store,
                         Cluster *PeerCluster, std::uint64_t RecordsPerSnapshot)
    : Log(Log), Store(Store), PeerCluster(PeerCluster),
      RecordsPerSnapshot(RecordsPerSnapshot) {}

LogFollower::~LogFollower() { this->stop(); }

void LogFollower::start() {
  this->Worker = std::thread([this] { this->run(); });
}

void LogFollower::stop() {
  this->Stopping = true;
  this->StopRequested.notify_all();
  if (this->Worker.joinable())
    this->Worker.join();
}

void LogFollower::pause(Millis Duration) {
  std::unique_lock<std::mutex> Lock(this->PauseMutex);
  this->StopRequested.wait_for(Lock, Duration,
                               [this] { return this->Stopping.load(); });
}

bool LogFollower::isLogReader() const {
  return this->PeerCluster->hasRole(internal::LogReaderRole,
                                    internal::ReadersPerDataCentre);
}

void LogFollower::run() {
  this->pause(internal::JoinDelay);
  while (!this->Stopping) {
    if (!this->isLogReader()) {
      this->pause(internal::IdlePause);
      continue;
    }
    const absl::Status ReadStatus = this->readOnce(internal::LongPollTimeout);
    if (!ReadStatus.ok()) {
      logLine(LogLevel::Warning, "reading the log failed",
              {{"error", std::string(ReadStatus.message())}});
      this->pause(internal::ErrorPause);
      continue;
    }
    this->writeSnapshotIfDue(monoNow());
    this->discoverPeersOnLog(monoNow());
    this->writeMemberIfDue(monoNow());
  }
}

void LogFollower::discoverPeersOnLog(MonoTime Now) {
  if (this->PeerCluster->hasPeers() ||
      Now - this->LastDiscoveryAt < internal::DiscoveryInterval)
    return;
  this->LastDiscoveryAt = Now;
  const auto Bounds =
      this->Log->bounds(MemberStream, internal::LogRequestTimeout);
  if (!Bounds.ok() || Bounds->EndOffset == Bounds->OldestOffset)
    return;
  const std::uint64_t StartOffset =
      std::max(Bounds->OldestOffset,
               Bounds->EndOffset -
                   std::min(Bounds->EndOffset, internal::MaxMemberRecords));
  const auto Chunk = this->Log->read(MemberStream, StartOffset, Millis(0),
                                     internal::LogRequestTimeout);
  if (!Chunk.ok())
    return;
  std::vector<proto::Member> Members;
  for (const std::string &Payload : Chunk->Records) {
    proto::Member Member;
    if (Member.ParseFromString(Payload))
      Members.push_back(std::move(Member));
  }
  this->PeerCluster->join(Members);
}

void LogFollower::writeMemberIfDue(MonoTime Now) {
  const bool IsDue =
      this->LastMemberWriteAt == MonoTime() ||
      Now - this->LastMemberWriteAt > internal::MemberWriteInterval;
  if (!IsDue || !this->PeerCluster->hasRole(internal::LogReaderRole, 1))
    return;
  this->LastMemberWriteAt = Now;
  const auto Offset = this->Log->append(
      MemberStream, this->PeerCluster->self().SerializeAsString(),
      internal::LogRequestTimeout);
  if (!Offset.ok())
    this->LastMemberWriteAt = MonoTime();
}

absl::Status LogFollower::readOnce(Millis Wait) {
  if (this->Store->nextOffset() == 0 && !this->InitialSnapshotChecked) {
    absl::Status LoadStatus = this->loadSnapshot();
    if (!LoadStatus.ok())
      return LoadStatus;
    this->InitialSnapshotChecked = true;
  }
  const std::uint64_t StartOffset = this->Store->nextOffset();
  auto Chunk = this->Log->read(ConfigStream, StartOffset, Wait,
                               internal::LogRequestTimeout);
  this->Reachable = Chunk.ok() || absl::IsOutOfRange(Chunk.status());
  if (absl::IsOutOfRange(Chunk.status())) {
    absl::Status LoadStatus = this->loadSnapshot();
    if (!LoadStatus.ok())
      return LoadStatus;
    if (this->Store->nextOffset() <= StartOffset)
      return absl::DataLossError(
          absl::StrCat("records from offset ", StartOffset,
                       " on have expired, and neither a snapshot nor a "
                       "peer has their content"));
    return absl::OkStatus();
  }
  if (!Chunk.ok())
    return Chunk.status();
  // An earlier process of this node may have served any configuration up to the
  // end of the log. Nothing older is served while catching up, so that a
  // restart doesn't bring back an older configuration.
  this->Store->raiseMinServingOffset(Chunk->EndOffset);
  std::uint64_t Offset = Chunk->FirstOffset;
  for (const std::string &Payload : Chunk->Records) {
    absl::Status ApplyStatus = this->Store->applyRecord(Offset, Payload);
    if (absl::IsOutOfRange(ApplyStatus))
      return ApplyStatus;
    ++Offset;
  }
  return absl::OkStatus();
}

absl::Status LogFollower::loadSnapshot() {
  // While catching up, nothing older than the end of the log is served; see
  // readOnce().
  const auto End = this->Log->bounds(ConfigStream, internal::LogRequestTimeout);
  if (!End.ok())
    return End.status();
  this->Store->raiseMinServingOffset(End->EndOffset);
  auto Bounds = this->Log->bounds(SnapshotStream, internal::LogRequestTimeout);
  this->Reachable = Bounds.ok();
  if (!Bounds.ok())
    return Bounds.status();
  if (Bounds->EndOffset == Bounds->OldestOffset)
    return absl::OkStatus();
  auto Chunk = this->Log->read(SnapshotStream, Bounds->EndOffset - 1, Millis(0),
                               internal::LogRequestTimeout);
  if (!Chunk.ok())
    return Chunk.status();
  for (const std::string &Payload : Chunk->Records) {
    proto::SnapshotRecord Record;
    proto::ConfigurationState State;
    if (!Record.ParseFromString(Payload) ||
        !State.ParseFromString(Record.state()))
      return absl::DataLossError("the newest snapshot can't be decoded");
    absl::Status InstallStatus = this->Store->installState(State);
    if (!InstallStatus.ok())
      return InstallStatus;
    this->LastSnapshotOffset =
        std::max(this->LastSnapshotOffset, Record.next_offset());
  }
  return absl::OkStatus();
}

void LogFollower::writeSnapshotIfDue(MonoTime Now) {
  const proto::ConfigurationState State = this->Store->state();
  if (State.next_offset() == 0)
    return;
  const bool HasEnoughNewRecords =
      State.next_offset() >=
      this->LastSnapshotOffset + this->RecordsPerSnapshot;
  const bool IsStale = this->LastSnapshotAt != MonoTime() &&
                       Now - this->LastSnapshotAt > internal::SnapshotInterval;
  if (this->LastSnapshotAt == MonoTime())
    this->LastSnapshotAt = Now;
  if ((!HasEnoughNewRecords && !IsStale) ||
      !this->PeerCluster->hasRole(internal::LogReaderRole, 1))
    return;
  // A writer in another data centre may have written a snapshot already.
  if (!IsStale && this->loadSnapshot().ok() &&
      State.next_offset() < this->LastSnapshotOffset + this->RecordsPerSnapshot)
    return;
  proto::SnapshotRecord Record;
  Record.set_next_offset(State.next_offset());
  Record.set_state(encodeState(State));
  const auto Offset = this->Log->append(
      SnapshotStream, Record.SerializeAsString(), internal::LogRequestTimeout);
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
                        std::min(Timeout, internal::LogRequestTimeout));
  if (absl::IsResourceExhausted(Offset.status()))
    return absl::UnavailableError(absl::StrCat(
        "not published: ", std::string(Offset.status().message())));
  // An append without a response may have succeeded; reading the stream shows
  // whether it did.
  const auto Remaining =
      std::chrono::duration_cast<Millis>(Deadline - monoNow());
  const auto Verdict =
      this->Store->waitForVerdict(Change.id(), std::max(Remaining, Millis(0)));
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
      ->append(ConfigStream, Record.SerializeAsString(),
               internal::LogRequestTimeout)
      .status();
}

} // namespace persimmonquay
