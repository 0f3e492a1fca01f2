#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Result.sin_port = htons(Port);
  return Result;
}

/// Binds to `Port` of 127.0.0.1, or to a free one for 0.
int bindSocket(int Type, std::uint16_t *Port) {
  const int Handle = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(*Port);
  const int Enabled = 1;
  if (Type == SOCK_STREAM)
    setsockopt(Handle, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  if (bind(Handle, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
      0) {
    close(Handle);
    return -1;
  }
  socklen_t Size = sizeof(Address);
  getsockname(Handle, reinterpret_cast<sockaddr *>(&Address), &Size);
  *Port = ntohs(Address.sin_port);
  return Handle;
}

/// Returns a port that is free for both TCP and UDP and below the range from
/// which the system takes the ports of outgoing connections.
std::uint16_t freePort() {
  constexpr int FirstPort = 12000;
  constexpr int PortCount = 18000;
  static std::atomic<int> Next = static_cast<int>(getpid()) * 97 % PortCount;
  while (true) {
    auto Port = static_cast<std::uint16_t>(FirstPort + Next++ % PortCount);
    const int Stream = bindSocket(SOCK_STREAM, &Port);
    const int Datagram = bindSocket(SOCK_DGRAM, &Port);
    close(Stream);
    close(Datagram);
    if (Stream >= 0 && Datagram >= 0)
      return Port;
  }
}

std::uint64_t unixMillis() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

std::string trim(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Result;
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Result.push_back(static_cast<char>((Value >> Shift) & 0xFFU));
  return Result;
}

std::uint64_t fromBigEndian(const std::string &Bytes) {
  std::uint64_t Result = 0;
  for (const char Byte : Bytes)
    Result = (Result << 8U) | static_cast<unsigned char>(Byte);
  return Result;
}

std::string base64(const std::string &Bytes) {
  constexpr char Letters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = (Group << 8U) |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Result.push_back(
          I + J > Bytes.size() ? '=' : Letters[(Group >> (18 - 6 * J)) & 63U]);
  }
  return Result;
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Result;
  const std::size_t Begin = Target.find('?');
  if (Begin == std::string::npos)
    return Result;
  std::istringstream Stream(Target.substr(Begin + 1));
  for (std::string Pair; std::getline(Stream, Pair, '&');) {
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos)
      Result[Pair.substr(0, Equals)] = Pair.substr(Equals + 1);
  }
  return Result;
}

std::string response(int Status, const std::string &Body,
                     const std::string &Headers = {}) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

Record::Record(const std::string &Path) : File(Path), Start(Clock::now()) {}

double Record::seconds() const {
  return std::chrono::duration<double>(Clock::now() - this->Start).count();
}

void Record::line(const std::string &Text) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->File << std::fixed << std::setprecision(3) << std::setw(8)
             << this->seconds() << " s  " << Text << std::endl;
}

int Message::status() const {
  return this->FirstLine.starts_with("HTTP/") ? std::atoi(this->word(1).c_str())
                                              : 0;
}

std::string Message::word(int Index) const {
  std::istringstream Stream(this->FirstLine);
  std::string Result;
  for (int I = 0; I <= Index; ++I)
    Stream >> Result;
  return Result;
}

std::string Message::header(const std::string &Name) const {
  const auto Found = this->Headers.find(Name);
  return Found == this->Headers.end() ? std::string() : Found->second;
}

Connection::~Connection() { close(this->Handle); }

