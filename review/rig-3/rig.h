// Stand-ins for the platform's store, upstreams and callers, and a runner for
// the node's processes, for the scripts of the third review. Loopback only.
#ifndef REVIEW_RIG_3_RIG_H
#define REVIEW_RIG_3_RIG_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Json = nlohmann::json;

/// Exit codes of a script.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CannotRun = 2;

inline std::int64_t unixMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

/// Seconds since the start of the script.
inline double elapsed() {
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

/// Waits until `Time` seconds after the start of the script.
inline void sleepUntil(double Time) {
  if (const double Left = Time - elapsed(); Left > 0)
    sleepFor(Left);
}

/// The file record.txt of a case.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) { elapsed(); }
  void line(const std::string &Text) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%9.3f  ", elapsed());
    this->File << Time << Text << '\n' << std::flush;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
};

/// A request or a response; header names are in lower case.
struct Message {
  std::string First;
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// Of a request.
  std::string Method, Target;
  /// Of a response; 0 if there was no whole one.
  int Status = 0;

  std::string header(const std::string &Name) const {
    const auto Found = this->Headers.find(Name);
    return Found == this->Headers.end() ? "" : Found->second;
  }
};

inline std::string lower(std::string Text) {
  for (char &Letter : Text)
    Letter =
        static_cast<char>(std::tolower(static_cast<unsigned char>(Letter)));
  return Text;
}

/// Receives more bytes; false at the end, at an error and after `End`.
inline bool receiveMore(int Socket, std::string &Buffer,
                        Clock::time_point End) {
  pollfd Poll{Socket, POLLIN, 0};
  const auto Left =
      std::chrono::duration_cast<Millis>(End - Clock::now()).count();
  if (Left <= 0 || ::poll(&Poll, 1, static_cast<int>(Left)) <= 0)
    return false;
  char Bytes[16384];
  const ssize_t Size = ::recv(Socket, Bytes, sizeof(Bytes), 0);
  if (Size <= 0)
    return false;
  Buffer.append(Bytes, static_cast<std::size_t>(Size));
  return true;
}

/// Reads one message with a Content-Length or none.
inline bool readMessage(int Socket, std::string &Buffer, Message &Result,
                        Clock::time_point End) {
  std::size_t HeaderEnd;
  while ((HeaderEnd = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!receiveMore(Socket, Buffer, End))
      return false;
  std::istringstream Lines(Buffer.substr(0, HeaderEnd + 2));
  std::string Line;
  std::getline(Lines, Line);
  Result = Message();
  Result.First = Line.substr(0, Line.size() - 1);
  while (std::getline(Lines, Line)) {
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Value = Line.substr(Colon + 1);
    while (!Value.empty() && (Value.back() == '\r' || Value.back() == ' '))
      Value.pop_back();
    Value.erase(0, std::min(Value.find_first_not_of(' '), Value.size()));
    Result.Headers[lower(Line.substr(0, Colon))] = Value;
  }
  const std::size_t Length =
      std::strtoull(Result.header("content-length").c_str(), nullptr, 10);
  while (Buffer.size() < HeaderEnd + 4 + Length)
    if (!receiveMore(Socket, Buffer, End))
      return false;
  Result.Body = Buffer.substr(HeaderEnd + 4, Length);
  Buffer.erase(0, HeaderEnd + 4 + Length);
  std::istringstream Words(Result.First);
  std::string Second;
  Words >> Result.Method >> Second;
  if (Result.Method.starts_with("HTTP/"))
    Result.Status = std::atoi(Second.c_str());
  else
    Result.Target = Second;
  return true;
}

inline bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Size =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    Sent += static_cast<std::size_t>(Size);
  }
  return true;
}

inline std::string response(int Status, const std::string &Body,
                            const std::string &Headers = "") {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline sockaddr_in socketAddress(const std::string &Ip, int Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Ip.c_str(), &Result.sin_addr);
  return Result;
}

