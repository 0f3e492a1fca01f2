// Claims on the platform's log: at most one run for each key.
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

/// Answer to a claim.
struct ClaimResult {
  enum class Code {
    /// This attempt may run the request, and no other ever may.
    Granted,
    /// The request ran before; `Result` is its answer.
    Completed,
    /// Another attempt holds the key and its result is not known.
    HeldByOther,
    /// The log could not be asked. This attempt must not run.
    Unavailable,
  };
  Code Status = Code::Unavailable;
  std::uint64_t HolderFingerprint = 0;
  proto::ClaimEvent StoredResult;
  std::string Detail;
};

/// One claims stream. Claims that arrive while an append is under way travel
/// together in the next one.
///
/// An attempt runs only after it has read its own claim back from the log as
/// the key's first. A claim whose append was not answered never runs: if it
/// turns up on the log later, it is released.
///
/// Thread-safe. `Log` must outlive the stream.
///
/// Example:
///   ClaimStream<HttpLogClient> Stream(&Log, "claims-0");
///   ClaimResult Answer = Stream.claim(Key, Attempt, Fingerprint, Deadline);
///   if (Answer.Status == ClaimResult::Code::Granted)
///     Stream.enqueue(resultOf(run()));
template <LogClient Log> class ClaimStream {
public:
  ClaimStream(Log *Client, std::string Name)
      : Client(Client), Name(std::move(Name)),
        Collecting(std::make_shared<Batch>()) {}

  // Commands.

  /// Claims `Key` for `Attempt`, which must be unique. While another attempt
  /// holds the key, waits for its result until `Deadline`.
  ClaimResult claim(const std::string &Key, const std::string &Attempt,
                    std::uint64_t Fingerprint, MonoTime Deadline) {
    proto::ClaimEvent Event;
    Event.set_kind(proto::ClaimEvent::CLAIM);
    Event.set_key(Key);
    Event.set_attempt(Attempt);
    Event.set_fingerprint(Fingerprint);
    const absl::Status Appended = this->append(Event, Deadline);
    if (!Appended.ok()) {
      this->abandon(Key, Attempt);
      return unavailable(Appended);
    }
    ClaimResult Answer = this->answerFor(Key, Attempt);
    while (Answer.Status == ClaimResult::Code::HeldByOther &&
           monoNow() < Deadline) {
      const absl::Status Read = this->readMore(Deadline);
      if (!Read.ok())
        return Answer;
      Answer = this->answerFor(Key, Attempt);
    }
    return Answer;
  }

  /// Queues a release or a result; `flush()` writes it.
  void enqueue(const proto::ClaimEvent &Event) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Later.push_back(Event);
  }

  /// Writes what was queued, and releases claims of abandoned attempts that
  /// turned up on the log. What can't be written stays queued.
  void flush(Millis Timeout) {
    std::vector<proto::ClaimEvent> Events;
    bool MayBeOrphaned = false;
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      Events.swap(this->Later);
      MayBeOrphaned = !this->Abandoned.empty();
    }
    if (MayBeOrphaned)
      (void)this->readMore(monoNow());
    if (Events.empty())
      return;
    proto::ClaimBatch Content;
    for (const proto::ClaimEvent &Event : Events)
      *Content.add_events() = Event;
    // Writing an event twice is harmless: the ledger takes the first.
    if (this->Client->append(this->Name, Content.SerializeAsString(), Timeout)
            .ok())
      return;
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Later.insert(this->Later.begin(), Events.begin(), Events.end());
  }

  /// Forgets keys created before `Oldest`.
  void dropCreatedBefore(WallTime Oldest) {
    std::lock_guard<std::mutex> Lock(this->ReadMutex);
    this->Ledger.dropCreatedBefore(Oldest);
  }

