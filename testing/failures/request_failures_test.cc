// Requests over processes: what fails, and what must hold all the same. Runs
// are counted at the upstreams themselves.
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

std::string freshKey(int Number) {
  return absl::StrCat(unixMillis(wallNow()), "-", Number);
}

ExchangeResult book(const Host &Through, const std::string &Key,
                    const std::string &Body = "lift",
                    Millis Timeout = Millis(6000)) {
  return request(Through.callerEndpoint(), "POST", "/orders/book", Body,
                 {{"Idempotency-Key", Key}}, Timeout);
}

std::string outcomeOf(const ExchangeResult &Result) {
  return findHeader(Result.Reply.Headers, OutcomeHeader);
}

/// Starts a fleet with its first configuration in force.
void startConfigured(SmallFleet *Running) {
  Running->startAll();
  REQUIRE(Running->waitForVersion(Running->publishNumber(1), Patience));
}

TEST_CASE("a booking that is repeated at every node runs once") {
  SmallFleet Running;
  startConfigured(&Running);
  const std::string Key = freshKey(1);
  const ExchangeResult First = book(Running.host(0), Key);
  REQUIRE(First.Reply.Status == 200);
  for (const auto &Each : Running.hosts()) {
    const ExchangeResult Again = book(*Each, Key);
    CHECK(Again.Reply.Status == 200);
    CHECK(Again.Reply.Body == First.Reply.Body);
  }
  CHECK(Running.runCountsByKey().at(Key) == 1);
  CHECK(book(Running.host(1), Key, "another").Reply.Status == 422);
}

TEST_CASE("a booking sent to all nodes at once runs once") {
  SmallFleet Running;
  startConfigured(&Running);
  for (int Round = 0; Round < 5; ++Round) {
    const std::string Key = freshKey(Round);
    std::vector<std::thread> Callers;
    std::atomic<int> Good = 0;
    for (const auto &Each : Running.hosts())
      Callers.emplace_back([&, At = Each.get()] {
        Good += book(*At, Key).Reply.Status == 200 ? 1 : 0;
      });
    for (std::thread &Caller : Callers)
      Caller.join();
    CHECK(Good >= 1);
    CHECK(Running.runCountsByKey().at(Key) == 1);
  }
}

TEST_CASE("with the log down a booking is refused as not run, and did not") {
  SmallFleet Running;
  startConfigured(&Running);
  Running.controlLog("outage=1");
  const std::string Key = freshKey(1);
  const ExchangeResult Refused = book(Running.host(0), Key);
  CHECK(Refused.Reply.Status == 503);
  CHECK(outcomeOf(Refused) == "not-run");
  CHECK_FALSE(Running.runCountsByKey().contains(Key));
  // Reading goes on.
  CHECK(request(Running.host(0).callerEndpoint(), "GET", "/catalogue/a")
            .Reply.Status == 200);
  Running.controlLog("outage=0");
  CHECK(eventually(Patience, [&] {
    return book(Running.host(0), Key).Reply.Status == 200;
  }));
  CHECK(Running.runCountsByKey().at(Key) == 1);
}

TEST_CASE("a key without its time, or older than claims are kept, is refused") {
  SmallFleet Running;
  startConfigured(&Running);
  CHECK(book(Running.host(0), "no-time").Reply.Status == 400);
  const std::string Old =
      absl::StrCat(unixMillis(wallNow() - std::chrono::hours(48)), "-old");
  const ExchangeResult Refused = book(Running.host(0), Old);
  CHECK(Refused.Reply.Status == 400);
  CHECK(outcomeOf(Refused) == "not-run");
  CHECK(Running.runCountsByKey().empty());
}

/// Callers that book under fresh keys and repeat each until its outcome is
/// plain, at any node.
class BookingCallers {
public:
  explicit BookingCallers(SmallFleet *Running) : Running(Running) {}

  void start(int Callers) {
    for (int I = 0; I < Callers; ++I)
      this->Threads.emplace_back([this, I] { this->run(I); });
  }

  /// Returns the number of bookings that were answered.
  int stop() {
    this->Stopping = true;
    for (std::thread &Each : this->Threads)
      Each.join();
    return this->Answered;
  }

