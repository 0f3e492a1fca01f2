#include "testing/platform/small_mesh.h"

#include "testing/free_port.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace persimmonquay::testing {
namespace {

using Json = nlohmann::json;

/// Generous for busy machines.
constexpr Millis StartTimeout{60000};

std::string addressOf(std::uint16_t Port) {
  return absl::StrCat("127.0.0.1:", Port);
}

std::string programPath() {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() /
          "persimmonquay")
      .string();
}

void choosePorts(TestNode &Node) {
  Node.CallerPort = freePort();
  Node.LinkPort = freePort();
  Node.ReadinessPort = freePort();
  Node.RegistrationPort = freePort();
}

CallResponse exchange(std::uint16_t Port, Poco::Net::HTTPRequest &Request,
                      const std::string &Body) {
  CallResponse Result;
  try {
    Poco::Net::HTTPClientSession Session("127.0.0.1", Port);
    Session.setTimeout(Poco::Timespan(30, 0));
    if (!Body.empty() || Request.getMethod() == "POST")
      Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::istream &Stream = Session.receiveResponse(Response);
    Poco::StreamCopier::copyToString(Stream, Result.Body);
    for (const auto &[Name, Value] : Response)
      Result.Headers[absl::AsciiStrToLower(Name)] = Value;
    Result.Status = Response.getStatus();
  } catch (const Poco::Exception &) {
    Result.Status = 0;
  }
  return Result;
}

} // namespace

SmallMesh::SmallMesh() : Directory(Poco::TemporaryFile::tempName()) {
  std::filesystem::create_directories(this->Directory);
}

SmallMesh::~SmallMesh() {
  this->Nodes.clear();
  std::filesystem::remove_all(this->Directory);
}

TestNode &SmallMesh::add(const std::string &Service, const std::string &Version,
                         const std::string &DataCentre,
                         const std::string &Address) {
  auto Node = std::make_unique<TestNode>();
  Node->Name = absl::StrCat("node-", this->Nodes.size() + 1);
  Node->Instance = absl::StrCat("i-", this->Nodes.size() + 1);
  Node->Service = Service;
  Node->Version = Version;
  Node->DataCentre = DataCentre;
  Node->Address = Address;
  Node->StartedUnixMs = static_cast<std::uint64_t>(unixMillis(wallNow()));
  Node->Upstream = std::make_unique<ScriptedUpstream>(
      [Instance = Node->Instance](const ReceivedRequest &Request) {
        return Request.Target == "/health" ? healthResponse(Instance)
                                           : responseTo(Request);
      });
  TestNode &AddedNode = *Node;
  this->Nodes.push_back(std::move(Node));
  choosePorts(AddedNode);
  this->startNode(AddedNode);
  eventually(StartTimeout, [&] {
    // Another process may have bound one of the free ports in the meantime.
    if (AddedNode.Sidecar->wait(Millis(0))) {
      std::cerr << AddedNode.Sidecar->output();
      choosePorts(AddedNode);
      this->startNode(AddedNode);
    }
    return this->heartbeat(AddedNode) == 200;
  });
  return AddedNode;
}

void SmallMesh::startNode(TestNode &Node) {
  const std::string SettingsPath =
      absl::StrCat(this->Directory, "/", Node.Name, ".json");
  const Json SettingsJson = {
      {"node", Node.Name},
      {"data_centre", Node.DataCentre},
      {"address", Node.Address},
      {"caller_address", addressOf(Node.CallerPort)},
      {"link_address", addressOf(Node.LinkPort)},
      {"readiness_address", addressOf(Node.ReadinessPort)},
      {"registration_address", addressOf(Node.RegistrationPort)},
      {"upstream_address", addressOf(Node.Upstream->port())},
      {"service", Node.Service},
      {"store_address",
       addressOf(Node.StorePort != 0 ? Node.StorePort : this->Store.port())},
      {"registration_interval_s", this->HeartbeatSeconds},
      {"grace_period_s", 6},
      {"drain_timeout_s", 2},
      {"retry_budget_ratio", 0.2},
      {"retry_budget_window_s", 10},
      {"retry_budget_extra", 60},
      {"exposure_share", 0.1},
      {"exposure_extra", 50},
      {"memory_mb", this->MemoryMegabytes},
      {"link_mbps", this->LinkMbps}};
  std::ofstream(SettingsPath) << SettingsJson.dump(2);
  Node.Sidecar.reset();
  Node.Sidecar = std::make_unique<Process>(
      std::vector<std::string>{programPath(), "sidecar", "--settings",
                               SettingsPath},
      absl::StrCat(this->Directory, "/", Node.Name, ".log"));
}

