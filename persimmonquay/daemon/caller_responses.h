// The answers that a node gives to callers, and the log lines about them.
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

/// 502 and 504 promise nothing about whether the call ran; 503 promises that it
/// has not run and won't.
inline constexpr unsigned StatusBadGateway = 502;
inline constexpr unsigned StatusUnavailable = 503;
inline constexpr unsigned StatusGatewayTimeout = 504;

/// Retry-After where nothing is known, as when no upstream can be reached: a
/// few times what nodes need to learn of a new upstream.
inline constexpr Millis DefaultRetryAfter{250};

/// Makes the final answer to a call out of what has become of it. Rejected
/// callers are told different times to return, so that they don't come
/// together. Lives on one thread.
class CallerResponses {
public:
  CallerResponses(HeaderNames Words, std::uint64_t Seed);

  /// Returns an upstream's answer for its caller.
  HttpResponse upstreamResponse(const proto::CallReply &Reply) const;

  /// Logs a call that an upstream has answered.
  void logAnswered(const RoutedCall &Asked, const proto::CallReply &Reply,
                   const RouteTarget &From);

  /// Returns a refusal of the node's own and logs why. `RetryAfter` is told
  /// with StatusUnavailable only.
  HttpResponse errorResponse(RoutedCall &Asked, unsigned Status,
                             const std::string &Reason, Millis RetryAfter);

  /// Returns the answer to a call that won't be offered any more: an upstream's
  /// failure, or a refusal that tells whether it may have run.
  HttpResponse failureResponse(RoutedCall &Asked);

private:
  HeaderNames Names;
  std::mt19937_64 Random;
  RateLimiter PlainLines;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CALLER_RESPONSES_H
