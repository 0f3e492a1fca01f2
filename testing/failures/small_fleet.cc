#include "testing/failures/small_fleet.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>

namespace persimmonquay::testing {

SmallFleet::SmallFleet(const std::string &ExtraSettings)
    : TestFleet(3, absl::StrCat("\"probe_interval_ms\": 300, "
                                "\"suspicion_ms\": 1000, "
                                "\"announcement_lease_ms\": 1500",
                                ExtraSettings.empty() ? "" : ", ",
                                ExtraSettings)) {
  for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre)
    for (const char *Service : {"gallery", "orders"})
      this->addHost({DataCentre, Service});
}

std::string SmallFleet::resources(int Variant) {
  return absl::StrCat(
      R"({"services": [{"name": "gallery", "active_version": "v1"},
                       {"name": "orders", "active_version": "v1"}],
          "routes": [
            {"name": "catalogue", "path_prefix": "/catalogue",
             "service": "gallery", "priority": "CRITICAL",
             "deadline_ms": 3000},
            {"name": "orders", "path_prefix": "/orders", "service": "orders",
             "priority": "NORMAL", "deadline_ms": 4000},
            {"name": "extra", "path_prefix": "/extra)",
      Variant, R"(", "service": "orders", "priority": "NORMAL",
             "deadline_ms": 1000}]})");
}

std::uint64_t SmallFleet::publishVariant(int Variant, std::size_t HostIndex) {
  const CommandResult Result =
      this->publish(this->host(HostIndex), resources(Variant));
  REQUIRE_MESSAGE(Result.ExitCode == 0, Result.Output);
  const std::string Marker = "accepted as version ";
  const std::size_t MarkerPosition = Result.Output.find(Marker);
  REQUIRE(MarkerPosition != std::string::npos);
  return std::stoull(Result.Output.substr(MarkerPosition + Marker.size()));
}

void SmallFleet::requireVersionsNeverDecrease() const {
  for (const auto &Host : this->hosts()) {
    const auto Versions = appliedVersions(*Host);
    REQUIRE(!Versions.empty());
    CHECK_MESSAGE(std::is_sorted(Versions.begin(), Versions.end()), Host->Name);
  }
}

void SmallFleet::killAndRestart(Host *Target) {
  Target->Node->signal(SIGKILL);
  REQUIRE(Target->Node->wait(WaitTimeout).has_value());
  this->startNode(Target);
}

std::vector<TcpEndpoint> SmallFleet::callerEndpoints() const {
  std::vector<TcpEndpoint> Endpoints;
  for (const auto &Host : this->hosts())
    Endpoints.push_back(Host->callerEndpoint());
  return Endpoints;
}

} // namespace persimmonquay::testing
