// Counters and histograms of a node, served as text.
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

/// How a caller's request ended.
enum class RequestOutcome {
  Answered,
  UpstreamFailed,
  Rejected,
  NoRoute,
  Malformed,
  Unknown,
  TimedOut,
  CallerDisconnected,
};

/// What an offer to an upstream came to.
enum class AttemptOutcome { Answered, Busy, NotRun, Lost, Abandoned };

/// What the gate did with a call.
enum class GateAction { Started, Waited, Rejected, Cancelled };

/// Names are listed in docs/OPERATIONS.md. Cheap enough for every call.
/// Thread-safe.
class Metrics {
public:
  Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;
  ~Metrics();

  // Commands.

  void recordRequest(RequestOutcome End, std::chrono::microseconds Taken);
  void recordAttempt(bool Near, AttemptOutcome End);
  void recordRetry(bool Allowed);
  void recordGateAction(GateAction Action);
  void recordGateWait(std::chrono::microseconds Waited);
  void recordStoreCall(bool Served);
  void recordLoopLag(std::chrono::microseconds Lag);

  /// Sets a value that is read when metrics are asked for; `Name` is created
  /// on first use.
  void setGauge(const std::string &Name, const std::string &Help, double Value);

  // Queries.

  /// Returns all metrics in the text format of Prometheus.
  std::string text() const;

private:
  std::unique_ptr<prometheus::Registry> Registry;
  std::array<prometheus::Counter *, 8> Requests{};
  std::array<std::array<prometheus::Counter *, 5>, 2> Offers{};
  std::array<prometheus::Counter *, 2> Repeats{};
  std::array<prometheus::Counter *, 4> Gate{};
  std::array<prometheus::Counter *, 2> StoreCalls{};
  prometheus::Histogram *RequestSeconds;
  prometheus::Histogram *GateWaitSeconds;
  prometheus::Histogram *LoopLagSeconds;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_METRICS_H
