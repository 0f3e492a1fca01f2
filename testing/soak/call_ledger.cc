#include "testing/soak/call_ledger.h"

#include <utility>

namespace persimmonquay::testing {

void CallLedger::add(CallRecord Record) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Calls.push_back(std::move(Record));
}

void CallLedger::addViolation(std::string Description) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Violations.push_back(std::move(Description));
}

std::vector<CallRecord> CallLedger::calls() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Calls;
}

std::vector<std::string> CallLedger::violations() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Violations;
}

std::map<int, int> CallLedger::countByStatus() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  std::map<int, int> Result;
  for (const CallRecord &Call : this->Calls)
    ++Result[Call.Status];
  return Result;
}

} // namespace persimmonquay::testing