/// Connects; -1 on failure.
inline int connectTo(const std::string &Ip, int Port,
                     const std::string &FromIp = "") {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!FromIp.empty()) {
    const sockaddr_in From = socketAddress(FromIp, 0);
    ::bind(Socket, reinterpret_cast<const sockaddr *>(&From), sizeof(From));
  }
  const sockaddr_in To = socketAddress(Ip, Port);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof(To))) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

/// Serves HTTP/1.1, one thread for each connection. The handler returns the
/// bytes to send; an empty result closes the connection.
class Server {
public:
  using Handler = std::function<std::string(const Message &)>;

  Server(std::string ListenIp, int ListenPort, Handler RequestHandler)
      : Ip(std::move(ListenIp)), Port(ListenPort),
        Handle(std::move(RequestHandler)) {}
  ~Server() { this->stop(); }

  /// Returns false if the address is in use.
  bool start() {
    this->Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    ::setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    const sockaddr_in Address = socketAddress(this->Ip, this->Port);
    if (::bind(this->Listener, reinterpret_cast<const sockaddr *>(&Address),
               sizeof(Address)) ||
        ::listen(this->Listener, 512)) {
      ::close(this->Listener);
      this->Listener = -1;
      return false;
    }
    this->Stopping = false;
    this->Acceptor = std::thread([this] { this->accept(); });
    return true;
  }

  /// Refuses connections and resets the open ones, as a process that is killed.
  void stop() {
    if (this->Listener < 0)
      return;
    this->Stopping = true;
    ::shutdown(this->Listener, SHUT_RDWR);
    this->Acceptor.join();
    ::close(this->Listener);
    this->Listener = -1;
    this->closeConnections();
    std::vector<std::thread> Ended;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      Ended.swap(this->Workers);
    }
    for (std::thread &Worker : Ended)
      Worker.join();
  }

  void closeConnections() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const int Socket : this->Open)
      ::shutdown(Socket, SHUT_RDWR);
  }

  bool isStopping() const { return this->Stopping; }

private:
  void accept() {
    while (!this->Stopping) {
      const int Socket =
          ::accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        continue;
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Open.insert(Socket);
      this->Workers.emplace_back([this, Socket] { this->serve(Socket); });
    }
  }

  void serve(int Socket) {
    std::string Buffer;
    Message Request;
    while (!this->Stopping &&
           readMessage(Socket, Buffer, Request,
                       Clock::now() + std::chrono::minutes(5))) {
      const std::string Bytes = this->Handle(Request);
      if (Bytes.empty() || this->Stopping || !sendAll(Socket, Bytes))
        break;
    }
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Open.erase(Socket);
    ::close(Socket);
  }

  std::string Ip;
  int Port;
  Handler Handle;
  int Listener = -1;
  std::atomic<bool> Stopping = false;
  std::thread Acceptor;
  std::mutex Mutex;
  std::set<int> Open;
  std::vector<std::thread> Workers;
};

/// Sends one request on a new connection; status 0 if no whole response came.
inline Message request(const std::string &Ip, int Port,
                       const std::string &Method, const std::string &Target,
                       const std::string &Headers, const std::string &Body,
                       double TimeoutSeconds) {
  Message Result;
  const int Socket = connectTo(Ip, Port, Ip);
  if (Socket < 0)
    return Result;
  std::string Buffer;
  const std::string Length =
      Method == "GET"
          ? ""
          : "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  if (!sendAll(Socket, Method + " " + Target + " HTTP/1.1\r\n" + Headers +
                           Length + "\r\n" + Body) ||
      !readMessage(Socket, Buffer, Result,
                   Clock::now() + Millis(static_cast<std::int64_t>(
                                      TimeoutSeconds * 1000))))
    Result = Message();
  ::close(Socket);
  return Result;
}

inline std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Result;
  const std::size_t Question = Target.find('?');
  if (Question == std::string::npos)
    return Result;
  std::istringstream Parts(Target.substr(Question + 1));
  std::string Part;
  while (std::getline(Parts, Part, '&'))
    if (const std::size_t Equals = Part.find('='); Equals != std::string::npos)
      Result[Part.substr(0, Equals)] = Part.substr(Equals + 1);
  return Result;
}

