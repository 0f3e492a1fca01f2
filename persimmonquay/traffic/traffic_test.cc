#include "persimmonquay/traffic/admission_queue.h"
#include "persimmonquay/traffic/call_placement.h"
#include "persimmonquay/traffic/retry_budget.h"
#include "persimmonquay/traffic/upstream_ranking.h"
#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <queue>
#include <random>

namespace persimmonquay {
namespace {

constexpr Micros NoLimit{1000000000};

QueuedCall callOf(std::uint64_t Id, MonoTime Now, Millis Objective,
                  Millis Deadline, Millis ProcessingTime,
                  std::uint32_t Priority = 1) {
  QueuedCall Result;
  Result.Id = Id;
  Result.Priority = Priority;
  Result.Objective = Now + Objective;
  Result.Deadline = Now + Deadline;
  Result.ProcessingTime = ProcessingTime;
  Result.UpperProcessingTime = ProcessingTime;
  return Result;
}

TEST_CASE("a call starts at once if a slot is free") {
  AdmissionQueue Queue(2);
  const MonoTime Now = monoNow();
  for (std::uint64_t Id = 1; Id <= 2; ++Id)
    CHECK(Queue
              .offer(callOf(Id, Now, Millis(400), Millis(1500), Millis(100)),
                     Micros{0}, Now)
              .Verdict == AdmissionVerdict::Start);
  CHECK(Queue
            .offer(callOf(3, Now, Millis(400), Millis(1500), Millis(100)),
                   NoLimit, Now)
            .Verdict == AdmissionVerdict::Wait);
  CHECK(Queue.running() == 2);
  CHECK(Queue.waiting() == 1);
}

TEST_CASE("whyRejected doesn't change the queue") {
  AdmissionQueue Queue(1);
  const MonoTime Now = monoNow();
  const QueuedCall First =
      callOf(1, Now, Millis(400), Millis(1500), Millis(100));
  const QueuedCall Second =
      callOf(2, Now, Millis(400), Millis(1500), Millis(100));
  CHECK_FALSE(Queue.whyRejected(First, Micros{0}, Now));
  CHECK(Queue.running() == 0);
  Queue.offer(First, Micros{0}, Now);
  CHECK_FALSE(Queue.whyRejected(Second, NoLimit, Now));
  REQUIRE(Queue.whyRejected(Second, Micros{0}, Now));
  CHECK(Queue.whyRejected(Second, Micros{0}, Now)->Reason == BusyReason);
  CHECK(Queue.waiting() == 0);
}

TEST_CASE("a call that can't end on time is rejected when it arrives") {
  AdmissionQueue Queue(1);
  const MonoTime Now = monoNow();
  std::uint64_t Id = 1;
  int Waiting = 0;
  for (; Id <= 20; ++Id) {
    const Admission Result = Queue.offer(
        callOf(Id, Now, Millis(400), Millis(1500), Millis(100)), NoLimit, Now);
    if (Result.Verdict == AdmissionVerdict::Reject) {
      CHECK(Result.Rejection.RetryAfter > Micros{0});
      continue;
    }
    Waiting += Result.Verdict == AdmissionVerdict::Wait ? 1 : 0;
  }
  // One call runs, and three more of 100 ms can end after it within 400 ms.
  CHECK(Waiting == 3);
}

TEST_CASE("the queue is kept short under sustained load") {
  AdmissionQueue Queue(1);
  const MonoTime Start = monoNow();
  std::uint64_t Id = 1;
  // A call of 100 ms arrives every 50 ms.
  std::size_t MostWaitingAtFirst = 0;
  std::size_t MostWaitingLater = 0;
  MonoTime NextEnd = Start;
  for (MonoTime Now = Start; Now < Start + Millis(3000); Now += Millis(50)) {
    if (Now >= NextEnd && Queue.running() > 0) {
      Queue.finish(Id);
      if (const auto Next = Queue.startNext(Now)) {
        Id = *Next;
        NextEnd = Now + Millis(100);
      }
    }
    const std::uint64_t NewId =
        1000 + static_cast<std::uint64_t>((Now - Start).count());
    if (Queue
            .offer(callOf(NewId, Now, Millis(700), Millis(2000), Millis(100)),
                   NoLimit, Now)
            .Verdict == AdmissionVerdict::Start) {
      Id = NewId;
      NextEnd = Now + Millis(100);
    }
    std::size_t &Most =
        Now < Start + Millis(600) ? MostWaitingAtFirst : MostWaitingLater;
    Most = std::max(Most, Queue.waiting());
  }
  // A call can spare 600 ms; half of that are three calls.
  CHECK(MostWaitingAtFirst >= 5);
  CHECK(MostWaitingLater <= 5);
  CHECK(Queue.waiting() <= 4);
}

TEST_CASE("a more important call starts first; a less important one expires") {
  AdmissionQueue Queue(1);
  const MonoTime Now = monoNow();
  const auto Offer = [&](std::uint64_t Id, std::uint32_t Priority) {
    return Queue.offer(
        callOf(Id, Now, Millis(250), Millis(400), Millis(100), Priority),
        NoLimit, Now);
  };
  CHECK(Offer(1, 2).Verdict == AdmissionVerdict::Start);
  CHECK(Offer(2, 2).Verdict == AdmissionVerdict::Wait);
  CHECK(Offer(3, 1).Verdict == AdmissionVerdict::Wait);
  Queue.finish(1);
  CHECK(Queue.startNext(Now + Millis(100)) == 3);
  // The second call can no longer finish by its deadline.
  const std::vector<RejectedCall> Expired = Queue.expire(Now + Millis(310));
  REQUIRE(Expired.size() == 1);
  CHECK(Expired[0].Id == 2);
}

// A caller may state a shorter timeout than the latency objective of its route.
TEST_CASE("a waiting call is not started after its deadline") {
  AdmissionQueue Queue(1);
  const MonoTime Now = monoNow();
  Queue.offer(callOf(1, Now, Millis(500), Millis(1500), Millis(100)), NoLimit,
              Now);
  CHECK(Queue
            .offer(callOf(2, Now, Millis(800), Millis(250), Millis(100)),
                   NoLimit, Now)
            .Verdict == AdmissionVerdict::Wait);
  REQUIRE(Queue.nextExpiry());
  CHECK(*Queue.nextExpiry() <= Now + Millis(150));
  // The process was paused until after the deadline.
  const std::vector<RejectedCall> Expired = Queue.expire(Now + Millis(260));
  REQUIRE(Expired.size() == 1);
  CHECK(Expired[0].Id == 2);
}

// Guards against the rejection of nested calls (made by an upstream while it
// serves another call) for being late, which wasted all the work of the call
// that needed them. Found in simulated days at high load.
TEST_CASE("a short call is neither demoted nor rejected for being late") {
  AdmissionQueue Queue(1);
  const MonoTime Now = monoNow();
  Queue.offer(callOf(1, Now, Millis(500), Millis(1500), Millis(180)), NoLimit,
              Now);
  Queue.offer(callOf(2, Now, Millis(500), Millis(1500), Millis(180)), NoLimit,
              Now);
  CHECK(Queue
            .offer(callOf(3, Now, Millis(120), Millis(400), Millis(30)),
                   NoLimit, Now)
            .Verdict == AdmissionVerdict::Wait);
  CHECK(Queue.expire(Now + Millis(180)).empty());
  Queue.finish(1);
  CHECK(Queue.startNext(Now + Millis(180)) == 3);
}

TEST_CASE("a short call is rejected when its deadline can't be met") {
  AdmissionQueue Queue(1);
  const MonoTime Now = monoNow();
  Queue.offer(callOf(1, Now, Millis(500), Millis(1500), Millis(180)), NoLimit,
              Now);
  CHECK(Queue
            .offer(callOf(2, Now, Millis(120), Millis(150), Millis(30)),
                   NoLimit, Now)
            .Verdict == AdmissionVerdict::Reject);
}

TEST_CASE("a predicted wait longer than MaxWait is rejected as busy") {
  AdmissionQueue Queue(1);
  const MonoTime Now = monoNow();
  Queue.offer(callOf(1, Now, Millis(400), Millis(1500), Millis(100)), NoLimit,
              Now);
  const Admission Result = Queue.offer(
      callOf(2, Now, Millis(400), Millis(1500), Millis(100)), Millis(20), Now);
  CHECK(Result.Verdict == AdmissionVerdict::Reject);
  CHECK(Result.Rejection.Reason == "busy");
}

TEST_CASE("a cancelled call leaves the queue") {
  AdmissionQueue Queue(1);
  const MonoTime Now = monoNow();
  Queue.offer(callOf(1, Now, Millis(400), Millis(1500), Millis(100)), NoLimit,
              Now);
  Queue.offer(callOf(2, Now, Millis(400), Millis(1500), Millis(100)), NoLimit,
              Now);
  CHECK(Queue.cancel(2));
  CHECK_FALSE(Queue.cancel(2));
  Queue.finish(1);
  CHECK_FALSE(Queue.startNext(Now).has_value());
}

/// Result of `simulateOverload()`.
struct SimulationResult {
  /// Calls that ended by their latency objective, by priority.
  std::map<std::uint32_t, int> OnTime;
  /// Calls that arrived, by priority.
  std::map<std::uint32_t, int> Offered;
  Micros LongestWaitBeforeRejection{0};
};

/// Simulates the load of one upstream: `LoadFactor` times its capacity for 20
/// simulated seconds. With `UseFifo`, a plain first-in-first-out queue without
/// rejections takes the place of `AdmissionQueue`.
SimulationResult simulateOverload(double LoadFactor, bool UseFifo) {
  constexpr int Slots = 9;
  constexpr auto ProcessingTime = Millis(120);
  constexpr auto Objective = Millis(400);
  std::mt19937_64 Random(4711);
  AdmissionQueue Queue(Slots);
  const MonoTime Start = monoNow();
  SimulationResult Result;
  struct Event {
    MonoTime Time;
    std::uint64_t EndedCall; // 0 for an arrival
    bool operator<(const Event &Other) const { return this->Time > Other.Time; }
  };
  std::priority_queue<Event> Events;
  std::exponential_distribution<double> InterarrivalTime(
      LoadFactor * Slots /
      std::chrono::duration<double>(ProcessingTime).count());
  double Seconds = 0;
  while (Seconds < 20) {
    Seconds += InterarrivalTime(Random);
    Events.push({Start + Micros(static_cast<std::int64_t>(Seconds * 1e6)), 0});
  }
  std::map<std::uint64_t, std::pair<MonoTime, std::uint32_t>> Arrivals;
  std::deque<std::uint64_t> Fifo;
  int Running = 0;
  std::uint64_t NextId = 1;
  std::lognormal_distribution<double> ProcessingTimeFactor(-0.045, 0.3);
  const auto StartCall = [&](std::uint64_t Id, MonoTime Now) {
    Events.push({Now + Micros(static_cast<std::int64_t>(
                           ProcessingTimeFactor(Random) *
                           Micros(ProcessingTime).count())),
                 Id});
  };
  const auto StartNext = [&](MonoTime Now) {
    if (UseFifo) {
      while (Running < Slots && !Fifo.empty()) {
        ++Running;
        StartCall(Fifo.front(), Now);
        Fifo.pop_front();
      }
      return;
    }
    Queue.expire(Now);
    while (const std::optional<std::uint64_t> Id = Queue.startNext(Now))
      StartCall(*Id, Now);
  };
  while (!Events.empty()) {
    const Event Next = Events.top();
    Events.pop();
    if (Next.EndedCall != 0) {
      const auto [Arrival, Priority] = Arrivals[Next.EndedCall];
      if (Next.Time - Arrival <= Objective)
        ++Result.OnTime[Priority];
      if (UseFifo)
        --Running;
      else
        Queue.finish(Next.EndedCall);
      StartNext(Next.Time);
      continue;
    }
    const std::uint64_t Id = NextId++;
    const std::uint32_t Priority = Id % 4 == 0 ? 1 : 2;
    Arrivals[Id] = {Next.Time, Priority};
    ++Result.Offered[Priority];
    if (UseFifo) {
      Fifo.push_back(Id);
    } else {
      QueuedCall Call = callOf(Id, Next.Time, Objective, Millis(1500),
                               ProcessingTime, Priority);
      Call.UpperProcessingTime = Micros(ProcessingTime) * 5 / 4;
      const Admission Offer = Queue.offer(Call, NoLimit, Next.Time);
      if (Offer.Verdict == AdmissionVerdict::Start)
        StartCall(Id, Next.Time);
      for (const RejectedCall &Displaced : Offer.Displaced)
        Result.LongestWaitBeforeRejection =
            std::max(Result.LongestWaitBeforeRejection,
                     std::chrono::duration_cast<Micros>(
                         Next.Time - Arrivals[Displaced.Id].first));
    }
    StartNext(Next.Time);
  }
  return Result;
}

TEST_CASE("at 1.5 times capacity, most of the capacity serves on-time calls") {
  const SimulationResult QueueResult = simulateOverload(1.5, false);
  const SimulationResult FifoResult = simulateOverload(1.5, true);
  const auto OnTimeShare = [](const SimulationResult &Result) {
    int OnTime = 0;
    int Offered = 0;
    for (const auto &[Priority, Count] : Result.Offered) {
      Offered += Count;
      const auto Found = Result.OnTime.find(Priority);
      OnTime += Found == Result.OnTime.end() ? 0 : Found->second;
    }
    return static_cast<double>(OnTime) / Offered;
  };
  // The capacity is enough for two thirds of the offered calls, of which nine
  // tenths must be on time. The FIFO queue serves nearly all calls, but too
  // late.
  CHECK(OnTimeShare(QueueResult) > 0.9 / 1.5);
  CHECK(OnTimeShare(FifoResult) < 0.3);
}

TEST_CASE(
    "under overload important calls are on time while others are rejected") {
  SimulationResult Result = simulateOverload(1.5, false);
  CHECK(Result.OnTime[1] > 0.95 * Result.Offered[1]);
  CHECK(Result.OnTime[2] < 0.8 * Result.Offered[2]);
}

TEST_CASE("retries stay within the budget in every window") {
  RetryBudget Budget(RetryLimits{0.2, 60, Millis(10000)});
  const MonoTime Start = monoNow();
  constexpr std::size_t NodeCount = 10;
  std::deque<MonoTime> Calls;
  std::deque<MonoTime> Retries;
  std::mt19937_64 Random(99);
  // Every call fails; busy and quiet periods alternate.
  for (int Tick = 0; Tick < 60000; Tick += 10) {
    const MonoTime Now = Start + Millis(Tick);
    const bool Busy = (Tick / 7000) % 2 == 0;
    if (std::bernoulli_distribution(Busy ? 0.5 : 0.02)(Random)) {
      Budget.recordCall(Now);
      Calls.push_back(Now);
    }
    if (Budget.trySpend(NodeCount, Now))
      Retries.push_back(Now);
    while (!Calls.empty() && Now - Calls.front() > Millis(10000))
      Calls.pop_front();
    while (!Retries.empty() && Now - Retries.front() > Millis(10000))
      Retries.pop_front();
    CHECK(static_cast<double>(Retries.size()) <=
          0.2 * static_cast<double>(Calls.size()) + 6.0 + 1.0);
  }
}

TEST_CASE("a slow or failing upstream is ranked behind a healthy one") {
  const MonoTime Now = monoNow();
  UpstreamView Healthy(true, 9);
  UpstreamView Slow(true, 9);
  UpstreamView Failing(true, 9);
  for (int Call = 0; Call < 30; ++Call) {
    Healthy.recordResult(false, Millis(100), Now);
    Slow.recordResult(false, Millis(400), Now);
    Failing.recordResult(Call % 2 == 0, Millis(100), Now);
  }
  const std::vector<Candidate> Ranked =
      rankUpstreams({&Failing, &Slow, &Healthy}, {0.5, 0.5, 0.5}, Now);
  CHECK(Ranked[0].Index == 2);
}

// Guards against starving a new upstream: it was assumed to take 100 ms per
// call and never got one next to an upstream measured to be faster. Found by a
// test with several processes.
TEST_CASE("an upstream that is not there is tried ever more rarely") {
  MonoTime Now = monoNow();
  UpstreamView View(true, 9);
  CHECK_FALSE(View.isUnavailable(Now));
  const MonoTime End = Now + std::chrono::seconds(30);
  int Offers = 0;
  for (; Now < End; Now += Millis(10))
    if (!View.isUnavailable(Now)) {
      View.recordUnavailable(Now);
      ++Offers;
    }
  CHECK(Offers <= 15);
  CHECK(Offers >= 8);
  // The upstream is back.
  View.recordResult(/*Failed=*/false, Millis(100), Now);
  CHECK_FALSE(View.isUnavailable(Now));
  View.recordUnavailable(Now);
  CHECK_FALSE(View.isUnavailable(Now + Millis(250)));
}

TEST_CASE("an upstream that has served no call yet gets calls") {
  const MonoTime Now = monoNow();
  UpstreamView Measured(true, 9);
  UpstreamView New(true, 9);
  for (int Call = 0; Call < 30; ++Call)
    Measured.recordResult(false, Millis(1), Now);
  CHECK(rankUpstreams({&Measured, &New}, {0.9, 0.1}, Now)[0].Index == 1);
  CHECK(rankUpstreams({&Measured, &New}, {0.1, 0.9}, Now)[0].Index == 0);
}

TEST_CASE("the failure rate of an upstream decays over time") {
  const MonoTime Now = monoNow();
  UpstreamView Failing(true, 9);
  for (int Call = 0; Call < 30; ++Call)
    Failing.recordResult(true, Millis(100), Now);
  CHECK(Failing.failureRate(Now) > 0.9);
  CHECK(Failing.failureRate(Now + std::chrono::seconds(10)) < 0.05);
}

/// An upstream of the local data centre and one of another, and the choice
/// between them for a call that takes about 100 ms and must end within 400 ms.
struct TwoDataCentres {
  /// Records results of both upstreams; one in `FailEvery` calls fails, or none
  /// if it is 0.
  void record(UpstreamView &View, Millis ProcessingTime, int FailEvery,
              int Calls = 40) {
    for (int Call = 0; Call < Calls; ++Call)
      View.recordResult(FailEvery > 0 && Call % FailEvery == 0, ProcessingTime,
                        this->Now, Millis(100));
  }

