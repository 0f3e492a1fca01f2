#include "persimmonquay/config/config_store.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Records kept for peers that are behind; older gaps are filled by a state.
constexpr std::size_t MaxKeptBytes = 1 << 20;

} // namespace internal

ConfigStore::ConfigStore()
    : Serving(std::make_unique<
              const std::shared_ptr<const ServingConfiguration>>()) {}

void ConfigStore::setObservers(Observer StateCallback,
                               RecordObserver RecordCallback) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->OnState = std::move(StateCallback);
  this->OnRecord = std::move(RecordCallback);
}

absl::Status ConfigStore::applyRecord(std::uint64_t Offset,
                                      const std::string &Payload) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (Offset < this->State.next_offset())
    return absl::OkStatus();
  if (Offset > this->State.next_offset())
    return absl::OutOfRangeError(
        absl::StrCat("record ", Offset, " was received, but record ",
                     this->State.next_offset(), " is missing"));
  if (this->OnRecord)
    this->OnRecord(Offset, Payload);
  proto::LogRecord Record;
  const bool Decoded = Record.ParseFromString(Payload);
  if (!Decoded)
    Record.Clear();
  persimmonquay::applyRecord(Offset, Record, &this->State);
  this->keepRecordLocked(Offset, Payload);
  this->publishLocked();
  if (!Decoded)
    return absl::DataLossError(
        absl::StrCat("record ", Offset, " of the config stream is no record"));
  return absl::OkStatus();
}

absl::Status ConfigStore::installState(const proto::ConfigurationState &Next) {
  const absl::Status Closure = checkReferences(Next);
  if (!Closure.ok())
    return absl::DataLossError(std::string(Closure.message()));
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (Next.next_offset() <= this->State.next_offset())
    return absl::OkStatus();
  this->State = Next;
  this->Kept.clear();
  this->KeptBytes = 0;
  this->publishLocked();
  return absl::OkStatus();
}

void ConfigStore::raiseMinServingOffset(std::uint64_t NextOffset) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->MinServingOffset = std::max(this->MinServingOffset, NextOffset);
}

void ConfigStore::publishLocked() {
  this->Changed.notify_all();
  if (this->State.next_offset() < this->MinServingOffset)
    return;
  auto Compiled = ServingConfiguration::compile(this->State);
  if (Compiled == nullptr)
    return;
  this->Serving.replace(
      std::make_unique<const std::shared_ptr<const ServingConfiguration>>(
          std::move(Compiled)));
  if (this->OnState)
    this->OnState(this->State);
}

void ConfigStore::keepRecordLocked(std::uint64_t Offset,
                                   const std::string &Payload) {
  this->Kept.push_back(KeptRecord{Offset, Payload});
  this->KeptBytes += Payload.size();
  while (this->KeptBytes > internal::MaxKeptBytes) {
    this->KeptBytes -= this->Kept.front().Payload.size();
    this->Kept.pop_front();
  }
}

std::shared_ptr<const ServingConfiguration> ConfigStore::serving() const {
  return this->Serving.read(
      [](const std::shared_ptr<const ServingConfiguration> &Current) {
        return Current;
      });
}

proto::ConfigurationState ConfigStore::state() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->State;
}

std::uint64_t ConfigStore::nextOffset() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->State.next_offset();
}

std::uint64_t ConfigStore::minServingOffset() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return std::max(this->MinServingOffset, this->State.next_offset());
}

std::uint64_t ConfigStore::version() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->State.version();
}

void ConfigStore::fillSyncReply(std::uint64_t Offset, std::size_t MaxBytes,
                                proto::SyncReply *Reply) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (Offset >= this->State.next_offset())
    return;
  if (this->Kept.empty() || Offset < this->Kept.front().Offset) {
    *Reply->mutable_state() = this->State;
    return;
  }
  std::size_t Bytes = 0;
  for (const KeptRecord &Record : this->Kept) {
    if (Record.Offset < Offset)
      continue;
    Bytes += Record.Payload.size();
    if (Bytes > MaxBytes && Reply->records_size() > 0)
      return;
    proto::StreamRecord *Added = Reply->add_records();
    Added->set_offset(Record.Offset);
    Added->set_payload(Record.Payload);
  }
}

std::optional<proto::AuditEntry>
ConfigStore::waitForVerdict(const std::string &Id, Millis Timeout) const {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  std::optional<proto::AuditEntry> Result;
  this->Changed.wait_for(Lock, Timeout, [&] {
    for (const proto::AuditEntry &Entry : this->State.audit())
      if (Entry.id() == Id)
        Result = Entry;
    return Result.has_value();
  });
  return Result;
}

bool ConfigStore::waitForOffsetAfter(std::uint64_t NextOffset,
                                     Millis Timeout) const {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  return this->Changed.wait_for(
      Lock, Timeout, [&] { return this->State.next_offset() > NextOffset; });
}

} // namespace persimmonquay
