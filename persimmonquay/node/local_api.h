// HTTP API for the node's own upstream and for monitoring.
#ifndef PERSIMMONQUAY_NODE_LOCAL_API_H
#define PERSIMMONQUAY_NODE_LOCAL_API_H

#include "persimmonquay/node/call.h"
#include "persimmonquay/node/ingress.h"
#include <absl/status/statusor.h>
#include <functional>
#include <string>

namespace persimmonquay {

class Cluster;
class ConfigStore;
class Egress;

/// Serves
///   POST /announce  {"service", "version", "address", "port", "slots", "boot",
///                    "draining"}
///   GET  /healthz   200 when the node serves callers, else 503
///   GET  /metrics   Prometheus text
///
/// Thread-safe. Example:
///   CallResponse Response = Api.serve(Request);
class LocalApi {
public:
  /// `ServesCallers` returns whether the callers' port is open.
  LocalApi(Ingress *LocalIngress, const ConfigStore *Store,
           const Cluster *PeerCluster, const Egress *CallerEgress,
           std::function<bool()> ServesCallers);

  CallResponse serve(const CallRequest &Request) const;

private:
  CallResponse announce(const CallRequest &Request) const;
  CallResponse health() const;
  CallResponse metrics() const;

  Ingress *const LocalIngress;
  const ConfigStore *const Store;
  const Cluster *const PeerCluster;
  const Egress *const CallerEgress;
  const std::function<bool()> ServesCallers;
};

/// Parses an announcement from JSON. Returns InvalidArgument when `Text` is not
/// a JSON object or a field has the wrong type.
absl::StatusOr<Announcement> parseAnnouncement(const std::string &Text);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_LOCAL_API_H
