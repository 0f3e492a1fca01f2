// Names of the HTTP headers between callers, nodes and upstreams.
#ifndef PERSIMMONQUAY_DAEMON_HEADER_NAMES_H
#define PERSIMMONQUAY_DAEMON_HEADER_NAMES_H

#include <string>

namespace persimmonquay {

/// The names depend on the deployment; the defaults are those of this project.
struct HeaderNames {
  /// Identifies one attempt of a caller; returned in the response.
  std::string RequestId = "x-pq-request-id";
  /// Remaining time in milliseconds that the caller waits.
  std::string DeadlineRemaining = "x-pq-deadline-ms";
  /// In a response: proves that it comes from the upstream itself. Required on
  /// success.
  std::string ResponseSignature = "x-pq-proof";
  /// Instance that the request is addressed to; any other one responds with
  /// 421.
  std::string ExpectedInstance = "x-pq-instance";
  /// In the response to a health check: the instance that responds.
  std::string RespondingInstance = "x-pq-answering-instance";
  /// In a response: running calls, queued calls and slots of the upstream.
  std::string ServerLoad = "x-pq-load";
  /// In a response: calls a second that the upstream takes from all nodes
  /// together, as a decimal number.
  std::string ServerLimit = "x-pq-limit";
  /// In a response, with the value "1": the upstream leaves.
  std::string ServerLeaving = "x-pq-leaving";
  /// In a response: the upstream did not run the call.
  std::string NotExecuted = "x-pq-not-run";
  /// Service of the host that the call comes from.
  std::string CallingService = "x-pq-calling-service";
  /// Name of the client account that the caller's key belongs to.
  std::string Account = "x-pq-account";
  /// In the response to a health check: how many milliseconds longer the
  /// upstream is cold.
  std::string ColdRemaining = "x-pq-cold-ms";
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_HEADER_NAMES_H
