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
inline constexpr char KeyHeader[] = "idempotency-key";

enum class Outcome {
  /// The upstream answered and the whole answer was passed on.
  Answered,
  /// The call did not run and will not run.
  NotRun,
  /// The call may have run, be running, or not have run.
  Unknown,
};

/// What is known of one try at an upstream, from which the outcome follows.
enum class TryEnd {
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
constexpr Outcome outcomeOf(TryEnd End) {
  switch (End) {
  case TryEnd::Answered:
    return Outcome::Answered;
  case TryEnd::NothingSent:
  case TryEnd::RefusedByNode:
  case TryEnd::RefusedByUpstream:
    return Outcome::NotRun;
  case TryEnd::AnswerLost:
    break;
  }
  return Outcome::Unknown;
}

/// How a call may be repeated.
enum class Repeatability {
  /// Running it twice has the effect of running it once.
  Idempotent,
  /// Runs at most once, and its key tells repetitions apart.
  Keyed,
  /// Runs at most once and is handed to an upstream at most once.
  Once,
};

/// Returns whether another try is safe after one that ended so.
constexpr bool mayRetry(TryEnd End, Repeatability Kind) {
  switch (End) {
  case TryEnd::Answered:
    return false;
  case TryEnd::NothingSent:
  case TryEnd::RefusedByNode:
    return true;
  case TryEnd::RefusedByUpstream:
    return Kind != Repeatability::Once;
  case TryEnd::AnswerLost:
    break;
  }
  return Kind == Repeatability::Idempotent;
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