std::unique_ptr<Connection> Connection::open(std::uint16_t Port) {
  const int Handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  auto Result = std::make_unique<Connection>(Handle);
  if (connect(Handle, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0)
    return nullptr;
  const int Enabled = 1;
  setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  return Result;
}

bool Connection::send(const std::string &Bytes) const {
  for (std::size_t Sent = 0; Sent < Bytes.size();) {
    const ssize_t Size = ::send(this->Handle, Bytes.data() + Sent,
                                Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    Sent += static_cast<std::size_t>(Size);
  }
  return true;
}

void Connection::shutDown() const { shutdown(this->Handle, SHUT_RDWR); }

bool Connection::receive(Clock::time_point Deadline) {
  const auto Left =
      std::chrono::duration_cast<Millis>(Deadline - Clock::now()).count();
  pollfd Poll{this->Handle, POLLIN, 0};
  if (Left <= 0 || poll(&Poll, 1, static_cast<int>(Left)) <= 0)
    return false;
  std::array<char, 16384> Bytes;
  const ssize_t Size = recv(this->Handle, Bytes.data(), Bytes.size(), 0);
  if (Size <= 0)
    return false;
  this->Buffer.append(Bytes.data(), static_cast<std::size_t>(Size));
  return true;
}

bool Connection::read(Message *Result, Millis Timeout, bool HasNoBody) {
  const Clock::time_point Deadline = Clock::now() + Timeout;
  while (this->Buffer.find("\r\n\r\n") == std::string::npos)
    if (!this->receive(Deadline))
      return false;
  const std::size_t HeadEnd = this->Buffer.find("\r\n\r\n");
  std::istringstream Head(this->Buffer.substr(0, HeadEnd));
  Message Parsed;
  std::string Line;
  std::getline(Head, Line);
  Parsed.FirstLine = Line.substr(0, Line.find('\r'));
  if (Parsed.FirstLine.find("HTTP/1.") == std::string::npos)
    return false;
  while (std::getline(Head, Line)) {
    Line = Line.substr(0, Line.find('\r'));
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      return false;
    Parsed.Headers[lower(Line.substr(0, Colon))] = trim(Line.substr(Colon + 1));
  }
  const std::size_t Length =
      HasNoBody
          ? 0
          : std::strtoul(Parsed.header("content-length").c_str(), nullptr, 10);
  while (this->Buffer.size() < HeadEnd + 4 + Length)
    if (!this->receive(Deadline))
      return false;
  Parsed.Body = this->Buffer.substr(HeadEnd + 4, Length);
  this->Buffer.erase(0, HeadEnd + 4 + Length);
  *Result = std::move(Parsed);
  return true;
}

Server::Server(Handler ServeConnection, std::uint16_t Port)
    : Serve(std::move(ServeConnection)), Port(Port) {
  this->Listener = bindSocket(SOCK_STREAM, &this->Port);
  listen(this->Listener, 512);
  this->Acceptor = std::thread([this] { this->acceptConnections(); });
}

Server::~Server() { this->stop(); }

void Server::acceptConnections() {
  while (true) {
    const int Handle = accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Handle < 0 || this->PortClosed) {
      if (Handle >= 0)
        close(Handle);
      return;
    }
    const int Enabled = 1;
    setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
    auto Accepted = std::make_shared<Connection>(Handle);
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Connections.push_back(Accepted);
    this->Workers.emplace_back([this, Accepted]() mutable {
      this->Serve(*Accepted);
      const std::lock_guard<std::mutex> WorkerLock(this->Mutex);
      std::erase(this->Connections, Accepted);
      Accepted.reset();
    });
  }
}

void Server::closePort() {
  if (this->PortClosed.exchange(true))
    return;
  shutdown(this->Listener, SHUT_RDWR);
  this->Acceptor.join();
  close(this->Listener);
}

void Server::stop() {
  if (this->Stopped.exchange(true))
    return;
  this->closePort();
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const std::shared_ptr<Connection> &Open : this->Connections)
      Open->shutDown();
  }
  for (std::thread &Worker : this->Workers)
    Worker.join();
}

Store::Store(Record &Log) : Log(Log) {}

std::uint16_t Store::addDoor(const std::string &Caller) {
  this->Doors.push_back(std::make_unique<Server>(
      [this, Caller](Connection &Client) { this->serve(Client, Caller); }));
  return this->Doors.back()->port();
}

void Store::stop() {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopped = true;
    this->Changed.notify_all();
  }
  for (const std::unique_ptr<Server> &Door : this->Doors)
    Door->stop();
}

void Store::serve(Connection &Client, const std::string &Caller) {
  Message Request;
  while (Client.read(&Request, std::chrono::minutes(5)))
    if (!Client.send(this->answer(Request, Caller)))
      return;
}

std::string Store::answer(const Message &Request, const std::string &Caller) {
  const std::string Target = Request.word(1);
  const std::map<std::string, std::string> Query = parseQuery(Target);
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Down)
      return response(503, "{}");
  }
  if (Target.starts_with("/-/log-append"))
    return this->append(Query, Request.Body, Caller);
  if (Target.starts_with("/-/log-read"))
    return this->read(Query);
  if (Target.starts_with("/-/log-newest"))
    return this->listNewest(Query);
  return response(404, "{}");
}

