#include "testing/fleet/fleet.h"

#include "persimmonquay/base/checked_json.h"
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace persimmonquay::testing {
namespace {

namespace fs = std::filesystem;

/// Each fleet reserves this many second octets of 127.0.0.0/8 for its
/// addresses.
constexpr int OctetsPerFleet = 24;
constexpr int MinOctet = 2;
/// One past the last octet that a fleet may use.
constexpr int OctetEnd = 250;
/// Offset of the octets used by links; those below it belong to data centres.
constexpr int LinkOctetOffset = 8;
constexpr std::uint16_t GuardPort = 6999;
constexpr std::uint16_t LogPort = 7000;
constexpr std::uint16_t LinkControlPort = 6998;
/// Number of hosts that may be added to each data centre after the start.
constexpr std::size_t SpareHostsPerDataCentre = 2;
constexpr Millis StartTimeout{60000};

/// Binds the guard port at `Address`, so that other test programs on this
/// machine choose another range of addresses. Returns the socket, or -1 if the
/// port is taken.
int bindGuard(const std::string &Address) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(GuardPort);
  inet_pton(AF_INET, Address.c_str(), &SocketAddress.sin_addr);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&SocketAddress),
           sizeof(SocketAddress)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

} // namespace

TestFleet::TestFleet(std::size_t DataCentres, std::string ExtraSettings,
                     SeedNodes Seeds)
    : DataCentres(DataCentres), ExtraSettings(std::move(ExtraSettings)),
      Seeds(Seeds), HostCounts(DataCentres, 0) {
  for (int FirstOctet = MinOctet;
       FirstOctet + OctetsPerFleet <= OctetEnd && this->GuardSocket < 0;
       FirstOctet += OctetsPerFleet) {
    this->BaseOctet = FirstOctet;
    this->GuardSocket = bindGuard(absl::StrCat("127.", FirstOctet, ".255.1"));
  }
  if (this->GuardSocket < 0)
    throw std::runtime_error("no range of loopback addresses is free");
  std::string DirectoryTemplate =
      (fs::temp_directory_path() / "persimmonquay-XXXXXX").string();
  this->Directory = mkdtemp(DirectoryTemplate.data());
}

TestFleet::~TestFleet() {
  this->Hosts.clear();
  this->Links.reset();
  this->Log.reset();
  close(this->GuardSocket);
  if (std::getenv("PQ_KEEP_FILES") == nullptr)
    fs::remove_all(this->Directory);
}

std::string TestFleet::programPath(const std::string &Name) const {
  return (fs::read_symlink("/proc/self/exe").parent_path() / Name).string();
}

std::string TestFleet::dataCentreName(std::size_t Index) const {
  return absl::StrCat("dc", Index);
}

std::string TestFleet::hostAddress(std::size_t DataCentre,
                                   std::size_t Index) const {
  return absl::StrCat("127.", this->BaseOctet + static_cast<int>(DataCentre),
                      ".0.", Index + 1);
}

std::string TestFleet::linkPrefix(std::size_t Source,
                                  std::size_t Destination) const {
  return absl::StrCat(
      "127.", this->BaseOctet + LinkOctetOffset +
                  static_cast<int>(Source * this->DataCentres + Destination));
}

std::string TestFleet::logAddress(std::size_t DataCentre) const {
  return absl::StrCat("127.", this->BaseOctet, ".254.", DataCentre + 1);
}

void TestFleet::startLog() {
  const std::string Address = absl::StrCat("127.", this->BaseOctet, ".255.1");
  this->Log = std::make_unique<Process>(
      std::vector<std::string>{this->programPath("log_stand_in"), "--address",
                               Address, "--port", absl::StrCat(LogPort)},
      this->Directory + "/log.out");
}