  /// Keys whose last word was "not run".
  std::vector<std::string> NotRun;

private:
  void run(int Caller) {
    std::mt19937 Random(static_cast<unsigned>(Caller));
    for (int Number = 0; !this->Stopping; ++Number) {
      const std::string Key = freshKey(1000 * Caller + Number);
      std::string Last;
      for (int Try = 0; Try < 3 && Last != "answered"; ++Try) {
        const Host &Through = *this->Running->hosts()[Random() % 6];
        const ExchangeResult Result = book(Through, Key, "lift", Millis(1500));
        Last = Result.Status == ExchangeResult::Code::NothingSent
                   ? "not-run"
                   : outcomeOf(Result);
        Outcomes[Try] = Last;
      }
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Answered += Last == "answered" ? 1 : 0;
      const bool NeverUnknown = Last == "not-run" && Outcomes[0] == "not-run" &&
                                Outcomes[1] == "not-run";
      if (NeverUnknown)
        this->NotRun.push_back(Key);
    }
  }

  static thread_local std::string Outcomes[3];
  SmallFleet *Running;
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Threads;
  std::mutex Mutex;
  int Answered = 0;
};

thread_local std::string BookingCallers::Outcomes[3];

TEST_CASE("under kills, freezes, lost answers and outages no booking runs "
          "twice") {
  SmallFleet Running;
  startConfigured(&Running);
  // What upstreams ran before they were killed.
  std::map<std::string, int> Runs;
  const auto KeepRuns = [&](const Host &Of) {
    const auto Value = nlohmann::json::parse(
        request(Of.upstreamEndpoint(), "GET", "/runs").Reply.Body, nullptr,
        false);
    if (Value.is_object())
      for (const auto &[Key, Count] : Value["keys"].items())
        Runs[Key] += Count.get<int>();
  };
  BookingCallers Callers(&Running);
  Callers.start(6);
  for (std::size_t Round = 0; Round < 3; ++Round) {
    Host &Killed = Running.host(2 * Round);
    Running.killAndRestart(&Killed);
    Running.controlLog("lose_answers=5");
    Host &Frozen = Running.host(2 * Round + 1);
    Frozen.Node->signal(SIGSTOP);
    std::this_thread::sleep_for(Millis(1500));
    Frozen.Node->signal(SIGCONT);
    Running.controlLog("outage=1");
    std::this_thread::sleep_for(Millis(500));
    Running.controlLog("outage=0&slow_ms=50");
    std::this_thread::sleep_for(Millis(500));
    Running.controlLog("slow_ms=0");
  }
  std::this_thread::sleep_for(Millis(1000));
  const int Answered = Callers.stop();
  for (const auto &Each : Running.hosts())
    KeepRuns(*Each);
  CHECK(Answered > 20);
  for (const auto &Run : Runs)
    CHECK_MESSAGE(Run.second == 1, Run.first);
  for (const std::string &Key : Callers.NotRun)
    CHECK_MESSAGE(!Runs.contains(Key), Key);
}

TEST_CASE("a request that kills upstreams is stopped after two deaths") {
  SmallFleet Running;
  for (std::size_t DataCentre = 0; DataCentre < 3; ++DataCentre)
    Running.addHost({DataCentre, "gallery"});
  startConfigured(&Running);
  REQUIRE(Running.waitForUpstreams(9, Patience));
  // The caller repeats the request at one node after another.
  for (int I = 0; I < 12; ++I)
    request(Running.hosts()[static_cast<std::size_t>(I % 9)]->callerEndpoint(),
            "GET", "/catalogue/poison", "", {{"x-crash", "1"}});
  int Dead = 0;
  for (const auto &Each : Running.hosts())
    Dead += Each->Upstream->wait(Millis(0)).has_value() ? 1 : 0;
  CHECK(Dead >= 1);
  CHECK(Dead <= 2);
  LoadReport Innocent;
  HttpPool Pool;
  for (int I = 0; I < 50; ++I)
    LoadGenerator::callOnce(
        &Pool,
        Running.hosts()[static_cast<std::size_t>(I % 9)]->callerEndpoint(),
        "GET", "/catalogue/a", {}, &Innocent);
  CHECK(Innocent.Succeeded == 50);
}

TEST_CASE("a drained upstream gets no new work after two seconds") {
  SmallFleet Running;
  startConfigured(&Running);
  LoadGenerator Callers(Running.callerEndpoints(), {"/catalogue/a"}, 6,
                        Millis(2));
  Callers.start();
  Host &Drained = Running.host(0);
  CHECK(Running.runCommand(Drained, {"drain"}).ExitCode == 0);
  std::this_thread::sleep_for(Millis(2000));
  const auto Runs = [&] {
    return nlohmann::json::parse(
               request(Drained.upstreamEndpoint(), "GET", "/runs")
                   .Reply.Body)["all"]
        .get<int>();
  };
  const int Before = Runs();
  std::this_thread::sleep_for(Millis(1000));
  CHECK(Runs() == Before);
  const LoadReport Report = Callers.stop();
  CHECK(Report.Succeeded == Report.Calls);
}

