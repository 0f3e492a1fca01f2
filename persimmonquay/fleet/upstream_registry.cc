#include "persimmonquay/fleet/upstream_registry.h"

#include <google/protobuf/util/message_differencer.h>

namespace persimmonquay {

bool UpstreamRegistry::apply(const Heartbeat &Beat, MonoTime Now) {
  if (Beat.StartedUnixMs < this->StartedUnixMs)
    return false;
  const bool SameIncarnation = Beat.StartedUnixMs == this->StartedUnixMs &&
                               Beat.Instance == this->Instance;
  if (SameIncarnation && (Beat.Sequence <= this->Sequence || this->Left))
    return false;
  proto::UpstreamEntry Next;
  Next.set_instance(Beat.Instance);
  Next.set_service(Beat.Service);
  Next.set_version(Beat.Version);
  Next.set_slots(Beat.Slots);
  Next.set_started_unix_ms(Beat.StartedUnixMs);
  Next.set_draining(Beat.Draining || (SameIncarnation && this->Current &&
                                      this->Current->draining()));
  this->Instance = Beat.Instance;
  this->StartedUnixMs = Beat.StartedUnixMs;
  this->Sequence = Beat.Sequence;
  this->Left = false;
  this->Heard = Now;
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
  this->Heard = Now;
  this->Current = Stored;
  return true;
}

bool UpstreamRegistry::leave(const std::string &Leaving,
                             std::uint64_t Started) {
  if (this->Instance.empty()) {
    // What is stored of it must not be restored.
    this->Instance = Leaving;
    this->StartedUnixMs = Started;
    this->Left = true;
    return false;
  }
  if (Leaving != this->Instance ||
      (Started != 0 && Started < this->StartedUnixMs))
    return false;
  this->Left = true;
  const bool Changed = this->Current.has_value();
  this->Current.reset();
  return Changed;
}

bool UpstreamRegistry::replaced() {
  const bool Changed = this->Current.has_value();
  this->Current.reset();
  return Changed;
}

bool UpstreamRegistry::expire(Millis Limit, MonoTime Now) {
  if (!this->Current || Now - this->Heard <= Limit)
    return false;
  this->Current.reset();
  return true;
}

} // namespace persimmonquay
