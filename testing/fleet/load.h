// Callers that send requests and check every answer against its request.
#ifndef PERSIMMONQUAY_TESTING_FLEET_LOAD_H
#define PERSIMMONQUAY_TESTING_FLEET_LOAD_H

#include "persimmonquay/base/time.h"
#include "testing/fleet/http.h"
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmonquay::testing {

/// What callers saw.
struct LoadReport {
  std::uint64_t Calls = 0;
  /// Whole answers of status 200 that belong to their request.
  std::uint64_t Succeeded = 0;
  /// Answers of status 500 and above that an upstream gave.
  std::uint64_t ServerErrors = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  /// Connections that broke after the request was sent.
  std::uint64_t ConnectionsBroken = 0;
  /// Connections that were refused, so that nothing was sent.
  std::uint64_t ConnectionsRefused = 0;
  /// Answers that belong to another request or are not whole.
  std::uint64_t Mismatched = 0;
  std::map<std::string, std::uint64_t> CallsByVersion;
  std::vector<std::chrono::microseconds> Latencies;
  /// Texts of the first refusals and failures, for the test's message.
  std::vector<std::string> FailureExamples;

  void add(const LoadReport &Other);
  std::chrono::microseconds quantile(double Fraction) const;
};

/// Callers on threads of their own, each with one request at a time.
///
/// Example:
///   LoadGenerator Callers(Endpoints, {"/catalogue/boards"}, 8, Millis(5));
///   Callers.start();
///   LoadReport Report = Callers.stop();
class LoadGenerator {
public:
  LoadGenerator(std::vector<TcpEndpoint> Nodes,
                std::vector<std::string> Targets, std::size_t Callers,
                Millis Pause);
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;
  ~LoadGenerator();

  void start();
  LoadReport stop();

  /// Sends one request and adds what came of it to `Report`.
  static void callOnce(HttpPool *Pool, const TcpEndpoint &Node,
                       const std::string &Method, const std::string &Target,
                       const std::vector<HeaderField> &Headers,
                       LoadReport *Report);

private:
  void runCaller(std::size_t Index);

  const std::vector<TcpEndpoint> Nodes;
  const std::vector<std::string> Targets;
  const std::size_t Callers;
  const Millis Pause;
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Threads;
  std::mutex Mutex;
  LoadReport Total;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FLEET_LOAD_H