inline std::string base64(const std::string &Bytes) {
  static const char Letters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Word = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Word = Word << 8U |
             (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                   : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Result +=
          I + J <= Bytes.size() ? Letters[Word >> (18 - 6 * J) & 63U] : '=';
  }
  return Result;
}

inline std::string bigEndian(std::uint64_t Value, int Bytes) {
  std::string Result;
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Result.push_back(static_cast<char>(Value >> Shift & 0xFFU));
  return Result;
}

/// The platform's metadata store: keyed topics with one partition. The records
/// of the operator are written by the script.
class Store {
public:
  struct Entry {
    std::string Key, Value;
  };
  /// All records, by topic; a record's offset is its position.
  using Topics = std::map<std::string, std::vector<Entry>>;

  Store(const std::string &Ip, int Port, Record &CaseRecord)
      : Log(CaseRecord), Http(Ip, Port, [this](const Message &Request) {
          return this->serve(Request);
        }) {}

  bool start() { return this->Http.start(); }
  void stop() {
    this->setAway(true);
    this->Http.stop();
  }

  /// Appends a record as the operator does; returns its offset.
  std::size_t put(const std::string &Topic, const std::string &Key,
                  const std::string &Value) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Data[Topic].push_back({Key, Value});
    this->Changed.notify_all();
    return this->Data[Topic].size() - 1;
  }

  Topics copy() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Data;
  }

  /// Comes back from a copy, as after a drill: the header Store-Era rises.
  /// `Rewritten` are written by the operator before anybody else is served.
  void restore(const Topics &Copy,
               const std::vector<std::pair<std::string, Entry>> &Rewritten) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Data = Copy;
    ++this->Era;
    for (const auto &[Topic, Each] : Rewritten)
      this->Data[Topic].push_back(Each);
    this->IsAway = false;
    this->Changed.notify_all();
  }

  /// While the store is away, every call gets 503, also those that wait.
  void setAway(bool Away) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->IsAway = Away;
    this->Changed.notify_all();
  }

