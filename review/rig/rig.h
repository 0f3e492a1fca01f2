// Stand-ins for the platform's store, its back ends and its clients, and the
// start of the project's nodes as separate processes, for the scripts of the
// review. Everything listens on 127.0.0.1 and uses the real clock.
#ifndef REVIEW_RIG_RIG_H
#define REVIEW_RIG_RIG_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Exit codes of a script.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Writes what was sent, answered and run, with the seconds since its start.
class Record {
public:
  explicit Record(const std::string &Path);
  void line(const std::string &Text);
  /// Returns the seconds since the record was opened.
  double seconds() const;

private:
  std::mutex Mutex;
  std::ofstream File;
  Clock::time_point Start;
};

/// A request or a response; header names are in lower case.
struct Message {
  /// The request line or the status line.
  std::string FirstLine;
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// Returns the status of a response, or 0.
  int status() const;
  /// Returns the part of a request line with this index: method, target.
  std::string word(int Index) const;
  std::string header(const std::string &Name) const;
};

/// One TCP connection on loopback.
class Connection {
public:
  explicit Connection(int Handle) : Handle(Handle) {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection();

  /// Connects to a port of 127.0.0.1, or returns null.
  static std::unique_ptr<Connection> open(std::uint16_t Port);

  bool send(const std::string &Bytes) const;
  /// Reads one message. `HasNoBody` is set for the response to a HEAD request.
  /// Returns false if the connection ends or nothing arrives in time, or if the
  /// bytes are no HTTP message; `pending()` then holds what was received.
  bool read(Message *Result, Millis Timeout, bool HasNoBody = false);
  /// Ends both directions, so that a thread that reads returns.
  void shutDown() const;
  const std::string &pending() const { return this->Buffer; }

private:
  bool receive(Clock::time_point Deadline);

  int Handle;
  std::string Buffer;
};

/// Accepts connections on a free port and serves each one in its own thread.
class Server {
public:
  using Handler = std::function<void(Connection &)>;

  /// Listens on `Port`, or on a free one for 0.
  explicit Server(Handler ServeConnection, std::uint16_t Port = 0);
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  ~Server();

  std::uint16_t port() const { return this->Port; }
  /// Closes the port; open connections stay.
  void closePort();
  /// Closes the port and all connections.
  void stop();

private:
  void acceptConnections();

  Handler Serve;
  int Listener = -1;
  std::uint16_t Port = 0;
  std::atomic<bool> PortClosed = false;
  std::atomic<bool> Stopped = false;
  std::mutex Mutex;
  std::vector<std::shared_ptr<Connection>> Connections;
  std::vector<std::thread> Workers;
  std::thread Acceptor;
};

/// The platform's store: keyed topics with one partition each, in memory.
class Store {
public:
  explicit Store(Record &Log);
  ~Store() { this->stop(); }

  /// Adds an address of the store, so that its callers can be told apart.
  std::uint16_t addDoor(const std::string &Caller);
  /// Appends a record, as the operator does.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  std::optional<std::string> newest(const std::string &Topic,
                                    const std::string &Key);
  /// While it is down, the store answers all calls with 503.
  void setDown(bool IsDown);
  void stop();

private:
  struct Entry {
    std::string Key;
    std::string Value;
    std::uint64_t Offset = 0;
  };
  struct Topic {
    std::vector<Entry> Entries;
    std::map<std::string, Entry> Newest;
    std::map<std::string, std::uint64_t> Epochs;
  };

  void serve(Connection &Client, const std::string &Caller);
  std::string answer(const Message &Request, const std::string &Caller);
  std::string append(const std::map<std::string, std::string> &Query,
                     const std::string &Body, const std::string &Caller);
  std::string read(const std::map<std::string, std::string> &Query);
  std::string listNewest(const std::map<std::string, std::string> &Query);
  void add(const std::string &Name, const std::string &Key,
           const std::string &Value);

  Record &Log;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Topic> Topics;
  bool Down = false;
  bool Stopped = false;
  std::vector<std::unique_ptr<Server>> Doors;
};

/// How long a back end that has crashed is down.
constexpr Millis CrashTime{2000};

/// Interval of liveness reports; the first one comes at the start.
constexpr Millis BeatInterval{1500};

/// What a back end does with a request.
struct Reaction {
  int Status = 200;
  std::string Body = "the whole body of the back end";
  Millis Work{5};
  /// Runs the request, then closes the connection without an answer.
  bool LosesAnswer = false;
  /// Ends the back end. It starts again after `CrashTime`, under the same id.
  bool Crashes = false;
};

/// A request that a back end began to work on.
struct Run {
  std::string RequestId;
  std::string Instance;
  double ReceivedAt = 0;
  int Status = 0;
};

/// A back end as the platform's pages describe it.
class Backend {
public:
  using Behaviour = std::function<Reaction(const Message &)>;

