#include "stand_ins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

/// Shared by all threads until the process ends.
struct Globals {
  Clock::time_point StartedAt = Clock::now();
  std::mutex Mutex;
  std::ofstream Record;
  std::string Directory;
  std::set<pid_t> Children;
};

Globals &globals() {
  static auto *Instance = new Globals;
  return *Instance;
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Each) { return std::tolower(Each); });
  return Text;
}

std::string bigEndian(std::uint64_t Number, int Bytes) {
  std::string Result;
  for (int I = Bytes - 1; I >= 0; --I)
    Result.push_back(static_cast<char>((Number >> (8 * I)) & 0xFFU));
  return Result;
}

std::uint64_t fromBigEndian(std::string_view Bytes) {
  std::uint64_t Result = 0;
  for (const char Each : Bytes)
    Result = (Result << 8U) | static_cast<unsigned char>(Each);
  return Result;
}

std::string base64(const std::string &Bytes) {
  constexpr char Digits[] =
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
          I + J <= Bytes.size() ? Digits[(Group >> (6 * (3 - J))) & 63U] : '=');
  }
  return Result;
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Result;
  const std::size_t Mark = Target.find('?');
  if (Mark == std::string::npos)
    return Result;
  std::stringstream Stream(Target.substr(Mark + 1));
  std::string Pair;
  while (std::getline(Stream, Pair, '&')) {
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos)
      Result[Pair.substr(0, Equals)] = Pair.substr(Equals + 1);
  }
  return Result;
}

std::string httpResponse(int Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Status\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

std::uint16_t portOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

int bindTo(int Type, std::uint16_t Port) {
  const int Socket = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

} // namespace

double now() {
  return std::chrono::duration<double>(Clock::now() - globals().StartedAt)
      .count();
}

void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

void sleepUntil(double Time) { sleepFor(Time - now()); }

std::int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void record(const std::string &Line) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f  ", now());
  const std::lock_guard<std::mutex> Lock(globals().Mutex);
  globals().Record << Time << Line << std::endl;
}

bool eventually(double Seconds, const std::function<bool()> &Condition) {
  const double End = now() + Seconds;
  while (!Condition()) {
    if (now() >= End)
      return false;
    sleepFor(0.02);
  }
  return true;
}

std::string Message::method() const {
  return this->Start.substr(0, this->Start.find(' '));
}

std::string Message::target() const {
  const std::size_t First = this->Start.find(' ');
  if (First == std::string::npos)
    return {};
  const std::size_t Second = this->Start.find(' ', First + 1);
  return this->Start.substr(First + 1, Second - First - 1);
}

int Message::status() const {
  return this->Start.starts_with("HTTP/1.1 ") ? std::atoi(&this->Start[9]) : 0;
}

std::string Message::header(const std::string &Name) const {
  const auto Found = this->Headers.find(Name);
  return Found == this->Headers.end() ? "" : Found->second;
}

Connection::~Connection() { this->close(); }

std::shared_ptr<Connection> Connection::open(std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    ::close(Socket);
    return nullptr;
  }
  return std::make_shared<Connection>(Socket);
}

bool Connection::send(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Size = ::send(this->Descriptor, Bytes.data() + Sent,
                                Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    Sent += static_cast<std::size_t>(Size);
  }
  return true;
}

bool Connection::fill(double Deadline) {
  while (true) {
    const double Left = Deadline - now();
    if (Left <= 0 || this->Descriptor < 0)
      return false;
    pollfd Poll{this->Descriptor, POLLIN, 0};
    const int Ready =
        poll(&Poll, 1, static_cast<int>(std::min(Left, 0.2) * 1000) + 1);
    if (Ready < 0)
      return false;
    if (Ready > 0)
      break;
  }
  char Chunk[65536];
  const ssize_t Size = recv(this->Descriptor, Chunk, sizeof(Chunk), 0);
  if (Size <= 0)
    return false;
  this->Buffer.append(Chunk, static_cast<std::size_t>(Size));
  return true;
}

bool Connection::readHead(Message &Result, double Seconds) {
  return this->readHeadUntil(Result, now() + Seconds);
}

