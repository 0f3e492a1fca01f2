// Records the outcome of each call at its caller, to be compared with the
// requests that the upstreams have received.
#ifndef PERSIMMONQUAY_TESTING_SOAK_CALL_LEDGER_H
#define PERSIMMONQUAY_TESTING_SOAK_CALL_LEDGER_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace persimmonquay::testing {

/// A call and its outcome at the caller.
struct CallRecord {
  std::string Id;
  bool Idempotent = true;
  /// 0 when the connection ended before a complete response.
  int Status = 0;
};

/// Collects calls and violated guarantees. Thread-safe.
class CallLedger {
public:
  void add(CallRecord Record);

  /// Records a violated guarantee. `Description` names the call or the node.
  void addViolation(std::string Description);

  std::vector<CallRecord> calls();
  std::vector<std::string> violations();
  std::map<int, int> countByStatus();

private:
  std::mutex Mutex;
  std::vector<CallRecord> Calls;
  std::vector<std::string> Violations;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_SOAK_CALL_LEDGER_H