  Backend(Record &Log, std::string Instance, std::string Service,
          std::string Version, Behaviour React);
  ~Backend();

  std::uint16_t port() const { return this->Port; }
  const std::string &instance() const { return this->Instance; }
  const std::string &service() const { return this->Service; }
  const std::string &version() const { return this->Version; }
  std::uint64_t bornUnixMs() const { return this->BornUnixMs; }
  /// Number of requests that it works on.
  int running() const { return this->Running; }
  std::vector<Run> runs();
  void setLeaving() { this->Leaving = true; }
  bool isLeaving() const { return this->Leaving; }
  /// Ends the back end for good.
  void stop();
  /// Returns whether a liveness report is due, and plans the next one.
  bool takeDueReport();

private:
  void serve(Connection &Caller);
  void crash();

  Record &Log;
  std::string Instance;
  std::string Service;
  std::string Version;
  Behaviour React;
  std::atomic<std::uint64_t> BornUnixMs;
  Clock::time_point NextReport;
  std::uint16_t Port = 0;
  bool IsDown = false;
  std::vector<std::thread> Restarts;
  std::atomic<int> Running = 0;
  std::atomic<bool> Leaving = false;
  std::atomic<bool> Ended = false;
  std::mutex Mutex;
  std::vector<Run> Runs;
  std::unique_ptr<Server> Http;
};

/// A machine: a node of the project, which runs as a process, and its back end.
class Machine {
public:
  Machine(Record &Log, Store &Platform, std::string Name, std::string Zone,
          std::unique_ptr<Backend> OwnBackend);
  Machine(const Machine &) = delete;
  Machine &operator=(const Machine &) = delete;
  ~Machine();

  /// Starts the node's process.
  void start(bool IsFirstStart);
  /// Sends a signal to the node's process.
  void signal(int Number);
  /// Kills the process and waits for its end.
  void kill();
  /// Returns whether the process runs; collects it if it has ended.
  bool isRunning();
  /// Takes the next liveness report of the back end, which may arrive late.
  std::string nextBeat(const std::string &State);
  /// Sends one liveness report, or the deregistration; returns the status.
  int sendBeat(const std::string &Body);
  int beat(const std::string &State);
  int deregister();
  bool isReady() const;

  const std::string &name() const { return this->Name; }
  std::uint16_t callerPort() const { return this->CallerPort; }
  Backend &backend() { return *this->OwnBackend; }

private:
  int report(const std::string &Path, const std::string &Body) const;

  Record &Log;
  std::string Name;
  std::string Zone;
  std::unique_ptr<Backend> OwnBackend;
  std::uint16_t CallerPort;
  std::uint16_t LinkPort;
  std::uint16_t ReadinessPort;
  std::uint16_t RegistrationPort;
  std::uint16_t MetricsPort;
  std::uint16_t StorePort;
  std::string Directory;
  pid_t Process = -1;
  std::mutex BeatMutex;
  std::uint64_t Sequence = 0;
};

/// A route of the configuration.
struct Route {
  std::string Prefix;
  std::string Service;
  std::string Kind = "safe";
  double TimeoutS = 2.5;
  int MaxAttempts = 2;
};

/// The platform: its store, the machines, and the liveness reports of all back
/// ends every 1.5 s.
class Platform {
public:
  /// `Folder` is the folder of the case, in which record.txt is written.
  explicit Platform(const std::string &Folder);
  Platform(const Platform &) = delete;
  Platform &operator=(const Platform &) = delete;
  ~Platform();

  /// Adds a machine, starts its node, and reports its back end. The machines
  /// that are added before the first configuration start with the system.
  Machine &add(const std::string &Name, const std::string &Zone,
               const std::string &Service, const std::string &Version,
               Backend::Behaviour React);
  /// Confirms a configuration with these routes of the host "app.example".
  void publish(std::uint64_t Version, const std::vector<Route> &Routes);
  /// Waits until all nodes are ready.
  bool awaitReady(Millis Timeout);

  Record &record() { return this->Log; }
  Store &store() { return this->Records; }
  std::vector<std::unique_ptr<Machine>> &machines() { return this->Machines; }

private:
  void reportAll();

  Record Log;
  Store Records;
  std::vector<std::unique_ptr<Machine>> Machines;
  std::mutex Mutex;
  std::atomic<bool> Stopped = false;
  bool HasStarted = false;
  std::thread Reporter;
};

/// Returns a client's request for the host "app.example".
std::string request(const std::string &Method, const std::string &Target,
                    const std::string &Id, int RemainingMs,
                    const std::string &Body = {});

/// Returns false only if the variable TROUBLE is 0.
bool hasTrouble();

/// Sleeps until `Seconds` of the record.
void sleepUntil(const Record &Log, double Seconds);

} // namespace review

#endif // REVIEW_RIG_RIG_H
