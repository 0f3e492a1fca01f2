// Stand-in for an upstream. It announces itself to its node and answers each
// call with JSON that repeats what it was asked. Faults are switched by
//   POST /control?fail=P&fail_route=/PREFIX&fail_over=N&slow_ms=N&slow_over=N
//        &crash=0|1&truncate=0|1&silent=0|1&shed=0|1&crossed=0|1&mute=0|1
// fail: part of the calls answered by 500, on `fail_route` if that is given,
//   and only while more than `fail_over` calls run.
// slow_ms: extra time, while more than `slow_over` calls run.
// crash: whether a call with the header x-crash ends the process.
// truncate: answers are cut short; silent: calls are never answered;
// shed: calls are refused as not run; mute: announcements stop.
//   GET /runs   how often each key ran, and how often it ran in all
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
using Query = std::map<std::string, std::string>;

constexpr std::chrono::milliseconds AnnounceInterval{500};
constexpr int CrashExit = 70;

struct Faults {
  double Fail = 0;
  std::string FailRoute;
  int FailOver = -1;
  int SlowMs = 0;
  int SlowOver = -1;
  bool Crash = true;
  bool Truncate = false;
  bool Silent = false;
  bool Shed = false;
  bool Mute = false;
};

class UpstreamStandIn {
public:
  explicit UpstreamStandIn(Query Options)
      : Options(std::move(Options)), StartedAt(Clock::now()),
        Boot(
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
      sendText(Response, 200,
               Json{{"keys", this->RunsOfKey}, {"all", this->AllRuns}}.dump());
    } else if (Target == "/health") {
      sendText(Response, 200, "healthy, whatever may be");
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

  /// Announces that no new work is wanted and waits for what runs.
  void drain() {
    this->Draining = true;
    this->announce();
    std::this_thread::sleep_for(AnnounceInterval);
    while (this->Running > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    this->Stopping = true;
  }

private:
  std::string option(const std::string &Name,
                     const std::string &Fallback) const {
    const auto Found = this->Options.find(Name);
    return Found == this->Options.end() ? Fallback : Found->second;
  }

  void control(const Query &Wanted) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Faults &Now = this->Current;
    Now.Fail = numberOr(Wanted, "fail", Now.Fail);
    if (Wanted.contains("fail_route"))
      Now.FailRoute = Wanted.at("fail_route");
    Now.FailOver =
        static_cast<int>(numberOr(Wanted, "fail_over", Now.FailOver));
    Now.SlowMs = static_cast<int>(numberOr(Wanted, "slow_ms", Now.SlowMs));
    Now.SlowOver =
        static_cast<int>(numberOr(Wanted, "slow_over", Now.SlowOver));
    Now.Crash = numberOr(Wanted, "crash", Now.Crash) != 0;
    Now.Truncate = numberOr(Wanted, "truncate", Now.Truncate) != 0;
    Now.Silent = numberOr(Wanted, "silent", Now.Silent) != 0;
    Now.Shed = numberOr(Wanted, "shed", Now.Shed) != 0;
    Now.Mute = numberOr(Wanted, "mute", Now.Mute) != 0;
  }

  Faults faults() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Current;
  }

  void run(Poco::Net::HTTPServerRequest &Request,
           Poco::Net::HTTPServerResponse &Response) {
    const Faults Now = this->faults();
    const int Slots = std::stoi(this->option("slots", "9"));
    const int Concurrent = ++this->Running;
    struct Leave {
      std::atomic<int> *Counter;
      ~Leave() { --*this->Counter; }
    } const Leaving{&this->Running};
    if (Now.Shed || Concurrent > Slots) {
      Response.set("x-pq-outcome", "not-run");
      Response.setKeepAlive(false);
      sendText(Response, 503, "shed");
      return;
    }
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    if (Now.Crash && Request.has("x-crash"))
      std::_Exit(CrashExit);
    const std::uint64_t Run = this->noteRun(Request.get("idempotency-key", ""));
    while (this->faults().Silent && !this->Stopping)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    std::this_thread::sleep_for(this->workTime(Request, Now, Concurrent));
    const bool Fails = this->fails(Request, Now, Concurrent);
    const Json Answer = {{"upstream", this->option("name", "")},
                         {"service", this->option("service", "")},
                         {"version", this->option("version", "")},
                         {"target", Request.getURI()},
                         {"caller", Request.get("x-caller", "")},
                         {"body", Body},
                         {"run", Run}};
    const std::string Text = Answer.dump();
    if (!Now.Truncate) {
      sendText(Response, Fails ? 500 : 200, Text);
      return;
    }
    Response.setContentLength64(static_cast<Poco::Int64>(Text.size()) + 100);
    Response.setKeepAlive(false);
    Response.send() << Text << std::flush;
  }

  std::uint64_t noteRun(const std::string &Key) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!Key.empty())
      ++this->RunsOfKey[Key];
    return ++this->AllRuns;
  }

  std::chrono::milliseconds
  workTime(const Poco::Net::HTTPServerRequest &Request, const Faults &Now,
           int Concurrent) const {
    int Ms = std::stoi(Request.get("x-work-ms", this->option("work_ms", "2")));
    if (Concurrent > Now.SlowOver)
      Ms += Now.SlowMs;
    const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Clock::now() - this->StartedAt);
    const std::chrono::milliseconds Cold(
        std::stoi(this->option("cold_ms", "0")));
    // Four times as slow while cold.
    return std::chrono::milliseconds(Age < Cold ? 4 * Ms : Ms);
  }

  bool fails(const Poco::Net::HTTPServerRequest &Request, const Faults &Now,
             int Concurrent) {
    if (Concurrent <= Now.FailOver ||
        !Request.getURI().starts_with(Now.FailRoute))
      return false;
    thread_local std::mt19937 Random(std::random_device{}());
    return std::uniform_real_distribution<>(0, 1)(Random) < Now.Fail;
  }

  void announce() {
    if (this->faults().Mute)
      return;
    const Json Value = {{"service", this->option("service", "")},
                        {"version", this->option("version", "")},
                        {"address", this->option("address", "")},
                        {"port", std::stoi(this->option("port", "0"))},
                        {"slots", std::stoi(this->option("slots", "9"))},
                        {"boot", this->Boot},
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
      // The node may not be up yet; the next announcement reaches it.
    }
  }

  const Query Options;
  const Clock::time_point StartedAt;
  const std::string Boot;
  std::mutex Mutex;
  Faults Current;
  std::map<std::string, std::uint64_t> RunsOfKey;
  std::uint64_t AllRuns = 0;
  std::atomic<int> Running = 0;
  std::atomic<bool> Draining = false;
  std::atomic<bool> Stopping = false;
};

} // namespace
} // namespace persimmonquay::testing

int main(int Count, char **Words) {
  using namespace persimmonquay::testing;
  blockSignals();
  auto Options = parseOptions(Count, Words);
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
