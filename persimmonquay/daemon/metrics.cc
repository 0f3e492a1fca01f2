#include "persimmonquay/daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace persimmonquay {
namespace internal {

constexpr std::array<const char *, 8> RequestOutcomeLabels = {
    "answered",  "upstream_failed", "rejected",  "no_route",
    "malformed", "unknown",         "timed_out", "caller_left"};
constexpr std::array<const char *, 5> AttemptOutcomeLabels = {
    "answered", "busy", "not_run", "lost", "given_up"};
constexpr std::array<const char *, 4> GateActionLabels = {
    "started", "waited", "rejected", "cancelled"};

/// Upper bounds in seconds: from a hop on one host to the longest deadline.
const prometheus::Histogram::BucketBoundaries LatencyBounds = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
    0.1,    0.2,   0.4,    0.8,   1.5,  3.0,   6.0};

double seconds(std::chrono::microseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

prometheus::Histogram &addHistogram(prometheus::Registry &Registry,
                                    const char *Name, const char *Help) {
  return prometheus::BuildHistogram()
      .Name(Name)
      .Help(Help)
      .Register(Registry)
      .Add({}, LatencyBounds);
}

template <std::size_t Size>
void addCounters(prometheus::Registry &Registry, const char *Name,
                 const char *Help, const char *Label,
                 const std::array<const char *, Size> &Values,
                 std::array<prometheus::Counter *, Size> *Counters) {
  auto &Family =
      prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
  for (std::size_t I = 0; I < Size; ++I)
    (*Counters)[I] = &Family.Add({{Label, Values[I]}});
}

} // namespace internal

Metrics::Metrics() : Registry(std::make_unique<prometheus::Registry>()) {
  internal::addCounters(*this->Registry, "pq_requests_total",
                        "Callers' requests by how they ended", "end",
                        internal::RequestOutcomeLabels, &this->Requests);
  auto &OfferFamily = prometheus::BuildCounter()
                          .Name("pq_offers_total")
                          .Help("Offers to upstreams by place and result")
                          .Register(*this->Registry);
  for (std::size_t Place = 0; Place < 2; ++Place)
    for (std::size_t I = 0; I < internal::AttemptOutcomeLabels.size(); ++I)
      this->Offers[Place][I] = &OfferFamily.Add(
          {{"place", Place == 0 ? "elsewhere" : "own_data_centre"},
           {"end", internal::AttemptOutcomeLabels[I]}});
  internal::addCounters<2>(*this->Registry, "pq_repeats_total",
                           "Repeats wanted, by whether the budget had one",
                           "budget", {"spent", "granted"}, &this->Repeats);
  internal::addCounters(*this->Registry, "pq_gate_calls_total",
                        "Calls for the own upstream by what was done", "action",
                        internal::GateActionLabels, &this->Gate);
  internal::addCounters<2>(*this->Registry, "pq_store_calls_total",
                           "Calls to the platform's store by result", "result",
                           {"failed", "served"}, &this->StoreCalls);
  this->RequestSeconds =
      &internal::addHistogram(*this->Registry, "pq_request_seconds",
                              "Time from a request's end to its answer");
  this->GateWaitSeconds = &internal::addHistogram(
      *this->Registry, "pq_gate_wait_seconds",
      "Time that a call waited for a slot of the own upstream");
  this->LoopLagSeconds =
      &internal::addHistogram(*this->Registry, "pq_loop_lag_seconds",
                              "Lateness of a timer of the event loop");
}

Metrics::~Metrics() = default;

void Metrics::recordRequest(RequestOutcome End,
                            std::chrono::microseconds Taken) {
  this->Requests[static_cast<std::size_t>(End)]->Increment();
  this->RequestSeconds->Observe(internal::seconds(Taken));
}

void Metrics::recordAttempt(bool Near, AttemptOutcome End) {
  this->Offers[Near ? 1 : 0][static_cast<std::size_t>(End)]->Increment();
}

void Metrics::recordRetry(bool Allowed) {
  this->Repeats[Allowed ? 1 : 0]->Increment();
}

void Metrics::recordGateAction(GateAction Action) {
  this->Gate[static_cast<std::size_t>(Action)]->Increment();
}

void Metrics::recordGateWait(std::chrono::microseconds Waited) {
  this->GateWaitSeconds->Observe(internal::seconds(Waited));
}

void Metrics::recordStoreCall(bool Served) {
  this->StoreCalls[Served ? 1 : 0]->Increment();
}

void Metrics::recordLoopLag(std::chrono::microseconds Lag) {
  this->LoopLagSeconds->Observe(internal::seconds(Lag));
}

void Metrics::setGauge(const std::string &Name, const std::string &Help,
                       double Value) {
  prometheus::BuildGauge()
      .Name(Name)
      .Help(Help)
      .Register(*this->Registry)
      .Add({})
      .Set(Value);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(this->Registry->Collect());
}

} // namespace persimmonquay
