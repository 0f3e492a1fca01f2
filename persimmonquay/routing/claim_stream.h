// Claims keyed requests on the platform's log, so that at most one attempt runs
// the request of each idempotency key.
#ifndef PERSIMMONQUAY_ROUTING_CLAIM_STREAM_H
#define PERSIMMONQUAY_ROUTING_CLAIM_STREAM_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/platform/log_client.h"
#include "persimmonquay/routing/claim_ledger.h"
#include "proto/peer.pb.h"
#include <absl/status/status.h>
#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace persimmonquay {

/// The result of a claim.
struct ClaimResult {
  enum class Code {
    /// This attempt may run the request; no other attempt ever may.
    Granted,
    /// Another attempt ran the request; `StoredResult` is its response.
    Completed,
    /// Another attempt holds the key, and its result is not known yet.
    HeldByOther,
    /// The claim could not be written to or read back from the log, or the
    /// key was released. This attempt must not run.
    Unavailable,
  };
  Code Status = Code::Unavailable;
  std::uint64_t HolderFingerprint = 0;
  proto::ClaimEvent StoredResult;
  std::string Detail;
};

/// A client of one claims stream. Claims that arrive while an append is in
/// flight are batched into the next one.
///
/// An attempt may run only after its claim has been read back from the log as
/// the first of the key. An attempt whose append got no response never runs: if
/// its claim appears on the log later, the claim is released.
///
/// Thread-safe. The log client must outlive the stream.
///
/// Example:
///   ClaimStream<HttpLogClient> Stream(&Log, "claims-0");
///   ClaimResult Result = Stream.claim(Key, Attempt, Fingerprint, Deadline);
///   if (Result.Status == ClaimResult::Code::Granted)
///     Stream.enqueue(resultOf(run()));
template <LogClient Log> class ClaimStream {
public:
  ClaimStream(Log *Client, std::string Name)
      : Client(Client), Name(std::move(Name)),
        OpenBatch(std::make_shared<Batch>()) {}

  // Commands.

  /// Claims `Key` for `Attempt`, which must be a unique name. While another
  /// attempt holds the key, waits for its result until `Deadline`.
  ClaimResult claim(const std::string &Key, const std::string &Attempt,
                    std::uint64_t Fingerprint, MonoTime Deadline) {
    proto::ClaimEvent Event;
    Event.set_kind(proto::ClaimEvent::CLAIM);
    Event.set_key(Key);
    Event.set_attempt(Attempt);
    Event.set_fingerprint(Fingerprint);
    const absl::Status AppendStatus = this->append(Event, Deadline);
    if (!AppendStatus.ok()) {
      this->abandon(Key, Attempt);
      return unavailable(AppendStatus);
    }
    ClaimResult Result = this->resultFor(Key, Attempt);
    while (Result.Status == ClaimResult::Code::HeldByOther &&
           monoNow() < Deadline) {
      const absl::Status ReadStatus = this->readNext(Deadline);
      if (!ReadStatus.ok())
        return Result;
      Result = this->resultFor(Key, Attempt);
    }
    return Result;
  }

  /// Queues a release or a result. The next append or `flush()` writes it.
  void enqueue(const proto::ClaimEvent &Event) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->PendingEvents.push_back(Event);
  }

  /// Writes the queued events. If there are abandoned attempts, also reads the
  /// log and queues the release of each of their claims that appeared there.
  /// Events that could not be written stay queued.
  void flush(Millis Timeout) {
    std::vector<proto::ClaimEvent> Events;
    bool HasAbandoned = false;
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      Events.swap(this->PendingEvents);
      HasAbandoned = !this->AbandonedAttempts.empty();
    }
    if (HasAbandoned)
      (void)this->readNext(monoNow());
    if (Events.empty())
      return;
    proto::ClaimBatch Content;
    for (const proto::ClaimEvent &Event : Events)
      *Content.add_events() = Event;
    // A failed append may still have been written. Writing an event twice is
    // harmless, because the ledger uses the first occurrence.
    if (this->Client->append(this->Name, Content.SerializeAsString(), Timeout)
            .ok())
      return;
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->PendingEvents.insert(this->PendingEvents.begin(), Events.begin(),
                               Events.end());
  }

  /// Drops keys created before `Oldest`.
  void dropCreatedBefore(WallTime Oldest) {
    std::lock_guard<std::mutex> Lock(this->ReadMutex);
    this->Ledger.dropCreatedBefore(Oldest);
  }

