// Tests of the routing library.
#include "persimmonquay/routing/admission_gate.h"
#include "persimmonquay/routing/crash_suspect_tracker.h"
#include "persimmonquay/routing/endpoint_table.h"
#include "persimmonquay/routing/outcome.h"
#include "persimmonquay/routing/retry_budget.h"
#include <absl/strings/str_cat.h>
#include <atomic>
#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <thread>
#include <vector>

namespace persimmonquay {
namespace {

constexpr WallTime Now{Millis(1'700'000'000'000)};

MonoTime soon() { return monoNow() + Millis(300); }

// Outcomes.

TEST_CASE("not run is told only when nothing ran") {
  CHECK(outcomeOf(AttemptResult::NothingSent) == Outcome::NotRun);
  CHECK(outcomeOf(AttemptResult::RefusedByNode) == Outcome::NotRun);
  CHECK(outcomeOf(AttemptResult::RefusedByUpstream) == Outcome::NotRun);
  CHECK(outcomeOf(AttemptResult::AnswerLost) == Outcome::Unknown);
}

TEST_CASE("only idempotent calls are repeated after a lost answer") {
  CHECK(mayRetry(AttemptResult::AnswerLost, RetrySafety::Idempotent));
  CHECK_FALSE(mayRetry(AttemptResult::AnswerLost, RetrySafety::Keyed));
  CHECK_FALSE(mayRetry(AttemptResult::AnswerLost, RetrySafety::NonIdempotent));
  CHECK_FALSE(
      mayRetry(AttemptResult::RefusedByUpstream, RetrySafety::NonIdempotent));
  CHECK(mayRetry(AttemptResult::RefusedByNode, RetrySafety::NonIdempotent));
}

// Retry budget.

TEST_CASE("retries stay at a tenth of the calls once the saved are spent") {
  RetryBudget Budget;
  int Retries = 0;
  constexpr int Calls = 1000;
  for (int I = 0; I < Calls; ++I) {
    Budget.deposit();
    Retries += Budget.tryWithdraw() ? 1 : 0;
  }
  CHECK(Retries <= Calls / 10 + RetryBudget::MaxSaved);
}

TEST_CASE("a chain of nine under an outage does at most 2.4 times the work") {
  constexpr int Depth = 9;
  constexpr int Calls = 2000;
  std::vector<RetryBudget> Budgets(Depth);
  std::vector<std::int64_t> Reached(Depth + 1);
  // Every call fails at the bottom and each level retries if it may.
  const std::function<void(std::size_t)> Call = [&](std::size_t Level) {
    ++Reached[Level];
    if (Level == Depth)
      return;
    Budgets[Level].deposit();
    Call(Level + 1);
    if (Budgets[Level].tryWithdraw())
      Call(Level + 1);
  };
  for (int I = 0; I < Calls; ++I)
    Call(0);
  const double Factor =
      static_cast<double>(Reached[Depth]) / static_cast<double>(Calls);
  const double SavedUp = 1.05;
  CHECK(Factor <= std::pow(1.1, Depth) * SavedUp);
}

// Admission.

TEST_CASE("no more calls run than there are slots") {
  AdmissionGate Gate(3, 100);
  std::atomic<int> Running = 0;
  std::atomic<int> Most = 0;
  constexpr int CallerCount = 20;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int I = 0; I < CallerCount; ++I)
    Callers.emplace_back([&] {
      REQUIRE(Gate.acquire({0, monoNow() + Millis(10000)}) ==
              AdmissionResult::Admitted);
      const int Seen = ++Running;
      int Known = Most;
      while (Seen > Known && !Most.compare_exchange_weak(Known, Seen)) {
      }
      std::this_thread::yield();
      --Running;
      Gate.release();
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Most <= 3);
  CHECK(Gate.running() == 0);
}

/// Queues a caller and returns once it waits.
std::thread queueCaller(AdmissionGate *Gate, int Priority,
                        std::vector<int> *Order, AdmissionResult *Result) {
  const std::size_t Before = Gate->waiting();
  std::thread Caller([=] {
    *Result = Gate->acquire({Priority, monoNow() + Millis(10000)});
    if (*Result != AdmissionResult::Admitted)
      return;
    Order->push_back(Priority);
    Gate->release();
  });
  while (Gate->waiting() == Before)
    std::this_thread::yield();
  return Caller;
}

TEST_CASE("waiting calls run in the order of their importance") {
  AdmissionGate Gate(1, 10);
  REQUIRE(Gate.acquire({0, soon()}) == AdmissionResult::Admitted);
  std::vector<int> Order;
  std::vector<AdmissionResult> Results(3);
  std::vector<std::thread> Callers;
  for (int Priority : {3, 1, 2})
    Callers.push_back(
        queueCaller(&Gate, Priority, &Order,
                    &Results[static_cast<std::size_t>(Priority - 1)]));
  Gate.release();
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Order == std::vector<int>{1, 2, 3});
}

TEST_CASE("a full queue sheds the least important, be it the new call or not") {
  AdmissionGate Gate(1, 1);
  REQUIRE(Gate.acquire({0, soon()}) == AdmissionResult::Admitted);
  std::vector<int> Order;
  AdmissionResult Background{};
  std::thread Waiting = queueCaller(&Gate, 4, &Order, &Background);
  CHECK(Gate.acquire({5, soon()}) == AdmissionResult::Shed);
  AdmissionResult Critical{};
  std::thread Important([&] {
    Critical = Gate.acquire({1, monoNow() + Millis(10000)});
    Gate.release();
  });
  Waiting.join();
  CHECK(Background == AdmissionResult::Shed);
  Gate.release();
  Important.join();
  CHECK(Critical == AdmissionResult::Admitted);
}

TEST_CASE("a call that waits past its deadline is told so and takes no slot") {
  AdmissionGate Gate(1, 1);
  REQUIRE(Gate.acquire({0, soon()}) == AdmissionResult::Admitted);
  CHECK(Gate.acquire({0, monoNow() + Millis(5)}) ==
        AdmissionResult::DeadlineExceeded);
  CHECK(Gate.waiting() == 0);
  Gate.release();
  CHECK(Gate.running() == 0);
}

TEST_CASE("draining refuses new and waiting calls and lets running ones end") {
  AdmissionGate Gate(1, 5);
  REQUIRE(Gate.acquire({0, soon()}) == AdmissionResult::Admitted);
  std::vector<int> Order;
  AdmissionResult Result{};
  std::thread Waiting = queueCaller(&Gate, 1, &Order, &Result);
  Gate.setDraining(true);
  Waiting.join();
  CHECK(Result == AdmissionResult::Draining);
  CHECK(Gate.acquire({0, soon()}) == AdmissionResult::Draining);
  CHECK_FALSE(Gate.waitUntilIdle(Millis(1)));
  Gate.release();
  CHECK(Gate.waitUntilIdle(Millis(1)));
}

// Choice.

proto::Member upstream(const std::string &Node, const std::string &DataCentre,
                       const std::string &Version = "v1") {
  proto::Member Member;
  Member.set_node(Node);
  Member.set_data_centre(DataCentre);
  Member.set_service("s");
  Member.set_version(Version);
  Member.set_slots(9);
  return Member;
}

/// Returns how often each node is chosen.
std::map<std::string, int> choices(const EndpointTable &Table,
                                   const EndpointCriteria &Wish) {
  std::mt19937_64 Random(5);
  std::map<std::string, int> Result;
  for (int I = 0; I < 2000; ++I)
    if (const auto Chosen =
            chooseEndpoint(Table.endpointsOf("s"), Wish, Random))
      ++Result[Chosen->Node];
  return Result;
}

EndpointCriteria wish() {
  EndpointCriteria Wish;
  Wish.DataCentre = "near";
  Wish.Version = "v1";
  Wish.Now = Now;
  return Wish;
}

TEST_CASE("the own data centre is chosen until it is full") {
  const auto Table = EndpointTable::build(
      {upstream("a", "near"), upstream("b", "near"), upstream("c", "far")},
      nullptr);
  CHECK_FALSE(choices(*Table, wish()).contains("c"));
  for (const auto &Endpoint : Table->endpointsOf("s"))
    if (Endpoint->DataCentre == "near")
      Endpoint->InFlight = 9;
  CHECK(choices(*Table, wish())["c"] == 2000);
}

TEST_CASE("of two the less loaded one gets the call") {
  const auto Table = EndpointTable::build(
      {upstream("a", "near"), upstream("b", "near")}, nullptr);
  Table->endpointsOf("s")[0]->ReportedLoad = 5;
  auto Chosen = choices(*Table, wish());
  CHECK(Chosen["b"] > 2 * Chosen["a"]);
}

TEST_CASE("an endpoint that can't be reached is avoided, and tried again") {
  const auto Table = EndpointTable::build(
      {upstream("a", "near"), upstream("b", "near")}, nullptr);
  for (int I = 0; I < 3; ++I)
    Table->endpointsOf("s")[0]->recordFailure(Now);
  CHECK_FALSE(choices(*Table, wish()).contains("a"));
  // Better an upstream that failed lately than none.
  EndpointCriteria Last = wish();
  Last.TriedNodes = {"b"};
  CHECK(choices(*Table, Last)["a"] == 2000);
  EndpointCriteria Later = wish();
  Later.Now = Now + std::chrono::minutes(5);
  CHECK(choices(*Table, Later).contains("a"));
}

TEST_CASE("draining, dead and tried endpoints get nothing") {
  proto::Member Draining = upstream("a", "near");
  Draining.set_draining(true);
  proto::Member Dead = upstream("b", "near");
  Dead.set_state(proto::DEAD);
  const auto Table = EndpointTable::build(
      {Draining, Dead, upstream("c", "near"), upstream("d", "near")}, nullptr);
  EndpointCriteria Wish = wish();
  Wish.TriedNodes = {"c"};
  const auto Chosen = choices(*Table, Wish);
  CHECK(Chosen.size() == 1);
  CHECK(Chosen.contains("d"));
}

TEST_CASE("a small share goes to few endpoints in each data centre") {
  constexpr int Endpoints = 10;
  std::vector<proto::Member> Members;
  Members.reserve(Endpoints);
  for (int I = 0; I < Endpoints; ++I)
    Members.push_back(upstream(absl::StrCat("n", I), "near"));
  const auto Table = EndpointTable::build(Members, nullptr);
  EndpointCriteria Wish = wish();
  Wish.SubsetKey = "move";
  Wish.SubsetPermille = 20;
  CHECK(choices(*Table, Wish).size() == 1);
  Wish.SubsetPermille = 250;
  CHECK(choices(*Table, Wish).size() == 3);
}

TEST_CASE("an upstream in its cold start gets less") {
  proto::Member Cold = upstream("cold", "near");
  Cold.set_announced_unix_ms(unixMillis(Now));
  const auto Table =
      EndpointTable::build({Cold, upstream("warm", "near")}, nullptr);
  EndpointCriteria Wish = wish();
  Wish.ColdStartDuration = Millis(2000);
  Wish.Now = Now + Millis(200);
  for (const auto &Endpoint : Table->endpointsOf("s"))
    Endpoint->InFlight = 2;
  auto Chosen = choices(*Table, Wish);
  CHECK(Chosen["warm"] > 2 * Chosen["cold"]);
}

TEST_CASE("load survives an update of the table unless the upstream is new") {
  const auto First = EndpointTable::build({upstream("a", "near")}, nullptr);
  First->endpointsOf("s")[0]->InFlight = 4;
  const auto Same = EndpointTable::build({upstream("a", "near")}, First.get());
  CHECK(Same->endpointsOf("s")[0]->InFlight == 4);
  const auto Other =
      EndpointTable::build({upstream("a", "near", "v2")}, Same.get());
  CHECK(Other->endpointsOf("s")[0]->InFlight == 0);
}

// Blame.

TEST_CASE("a request that kills twice is condemned; those beside it are not") {
  CrashSuspectTracker First;
  CHECK(First.start(1, 0) == CrashSuspectTracker::StartResult::Started);
  CHECK(First.start(2, 0) == CrashSuspectTracker::StartResult::Started);
  const auto Suspects = First.onUpstreamCrash();
  CHECK(Suspects == std::vector<std::uint64_t>{1, 2});
  CHECK(First.onUpstreamCrash().empty());
  CrashSuspectTracker Second;
  CHECK(Second.start(1, 1) == CrashSuspectTracker::StartResult::Started);
  CHECK(Second.start(2, 1) == CrashSuspectTracker::StartResult::MustWait);
  CHECK(Second.start(3, 0) == CrashSuspectTracker::StartResult::Started);
  CHECK(Second.onUpstreamCrash() == std::vector<std::uint64_t>{1});
  CHECK(Second.start(1, 2) == CrashSuspectTracker::StartResult::Refused);
  CHECK(Second.start(2, 1) == CrashSuspectTracker::StartResult::Started);
}

TEST_CASE("a suspect's turn comes when the other has ended") {
  CrashSuspectTracker Tracker;
  CHECK(Tracker.start(1, 1) == CrashSuspectTracker::StartResult::Started);
  std::thread Other([&] { Tracker.end(1); });
  while (Tracker.start(2, 1) != CrashSuspectTracker::StartResult::Started)
    Tracker.waitForChange(monoNow() + Millis(1000));
  Other.join();
  CHECK(Tracker.running() == 1);
}

} // namespace
} // namespace persimmonquay
