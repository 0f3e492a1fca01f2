// Replays load on upstreams that are cold, or may be.
#include "persimmonquay/traffic/cold_start_limiter.h"
#include <doctest/doctest.h>
#include <limits>
#include <random>
#include <set>
#include <vector>

namespace persimmonquay {
namespace {

constexpr Millis Step(1);
constexpr Millis ColdTime(3000);
constexpr double ColdRate = 14;

/// Calls that a cold upstream may get in one second.
constexpr double AllowedInSecond = 1.5 * ColdRate + 8;

std::size_t mostInSecond(const std::vector<MonoTime> &Events) {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Events.size(); ++Last) {
    while (Events[Last] - Events[First] >= std::chrono::seconds(1))
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

ColdStartLimiter coldLimiter(MonoTime Now) {
  ColdStartLimiter Result;
  Result.setLimits(ColdTime, ColdRate, Now);
  Result.assumeCold(Now);
  return Result;
}

struct LimiterFixture {
  /// Offers calls at random, `Load` times as many as the upstream bears, and
  /// returns when those that were not refused were sent.
  std::vector<MonoTime> offer(ColdStartLimiter &Limiter, double Load,
                              Millis Duration) {
    std::vector<MonoTime> Sent;
    std::bernoulli_distribution Arrives(Load * ColdRate / 1000);
    for (const MonoTime End = this->Now + Duration; this->Now < End;
         this->Now += Step) {
      if (!Arrives(this->Random) || !Limiter.mayStart(0, this->Now))
        continue;
      Limiter.recordSend(this->Now);
      Sent.push_back(this->Now);
    }
    return Sent;
  }

  MonoTime Now{std::chrono::hours(1)};
  std::mt19937 Random{7};
};

TEST_CASE_FIXTURE(LimiterFixture,
                  "a cold upstream gets its rate, from the first second") {
  for (const double Load : {2.0, 4.0, 20.0}) {
    ColdStartLimiter Limiter = coldLimiter(Now);
    const std::vector<MonoTime> Sent = this->offer(Limiter, Load, ColdTime);
    CHECK(mostInSecond(Sent) <= AllowedInSecond);
    CHECK(static_cast<double>(Sent.size()) > 0.85 * 3 * ColdRate);
    CHECK_FALSE(Limiter.isCold(Now));
    CHECK(Limiter.mayStart(1000, Now));
  }
}

TEST_CASE_FIXTURE(LimiterFixture,
                  "restarts of the gate don't add up to more calls") {
  std::vector<MonoTime> Sent;
  for (int Restart = 0; Restart < 20; ++Restart) {
    ColdStartLimiter Limiter = coldLimiter(Now);
    // Quiet at first, so that calls are saved up.
    Now += Millis(700);
    for (const MonoTime Time : this->offer(Limiter, 50, Millis(300)))
      Sent.push_back(Time);
  }
  CHECK(mostInSecond(Sent) <= AllowedInSecond);
}

TEST_CASE_FIXTURE(LimiterFixture, "an upstream that turns cold under load") {
  ColdStartLimiter Limiter = coldLimiter(Now);
  Limiter.recordRemaining(Millis(0), Now);
  CHECK(Limiter.mayStart(100, Now));
  this->offer(Limiter, 50, Millis(2000));
  SUBCASE("as it says itself") { Limiter.recordRemaining(ColdTime, Now); }
  SUBCASE("by a crash") { Limiter.assumeCold(Now); }
  // Nothing was saved up while it was warm.
  CHECK_FALSE(Limiter.mayStart(0, Now));
  CHECK(mostInSecond(this->offer(Limiter, 50, ColdTime)) <= AllowedInSecond);
}

TEST_CASE_FIXTURE(LimiterFixture,
                  "what an upstream says replaces what was assumed") {
  ColdStartLimiter Limiter = coldLimiter(Now);
  CHECK(Limiter.isAssumed(Now));
  Limiter.recordRemaining(Millis(1500), Now);
  CHECK_FALSE(Limiter.isAssumed(Now));
  CHECK(Limiter.remaining(Now) == Millis(1500));
  Now += Millis(1500);
  CHECK_FALSE(Limiter.isCold(Now));
  // A crash is newer than what it said.
  Limiter.assumeCold(Now);
  CHECK(Limiter.remaining(Now) == ColdTime);
}

TEST_CASE_FIXTURE(LimiterFixture, "what is known outlasts the time without a "
                                  "configuration") {
  ColdStartLimiter Limiter;
  Limiter.assumeCold(Now);
  CHECK(Limiter.mayStart(100, Now));
  Limiter.setLimits(ColdTime, ColdRate, Now);
  CHECK(Limiter.isCold(Now));
  CHECK_FALSE(Limiter.mayStart(0, Now));
  CHECK(Limiter.remaining(Now) == ColdTime);
  SUBCASE("an upstream without a limit") {
    Limiter.setLimits(ColdTime, 0, Now);
    CHECK_FALSE(Limiter.isCold(Now));
    CHECK(Limiter.mayStart(100, Now));
  }
}

TEST_CASE_FIXTURE(LimiterFixture, "refused calls return one after the other") {
  ColdStartLimiter Limiter = coldLimiter(Now);
  std::set<Micros> Times;
  for (int I = 0; I < 13; ++I) {
    const Micros Delay = Limiter.scheduleReturn(0, Now);
    CHECK(Delay > Micros(0));
    CHECK(Delay <= Millis(1000));
    Times.insert(Delay);
  }
  CHECK(Times.size() == 13);
  // When the upstream is warm, there is room for all.
  Now += ColdTime - Millis(50);
  CHECK(Limiter.scheduleReturn(0, Now) <= Millis(50));
  Now += Millis(50);
  CHECK(Limiter.scheduleReturn(0, Now) == Micros(0));
}

// Beside callers' calls, of which nineteen in twenty are refused.
TEST_CASE("few calls of other upstreams are refused") {
  int Nested = 0;
  int NestedRefused = 0;
  for (unsigned Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937 Random(Seed);
    std::bernoulli_distribution Arrives(20 * ColdRate / 1000);
    std::bernoulli_distribution IsNested(0.01);
    MonoTime Now{std::chrono::hours(1)};
    ColdStartLimiter Limiter = coldLimiter(Now);
    std::vector<MonoTime> Sent;
    for (const MonoTime End = Now + ColdTime; Now < End; Now += Step) {
      if (!Arrives(Random))
        continue;
      const bool NestedCall = IsNested(Random);
      if (NestedCall)
        Limiter.recordNestedOffer(Now);
      const bool Starts =
          Limiter.mayStart(Limiter.callsAhead(0, NestedCall, Now), Now);
      Nested += NestedCall;
      NestedRefused += NestedCall && !Starts;
      if (!Starts)
        continue;
      Limiter.recordSend(Now);
      Sent.push_back(Now);
    }
    CHECK(mostInSecond(Sent) <= AllowedInSecond);
    CHECK(static_cast<double>(Sent.size()) > 0.85 * 3 * ColdRate);
  }
  // The first one of each run comes before room has been kept.
  CHECK(NestedRefused < 50 + Nested / 10);
}

TEST_CASE_FIXTURE(LimiterFixture, "a low rate is used up although room is kept "
                                  "for calls of other upstreams") {
  ColdStartLimiter Limiter;
  Limiter.setLimits(ColdTime, 1, Now);
  Limiter.assumeCold(Now);
  Limiter.recordNestedOffer(Now);
  Now += Millis(1500);
  CHECK(Limiter.mayStart(Limiter.callsAhead(0, false, Now), Now));
}

TEST_CASE_FIXTURE(LimiterFixture, "absurd cold times and rates are bounded") {
  ColdStartLimiter Limiter = coldLimiter(Now);
  Limiter.recordRemaining(std::chrono::hours(24 * 365 * 100), Now);
  CHECK(Limiter.remaining(Now) == std::chrono::minutes(1));
  Limiter.recordRemaining(Millis(-5000), Now);
  CHECK_FALSE(Limiter.isCold(Now));
  Limiter.setLimits(std::chrono::hours(24 * 365 * 100), 1e-300, Now);
  Limiter.assumeCold(Now);
  CHECK(Limiter.remaining(Now) == std::chrono::minutes(1));
  CHECK(Limiter.scheduleReturn(0, Now) <= Millis(1000));
  for (const double Rate : {-3.0, std::numeric_limits<double>::quiet_NaN(),
                            std::numeric_limits<double>::infinity()}) {
    Limiter.setLimits(ColdTime, Rate, Now);
    CHECK_FALSE(Limiter.isCold(Now));
  }
}

} // namespace
} // namespace persimmonquay
