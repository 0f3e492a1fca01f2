// A node's copy of the configuration: the state, recent records for peers that
// are behind, and the compiled form that the request path reads.
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

/// Holds the newest known configuration. Replaces it only by a newer one, and
/// always as a whole. Thread-safe.
///
/// Example:
///   ConfigStore Store;
///   absl::Status Status = Store.applyRecord(Offset, Payload);
///   auto Serving = Store.serving();
class ConfigStore {
public:
  /// Called with each new state that is served, with the store's lock held.
  using StateObserver = std::function<void(const proto::ConfigurationState &)>;

  /// Called with each record before it is applied, with the store's lock held.
  using RecordObserver =
      std::function<void(std::uint64_t Offset, const std::string &Payload)>;

  ConfigStore();

  // Commands.

  /// Sets the observers. Must be called before other threads use the store.
  void setObservers(StateObserver OnState, RecordObserver OnRecord);

  /// Applies the record at `Offset`; ignores it if it is already part of the
  /// state. Returns OutOfRange when earlier records are missing, and DataLoss
  /// when the payload can't be decoded: every node rejects such a record and
  /// continues after it.
  absl::Status applyRecord(std::uint64_t Offset, const std::string &Payload);

  /// Replaces the state by `NewState` if that is newer; ignores it otherwise.
  /// Returns DataLoss when a route in `NewState` refers to a missing service.
  absl::Status installState(const proto::ConfigurationState &NewState);

  /// Raises the minimum offset for serving: a state below it is not served.
  /// Called when the log or a peer has reached `NextOffset`, or when a peer
  /// reports that this node had reached it, so that a restarted node doesn't
  /// serve an older configuration.
  void raiseMinServingOffset(std::uint64_t NextOffset);

  // Queries.

  /// Returns the configuration for the request path; null until the state
  /// reaches the minimum offset for the first time.
  std::shared_ptr<const ServingConfiguration> serving() const;

  proto::ConfigurationState state() const;
  std::uint64_t nextOffset() const;

  /// Returns the offset below which this node serves nothing. Peers that sync
  /// from this node raise their own minimum to it.
  std::uint64_t minServingOffset() const;
  std::uint64_t version() const;

  /// Adds to `Reply` the records from `Offset` on, or the whole state when
  /// these are no longer retained. Adds at most `MaxBytes` of records, but at
  /// least one record.
  void fillSyncReply(std::uint64_t Offset, std::size_t MaxBytes,
                     proto::SyncReply *Reply) const;

  /// Waits for the verdict on the change `Id`; returns nothing on `Timeout`.
  std::optional<proto::AuditEntry> waitForVerdict(const std::string &Id,
                                                  Millis Timeout) const;

  /// Waits until the next offset of the state is greater than `NextOffset`;
  /// returns false on `Timeout`.
  bool waitForOffsetAfter(std::uint64_t NextOffset, Millis Timeout) const;

private:
  struct RetainedRecord {
    std::uint64_t Offset;
    std::string Payload;
  };

  /// Compiles the state for the request path if it may be served, and notifies
  /// waiting threads and the observer.
  void publishLocked();
  void retainRecordLocked(std::uint64_t Offset, const std::string &Payload);

  mutable std::mutex Mutex;
  mutable std::condition_variable Changed;
  proto::ConfigurationState State;
  std::deque<RetainedRecord> RetainedRecords;
  std::size_t RetainedBytes = 0;
  std::uint64_t MinServingOffset = 0;
  StateObserver OnState;
  RecordObserver OnRecord;
  RcuPointer<std::shared_ptr<const ServingConfiguration>> Serving;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CONFIG_CONFIG_STORE_H
