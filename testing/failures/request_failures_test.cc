// Tests of request routing between processes under faults. Executions are
// counted by the upstreams themselves.
#include "persimmonquay/node/http_pool.h"
#include "persimmonquay/routing/outcome.h"
#include "testing/failures/small_fleet.h"
#include <absl/strings/str_cat.h>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace persimmonquay::testing {
namespace {

/// Returns an idempotency key that starts with the current time in
/// milliseconds; `Number` tells keys of the same millisecond apart.
std::string makeIdempotencyKey(int Number) {
  return absl::StrCat(unixMillis(wallNow()), "-", Number);
}

ExchangeResult book(const Host &Target, const std::string &Key,
                    const std::string &Body = "lift",
                    Millis Timeout = Millis(6000)) {
  return request(Target.callerEndpoint(), "POST", "/orders/book", Body,
                 {{"Idempotency-Key", Key}}, Timeout);
}

std::string outcomeOf(const ExchangeResult &Result) {
  return findHeader(Result.Response.Headers, OutcomeHeader);
}

/// Starts a fleet and waits until its nodes have applied a configuration.
void startConfigured(SmallFleet *Fleet) {
  Fleet->startAll();
  REQUIRE(Fleet->waitForVersion(Fleet->publishVariant(1), WaitTimeout));
}

TEST_CASE("a booking that is retried at every node runs once") {
  SmallFleet Fleet;
  startConfigured(&Fleet);
  const std::string Key = makeIdempotencyKey(1);
  const ExchangeResult First = book(Fleet.host(0), Key);
  REQUIRE(First.Response.Status == 200);
  for (const auto &Host : Fleet.hosts()) {
    const ExchangeResult Again = book(*Host, Key);
    CHECK(Again.Response.Status == 200);
    CHECK(Again.Response.Body == First.Response.Body);
  }
  CHECK(Fleet.runCountsByKey().at(Key) == 1);
  CHECK(book(Fleet.host(1), Key, "another").Response.Status == 422);
}

TEST_CASE("a booking sent to all nodes concurrently runs once") {
  SmallFleet Fleet;
  startConfigured(&Fleet);
  for (int Round = 0; Round < 5; ++Round) {
    const std::string Key = makeIdempotencyKey(Round);
    std::vector<std::thread> Callers;
    std::atomic<int> Successes = 0;
    for (const auto &Host : Fleet.hosts())
      Callers.emplace_back([&, Target = Host.get()] {
        Successes += book(*Target, Key).Response.Status == 200 ? 1 : 0;
      });
    for (std::thread &Caller : Callers)
      Caller.join();
    CHECK(Successes >= 1);
    CHECK(Fleet.runCountsByKey().at(Key) == 1);
  }
}

TEST_CASE(
    "during a log outage a booking is reported as not run and does not run") {
  SmallFleet Fleet;
  startConfigured(&Fleet);
  Fleet.controlLog("outage=1");
  const std::string Key = makeIdempotencyKey(1);
  const ExchangeResult Refused = book(Fleet.host(0), Key);
  CHECK(Refused.Response.Status == 503);
  CHECK(outcomeOf(Refused) == "not-run");
  CHECK_FALSE(Fleet.runCountsByKey().contains(Key));
  // Read requests are still served.
  CHECK(request(Fleet.host(0).callerEndpoint(), "GET", "/catalogue/a")
            .Response.Status == 200);
  Fleet.controlLog("outage=0");
  CHECK(eventually(WaitTimeout, [&] {
    return book(Fleet.host(0), Key).Response.Status == 200;
  }));
  CHECK(Fleet.runCountsByKey().at(Key) == 1);
}

TEST_CASE("a key without a time, or older than the retention of claims, is "
          "rejected") {
  SmallFleet Fleet;
  startConfigured(&Fleet);
  CHECK(book(Fleet.host(0), "no-time").Response.Status == 400);
  const std::string OldKey =
      absl::StrCat(unixMillis(wallNow() - std::chrono::hours(48)), "-old");
  const ExchangeResult Refused = book(Fleet.host(0), OldKey);
  CHECK(Refused.Response.Status == 400);
  CHECK(outcomeOf(Refused) == "not-run");
  CHECK(Fleet.runCountsByKey().empty());
}

/// Callers that each send bookings under new keys and retry a booking at random
/// nodes until it is answered, with at most three attempts.
class BookingCallers {
public:
  explicit BookingCallers(SmallFleet *Fleet) : Fleet(Fleet) {}

  void start(int CallerCount) {
    for (int I = 0; I < CallerCount; ++I)
      this->Threads.emplace_back([this, I] { this->run(I); });
  }

  /// Returns the number of bookings that were answered.
  int stop() {
    this->Stopping = true;
    for (std::thread &Thread : this->Threads)
      Thread.join();
    return this->Answered;
  }

