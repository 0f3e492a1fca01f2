// A token bucket that bounds the retries of a node, so that retries can't
// multiply the load during an outage.
#ifndef PERSIMMONQUAY_ROUTING_RETRY_TOKEN_BUCKET_H
#define PERSIMMONQUAY_ROUTING_RETRY_TOKEN_BUCKET_H

#include <atomic>
#include <cstdint>

namespace persimmonquay {

/// Limits retries to a tenth of the calls, plus a burst of at most
/// `MaxSavedRetries` that accumulate while calls succeed. With nine nested
/// calls, the work during an outage is at most 1.1 to the ninth power, that is
/// 2.4 times, the work without retries, once the saved retries are used up.
///
/// Thread-safe, lock-free.
///
/// Example:
///   Bucket.deposit();
///   if (failed() && Bucket.tryWithdraw())
///     retry();
class RetryTokenBucket {
public:
  static constexpr std::int64_t MaxSavedRetries = 10;

  /// Credits a tenth of a retry. Called for the first attempt of each call.
  void deposit() {
    std::int64_t Balance = this->Tokens.load(std::memory_order_relaxed);
    while (Balance < TokensPerRetry * MaxSavedRetries &&
           !this->Tokens.compare_exchange_weak(Balance, Balance + 1,
                                               std::memory_order_relaxed)) {
    }
  }

  /// Takes one retry; returns false when none is left.
  bool tryWithdraw() {
    std::int64_t Balance = this->Tokens.load(std::memory_order_relaxed);
    while (Balance >= TokensPerRetry)
      if (this->Tokens.compare_exchange_weak(Balance, Balance - TokensPerRetry,
                                             std::memory_order_relaxed))
        return true;
    return false;
  }

private:
  static constexpr std::int64_t TokensPerRetry = 10;
  std::atomic<std::int64_t> Tokens = TokensPerRetry * MaxSavedRetries;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_RETRY_TOKEN_BUCKET_H
