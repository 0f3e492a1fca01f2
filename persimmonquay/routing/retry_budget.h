// Bound on the retries of a node, so that retries can't multiply an outage.
#ifndef PERSIMMONQUAY_ROUTING_RETRY_BUDGET_H
#define PERSIMMONQUAY_ROUTING_RETRY_BUDGET_H

#include <atomic>
#include <cstdint>

namespace persimmonquay {

/// Each call earns a tenth of a retry; at most `MaxSaved` are saved up. Over a
/// chain of nine calls the work under an outage is at most 1.1 to the ninth
/// power, 2.4 times that without retries, once the saved ones are spent.
///
/// Thread-safe, without locks.
///
/// Example:
///   Budget.deposit();
///   if (failed() && Budget.tryWithdraw())
///     retry();
class RetryBudget {
public:
  /// Retries that may be saved up while calls succeed.
  static constexpr std::int64_t MaxSaved = 10;

  /// Records one first try.
  void deposit() {
    std::int64_t Known = this->Tenths.load(std::memory_order_relaxed);
    while (Known < TenthsPerRetry * MaxSaved &&
           !this->Tenths.compare_exchange_weak(Known, Known + 1,
                                               std::memory_order_relaxed)) {
    }
  }

  /// Takes one retry; returns false when none is left.
  bool tryWithdraw() {
    std::int64_t Known = this->Tenths.load(std::memory_order_relaxed);
    while (Known >= TenthsPerRetry)
      if (this->Tenths.compare_exchange_weak(Known, Known - TenthsPerRetry,
                                             std::memory_order_relaxed))
        return true;
    return false;
  }

private:
  static constexpr std::int64_t TenthsPerRetry = 10;
  std::atomic<std::int64_t> Tenths = TenthsPerRetry * MaxSaved;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_RETRY_BUDGET_H
