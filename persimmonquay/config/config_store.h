// A node's copy of the configuration: the folded state, the records that
// peers may ask for, and the form that the request path reads.
#ifndef PERSIMMONQUAY_CONFIG_CONFIG_STORE_H
#define PERSIMMONQUAY_CONFIG_CONFIG_STORE_H

#include "persimmonquay/base/rcu_pointer.h"
#include "persimmonquay/base/time.h"
#include "persimmonquay/config/serving_configuration.h"
#include "persimmonquay/config/state_machine.h"
#include "proto/peer.pb.h"
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace persimmonquay {

/// Holds the newest configuration and only ever replaces it by a newer one,
/// whole. Thread-safe.
///
/// Example:
///   ConfigStore Store;
///   absl::Status Status = Store.applyRecord(Offset, Payload);
///   auto Serving = Store.serving();
class ConfigStore {
public:
  /// Called with each newly applied state, under the store's lock.
  using Observer = std::function<void(const proto::ConfigurationState &)>;

  /// Called with each record before it is folded, under the store's lock.
  using RecordObserver =
      std::function<void(std::uint64_t Offset, const std::string &Payload)>;

  ConfigStore();

  // Commands.

  /// Sets the observers. Call before other threads use the store.
  void setObservers(Observer OnState, RecordObserver OnRecord);

  /// Folds the record at `Offset`. A record already contained is ignored.
  /// Returns OutOfRange when records between are missing, and DataLoss when
  /// the payload can't be decoded: such a record is rejected on every node.
  absl::Status applyRecord(std::uint64_t Offset, const std::string &Payload);

  /// Replaces the state by `State` if that is newer; ignores it otherwise.
  /// Returns DataLoss when a reference in `State` does not resolve.
  absl::Status installState(const proto::ConfigurationState &State);

  /// Refuses to serve until the state reaches `NextOffset`: a peer remembers
  /// this node, or holds a state, at that offset.
  void raiseMinServingOffset(std::uint64_t NextOffset);

  // Queries.

  /// Returns the configuration for the request path; null before the floor is
  /// reached for the first time.
  std::shared_ptr<const ServingConfiguration> serving() const;

  proto::ConfigurationState state() const;
  std::uint64_t nextOffset() const;

  /// Returns the offset below which this node serves nothing, for peers that
  /// take its state.
  std::uint64_t minServingOffset() const;
  std::uint64_t version() const;

  /// Fills `Reply` with the records from `Offset` on, or with the whole state
  /// when these are no longer kept. At most `MaxBytes` of records are added.
  void fillSyncReply(std::uint64_t Offset, std::size_t MaxBytes,
                     proto::SyncReply *Reply) const;

  /// Waits until the verdict on the change `Id` is known, or `Timeout` passes.
  std::optional<proto::AuditEntry> waitForVerdict(const std::string &Id,
                                                  Millis Timeout) const;

  /// Waits until the state is newer than `NextOffset`, or `Timeout` passes.
  /// Returns whether it is.
  bool waitForOffsetAfter(std::uint64_t NextOffset, Millis Timeout) const;

private:
  struct KeptRecord {
    std::uint64_t Offset;
    std::string Payload;
  };

  void publishLocked();
  void keepRecordLocked(std::uint64_t Offset, const std::string &Payload);

  mutable std::mutex Mutex;
  mutable std::condition_variable Changed;
  proto::ConfigurationState State;
  std::deque<KeptRecord> Kept;
  std::size_t KeptBytes = 0;
  std::uint64_t MinServingOffset = 0;
  Observer OnState;
  RecordObserver OnRecord;
  RcuPointer<std::shared_ptr<const ServingConfiguration>> Serving;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CONFIG_CONFIG_STORE_H