private:
  std::string answer(int Status, const std::string &Body) const {
    return response(Status, Body,
                    "Store-Era: " + std::to_string(this->Era) + "\r\n");
  }

  std::string serve(const Message &Request) {
    std::map<std::string, std::string> Query = queryOf(Request.Target);
    std::unique_lock<std::mutex> Lock(this->Mutex);
    if (this->IsAway)
      return this->answer(503, "{}");
    if (Request.Target.starts_with("/-/log-read"))
      return this->read(Query, Lock);
    if (Request.Target.starts_with("/-/log-newest"))
      return this->newest(Query);
    if (Request.Target.starts_with("/-/log-append"))
      return this->append(Query, Request.Body);
    return this->answer(404, "{}");
  }

  std::string read(std::map<std::string, std::string> &Query,
                   std::unique_lock<std::mutex> &Lock) {
    const std::string Topic = Query["topic"];
    const std::uint64_t From = std::stoull(Query["from"]);
    const auto End =
        Clock::now() +
        Millis(Query.contains("wait_ms") ? std::stoll(Query["wait_ms"]) : 0);
    const std::uint64_t StartEra = this->Era;
    this->Changed.wait_until(Lock, End, [&] {
      return this->IsAway || this->Era != StartEra ||
             this->Data[Topic].size() != From;
    });
    if (this->IsAway)
      return this->answer(503, "{}");
    const std::vector<Entry> &Records = this->Data[Topic];
    if (From > Records.size())
      return this->answer(410, "{\"first\":0}");
    std::string Body = bigEndian(Records.size(), 8) + bigEndian(0, 8);
    for (std::size_t I = From; I < Records.size(); ++I)
      Body +=
          bigEndian(1 + Records[I].Key.size() + Records[I].Value.size(), 4) +
          static_cast<char>(Records[I].Key.size()) + Records[I].Key +
          Records[I].Value;
    return this->answer(200, Body);
  }

  std::string newest(std::map<std::string, std::string> &Query) {
    const auto Found = this->Data.find(Query["topic"]);
    if (Found == this->Data.end())
      return this->answer(404, "{}");
    std::map<std::string, std::size_t> Newest;
    for (std::size_t I = 0; I < Found->second.size(); ++I)
      Newest[Found->second[I].Key] = I;
    Json Result = {{"items", Json::array()},
                   {"more", false},
                   {"end", Found->second.size()}};
    for (const auto &[Key, Offset] : Newest)
      if (!Found->second[Offset].Value.empty())
        Result["items"].push_back(
            {{"key", Key},
             {"value", base64(Found->second[Offset].Value)},
             {"offset", Offset}});
    return this->answer(200, Result.dump());
  }

  std::string append(std::map<std::string, std::string> &Query,
                     const std::string &Body) {
    const std::string Topic = Query["topic"];
    if (Topic == "keyed.op" || Topic == "keyed.servers")
      return this->answer(403, "{}");
    std::vector<Entry> &Records = this->Data[Topic];
    if (Query.contains("at") && std::stoull(Query["at"]) != Records.size())
      return this->answer(412,
                          "{\"end\":" + std::to_string(Records.size()) + "}");
    if (Query.contains("producer")) {
      std::uint64_t &Epoch = this->Epochs[Topic + "/" + Query["producer"]];
      const std::uint64_t Given = std::stoull(Query["epoch"]);
      if (Given < Epoch)
        return this->answer(409, "{\"why\":\"fenced\"}");
      Epoch = Given;
    }
    const std::size_t First = Records.size();
    for (std::size_t I = 0; I + 4 <= Body.size();) {
      std::size_t Length = 0;
      for (std::size_t J = 0; J < 4; ++J)
        Length = Length << 8U | static_cast<unsigned char>(Body[I + J]);
      const std::string Content = Body.substr(I + 4, Length);
      const std::size_t KeyLength = static_cast<unsigned char>(Content[0]);
      Records.push_back(
          {Content.substr(1, KeyLength), Content.substr(1 + KeyLength)});
      if (Topic == "keyed.status")
        this->Log.line("status written: " + Records.back().Key + " " +
                       Records.back().Value);
      I += 4 + Length;
    }
    this->Changed.notify_all();
    return this->answer(200, "{\"offset\":" + std::to_string(First) +
                                 ",\"end\":" + std::to_string(Records.size()) +
                                 "}");
  }

  Record &Log;
  std::mutex Mutex;
  std::condition_variable Changed;
  Topics Data;
  std::map<std::string, std::uint64_t> Epochs;
  std::uint64_t Era = 1;
  bool IsAway = false;
  Server Http;
};

/// Addresses and names of one machine.
struct Machine {
  std::string Name, Zone, Service, Ip;
};

constexpr int LinkPort = 8300;
constexpr int ApplicationPort = 8301;
constexpr int ReadinessPort = 8302;
constexpr int CallerPort = 8304;
constexpr int RegistrationPort = 8306;
constexpr int StorePort = 8309;

constexpr double HeartbeatSeconds = 1.5;
constexpr double DrainTimeoutSeconds = 2;

/// The node's process on a machine, run as the deploy file says.
class Node {
public:
  Node(Machine OwnMachine, std::string StoreIp, std::string Directory)
      : Own(std::move(OwnMachine)), StoreAddress(std::move(StoreIp)),
        Files(std::move(Directory)) {}
  ~Node() { this->kill(); }