void Store::add(const std::string &Name, const std::string &Key,
                const std::string &Value) {
  Topic &Log = this->Topics[Name];
  const Entry Added{Key, Value, Log.Entries.size()};
  Log.Entries.push_back(Added);
  if (Value.empty())
    Log.Newest.erase(Key);
  else
    Log.Newest[Key] = Added;
  this->Changed.notify_all();
}

void Store::put(const std::string &Topic, const std::string &Key,
                const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->add(Topic, Key, Value);
}

std::optional<std::string> Store::newest(const std::string &Topic,
                                         const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Topics[Topic].Newest.find(Key);
  if (Found == this->Topics[Topic].Newest.end())
    return std::nullopt;
  return Found->second.Value;
}

void Store::setDown(bool IsDown) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Down = IsDown;
  this->Changed.notify_all();
  this->Log.line(IsDown ? "store: down" : "store: back");
}

std::string Store::append(const std::map<std::string, std::string> &Query,
                          const std::string &Body, const std::string &Caller) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const std::string &Name = Query.at("topic");
  Topic &Log = this->Topics[Name];
  const std::uint64_t End = Log.Entries.size();
  if (Query.contains("at") && std::stoull(Query.at("at")) != End)
    return response(412, "{\"end\":" + std::to_string(End) + "}");
  if (Query.contains("producer")) {
    std::uint64_t &Epoch = Log.Epochs[Query.at("producer")];
    const std::uint64_t Given = std::stoull(Query.at("epoch"));
    if (Given < Epoch)
      return response(409, "{\"why\":\"fenced\"}");
    Epoch = Given;
  }
  for (std::size_t At = 0; At + 5 <= Body.size();) {
    const std::uint64_t Length = fromBigEndian(Body.substr(At, 4));
    const auto KeyLength = static_cast<unsigned char>(Body[At + 4]);
    const std::string Key = Body.substr(At + 5, KeyLength);
    const std::string Value =
        Body.substr(At + 5 + KeyLength, Length - 1 - KeyLength);
    this->add(Name, Key, Value);
    if (Query.contains("at")) {
      std::string Line = "store: " + Caller;
      Line.append(" writes ").append(Key).append(" ").append(Value);
      this->Log.line(Line);
    }
    At += 4 + Length;
  }
  return response(200, "{\"offset\":" + std::to_string(End) + ",\"end\":" +
                           std::to_string(Log.Entries.size()) + "}");
}

std::string Store::read(const std::map<std::string, std::string> &Query) {
  const std::uint64_t From = std::stoull(Query.at("from"));
  const std::string &Name = Query.at("topic");
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (Query.contains("wait_ms"))
    this->Changed.wait_for(Lock, Millis(std::stoi(Query.at("wait_ms"))), [&] {
      return this->Stopped || this->Down ||
             this->Topics[Name].Entries.size() > From;
    });
  if (this->Down)
    return response(503, "{}");
  const Topic &Log = this->Topics[Name];
  std::string Body = bigEndian(Log.Entries.size(), 8) + bigEndian(0, 8);
  for (std::uint64_t I = From; I < Log.Entries.size(); ++I) {
    const Entry &Each = Log.Entries[I];
    Body += bigEndian(1 + Each.Key.size() + Each.Value.size(), 4) +
            bigEndian(Each.Key.size(), 1) + Each.Key + Each.Value;
  }
  return response(200, Body);
}

std::string Store::listNewest(const std::map<std::string, std::string> &Query) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const Topic &Log = this->Topics[Query.at("topic")];
  std::string Items;
  for (const auto &[Key, Each] : Log.Newest)
    Items += (Items.empty() ? "" : ",") + std::string("{\"key\":\"") + Key +
             "\",\"value\":\"" + base64(Each.Value) +
             "\",\"offset\":" + std::to_string(Each.Offset) + "}";
  return response(200, "{\"items\":[" + Items + "],\"more\":false,\"end\":" +
                           std::to_string(Log.Entries.size()) + "}");
}

Backend::Backend(Record &Log, std::string Instance, std::string Service,
                 std::string Version, Behaviour React)
    : Log(Log), Instance(std::move(Instance)), Service(std::move(Service)),
      Version(std::move(Version)), React(std::move(React)),
      BornUnixMs(unixMillis()), NextReport(Clock::now()),
      Http(std::make_unique<Server>(
          [this](Connection &Caller) { this->serve(Caller); }, freePort())) {
  this->Port = this->Http->port();
}