private:
  static constexpr Millis AppendTimeout{2000};
  static constexpr Millis ReadTimeout{2000};
  static constexpr Millis FirstPause{5};
  static constexpr Millis LongestPause{40};
  static constexpr Millis ReadWait{200};

  /// Claims that travel in one append.
  struct Batch {
    proto::ClaimBatch Content;
    bool Done = false;
    absl::StatusOr<std::uint64_t> Offset = 0;
  };

  static ClaimResult unavailable(const absl::Status &Status) {
    ClaimResult Answer;
    Answer.Detail = std::string(Status.message());
    return Answer;
  }

  /// Appends `Event` together with others and reads the stream up to it.
  absl::Status append(const proto::ClaimEvent &Event, MonoTime Deadline) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    const std::shared_ptr<Batch> Own = this->Collecting;
    *Own->Content.add_events() = Event;
    while (!Own->Done) {
      if (monoNow() >= Deadline)
        return absl::DeadlineExceededError("the log did not answer in time");
      if (this->Appending)
        this->BatchDone.wait_until(Lock, Deadline);
      else
        this->appendCollected(&Lock);
    }
    if (!Own->Offset.ok())
      return Own->Offset.status();
    const std::uint64_t Target = *Own->Offset;
    Lock.unlock();
    return this->readTo(Target, Deadline);
  }

  void appendCollected(std::unique_lock<std::mutex> *Lock) {
    const std::shared_ptr<Batch> Sent =
        std::exchange(this->Collecting, std::make_shared<Batch>());
    this->Appending = true;
    const std::vector<proto::ClaimEvent> Queued =
        std::exchange(this->Later, {});
    for (const proto::ClaimEvent &Event : Queued)
      *Sent->Content.add_events() = Event;
    Lock->unlock();
    const auto Offset = this->appendPaced(Sent->Content.SerializeAsString());
    Lock->lock();
    // Writing an event twice is harmless: the ledger takes the first.
    if (!Offset.ok())
      this->Later.insert(this->Later.end(), Queued.begin(), Queued.end());
    Sent->Offset = Offset;
    Sent->Done = true;
    this->Appending = false;
    this->BatchDone.notify_all();
  }

  /// Appends; when the log refuses because of its rate, waits and tries again.
  /// What arrives meanwhile travels together in the next append.
  absl::StatusOr<std::uint64_t> appendPaced(const std::string &Payload) {
    const MonoTime Deadline = monoNow() + AppendTimeout;
    auto Offset = this->Client->append(this->Name, Payload, AppendTimeout);
    for (Millis Pause = FirstPause;
         absl::IsResourceExhausted(Offset.status()) && monoNow() < Deadline;
         Pause = std::min(2 * Pause, LongestPause)) {
      std::this_thread::sleep_for(Pause);
      Offset = this->Client->append(this->Name, Payload, AppendTimeout);
    }
    return Offset;
  }

  absl::Status readTo(std::uint64_t Target, MonoTime Deadline) {
    std::lock_guard<std::mutex> Lock(this->ReadMutex);
    while (this->NextOffset <= Target) {
      if (monoNow() >= Deadline)
        return absl::DeadlineExceededError("the log could not be read in time");
      absl::Status Read = this->readLocked(Millis(0));
      if (!Read.ok())
        return Read;
    }
    return absl::OkStatus();
  }

  /// Reads once, waiting a little for records if there are none.
  absl::Status readMore(MonoTime Deadline) {
    std::lock_guard<std::mutex> Lock(this->ReadMutex);
    const auto Left = std::chrono::duration_cast<Millis>(Deadline - monoNow());
    return this->readLocked(std::clamp(Left, Millis(0), ReadWait));
  }

  absl::Status readLocked(Millis Wait) {
    auto Chunk =
        this->Client->read(this->Name, this->NextOffset, Wait, ReadTimeout);
    if (absl::IsOutOfRange(Chunk.status())) {
      // What has expired is older than any key that is still accepted.
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
    if (this->Abandoned.erase(Event.attempt()) == 0)
      return;
    proto::ClaimEvent Release = Event;
    Release.set_kind(proto::ClaimEvent::RELEASE);
    this->Later.push_back(Release);
  }

  /// Makes sure that `Attempt` is released if its claim is on the log, whether
  /// it has been read already or turns up later.
  void abandon(const std::string &Key, const std::string &Attempt) {
    std::lock_guard<std::mutex> ReadLock(this->ReadMutex);
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const ClaimState *State = this->Ledger.find(Key);
    if (State == nullptr || State->Holder != Attempt) {
      this->Abandoned.insert(Attempt);
      return;
    }
    proto::ClaimEvent Release;
    Release.set_kind(proto::ClaimEvent::RELEASE);
    Release.set_key(Key);
    Release.set_attempt(Attempt);
    this->Later.push_back(Release);
  }

  ClaimResult answerFor(const std::string &Key, const std::string &Attempt) {
    std::lock_guard<std::mutex> Lock(this->ReadMutex);
    ClaimResult Answer;
    const ClaimState *State = this->Ledger.find(Key);
    if (State == nullptr || State->Holder.empty()) {
      // The holder that came before this claim released the key.
      Answer.Detail = "the key was released; the request may be sent again";
      return Answer;
    }
    Answer.HolderFingerprint = State->Fingerprint;
    if (State->Result) {
      Answer.Status = ClaimResult::Code::Completed;
      Answer.StoredResult = *State->Result;
    } else if (State->Holder == Attempt) {
      Answer.Status = ClaimResult::Code::Granted;
    } else {
      Answer.Status = ClaimResult::Code::HeldByOther;
    }
    return Answer;
  }

  Log *Client;
  const std::string Name;

  // Guards the members up to ReadMutex.
  std::mutex Mutex;
  std::condition_variable BatchDone;
  std::shared_ptr<Batch> Collecting;
  bool Appending = false;
  std::vector<proto::ClaimEvent> Later;
  std::set<std::string> Abandoned;

  // Guards the members below; taken before Mutex where both are needed.
  std::mutex ReadMutex;
  ClaimLedger Ledger;
  std::uint64_t NextOffset = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_CLAIM_STREAM_H