  bool start(bool IsFirstStart) {
    const std::string Settings = this->Files + "/" + this->Own.Name + ".json";
    std::ofstream(Settings) << this->settings(IsFirstStart);
    const std::string Output = this->Files + "/" + this->Own.Name + ".log";
    this->Process = ::fork();
    if (this->Process == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Log =
          ::open(Output.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
      ::dup2(Log, 1);
      ::dup2(Log, 2);
      ::setenv("PERSIMMONQUAY_CONFIG", Settings.c_str(), 1);
      ::execl("target/bin/persimmonquay", "target/bin/persimmonquay", "sidecar",
              static_cast<char *>(nullptr));
      ::_exit(127);
    }
    return this->Process > 0;
  }

  void signal(int Number) {
    if (this->Process > 0)
      ::kill(this->Process, Number);
  }

  void kill() {
    if (this->Process <= 0)
      return;
    ::kill(this->Process, SIGKILL);
    ::waitpid(this->Process, nullptr, 0);
    this->Process = -1;
  }

  /// Whether the process has ended by itself.
  bool hasEnded() {
    return this->Process > 0 && ::waitpid(this->Process, nullptr, WNOHANG) > 0;
  }

  bool isReady() const {
    return request(this->Own.Ip, ReadinessPort, "GET", "/-/readiness",
                   "Host: a\r\n", "", 1)
               .Status == 200;
  }

  const Machine &machine() const { return this->Own; }

private:
  std::string settings(bool IsFirstStart) const {
    const auto Address = [this](int Port) {
      return this->Own.Ip + ":" + std::to_string(Port);
    };
    const std::map<std::string, Json> Fields = {
        {"node_name", this->Own.Name},
        {"zone", this->Own.Zone},
        {"ip_address", this->Own.Ip},
        {"listen_addresses.outbound", Address(CallerPort)},
        {"listen_addresses.inbound", Address(LinkPort)},
        {"listen_addresses.readiness_address", Address(ReadinessPort)},
        {"listen_addresses.control_plane", Address(RegistrationPort)},
        {"application_address", Address(ApplicationPort)},
        {"service", this->Own.Service},
        {"platform.address",
         this->StoreAddress + ":" + std::to_string(StorePort)},
        {"heartbeat_interval_s", HeartbeatSeconds},
        {"bounds.grace_period_s", 6},
        {"bounds.drain_timeout_s", DrainTimeoutSeconds},
        {"bounds.retry_budget_ratio", 0.2},
        {"bounds.budget_window_s", 10},
        {"bounds.budget_extra_retries", 60},
        {"bounds.exposure_share", 0.1},
        {"bounds.exposure_slack", 50},
        {"limits.memory_mb", 260},
        {"limits.link_bandwidth_mbps", 1000.0},
        {"initial_start", IsFirstStart}};
    std::ifstream File("platform/settings.template");
    std::string Text((std::istreambuf_iterator<char>(File)),
                     std::istreambuf_iterator<char>());
    for (const auto &[Name, Value] : Fields) {
      replaceAll(Text, "{{" + Name + "|json}}", Value.dump());
      replaceAll(Text, "{{" + Name + "}}",
                 Value.is_string() ? Value.get<std::string>() : Value.dump());
    }
    return Text;
  }

  static void replaceAll(std::string &Text, const std::string &From,
                         const std::string &To) {
    for (std::size_t At = Text.find(From); At != std::string::npos;
         At = Text.find(From, At + To.size()))
      Text.replace(At, From.size(), To);
  }

  Machine Own;
  std::string StoreAddress, Files;
  pid_t Process = -1;
};

/// Codes bytes with gzip, without compressing them.
inline std::string gzip(const std::string &Bytes) {
  std::uint32_t Checksum = 0xFFFFFFFFU;
  for (const char Byte : Bytes) {
    Checksum ^= static_cast<unsigned char>(Byte);
    for (int Bit = 0; Bit < 8; ++Bit)
      Checksum = Checksum >> 1U ^ (Checksum & 1U ? 0xEDB88320U : 0U);
  }
  const auto LittleEndian = [](std::uint32_t Value, int Count) {
    std::string Result;
    for (int I = 0; I < Count; ++I)
      Result.push_back(static_cast<char>(Value >> (8 * I) & 0xFFU));
    return Result;
  };
  const auto Size = static_cast<std::uint32_t>(Bytes.size());
  return std::string("\x1f\x8b\x08\0\0\0\0\0\0\xff\x01", 11) +
         LittleEndian(Size, 2) + LittleEndian(~Size, 2) + Bytes +
         LittleEndian(~Checksum, 4) + LittleEndian(Size, 4);
}

/// A request that an upstream has run.
struct Run {
  double Time;
  std::string RequestId;
};

/// A back end beside a node. Sends its liveness reports by itself.
class Upstream {
public:
  Upstream(Machine OwnMachine, std::string InstanceId, Record &CaseRecord,
           double WorkSeconds = 0.02)
      : Own(std::move(OwnMachine)), Instance(std::move(InstanceId)),
        Log(CaseRecord), Work(WorkSeconds),
        Http(this->Own.Ip, ApplicationPort,
             [this](const Message &Request) { return this->serve(Request); }) {}
  ~Upstream() { this->crash(); }

