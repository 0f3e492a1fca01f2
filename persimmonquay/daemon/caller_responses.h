// Responses to callers, and the log lines about them.
#ifndef PERSIMMONQUAY_DAEMON_CALLER_RESPONSES_H
#define PERSIMMONQUAY_DAEMON_CALLER_RESPONSES_H

#include "persimmonquay/base/line_writer.h"
#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/header_names.h"
#include "proto/link.pb.h"
#include <cstdint>
#include <random>
#include <string>

namespace persimmonquay {

struct RoutedCall;
struct RouteTarget;

/// The call has no key of a client account; callers don't retry it.
inline constexpr unsigned StatusUnauthorized = 401;

/// The account is beyond its quota; the call has not run and will not run.
inline constexpr unsigned StatusTooManyRequests = 429;

/// 502 and 504 leave open whether the call ran. 503 guarantees that it has not
/// run and will not run.
inline constexpr unsigned StatusBadGateway = 502;
inline constexpr unsigned StatusUnavailable = 503;
inline constexpr unsigned StatusGatewayTimeout = 504;

/// Retry-After if no better value is known, for example when no upstream is
/// reachable: a few times as long as nodes take to learn about a new upstream.
inline constexpr Millis DefaultRetryAfter{250};

/// Builds the final response to a call from the outcome of its attempts.
/// Randomizes Retry-After, so that rejected callers do not all retry at the
/// same time. Confined to one thread.
class CallerResponses {
public:
  CallerResponses(HeaderNames ResponseHeaders, std::uint64_t Seed);

  /// Converts an upstream's reply to the response for the caller.
  HttpResponse upstreamResponse(const proto::CallReply &Reply) const;

  /// Logs a call that an upstream has answered. Calls that were on time and
  /// arrived at one upstream only are rate-limited.
  void logAnswered(const RoutedCall &Call, const proto::CallReply &Reply,
                   const RouteTarget &Target);

  /// Returns an error response of this node and logs the reason. `RetryAfter`
  /// is sent with StatusUnavailable and StatusTooManyRequests only. Lines about
  /// the latter are rate-limited.
  HttpResponse errorResponse(RoutedCall &Call, unsigned Status,
                             const std::string &Reason, Millis RetryAfter);

  /// Returns the response to a call that will not be offered again: an
  /// upstream's error response, or an error response whose status tells whether
  /// the call may have run. An upstream's status that implies that the call has
  /// not run is replaced by 502, without the upstream's signature.
  HttpResponse failureResponse(RoutedCall &Call);

private:
  HeaderNames Headers;
  std::mt19937_64 Random;
  RateLimiter SuccessLogLimit;
  RateLimiter QuotaLogLimit;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CALLER_RESPONSES_H
