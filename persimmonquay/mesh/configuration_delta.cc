#include "persimmonquay/mesh/configuration_delta.h"

#include <absl/strings/str_cat.h>
#include <map>
#include <string>
#include <utility>

namespace persimmonquay {
namespace internal {

using RouteKey = std::pair<std::string, std::string>; // host, prefix
using RoutesByKey = std::map<RouteKey, const proto::MeshRoute *>;

RoutesByKey indexRoutes(const proto::MeshConfiguration &Configuration) {
  RoutesByKey Result;
  for (const proto::VirtualHost &Host : Configuration.hosts())
    for (const proto::MeshRoute &Route : Host.routes())
      Result[{Host.host(), Route.path_prefix()}] = &Route;
  return Result;
}

using AccountsByName = std::map<std::string, const proto::ClientAccount *>;

AccountsByName indexAccounts(const proto::MeshConfiguration &Configuration) {
  AccountsByName Result;
  for (const proto::ClientAccount &Account : Configuration.accounts())
    Result[Account.name()] = &Account;
  return Result;
}

/// Appends `Route` to the last host of the list if that is `Host`, else to a
/// new entry for `Host`. Routes of one host must therefore follow each other.
template <typename HostListType>
void appendRoute(const std::string &Host, const proto::MeshRoute &Route,
                 HostListType *HostList) {
  if (HostList->empty() || HostList->rbegin()->host() != Host)
    HostList->Add()->set_host(Host);
  *HostList->rbegin()->add_routes() = Route;
}

} // namespace internal

proto::ConfigurationDelta makeDelta(const proto::MeshConfiguration &Base,
                                    const proto::MeshConfiguration &Next) {
  proto::ConfigurationDelta Result;
  Result.set_base_version(Base.version());
  Result.set_version(Next.version());
  *Result.mutable_services() = Next.services();
  *Result.mutable_limits() = Next.limits();
  const internal::RoutesByKey BaseRoutes = internal::indexRoutes(Base);
  const internal::RoutesByKey NextRoutes = internal::indexRoutes(Next);
  for (const auto &[Key, Route] : NextRoutes) {
    const auto BaseRoute = BaseRoutes.find(Key);
    if (BaseRoute == BaseRoutes.end() ||
        BaseRoute->second->SerializeAsString() != Route->SerializeAsString())
      internal::appendRoute(Key.first, *Route, Result.mutable_changed());
  }
  for (const auto &[Key, Route] : BaseRoutes) {
    if (NextRoutes.contains(Key))
      continue;
    proto::RemovedRoute *Removed = Result.add_removed();
    Removed->set_host(Key.first);
    Removed->set_path_prefix(Key.second);
  }
  const internal::AccountsByName BaseAccounts = internal::indexAccounts(Base);
  const internal::AccountsByName NextAccounts = internal::indexAccounts(Next);
  for (const auto &[Name, Account] : NextAccounts) {
    const auto BaseAccount = BaseAccounts.find(Name);
    if (BaseAccount == BaseAccounts.end() ||
        BaseAccount->second->SerializeAsString() !=
            Account->SerializeAsString())
      *Result.add_changed_accounts() = *Account;
  }
  for (const auto &[Name, Account] : BaseAccounts)
    if (!NextAccounts.contains(Name))
      Result.add_removed_accounts(Name);
  return Result;
}

absl::StatusOr<proto::MeshConfiguration>
applyDelta(const proto::MeshConfiguration &Base,
           const proto::ConfigurationDelta &Delta) {
  if (Base.version() != Delta.base_version())
    return absl::FailedPreconditionError(
        absl::StrCat("delta applies to version ", Delta.base_version(),
                     ", but the base has version ", Base.version()));
  internal::RoutesByKey Routes = internal::indexRoutes(Base);
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
  internal::AccountsByName Accounts = internal::indexAccounts(Base);
  for (const std::string &Name : Delta.removed_accounts())
    Accounts.erase(Name);
  for (const proto::ClientAccount &Account : Delta.changed_accounts())
    Accounts[Account.name()] = &Account;
  for (const auto &[Name, Account] : Accounts)
    *Result.add_accounts() = *Account;
  return Result;
}

} // namespace persimmonquay
