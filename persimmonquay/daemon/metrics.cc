#include "persimmonquay/daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace persimmonquay {
namespace internal {

// Values of the labels, in the order of the enumerators in metrics.h.

constexpr std::array<const char *, 9> RequestOutcomeLabels = {
    "answered",  "upstream_failed", "rejected",  "no_route",   "unauthorized",
    "malformed", "unknown",         "timed_out", "caller_left"};
constexpr std::array<const char *, 5> AttemptOutcomeLabels = {
    "answered", "busy", "not_run", "lost", "given_up"};
constexpr std::array<const char *, 5> GateActionLabels = {
    "started", "waited", "rejected", "cancelled", "resent"};
constexpr std::array<const char *, 3> StoreRequestLabels = {"read", "list",
                                                            "append"};
constexpr std::array<const char *, 3> StoreOutcomeLabels = {
    "answered", "refused", "no_response"};

/// Upper bounds of the buckets in seconds: from a hop within one host to the
/// longest deadline.
const prometheus::Histogram::BucketBoundaries LatencyBucketBounds = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
    0.1,    0.2,   0.4,    0.8,   1.5,  3.0,   6.0};

double toSeconds(std::chrono::microseconds Duration) {
  return std::chrono::duration<double>(Duration).count();
}

prometheus::Histogram &addHistogram(prometheus::Registry &Registry,
                                    const char *Name, const char *Help) {
  return prometheus::BuildHistogram()
      .Name(Name)
      .Help(Help)
      .Register(Registry)
      .Add({}, LatencyBucketBounds);
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
  auto &AttemptFamily = prometheus::BuildCounter()
                            .Name("pq_offers_total")
                            .Help("Offers to upstreams by place and result")
                            .Register(*this->Registry);
  for (std::size_t IsLocal = 0; IsLocal < 2; ++IsLocal)
    for (std::size_t I = 0; I < internal::AttemptOutcomeLabels.size(); ++I)
      this->Attempts[IsLocal][I] = &AttemptFamily.Add(
          {{"place", IsLocal == 0 ? "elsewhere" : "own_data_centre"},
           {"end", internal::AttemptOutcomeLabels[I]}});
  internal::addCounters<2>(*this->Registry, "pq_repeats_total",
                           "Repeats wanted, by whether the budget had one",
                           "budget", {"spent", "granted"}, &this->Retries);
  internal::addCounters(*this->Registry, "pq_gate_calls_total",
                        "Calls for the own upstream by what was done", "action",
                        internal::GateActionLabels, &this->GateActions);
  internal::addCounters<2>(*this->Registry, "pq_store_calls_total",
                           "Calls to the platform's store by result", "result",
                           {"failed", "served"}, &this->StoreCalls);
  auto &StoreFamily = prometheus::BuildCounter()
                          .Name("pq_store_requests_total")
                          .Help("Requests to the platform's store by result")
                          .Register(*this->Registry);
  for (std::size_t Kind = 0; Kind < internal::StoreRequestLabels.size(); ++Kind)
    for (std::size_t I = 0; I < internal::StoreOutcomeLabels.size(); ++I)
      this->StoreRequests[Kind][I] =
          &StoreFamily.Add({{"request", internal::StoreRequestLabels[Kind]},
                            {"result", internal::StoreOutcomeLabels[I]}});
  this->UpstreamCrashes =
      &prometheus::BuildCounter()
           .Name("pq_upstream_crashes_total")
           .Help("Times that the own upstream ended while it ran calls")
           .Register(*this->Registry)
           .Add({});
  this->UnstatedRefusals =
      &prometheus::BuildCounter()
           .Name("pq_upstream_unstated_refusals_total")
           .Help("Answers of the own upstream with status 408, 421, 429 or 503 "
                 "without a statement that the call has not run")
           .Register(*this->Registry)
           .Add({});
  this->RequestSeconds =
      &internal::addHistogram(*this->Registry, "pq_request_seconds",
                              "Time from a request's end to its answer");
  this->GateWaitSeconds = &internal::addHistogram(
      *this->Registry, "pq_gate_wait_seconds",
      "Time that a call waited for a slot of the own upstream");
  this->LinkWaitSeconds = &internal::addHistogram(
      *this->Registry, "pq_link_wait_seconds",
      "Time from a ready answer to its last byte given to the kernel, of "
      "answers sent in parts");
  this->LoopLagSeconds =
      &internal::addHistogram(*this->Registry, "pq_loop_lag_seconds",
                              "Lateness of a timer of the event loop");
}

Metrics::~Metrics() = default;

void Metrics::recordRequest(RequestOutcome Outcome,
                            std::chrono::microseconds Duration) {
  this->Requests[static_cast<std::size_t>(Outcome)]->Increment();
  this->RequestSeconds->Observe(internal::toSeconds(Duration));
}

void Metrics::recordAttempt(bool IsLocal, AttemptOutcome Outcome) {
  this->Attempts[IsLocal ? 1 : 0][static_cast<std::size_t>(Outcome)]
      ->Increment();
}

void Metrics::recordRetry(bool WithinBudget) {
  this->Retries[WithinBudget ? 1 : 0]->Increment();
}

void Metrics::recordGateAction(GateAction Action) {
  this->GateActions[static_cast<std::size_t>(Action)]->Increment();
}

void Metrics::recordGateWait(std::chrono::microseconds Duration) {
  this->GateWaitSeconds->Observe(internal::toSeconds(Duration));
}

void Metrics::recordStoreCall(bool Succeeded) {
  this->StoreCalls[Succeeded ? 1 : 0]->Increment();
}

void Metrics::recordStoreRequest(StoreRequest Kind, StoreOutcome Outcome) {
  this->StoreRequests[static_cast<std::size_t>(Kind)]
                     [static_cast<std::size_t>(Outcome)]
                         ->Increment();
}

void Metrics::recordUpstreamCrash() { this->UpstreamCrashes->Increment(); }

void Metrics::recordUnstatedRefusal() { this->UnstatedRefusals->Increment(); }

void Metrics::recordLinkWait(std::chrono::microseconds Duration) {
  this->LinkWaitSeconds->Observe(internal::toSeconds(Duration));
}

void Metrics::recordLoopLag(std::chrono::microseconds Lag) {
  this->LoopLagSeconds->Observe(internal::toSeconds(Lag));
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
