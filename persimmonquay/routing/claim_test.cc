// Tests of claims on idempotency keys, part of the routing library.
#include "persimmonquay/routing/claim_ledger.h"
#include "persimmonquay/routing/claim_stream.h"
#include "testing/fake_log.h"
#include <absl/strings/str_cat.h>
#include <atomic>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

namespace persimmonquay {
namespace {

using testing::FakeLog;
using Code = ClaimResult::Code;
constexpr WallTime Now{Millis(1'700'000'000'000)};

MonoTime shortDeadline() { return monoNow() + Millis(300); }

proto::ClaimEvent event(proto::ClaimEvent::Kind Kind, const std::string &Key,
                        const std::string &Attempt) {
  proto::ClaimEvent Event;
  Event.set_kind(Kind);
  Event.set_key(Key);
  Event.set_attempt(Attempt);
  return Event;
}

TEST_CASE("the first claim holds the key until released; its result is final") {
  ClaimLedger Ledger;
  Ledger.apply(event(proto::ClaimEvent::CLAIM, "k", "a"));
  Ledger.apply(event(proto::ClaimEvent::CLAIM, "k", "b"));
  CHECK(Ledger.find("k")->Holder == "a");
  Ledger.apply(event(proto::ClaimEvent::RELEASE, "k", "b"));
  CHECK(Ledger.find("k")->Holder == "a");
  Ledger.apply(event(proto::ClaimEvent::RELEASE, "k", "a"));
  Ledger.apply(event(proto::ClaimEvent::CLAIM, "k", "c"));
  CHECK(Ledger.find("k")->Holder == "c");
  Ledger.apply(event(proto::ClaimEvent::RESULT, "k", "a"));
  CHECK_FALSE(Ledger.find("k")->Result);
  Ledger.apply(event(proto::ClaimEvent::RESULT, "k", "c"));
  Ledger.apply(event(proto::ClaimEvent::RELEASE, "k", "c"));
  CHECK(Ledger.find("k")->Result);
  CHECK(Ledger.find("k")->Holder == "c");
}

TEST_CASE("malformed, expired and future idempotency keys are rejected") {
  WallTime CreatedAt;
  CHECK(parseKeyCreationTime("1700000000000-x", &CreatedAt).ok());
  CHECK(CreatedAt == Now);
  for (const char *Malformed : {"", "x", "17", "17-", "-x", "17x", "-5-x"})
    CHECK_FALSE(parseKeyCreationTime(Malformed, &CreatedAt).ok());
  CHECK_FALSE(
      parseKeyCreationTime("1-" + std::string(200, 'x'), &CreatedAt).ok());
  CHECK(checkKeyAge(Now, Millis(1000), Now + Millis(900)).ok());
  CHECK_FALSE(checkKeyAge(Now, Millis(1000), Now + Millis(1100)).ok());
  CHECK_FALSE(checkKeyAge(Now + std::chrono::hours(1), Millis(1000), Now).ok());
}

TEST_CASE("exactly one of several concurrent claims of a key is granted") {
  for (int Round = 0; Round < 20; ++Round) {
    FakeLog Log;
    std::atomic<int> Granted = 0;
    constexpr int NodeCount = 8;
    std::vector<std::thread> Nodes;
    Nodes.reserve(NodeCount);
    for (int I = 0; I < NodeCount; ++I)
      Nodes.emplace_back([&, I] {
        ClaimStream<FakeLog> Stream(&Log, "c");
        const ClaimResult Claim =
            Stream.claim("k", absl::StrCat("n", I), 1, monoNow() + Millis(50));
        Granted += Claim.Status == Code::Granted ? 1 : 0;
        CHECK(Claim.Status != Code::Unavailable);
      });
    for (std::thread &Node : Nodes)
      Node.join();
    CHECK(Granted == 1);
  }
}

TEST_CASE("a repeated request gets the stored response") {
  FakeLog Log;
  ClaimStream<FakeLog> First(&Log, "c");
  REQUIRE(First.claim("k", "a", 7, shortDeadline()).Status == Code::Granted);
  proto::ClaimEvent Result = event(proto::ClaimEvent::RESULT, "k", "a");
  Result.set_body("booked");
  First.enqueue(Result);
  First.flush(Millis(100));
  ClaimStream<FakeLog> Second(&Log, "c");
  const ClaimResult Repeated = Second.claim("k", "b", 7, shortDeadline());
  CHECK(Repeated.Status == Code::Completed);
  CHECK(Repeated.StoredResult.body() == "booked");
  CHECK(Repeated.HolderFingerprint == 7);
}

TEST_CASE("a key whose holder left no result is never granted again") {
  FakeLog Log;
  {
    ClaimStream<FakeLog> Crashed(&Log, "c");
    REQUIRE(Crashed.claim("k", "a", 1, shortDeadline()).Status ==
            Code::Granted);
  }
  ClaimStream<FakeLog> Next(&Log, "c");
  CHECK(Next.claim("k", "b", 1, monoNow() + Millis(30)).Status ==
        Code::HeldByOther);
}

TEST_CASE("no claim is granted while the log is down") {
  FakeLog Log;
  Log.setFaults(true);
  ClaimStream<FakeLog> Stream(&Log, "c");
  CHECK(Stream.claim("k", "a", 1, shortDeadline()).Status == Code::Unavailable);
}

TEST_CASE(
    "a claim whose append response was lost is not granted and is released") {
  FakeLog Log;
  Log.setFaults(false, 1);
  ClaimStream<FakeLog> Stream(&Log, "c");
  CHECK(Stream.claim("k", "a", 1, shortDeadline()).Status == Code::Unavailable);
  ClaimStream<FakeLog> Other(&Log, "c");
  CHECK(Other.claim("k", "b", 1, monoNow() + Millis(30)).Status ==
        Code::HeldByOther);
  // The first flush finds the abandoned claim on the log, the second one writes
  // its release.
  Stream.flush(Millis(100));
  Stream.flush(Millis(100));
  CHECK(Other.claim("k", "c", 1, shortDeadline()).Status == Code::Granted);
}

TEST_CASE("a claim that can't be read back is not granted") {
  FakeLog Log;
  Log.setReadOutage(true);
  ClaimStream<FakeLog> Stream(&Log, "c");
  CHECK(Stream.claim("k", "a", 1, shortDeadline()).Status == Code::Unavailable);
}

TEST_CASE(
    "a reader skips expired records and continues with the oldest kept one") {
  FakeLog Log;
  ClaimStream<FakeLog> First(&Log, "c");
  REQUIRE(First.claim("old", "a", 1, shortDeadline()).Status == Code::Granted);
  REQUIRE(First.claim("new", "b", 1, shortDeadline()).Status == Code::Granted);
  Log.expireBefore(1);
  ClaimStream<FakeLog> Second(&Log, "c");
  CHECK(Second.claim("new", "c", 1, monoNow() + Millis(30)).Status ==
        Code::HeldByOther);
}

TEST_CASE("concurrent claims are batched into shared appends") {
  FakeLog Log;
  Log.setAppendDelay(Millis(20));
  ClaimStream<FakeLog> Stream(&Log, "c");
  constexpr int ClaimCount = 64;
  std::atomic<int> Granted = 0;
  std::vector<std::thread> Callers;
  Callers.reserve(ClaimCount);
  for (int I = 0; I < ClaimCount; ++I)
    Callers.emplace_back([&, I] {
      const ClaimResult Claim =
          Stream.claim(absl::StrCat("k", I), absl::StrCat("a", I), 1,
                       monoNow() + Millis(5000));
      Granted += Claim.Status == Code::Granted ? 1 : 0;
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Granted == ClaimCount);
  CHECK(Log.appendCount() <= ClaimCount / 2);
}

} // namespace
} // namespace persimmonquay