void TestFleet::startLinks() {
  const std::string Path = this->Directory + "/forwards";
  std::ofstream File(Path);
  for (std::size_t Source = 0; Source < this->DataCentres; ++Source) {
    File << "log-" << Source << " tcp " << this->logAddress(Source) << " 127."
         << this->BaseOctet << ".255.1 " << LogPort << "\n";
    for (std::size_t Destination = 0; Destination < this->DataCentres;
         ++Destination)
      for (std::size_t I = 0;
           Destination != Source &&
           I < this->HostCounts[Destination] + SpareHostsPerDataCentre;
           ++I)
        for (const char *ProtocolAndPort : {"tcp 7002", "tcp 7004", "udp 7004"})
          File << Source << "-" << Destination << " "
               << std::string(ProtocolAndPort, 3) << " "
               << this->linkPrefix(Source, Destination) << ".0." << I + 1 << " "
               << this->hostAddress(Destination, I) << " "
               << ProtocolAndPort + 4 << "\n";
  }
  File.close();
  this->Links = std::make_unique<Process>(
      std::vector<std::string>{this->programPath("link_stand_in"), "--forwards",
                               Path, "--address",
                               absl::StrCat("127.", this->BaseOctet, ".255.1"),
                               "--port", absl::StrCat(LinkControlPort)},
      this->Directory + "/links.out");
}

Host &TestFleet::addHost(const HostSpec &Spec) {
  auto NewHost = std::make_unique<Host>();
  NewHost->Spec = Spec;
  const std::size_t Index = this->HostCounts[Spec.DataCentre]++;
  NewHost->Address = this->hostAddress(Spec.DataCentre, Index);
  NewHost->Name =
      absl::StrCat(this->dataCentreName(Spec.DataCentre), "-", Index + 1);
  this->Hosts.push_back(std::move(NewHost));
  Host &Result = *this->Hosts.back();
  if (this->Started) {
    this->startNode(&Result);
    this->startUpstream(&Result);
  }
  return Result;
}

std::string TestFleet::nodeSettings(const Host &NodeHost) const {
  const std::size_t LocalDataCentre = NodeHost.Spec.DataCentre;
  std::string SeedList;
  std::string Translations;
  constexpr std::size_t SeedsPerDataCentre = 2;
  for (std::size_t I = 0; I < SeedsPerDataCentre; ++I)
    absl::StrAppend(&SeedList, SeedList.empty() ? "" : ", ", "\"",
                    this->hostAddress(LocalDataCentre, I), ":7004\"");
  for (std::size_t RemoteDataCentre = 0; RemoteDataCentre < this->DataCentres;
       ++RemoteDataCentre) {
    if (RemoteDataCentre == LocalDataCentre)
      continue;
    absl::StrAppend(&SeedList, ", \"",
                    this->linkPrefix(LocalDataCentre, RemoteDataCentre),
                    ".0.1:7004\"");
    absl::StrAppend(
        &Translations, Translations.empty() ? "" : ", ", "{\"data_centre\": \"",
        this->dataCentreName(RemoteDataCentre), "\", \"prefix\": \"",
        this->linkPrefix(LocalDataCentre, RemoteDataCentre), "\"}");
  }
  if (this->Seeds == SeedNodes::None)
    SeedList.clear();
  return absl::StrCat(
      "{\n  \"node\": \"", NodeHost.Name, "\",\n  \"data_centre\": \"",
      this->dataCentreName(LocalDataCentre), "\",\n  \"address\": \"",
      NodeHost.Address,
      "\",\n  \"caller_port\": 7001, \"ingress_port\": 7002, "
      "\"local_port\": 7003, \"peer_port\": 7004, \"operator_port\": 7005,\n"
      "  \"log_url\": \"http://",
      this->logAddress(LocalDataCentre), ":", LogPort, "\",\n  \"seeds\": [",
      SeedList, "],\n  \"translations\": [", Translations,
      "],\n  \"trace_file\": \"", this->Directory, "/", NodeHost.Name,
      ".trace\"", this->ExtraSettings.empty() ? "" : ",\n  ",
      this->ExtraSettings, "\n}\n");
}

