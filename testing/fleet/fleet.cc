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

/// Second numbers of the addresses that one fleet may use.
constexpr int NumbersPerFleet = 24;
constexpr int FirstNumber = 2;
constexpr int LastNumber = 250;
constexpr int LinkOffset = 8;
constexpr std::uint16_t GuardPort = 6999;
constexpr std::uint16_t LogPort = 7000;
constexpr std::uint16_t LinkControlPort = 6998;
/// Hosts that may be added in each data centre after the start.
constexpr std::size_t SpareHosts = 2;
constexpr Millis StartTimeout{60000};

/// Binds a port so that another test program picks other addresses.
int bindGuard(const std::string &Address) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Wanted{};
  Wanted.sin_family = AF_INET;
  Wanted.sin_port = htons(GuardPort);
  inet_pton(AF_INET, Address.c_str(), &Wanted.sin_addr);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Wanted), sizeof(Wanted)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

} // namespace

TestFleet::TestFleet(std::size_t DataCentres, std::string ExtraSettings,
                     SeedNodes Seeds)
    : DataCentres(DataCentres), ExtraSettings(std::move(ExtraSettings)),
      Seeds(Seeds), HostsIn(DataCentres, 0) {
  for (int First = FirstNumber;
       First + NumbersPerFleet <= LastNumber && this->GuardSocket < 0;
       First += NumbersPerFleet) {
    this->Base = First;
    this->GuardSocket = bindGuard(absl::StrCat("127.", First, ".255.1"));
  }
  if (this->GuardSocket < 0)
    throw std::runtime_error("no range of loopback addresses is free");
  std::string Pattern =
      (fs::temp_directory_path() / "persimmonquay-XXXXXX").string();
  this->Directory = mkdtemp(Pattern.data());
}

TestFleet::~TestFleet() {
  this->Hosts.clear();
  this->Links.reset();
  this->Log.reset();
  close(this->GuardSocket);
  if (std::getenv("PQ_KEEP_FILES") == nullptr)
    fs::remove_all(this->Directory);
}

std::string TestFleet::program(const std::string &Name) const {
  return (fs::read_symlink("/proc/self/exe").parent_path() / Name).string();
}

std::string TestFleet::dataCentreName(std::size_t Index) const {
  return absl::StrCat("dc", Index);
}

std::string TestFleet::addressOf(std::size_t DataCentre,
                                 std::size_t Index) const {
  return absl::StrCat("127.", this->Base + static_cast<int>(DataCentre), ".0.",
                      Index + 1);
}

std::string TestFleet::linkPrefix(std::size_t From, std::size_t To) const {
  return absl::StrCat("127.",
                      this->Base + LinkOffset +
                          static_cast<int>(From * this->DataCentres + To));
}

std::string TestFleet::logAddress(std::size_t DataCentre) const {
  return absl::StrCat("127.", this->Base, ".254.", DataCentre + 1);
}

void TestFleet::startLog() {
  const std::string Address = absl::StrCat("127.", this->Base, ".255.1");
  this->Log = std::make_unique<Process>(
      std::vector<std::string>{this->program("log_stand_in"), "--address",
                               Address, "--port", absl::StrCat(LogPort)},
      this->Directory + "/log.out");
}

void TestFleet::startLinks() {
  const std::string Path = this->Directory + "/forwards";
  std::ofstream File(Path);
  for (std::size_t From = 0; From < this->DataCentres; ++From) {
    File << "log-" << From << " tcp " << this->logAddress(From) << " 127."
         << this->Base << ".255.1 " << LogPort << "\n";
    for (std::size_t To = 0; To < this->DataCentres; ++To)
      for (std::size_t I = 0; To != From && I < this->HostsIn[To] + SpareHosts;
           ++I)
        for (const char *Line : {"tcp 7002", "tcp 7004", "udp 7004"})
          File << From << "-" << To << " " << std::string(Line, 3) << " "
               << this->linkPrefix(From, To) << ".0." << I + 1 << " "
               << this->addressOf(To, I) << " " << Line + 4 << "\n";
  }
  File.close();
  this->Links = std::make_unique<Process>(
      std::vector<std::string>{this->program("link_stand_in"), "--forwards",
                               Path, "--address",
                               absl::StrCat("127.", this->Base, ".255.1"),
                               "--port", absl::StrCat(LinkControlPort)},
      this->Directory + "/links.out");
}