  /// Begins a lifetime. `ClockErrorMs` is by how much the machine's time of day
  /// is ahead at this moment.
  bool start(std::int64_t ClockErrorMs = 0) {
    this->Born = unixMillis() + ClockErrorMs;
    this->Sequence = 0;
    this->IsDraining = false;
    if (!this->Http.start())
      return false;
    this->Log.line("back end " + this->Instance + " starts, born " +
                   std::to_string(this->Born));
    this->IsRunning = true;
    this->Reporter = std::thread([this] { this->reportAgain(); });
    return true;
  }

  /// Ends without a word: open connections break, new ones are refused.
  void crash() {
    if (!this->IsRunning.exchange(false))
      return;
    this->Wake.notify_all();
    this->Reporter.join();
    this->Http.stop();
    this->Log.line("back end " + this->Instance + " ends");
  }

  /// Reports that the back end leaves; returns the status of the response.
  int drain() {
    this->IsDraining = true;
    return this->report();
  }

  std::vector<Run> runs() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Runs;
  }

  /// Headers that all answers have from now on.
  void setHeaders(const std::string &Lines) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ExtraHeaders = Lines;
  }

  /// Lets each `Every`-th request fail after it has run, with this status and
  /// without a statement that it has not run; 0 for none.
  void failRuns(int Every, int Status) {
    this->FailEvery = Every;
    this->FailStatus = Status;
  }

  /// Sends each `Every`-th answer in a transfer coding that nobody asked for,
  /// gzip in chunks; 0 for none.
  void codeAnswers(int Every) { this->CodeEvery = Every; }

  const std::string &instance() const { return this->Instance; }

