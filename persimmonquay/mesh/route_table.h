// Finds the route of a call in a configuration.
#ifndef PERSIMMONQUAY_MESH_ROUTE_TABLE_H
#define PERSIMMONQUAY_MESH_ROUTE_TABLE_H

#include "persimmonquay/accounts/account_table.h"
#include "proto/mesh.pb.h"
#include <absl/status/status.h>
#include <string>
#include <string_view>
#include <unordered_map>

namespace persimmonquay {

/// Checks that every host has a name, and that every route has a path prefix
/// that begins and ends with a slash, parts that name defined services, weights
/// whose sum is not 0, and a timeout, and that the client accounts are valid;
/// see `checkAccounts()`. Returns InvalidArgument with the first violation and
/// its route or account.
absl::Status checkConfiguration(const proto::MeshConfiguration &Configuration);

/// The routes of one configuration, indexed by host and path prefix, and its
/// client accounts. Owns the configuration. Immutable, therefore thread-safe.
///
/// Example:
///   RouteTable Table(std::move(Configuration));
///   if (const proto::MeshRoute *Route = Table.find("boards.example", "/v1/7"))
///     serve(*Route);
class RouteTable {
public:
  /// `KeyHashSeed` should be random; see `AccountTable`.
  explicit RouteTable(proto::MeshConfiguration NewConfiguration,
                      std::uint64_t KeyHashSeed = 0);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  /// Returns the route with the longest path prefix that matches
  /// `RequestTarget`, or null. `Host` may include a port, which is ignored, and
  /// is matched case-insensitively. A query in `RequestTarget` is ignored.
  const proto::MeshRoute *find(std::string_view Host,
                               std::string_view RequestTarget) const;

  std::uint64_t version() const { return this->Configuration.version(); }
  const proto::MeshConfiguration &configuration() const {
    return this->Configuration;
  }
  const AccountTable &accounts() const { return this->Accounts; }

private:
  using RoutesByPrefix =
      std::unordered_map<std::string, const proto::MeshRoute *>;

  proto::MeshConfiguration Configuration;
  AccountTable Accounts;
  std::unordered_map<std::string, RoutesByPrefix> RoutesByHost;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MESH_ROUTE_TABLE_H