Backend::~Backend() {
  this->stop();
  for (std::thread &Restart : this->Restarts)
    Restart.join();
}

void Backend::crash() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (std::exchange(this->IsDown, true))
    return;
  // As at the end of a process, the port is closed before the caller notices.
  this->Http->closePort();
  // The thread that serves the request can't wait for its own end.
  this->Restarts.emplace_back([this] {
    this->Log.line("back end " + this->Instance + " crashes");
    this->Http->stop();
    std::this_thread::sleep_for(CrashTime);
    const std::lock_guard<std::mutex> RestartLock(this->Mutex);
    if (this->Ended)
      return;
    this->BornUnixMs = unixMillis();
    this->NextReport = Clock::now();
    this->Http = std::make_unique<Server>(
        [this](Connection &Caller) { this->serve(Caller); }, this->Port);
    this->IsDown = false;
    this->Log.line("back end " + this->Instance + " is back");
  });
}

bool Backend::takeDueReport() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->IsDown || this->Ended || this->Leaving ||
      Clock::now() < this->NextReport)
    return false;
  this->NextReport += BeatInterval;
  return true;
}

std::vector<Run> Backend::runs() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Runs;
}

void Backend::stop() {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Ended = true;
  }
  this->Http->stop();
}

void Backend::serve(Connection &Caller) {
  Message Request;
  while (Caller.read(&Request, std::chrono::seconds(30))) {
    const std::string Id = Request.header("x-persimmonquay-request-id");
    if (Request.word(1) == "/health") {
      if (!Caller.send(response(
              this->Leaving ? 503 : 200, {},
              "X-Persimmonquay-Instance-Id: " + this->Instance + "\r\n")))
        return;
      continue;
    }
    const std::string Expected =
        Request.header("x-persimmonquay-expected-instance");
    if (!Expected.empty() && Expected != this->Instance) {
      if (!Caller.send(response(421, {})))
        return;
      continue;
    }
    Run Started{Id, this->Instance, this->Log.seconds(), 0};
    this->Log.line("back end " + this->Instance + " runs " + Id + " " +
                   Request.FirstLine);
    ++this->Running;
    const Reaction Result = this->React(Request);
    std::this_thread::sleep_for(Result.Work);
    --this->Running;
    Started.Status = Result.Status;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Runs.push_back(Started);
    }
    if (Result.Crashes) {
      this->crash();
      return;
    }
    if (Result.LosesAnswer) {
      this->Log.line("back end " + this->Instance + " has run " + Id +
                     "; its answer is lost");
      Caller.shutDown();
      return;
    }
    std::string Headers = "X-Persimmonquay-Request-Id: " + Id;
    Headers.append("\r\nX-Persimmonquay-Response-Signature: ")
        .append(this->Instance + "." + Id)
        .append("\r\nKeep-Alive: timeout=10\r\n");
    if (this->Leaving)
      Headers += "Connection: close\r\n";
    std::string Answer = response(Result.Status, Result.Body, Headers);
    // The answer to HEAD has the header of the answer to GET and no body.
    if (Request.word(0) == "HEAD")
      Answer.resize(Answer.size() - Result.Body.size());
    if (!Caller.send(Answer) || this->Leaving)
      return;
  }
}

Machine::Machine(Record &Log, Store &Platform, std::string Name,
                 std::string Zone, std::unique_ptr<Backend> OwnBackend)
    : Log(Log), Name(std::move(Name)), Zone(std::move(Zone)),
      OwnBackend(std::move(OwnBackend)), CallerPort(freePort()),
      LinkPort(freePort()), ReadinessPort(freePort()),
      RegistrationPort(freePort()), MetricsPort(freePort()),
      StorePort(Platform.addDoor(this->Name)) {
  std::string Template =
      std::filesystem::temp_directory_path() / "reviewXXXXXX";
  this->Directory = mkdtemp(Template.data());
}

Machine::~Machine() {
  this->kill();
  this->OwnBackend->stop();
  std::error_code IgnoredError;
  std::filesystem::remove_all(this->Directory, IgnoredError);
}

