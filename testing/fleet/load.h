// A load generator that checks every response against its request.
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

/// Counts of calls by their results, and latencies, as callers saw them.
struct LoadReport {
  std::uint64_t Calls = 0;
  /// Complete responses with a status below 500 that match their request.
  std::uint64_t Succeeded = 0;
  /// Complete responses of an upstream with status 500 or above.
  std::uint64_t ServerErrors = 0;
  /// Responses whose outcome header says that the call did not run.
  std::uint64_t NotRun = 0;
  /// Responses whose outcome header leaves open whether the call ran.
  std::uint64_t Unknown = 0;
  /// Calls without a complete response although the request was sent: the
  /// connection broke or the call timed out.
  std::uint64_t ConnectionsBroken = 0;
  /// Calls whose connection was refused, so that nothing was sent.
  std::uint64_t ConnectionsRefused = 0;
  /// Responses that belong to another request or are incomplete.
  std::uint64_t Mismatched = 0;
  /// Calls that an upstream answered, by the upstream's version.
  std::map<std::string, std::uint64_t> CallsByVersion;
  std::vector<std::chrono::microseconds> Latencies;
  /// Descriptions of the first calls that failed, for the messages of tests;
  /// without refused connections.
  std::vector<std::string> FailureExamples;

  /// Adds the counts, latencies and examples of `Other`.
  void add(const LoadReport &Other);
  /// Returns the latency at the quantile `Fraction`, between 0 and 1, or zero
  /// without calls.
  std::chrono::microseconds quantile(double Fraction) const;
};

/// Callers that each run on a thread of their own and send one request at a
/// time.
///
/// Example:
///   LoadGenerator Generator(Endpoints, {"/catalogue/boards"}, 8, Millis(5));
///   Generator.start();
///   LoadReport Report = Generator.stop();
class LoadGenerator {
public:
  /// Each of `CallerCount` threads sends GET requests for `Targets` to `Nodes`,
  /// both in turn, and sleeps for `Pause` after each.
  LoadGenerator(std::vector<TcpEndpoint> Nodes,
                std::vector<std::string> Targets, std::size_t CallerCount,
                Millis Pause);
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;
  ~LoadGenerator();

  void start();
  /// Stops all callers and returns the sum of their reports.
  LoadReport stop();

  /// Sends one request and adds its result to `Report`.
  static void callOnce(HttpPool *Pool, const TcpEndpoint &Node,
                       const std::string &Method, const std::string &Target,
                       const std::vector<HeaderField> &Headers,
                       LoadReport *Report);

private:
  void runCaller(std::size_t Index);

  const std::vector<TcpEndpoint> Nodes;
  const std::vector<std::string> Targets;
  const std::size_t CallerCount;
  const Millis Pause;
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Threads;
  std::mutex Mutex;
  LoadReport TotalReport;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FLEET_LOAD_H
