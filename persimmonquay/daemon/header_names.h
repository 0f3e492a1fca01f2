// Names of the HTTP headers that callers and upstreams exchange with a node.
#ifndef PERSIMMONQUAY_DAEMON_HEADER_NAMES_H
#define PERSIMMONQUAY_DAEMON_HEADER_NAMES_H

#include <string>

namespace persimmonquay {

/// The names differ between deployments; the defaults are the product's own.
struct HeaderNames {
  /// Identifies one attempt of a caller; echoed in the answer.
  std::string RequestId = "x-pq-request-id";
  /// Milliseconds that the caller still waits.
  std::string DeadlineRemaining = "x-pq-deadline-ms";
  /// In an answer: proves that it is the upstream's own. Required on success.
  std::string ResponseSignature = "x-pq-proof";
  /// Upstream that is meant; another one answers 421.
  std::string ExpectedInstance = "x-pq-instance";
  /// In the answer to a health check: the upstream that answers.
  std::string RespondingInstance = "x-pq-answering-instance";
  /// In an answer: the upstream's running and waiting calls and slots.
  std::string ServerLoad = "x-pq-load";
  /// In an answer: the upstream did not run the call.
  std::string NotExecuted = "x-pq-not-run";
  /// Service of the host on which the call began.
  std::string CallingService = "x-pq-calling-service";
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_HEADER_NAMES_H