private:
  int report() {
    const std::lock_guard<std::mutex> Lock(this->ReportMutex);
    const Json Body = {
        {"service", this->Own.Service},
        {"address", this->Own.Ip + ":" + std::to_string(ApplicationPort)},
        {"zone", this->Own.Zone},
        {"version", "v1"},
        {"capacity_slots", 9},
        {"state", this->IsDraining ? "draining" : "ready"},
        {"cold_remaining_s", 0},
        {"sequence", ++this->Sequence},
        {"born", this->Born}};
    const int Status =
        request(this->Own.Ip, RegistrationPort, "POST",
                "/-/Instances.Heartbeat/" + this->Instance,
                "Host: a\r\nContent-Type: application/json\r\n", Body.dump(), 1)
            .Status;
    this->Log.line("back end " + this->Instance + " reports " +
                   Body["state"].get<std::string>() + ", born " +
                   std::to_string(this->Born) + ", sequence " +
                   std::to_string(this->Sequence) + ": status " +
                   std::to_string(Status));
    return Status;
  }

  void reportAgain() {
    while (this->IsRunning) {
      const bool IsKnown = this->report() == 200;
      std::unique_lock<std::mutex> Lock(this->Mutex);
      this->Wake.wait_for(
          Lock, std::chrono::duration<double>(IsKnown ? HeartbeatSeconds : 0.1),
          [this] { return !this->IsRunning; });
    }
  }

  std::string serve(const Message &Request) {
    const std::string InstanceHeader =
        "X-Persimmonquay-Instance-Id: " + this->Instance + "\r\n";
    if (Request.Target == "/health")
      return response(this->IsDraining ? 503 : 200, "", InstanceHeader);
    const std::string Id = Request.header("x-persimmonquay-request-id");
    const std::string IdHeader = "X-Persimmonquay-Request-Id: " + Id + "\r\n";
    const std::string Expected =
        Request.header("x-persimmonquay-expected-instance");
    if (!Expected.empty() && Expected != this->Instance)
      return response(421, "", InstanceHeader + IdHeader);
    std::string Extra;
    std::size_t Number;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Runs.push_back({elapsed(), Id});
      Number = this->Runs.size();
      Extra = this->ExtraHeaders;
    }
    this->Log.line("back end " + this->Instance + " runs " + Id);
    sleepFor(this->Work);
    const int Every = this->FailEvery;
    const int Status =
        Every > 0 && Number % Every == 0 ? this->FailStatus.load() : 200;
    if (Status != 200)
      this->Log.line("back end " + this->Instance + " fails " + Id +
                     " with status " + std::to_string(Status));
    const std::string Body = "from " + this->Own.Service;
    const std::string Headers =
        IdHeader + Extra + "X-Persimmonquay-Server-Load: 1,0,9\r\n" +
        "X-Persimmonquay-Response-Signature: s." + Id + "\r\n";
    const int EveryCoded = this->CodeEvery;
    if (EveryCoded <= 0 || Number % EveryCoded != 0)
      return response(Status, Body, Headers);
    this->Log.line("back end " + this->Instance + " codes its answer to " + Id);
    const std::string Coded = gzip(Body);
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Coded.size());
    return "HTTP/1.1 200 X\r\n" + Headers +
           "Transfer-Encoding: gzip, chunked\r\n\r\n" + Size + Coded +
           "\r\n0\r\n\r\n";
  }

  Machine Own;
  std::string Instance;
  Record &Log;
  double Work;
  std::int64_t Born = 0;
  std::uint64_t Sequence = 0;
  std::atomic<bool> IsDraining = false;
  std::atomic<bool> IsRunning = false;
  std::mutex Mutex, ReportMutex;
  std::condition_variable Wake;
  std::vector<Run> Runs;
  std::string ExtraHeaders;
  std::atomic<int> FailEvery = 0, FailStatus = 500, CodeEvery = 0;
  std::thread Reporter;
  Server Http;
};

/// Replaces the bytes that can't be printed by question marks.
inline std::string printable(std::string Text) {
  for (char &Byte : Text)
    if (std::isprint(static_cast<unsigned char>(Byte)) == 0)
      Byte = '?';
  return Text;
}

/// A client attempt as the client saw it.
struct Attempt {
  double SentAt;
  std::string Machine, RequestId;
  int Status;
  std::string Body;
};

/// Clients on one machine that send requests at a fixed pace.
class Clients {
public:
  Clients(Machine OwnMachine, std::string RequestMethod,
          std::string RequestTarget, double PerSecond, Record &CaseRecord,
          int SenderCount = 4)
      : Own(std::move(OwnMachine)), Method(std::move(RequestMethod)),
        Target(std::move(RequestTarget)), Interval(1 / PerSecond),
        Senders(SenderCount), Log(CaseRecord) {}
  ~Clients() { this->stop(); }

  void start() {
    this->IsRunning = true;
    for (int I = 0; I < this->Senders; ++I)
      this->Threads.emplace_back([this, I] { this->run(I); });
  }
  void stop() {
    this->IsRunning = false;
    for (std::thread &Each : this->Threads)
      Each.join();
    this->Threads.clear();
  }
  std::vector<Attempt> attempts() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Sent;
  }

