#include "persimmonquay/fleet/upstream_registry.h"

#include <google/protobuf/util/message_differencer.h>

namespace persimmonquay {

bool UpstreamRegistry::apply(const Heartbeat &Received, MonoTime Now) {
  if (Received.StartedUnixMs < this->StartedUnixMs)
    return false;
  const bool SameIncarnation = Received.StartedUnixMs == this->StartedUnixMs &&
                               Received.Instance == this->Instance;
  if (SameIncarnation &&
      (Received.Sequence <= this->Sequence || this->Deregistered))
    return false;
  proto::UpstreamEntry Next;
  Next.set_instance(Received.Instance);
  Next.set_service(Received.Service);
  Next.set_version(Received.Version);
  Next.set_slots(Received.Slots);
  Next.set_started_unix_ms(Received.StartedUnixMs);
  Next.set_draining(Received.Draining || (SameIncarnation && this->Current &&
                                          this->Current->draining()));
  this->Instance = Received.Instance;
  this->StartedUnixMs = Received.StartedUnixMs;
  this->Sequence = Received.Sequence;
  this->Deregistered = false;
  this->LastSeenAt = Now;
  const bool Changed =
      !this->Current ||
      !google::protobuf::util::MessageDifferencer::Equals(*this->Current, Next);
  this->Current = std::move(Next);
  return Changed;
}

bool UpstreamRegistry::restore(const proto::UpstreamEntry &Stored,
                               MonoTime Now) {
  if (!this->Instance.empty() || Stored.draining())
    return false;
  this->Instance = Stored.instance();
  this->StartedUnixMs = Stored.started_unix_ms();
  this->LastSeenAt = Now;
  this->Current = Stored;
  return true;
}

bool UpstreamRegistry::deregister(const std::string &LeavingInstance,
                                  std::uint64_t LeavingStartedUnixMs) {
  if (this->Instance.empty()) {
    // Keeps the stored entry of this upstream from being restored.
    this->Instance = LeavingInstance;
    this->StartedUnixMs = LeavingStartedUnixMs;
    this->Deregistered = true;
    return false;
  }
  if (LeavingInstance != this->Instance ||
      (LeavingStartedUnixMs != 0 && LeavingStartedUnixMs < this->StartedUnixMs))
    return false;
  this->Deregistered = true;
  const bool Changed = this->Current.has_value();
  this->Current.reset();
  return Changed;
}

bool UpstreamRegistry::withdrawReplaced() {
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
