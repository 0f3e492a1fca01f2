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

std::string SmallFleet::resources(int Number) {
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
      Number, R"(", "service": "orders", "priority": "NORMAL",
             "deadline_ms": 1000}]})");
}

std::uint64_t SmallFleet::publishNumber(int Number, std::size_t Through) {
  const CommandResult Published =
      this->publish(this->host(Through), resources(Number));
  REQUIRE_MESSAGE(Published.ExitCode == 0, Published.Output);
  const std::string Marker = "accepted as version ";
  const std::size_t At = Published.Output.find(Marker);
  REQUIRE(At != std::string::npos);
  return std::stoull(Published.Output.substr(At + Marker.size()));
}

void SmallFleet::requireNoneWentBack() const {
  for (const auto &Each : this->hosts()) {
    const auto Versions = appliedVersions(*Each);
    REQUIRE(!Versions.empty());
    CHECK_MESSAGE(std::is_sorted(Versions.begin(), Versions.end()), Each->Name);
  }
}

void SmallFleet::killAndRestart(Host *Restarted) {
  Restarted->Node->signal(SIGKILL);
  REQUIRE(Restarted->Node->wait(Patience).has_value());
  this->startNode(Restarted);
}

std::vector<TcpEndpoint> SmallFleet::callerEndpoints() const {
  std::vector<TcpEndpoint> Endpoints;
  for (const auto &Each : this->hosts())
    Endpoints.push_back(Each->callerEndpoint());
  return Endpoints;
}

} // namespace persimmonquay::testing