Host &TestFleet::addHost(const HostSpec &Spec) {
  auto Added = std::make_unique<Host>();
  Added->Spec = Spec;
  const std::size_t Index = this->HostsIn[Spec.DataCentre]++;
  Added->Address = this->addressOf(Spec.DataCentre, Index);
  Added->Name =
      absl::StrCat(this->dataCentreName(Spec.DataCentre), "-", Index + 1);
  this->Hosts.push_back(std::move(Added));
  Host &Last = *this->Hosts.back();
  if (this->Started) {
    this->startNode(&Last);
    this->startUpstream(&Last);
  }
  return Last;
}

std::string TestFleet::settingsOf(const Host &Of) const {
  const std::size_t Own = Of.Spec.DataCentre;
  std::string SeedList;
  std::string Translations;
  constexpr std::size_t SeedsPerDataCentre = 2;
  for (std::size_t I = 0; I < SeedsPerDataCentre; ++I)
    absl::StrAppend(&SeedList, SeedList.empty() ? "" : ", ", "\"",
                    this->addressOf(Own, I), ":7004\"");
  for (std::size_t To = 0; To < this->DataCentres; ++To) {
    if (To == Own)
      continue;
    absl::StrAppend(&SeedList, ", \"", this->linkPrefix(Own, To),
                    ".0.1:7004\"");
    absl::StrAppend(&Translations, Translations.empty() ? "" : ", ",
                    "{\"data_centre\": \"", this->dataCentreName(To),
                    "\", \"prefix\": \"", this->linkPrefix(Own, To), "\"}");
  }
  if (this->Seeds == SeedNodes::None)
    SeedList.clear();
  return absl::StrCat(
      "{\n  \"node\": \"", Of.Name, "\",\n  \"data_centre\": \"",
      this->dataCentreName(Own), "\",\n  \"address\": \"", Of.Address,
      "\",\n  \"caller_port\": 7001, \"ingress_port\": 7002, "
      "\"local_port\": 7003, \"peer_port\": 7004, \"operator_port\": 7005,\n"
      "  \"log_url\": \"http://",
      this->logAddress(Own), ":", LogPort, "\",\n  \"seeds\": [", SeedList,
      "],\n  \"translations\": [", Translations, "],\n  \"trace_file\": \"",
      this->Directory, "/", Of.Name, ".trace\"",
      this->ExtraSettings.empty() ? "" : ",\n  ", this->ExtraSettings, "\n}\n");
}

void TestFleet::startNode(Host *Starting) {
  const std::string Path =
      absl::StrCat(this->Directory, "/", Starting->Name, ".json");
  std::ofstream(Path) << this->settingsOf(*Starting);
  Starting->Node = std::make_unique<Process>(
      std::vector<std::string>{this->program("persimmonquay"), "node",
                               "--settings", Path},
      absl::StrCat(this->Directory, "/", Starting->Name, ".log"));
}

void TestFleet::startUpstream(Host *Starting) {
  if (Starting->Spec.Service.empty())
    return;
  std::vector<std::string> Command = {this->program("upstream_stand_in"),
                                      "--name",
                                      Starting->Name,
                                      "--service",
                                      Starting->Spec.Service,
                                      "--version",
                                      Starting->Spec.Version,
                                      "--address",
                                      Starting->Address,
                                      "--port",
                                      "7010",
                                      "--node_address",
                                      Starting->Address,
                                      "--node_port",
                                      "7003"};
  for (const auto &[Name, Value] : Starting->Spec.UpstreamOptions) {
    Command.push_back("--" + Name);
    Command.push_back(Value);
  }
  Starting->Upstream = std::make_unique<Process>(
      Command,
      absl::StrCat(this->Directory, "/", Starting->Name, ".upstream.out"));
}

void TestFleet::startAll() {
  this->startLog();
  this->startLinks();
  for (const auto &Each : this->Hosts) {
    this->startNode(Each.get());
    this->startUpstream(Each.get());
  }
  this->Started = true;
  const bool Found =
      this->waitForMetric("pq_members", this->Hosts.size(), StartTimeout) &&
      this->waitForUpstreams(
          static_cast<std::size_t>(std::count_if(
              this->Hosts.begin(), this->Hosts.end(),
              [](const auto &Each) { return !Each->Spec.Service.empty(); })),
          StartTimeout);
  if (!Found)
    throw std::runtime_error("the nodes did not find each other; logs in " +
                             this->Directory);
}

