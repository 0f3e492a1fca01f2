// Stand-in for an upstream. It announces itself to its node and answers each
// call with JSON that repeats the request. Faults are set by
//   POST /control?fail=P&fail_route=/PREFIX&fail_over=N&slow_ms=N&slow_over=N
//        &crash=0|1&truncate=0|1&silent=0|1&shed=0|1&mute=0|1
// fail: calls fail with status 500, each with probability P. With `fail_route`,
//   only calls whose path has that prefix fail; with `fail_over`, calls fail
//   only while more than that number run.
// slow_ms: adds N milliseconds to each call; with `slow_over`, only while more
//   than that number of calls run.
// crash: whether a call with the header x-crash ends the process.
// truncate: sends incomplete responses.
// silent: does not respond to calls.
// shed: rejects calls as not run.
// mute: stops the announcements.
// GET /runs returns how often each idempotency key has run and the number of
// all runs. GET /health always reports a healthy upstream.
#include "testing/stand_ins/stand_in_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace persimmonquay::testing {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Parameters = std::map<std::string, std::string>;

constexpr std::chrono::milliseconds AnnounceInterval{500};
constexpr int CrashExitCode = 70;

/// The faults that are set; see the head of this file.
struct FaultSettings {
  double FailProbability = 0;
  std::string FailPathPrefix;
  int FailAboveCalls = -1;
  int ExtraMs = 0;
  int SlowAboveCalls = -1;
  bool CrashOnHeader = true;
  bool TruncateResponses = false;
  bool WithholdResponses = false;
  bool RejectCalls = false;
  bool StopAnnouncements = false;
};

class UpstreamStandIn {
public:
  explicit UpstreamStandIn(Parameters Options)
      : Options(std::move(Options)), StartTime(Clock::now()),
        BootId(
            absl::StrCat(std::random_device{}(), "-", std::random_device{}())) {
    this->control(this->Options);
  }

  void serve(Poco::Net::HTTPServerRequest &Request,
             Poco::Net::HTTPServerResponse &Response) {
    const std::string Target = Request.getURI();
    if (Target.starts_with("/control")) {
      this->control(parseQuery(Target));
      sendText(Response, 200, "ok");
    } else if (Target == "/runs") {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      sendText(
          Response, 200,
          Json{{"keys", this->RunsByKey}, {"all", this->TotalRuns}}.dump());
    } else if (Target == "/health") {
      sendText(Response, 200, "healthy regardless of faults");
    } else {
      this->run(Request, Response);
    }
  }

  void announceLoop() {
    while (!this->Stopping) {
      this->announce();
      std::this_thread::sleep_for(AnnounceInterval);
    }
  }

  /// Announces that this upstream is draining and waits until no call runs.
  void drain() {
    this->Draining = true;
    this->announce();
    std::this_thread::sleep_for(AnnounceInterval);
    while (this->RunningCalls > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    this->Stopping = true;
  }

private:
  std::string option(const std::string &Name,
                     const std::string &DefaultValue) const {
    const auto Found = this->Options.find(Name);
    return Found == this->Options.end() ? DefaultValue : Found->second;
  }

  void control(const Parameters &Changes) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    FaultSettings &Faults = this->Faults;
    Faults.FailProbability = numberOr(Changes, "fail", Faults.FailProbability);
    if (Changes.contains("fail_route"))
      Faults.FailPathPrefix = Changes.at("fail_route");
    Faults.FailAboveCalls =
        static_cast<int>(numberOr(Changes, "fail_over", Faults.FailAboveCalls));
    Faults.ExtraMs =
        static_cast<int>(numberOr(Changes, "slow_ms", Faults.ExtraMs));
    Faults.SlowAboveCalls =
        static_cast<int>(numberOr(Changes, "slow_over", Faults.SlowAboveCalls));
    Faults.CrashOnHeader =
        numberOr(Changes, "crash", Faults.CrashOnHeader) != 0;
    Faults.TruncateResponses =
        numberOr(Changes, "truncate", Faults.TruncateResponses) != 0;
    Faults.WithholdResponses =
        numberOr(Changes, "silent", Faults.WithholdResponses) != 0;
    Faults.RejectCalls = numberOr(Changes, "shed", Faults.RejectCalls) != 0;
    Faults.StopAnnouncements =
        numberOr(Changes, "mute", Faults.StopAnnouncements) != 0;
  }

