// Counters, gauges and histograms of a node, in the text format of Prometheus.
#ifndef PERSIMMONQUAY_DAEMON_METRICS_H
#define PERSIMMONQUAY_DAEMON_METRICS_H

#include "persimmonquay/base/time.h"
#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace persimmonquay {

/// How a caller's request ended (`pq_requests_total`).
enum class RequestOutcome {
  Answered,
  UpstreamFailed,
  Rejected,
  NoRoute,
  Unauthorized,
  Malformed,
  Unknown,
  TimedOut,
  CallerDisconnected,
};

/// How an attempt to have an upstream run a call ended (`pq_offers_total`).
enum class AttemptOutcome { Answered, Busy, NotRun, Lost, Abandoned };

/// What the gate of the local upstream did with a call (`pq_gate_calls_total`).
enum class GateAction { Started, Waited, Rejected, Cancelled, Resent };

/// Kind of a request to the platform's store (`pq_store_requests_total`).
enum class StoreRequest { Read, List, Append };

/// How a request to the store ended (`pq_store_requests_total`).
enum class StoreOutcome { Answered, Refused, NoResponse };

/// The metrics of a node. docs/OPERATIONS.md lists their names. Recording is
/// cheap enough to be done for every call. Thread-safe.
class Metrics {
public:
  Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;
  ~Metrics();

  // Commands.

  void recordRequest(RequestOutcome Outcome,
                     std::chrono::microseconds Duration);
  /// `IsLocal` says whether the upstream is in this node's data centre.
  void recordAttempt(bool IsLocal, AttemptOutcome Outcome);
  /// `WithinBudget` says whether the retry budget admitted the retry.
  void recordRetry(bool WithinBudget);
  void recordGateAction(GateAction Action);
  void recordGateWait(std::chrono::microseconds Duration);
  void recordStoreCall(bool Succeeded);
  void recordStoreRequest(StoreRequest Kind, StoreOutcome Outcome);
  /// Records that the local upstream has ended while it ran calls.
  void recordUpstreamCrash();
  /// Records an answer of the local upstream whose status implies that the call
  /// has not run although the upstream did not state that.
  void recordUnstatedRefusal();
  /// Records how long an answer waited for the link, until all of it had been
  /// given to the kernel.
  void recordLinkWait(std::chrono::microseconds Duration);
  /// Records by how much a timer of the event loop was late.
  void recordLoopLag(std::chrono::microseconds Lag);

  /// Sets a gauge, which is created on first use. For values that are read only
  /// when the metrics are served.
  void setGauge(const std::string &Name, const std::string &Help, double Value);

  // Queries.

  /// Returns all metrics in the text format of Prometheus.
  std::string text() const;

private:
  std::unique_ptr<prometheus::Registry> Registry;
  std::array<prometheus::Counter *, 9> Requests{};
  std::array<std::array<prometheus::Counter *, 5>, 2> Attempts{};
  std::array<prometheus::Counter *, 2> Retries{};
  std::array<prometheus::Counter *, 5> GateActions{};
  std::array<prometheus::Counter *, 2> StoreCalls{};
  std::array<std::array<prometheus::Counter *, 3>, 3> StoreRequests{};
  prometheus::Counter *UpstreamCrashes;
  prometheus::Counter *UnstatedRefusals;
  prometheus::Histogram *RequestSeconds;
  prometheus::Histogram *GateWaitSeconds;
  prometheus::Histogram *LinkWaitSeconds;
  prometheus::Histogram *LoopLagSeconds;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_METRICS_H
