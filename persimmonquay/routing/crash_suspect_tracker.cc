#include "persimmonquay/routing/crash_suspect_tracker.h"

namespace persimmonquay {

CrashSuspectTracker::StartResult
CrashSuspectTracker::start(std::uint64_t Fingerprint,
                           std::uint64_t CrashCount) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (CrashCount >= CrashRefusalThreshold)
    return StartResult::Refused;
  const bool IsSuspect = CrashCount > 0;
  if (IsSuspect && this->SuspectRunning)
    return StartResult::MustWait;
  RunningRequest &Request = this->Running[Fingerprint];
  ++Request.Count;
  Request.IsSuspect |= IsSuspect;
  this->SuspectRunning |= IsSuspect;
  return StartResult::Started;
}

void CrashSuspectTracker::end(std::uint64_t Fingerprint) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Running.find(Fingerprint);
  if (Found == this->Running.end() || --Found->second.Count > 0)
    return;
  if (Found->second.IsSuspect)
    this->SuspectRunning = false;
  this->Running.erase(Found);
  this->Changed.notify_all();
}

std::vector<std::uint64_t> CrashSuspectTracker::onUpstreamCrash() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<std::uint64_t> AllRunning;
  std::vector<std::uint64_t> Suspects;
  for (const auto &[Fingerprint, Request] : this->Running) {
    AllRunning.push_back(Fingerprint);
    if (Request.IsSuspect)
      Suspects.push_back(Fingerprint);
  }
  this->Running.clear();
  this->SuspectRunning = false;
  this->Changed.notify_all();
  return Suspects.empty() ? AllRunning : Suspects;
}

std::size_t CrashSuspectTracker::running() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Running.size();
}

void CrashSuspectTracker::waitForChange(MonoTime Deadline) const {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (this->SuspectRunning)
    this->Changed.wait_until(Lock, Deadline);
}

} // namespace persimmonquay