void TestFleet::controlLog(const std::string &Query) const {
  request({absl::StrCat("127.", this->Base, ".255.1"), LogPort}, "POST",
          "/control?" + Query);
}

double TestFleet::appendedRecordCount(const std::string &Stream) const {
  const auto Value = nlohmann::json::parse(
      request({absl::StrCat("127.", this->Base, ".255.1"), LogPort}, "POST",
              "/control")
          .Reply.Body,
      nullptr, false);
  return Value.is_object() && Value.contains("streams")
             ? Value["streams"].value(Stream, 0.0)
             : 0.0;
}

void TestFleet::controlLink(const std::string &Link,
                            const std::string &Query) const {
  request({absl::StrCat("127.", this->Base, ".255.1"), LinkControlPort}, "POST",
          absl::StrCat("/control?link=", Link, "&", Query));
}

void TestFleet::controlUpstream(const Host &To, const std::string &Query) {
  request(To.upstreamEndpoint(), "POST", "/control?" + Query);
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
TestFleet::runCommand(const Host &Through,
                      const std::vector<std::string> &Words) const {
  std::vector<std::string> Command = {this->program("persimmonquay")};
  Command.insert(Command.end(), Words.begin(), Words.end());
  Command.push_back("--node");
  Command.push_back(absl::StrCat(Through.Address, ":7005"));
  static int NextOutput = 0;
  const std::string Path =
      absl::StrCat(this->Directory, "/command-", NextOutput++, ".out");
  Process Running(Command, Path);
  const auto Code = Running.wait(std::chrono::minutes(2));
  return CommandResult{Code.value_or(-1), Running.output()};
}

CommandResult TestFleet::publish(const Host &Through,
                                 const std::string &Text) const {
  const std::string Path = this->Directory + "/published.json";
  std::ofstream(Path) << Text;
  return this->runCommand(Through, {"config", "publish", Path});
}

std::vector<Host *> TestFleet::hostsRunning(const std::string &Service,
                                            const std::string &Version) const {
  std::vector<Host *> Result;
  for (const auto &Each : this->Hosts)
    if (Each->Spec.Service == Service && Each->Spec.Version == Version)
      Result.push_back(Each.get());
  return Result;
}

bool TestFleet::waitForUpstreams(std::size_t Count, Millis Timeout) const {
  return this->waitForMetric("pq_upstreams", Count, Timeout);
}

bool TestFleet::waitForMetric(const std::string &Name, std::size_t Value,
                              Millis Timeout) const {
  return eventually(Timeout, [&] {
    for (const auto &Each : this->Hosts)
      if (Each->Node != nullptr &&
          readMetric(Each->localEndpoint(), Name) != static_cast<double>(Value))
        return false;
    return true;
  });
}

bool TestFleet::waitForVersion(std::uint64_t Version, Millis Timeout) const {
  return eventually(Timeout, [&] {
    for (const auto &Each : this->Hosts)
      if (Each->Node != nullptr &&
          (readMetric(Each->localEndpoint(), "pq_config_version") <
               static_cast<double>(Version) ||
           request(Each->localEndpoint(), "GET", "/healthz").Reply.Status !=
               200))
        return false;
    return true;
  });
}

std::vector<std::uint64_t> TestFleet::appliedVersions(const Host &Of) {
  std::vector<std::uint64_t> Result;
  for (absl::string_view Line : absl::StrSplit(Of.Node->output(), '\n')) {
    const auto Value =
        nlohmann::json::parse(Line.begin(), Line.end(), nullptr, false);
    if (Value.is_object() && Value["message"] == "configuration applied")
      Result.push_back(std::stoull(Value["version"].get<std::string>()));
  }
  return Result;
}

std::map<std::uint64_t, WallTime> TestFleet::appliedTimes(const Host &Of) {
  std::map<std::uint64_t, WallTime> Result;
  for (absl::string_view Line : absl::StrSplit(Of.Node->output(), '\n')) {
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
  for (const auto &Each : this->Hosts) {
    const ExchangeResult Answer =
        request(Each->upstreamEndpoint(), "GET", "/runs");
    const auto Value = nlohmann::json::parse(Answer.Reply.Body, nullptr, false);
    if (!Value.is_object())
      continue;
    for (const auto &[Key, Runs] : Value["keys"].items())
      Result[Key] += Runs.get<int>();
  }
  return Result;
}

} // namespace persimmonquay::testing
