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
  Waiter Own;
  Own.Request = Request;
  Own.Sequence = this->NextSequence++;
  this->Queue.insert(&Own);
  if (this->Queue.size() > this->QueueLimit)
    this->decideLocked(*this->Queue.rbegin(), AdmissionResult::Shed);
  const bool Decided = Own.Wakeup.wait_until(Lock, Request.Deadline,
                                             [&] { return Own.Decided; });
  if (!Decided)
    this->decideLocked(&Own, AdmissionResult::DeadlineExceeded);
  return Own.Result;
}

void AdmissionGate::release() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  --this->Running;
  this->admitWaitingLocked();
  if (this->Running == 0)
    this->Idle.notify_all();
}

void AdmissionGate::resize(std::size_t NewSlots, std::size_t NewLimit) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Slots = NewSlots;
  this->QueueLimit = NewLimit;
  this->admitWaitingLocked();
}

void AdmissionGate::setDraining(bool Value) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Draining = Value;
  while (Value && !this->Queue.empty())
    this->decideLocked(*this->Queue.begin(), AdmissionResult::Draining);
}

void AdmissionGate::decideLocked(Waiter *Waiting, AdmissionResult Result) {
  this->Queue.erase(Waiting);
  Waiting->Decided = true;
  Waiting->Result = Result;
  Waiting->Wakeup.notify_one();
}

void AdmissionGate::admitWaitingLocked() {
  while (this->Running < this->Slots && !this->Queue.empty()) {
    ++this->Running;
    this->decideLocked(*this->Queue.begin(), AdmissionResult::Admitted);
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