  /// Keys of the bookings whose every attempt was reported as not run. Complete
  /// after `stop()`.
  std::vector<std::string> NotRunKeys;

private:
  void run(int Caller) {
    std::mt19937 Random(static_cast<unsigned>(Caller));
    for (int Number = 0; !this->Stopping; ++Number) {
      const std::string Key = makeIdempotencyKey(1000 * Caller + Number);
      std::string LastOutcome;
      for (int Attempt = 0; Attempt < 3 && LastOutcome != "answered";
           ++Attempt) {
        const Host &Target = *this->Fleet->hosts()[Random() % 6];
        const ExchangeResult Result = book(Target, Key, "lift", Millis(1500));
        LastOutcome = Result.Status == ExchangeResult::Code::NothingSent
                          ? "not-run"
                          : outcomeOf(Result);
        Outcomes[Attempt] = LastOutcome;
      }
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Answered += LastOutcome == "answered" ? 1 : 0;
      const bool EveryAttemptNotRun = LastOutcome == "not-run" &&
                                      Outcomes[0] == "not-run" &&
                                      Outcomes[1] == "not-run";
      if (EveryAttemptNotRun)
        this->NotRunKeys.push_back(Key);
    }
  }

  static thread_local std::string Outcomes[3];
  SmallFleet *Fleet;
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Threads;
  std::mutex Mutex;
  int Answered = 0;
};

thread_local std::string BookingCallers::Outcomes[3];

TEST_CASE("no booking runs twice under kills, freezes, lost responses and "
          "outages") {
  SmallFleet Fleet;
  startConfigured(&Fleet);
  // Number of executions of each key, over all upstreams.
  std::map<std::string, int> Runs;
  const auto AddRuns = [&](const Host &Target) {
    const auto Value = nlohmann::json::parse(
        request(Target.upstreamEndpoint(), "GET", "/runs").Response.Body,
        nullptr, false);
    if (Value.is_object())
      for (const auto &[Key, Count] : Value["keys"].items())
        Runs[Key] += Count.get<int>();
  };
  BookingCallers Callers(&Fleet);
  Callers.start(6);
  for (std::size_t Round = 0; Round < 3; ++Round) {
    Host &Killed = Fleet.host(2 * Round);
    Fleet.killAndRestart(&Killed);
    Fleet.controlLog("lose_answers=5");
    Host &Frozen = Fleet.host(2 * Round + 1);
    Frozen.Node->signal(SIGSTOP);
    std::this_thread::sleep_for(Millis(1500));
    Frozen.Node->signal(SIGCONT);
    Fleet.controlLog("outage=1");
    std::this_thread::sleep_for(Millis(500));
    Fleet.controlLog("outage=0&slow_ms=50");
    std::this_thread::sleep_for(Millis(500));
    Fleet.controlLog("slow_ms=0");
  }
  std::this_thread::sleep_for(Millis(1000));
  const int Answered = Callers.stop();
  for (const auto &Host : Fleet.hosts())
    AddRuns(*Host);
  CHECK(Answered > 20);
  for (const auto &Run : Runs)
    CHECK_MESSAGE(Run.second == 1, Run.first);
  for (const std::string &Key : Callers.NotRunKeys)
    CHECK_MESSAGE(!Runs.contains(Key), Key);
}

TEST_CASE("a request that crashes upstreams is rejected after two crashes") {
  SmallFleet Fleet;
  for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre)
    Fleet.addHost({DataCentre, "gallery"});
  startConfigured(&Fleet);
  REQUIRE(Fleet.waitForUpstreams(9, WaitTimeout));
  // The caller repeats the request at one node after another.
  for (int I = 0; I < 12; ++I)
    request(Fleet.hosts()[static_cast<std::size_t>(I % 9)]->callerEndpoint(),
            "GET", "/catalogue/poison", "", {{"x-crash", "1"}});
  int Crashed = 0;
  for (const auto &Host : Fleet.hosts())
    Crashed += Host->Upstream->wait(Millis(0)).has_value() ? 1 : 0;
  CHECK(Crashed >= 1);
  CHECK(Crashed <= 2);
  LoadReport Report;
  HttpPool Pool;
  for (int I = 0; I < 50; ++I)
    LoadGenerator::callOnce(
        &Pool, Fleet.hosts()[static_cast<std::size_t>(I % 9)]->callerEndpoint(),
        "GET", "/catalogue/a", {}, &Report);
  CHECK(Report.Succeeded == 50);
}

TEST_CASE("a drained upstream gets no new calls after two seconds") {
  SmallFleet Fleet;
  startConfigured(&Fleet);
  LoadGenerator Generator(Fleet.callerEndpoints(), {"/catalogue/a"}, 6,
                          Millis(2));
  Generator.start();
  Host &Drained = Fleet.host(0);
  CHECK(Fleet.runCommand(Drained, {"drain"}).ExitCode == 0);
  std::this_thread::sleep_for(Millis(2000));
  const auto Runs = [&] {
    return nlohmann::json::parse(
               request(Drained.upstreamEndpoint(), "GET", "/runs")
                   .Response.Body)["all"]
        .get<int>();
  };
  const int RunsBefore = Runs();
  std::this_thread::sleep_for(Millis(1000));
  CHECK(Runs() == RunsBefore);
  const LoadReport Report = Generator.stop();
  CHECK(Report.Succeeded == Report.Calls);
}

