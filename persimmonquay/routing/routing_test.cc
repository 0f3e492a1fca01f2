// Tests of the routing library.
#include "persimmonquay/routing/admission_gate.h"
#include "persimmonquay/routing/crash_suspect_tracker.h"
#include "persimmonquay/routing/endpoint_table.h"
#include "persimmonquay/routing/outcome.h"
#include "persimmonquay/routing/retry_token_bucket.h"
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

MonoTime shortDeadline() { return monoNow() + Millis(300); }

// Outcomes.

TEST_CASE("NotRun is reported only for attempts that did not run") {
  CHECK(outcomeOf(AttemptResult::NothingSent) == Outcome::NotRun);
  CHECK(outcomeOf(AttemptResult::RefusedByNode) == Outcome::NotRun);
  CHECK(outcomeOf(AttemptResult::RefusedByUpstream) == Outcome::NotRun);
  CHECK(outcomeOf(AttemptResult::ResponseLost) == Outcome::Unknown);
}

TEST_CASE("only idempotent calls are retried after a lost response") {
  CHECK(mayRetry(AttemptResult::ResponseLost, RetrySafety::Idempotent));
  CHECK_FALSE(mayRetry(AttemptResult::ResponseLost, RetrySafety::Keyed));
  CHECK_FALSE(
      mayRetry(AttemptResult::ResponseLost, RetrySafety::NonIdempotent));
  CHECK_FALSE(
      mayRetry(AttemptResult::RefusedByUpstream, RetrySafety::NonIdempotent));
  CHECK(mayRetry(AttemptResult::RefusedByNode, RetrySafety::NonIdempotent));
}

// Retry token bucket.

TEST_CASE("retries are limited to a tenth of the calls plus the saved ones") {
  RetryTokenBucket Bucket;
  int Retries = 0;
  constexpr int Calls = 1000;
  for (int I = 0; I < Calls; ++I) {
    Bucket.deposit();
    Retries += Bucket.tryWithdraw() ? 1 : 0;
  }
  CHECK(Retries <= Calls / 10 + RetryTokenBucket::MaxSavedRetries);
}

TEST_CASE("nine nested calls do at most 2.4 times the work during an outage") {
  constexpr int Depth = 9;
  constexpr int Calls = 2000;
  std::vector<RetryTokenBucket> Buckets(Depth);
  std::vector<std::int64_t> CallsAtLevel(Depth + 1);
  // Every call fails at the deepest level, and each level retries if its bucket
  // allows.
  const std::function<void(std::size_t)> Call = [&](std::size_t Level) {
    ++CallsAtLevel[Level];
    if (Level == Depth)
      return;
    Buckets[Level].deposit();
    Call(Level + 1);
    if (Buckets[Level].tryWithdraw())
      Call(Level + 1);
  };
  for (int I = 0; I < Calls; ++I)
    Call(0);
  const double Amplification =
      static_cast<double>(CallsAtLevel[Depth]) / static_cast<double>(Calls);
  // Allows for the saved retries.
  const double SavedRetriesMargin = 1.05;
  CHECK(Amplification <= std::pow(1.1, Depth) * SavedRetriesMargin);
}

// Admission.