int SmallMesh::heartbeat(TestNode &Node, const std::string &State,
                         std::uint32_t Slots) {
  const Json Body = {{"service", Node.Service},
                     {"address", addressOf(Node.Upstream->port())},
                     {"zone", Node.DataCentre},
                     {"version", Node.Version},
                     {"capacity_slots", Slots},
                     {"state", State},
                     {"cold_remaining_s", Node.ColdRemaining},
                     {"sequence", ++Node.Sequence},
                     {"born", Node.StartedUnixMs}};
  Poco::Net::HTTPRequest Request(
      "POST", absl::StrCat("/-/Instances.Heartbeat/", Node.Instance),
      "HTTP/1.1");
  Request.setContentType("application/json");
  return exchange(Node.RegistrationPort, Request, Body.dump()).Status;
}

int SmallMesh::deregister(TestNode &Node) {
  Poco::Net::HTTPRequest Request(
      "POST", absl::StrCat("/-/Instances.Deregister/", Node.Instance),
      "HTTP/1.1");
  return exchange(Node.RegistrationPort, Request, "").Status;
}

void SmallMesh::publish(std::uint64_t Version, const std::string &Service,
                        std::uint32_t TimeoutMs,
                        const std::vector<std::string> &ExtraPaths) {
  Json Services = Json::array();
  for (const char *Name : {"gallery", "orders"})
    Services.push_back({{"name", Name},
                        {"health_check_path", "/health"},
                        {"cold_start_s", this->ColdSeconds},
                        {"cold_per_s", this->ColdCallsPerSecond},
                        {"max_connections", 100}});
  Json Rules = Json::array();
  std::vector<std::pair<std::string, std::string>> Routes = {
      {"/views/", "safe"}, {"/orders/", "unsafe"}};
  for (const std::string &Path : ExtraPaths)
    Routes.emplace_back(Path, "safe");
  for (const auto &[Path, Kind] : Routes)
    Rules.push_back({{"name", absl::StrCat("r", Path)},
                     {"path_prefix", Path},
                     {"kind", Kind},
                     {"timeout_s", TimeoutMs / 1000.0},
                     {"target_latency_s", 0.5},
                     {"priority", 1},
                     {"service", Service},
                     {"max_attempts", 2}});
  Json Configuration = {
      {"version", Version},
      {"services", Services},
      {"limits",
       {{"max_header_bytes", 4096},
        {"max_body_bytes", 100000},
        {"header_timeout_s", 3},
        {"idle_timeout_s", 15}}},
      {"virtual_hosts",
       Json::array({{{"host", "boards.example"}, {"path_rules", Rules}}})}};
  for (const auto &[Name, Keys] : this->Accounts)
    Configuration["tenants"].push_back({{"name", Name}, {"api_keys", Keys}});
  this->Store.put("keyed.op", "config", Configuration.dump());
}

bool SmallMesh::waitUntilReady() {
  const bool Ready = eventually(StartTimeout, [this] {
    for (const std::unique_ptr<TestNode> &Node : this->Nodes) {
      Poco::Net::HTTPRequest Request("GET", "/-/readiness", "HTTP/1.1");
      if (exchange(Node->ReadinessPort, Request, "").Status != 200)
        return false;
    }
    return true;
  });
  if (!Ready)
    for (const std::unique_ptr<TestNode> &Node : this->Nodes)
      std::cerr << Node->Sidecar->output();
  return Ready;
}

CallResponse SmallMesh::call(const TestNode &Node, const CallOptions &Options) {
  Poco::Net::HTTPRequest Request(Options.Method, Options.Target, "HTTP/1.1");
  Request.setHost("boards.example");
  Request.set("X-Persimmonquay-Request-Id", Options.RequestId);
  Request.set("X-Persimmonquay-Deadline-Remaining",
              std::to_string(Options.DeadlineMs));
  Request.set("X-Persimmonquay-Calling-Service", "forged");
  for (const auto &[Name, Value] : Options.Headers)
    Request.add(Name, Value);
  return exchange(Node.CallerPort, Request, Options.Body);
}

std::string sendBytes(std::uint16_t Port, const std::string &Bytes,
                      Millis IdleTimeout) {
  std::string Received;
  try {
    Poco::Net::StreamSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port));
    Socket.setReceiveTimeout(Poco::Timespan(IdleTimeout.count() * 1000));
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    std::array<char, 4096> Buffer;
    while (true) {
      const int Size = Socket.receiveBytes(Buffer.data(), Buffer.size());
      if (Size <= 0)
        return Received;
      Received.append(Buffer.data(), static_cast<std::size_t>(Size));
    }
  } catch (const Poco::Exception &) {
    return Received;
  }
}

} // namespace persimmonquay::testing