TEST_CASE("a rolling restart of every node and upstream breaks no call") {
  SmallFleet Fleet;
  startConfigured(&Fleet);
  LoadGenerator Generator(Fleet.callerEndpoints(),
                          {"/catalogue/a", "/orders/b"}, 8, Millis(3));
  Generator.start();
  for (const auto &Host : Fleet.hosts()) {
    Host->Node->signal(SIGTERM);
    Host->Upstream->signal(SIGTERM);
    REQUIRE(Host->Node->wait(WaitTimeout) == 0);
    REQUIRE(Host->Upstream->wait(WaitTimeout) == 0);
    Fleet.startNode(Host.get());
    Fleet.startUpstream(Host.get());
    REQUIRE(Fleet.waitForUpstreams(6, WaitTimeout));
    REQUIRE(eventually(WaitTimeout, [&] {
      return request(Host->localEndpoint(), "GET", "/healthz")
                 .Response.Status == 200;
    }));
  }
  const LoadReport Report = Generator.stop();
  std::string Failures;
  for (const std::string &Failure : Report.FailureExamples)
    Failures += Failure + "\n";
  CHECK_MESSAGE(Report.ConnectionsBroken == 0, Failures);
  CHECK_MESSAGE(Report.Unknown == 0, Failures);
  CHECK_MESSAGE(Report.ServerErrors == 0, Failures);
  CHECK_MESSAGE(Report.NotRun == 0, Failures);
  CHECK_MESSAGE(Report.Mismatched == 0, Failures);
  CHECK(Report.Succeeded > 1000);
}

TEST_CASE("silent connections are replaced without losing a call") {
  SmallFleet Fleet;
  startConfigured(&Fleet);
  // Calls to "orders" in data centre 0 now go to the other data centres.
  Fleet.host(1).Upstream->signal(SIGTERM);
  REQUIRE(Fleet.waitForUpstreams(5, WaitTimeout));
  LoadGenerator Generator(
      {Fleet.host(0).callerEndpoint(), Fleet.host(1).callerEndpoint()},
      {"/orders/b"}, 4, Millis(5));
  Generator.start();
  for (int Round = 0; Round < 3; ++Round) {
    std::this_thread::sleep_for(Millis(500));
    Fleet.controlLink("0-1", "silence=1");
    Fleet.controlLink("0-2", "silence=1");
  }
  std::this_thread::sleep_for(Millis(4000));
  const LoadReport Report = Generator.stop();
  CHECK_MESSAGE(
      Report.Succeeded == Report.Calls,
      (Report.FailureExamples.empty() ? "" : Report.FailureExamples.front()));
  CHECK(Report.Succeeded > 50);
}

TEST_CASE("a truncated response is never passed on as complete") {
  SmallFleet Fleet;
  startConfigured(&Fleet);
  TestFleet::controlUpstream(Fleet.host(0), "truncate=1");
  LoadReport Report;
  HttpPool Pool;
  for (int I = 0; I < 60; ++I)
    LoadGenerator::callOnce(&Pool, Fleet.host(0).callerEndpoint(), "GET",
                            "/catalogue/a", {}, &Report);
  CHECK(Report.Mismatched == 0);
  CHECK(Report.ConnectionsBroken == 0);
  CHECK(Report.Succeeded >= 50);
}

TEST_CASE(
    "no caller gets the response to another call while nodes are killed") {
  SmallFleet Fleet;
  startConfigured(&Fleet);
  LoadGenerator Generator(Fleet.callerEndpoints(),
                          {"/catalogue/a", "/orders/b"}, 12, Millis(1));
  Generator.start();
  for (std::size_t I : {0, 3, 5}) {
    Fleet.killAndRestart(&Fleet.host(I));
    std::this_thread::sleep_for(Millis(700));
  }
  const LoadReport Report = Generator.stop();
  CHECK(Report.Mismatched == 0);
  CHECK(Report.Succeeded > 1000);
}

TEST_CASE("malformed requests at the caller port never reach an upstream") {
  SmallFleet Fleet;
  startConfigured(&Fleet);
  const Host &Target = Fleet.host(0);
  for (const char *Bytes :
       {"POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
        "Content-Length: 2\r\n\r\nab",
        "GET /catalogue/x\r\n\r\n", "\r\n\r\n\r\n", "GET", "\xff\xfe\xfd"})
    rawExchange(Target.callerEndpoint(), Bytes, Millis(300));
  for (const auto &Host : Fleet.hosts())
    CHECK(request(Host->upstreamEndpoint(), "GET", "/runs")
              .Response.Body.find("\"all\":0") != std::string::npos);
  CHECK(
      request(Target.callerEndpoint(), "GET", "/catalogue/a").Response.Status ==
      200);
}

} // namespace
} // namespace persimmonquay::testing