TEST_CASE("a rolling replacement of every node and upstream cuts nothing") {
  SmallFleet Running;
  startConfigured(&Running);
  LoadGenerator Callers(Running.callerEndpoints(),
                        {"/catalogue/a", "/orders/b"}, 8, Millis(3));
  Callers.start();
  for (const auto &Each : Running.hosts()) {
    Each->Node->signal(SIGTERM);
    Each->Upstream->signal(SIGTERM);
    REQUIRE(Each->Node->wait(Patience) == 0);
    REQUIRE(Each->Upstream->wait(Patience) == 0);
    Running.startNode(Each.get());
    Running.startUpstream(Each.get());
    REQUIRE(Running.waitForUpstreams(6, Patience));
    REQUIRE(eventually(Patience, [&] {
      return request(Each->localEndpoint(), "GET", "/healthz").Reply.Status ==
             200;
    }));
  }
  const LoadReport Report = Callers.stop();
  std::string Example;
  for (const std::string &Each : Report.FailureExamples)
    Example += Each + "\n";
  CHECK_MESSAGE(Report.ConnectionsBroken == 0, Example);
  CHECK_MESSAGE(Report.Unknown == 0, Example);
  CHECK_MESSAGE(Report.ServerErrors == 0, Example);
  CHECK_MESSAGE(Report.NotRun == 0, Example);
  CHECK_MESSAGE(Report.Mismatched == 0, Example);
  CHECK(Report.Succeeded > 1000);
}

TEST_CASE("connections that go silent are replaced without losing a call") {
  SmallFleet Running;
  startConfigured(&Running);
  // The orders of data centre 0 are served by its sisters.
  Running.host(1).Upstream->signal(SIGTERM);
  REQUIRE(Running.waitForUpstreams(5, Patience));
  LoadGenerator Callers(
      {Running.host(0).callerEndpoint(), Running.host(1).callerEndpoint()},
      {"/orders/b"}, 4, Millis(5));
  Callers.start();
  for (int Round = 0; Round < 3; ++Round) {
    std::this_thread::sleep_for(Millis(500));
    Running.controlLink("0-1", "silence=1");
    Running.controlLink("0-2", "silence=1");
  }
  std::this_thread::sleep_for(Millis(4000));
  const LoadReport Report = Callers.stop();
  CHECK_MESSAGE(
      Report.Succeeded == Report.Calls,
      (Report.FailureExamples.empty() ? "" : Report.FailureExamples.front()));
  CHECK(Report.Succeeded > 50);
}

TEST_CASE("a truncated answer is never passed on as whole") {
  SmallFleet Running;
  startConfigured(&Running);
  TestFleet::controlUpstream(Running.host(0), "truncate=1");
  LoadReport Report;
  HttpPool Pool;
  for (int I = 0; I < 60; ++I)
    LoadGenerator::callOnce(&Pool, Running.host(0).callerEndpoint(), "GET",
                            "/catalogue/a", {}, &Report);
  CHECK(Report.Mismatched == 0);
  CHECK(Report.ConnectionsBroken == 0);
  CHECK(Report.Succeeded >= 50);
}

TEST_CASE("answers under kills of nodes and upstreams never cross") {
  SmallFleet Running;
  startConfigured(&Running);
  LoadGenerator Callers(Running.callerEndpoints(),
                        {"/catalogue/a", "/orders/b"}, 12, Millis(1));
  Callers.start();
  for (std::size_t I : {0, 3, 5}) {
    Running.killAndRestart(&Running.host(I));
    std::this_thread::sleep_for(Millis(700));
  }
  const LoadReport Report = Callers.stop();
  CHECK(Report.Mismatched == 0);
  CHECK(Report.Succeeded > 1000);
}

TEST_CASE("hostile input at the callers' port never reaches an upstream") {
  SmallFleet Running;
  startConfigured(&Running);
  const Host &At = Running.host(0);
  for (const char *Bytes :
       {"POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /catalogue/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
        "Content-Length: 2\r\n\r\nab",
        "GET /catalogue/x\r\n\r\n", "\r\n\r\n\r\n", "GET", "\xff\xfe\xfd"})
    rawExchange(At.callerEndpoint(), Bytes, Millis(300));
  for (const auto &Each : Running.hosts())
    CHECK(request(Each->upstreamEndpoint(), "GET", "/runs")
              .Reply.Body.find("\"all\":0") != std::string::npos);
  CHECK(request(At.callerEndpoint(), "GET", "/catalogue/a").Reply.Status ==
        200);
}

} // namespace
} // namespace persimmonquay::testing
