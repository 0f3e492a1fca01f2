#include "persimmonquay/routing/crash_suspect_tracker.h"

namespace persimmonquay {

CrashSuspectTracker::StartResult
CrashSuspectTracker::start(std::uint64_t Fingerprint, std::uint64_t Deaths) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (Deaths >= CrashRefusalThreshold)
    return StartResult::Refused;
  const bool Suspect = Deaths > 0;
  if (Suspect && this->SuspectRuns)
    return StartResult::MustWait;
  Run &Added = this->Running[Fingerprint];
  ++Added.Copies;
  Added.Suspect |= Suspect;
  this->SuspectRuns |= Suspect;
  return StartResult::Started;
}

void CrashSuspectTracker::end(std::uint64_t Fingerprint) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Running.find(Fingerprint);
  if (Found == this->Running.end() || --Found->second.Copies > 0)
    return;
  if (Found->second.Suspect)
    this->SuspectRuns = false;
  this->Running.erase(Found);
  this->Changed.notify_all();
}

std::vector<std::uint64_t> CrashSuspectTracker::onUpstreamCrash() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<std::uint64_t> All;
  std::vector<std::uint64_t> Suspects;
  for (const auto &[Fingerprint, Run] : this->Running) {
    All.push_back(Fingerprint);
    if (Run.Suspect)
      Suspects.push_back(Fingerprint);
  }
  this->Running.clear();
  this->SuspectRuns = false;
  this->Changed.notify_all();
  return Suspects.empty() ? All : Suspects;
}

std::size_t CrashSuspectTracker::running() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Running.size();
}

void CrashSuspectTracker::waitForChange(MonoTime Deadline) const {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (this->SuspectRuns)
    this->Changed.wait_until(Lock, Deadline);
}

} // namespace persimmonquay
