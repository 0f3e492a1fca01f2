#include "persimmonquay/config/config_store.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Limit on the records that are retained for peers that are behind. A peer
/// that needs older records gets the whole state.
constexpr std::size_t MaxRetainedBytes = 1 << 20;

} // namespace internal

ConfigStore::ConfigStore()
    : Serving(std::make_unique<
              const std::shared_ptr<const ServingConfiguration>>()) {}

void ConfigStore::setObservers(StateObserver StateCallback,
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
  this->retainRecordLocked(Offset, Payload);
  this->publishLocked();
  if (!Decoded)
    return absl::DataLossError(absl::StrCat(
        "record ", Offset, " of the config stream can't be decoded"));
  return absl::OkStatus();
}

absl::Status
ConfigStore::installState(const proto::ConfigurationState &NewState) {
  const absl::Status References = checkReferences(NewState);
  if (!References.ok())
    return absl::DataLossError(std::string(References.message()));
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (NewState.next_offset() <= this->State.next_offset())
    return absl::OkStatus();
  this->State = NewState;
  this->RetainedRecords.clear();
  this->RetainedBytes = 0;
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

void ConfigStore::retainRecordLocked(std::uint64_t Offset,
                                     const std::string &Payload) {
  this->RetainedRecords.push_back(RetainedRecord{Offset, Payload});
  this->RetainedBytes += Payload.size();
  while (this->RetainedBytes > internal::MaxRetainedBytes) {
    this->RetainedBytes -= this->RetainedRecords.front().Payload.size();
    this->RetainedRecords.pop_front();
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
  if (this->RetainedRecords.empty() ||
      Offset < this->RetainedRecords.front().Offset) {
    *Reply->mutable_state() = this->State;
    return;
  }
  std::size_t Bytes = 0;
  for (const RetainedRecord &Record : this->RetainedRecords) {
    if (Record.Offset < Offset)
      continue;
    Bytes += Record.Payload.size();
    if (Bytes > MaxBytes && Reply->records_size() > 0)
      return;
    proto::StreamRecord *NewRecord = Reply->add_records();
    NewRecord->set_offset(Record.Offset);
    NewRecord->set_payload(Record.Payload);
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
