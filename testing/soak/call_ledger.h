// What callers saw of each call, to be held against what upstreams saw.
#ifndef PERSIMMONQUAY_TESTING_SOAK_CALL_LEDGER_H
#define PERSIMMONQUAY_TESTING_SOAK_CALL_LEDGER_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace persimmonquay::testing {

/// One attempt of a caller and its end.
struct CallRecord {
  std::string Id;
  bool Idempotent = true;
  /// 0: the connection ended without a whole answer.
  int Status = 0;
};

/// Collects calls and broken promises from any thread.
class CallLedger {
public:
  void add(CallRecord Record);

  /// Records a broken promise; the text names the call or the node.
  void complain(std::string What);

  std::vector<CallRecord> calls();
  std::vector<std::string> complaints();
  std::map<int, int> countByStatus();

private:
  std::mutex Mutex;
  std::vector<CallRecord> Calls;
  std::vector<std::string> Complaints;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_SOAK_CALL_LEDGER_H
