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
  const std::string Name = absl::StrCat("route \"", Route.name(),
                                        "\" of host \"", Host.host(), "\"");
  if (!absl::StartsWith(Route.path_prefix(), "/") ||
      !absl::EndsWith(Route.path_prefix(), "/"))
    return absl::InvalidArgumentError(
        absl::StrCat(Name, ": prefix \"", Route.path_prefix(),
                     "\" does not begin and end with a slash"));
  if (Route.parts().empty())
    return absl::InvalidArgumentError(absl::StrCat(Name, ": no service"));
  std::uint64_t Weights = 0;
  for (const proto::TrafficPart &Part : Route.parts()) {
    if (!Services.contains(Part.service()))
      return absl::InvalidArgumentError(absl::StrCat(
          Name, ": service \"", Part.service(), "\" is not defined"));
    Weights += Part.weight();
  }
  if (Weights == 0)
    return absl::InvalidArgumentError(
        absl::StrCat(Name, ": the weights add up to 0"));
  if (Route.timeout_ms() == 0)
    return absl::InvalidArgumentError(absl::StrCat(Name, ": no timeout"));
  return absl::OkStatus();
}

} // namespace internal

absl::Status checkConfiguration(const proto::MeshConfiguration &Checked) {
  std::unordered_set<std::string> Services;
  for (const proto::MeshService &Service : Checked.services())
    Services.insert(Service.name());
  for (const proto::VirtualHost &Host : Checked.hosts()) {
    if (Host.host().empty())
      return absl::InvalidArgumentError("a host has no name");
    for (const proto::MeshRoute &Route : Host.routes())
      if (absl::Status Status = internal::checkRoute(Host, Route, Services);
          !Status.ok())
        return Status;
  }
  return absl::OkStatus();
}

RouteTable::RouteTable(proto::MeshConfiguration Source)
    : Configuration(std::move(Source)) {
  for (const proto::VirtualHost &Host : this->Configuration.hosts()) {
    ByPrefix &Routes = this->Hosts[absl::AsciiStrToLower(Host.host())];
    for (const proto::MeshRoute &Route : Host.routes())
      Routes[Route.path_prefix()] = &Route;
  }
}

const proto::MeshRoute *RouteTable::find(std::string_view Host,
                                         std::string_view Target) const {
  if (const std::size_t Colon = Host.rfind(':'); Colon != Host.npos)
    Host = Host.substr(0, Colon);
  const auto Routes =
      this->Hosts.find(absl::AsciiStrToLower(std::string(Host)));
  if (Routes == this->Hosts.end())
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find('?'));
  // Shortens the path by one segment at a time, so that the longest prefix is
  // met first.
  for (std::size_t Slash = Path.rfind('/'); Slash != Path.npos;
       Slash = Path.rfind('/')) {
    if (const auto Found =
            Routes->second.find(std::string(Path.substr(0, Slash + 1)));
        Found != Routes->second.end())
      return Found->second;
    Path = Path.substr(0, Slash);
  }
  return nullptr;
}

} // namespace persimmonquay