private:
  static constexpr Millis AppendTimeout{2000};
  static constexpr Millis ReadTimeout{2000};
  static constexpr Millis InitialBackoff{5};
  static constexpr Millis MaxBackoff{40};
  /// Longest time for which one read waits for new records.
  static constexpr Millis MaxReadWait{200};

  /// Events that are written by one append.
  struct Batch {
    proto::ClaimBatch Content;
    bool Done = false;
    absl::StatusOr<std::uint64_t> Offset = 0;
  };

  static ClaimResult unavailable(const absl::Status &Status) {
    ClaimResult Result;
    Result.Detail = std::string(Status.message());
    return Result;
  }

  /// Appends `Event` in a batch with other events, then reads the stream up to
  /// and including that batch.
  absl::Status append(const proto::ClaimEvent &Event, MonoTime Deadline) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    const std::shared_ptr<Batch> JoinedBatch = this->OpenBatch;
    *JoinedBatch->Content.add_events() = Event;
    while (!JoinedBatch->Done) {
      if (monoNow() >= Deadline)
        return absl::DeadlineExceededError("the log did not answer in time");
      if (this->AppendInFlight)
        this->BatchDone.wait_until(Lock, Deadline);
      else
        this->appendOpenBatch(&Lock);
    }
    if (!JoinedBatch->Offset.ok())
      return JoinedBatch->Offset.status();
    const std::uint64_t BatchOffset = *JoinedBatch->Offset;
    Lock.unlock();
    return this->readThrough(BatchOffset, Deadline);
  }

  /// Appends the open batch with the queued events. Releases the lock
  /// meanwhile.
  void appendOpenBatch(std::unique_lock<std::mutex> *Lock) {
    const std::shared_ptr<Batch> SentBatch =
        std::exchange(this->OpenBatch, std::make_shared<Batch>());
    this->AppendInFlight = true;
    const std::vector<proto::ClaimEvent> QueuedEvents =
        std::exchange(this->PendingEvents, {});
    for (const proto::ClaimEvent &Event : QueuedEvents)
      *SentBatch->Content.add_events() = Event;
    Lock->unlock();
    const auto Offset =
        this->appendWithBackoff(SentBatch->Content.SerializeAsString());
    Lock->lock();
    // A failed append may still have been written. Writing an event twice is
    // harmless, because the ledger uses the first occurrence.
    if (!Offset.ok())
      this->PendingEvents.insert(this->PendingEvents.end(),
                                 QueuedEvents.begin(), QueuedEvents.end());
    SentBatch->Offset = Offset;
    SentBatch->Done = true;
    this->AppendInFlight = false;
    this->BatchDone.notify_all();
  }

  /// Appends `Payload`, with retries and exponential backoff while the log
  /// reports that its rate limit is exceeded. Claims that arrive meanwhile are
  /// batched into the next append.
  absl::StatusOr<std::uint64_t> appendWithBackoff(const std::string &Payload) {
    const MonoTime Deadline = monoNow() + AppendTimeout;
    auto Offset = this->Client->append(this->Name, Payload, AppendTimeout);
    for (Millis Backoff = InitialBackoff;
         absl::IsResourceExhausted(Offset.status()) && monoNow() < Deadline;
         Backoff = std::min(2 * Backoff, MaxBackoff)) {
      std::this_thread::sleep_for(Backoff);
      Offset = this->Client->append(this->Name, Payload, AppendTimeout);
    }
    return Offset;
  }

  /// Reads until the record at `Offset` has been applied.
  absl::Status readThrough(std::uint64_t Offset, MonoTime Deadline) {
    std::lock_guard<std::mutex> Lock(this->ReadMutex);
    while (this->NextOffset <= Offset) {
      if (monoNow() >= Deadline)
        return absl::DeadlineExceededError("the log could not be read in time");
      absl::Status ReadStatus = this->readLocked(Millis(0));
      if (!ReadStatus.ok())
        return ReadStatus;
    }
    return absl::OkStatus();
  }

  /// Reads once; waits at most MaxReadWait if there is no new record yet.
  absl::Status readNext(MonoTime Deadline) {
    std::lock_guard<std::mutex> Lock(this->ReadMutex);
    const auto Remaining =
        std::chrono::duration_cast<Millis>(Deadline - monoNow());
    return this->readLocked(std::clamp(Remaining, Millis(0), MaxReadWait));
  }

  /// Reads and applies one chunk of records.
  absl::Status readLocked(Millis Wait) {
    auto Chunk =
        this->Client->read(this->Name, this->NextOffset, Wait, ReadTimeout);
    if (absl::IsOutOfRange(Chunk.status())) {
      // Expired records are older than any key that is still accepted, so they
      // can be skipped.
      auto Bounds = this->Client->bounds(this->Name, ReadTimeout);
      if (!Bounds.ok())
        return Bounds.status();
      this->NextOffset = Bounds->OldestOffset;
      return absl::OkStatus();
    }
    if (!Chunk.ok())
      return Chunk.status();
    for (const std::string &Payload : Chunk->Records) {
      proto::ClaimBatch Content;
      if (Content.ParseFromString(Payload))
        for (const proto::ClaimEvent &Event : Content.events())
          this->applyLocked(Event);
      ++this->NextOffset;
    }
    return absl::OkStatus();
  }

  void applyLocked(const proto::ClaimEvent &Event) {
    this->Ledger.apply(Event);
    if (Event.kind() != proto::ClaimEvent::CLAIM)
      return;
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->AbandonedAttempts.erase(Event.attempt()) == 0)
      return;
    proto::ClaimEvent Release = Event;
    Release.set_kind(proto::ClaimEvent::RELEASE);
    this->PendingEvents.push_back(Release);
  }

  /// Ensures that the claim of `Attempt` is released if it reached the log,
  /// whether it was read already or is read later.
  void abandon(const std::string &Key, const std::string &Attempt) {
    std::lock_guard<std::mutex> ReadLock(this->ReadMutex);
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const ClaimState *State = this->Ledger.find(Key);
    if (State == nullptr || State->Holder != Attempt) {
      this->AbandonedAttempts.insert(Attempt);
      return;
    }
    proto::ClaimEvent Release;
    Release.set_kind(proto::ClaimEvent::RELEASE);
    Release.set_key(Key);
    Release.set_attempt(Attempt);
    this->PendingEvents.push_back(Release);
  }

  ClaimResult resultFor(const std::string &Key, const std::string &Attempt) {
    std::lock_guard<std::mutex> Lock(this->ReadMutex);
    ClaimResult Result;
    const ClaimState *State = this->Ledger.find(Key);
    if (State == nullptr || State->Holder.empty()) {
      // This claim was ignored because an earlier attempt held the key, which
      // that attempt has released since.
      Result.Detail = "the key was released; the request may be sent again";
      return Result;
    }
    Result.HolderFingerprint = State->Fingerprint;
    if (State->Result) {
      Result.Status = ClaimResult::Code::Completed;
      Result.StoredResult = *State->Result;
    } else if (State->Holder == Attempt) {
      Result.Status = ClaimResult::Code::Granted;
    } else {
      Result.Status = ClaimResult::Code::HeldByOther;
    }
    return Result;
  }

  Log *Client;
  const std::string Name;

  // Guards the members from here to ReadMutex.
  std::mutex Mutex;
  std::condition_variable BatchDone;
  /// Collects the events of the next append.
  std::shared_ptr<Batch> OpenBatch;
  bool AppendInFlight = false;
  /// Releases and results that are not written yet.
  std::vector<proto::ClaimEvent> PendingEvents;
  /// Attempts whose claims may have reached the log, but must not run.
  std::set<std::string> AbandonedAttempts;

  // Guards the members below. Locked before Mutex where both are needed.
  std::mutex ReadMutex;
  ClaimLedger Ledger;
  std::uint64_t NextOffset = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_CLAIM_STREAM_H