void Machine::start(bool IsFirstStart) {
  const auto Address = [](std::uint16_t Port) {
    return "\"127.0.0.1:" + std::to_string(Port) + "\"";
  };
  const std::string Settings = this->Directory + "/sidecar.json";
  std::ofstream(Settings)
      << "{\"node\": \"" << this->Name << "\", \"data_centre\": \""
      << this->Zone << "\", \"address\": \"127.0.0.1\", \"caller_address\": "
      << Address(this->CallerPort)
      << ", \"link_address\": " << Address(this->LinkPort)
      << ", \"readiness_address\": " << Address(this->ReadinessPort)
      << ", \"registration_address\": " << Address(this->RegistrationPort)
      << ", \"metrics_address\": " << Address(this->MetricsPort)
      << ", \"upstream_address\": " << Address(this->OwnBackend->port())
      << ", \"service\": \"" << this->OwnBackend->service()
      << "\", \"store_address\": " << Address(this->StorePort)
      << ", \"registration_interval_s\": 1.5, \"grace_period_s\": 6, "
         "\"drain_timeout_s\": 2, \"retry_budget_ratio\": 0.2, "
         "\"retry_budget_window_s\": 10, \"retry_budget_extra\": 58, "
         "\"exposure_share\": 0.1, \"exposure_extra\": 50, \"memory_mb\": 110, "
         "\"link_mbps\": 1000.0, \"first_start\": "
      << (IsFirstStart ? "true" : "false") << ", \"log_level\": \"info\"}\n";
  const std::string Output = this->Directory + "/log";
  // The command of the deploy file.
  std::string Program = "target/bin/persimmonquay";
  std::string Command = "sidecar";
  std::string Variable = "PERSIMMONQUAY_CONFIG=" + Settings;
  std::array<char *, 3> Arguments = {Program.data(), Command.data(), nullptr};
  std::array<char *, 2> Variables = {Variable.data(), nullptr};
  this->Process = fork();
  if (this->Process != 0)
    return;
  // In the child, only async-signal-safe functions may be called.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int File =
      open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(File, STDOUT_FILENO);
  dup2(File, STDERR_FILENO);
  execve(Program.c_str(), Arguments.data(), Variables.data());
  _exit(127);
}

void Machine::signal(int Number) {
  if (this->Process > 0)
    ::kill(this->Process, Number);
}

void Machine::kill() {
  if (this->Process <= 0)
    return;
  ::kill(this->Process, SIGKILL);
  waitpid(this->Process, nullptr, 0);
  this->Process = -1;
}

bool Machine::isRunning() {
  if (this->Process > 0 &&
      waitpid(this->Process, nullptr, WNOHANG) == this->Process)
    this->Process = -1;
  return this->Process > 0;
}

int Machine::report(const std::string &Path, const std::string &Body) const {
  const std::unique_ptr<Connection> Node =
      Connection::open(this->RegistrationPort);
  Message Answer;
  if (!Node ||
      !Node->send("POST " + Path +
                  " HTTP/1.1\r\nHost: node\r\nContent-Type: "
                  "application/json\r\nContent-Length: " +
                  std::to_string(Body.size()) + "\r\n\r\n" + Body) ||
      !Node->read(&Answer, Millis(1000)))
    return 0;
  return Answer.status();
}

std::string Machine::nextBeat(const std::string &State) {
  const std::lock_guard<std::mutex> Lock(this->BeatMutex);
  const Backend &Own = *this->OwnBackend;
  return "{\"service\":\"" + Own.service() +
         "\",\"address\":\"127.0.0.1:" + std::to_string(Own.port()) +
         "\",\"zone\":\"" + this->Zone + "\",\"version\":\"" + Own.version() +
         "\",\"capacity_slots\":9,\"state\":\"" + State +
         "\",\"cold_remaining_s\":0,\"sequence\":" +
         std::to_string(++this->Sequence) +
         ",\"born\":" + std::to_string(Own.bornUnixMs()) + "}";
}

int Machine::sendBeat(const std::string &Body) {
  return this->report("/-/Instances.Heartbeat/" + this->OwnBackend->instance(),
                      Body);
}

int Machine::beat(const std::string &State) {
  return this->sendBeat(this->nextBeat(State));
}

int Machine::deregister() {
  return this->report(
      "/-/Instances.Deregister/" + this->OwnBackend->instance(),
      "{\"born\":" + std::to_string(this->OwnBackend->bornUnixMs()) + "}");
}

bool Machine::isReady() const {
  const std::unique_ptr<Connection> Node =
      Connection::open(this->ReadinessPort);
  Message Answer;
  return Node &&
         Node->send("GET /-/readiness HTTP/1.1\r\nHost: node\r\n\r\n") &&
         Node->read(&Answer, Millis(1000)) && Answer.status() == 200;
}

