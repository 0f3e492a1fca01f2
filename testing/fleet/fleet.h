// A fleet of nodes and upstreams with its log and network links, as separate
// processes on loopback addresses.
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

/// What runs on a host: a node and, if `Service` is not empty, an upstream.
struct HostSpec {
  std::size_t DataCentre = 0;
  std::string Service;
  std::string Version = "v1";
  /// Further options of the upstream stand-in, for example {"work_ms", "5"}.
  std::map<std::string, std::string> UpstreamOptions = {};
};

/// A host, its processes and the endpoints on which they listen.
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

/// Exit code and output of a command.
struct CommandResult {
  /// -N if signal N ended the command; -1 also if it timed out.
  int ExitCode = -1;
  std::string Output;
};

/// Runs the log, the links between data centres, and hosts, and stops all of
/// them when it is destroyed. Hosts in data centre I have the addresses
/// 127.(BaseOctet + I).0.x. Other data centres reach them, and all hosts reach
/// the log, through the link stand-in.
///
/// Only the const methods are thread-safe.
///
/// Example:
///   TestFleet Fleet(3);
///   Fleet.addHost({0, "gallery"});
///   Fleet.startAll();
class TestFleet {
public:
  /// Whether the settings of the nodes list seed addresses of other nodes.
  enum class SeedNodes { Configured, None };

  explicit TestFleet(std::size_t DataCentres, std::string ExtraSettings = "",
                     SeedNodes Seeds = SeedNodes::Configured);
  TestFleet(const TestFleet &) = delete;
  TestFleet &operator=(const TestFleet &) = delete;
  ~TestFleet();

  // Commands.

  /// Adds a host and, if `startAll()` has been called, starts it.
  Host &addHost(const HostSpec &Spec);

  /// Starts all processes, waits until every node knows all hosts and then
  /// until it knows all upstreams. Throws std::runtime_error if either takes
  /// longer than 60 seconds.
  void startAll();

  void startNode(Host *Target);
  void startUpstream(Host *Target);

  /// Sends `Query`, for example "outage=1", to the control interface of the
  /// log; `controlLink()` and `controlUpstream()` do so for the others.
  void controlLog(const std::string &Query) const;

  /// Returns how many records have been appended to a stream of the log so far,
  /// expired ones included.
  double appendedRecordCount(const std::string &Stream) const;
  void controlLink(const std::string &Link, const std::string &Query) const;
  static void controlUpstream(const Host &Target, const std::string &Query);

  /// Cuts or restores all links between `DataCentre` and the other data
  /// centres.
  void setPeerLinksCut(std::size_t DataCentre, bool Cut) const;
  /// Cuts or restores the link between `DataCentre` and the log.
  void setLogLinkCut(std::size_t DataCentre, bool Cut) const;

  /// Runs an operator's command against the node of `Target`, for at most two
  /// minutes.
  CommandResult runCommand(const Host &Target,
                           const std::vector<std::string> &Arguments) const;

  /// Publishes a file of resources through the node of `Target`. The caller
  /// must check the result.
  CommandResult publish(const Host &Target, const std::string &Resources) const;

  // Queries.

  Host &host(std::size_t Index) { return *this->Hosts[Index]; }
  std::vector<std::unique_ptr<Host>> &hosts() { return this->Hosts; }
  const std::vector<std::unique_ptr<Host>> &hosts() const {
    return this->Hosts;
  }

  /// Returns every host of `Service` and `Version`.
  std::vector<Host *> hostsRunning(const std::string &Service,
                                   const std::string &Version = "v1") const;

  /// Waits until every running node knows exactly `Count` upstreams that accept
  /// calls. Like the other waits, returns false after `Timeout`.
  bool waitForUpstreams(std::size_t Count, Millis Timeout) const;

  /// Waits until the metric `Name` equals `Value` on all running nodes.
  bool waitForMetric(const std::string &Name, std::size_t Value,
                     Millis Timeout) const;

  /// Waits until all running nodes have applied `Version` or a later one and
  /// serve callers.
  bool waitForVersion(std::uint64_t Version, Millis Timeout) const;

  /// Returns the time at which a node applied each version, from its log file.
  static std::map<std::uint64_t, WallTime> appliedTimes(const Host &NodeHost);

  /// Returns the versions that a node has applied, in order, from its log file.
  static std::vector<std::uint64_t> appliedVersions(const Host &NodeHost);

  /// Returns how often each idempotency key has run, over all upstreams.
  std::map<std::string, int> runCountsByKey() const;

  /// Returns the directory of the settings, log and trace files of the
  /// processes.
  const std::string &directory() const { return this->Directory; }
  std::string dataCentreName(std::size_t Index) const;

  /// Returns the endpoint at which the hosts of a data centre reach the log.
  TcpEndpoint logEndpoint(std::size_t DataCentre) const;

private:
  std::string programPath(const std::string &Name) const;
  std::string hostAddress(std::size_t DataCentre, std::size_t Index) const;
  /// Returns the first two octets of the addresses at which hosts of `Source`
  /// reach the hosts of `Destination`.
  std::string linkPrefix(std::size_t Source, std::size_t Destination) const;
  std::string logAddress(std::size_t DataCentre) const;
  std::string nodeSettings(const Host &NodeHost) const;
  void startLog();
  void startLinks();

  std::size_t DataCentres;
  std::string ExtraSettings;
  SeedNodes Seeds;
  /// Second octet of the addresses in data centre 0.
  int BaseOctet = 0;
  /// Reserves the range of addresses; see `bindGuard()`.
  int GuardSocket = -1;
  std::string Directory;
  bool Started = false;
  /// Number of hosts in each data centre.
  std::vector<std::size_t> HostCounts;
  std::unique_ptr<Process> Log;
  std::unique_ptr<Process> Links;
  std::vector<std::unique_ptr<Host>> Hosts;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FLEET_FLEET_H
