// A whole system as separate processes on the loopback network.
#ifndef PERSIMMONQUAY_TESTING_FLEET_FLEET_H
#define PERSIMMONQUAY_TESTING_FLEET_FLEET_H

#include "persimmonquay/base/time.h"
#include "testing/fleet/http.h"
#include "testing/fleet/process.h"
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonquay::testing {

/// One host: a node with its upstream.
struct HostSpec {
  std::size_t DataCentre = 0;
  std::string Service;
  std::string Version = "v1";
  /// Options of the upstream stand-in, for example {"work_ms", "5"}.
  std::map<std::string, std::string> UpstreamOptions = {};
};

/// A running host.
struct Host {
  HostSpec Spec;
  std::string Name;
  std::string Address;
  std::unique_ptr<Process> Node;
  std::unique_ptr<Process> Upstream;

  TcpEndpoint callerEndpoint() const { return {this->Address, 7001}; }
  TcpEndpoint ingressEndpoint() const { return {this->Address, 7002}; }
  TcpEndpoint localEndpoint() const { return {this->Address, 7003}; }
  TcpEndpoint operatorEndpoint() const { return {this->Address, 7005}; }
  TcpEndpoint upstreamEndpoint() const { return {this->Address, 7010}; }
};

/// What a command printed and returned.
struct CommandResult {
  int ExitCode = -1;
  std::string Output;
};

/// Starts the log, the links between data centres, and hosts; stops them all
/// at its end. Data centre I has the addresses 127.(base + I).0.x; other data
/// centres reach it, and all reach the log, through the link stand-in.
///
/// Not thread-safe, but for the const methods.
///
/// Example:
///   TestFleet Running(3);
///   Running.addHost({0, "gallery"});
///   Running.startAll();
class TestFleet {
public:
  /// Whether nodes are told of others by their settings.
  enum class SeedNodes { Configured, None };

  explicit TestFleet(std::size_t DataCentres, std::string ExtraSettings = "",
                     SeedNodes Seeds = SeedNodes::Configured);
  TestFleet(const TestFleet &) = delete;
  TestFleet &operator=(const TestFleet &) = delete;
  ~TestFleet();

  // Commands.

  /// Adds a host; it is started at once if `startAll()` has been called.
  Host &addHost(const HostSpec &Spec);

  /// Starts everything and waits until every node knows all hosts.
  void startAll();

  void startNode(Host *Started);
  void startUpstream(Host *Started);

  /// Sends a fault to a stand-in.
  void controlLog(const std::string &Query) const;

  /// Returns the number of records that were ever appended to a stream.
  double appendedRecordCount(const std::string &Stream) const;
  void controlLink(const std::string &Link, const std::string &Query) const;
  static void controlUpstream(const Host &To, const std::string &Query);

  /// Cuts or restores all links between `DataCentre` and the others.
  void setPeerLinksCut(std::size_t DataCentre, bool Cut) const;
  /// Cuts or restores the link between `DataCentre` and the log.
  void setLogLinkCut(std::size_t DataCentre, bool Cut) const;

  /// Runs the operators' command line against the node of `Through`.
  CommandResult runCommand(const Host &Through,
                           const std::vector<std::string> &Words) const;

  /// Publishes `Text` as a file of resources and requires that it is accepted.
  CommandResult publish(const Host &Through, const std::string &Text) const;

  // Queries.

  Host &host(std::size_t Index) { return *this->Hosts[Index]; }
  std::vector<std::unique_ptr<Host>> &hosts() { return this->Hosts; }
  const std::vector<std::unique_ptr<Host>> &hosts() const {
    return this->Hosts;
  }

  /// Returns every host of `Service` and `Version`.
  std::vector<Host *> hostsRunning(const std::string &Service,
                                   const std::string &Version = "v1") const;

  /// Waits until all running nodes know this many upstreams that take calls.
  bool waitForUpstreams(std::size_t Count, Millis Timeout) const;

  /// Waits until the metric `Name` has this value on all running nodes.
  bool waitForMetric(const std::string &Name, std::size_t Value,
                     Millis Timeout) const;

  /// Waits until all nodes have applied `Version` or a later one and serve
  /// callers.
  bool waitForVersion(std::uint64_t Version, Millis Timeout) const;

  /// Returns when a node applied each version, from its own log.
  static std::map<std::uint64_t, WallTime> appliedTimes(const Host &Of);

  /// Returns the versions a node has applied, in order, from its own log.
  static std::vector<std::uint64_t> appliedVersions(const Host &Of);

  /// Returns how often each key ran, over all upstreams.
  std::map<std::string, int> runCountsByKey() const;

  const std::string &directory() const { return this->Directory; }
  std::string dataCentreName(std::size_t Index) const;

  /// Returns the address by which the hosts of a data centre reach the log.
  TcpEndpoint logEndpoint(std::size_t DataCentre) const;

private:
  std::string program(const std::string &Name) const;
  std::string addressOf(std::size_t DataCentre, std::size_t Index) const;
  std::string linkPrefix(std::size_t From, std::size_t To) const;
  std::string logAddress(std::size_t DataCentre) const;
  std::string settingsOf(const Host &Of) const;
  void startLog();
  void startLinks();

  std::size_t DataCentres;
  std::string ExtraSettings;
  SeedNodes Seeds;
  int Base = 0;
  int GuardSocket = -1;
  std::string Directory;
  bool Started = false;
  std::vector<std::size_t> HostsIn;
  std::unique_ptr<Process> Log;
  std::unique_ptr<Process> Links;
  std::vector<std::unique_ptr<Host>> Hosts;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FLEET_FLEET_H