  std::optional<PlacementOffer> offer(CallPlacement &Placement,
                                      std::size_t TransferBytes = 3000) const {
    PlacementGoal Goal;
    Goal.Objective = this->Now + Millis(400);
    Goal.Deadline = this->Now + Millis(1500);
    Goal.MeanProcessingTime = Millis(100);
    Goal.ProcessingTimeDeviation = Millis(30);
    Goal.TransferBytes = TransferBytes;
    return Placement.nextOffer(
        Goal,
        {{this->HereName, this->HereName, this->Here},
         {this->ThereName, this->ThereName, this->There}},
        [this](const std::string &) { return this->IsThereBusy; },
        [] { return 0.5; }, this->Now);
  }

  /// Returns whether a new call stays in the local data centre.
  bool stays(std::size_t TransferBytes = 3000) const {
    CallPlacement Placement;
    const auto Offer = this->offer(Placement, TransferBytes);
    REQUIRE(Offer);
    return Offer->Index == 0;
  }

  MonoTime Now = monoNow();
  UpstreamView Here{true, 9};
  UpstreamView There{false, 9};
  bool IsThereBusy = false;
  std::string HereName = "here";
  std::string ThereName = "there";
};

// Guards against preferring a failing upstream because it is local. In an
// incident, the only upstream of its data centre failed half of its calls and
// still got a fifth of the service's calls for ten seconds.
TEST_CASE("an upstream that fails many calls loses its local preference") {
  TwoDataCentres Setup;
  Setup.record(Setup.Here, Millis(100), 2);
  Setup.record(Setup.There, Millis(100), 0);
  CHECK_FALSE(Setup.stays());
  // The failure rate decays, so that the upstream gets calls again.
  Setup.Now += Millis(8000);
  CHECK(Setup.stays());
  // The rate reported by the upstream's own node decays as well.
  Setup.Here.recordFleetFailureRate(0.5, Setup.Now);
  CHECK_FALSE(Setup.stays());
  Setup.Now += Millis(8000);
  CHECK(Setup.stays());
}

TEST_CASE("if all upstreams fail alike, calls stay in the local data centre") {
  TwoDataCentres Setup;
  Setup.record(Setup.Here, Millis(100), 2);
  Setup.record(Setup.There, Millis(100), 2);
  CHECK(Setup.stays());
}

TEST_CASE("a faster data centre gets calls only if they would be late here") {
  TwoDataCentres Setup;
  Setup.record(Setup.Here, Millis(200), 0);
  Setup.record(Setup.There, Millis(50), 0);
  CHECK(Setup.stays());
  Setup.record(Setup.Here, Millis(350), 0);
  CHECK_FALSE(Setup.stays());
  // What a large call transfers counts more than its being late.
  CHECK(Setup.stays(20000));
}

TEST_CASE("a call leaves a full data centre unless the other one is full too") {
  TwoDataCentres Setup;
  Setup.record(Setup.Here, Millis(100), 0);
  Setup.record(Setup.There, Millis(100), 0);
  CallPlacement Placement;
  const PlacementTarget Here{Setup.HereName, Setup.HereName, Setup.Here};
  const PlacementTarget There{Setup.ThereName, Setup.ThereName, Setup.There};
  CHECK(Setup.offer(Placement)->Index == 0);
  Placement.recordBusy(Here, Millis(300));
  const std::optional<PlacementOffer> Second = Setup.offer(Placement);
  CHECK(Second->Index == 1);
  CHECK(Second->MaxWait < Millis(300));
  Placement.recordBusy(There, Millis(300));
  // Then it waits for the shortest queue, once.
  const std::optional<PlacementOffer> Third = Setup.offer(Placement);
  CHECK(Third->MaxWait > Millis(1000));
  Placement.recordBusy(Here, Millis(300));
  CHECK_FALSE(Setup.offer(Placement).has_value());
  CHECK(Placement.busyCount() == 2);

  Setup.IsThereBusy = true;
  CallPlacement Other;
  Other.recordBusy(Here, Millis(100));
  CHECK(Setup.offer(Other)->Index == 0);
}

TEST_CASE("with a short local queue, a call waits rather than crosses") {
  TwoDataCentres Setup;
  Setup.record(Setup.Here, Millis(100), 0);
  Setup.record(Setup.There, Millis(100), 0);
  CallPlacement Placement;
  Placement.recordBusy({Setup.HereName, Setup.HereName, Setup.Here},
                       Millis(60));
  CHECK(Setup.offer(Placement)->Index == 0);
}

/// Returns how many full upstreams of its data centre a call is offered to
/// before it joins the shortest queue.
int offersToFullUpstreams(std::uint32_t SlotCount) {
  const MonoTime Now = monoNow();
  const std::vector<std::string> Names = {"a", "b", "c", "d",
                                          "e", "f", "g", "h"};
  const UpstreamView View(true, SlotCount);
  std::vector<PlacementTarget> Targets;
  Targets.reserve(Names.size());
  for (const std::string &Name : Names)
    Targets.push_back({Name, Names[0], View});
  PlacementGoal Goal;
  Goal.Objective = Now + Millis(400);
  Goal.Deadline = Now + Millis(1500);
  Goal.MeanProcessingTime = Millis(100);
  CallPlacement Placement;
  int Offers = 0;
  while (const auto Offer = Placement.nextOffer(
             Goal, Targets, [](const std::string &) { return false; },
             [] { return 0.5; }, Now)) {
    ++Offers;
    Placement.recordBusy(Targets[Offer->Index], Millis(100));
  }
  return Offers - 1;
}

TEST_CASE("a call is offered to more upstreams if they have few slots") {
  for (const std::uint32_t SlotCount : {7, 9, 18})
    CHECK(offersToFullUpstreams(SlotCount) == 3);
  CHECK(offersToFullUpstreams(4) == 5);
  CHECK(offersToFullUpstreams(1) == 6);
}

TEST_CASE("the expected wait shrinks as the report gets older") {
  const MonoTime Now = monoNow();
  UpstreamView View(true, 9);
  View.recordLoad(9, 4, 9, Millis(200), Now);
  CHECK(View.expectedWait(Now) == Millis(200));
  CHECK(View.expectedWait(Now + Millis(150)) <= Millis(50));
}

TEST_CASE("charged retries use up the budget") {
  const MonoTime Now = monoNow();
  RetryBudget Budget(RetryLimits{0.2, 60, Millis(10000)});
  for (int I = 0; I < 100; ++I)
    Budget.recordCall(Now);
  const double Remaining = Budget.remaining(10, Now);
  REQUIRE(Remaining >= 1);
  Budget.charge(3, Now);
  CHECK(Budget.remaining(10, Now) == doctest::Approx(Remaining - 3));
  Budget.charge(1000, Now);
  CHECK_FALSE(Budget.trySpend(10, Now));
}

} // namespace
} // namespace persimmonquay
