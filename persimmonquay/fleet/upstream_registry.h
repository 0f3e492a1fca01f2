// Tracks the local upstream: the one beside this node, which registers with it.
#ifndef PERSIMMONQUAY_FLEET_UPSTREAM_REGISTRY_H
#define PERSIMMONQUAY_FLEET_UPSTREAM_REGISTRY_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/fleet/departures.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <optional>
#include <string>

namespace persimmonquay {

/// One heartbeat of an upstream.
struct Heartbeat {
  std::string Instance;
  std::string Service;
  std::string Version;
  std::uint32_t Slots = 0;
  bool Draining = false;
  /// Increases with each heartbeat of an incarnation.
  std::uint64_t Sequence = 0;
  /// Start of the incarnation, in Unix milliseconds.
  std::uint64_t StartedUnixMs = 0;
  /// Remaining time for which the upstream is slow after its start.
  Millis ColdRemaining{0};
};

/// Keeps the newest incarnation of the local upstream. Heartbeats that arrive
/// late, out of order or from an earlier incarnation are ignored.
///
/// Handles an upstream that leaves while the node restarts, in any order of
/// stored entry, heartbeats, announcement of the departure and restarts: an
/// incarnation that has reported draining or has deregistered never takes new
/// calls again. Departures are kept apart from the current upstream, so that
/// they also bind for upstreams that this run has not heard of, and can be
/// stored and restored.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   if (Registry.apply(Received, Now))
///     announce(Registry.upstream());
class UpstreamRegistry {
public:
  // Commands; each returns whether `upstream()` has changed.

  /// Applies a heartbeat received at `Now`.
  bool apply(const Heartbeat &Received, MonoTime Now);

  /// Restores the upstream that was stored before this node's start. Does
  /// nothing if the stored upstream was draining or has departed, or if an
  /// upstream has sent a heartbeat or deregistered since. The next heartbeat
  /// replaces the restored entry.
  bool restore(const proto::UpstreamEntry &Stored, MonoTime Now);

  /// Adds departures that an earlier run of this node has stored or has told
  /// other nodes.
  bool restoreDepartures(const Departures &Remembered);

  /// Withdraws the upstream that deregisters; a later incarnation stays.
  /// `LeavingStartedUnixMs` is 0 if the upstream did not state its start. In
  /// that case, and if no incarnation of the instance is known, every
  /// incarnation that started before about `Now` has departed.
  bool deregister(const std::string &LeavingInstance,
                  std::uint64_t LeavingStartedUnixMs, WallTime Now);

  /// Records that an upstream has said in a response that it leaves. It drains
  /// from now on.
  bool recordLeaving(const proto::UpstreamEntry &Leaving);

  /// Withdraws the upstream if its last heartbeat is older than `MaxSilence`.
  bool expire(Millis MaxSilence, MonoTime Now);

  // Queries.

  /// Returns the registered upstream, if any.
  const std::optional<proto::UpstreamEntry> &upstream() const {
    return this->Current;
  }

  /// Returns whether an upstream has registered, deregistered or been restored
  /// since this node's start.
  bool hasSeenUpstream() const {
    return !this->Instance.empty() || this->HasSeenDeparture;
  }

  /// Returns whether a heartbeat comes from the registered upstream.
  bool isRegistered(const Heartbeat &Received) const {
    return this->Current && this->Instance == Received.Instance &&
           this->StartedUnixMs == Received.StartedUnixMs;
  }

  /// Returns whether no newer heartbeat of the registered upstream has arrived.
  bool isLatest(const Heartbeat &Received) const {
    return this->isRegistered(Received) && this->Sequence == Received.Sequence;
  }

  /// Returns when the last heartbeat that counts arrived.
  MonoTime lastSeenAt() const { return this->LastSeenAt; }

  /// Returns the latest departures, oldest first.
  const Departures &departures() const { return this->Departed; }

private:
  /// Marks the upstream as draining if it has departed; returns whether that
  /// has changed it.
  bool drainIfDeparted();
  /// Records that the incarnations of an instance that started up to
  /// `StartedUpTo` have departed.
  void recordDeparture(const std::string &InstanceName,
                       std::uint64_t StartedUpTo);

  std::optional<proto::UpstreamEntry> Current;
  /// The newest incarnation, kept after it is withdrawn.
  std::string Instance;
  std::uint64_t StartedUnixMs = 0;
  std::uint64_t Sequence = 0;
  Departures Departed;
  bool HasSeenDeparture = false;
  MonoTime LastSeenAt;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_UPSTREAM_REGISTRY_H
