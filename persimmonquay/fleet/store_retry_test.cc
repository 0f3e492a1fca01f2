#include "persimmonquay/fleet/store_retry.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

namespace persimmonquay {
namespace {

constexpr MonoTime Start{std::chrono::hours(1)};

/// Returns when the attempts during an outage of `Length` start, each of which
/// fails after `CallTime`, and the first attempt after it.
std::vector<MonoTime> attempts(StoreRetry &Retry, Millis CallTime,
                               Millis Length, std::size_t Callers) {
  std::vector<MonoTime> Result = {Start};
  while (Result.back() < Start + Length) {
    const MonoTime Failed = Result.back() + CallTime;
    Result.push_back(Failed +
                     Retry.recordFailure(Result.back(), Failed, Callers));
  }
  return Result;
}

} // namespace

TEST_CASE("few callers notice a store's return within about a second") {
  for (const Millis CallTime : {Millis(1), Millis(200), Millis(1000)})
    for (const Millis Length : {Millis(100), Millis(3000), Millis(3600000)})
      for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
        CAPTURE(CallTime.count());
        CAPTURE(Length.count());
        StoreRetry Retry(Seed);
        const std::vector<MonoTime> Made =
            attempts(Retry, CallTime, Length, /*Callers=*/12);
        CHECK(Made.back() - (Start + Length) <= Millis(1050));
        // Not more often than that a second or two each.
        const auto Seconds =
            std::chrono::duration_cast<std::chrono::seconds>(Length).count();
        CHECK(Made.size() <= static_cast<std::size_t>(10 + 2 * Seconds));
      }
}

TEST_CASE("the time that a silent store has taken counts for the interval") {
  StoreRetry Retry(1);
  CHECK(Retry.recordFailure(Start, Start + Millis(1000), 12) <= Millis(50));
  const Millis Refused =
      Retry.recordFailure(Start + Millis(1050), Start + Millis(1051), 12);
  CHECK(Refused >= Millis(200));
  Retry.recordSuccess();
  CHECK(Retry.recordFailure(Start + Millis(9000), Start + Millis(9000), 12) <=
        Millis(100));
}

// 11,000 nodes that wait for the store must not keep it down when it comes
// back: they make at most 250 to 500 attempts a second together.
TEST_CASE("many callers spread their attempts over a long outage") {
  constexpr std::size_t Nodes = 11000;
  constexpr auto Outage = std::chrono::minutes(10);
  constexpr std::size_t OutageSeconds =
      std::chrono::duration_cast<std::chrono::seconds>(Outage).count();
  for (const Millis CallTime : {Millis(4), Millis(1000)}) {
    CAPTURE(CallTime.count());
    std::vector<std::size_t> BySecond(2 * OutageSeconds);
    MonoTime LastFirst = Start;
    for (std::size_t Node = 0; Node < Nodes; ++Node) {
      StoreRetry Retry(Node + 1);
      const std::vector<MonoTime> Made =
          attempts(Retry, CallTime, Outage, Nodes);
      for (const MonoTime At : Made)
        ++BySecond.at(static_cast<std::size_t>(
            std::chrono::duration_cast<std::chrono::seconds>(At - Start)
                .count()));
      LastFirst = std::max(LastFirst, Made.back());
    }
    // The attempts are in step at first and spread out then.
    CHECK(*std::max_element(BySecond.begin() + OutageSeconds / 2,
                            BySecond.end()) <= 500);
    CHECK(LastFirst - (Start + Outage) <= StoreRetry::maxInterval(Nodes));
  }
  CHECK(StoreRetry::maxInterval(Nodes) == Millis(44000));
}

} // namespace persimmonquay
