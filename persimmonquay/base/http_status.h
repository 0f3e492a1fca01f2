// Classes of HTTP status codes (RFC 9110, section 15).
#ifndef PERSIMMONQUAY_BASE_HTTP_STATUS_H
#define PERSIMMONQUAY_BASE_HTTP_STATUS_H

namespace persimmonquay {

/// Returns whether a response with this status ends the exchange.
constexpr bool isFinalStatus(unsigned Status) {
  return Status >= 200 && Status <= 599;
}

/// Returns whether a response with this status announces another one. A change
/// of the protocol (101) doesn't, and is never asked for.
constexpr bool isInterimStatus(unsigned Status) {
  return Status >= 100 && Status <= 199 && Status != 101;
}

/// Returns whether callers take a response with this status for a guarantee
/// that the call has not run and will not run, so that they may repeat it.
constexpr bool impliesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Returns whether an upstream that has run a call and ended it with this
/// status has failed. A status that implies that the call has not run is then
/// wrong.
constexpr bool isUpstreamFailure(unsigned Status) {
  return Status >= 500 || impliesNotRun(Status);
}

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_HTTP_STATUS_H
