#include "persimmonquay/mesh/configuration_delta.h"

#include <absl/strings/str_cat.h>
#include <map>
#include <string>
#include <utility>

namespace persimmonquay {
namespace internal {

using RouteKey = std::pair<std::string, std::string>; // host, prefix
using RoutesByKey = std::map<RouteKey, const proto::MeshRoute *>;

RoutesByKey routesOf(const proto::MeshConfiguration &Source) {
  RoutesByKey Result;
  for (const proto::VirtualHost &Host : Source.hosts())
    for (const proto::MeshRoute &Route : Host.routes())
      Result[{Host.host(), Route.path_prefix()}] = &Route;
  return Result;
}

/// Appends a route; the last host is reused when it is the same.
template <typename Hosts>
void appendRoute(const std::string &Host, const proto::MeshRoute &Route,
                 Hosts *Target) {
  if (Target->empty() || Target->rbegin()->host() != Host)
    Target->Add()->set_host(Host);
  *Target->rbegin()->add_routes() = Route;
}

} // namespace internal

proto::ConfigurationDelta makeDelta(const proto::MeshConfiguration &Base,
                                    const proto::MeshConfiguration &Next) {
  proto::ConfigurationDelta Result;
  Result.set_base_version(Base.version());
  Result.set_version(Next.version());
  *Result.mutable_services() = Next.services();
  *Result.mutable_limits() = Next.limits();
  const internal::RoutesByKey Before = internal::routesOf(Base);
  const internal::RoutesByKey After = internal::routesOf(Next);
  for (const auto &[Key, Route] : After) {
    const auto Known = Before.find(Key);
    if (Known == Before.end() ||
        Known->second->SerializeAsString() != Route->SerializeAsString())
      internal::appendRoute(Key.first, *Route, Result.mutable_changed());
  }
  for (const auto &[Key, Route] : Before) {
    if (After.contains(Key))
      continue;
    proto::RemovedRoute *Removed = Result.add_removed();
    Removed->set_host(Key.first);
    Removed->set_path_prefix(Key.second);
  }
  return Result;
}

absl::StatusOr<proto::MeshConfiguration>
applyDelta(const proto::MeshConfiguration &Base,
           const proto::ConfigurationDelta &Delta) {
  if (Base.version() != Delta.base_version())
    return absl::FailedPreconditionError(
        absl::StrCat("the delta is for version ", Delta.base_version(),
                     ", not for ", Base.version()));
  internal::RoutesByKey Routes = internal::routesOf(Base);
  for (const proto::RemovedRoute &Removed : Delta.removed())
    Routes.erase({Removed.host(), Removed.path_prefix()});
  for (const proto::VirtualHost &Host : Delta.changed())
    for (const proto::MeshRoute &Route : Host.routes())
      Routes[{Host.host(), Route.path_prefix()}] = &Route;
  proto::MeshConfiguration Result;
  Result.set_version(Delta.version());
  *Result.mutable_services() = Delta.services();
  *Result.mutable_limits() = Delta.limits();
  for (const auto &[Key, Route] : Routes)
    internal::appendRoute(Key.first, *Route, Result.mutable_hosts());
  return Result;
}

} // namespace persimmonquay
