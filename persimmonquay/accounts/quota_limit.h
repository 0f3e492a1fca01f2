// The quota of a client account, and the times by which its calls are lent.
#ifndef PERSIMMONQUAY_ACCOUNTS_QUOTA_LIMIT_H
#define PERSIMMONQUAY_ACCOUNTS_QUOTA_LIMIT_H

#include "persimmonquay/base/hashing.h"
#include "persimmonquay/base/time.h"
#include <cstdint>
#include <string_view>

namespace persimmonquay {

/// Hash of an account's name, by which messages refer to it.
using AccountHash = std::uint64_t;

inline AccountHash accountHash(std::string_view Name) {
  return hashBytes(Name);
}

/// Quota over all nodes together.
struct QuotaLimit {
  double RatePerSecond = 0;
  double Burst = 0;

  bool operator==(const QuotaLimit &) const = default;
};

/// How long after its ask was sent a granted call may be spent. Bounds how many
/// calls can be spent beyond the quota in any window: the rate times this.
inline constexpr Millis GrantLifetime{350};

/// Smallest capacity of a bucket, as a time at its rate: nodes ask for several
/// calls at a time, and a smaller bucket would overflow in between.
inline constexpr Millis MinBucketTime{100};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ACCOUNTS_QUOTA_LIMIT_H
