#include "persimmonquay/routing/admission_gate.h"

#include <tuple>

namespace persimmonquay {

bool AdmissionGate::MoreImportant::operator()(const Waiter *Left,
                                              const Waiter *Right) const {
  return std::tie(Left->Request.Priority, Left->Request.Deadline,
                  Left->Sequence) < std::tie(Right->Request.Priority,
                                             Right->Request.Deadline,
                                             Right->Sequence);
}

AdmissionGate::AdmissionGate(std::size_t Slots, std::size_t QueueLimit)
    : Slots(Slots), QueueLimit(QueueLimit) {}

AdmissionResult AdmissionGate::acquire(const AdmissionRequest &Request) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (this->Draining)
    return AdmissionResult::Draining;
  if (this->Running < this->Slots) {
    ++this->Running;
    return AdmissionResult::Admitted;
  }
  Waiter Self;
  Self.Request = Request;
  Self.Sequence = this->NextSequence++;
  this->Queue.insert(&Self);
  if (this->Queue.size() > this->QueueLimit)
    this->completeLocked(*this->Queue.rbegin(), AdmissionResult::Shed);
  const bool Completed =
      Self.Wakeup.wait_until(Lock, Request.Deadline, [&] { return Self.Done; });
  if (!Completed)
    this->completeLocked(&Self, AdmissionResult::DeadlineExceeded);
  return Self.Result;
}

void AdmissionGate::release() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  --this->Running;
  this->admitWaitingLocked();
  if (this->Running == 0)
    this->Idle.notify_all();
}

void AdmissionGate::resize(std::size_t NewSlots, std::size_t NewQueueLimit) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Slots = NewSlots;
  this->QueueLimit = NewQueueLimit;
  this->admitWaitingLocked();
}

void AdmissionGate::setDraining(bool Enabled) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Draining = Enabled;
  while (Enabled && !this->Queue.empty())
    this->completeLocked(*this->Queue.begin(), AdmissionResult::Draining);
}

void AdmissionGate::completeLocked(Waiter *Target, AdmissionResult Result) {
  this->Queue.erase(Target);
  Target->Done = true;
  Target->Result = Result;
  Target->Wakeup.notify_one();
}

void AdmissionGate::admitWaitingLocked() {
  while (this->Running < this->Slots && !this->Queue.empty()) {
    ++this->Running;
    this->completeLocked(*this->Queue.begin(), AdmissionResult::Admitted);
  }
}

std::size_t AdmissionGate::running() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Running;
}

std::size_t AdmissionGate::waiting() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Queue.size();
}

bool AdmissionGate::waitUntilIdle(Millis Timeout) const {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  return this->Idle.wait_for(Lock, Timeout, [&] { return this->Running == 0; });
}

} // namespace persimmonquay
