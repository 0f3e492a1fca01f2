// How a call ended, as callers are told in the header OutcomeHeader.
#ifndef PERSIMMONQUAY_ROUTING_OUTCOME_H
#define PERSIMMONQUAY_ROUTING_OUTCOME_H

#include <string_view>

namespace persimmonquay {

/// Names the outcome of every answer that a node, not an upstream, wrote.
inline constexpr char OutcomeHeader[] = "x-pq-outcome";

/// Remaining time of a call in milliseconds; shrinks along a chain of calls.
inline constexpr char DeadlineHeader[] = "x-pq-deadline-ms";

/// Key of a non-idempotent call: "<creation time in Unix ms>-<unique text>".
inline constexpr char IdempotencyKeyHeader[] = "idempotency-key";

enum class Outcome {
  /// The upstream answered and the whole answer was passed on.
  Answered,
  /// The call did not run and will not run.
  NotRun,
  /// The call may have run, be running, or not have run.
  Unknown,
};

/// What is known of one try at an upstream, from which the outcome follows.
enum class AttemptResult {
  Answered,
  /// No byte of the call was sent.
  NothingSent,
  /// The node beside the upstream refused before it passed the call on.
  RefusedByNode,
  /// The upstream itself answered that it did not run the call.
  RefusedByUpstream,
  /// The call was sent, at least in part, and no whole answer came back.
  AnswerLost,
};

/// The one rule by which outcomes are told; nothing else decides them.
constexpr Outcome outcomeOf(AttemptResult End) {
  switch (End) {
  case AttemptResult::Answered:
    return Outcome::Answered;
  case AttemptResult::NothingSent:
  case AttemptResult::RefusedByNode:
  case AttemptResult::RefusedByUpstream:
    return Outcome::NotRun;
  case AttemptResult::AnswerLost:
    break;
  }
  return Outcome::Unknown;
}

/// How a call may be repeated.
enum class RetrySafety {
  /// Running it twice has the effect of running it once.
  Idempotent,
  /// Runs at most once, and its key tells repetitions apart.
  Keyed,
  /// Runs at most once and is handed to an upstream at most once.
  NonIdempotent,
};

/// Returns whether another try is safe after one that ended so.
constexpr bool mayRetry(AttemptResult End, RetrySafety Kind) {
  switch (End) {
  case AttemptResult::Answered:
    return false;
  case AttemptResult::NothingSent:
  case AttemptResult::RefusedByNode:
    return true;
  case AttemptResult::RefusedByUpstream:
    return Kind != RetrySafety::NonIdempotent;
  case AttemptResult::AnswerLost:
    break;
  }
  return Kind == RetrySafety::Idempotent;
}

/// Returns the header's value.
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
