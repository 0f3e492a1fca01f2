// Finds the route of a call in one whole configuration.
#ifndef PERSIMMONQUAY_MESH_ROUTE_TABLE_H
#define PERSIMMONQUAY_MESH_ROUTE_TABLE_H

#include "proto/mesh.pb.h"
#include <absl/status/status.h>
#include <string>
#include <string_view>
#include <unordered_map>

namespace persimmonquay {

/// Checks that every route has a host, a prefix between slashes, parts that
/// name known services, and times that fit each other. Returns InvalidArgument
/// that names the first route that is wrong.
absl::Status checkConfiguration(const proto::MeshConfiguration &Checked);

/// The routes of one configuration, indexed for the request path. Owns the
/// configuration. Immutable, therefore thread-safe.
///
/// Example:
///   RouteTable Table(std::move(Configuration));
///   if (const proto::MeshRoute *Route = Table.find("boards.example", "/v1/7"))
///     serve(*Route);
class RouteTable {
public:
  explicit RouteTable(proto::MeshConfiguration Source);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  /// Returns the route with the longest prefix that begins `Target`, or null.
  /// `Host` may carry a port and is compared without regard to case; a query
  /// in `Target` is ignored.
  const proto::MeshRoute *find(std::string_view Host,
                               std::string_view Target) const;

  std::uint64_t version() const { return this->Configuration.version(); }
  const proto::MeshConfiguration &configuration() const {
    return this->Configuration;
  }

private:
  using ByPrefix = std::unordered_map<std::string, const proto::MeshRoute *>;

  proto::MeshConfiguration Configuration;
  std::unordered_map<std::string, ByPrefix> Hosts;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MESH_ROUTE_TABLE_H