Platform::Platform(const std::string &Folder)
    : Log(Folder + "/record.txt"), Records(this->Log) {
  std::signal(SIGPIPE, SIG_IGN);
  this->Reporter = std::thread([this] { this->reportAll(); });
}

Platform::~Platform() {
  this->Stopped = true;
  this->Reporter.join();
  for (const std::unique_ptr<Machine> &Each : this->Machines)
    Each->kill();
  this->Records.stop();
}

Machine &Platform::add(const std::string &Name, const std::string &Zone,
                       const std::string &Service, const std::string &Version,
                       Backend::Behaviour React) {
  auto Added = std::make_unique<Machine>(
      this->Log, this->Records, Name, Zone,
      std::make_unique<Backend>(this->Log, "i-" + Name, Service, Version,
                                std::move(React)));
  Added->start(!this->HasStarted);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Machines.push_back(std::move(Added));
  return *this->Machines.back();
}

void Platform::reportAll() {
  while (!this->Stopped) {
    std::this_thread::sleep_for(Millis(50));
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const std::unique_ptr<Machine> &Each : this->Machines)
      // A node that stands still must not delay the reports of the others.
      if (Each->backend().takeDueReport())
        std::thread([Target = Each.get()] { Target->beat("ready"); }).detach();
  }
  // The last reports end within their time limit.
  std::this_thread::sleep_for(Millis(1200));
}

void Platform::publish(std::uint64_t Version,
                       const std::vector<Route> &Routes) {
  std::string Rules;
  std::map<std::string, bool> Services;
  for (const Route &Each : Routes) {
    Services[Each.Service] = true;
    Rules += (Rules.empty() ? "" : ",") + std::string("{\"name\":\"r") +
             Each.Prefix + "\",\"path_prefix\":\"" + Each.Prefix +
             "\",\"kind\":\"" + Each.Kind +
             "\",\"timeout_s\":" + std::to_string(Each.TimeoutS) +
             ",\"target_latency_s\":0.5,\"priority\":1,\"service\":\"" +
             Each.Service +
             "\",\"max_attempts\":" + std::to_string(Each.MaxAttempts) + "}";
  }
  std::string ServiceList;
  for (const auto &[Name, IsUsed] : Services)
    ServiceList += (ServiceList.empty() ? "" : ",") +
                   std::string("{\"name\":\"") + Name +
                   "\",\"health_check_path\":\"/health\",\"max_connections\":"
                   "110}";
  this->Records.put(
      "keyed.op", "config",
      "{\"version\":" + std::to_string(Version) + ",\"services\":[" +
          ServiceList +
          "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
          "1048576,\"header_timeout_s\":3,\"idle_timeout_s\":15},"
          "\"virtual_hosts\":[{\"host\":\"app.example\",\"path_rules\":[" +
          Rules + "]}]}");
  this->HasStarted = true;
  this->Log.line("operator: configuration " + std::to_string(Version) +
                 " is confirmed");
}

bool Platform::awaitReady(Millis Timeout) {
  const Clock::time_point Deadline = Clock::now() + Timeout;
  while (Clock::now() < Deadline) {
    if (std::all_of(this->Machines.begin(), this->Machines.end(),
                    [](const auto &Each) { return Each->isReady(); }))
      return true;
    std::this_thread::sleep_for(Millis(100));
  }
  for (const std::unique_ptr<Machine> &Each : this->Machines)
    if (!Each->isReady())
      this->Log.line("node of " + Each->name() + " is not ready" +
                     (Each->isRunning() ? "" : ", it has ended"));
  return false;
}

std::string request(const std::string &Method, const std::string &Target,
                    const std::string &Id, int RemainingMs,
                    const std::string &Body) {
  std::string Result = Method + " " + Target +
                       " HTTP/1.1\r\nHost: app.example\r\n"
                       "X-Persimmonquay-Request-Id: " +
                       Id + "\r\nX-Persimmonquay-Deadline-Remaining: " +
                       std::to_string(RemainingMs) + "\r\n";
  if (Method == "POST")
    Result += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Result + "\r\n" + Body;
}

bool hasTrouble() {
  const char *Trouble = std::getenv("TROUBLE");
  return Trouble == nullptr || std::string(Trouble) != "0";
}

void sleepUntil(const Record &Log, double Seconds) {
  const double Left = Seconds - Log.seconds();
  if (Left > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Left));
}

} // namespace review
