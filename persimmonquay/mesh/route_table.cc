#include "persimmonquay/mesh/route_table.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <unordered_set>
#include <utility>

namespace persimmonquay {
namespace internal {

absl::Status checkRoute(const proto::VirtualHost &Host,
                        const proto::MeshRoute &Route,
                        const std::unordered_set<std::string> &Services) {
  const std::string RouteLabel = absl::StrCat(
      "route \"", Route.name(), "\" of host \"", Host.host(), "\"");
  if (!absl::StartsWith(Route.path_prefix(), "/") ||
      !absl::EndsWith(Route.path_prefix(), "/"))
    return absl::InvalidArgumentError(
        absl::StrCat(RouteLabel, ": prefix \"", Route.path_prefix(),
                     "\" does not begin and end with a slash"));
  if (Route.parts().empty())
    return absl::InvalidArgumentError(
        absl::StrCat(RouteLabel, ": no service is given"));
  std::uint64_t WeightSum = 0;
  for (const proto::TrafficPart &Part : Route.parts()) {
    if (!Services.contains(Part.service()))
      return absl::InvalidArgumentError(absl::StrCat(
          RouteLabel, ": service \"", Part.service(), "\" is not defined"));
    WeightSum += Part.weight();
  }
  if (WeightSum == 0)
    return absl::InvalidArgumentError(
        absl::StrCat(RouteLabel, ": the weights of its services add up to 0"));
  if (Route.timeout_ms() == 0)
    return absl::InvalidArgumentError(
        absl::StrCat(RouteLabel, ": the timeout is missing or 0"));
  return absl::OkStatus();
}

} // namespace internal

absl::Status checkConfiguration(const proto::MeshConfiguration &Configuration) {
  std::unordered_set<std::string> Services;
  for (const proto::MeshService &Service : Configuration.services())
    Services.insert(Service.name());
  for (const proto::VirtualHost &Host : Configuration.hosts()) {
    if (Host.host().empty())
      return absl::InvalidArgumentError("a host has no name");
    for (const proto::MeshRoute &Route : Host.routes())
      if (absl::Status Status = internal::checkRoute(Host, Route, Services);
          !Status.ok())
        return Status;
  }
  return checkAccounts(Configuration);
}

RouteTable::RouteTable(proto::MeshConfiguration NewConfiguration,
                       std::uint64_t KeyHashSeed)
    : Configuration(std::move(NewConfiguration)),
      Accounts(this->Configuration, KeyHashSeed) {
  for (const proto::VirtualHost &Host : this->Configuration.hosts()) {
    RoutesByPrefix &Routes =
        this->RoutesByHost[absl::AsciiStrToLower(Host.host())];
    for (const proto::MeshRoute &Route : Host.routes())
      Routes[Route.path_prefix()] = &Route;
  }
}

const proto::MeshRoute *RouteTable::find(std::string_view Host,
                                         std::string_view RequestTarget) const {
  if (const std::size_t Colon = Host.rfind(':'); Colon != Host.npos)
    Host = Host.substr(0, Colon);
  const auto Routes =
      this->RoutesByHost.find(absl::AsciiStrToLower(std::string(Host)));
  if (Routes == this->RoutesByHost.end())
    return nullptr;
  std::string_view Path = RequestTarget.substr(0, RequestTarget.find('?'));
  // Drops one trailing segment at a time, so that the longest prefix is tried
  // first.
  for (std::size_t Slash = Path.rfind('/'); Slash != Path.npos;
       Slash = Path.rfind('/')) {
    if (const auto Match =
            Routes->second.find(std::string(Path.substr(0, Slash + 1)));
        Match != Routes->second.end())
      return Match->second;
    Path = Path.substr(0, Slash);
  }
  return nullptr;
}

} // namespace persimmonquay