private:
  void run(int Sender) {
    sleepFor(this->Interval * Sender);
    for (int Number = 0; this->IsRunning; ++Number) {
      const std::string Id = this->Own.Name + "-" + this->Method + "-" +
                             std::to_string(Sender) + "-" +
                             std::to_string(Number);
      const double SentAt = elapsed();
      const Message Answer =
          request(this->Own.Ip, CallerPort, this->Method, this->Target,
                  "Host: boards.example\r\nX-Persimmonquay-Request-Id: " + Id +
                      "\r\nX-Persimmonquay-Deadline-Remaining: 1500\r\n"
                      "Connection: close\r\n",
                  "", 1.7);
      this->Log.line("client " + Id + " sent at " + std::to_string(SentAt) +
                     ": status " + std::to_string(Answer.Status) + " " +
                     printable(Answer.Body));
      {
        const std::lock_guard<std::mutex> Lock(this->Mutex);
        this->Sent.push_back(
            {SentAt, this->Own.Name, Id, Answer.Status, Answer.Body});
      }
      sleepUntil(SentAt + this->Interval * this->Senders);
    }
  }

  Machine Own;
  std::string Method, Target;
  double Interval;
  int Senders;
  Record &Log;
  std::atomic<bool> IsRunning = false;
  std::mutex Mutex;
  std::vector<Attempt> Sent;
  std::vector<std::thread> Threads;
};

/// A route of the operator's configuration.
inline Json route(const std::string &Prefix, const std::string &Kind,
                  const std::string &Service) {
  return {{"name", "r" + Prefix}, {"path_prefix", Prefix},   {"kind", Kind},
          {"timeout_s", 1.5},     {"target_latency_s", 0.4}, {"priority", 1},
          {"service", Service},   {"max_attempts", 2}};
}

/// A configuration in full, as the operator stores it.
inline std::string configuration(std::uint64_t Version,
                                 const std::vector<std::string> &Services,
                                 const std::vector<Json> &Routes) {
  Json Result = {{"version", Version},
                 {"services", Json::array()},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", 1048576},
                   {"header_timeout_s", 3},
                   {"idle_timeout_s", 15}}},
                 {"virtual_hosts",
                  {{{"host", "boards.example"}, {"path_rules", Routes}}}}};
  for (const std::string &Service : Services)
    Result["services"].push_back({{"name", Service},
                                  {"health_check_path", "/health"},
                                  {"max_connections", 120},
                                  {"protocol", "h1"},
                                  {"transport_security", false}});
  return Result.dump();
}

/// A temporary directory that is removed at the end.
class TemporaryDirectory {
public:
  TemporaryDirectory() {
    char Name[] = "/tmp/review-3-XXXXXX";
    this->Path = ::mkdtemp(Name);
  }
  ~TemporaryDirectory() {
    if (std::getenv("KEEP") != nullptr)
      std::cerr << "files kept in " << this->Path << "\n";
    else
      std::filesystem::remove_all(this->Path);
  }
  std::string Path;
};

/// Returns the first three bytes of a loopback network that nobody uses.
inline std::string freeNetwork() {
  for (int Try = 0; Try < 200; ++Try) {
    const int Number = (::getpid() + Try * 7919) % 50000;
    const std::string Network = "127." + std::to_string(20 + Number / 250) +
                                "." + std::to_string(1 + Number % 250) + ".";
    Server Probe(Network + "1", StorePort,
                 [](const Message &) { return std::string(); });
    if (Probe.start())
      return Network;
  }
  return "127.0.1.";
}

/// The value of TROUBLE; true unless it is 0.
inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

/// Waits until all nodes are ready; false after 20 seconds.
inline bool awaitReady(const std::vector<std::unique_ptr<Node>> &Nodes) {
  const double End = elapsed() + 20;
  for (const std::unique_ptr<Node> &Each : Nodes)
    while (!Each->isReady()) {
      if (elapsed() > End)
        return false;
      sleepFor(0.1);
    }
  return true;
}

} // namespace rig

#endif // REVIEW_RIG_3_RIG_H