void TestFleet::startNode(Host *Target) {
  const std::string Path =
      absl::StrCat(this->Directory, "/", Target->Name, ".json");
  std::ofstream(Path) << this->nodeSettings(*Target);
  Target->Node = std::make_unique<Process>(
      std::vector<std::string>{this->programPath("persimmonquay"), "node",
                               "--settings", Path},
      absl::StrCat(this->Directory, "/", Target->Name, ".log"));
}

void TestFleet::startUpstream(Host *Target) {
  if (Target->Spec.Service.empty())
    return;
  std::vector<std::string> Command = {this->programPath("upstream_stand_in"),
                                      "--name",
                                      Target->Name,
                                      "--service",
                                      Target->Spec.Service,
                                      "--version",
                                      Target->Spec.Version,
                                      "--address",
                                      Target->Address,
                                      "--port",
                                      "7010",
                                      "--node_address",
                                      Target->Address,
                                      "--node_port",
                                      "7003"};
  for (const auto &[Name, Value] : Target->Spec.UpstreamOptions) {
    Command.push_back("--" + Name);
    Command.push_back(Value);
  }
  Target->Upstream = std::make_unique<Process>(
      Command,
      absl::StrCat(this->Directory, "/", Target->Name, ".upstream.out"));
}

void TestFleet::startAll() {
  this->startLog();
  this->startLinks();
  for (const auto &Host : this->Hosts) {
    this->startNode(Host.get());
    this->startUpstream(Host.get());
  }
  this->Started = true;
  const bool Ready =
      this->waitForMetric("pq_members", this->Hosts.size(), StartTimeout) &&
      this->waitForUpstreams(
          static_cast<std::size_t>(std::count_if(
              this->Hosts.begin(), this->Hosts.end(),
              [](const auto &Host) { return !Host->Spec.Service.empty(); })),
          StartTimeout);
  if (!Ready)
    throw std::runtime_error("the nodes did not find each other; logs in " +
                             this->Directory);
}

void TestFleet::controlLog(const std::string &Query) const {
  request({absl::StrCat("127.", this->BaseOctet, ".255.1"), LogPort}, "POST",
          "/control?" + Query);
}

double TestFleet::appendedRecordCount(const std::string &Stream) const {
  const auto Value = nlohmann::json::parse(
      request({absl::StrCat("127.", this->BaseOctet, ".255.1"), LogPort},
              "POST", "/control")
          .Response.Body,
      nullptr, false);
  return Value.is_object() && Value.contains("streams")
             ? Value["streams"].value(Stream, 0.0)
             : 0.0;
}

void TestFleet::controlLink(const std::string &Link,
                            const std::string &Query) const {
  request({absl::StrCat("127.", this->BaseOctet, ".255.1"), LinkControlPort},
          "POST", absl::StrCat("/control?link=", Link, "&", Query));
}

void TestFleet::controlUpstream(const Host &Target, const std::string &Query) {
  request(Target.upstreamEndpoint(), "POST", "/control?" + Query);
}

void TestFleet::setPeerLinksCut(std::size_t DataCentre, bool Cut) const {
  for (std::size_t Other = 0; Other < this->DataCentres; ++Other) {
    if (Other == DataCentre)
      continue;
    const std::string Query = absl::StrCat("cut=", Cut ? 1 : 0);
    this->controlLink(absl::StrCat(DataCentre, "-", Other), Query);
    this->controlLink(absl::StrCat(Other, "-", DataCentre), Query);
  }
}

void TestFleet::setLogLinkCut(std::size_t DataCentre, bool Cut) const {
  this->controlLink(absl::StrCat("log-", DataCentre),
                    absl::StrCat("cut=", Cut ? 1 : 0));
}

