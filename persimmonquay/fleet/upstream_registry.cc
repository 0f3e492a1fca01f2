#include "persimmonquay/fleet/upstream_registry.h"

#include <algorithm>
#include <google/protobuf/util/message_differencer.h>

namespace persimmonquay {
namespace internal {

/// Number of departures that are kept. A host has one upstream at a time, and
/// heartbeats are late by seconds, in which only a few can leave.
constexpr int MaxDepartures = 8;

/// Difference between the clocks of a node and of its upstream up to which a
/// departure without a start still covers an upstream that has just started. An
/// upstream that starts again does so later than this: it keeps running for its
/// drain timeout first.
constexpr Millis ClockTolerance{1000};

} // namespace internal

void UpstreamRegistry::recordDeparture(const std::string &InstanceName,
                                       std::uint64_t StartedUpTo) {
  const auto Found =
      std::find_if(this->Departed.begin(), this->Departed.end(),
                   [&InstanceName](const proto::DepartedUpstream &Departure) {
                     return Departure.instance() == InstanceName;
                   });
  if (Found != this->Departed.end()) {
    Found->set_started_up_to_unix_ms(
        std::max<std::uint64_t>(Found->started_up_to_unix_ms(), StartedUpTo));
    return;
  }
  proto::DepartedUpstream *Departure = this->Departed.Add();
  Departure->set_instance(InstanceName);
  Departure->set_started_up_to_unix_ms(StartedUpTo);
  if (this->Departed.size() > internal::MaxDepartures)
    this->Departed.erase(this->Departed.begin());
}

bool UpstreamRegistry::apply(const Heartbeat &Received, MonoTime Now) {
  if (Received.Draining)
    this->recordDeparture(Received.Instance, Received.StartedUnixMs);
  if (Received.StartedUnixMs < this->StartedUnixMs)
    return false;
  const bool IsSameIncarnation =
      Received.StartedUnixMs == this->StartedUnixMs &&
      Received.Instance == this->Instance;
  if (IsSameIncarnation && Received.Sequence <= this->Sequence)
    return false;
  const bool IsDeparted =
      hasDeparted(this->Departed, Received.Instance, Received.StartedUnixMs);
  // An upstream that has deregistered doesn't come back as draining.
  if (IsDeparted && !Received.Draining && !(IsSameIncarnation && this->Current))
    return false;
  if (IsDeparted && IsSameIncarnation && !this->Current)
    return false;
  proto::UpstreamEntry Next;
  Next.set_instance(Received.Instance);
  Next.set_service(Received.Service);
  Next.set_version(Received.Version);
  Next.set_slots(Received.Slots);
  Next.set_started_unix_ms(Received.StartedUnixMs);
  Next.set_draining(IsDeparted);
  this->Instance = Received.Instance;
  this->StartedUnixMs = Received.StartedUnixMs;
  this->Sequence = Received.Sequence;
  this->LastSeenAt = Now;
  const bool Changed =
      !this->Current ||
      !google::protobuf::util::MessageDifferencer::Equals(*this->Current, Next);
  this->Current = std::move(Next);
  return Changed;
}

bool UpstreamRegistry::restore(const proto::UpstreamEntry &Stored,
                               MonoTime Now) {
  if (this->hasSeenUpstream() || Stored.draining() ||
      hasDeparted(this->Departed, Stored.instance(), Stored.started_unix_ms()))
    return false;
  this->Instance = Stored.instance();
  this->StartedUnixMs = Stored.started_unix_ms();
  this->LastSeenAt = Now;
  this->Current = Stored;
  return true;
}

bool UpstreamRegistry::restoreDepartures(const Departures &Remembered) {
  for (const proto::DepartedUpstream &Departure : Remembered)
    this->recordDeparture(Departure.instance(),
                          Departure.started_up_to_unix_ms());
  return this->drainIfDeparted();
}

bool UpstreamRegistry::recordLeaving(const proto::UpstreamEntry &Leaving) {
  this->recordDeparture(Leaving.instance(), Leaving.started_unix_ms());
  return this->drainIfDeparted();
}

bool UpstreamRegistry::drainIfDeparted() {
  if (!this->Current || this->Current->draining() ||
      !hasDeparted(this->Departed, this->Instance, this->StartedUnixMs))
    return false;
  this->Current->set_draining(true);
  return true;
}

bool UpstreamRegistry::deregister(const std::string &LeavingInstance,
                                  std::uint64_t LeavingStartedUnixMs,
                                  WallTime Now) {
  this->HasSeenDeparture = true;
  const bool IsKnownInstance = LeavingInstance == this->Instance;
  std::uint64_t StartedUpTo = LeavingStartedUnixMs;
  if (StartedUpTo == 0)
    StartedUpTo = IsKnownInstance && this->StartedUnixMs != 0
                      ? this->StartedUnixMs
                      : static_cast<std::uint64_t>(
                            unixMillis(Now + internal::ClockTolerance));
  this->recordDeparture(LeavingInstance, StartedUpTo);
  if (!IsKnownInstance || this->StartedUnixMs > StartedUpTo)
    return false;
  const bool Changed = this->Current.has_value();
  this->Current.reset();
  return Changed;
}

bool UpstreamRegistry::expire(Millis MaxSilence, MonoTime Now) {
  if (!this->Current || Now - this->LastSeenAt <= MaxSilence)
    return false;
  this->Current.reset();
  return true;
}

} // namespace persimmonquay