bool Connection::readHeadUntil(Message &Result, double Deadline) {
  Result = Message();
  std::size_t End = 0;
  while ((End = this->Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!this->fill(Deadline))
      return false;
  std::stringstream Head(this->Buffer.substr(0, End));
  std::string Line;
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Result.Start.empty()) {
      Result.Start = Line;
      continue;
    }
    const std::size_t Colon = Line.find(':');
    const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    if (Colon != std::string::npos)
      Result.Headers[lowerCase(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
  }
  this->Buffer.erase(0, End + 4);
  return true;
}

bool Connection::read(Message &Result, double Seconds) {
  const double Deadline = now() + Seconds;
  if (!this->readHeadUntil(Result, Deadline))
    return false;
  const auto Length = static_cast<std::size_t>(
      std::atoll(Result.header("content-length").c_str()));
  while (this->Buffer.size() < Length)
    if (!this->fill(Deadline))
      return false;
  Result.Body = this->Buffer.substr(0, Length);
  this->Buffer.erase(0, Length);
  return true;
}

bool Connection::isClosed() const {
  pollfd Poll{this->Descriptor, POLLRDHUP, 0};
  return poll(&Poll, 1, 0) > 0 &&
         (Poll.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

void Connection::reset() {
  const linger Linger{1, 0};
  setsockopt(this->Descriptor, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
  this->close();
}

void Connection::close() {
  const int Socket = this->Descriptor.exchange(-1);
  if (Socket >= 0)
    ::close(Socket);
}

struct Listener::State {
  int Socket = -1;
  Handler OnConnection;
};

Listener::Listener(Handler ConnectionHandler)
    : Shared(std::make_shared<State>()) {
  this->Shared->OnConnection = std::move(ConnectionHandler);
  this->Shared->Socket = bindTo(SOCK_STREAM, 0);
  this->Port = portOf(this->Shared->Socket);
  listen(this->Shared->Socket, 1024);
  std::thread([Shared = this->Shared] {
    while (true) {
      const int Accepted =
          accept4(Shared->Socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        return;
      std::thread([Shared, Caller = std::make_shared<Connection>(Accepted)] {
        Shared->OnConnection(Caller);
      }).detach();
    }
  }).detach();
}

Listener::~Listener() { shutdown(this->Shared->Socket, SHUT_RDWR); }

std::uint16_t freePort() {
  while (true) {
    const int Stream = bindTo(SOCK_STREAM, 0);
    const std::uint16_t Port = portOf(Stream);
    const int Datagram = bindTo(SOCK_DGRAM, Port);
    ::close(Stream);
    if (Datagram < 0)
      continue;
    ::close(Datagram);
    return Port;
  }
}

Store::Store()
    : Server(std::make_unique<Listener>(
          [this](const std::shared_ptr<Connection> &Caller) {
            this->serve(Caller);
          })) {}

void Store::serve(const std::shared_ptr<Connection> &Caller) {
  Message Request;
  while (Caller->read(Request, 1e6)) {
    sleepFor(this->Delay);
    if (!Caller->send(this->answer(Request)))
      return;
  }
}

std::string Store::answer(const Message &Request) {
  const std::string Target = Request.target();
  const auto Query = parseQuery(Target);
  if (Target.starts_with("/-/log-append"))
    return this->append(Query, Request.Body);
  if (Target.starts_with("/-/log-read"))
    return this->read(Query);
  if (Target.starts_with("/-/log-newest"))
    return this->listNewest(Query);
  return httpResponse(404, "");
}

void Store::add(Topic &Log, const std::string &Key, const std::string &Value) {
  const Record Added{Key, Value, Log.Records.size()};
  Log.Records.push_back(Added);
  if (Value.empty())
    Log.Newest.erase(Key);
  else
    Log.Newest[Key] = Added;
  this->Changed.notify_all();
}

std::uint64_t Store::put(const std::string &TopicName, const std::string &Key,
                         const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  Topic &Log = this->Topics[TopicName];
  this->add(Log, Key, Value);
  return Log.Records.size() - 1;
}

std::optional<std::string> Store::newest(const std::string &TopicName,
                                         const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const Topic &Log = this->Topics[TopicName];
  const auto Found = Log.Newest.find(Key);
  if (Found == Log.Newest.end())
    return std::nullopt;
  return Found->second.Value;
}

std::string Store::append(const std::map<std::string, std::string> &Query,
                          const std::string &Body) {
  const std::string &Name = Query.at("topic");
  std::vector<std::pair<std::string, std::string>> Added;
  std::string Result;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Topic &Log = this->Topics[Name];
    const std::size_t End = Log.Records.size();
    if (Query.contains("at") && std::stoull(Query.at("at")) != End)
      return httpResponse(412, "{\"end\":" + std::to_string(End) + "}");
    if (Query.contains("producer")) {
      const std::uint64_t Epoch = std::stoull(Query.at("epoch"));
      std::uint64_t &Seen = Log.Epochs[Query.at("producer")];
      if (Epoch < Seen)
        return httpResponse(409, "{\"why\":\"fenced\"}");
      if (Epoch == Seen)
        return httpResponse(409, "{\"why\":\"seq\",\"sequence\":1}");
      Seen = Epoch;
    }
    for (std::size_t Position = 0; Position + 4 < Body.size();) {
      const std::uint64_t Length = fromBigEndian(Body.substr(Position, 4));
      const auto KeyLength = static_cast<unsigned char>(Body[Position + 4]);
      Added.emplace_back(
          Body.substr(Position + 5, KeyLength),
          Body.substr(Position + 5 + KeyLength, Length - 1 - KeyLength));
      this->add(Log, Added.back().first, Added.back().second);
      Position += 4 + Length;
    }
    Result =
        httpResponse(200, "{\"offset\":" + std::to_string(End) + ",\"end\":" +
                              std::to_string(Log.Records.size()) + "}");
  }
  if (this->OnAppend)
    for (const auto &[Key, Value] : Added)
      this->OnAppend(Name, Key, Value);
  return Result;
}

std::string Store::read(const std::map<std::string, std::string> &Query) {
  const std::uint64_t From = std::stoull(Query.at("from"));
  const auto Wait = std::chrono::milliseconds(
      Query.contains("wait_ms") ? std::stoll(Query.at("wait_ms")) : 0);
  std::unique_lock<std::mutex> Lock(this->Mutex);
  Topic &Log = this->Topics[Query.at("topic")];
  this->Changed.wait_for(Lock, Wait, [&] { return Log.Records.size() > From; });
  std::string Body = bigEndian(Log.Records.size(), 8) + bigEndian(0, 8);
  for (std::size_t I = From; I < Log.Records.size(); ++I) {
    const Record &Each = Log.Records[I];
    Body += bigEndian(1 + Each.Key.size() + Each.Value.size(), 4);
    Body.push_back(static_cast<char>(Each.Key.size()));
    Body += Each.Key + Each.Value;
  }
  return httpResponse(200, Body);
}

std::string Store::listNewest(const std::map<std::string, std::string> &Query) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const Topic &Log = this->Topics[Query.at("topic")];
  std::string Items;
  for (const auto &[Key, Each] : Log.Newest)
    Items += std::string(Items.empty() ? "" : ",") + "{\"key\":\"" + Key +
             "\",\"value\":\"" + base64(Each.Value) +
             "\",\"offset\":" + std::to_string(Each.Offset) + "}";
  return httpResponse(200, "{\"items\":[" + Items +
                               "],\"more\":false,\"end\":" +
                               std::to_string(Log.Records.size()) + "}");
}

std::string answerTo(const Message &Request, int Status,
                     const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Status\r\nX-Persimmonquay-Request-Id: " +
         Request.header("x-persimmonquay-request-id") +
         "\r\nX-Persimmonquay-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1"
         "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

Upstream::Upstream(std::string InstanceId, Handler RequestHandler)
    : Instance(std::move(InstanceId)),
      CurrentHandler(std::move(RequestHandler)),
      Server(std::make_unique<Listener>(
          [this](const std::shared_ptr<Connection> &Caller) {
            this->serve(Caller);
          })) {}

void Upstream::setHandler(Handler NewHandler) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->CurrentHandler = std::move(NewHandler);
}

void Upstream::serve(const std::shared_ptr<Connection> &Caller) {
  Message Request;
  while (Caller->read(Request, 1e6)) {
    if (Request.target() == "/health") {
      const std::string Status =
          this->IsDraining ? "503 Unavailable" : "200 OK";
      if (!Caller->send("HTTP/1.1 " + Status +
                        "\r\nX-Persimmonquay-Instance-Id: " + this->Instance +
                        "\r\nContent-Length: 0\r\n\r\n"))
        return;
      continue;
    }
    if (Request.header("x-persimmonquay-expected-instance") != this->Instance) {
      if (!Caller->send("HTTP/1.1 421 Misdirected Request"
                        "\r\nX-Persimmonquay-Instance-Id: " +
                        this->Instance + "\r\nContent-Length: 0\r\n\r\n"))
        return;
      continue;
    }
    Handler Handle;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      Handle = this->CurrentHandler;
    }
    if (!Handle(Request, *Caller))
      return;
  }
}

Node::Node(Options NodeOptions)
    : Setup(std::move(NodeOptions)), CallerPort(freePort()),
      LinkPort(freePort()), ReadinessPort(freePort()),
      RegistrationPort(freePort()), MetricsPort(freePort()),
      Born(unixMillis()) {}

Node::~Node() { this->kill(); }

std::string Node::path(const std::string &Suffix) const {
  return globals().Directory + "/" + this->Setup.Name + Suffix;
}

void Node::writeSettings(bool IsFirst) const {
  const auto Address = [](std::uint16_t Port) {
    return "\"127.0.0.1:" + std::to_string(Port) + "\"";
  };
  std::ofstream(this->path(".json"))
      << "{\n  \"node\": \"" << this->Setup.Name << "\",\n  \"data_centre\": \""
      << this->Setup.Zone
      << "\",\n  \"address\": \"127.0.0.1\",\n  \"caller_address\": "
      << Address(this->CallerPort)
      << ",\n  \"link_address\": " << Address(this->LinkPort)
      << ",\n  \"readiness_address\": " << Address(this->ReadinessPort)
      << ",\n  \"registration_address\": " << Address(this->RegistrationPort)
      << ",\n  \"metrics_address\": " << Address(this->MetricsPort)
      << ",\n  \"upstream_address\": " << Address(this->Setup.UpstreamPort)
      << ",\n  \"service\": \"" << this->Setup.Service
      << "\",\n  \"store_address\": " << Address(this->Setup.StorePort)
      << ",\n  \"registration_interval_s\": 1.5,\n  \"grace_period_s\": 6,"
         "\n  \"drain_timeout_s\": 2,\n  \"retry_budget_ratio\": 0.2,"
         "\n  \"retry_budget_window_s\": 10,\n  \"retry_budget_extra\": 58,"
         "\n  \"exposure_share\": 0.1,\n  \"exposure_extra\": 50,"
         "\n  \"memory_mb\": "
      << this->Setup.MemoryMegabytes
      << ",\n  \"link_mbps\": 1000.0,\n  \"first_start\": "
      << (IsFirst ? "true" : "false") << ",\n  \"log_level\": \"info\"\n}\n";
}

void Node::start(bool IsFirst) {
  this->writeSettings(IsFirst);
  const std::string Settings = this->path(".json");
  const std::string Log = this->path(".log");
  const pid_t Child = fork();
  if (Child == 0) {
    // Ends with the case, also if that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Output =
        open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
    setenv("PERSIMMONQUAY_CONFIG", Settings.c_str(), 1);
    execl("target/bin/persimmonquay", "target/bin/persimmonquay", "sidecar",
          static_cast<char *>(nullptr));
    _exit(127);
  }
  this->Pid = Child;
  const std::lock_guard<std::mutex> Lock(globals().Mutex);
  globals().Children.insert(Child);
}

void Node::signal(int Number) {
  if (this->Pid > 0)
    ::kill(this->Pid, Number);
}

void Node::kill() {
  if (this->Pid <= 0)
    return;
  ::kill(this->Pid, SIGKILL);
  waitpid(this->Pid, nullptr, 0);
  const std::lock_guard<std::mutex> Lock(globals().Mutex);
  globals().Children.erase(this->Pid);
  this->Pid = -1;
}

bool Node::hasEnded() {
  if (this->Pid <= 0)
    return true;
  if (waitpid(this->Pid, nullptr, WNOHANG) != this->Pid)
    return false;
  const std::lock_guard<std::mutex> Lock(globals().Mutex);
  globals().Children.erase(this->Pid);
  this->Pid = -1;
  return true;
}

double Node::residentMegabytes() const {
  std::ifstream Status("/proc/" + std::to_string(this->Pid) + "/status");
  std::string Line;
  while (std::getline(Status, Line))
    if (Line.starts_with("VmRSS:"))
      return std::atof(&Line[6]) / 1024;
  return 0;
}

int Node::heartbeat(const std::string &Instance, const std::string &State) {
  const std::string Body =
      "{\"service\":\"" + this->Setup.Service +
      "\",\"address\":\"127.0.0.1:" + std::to_string(this->Setup.UpstreamPort) +
      "\",\"zone\":\"" + this->Setup.Zone + "\",\"version\":\"" +
      this->Setup.Version +
      "\",\"capacity_slots\":" + std::to_string(this->Setup.Slots) +
      ",\"state\":\"" + State + "\",\"cold_remaining_s\":0,\"sequence\":" +
      std::to_string(++this->Sequence) +
      ",\"born\":" + std::to_string(this->Born) + "}";
  const auto Caller = Connection::open(this->RegistrationPort);
  Message Answer;
  if (!Caller ||
      !Caller->send("POST /-/Instances.Heartbeat/" + Instance +
                    " HTTP/1.1\r\nHost: node\r\nContent-Type: "
                    "application/json\r\nContent-Length: " +
                    std::to_string(Body.size()) + "\r\n\r\n" + Body) ||
      !Caller->read(Answer, 1))
    return 0;
  return Answer.status();
}

int Node::deregister(const std::string &Instance) {
  const auto Caller = Connection::open(this->RegistrationPort);
  Message Answer;
  if (!Caller ||
      !Caller->send("POST /-/Instances.Deregister/" + Instance +
                    " HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n") ||
      !Caller->read(Answer, 1))
    return 0;
  return Answer.status();
}

bool Node::isReady() const {
  const auto Caller = Connection::open(this->ReadinessPort);
  Message Answer;
  return Caller &&
         Caller->send("GET /-/readiness HTTP/1.1\r\nHost: node\r\n\r\n") &&
         Caller->read(Answer, 1) && Answer.status() == 200;
}

std::vector<std::string> Node::logLines(const std::string &Text) const {
  std::vector<std::string> Result;
  std::ifstream Log(this->path(".log"));
  std::string Line;
  while (std::getline(Log, Line))
    if (Line.find(Text) != std::string::npos)
      Result.push_back(Line);
  return Result;
}

std::string Call::bytes() const {
  std::string Result = this->Method + " " + this->Target +
                       " HTTP/1.1\r\nHost: " + this->Host +
                       "\r\nX-Persimmonquay-Request-Id: " + this->Id +
                       "\r\nX-Persimmonquay-Deadline-Remaining: " +
                       std::to_string(this->DeadlineMs) + "\r\n";
  if (this->Method != "GET")
    Result += "Content-Length: " + std::to_string(this->Body.size()) + "\r\n";
  return Result + "\r\n" + this->Body;
}

Message send(std::uint16_t Port, const Call &Request, double Seconds) {
  const auto Caller = Connection::open(Port);
  Message Answer;
  if (!Caller || !Caller->send(Request.bytes()) ||
      !Caller->read(Answer, Seconds))
    return {};
  return Answer;
}

std::string configuration(std::uint64_t Version,
                          const std::vector<std::string> &Services,
                          const std::vector<Route> &Routes) {
  std::string ServiceList;
  for (const std::string &Each : Services)
    ServiceList += std::string(ServiceList.empty() ? "" : ",") +
                   "{\"name\":\"" + Each +
                   "\",\"health_check_path\":\"/health\","
                   "\"max_connections\":110,\"protocol\":\"h1\","
                   "\"transport_security\":false}";
  std::string Rules;
  for (const Route &Each : Routes)
    Rules += std::string(Rules.empty() ? "" : ",") + "{\"name\":\"r" +
             std::to_string(&Each - Routes.data()) + "\",\"path_prefix\":\"" +
             Each.Prefix + "\",\"kind\":\"" + Each.Kind +
             "\",\"timeout_s\":" + std::to_string(Each.TimeoutSeconds) +
             ",\"target_latency_s\":0.5,\"priority\":1,\"service\":\"" +
             Each.Service + "\",\"max_attempts\":2}";
  return "{\"version\":" + std::to_string(Version) + ",\"services\":[" +
         ServiceList +
         "],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
         "\"idle_timeout_s\":15},\"virtual_hosts\":[{\"host\":"
         "\"hulo84.example\",\"path_rules\":[" +
         Rules + "]}]}";
}

void endCase(int ExitCode) {
  std::set<pid_t> Children;
  {
    const std::lock_guard<std::mutex> Lock(globals().Mutex);
    Children = globals().Children;
  }
  for (const pid_t Child : Children) {
    ::kill(Child, SIGKILL);
    waitpid(Child, nullptr, 0);
  }
  std::filesystem::remove_all(globals().Directory);
  record("exit " + std::to_string(ExitCode));
  std::cout << "exit " << ExitCode << std::endl;
  std::_Exit(ExitCode);
}

void runCase(int ArgumentCount, char **Arguments,
             const std::function<void(bool HasTrouble)> &Body) {
  signal(SIGPIPE, SIG_IGN);
  const std::string Folder = ArgumentCount > 1 ? Arguments[1] : ".";
  globals().Record.open(Folder + "/record.txt");
  std::string Directory =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(Directory.data()) == nullptr)
    std::_Exit(ExitCannotRun);
  globals().Directory = Directory;
  const char *Trouble = std::getenv("TROUBLE");
  const bool HasTrouble = Trouble == nullptr || std::string(Trouble) != "0";
  record(HasTrouble ? "with the disruption" : "without the disruption");
  try {
    Body(HasTrouble);
  } catch (const std::exception &Error) {
    record(std::string("the case couldn't run: ") + Error.what());
  }
  endCase(ExitCannotRun);
}

} // namespace review
