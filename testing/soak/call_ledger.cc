#include "testing/soak/call_ledger.h"

#include <utility>

namespace persimmonquay::testing {

void CallLedger::add(CallRecord Record) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Calls.push_back(std::move(Record));
}

void CallLedger::complain(std::string What) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Complaints.push_back(std::move(What));
}

std::vector<CallRecord> CallLedger::calls() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Calls;
}

std::vector<std::string> CallLedger::complaints() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Complaints;
}

std::map<int, int> CallLedger::countByStatus() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  std::map<int, int> Result;
  for (const CallRecord &Each : this->Calls)
    ++Result[Each.Status];
  return Result;
}

} // namespace persimmonquay::testing