CommandResult
TestFleet::runCommand(const Host &Target,
                      const std::vector<std::string> &Arguments) const {
  std::vector<std::string> Command = {this->programPath("persimmonquay")};
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  Command.push_back("--node");
  Command.push_back(absl::StrCat(Target.Address, ":7005"));
  static int NextOutput = 0;
  const std::string Path =
      absl::StrCat(this->Directory, "/command-", NextOutput++, ".out");
  Process CommandProcess(Command, Path);
  const auto ExitCode = CommandProcess.wait(std::chrono::minutes(2));
  return CommandResult{ExitCode.value_or(-1), CommandProcess.output()};
}

CommandResult TestFleet::publish(const Host &Target,
                                 const std::string &Resources) const {
  const std::string Path = this->Directory + "/published.json";
  std::ofstream(Path) << Resources;
  return this->runCommand(Target, {"config", "publish", Path});
}

std::vector<Host *> TestFleet::hostsRunning(const std::string &Service,
                                            const std::string &Version) const {
  std::vector<Host *> Result;
  for (const auto &Host : this->Hosts)
    if (Host->Spec.Service == Service && Host->Spec.Version == Version)
      Result.push_back(Host.get());
  return Result;
}

bool TestFleet::waitForUpstreams(std::size_t Count, Millis Timeout) const {
  return this->waitForMetric("pq_upstreams", Count, Timeout);
}

bool TestFleet::waitForMetric(const std::string &Name, std::size_t Value,
                              Millis Timeout) const {
  return eventually(Timeout, [&] {
    for (const auto &Host : this->Hosts)
      if (Host->Node != nullptr &&
          readMetric(Host->localEndpoint(), Name) != static_cast<double>(Value))
        return false;
    return true;
  });
}

bool TestFleet::waitForVersion(std::uint64_t Version, Millis Timeout) const {
  return eventually(Timeout, [&] {
    for (const auto &Host : this->Hosts)
      if (Host->Node != nullptr &&
          (readMetric(Host->localEndpoint(), "pq_config_version") <
               static_cast<double>(Version) ||
           request(Host->localEndpoint(), "GET", "/healthz").Response.Status !=
               200))
        return false;
    return true;
  });
}

std::vector<std::uint64_t> TestFleet::appliedVersions(const Host &NodeHost) {
  std::vector<std::uint64_t> Result;
  for (absl::string_view Line : absl::StrSplit(NodeHost.Node->output(), '\n')) {
    const auto Value =
        nlohmann::json::parse(Line.begin(), Line.end(), nullptr, false);
    if (Value.is_object() && Value["message"] == "configuration applied")
      Result.push_back(std::stoull(Value["version"].get<std::string>()));
  }
  return Result;
}

std::map<std::uint64_t, WallTime>
TestFleet::appliedTimes(const Host &NodeHost) {
  std::map<std::uint64_t, WallTime> Result;
  for (absl::string_view Line : absl::StrSplit(NodeHost.Node->output(), '\n')) {
    const auto Value =
        nlohmann::json::parse(Line.begin(), Line.end(), nullptr, false);
    if (Value.is_object() && Value["message"] == "configuration applied")
      Result.emplace(std::stoull(Value["version"].get<std::string>()),
                     wallTimeFromUnixMillis(Value["unix_ms"]));
  }
  return Result;
}

TcpEndpoint TestFleet::logEndpoint(std::size_t DataCentre) const {
  return {this->logAddress(DataCentre), LogPort};
}

std::map<std::string, int> TestFleet::runCountsByKey() const {
  std::map<std::string, int> Result;
  for (const auto &Host : this->Hosts) {
    const ExchangeResult Exchange =
        request(Host->upstreamEndpoint(), "GET", "/runs");
    const auto Value =
        nlohmann::json::parse(Exchange.Response.Body, nullptr, false);
    if (!Value.is_object())
      continue;
    for (const auto &[Key, Runs] : Value["keys"].items())
      Result[Key] += Runs.get<int>();
  }
  return Result;
}

} // namespace persimmonquay::testing
