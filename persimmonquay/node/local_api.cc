#include "persimmonquay/node/local_api.h"

#include "persimmonquay/config/config_store.h"
#include "persimmonquay/node/egress.h"
#include "persimmonquay/peer/cluster.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <utility>

namespace persimmonquay {
namespace internal {

CallResponse textResponse(int Status, std::string Text) {
  CallResponse Response;
  Response.Status = Status;
  Response.Headers.push_back(HeaderField{"Content-Type", "text/plain"});
  Response.Body = std::move(Text);
  return Response;
}

/// Collects the metrics for one response to Prometheus.
class Scrape {
public:
  void counter(const std::string &Name, const std::string &Help,
               std::uint64_t Value) {
    prometheus::BuildCounter()
        .Name(Name)
        .Help(Help)
        .Register(this->Registry)
        .Add({})
        .Increment(static_cast<double>(Value));
  }

  void gauge(const std::string &Name, const std::string &Help, double Value) {
    prometheus::BuildGauge()
        .Name(Name)
        .Help(Help)
        .Register(this->Registry)
        .Add({})
        .Set(Value);
  }

  std::string text() const {
    return prometheus::TextSerializer().Serialize(this->Registry.Collect());
  }

private:
  prometheus::Registry Registry;
};

} // namespace internal

absl::StatusOr<Announcement> parseAnnouncement(const std::string &Text) {
  const auto Value = nlohmann::json::parse(Text, nullptr, false);
  if (!Value.is_object())
    return absl::InvalidArgumentError("the announcement is no JSON object");
  Announcement NewAnnouncement;
  try {
    NewAnnouncement.Service = Value.value("service", "");
    NewAnnouncement.Version = Value.value("version", "");
    NewAnnouncement.Address = Value.value("address", "");
    NewAnnouncement.Port = Value.value("port", std::uint16_t{0});
    NewAnnouncement.Slots = Value.value("slots", std::uint32_t{0});
    NewAnnouncement.Boot = Value.value("boot", "");
    NewAnnouncement.Draining = Value.value("draining", false);
  } catch (const nlohmann::json::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
  return NewAnnouncement;
}

LocalApi::LocalApi(Ingress *LocalIngress, const ConfigStore *Store,
                   const Cluster *PeerCluster, const Egress *CallerEgress,
                   std::function<bool()> ServesCallers)
    : LocalIngress(LocalIngress), Store(Store), PeerCluster(PeerCluster),
      CallerEgress(CallerEgress), ServesCallers(std::move(ServesCallers)) {}

CallResponse LocalApi::serve(const CallRequest &Request) const {
  const std::string_view Path = pathOf(Request);
  if (Path == "/announce" && Request.Method == "POST")
    return this->announce(Request);
  if (Path == "/healthz")
    return this->health();
  if (Path == "/metrics")
    return this->metrics();
  return internal::textResponse(404, "unknown path\n");
}

CallResponse LocalApi::announce(const CallRequest &Request) const {
  const auto NewAnnouncement = parseAnnouncement(Request.Body);
  const absl::Status Status =
      NewAnnouncement.ok() ? this->LocalIngress->announce(*NewAnnouncement)
                           : NewAnnouncement.status();
  if (!Status.ok())
    return internal::textResponse(400, std::string(Status.message()) + "\n");
  return internal::textResponse(200, "ok\n");
}

CallResponse LocalApi::health() const {
  if (!this->ServesCallers())
    return internal::textResponse(503, "callers are not served yet\n");
  return internal::textResponse(200, "ok\n");
}

CallResponse LocalApi::metrics() const {
  internal::Scrape Values;
  const EgressCounts &Calls = this->CallerEgress->counts();
  const ClusterTraffic Traffic = this->PeerCluster->traffic();
  Values.counter("pq_calls_answered_total", "Calls answered by an upstream.",
                 Calls.Answered);
  Values.counter("pq_calls_not_run_total", "Calls refused as not run.",
                 Calls.NotRun);
  Values.counter("pq_calls_unknown_total", "Calls whose outcome is not known.",
                 Calls.Unknown);
  Values.counter("pq_retries_total", "Tries after the first.", Calls.Retries);
  Values.counter("pq_tries_at_new_version_total",
                 "Tries at the new version of an active move.",
                 Calls.NewVersionAttempts);
  Values.counter("pq_control_bytes_sent_total",
                 "Bytes sent to other nodes for control.", Traffic.BytesSent);
  Values.counter("pq_control_bytes_received_total",
                 "Bytes received from other nodes for control.",
                 Traffic.BytesReceived);
  Values.counter("pq_control_datagrams_sent_total",
                 "Datagrams sent to other nodes.", Traffic.DatagramsSent);
  Values.counter("pq_syncs_total", "Times state was fetched from a peer.",
                 Traffic.Syncs);
  Values.gauge("pq_config_version", "Configuration version in force.",
               static_cast<double>(this->Store->version()));
  Values.gauge("pq_upstream_load",
               "Calls running and waiting at the own upstream.",
               this->LocalIngress->load());
  const std::vector<proto::Member> Members = this->PeerCluster->members();
  Values.gauge("pq_members", "Members known.",
               static_cast<double>(Members.size()));
  const auto Serving =
      std::count_if(Members.begin(), Members.end(), [](const auto &Member) {
        return Member.state() <= proto::SUSPECT && !Member.service().empty() &&
               !Member.draining();
      });
  Values.gauge("pq_upstreams", "Upstreams known that take calls.",
               static_cast<double>(Serving));
  return internal::textResponse(200, Values.text());
}

} // namespace persimmonquay