  FaultSettings faults() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Faults;
  }

  void run(Poco::Net::HTTPServerRequest &Request,
           Poco::Net::HTTPServerResponse &Response) {
    const FaultSettings ActiveFaults = this->faults();
    const int Slots = std::stoi(this->option("slots", "9"));
    const int ConcurrentCalls = ++this->RunningCalls;
    struct RunningCallGuard {
      std::atomic<int> *Counter;
      ~RunningCallGuard() { --*this->Counter; }
    } const Guard{&this->RunningCalls};
    if (ActiveFaults.RejectCalls || ConcurrentCalls > Slots) {
      Response.set("x-pq-outcome", "not-run");
      Response.setKeepAlive(false);
      sendText(Response, 503, "shed");
      return;
    }
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    if (ActiveFaults.CrashOnHeader && Request.has("x-crash"))
      std::_Exit(CrashExitCode);
    const std::uint64_t Run =
        this->recordRun(Request.get("idempotency-key", ""));
    while (this->faults().WithholdResponses && !this->Stopping)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    std::this_thread::sleep_for(
        this->processingTime(Request, ActiveFaults, ConcurrentCalls));
    const bool Fail = this->shouldFail(Request, ActiveFaults, ConcurrentCalls);
    const Json ResponseBody = {{"upstream", this->option("name", "")},
                               {"service", this->option("service", "")},
                               {"version", this->option("version", "")},
                               {"target", Request.getURI()},
                               {"caller", Request.get("x-caller", "")},
                               {"body", Body},
                               {"run", Run}};
    const std::string Text = ResponseBody.dump();
    if (!ActiveFaults.TruncateResponses) {
      sendText(Response, Fail ? 500 : 200, Text);
      return;
    }
    Response.setContentLength64(static_cast<Poco::Int64>(Text.size()) + 100);
    Response.setKeepAlive(false);
    Response.send() << Text << std::flush;
  }

  std::uint64_t recordRun(const std::string &Key) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!Key.empty())
      ++this->RunsByKey[Key];
    return ++this->TotalRuns;
  }

  std::chrono::milliseconds
  processingTime(const Poco::Net::HTTPServerRequest &Request,
                 const FaultSettings &ActiveFaults, int ConcurrentCalls) const {
    int Ms = std::stoi(Request.get("x-work-ms", this->option("work_ms", "2")));
    if (ConcurrentCalls > ActiveFaults.SlowAboveCalls)
      Ms += ActiveFaults.ExtraMs;
    const auto Uptime = std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock::now() - this->StartTime);
    const std::chrono::milliseconds ColdPeriod(
        std::stoi(this->option("cold_ms", "0")));
    // Calls take four times as long during the cold period.
    return std::chrono::milliseconds(Uptime < ColdPeriod ? 4 * Ms : Ms);
  }

  bool shouldFail(const Poco::Net::HTTPServerRequest &Request,
                  const FaultSettings &ActiveFaults, int ConcurrentCalls) {
    if (ConcurrentCalls <= ActiveFaults.FailAboveCalls ||
        !Request.getURI().starts_with(ActiveFaults.FailPathPrefix))
      return false;
    thread_local std::mt19937 Random(std::random_device{}());
    return std::uniform_real_distribution<>(0, 1)(Random) <
           ActiveFaults.FailProbability;
  }

  void announce() {
    if (this->faults().StopAnnouncements)
      return;
    const Json Value = {{"service", this->option("service", "")},
                        {"version", this->option("version", "")},
                        {"address", this->option("address", "")},
                        {"port", std::stoi(this->option("port", "0"))},
                        {"slots", std::stoi(this->option("slots", "9"))},
                        {"boot", this->BootId},
                        {"draining", this->Draining.load()}};
    try {
      Poco::Net::HTTPClientSession Session(
          this->option("node_address", ""),
          static_cast<unsigned short>(
              std::stoi(this->option("node_port", "0"))));
      Session.setTimeout(Poco::Timespan(1, 0));
      Poco::Net::HTTPRequest Request("POST", "/announce", "HTTP/1.1");
      const std::string Text = Value.dump();
      Request.setContentLength64(static_cast<Poco::Int64>(Text.size()));
      Session.sendRequest(Request) << Text;
      Poco::Net::HTTPResponse Response;
      Session.receiveResponse(Response);
    } catch (const Poco::Exception &) {
      // The node may not be running yet. The next announcement is sent after
      // AnnounceInterval.
    }
  }

  const Parameters Options;
  const Clock::time_point StartTime;
  const std::string BootId;
  std::mutex Mutex;
  FaultSettings Faults;
  std::map<std::string, std::uint64_t> RunsByKey;
  std::uint64_t TotalRuns = 0;
  std::atomic<int> RunningCalls = 0;
  std::atomic<bool> Draining = false;
  std::atomic<bool> Stopping = false;
};

} // namespace
} // namespace persimmonquay::testing

int main(int ArgumentCount, char **Arguments) {
  using namespace persimmonquay::testing;
  blockSignals();
  auto Options = parseOptions(ArgumentCount, Arguments);
  UpstreamStandIn Upstream(Options);
  const auto Server =
      startServer(Options.at("address"),
                  static_cast<unsigned short>(std::stoi(Options.at("port"))),
                  [&](auto &Request, auto &Response) {
                    Upstream.serve(Request, Response);
                  });
  std::thread Announcer([&] { Upstream.announceLoop(); });
  waitForSignal();
  Upstream.drain();
  Announcer.join();
  Server->stopAll(true);
  return 0;
}
