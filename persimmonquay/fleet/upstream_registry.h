// What the upstream beside a node has said of itself.
#ifndef PERSIMMONQUAY_FLEET_UPSTREAM_REGISTRY_H
#define PERSIMMONQUAY_FLEET_UPSTREAM_REGISTRY_H

#include "persimmonquay/base/time.h"
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
  /// Grows with each heartbeat of one incarnation.
  std::uint64_t Sequence = 0;
  /// Start of the incarnation, in Unix milliseconds.
  std::uint64_t StartedUnixMs = 0;
  /// How much longer the upstream is slow after its start.
  Millis ColdRemaining{0};
};

/// Keeps the newest incarnation of the upstream. Heartbeats that arrive late,
/// out of order or from an earlier incarnation change nothing. An incarnation
/// that has said that it drains or leaves takes no calls again.
///
/// Pure; not thread-safe.
///
/// Example:
///   if (Registry.apply(Beat, Now))
///     announce(Registry.upstream());
class UpstreamRegistry {
public:
  // Commands; each returns whether `upstream()` has changed.

  bool apply(const Heartbeat &Beat, MonoTime Now);

  /// Takes over what was stored of the upstream before this node's start;
  /// unless a heartbeat has come since. Its next heartbeat replaces this.
  bool restore(const proto::UpstreamEntry &Stored, MonoTime Now);

  /// The upstream leaves. `StartedUnixMs` is 0 where it isn't stated.
  bool leave(const std::string &Instance, std::uint64_t StartedUnixMs);

  /// Another upstream answers at its address.
  bool replaced();

  /// Withdraws an upstream that has been silent for longer than `Limit`.
  bool expire(Millis Limit, MonoTime Now);

  // Queries.

  /// Returns the upstream, or none while no one is registered.
  const std::optional<proto::UpstreamEntry> &upstream() const {
    return this->Current;
  }

  /// Returns whether an upstream has ever registered or left here.
  bool isHeardOf() const { return !this->Instance.empty(); }

private:
  std::optional<proto::UpstreamEntry> Current;
  std::string Instance;
  std::uint64_t StartedUnixMs = 0;
  std::uint64_t Sequence = 0;
  bool Left = false;
  MonoTime Heard;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_UPSTREAM_REGISTRY_H
