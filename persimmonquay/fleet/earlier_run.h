// What a node that has started again has heard of its earlier runs.
//
// Handles an upstream that left while an earlier run of its node was there, and
// whose heartbeat from before arrives late: the departure may be on the store,
// or only at the other nodes, because the store was down.
#ifndef PERSIMMONQUAY_FLEET_EARLIER_RUN_H
#define PERSIMMONQUAY_FLEET_EARLIER_RUN_H

namespace persimmonquay {

/// What may be done with a heartbeat that reports an upstream as ready.
enum class HeartbeatTrust {
  /// More may be heard soon.
  Wait,
  /// All departures are known, as far as anyone remembers them.
  Trusted,
  /// A departure may have been forgotten: only the upstream itself can tell.
  Unverified,
};

/// Collects where departures may be remembered. Does no I/O and reads no clock.
/// Not thread-safe.
class EarlierRun {
public:
  // Commands.

  /// Records that the stored entries have been read, and whether there are
  /// other nodes among them.
  void recordStoredEntries(bool HasOtherNodes) {
    this->HasReadStore = true;
    this->HasOtherNodes = HasOtherNodes;
  }

  /// Records that an earlier run has stored an entry.
  void recordOwnStoredEntry() { this->HasStoredEntry = true; }

  /// Records that another node has said what it knows of this one. `Remembers`
  /// says whether it has heard of an earlier run.
  void recordReply(bool Remembers) {
    this->HasReply = true;
    this->IsRemembered = this->IsRemembered || Remembers;
  }

  // Queries.

  /// Returns what to do with a heartbeat. `HasWaited` says whether the time to
  /// wait for the store and for other nodes is over.
  HeartbeatTrust trust(bool HasWaited) const {
    if (this->HasReadStore && this->IsRemembered)
      return HeartbeatTrust::Trusted;
    // There was no earlier run, unless it was never able to store its entry.
    const bool IsNew = this->HasReadStore && !this->HasStoredEntry;
    if (IsNew && (this->HasReply || !this->HasOtherNodes))
      return HeartbeatTrust::Trusted;
    if (HasWaited && this->IsRemembered)
      return HeartbeatTrust::Trusted;
    const bool NobodyToAsk = this->HasReadStore && !this->HasOtherNodes;
    return HasWaited || NobodyToAsk ? HeartbeatTrust::Unverified
                                    : HeartbeatTrust::Wait;
  }

  /// Returns whether the stored entries have been read and an earlier run's is
  /// among them: all nodes of that time are known then, and know this one.
  bool knowsMesh() const { return this->HasReadStore && this->HasStoredEntry; }

  /// Returns whether the stored entries have been read or another node has
  /// replied.
  bool hasJoined() const { return this->HasReadStore || this->HasReply; }

private:
  bool HasReadStore = false;
  bool HasOtherNodes = false;
  bool HasStoredEntry = false;
  bool HasReply = false;
  bool IsRemembered = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_EARLIER_RUN_H
