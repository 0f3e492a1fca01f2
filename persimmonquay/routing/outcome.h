// The outcome of a call as reported to its caller, the results of its attempts,
// and which attempts may be retried.
#ifndef PERSIMMONQUAY_ROUTING_OUTCOME_H
#define PERSIMMONQUAY_ROUTING_OUTCOME_H

#include <string_view>

namespace persimmonquay {

/// Carries the outcome of a call on every response that was written by a node
/// instead of an upstream.
inline constexpr char OutcomeHeader[] = "x-pq-outcome";

/// Remaining time of a call in milliseconds; shrinks along a chain of calls.
inline constexpr char DeadlineHeader[] = "x-pq-deadline-ms";

/// Key of a non-idempotent call: "<creation time in Unix ms>-<unique text>".
inline constexpr char IdempotencyKeyHeader[] = "idempotency-key";

/// What is known of a call after its last attempt.
enum class Outcome {
  /// The upstream responded and its whole response was passed on.
  Answered,
  /// The call did not run and will not run.
  NotRun,
  /// The call may have run, be running, or not have run.
  Unknown,
};

/// The result of one attempt to run a call at an upstream.
enum class AttemptResult {
  Answered,
  /// No byte of the call was sent.
  NothingSent,
  /// The upstream's node refused the call before passing it to the upstream.
  RefusedByNode,
  /// The upstream itself responded that it did not run the call.
  RefusedByUpstream,
  /// The call was sent, at least in part, and no complete response arrived.
  ResponseLost,
};

/// Returns the outcome to report to the caller. Outcomes are decided nowhere
/// else.
constexpr Outcome outcomeOf(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Answered:
    return Outcome::Answered;
  case AttemptResult::NothingSent:
  case AttemptResult::RefusedByNode:
  case AttemptResult::RefusedByUpstream:
    return Outcome::NotRun;
  case AttemptResult::ResponseLost:
    break;
  }
  return Outcome::Unknown;
}

/// How safe it is to retry a call.
enum class RetrySafety {
  /// Running the call twice has the effect of running it once.
  Idempotent,
  /// Must run at most once; its idempotency key identifies repeated requests.
  Keyed,
  /// Must run at most once and is handed to an upstream at most once.
  NonIdempotent,
};

/// Returns whether another attempt is safe after one that ended with `Result`.
constexpr bool mayRetry(AttemptResult Result, RetrySafety Safety) {
  switch (Result) {
  case AttemptResult::Answered:
    return false;
  case AttemptResult::NothingSent:
  case AttemptResult::RefusedByNode:
    return true;
  case AttemptResult::RefusedByUpstream:
    return Safety != RetrySafety::NonIdempotent;
  case AttemptResult::ResponseLost:
    break;
  }
  return Safety == RetrySafety::Idempotent;
}

/// Returns the value of OutcomeHeader for `Value`.
constexpr std::string_view outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROUTING_OUTCOME_H
