// Tests of the calls whose responses nobody awaits.
#include "persimmonquay/traffic/unattended_calls.h"
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

namespace persimmonquay {
namespace {

constexpr MonoTime Start{std::chrono::hours(1)};

SentCall callEndingAfter(std::uint64_t Fingerprint, Millis Duration) {
  return {absl::StrCat("call-", Fingerprint), Fingerprint, Start + Duration};
}

TEST_CASE("unattended calls are kept until they have ended or are answered") {
  UnattendedCalls Calls;
  CHECK_FALSE(Calls.lastEnd());
  Calls.add(callEndingAfter(1, Millis(100)));
  Calls.add(callEndingAfter(2, Millis(300)));
  Calls.add(callEndingAfter(3, Millis(200)));
  Calls.add(callEndingAfter(1, Millis(150)));
  CHECK(Calls.lastEnd() == Start + Millis(300));
  Calls.expire(Start + Millis(100));
  CHECK(Calls.size() == 3);
  Calls.removeAnswered(1);
  const std::vector<SentCall> Taken = Calls.takeAll();
  REQUIRE(Taken.size() == 2);
  CHECK(Taken[0].Fingerprint == 3);
  CHECK(Taken[1].Fingerprint == 2);
  CHECK(Calls.empty());
}

// Many callers leave at once.
TEST_CASE("unattended calls are bounded, and those that end first go") {
  UnattendedCalls Calls;
  for (std::uint64_t I = 0; I < 10000; ++I)
    Calls.add(callEndingAfter(I, Millis(I)));
  CHECK(Calls.size() <= 64);
  CHECK(Calls.takeAll().front().Fingerprint == 9999);
}

} // namespace
} // namespace persimmonquay
