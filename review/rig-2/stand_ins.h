// Stand-ins for the platform's store, upstreams and callers, and a launcher of
// the project's nodes as separate processes. All of them follow the platform's
// pages; only loopback addresses are used.
#ifndef PERSIMMONQUAY_REVIEW_RIG_2_STAND_INS_H
#define PERSIMMONQUAY_REVIEW_RIG_2_STAND_INS_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// Exit codes of a case.
inline constexpr int ExitHeld = 0;
inline constexpr int ExitBroken = 1;
inline constexpr int ExitCannotRun = 2;

/// Returns the seconds since the start of the case.
double now();
void sleepUntil(double Time);
void sleepFor(double Seconds);
std::int64_t unixMillis();

/// Writes a line with the time to record.txt.
void record(const std::string &Line);

/// Polls `Condition` for at most `Seconds`.
bool eventually(double Seconds, const std::function<bool()> &Condition);

/// A request or a response; header names are in lower case.
struct Message {
  /// The first line.
  std::string Start;
  std::map<std::string, std::string> Headers;
  std::string Body;

  std::string method() const;
  std::string target() const;
  /// Returns the status of a response, 0 if there was none.
  int status() const;
  std::string header(const std::string &Name) const;
};

/// A TCP connection with what has been read of it.
class Connection {
public:
  explicit Connection(int Socket) : Descriptor(Socket) {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection();

  /// Connects to a port of 127.0.0.1, or returns null.
  static std::shared_ptr<Connection> open(std::uint16_t Port);

  bool send(const std::string &Bytes);
  /// Reads a request or a response with a length. Returns false if the
  /// connection ends or `Seconds` pass before.
  bool read(Message &Result, double Seconds);
  /// Reads the response to a HEAD request, which has no body.
  bool readHead(Message &Result, double Seconds);
  /// Returns whether the other end has closed the connection.
  bool isClosed() const;
  /// Closes the connection with a reset.
  void reset();
  void close();

private:
  bool fill(double Deadline);
  bool readHeadUntil(Message &Result, double Deadline);

  std::atomic<int> Descriptor;
  std::string Buffer;
};

/// Accepts connections on a port of 127.0.0.1, each handled by a thread.
class Listener {
public:
  using Handler = std::function<void(const std::shared_ptr<Connection> &)>;

  explicit Listener(Handler ConnectionHandler);
  ~Listener();

  std::uint16_t port() const { return this->Port; }

private:
  struct State;

  std::uint16_t Port = 0;
  std::shared_ptr<State> Shared;
};

/// Returns a port that is free for both TCP and UDP at the moment.
std::uint16_t freePort();

/// The platform's store: keyed topics with one partition each.
class Store {
public:
  Store();

  std::uint16_t port() const { return this->Server->port(); }
  /// Appends a record, as the operator does.
  std::uint64_t put(const std::string &Topic, const std::string &Key,
                    const std::string &Value);
  std::optional<std::string> newest(const std::string &Topic,
                                    const std::string &Key);
  /// Time that each answer takes.
  void setDelay(double Seconds) { this->Delay = Seconds; }
  /// Called with each record that a node appends.
  std::function<void(const std::string &Topic, const std::string &Key,
                     const std::string &Value)>
      OnAppend;

private:
  struct Record {
    std::string Key;
    std::string Value;
    std::uint64_t Offset = 0;
  };
  struct Topic {
    std::deque<Record> Records;
    std::map<std::string, Record> Newest;
    std::map<std::string, std::uint64_t> Epochs;
  };

  void serve(const std::shared_ptr<Connection> &Caller);
  std::string answer(const Message &Request);
  std::string append(const std::map<std::string, std::string> &Query,
                     const std::string &Body);
  std::string read(const std::map<std::string, std::string> &Query);
  std::string listNewest(const std::map<std::string, std::string> &Query);
  void add(Topic &Log, const std::string &Key, const std::string &Value);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Topic> Topics;
  std::atomic<double> Delay = 0.004;
  std::unique_ptr<Listener> Server;
};

/// An upstream: answers health checks and passes all other requests to a
/// handler.
class Upstream {
public:
  /// Handles a request; the connection is kept if it returns true.
  using Handler = std::function<bool(const Message &Request, Connection &)>;

