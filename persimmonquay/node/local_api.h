// The port for the upstream beside the node: announcements, health, metrics.
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
///   CallReply Reply = Api.serve(Request);
class LocalApi {
public:
  /// `ServesCallers` tells whether the callers' port is open.
  LocalApi(Ingress *OwnIngress, const ConfigStore *Store, const Cluster *Group,
           const Egress *Outer, std::function<bool()> ServesCallers);

  CallReply serve(const CallRequest &Request) const;

private:
  CallReply announce(const CallRequest &Request) const;
  CallReply health() const;
  CallReply metrics() const;

  Ingress *const OwnIngress;
  const ConfigStore *const Store;
  const Cluster *const Group;
  const Egress *const Outer;
  const std::function<bool()> ServesCallers;
};

/// Reads an announcement from JSON; InvalidArgument names the wrong field.
absl::StatusOr<Announcement> parseAnnouncement(const std::string &Text);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_LOCAL_API_H