TEST_CASE("at most as many calls run as there are slots") {
  AdmissionGate Gate(3, 100);
  std::atomic<int> Running = 0;
  std::atomic<int> MaxRunning = 0;
  constexpr int CallerCount = 20;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int I = 0; I < CallerCount; ++I)
    Callers.emplace_back([&] {
      REQUIRE(Gate.acquire({0, monoNow() + Millis(10000)}) ==
              AdmissionResult::Admitted);
      const int NowRunning = ++Running;
      int PreviousMax = MaxRunning;
      while (NowRunning > PreviousMax &&
             !MaxRunning.compare_exchange_weak(PreviousMax, NowRunning)) {
      }
      std::this_thread::yield();
      --Running;
      Gate.release();
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(MaxRunning <= 3);
  CHECK(Gate.running() == 0);
}

/// Starts a caller thread and returns once it waits in the queue. An admitted
/// caller appends its priority to `Order`.
std::thread queueCaller(AdmissionGate *Gate, int Priority,
                        std::vector<int> *Order, AdmissionResult *Result) {
  const std::size_t WaitingBefore = Gate->waiting();
  std::thread Caller([=] {
    *Result = Gate->acquire({Priority, monoNow() + Millis(10000)});
    if (*Result != AdmissionResult::Admitted)
      return;
    Order->push_back(Priority);
    Gate->release();
  });
  while (Gate->waiting() == WaitingBefore)
    std::this_thread::yield();
  return Caller;
}

TEST_CASE("waiting calls are admitted in priority order") {
  AdmissionGate Gate(1, 10);
  REQUIRE(Gate.acquire({0, shortDeadline()}) == AdmissionResult::Admitted);
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

TEST_CASE("a full queue sheds the least important call, new or waiting") {
  AdmissionGate Gate(1, 1);
  REQUIRE(Gate.acquire({0, shortDeadline()}) == AdmissionResult::Admitted);
  std::vector<int> Order;
  AdmissionResult Background{};
  std::thread Waiting = queueCaller(&Gate, 4, &Order, &Background);
  CHECK(Gate.acquire({5, shortDeadline()}) == AdmissionResult::Shed);
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

TEST_CASE("a call that waits past its deadline is rejected and takes no slot") {
  AdmissionGate Gate(1, 1);
  REQUIRE(Gate.acquire({0, shortDeadline()}) == AdmissionResult::Admitted);
  CHECK(Gate.acquire({0, monoNow() + Millis(5)}) ==
        AdmissionResult::DeadlineExceeded);
  CHECK(Gate.waiting() == 0);
  Gate.release();
  CHECK(Gate.running() == 0);
}

TEST_CASE("draining rejects new and waiting calls; running calls finish") {
  AdmissionGate Gate(1, 5);
  REQUIRE(Gate.acquire({0, shortDeadline()}) == AdmissionResult::Admitted);
  std::vector<int> Order;
  AdmissionResult Result{};
  std::thread Waiting = queueCaller(&Gate, 1, &Order, &Result);
  Gate.setDraining(true);
  Waiting.join();
  CHECK(Result == AdmissionResult::Draining);
  CHECK(Gate.acquire({0, shortDeadline()}) == AdmissionResult::Draining);
  CHECK_FALSE(Gate.waitUntilIdle(Millis(1)));
  Gate.release();
  CHECK(Gate.waitUntilIdle(Millis(1)));
}

// Endpoint choice.

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

/// Returns how often each node is chosen in 2000 calls.
std::map<std::string, int> countChoices(const EndpointTable &Table,
                                        const EndpointCriteria &Criteria) {
  std::mt19937_64 Random(5);
  std::map<std::string, int> Result;
  for (int I = 0; I < 2000; ++I)
    if (const auto Chosen =
            chooseEndpoint(Table.endpointsOf("s"), Criteria, Random))
      ++Result[Chosen->Node];
  return Result;
}

EndpointCriteria localCriteria() {
  EndpointCriteria Criteria;
  Criteria.LocalDataCentre = "near";
  Criteria.Version = "v1";
  Criteria.Now = Now;
  return Criteria;
}

TEST_CASE("the local data centre is preferred until it is full") {
  const auto Table = EndpointTable::build(
      {upstream("a", "near"), upstream("b", "near"), upstream("c", "far")},
      nullptr);
  CHECK_FALSE(countChoices(*Table, localCriteria()).contains("c"));
  for (const auto &Endpoint : Table->endpointsOf("s"))
    if (Endpoint->DataCentre == "near")
      Endpoint->InFlight = 9;
  CHECK(countChoices(*Table, localCriteria())["c"] == 2000);
}

TEST_CASE("the less loaded of two endpoints gets more calls") {
  const auto Table = EndpointTable::build(
      {upstream("a", "near"), upstream("b", "near")}, nullptr);
  Table->endpointsOf("s")[0]->ReportedLoad = 5;
  auto Chosen = countChoices(*Table, localCriteria());
  CHECK(Chosen["b"] > 2 * Chosen["a"]);
}

TEST_CASE("an unreachable endpoint is ejected and tried again later") {
  const auto Table = EndpointTable::build(
      {upstream("a", "near"), upstream("b", "near")}, nullptr);
  for (int I = 0; I < 3; ++I)
    Table->endpointsOf("s")[0]->recordFailure(Now);
  CHECK_FALSE(countChoices(*Table, localCriteria()).contains("a"));
  // An ejected endpoint is used if there is no other.
  EndpointCriteria OnlyEjectedLeft = localCriteria();
  OnlyEjectedLeft.TriedNodes = {"b"};
  CHECK(countChoices(*Table, OnlyEjectedLeft)["a"] == 2000);
  EndpointCriteria Later = localCriteria();
  Later.Now = Now + std::chrono::minutes(5);
  CHECK(countChoices(*Table, Later).contains("a"));
}

TEST_CASE("draining, dead and already tried endpoints are not chosen") {
  proto::Member Draining = upstream("a", "near");
  Draining.set_draining(true);
  proto::Member Dead = upstream("b", "near");
  Dead.set_state(proto::DEAD);
  const auto Table = EndpointTable::build(
      {Draining, Dead, upstream("c", "near"), upstream("d", "near")}, nullptr);
  EndpointCriteria Criteria = localCriteria();
  Criteria.TriedNodes = {"c"};
  const auto Chosen = countChoices(*Table, Criteria);
  CHECK(Chosen.size() == 1);
  CHECK(Chosen.contains("d"));
}

TEST_CASE("a small share is limited to few endpoints per data centre") {
  constexpr int EndpointCount = 10;
  std::vector<proto::Member> Members;
  Members.reserve(EndpointCount);
  for (int I = 0; I < EndpointCount; ++I)
    Members.push_back(upstream(absl::StrCat("n", I), "near"));
  const auto Table = EndpointTable::build(Members, nullptr);
  EndpointCriteria Criteria = localCriteria();
  Criteria.SubsetKey = "move";
  Criteria.SubsetPermille = 20;
  CHECK(countChoices(*Table, Criteria).size() == 1);
  Criteria.SubsetPermille = 250;
  CHECK(countChoices(*Table, Criteria).size() == 3);
}

TEST_CASE("an upstream in its cold start gets fewer calls") {
  proto::Member Cold = upstream("cold", "near");
  Cold.set_announced_unix_ms(unixMillis(Now));
  const auto Table =
      EndpointTable::build({Cold, upstream("warm", "near")}, nullptr);
  EndpointCriteria Criteria = localCriteria();
  Criteria.ColdStartDuration = Millis(2000);
  Criteria.Now = Now + Millis(200);
  for (const auto &Endpoint : Table->endpointsOf("s"))
    Endpoint->InFlight = 2;
  auto Chosen = countChoices(*Table, Criteria);
  CHECK(Chosen["warm"] > 2 * Chosen["cold"]);
}

TEST_CASE("a table update keeps the load unless the upstream changed") {
  const auto First = EndpointTable::build({upstream("a", "near")}, nullptr);
  First->endpointsOf("s")[0]->InFlight = 4;
  const auto Unchanged =
      EndpointTable::build({upstream("a", "near")}, First.get());
  CHECK(Unchanged->endpointsOf("s")[0]->InFlight == 4);
  const auto NewVersion =
      EndpointTable::build({upstream("a", "near", "v2")}, Unchanged.get());
  CHECK(NewVersion->endpointsOf("s")[0]->InFlight == 0);
}

// Crash suspects.

TEST_CASE("a request is refused after two crashes; concurrent ones are not") {
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

TEST_CASE("a suspect may start once the running suspect has ended") {
  CrashSuspectTracker Tracker;
  CHECK(Tracker.start(1, 1) == CrashSuspectTracker::StartResult::Started);
  std::thread EndingThread([&] { Tracker.end(1); });
  while (Tracker.start(2, 1) != CrashSuspectTracker::StartResult::Started)
    Tracker.waitForChange(monoNow() + Millis(1000));
  EndingThread.join();
  CHECK(Tracker.running() == 1);
}

} // namespace
} // namespace persimmonquay
