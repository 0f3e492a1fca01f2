// Replays load on upstreams that state how many calls a second they take.
#include "persimmonquay/traffic/admission_queue.h"
#include "persimmonquay/traffic/call_pacer.h"
#include <deque>
#include <doctest/doctest.h>
#include <random>

namespace persimmonquay {
namespace {

constexpr Millis Step(1);

/// Returns the largest number of events in any 4 s.
std::size_t mostInSpan(const std::vector<MonoTime> &Events) {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Events.size(); ++Last) {
    while (Events[Last] - Events[First] > std::chrono::seconds(4))
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

/// Returns how many calls an upstream may get in 4 s.
double allowedInSpan(double Limit) { return 1.5 * Limit * 4 + 5; }

TEST_CASE("a pacer keeps the limit in every span and uses it") {
  for (const double Limit : {0.0, 0.3, 1.0, 4.0, 8.7, 22.2, 100.0, 1000.0}) {
    for (unsigned Seed = 1; Seed <= 5; ++Seed) {
      std::mt19937 Random(Seed);
      CallPacer Pacer;
      MonoTime Now{std::chrono::hours(1)};
      Pacer.setLimit(Limit, Now);
      std::vector<MonoTime> Sent;
      const MonoTime End = Now + std::chrono::seconds(30);
      MonoTime QuietUntil = Now;
      for (; Now < End; Now += Step) {
        // Load with quiet spells, in which tokens are saved up.
        if (Random() % 2000 == 0)
          QuietUntil = Now + Millis(Random() % 2000);
        if (Now < QuietUntil)
          continue;
        while (Pacer.startTime(0, Now) <= Now) {
          Pacer.recordSend(Now);
          Sent.push_back(Now);
        }
      }
      CHECK(static_cast<double>(mostInSpan(Sent)) <= allowedInSpan(Limit));
      CHECK(static_cast<double>(Sent.size()) >= 0.5 * Limit * 30);
    }
  }
}

TEST_CASE("a new limit starts without saved calls, a changed one keeps them") {
  const MonoTime Now{std::chrono::hours(1)};
  CallPacer Pacer;
  CHECK(Pacer.startTime(100, Now) == Now);
  Pacer.setLimit(2, Now);
  CHECK(Pacer.startTime(0, Now) == Now + Millis(500));
  CHECK(Pacer.startTime(3, Now) == Now + Millis(2000));
  Pacer.setLimit(2, Now + Millis(500));
  CHECK(Pacer.startTime(0, Now + Millis(500)) == Now + Millis(500));
  Pacer.setLimit(4, Now + Millis(500));
  CHECK(Pacer.startTime(0, Now + Millis(500)) == Now + Millis(500));
  Pacer.setLimit(std::nullopt, Now + Millis(500));
  CHECK(Pacer.startTime(100, Now + Millis(500)) == Now + Millis(500));
}

// Calls with a latency objective press on an upstream with free slots.
TEST_CASE("calls beyond the rate limit wait if they can, or are rejected at "
          "once with the time until there is room") {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    std::mt19937 Random(Seed);
    constexpr double Limit = 8.7;
    AdmissionQueue Queue(9);
    MonoTime Now{std::chrono::hours(1)};
    Queue.setRateLimit(Limit, Now);
    std::vector<MonoTime> Starts;
    std::deque<std::pair<MonoTime, std::uint64_t>> Running;
    std::size_t Rejected = 0;
    std::size_t Waited = 0;
    std::uint64_t NextId = 1;
    const MonoTime End = Now + std::chrono::seconds(20);
    const auto Start = [&](std::uint64_t Id) {
      Starts.push_back(Now);
      Running.emplace_back(Now + Millis(120), Id);
    };
    for (; Now < End; Now += Step) {
      while (!Running.empty() && Running.front().first <= Now) {
        Queue.finish(Running.front().second);
        Running.pop_front();
      }
      Rejected += Queue.expire(Now).size();
      while (const std::optional<std::uint64_t> Next = Queue.startNext(Now))
        Start(*Next);
      if (Random() % 1000 >= 44) // 44 calls a second
        continue;
      QueuedCall Call;
      Call.Id = NextId++;
      Call.Objective = Now + Millis(400);
      Call.Deadline = Now + Millis(2500);
      Call.ProcessingTime = Millis(120);
      Call.UpperProcessingTime = Millis(150);
      const Admission Result = Queue.offer(Call, Millis(2500), Now);
      Rejected += Result.Displaced.size();
      if (Result.Verdict == AdmissionVerdict::Start) {
        Start(Call.Id);
      } else if (Result.Verdict == AdmissionVerdict::Wait) {
        ++Waited;
        CHECK(Queue.nextStart(Now).has_value());
      } else {
        ++Rejected;
        CHECK(Result.Rejection.RetryAfter > Micros(0));
        CHECK(Result.Rejection.RetryAfter < std::chrono::seconds(2));
      }
    }
    CHECK(static_cast<double>(mostInSpan(Starts)) <= allowedInSpan(Limit));
    CHECK(static_cast<double>(Starts.size()) >= 0.9 * Limit * 20);
    CHECK(Waited > 0);
    CHECK(Rejected > 0);
    // The reported wait leads other nodes elsewhere although slots are free.
    CHECK(Queue.running() < 9);
  }
}

TEST_CASE("a lifted rate limit lets the waiting calls start") {
  AdmissionQueue Queue(2);
  MonoTime Now{std::chrono::hours(1)};
  Queue.setRateLimit(1, Now);
  QueuedCall Call;
  Call.Id = 1;
  Call.Objective = Now + Millis(5000);
  Call.Deadline = Now + Millis(5000);
  CHECK(Queue.offer(Call, Millis(5000), Now).Verdict == AdmissionVerdict::Wait);
  CHECK(!Queue.startNext(Now));
  Queue.setRateLimit(std::nullopt, Now);
  CHECK(Queue.startNext(Now) == 1);
}

} // namespace
} // namespace persimmonquay