  Upstream(std::string InstanceId, Handler RequestHandler);

  std::uint16_t port() const { return this->Server->port(); }
  const std::string &instance() const { return this->Instance; }
  void setDraining() { this->IsDraining = true; }
  bool isDraining() const { return this->IsDraining; }
  void setHandler(Handler NewHandler);

private:
  void serve(const std::shared_ptr<Connection> &Caller);

  std::string Instance;
  std::mutex Mutex;
  Handler CurrentHandler;
  std::atomic<bool> IsDraining = false;
  std::unique_ptr<Listener> Server;
};

/// Returns a whole answer of a sound upstream to `Request`.
std::string answerTo(const Message &Request, int Status = 200,
                     const std::string &Body = "whole body");

/// A node of the project as a separate process, with the settings of a small
/// deployment.
class Node {
public:
  struct Options {
    std::string Name;
    std::string Zone = "nashua";
    std::string Service;
    std::string Version = "v1";
    std::uint16_t StorePort = 0;
    std::uint16_t UpstreamPort = 0;
    double MemoryMegabytes = 110;
    std::uint32_t Slots = 9;
  };

  explicit Node(Options NodeOptions);
  ~Node();

  /// Starts the process. `IsFirst` says whether the whole system starts.
  void start(bool IsFirst);
  void signal(int Number);
  /// Kills the process and waits for its end.
  void kill();
  /// Returns whether the process has ended by itself.
  bool hasEnded();
  /// Returns the resident memory in megabytes, 0 if the process has ended.
  double residentMegabytes() const;

  /// Sends a report of the upstream; returns the status of the answer.
  int heartbeat(const std::string &Instance, const std::string &State);
  int deregister(const std::string &Instance);
  bool isReady() const;

  const Options &options() const { return this->Setup; }
  std::uint16_t callerPort() const { return this->CallerPort; }
  std::uint16_t linkPort() const { return this->LinkPort; }
  std::uint16_t registrationPort() const { return this->RegistrationPort; }
  std::int64_t born() const { return this->Born; }
  pid_t pid() const { return this->Pid; }
  /// Returns lines of the log that contain `Text`.
  std::vector<std::string> logLines(const std::string &Text) const;

private:
  void writeSettings(bool IsFirst) const;
  std::string path(const std::string &Suffix) const;

  Options Setup;
  std::uint16_t CallerPort;
  std::uint16_t LinkPort;
  std::uint16_t ReadinessPort;
  std::uint16_t RegistrationPort;
  std::uint16_t MetricsPort;
  std::uint64_t Sequence = 0;
  std::int64_t Born;
  pid_t Pid = -1;
};

/// A request of a client.
struct Call {
  std::string Method = "GET";
  std::string Target;
  std::string Id;
  std::string Body = {};
  int DeadlineMs = 2500;
  std::string Host = "hulo84.example";

  std::string bytes() const;
};

/// Sends a request on a new connection and returns the answer; its status is 0
/// if the connection ended or `Seconds` passed before a whole answer.
Message send(std::uint16_t Port, const Call &Request, double Seconds = 10);

/// A route of a configuration.
struct Route {
  std::string Prefix;
  std::string Kind;
  std::string Service;
  double TimeoutSeconds = 1.5;
};

/// Returns a configuration as the operator writes it.
std::string configuration(std::uint64_t Version,
                          const std::vector<std::string> &Services,
                          const std::vector<Route> &Routes);

/// Ends all nodes and the case with an exit code. The threads of the stand-ins
/// still run then, so nothing that they use may be destroyed before.
[[noreturn]] void endCase(int ExitCode);

/// Runs a case: calls `Body`, which ends with `endCase()`, with whether the
/// disruption is to take place. The first argument of the program is the folder
/// of the case.
[[noreturn]] void runCase(int ArgumentCount, char **Arguments,
                          const std::function<void(bool HasTrouble)> &Body);

} // namespace review

#endif // PERSIMMONQUAY_REVIEW_RIG_2_STAND_INS_H
