// Replays the failures that CrashLedger handles.
#include "persimmonquay/traffic/crash_ledger.h"
#include <doctest/doctest.h>
#include <random>

namespace persimmonquay {
namespace {

constexpr WallTime Start{std::chrono::hours(480000)};

TEST_CASE("a request is rejected after its second crash, for long after the "
          "third") {
  CrashLedger Ledger;
  CHECK(Ledger.decide(1, Start).Verdict == CrashVerdict::Run);
  CHECK(Ledger.recordCrash({1}, 100, Start).size() == 1);
  CHECK(Ledger.decide(1, Start).Verdict == CrashVerdict::RunAlone);
  // The same crash, reported again.
  CHECK(Ledger.recordCrash({1}, 100, Start).empty());
  CHECK(Ledger.decide(1, Start).Verdict == CrashVerdict::RunAlone);
  Ledger.recordCrash({1}, 200, Start);
  const CrashDecision Second = Ledger.decide(1, Start);
  CHECK(Second.Verdict == CrashVerdict::Reject);
  CHECK(Second.RetryAfter > Millis(0));
  const WallTime Later = Start + Second.RetryAfter;
  CHECK(Ledger.decide(1, Later).Verdict == CrashVerdict::RunAlone);
  Ledger.recordCrash({1}, 300, Later);
  CHECK(Ledger.decide(1, Later).RetryAfter > Second.RetryAfter);
  CHECK(Ledger.decide(2, Later).Verdict == CrashVerdict::Run);
}

TEST_CASE("requests beside the one that crashes upstreams are not blamed for "
          "the next crash") {
  CrashLedger Ledger;
  CHECK(Ledger.recordCrash({1, 2, 3}, 100, Start).size() == 3);
  // Only one of the suspects runs there, beside others.
  const CrashLedger::Records Attributed =
      Ledger.recordCrash({1, 4, 5}, 200, Start);
  REQUIRE(Attributed.size() == 1);
  CHECK(Attributed[0].fingerprint() == 1);
  CHECK(Ledger.decide(1, Start).Verdict == CrashVerdict::Reject);
  CHECK(Ledger.decide(2, Start).Verdict == CrashVerdict::RunAlone);
  CHECK(Ledger.decide(4, Start).Verdict == CrashVerdict::Run);
}

TEST_CASE("an answered request is cleared on all nodes") {
  CrashLedger Here;
  CrashLedger There;
  There.merge(Here.recordCrash({1}, 100, Start), Start);
  CHECK(There.decide(1, Start).Verdict == CrashVerdict::RunAlone);
  const CrashLedger::Records Cleared = Here.recordAnswer(1);
  CHECK(Cleared.size() == 1);
  CHECK(Here.recordAnswer(1).empty());
  CHECK(There.merge(Cleared, Start).size() == 1);
  CHECK(There.decide(1, Start).Verdict == CrashVerdict::Run);
  // An old copy doesn't bring the suspicion back.
  proto::CrashRecord Old = Cleared[0];
  Old.set_cleared(false);
  CHECK(There.merge(CrashLedger::Records{Old}, Start).empty());
  CHECK(There.decide(1, Start).Verdict == CrashVerdict::Run);
}

TEST_CASE("records of clocks that are ahead or of long ago do no harm") {
  CrashLedger Ledger;
  proto::CrashRecord Record;
  Record.set_fingerprint(1);
  Record.set_crash(100);
  Record.set_crashed_unix_ms(unixMillis(Start + std::chrono::hours(5)));
  Ledger.merge(CrashLedger::Records{Record}, Start);
  CHECK(Ledger.size() == 1);
  Ledger.expire(Start + std::chrono::hours(1));
  CHECK(Ledger.empty());
  Record.set_crashed_unix_ms(unixMillis(Start - std::chrono::hours(5)));
  Ledger.merge(CrashLedger::Records{Record}, Start);
  CHECK(Ledger.empty());
}

TEST_CASE("copies agree whatever the order of messages, and stay bounded") {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937 Random(Seed);
    CrashLedger First;
    CrashLedger Second;
    std::vector<proto::CrashRecord> Messages;
    for (int I = 0; I < 60; ++I) {
      CrashLedger &Ledger = Random() % 2 == 0 ? First : Second;
      const std::uint64_t Fingerprint = Random() % 9;
      const CrashLedger::Records Changed =
          Random() % 3 == 0
              ? Ledger.recordAnswer(Fingerprint)
              : Ledger.recordCrash({Fingerprint}, Random() % 20, Start);
      Messages.insert(Messages.end(), Changed.begin(), Changed.end());
    }
    std::shuffle(Messages.begin(), Messages.end(), Random);
    First.merge(Messages, Start);
    std::shuffle(Messages.begin(), Messages.end(), Random);
    Second.merge(Messages, Start);
    CHECK(First.hash() == Second.hash());
    for (std::uint64_t Fingerprint = 0; Fingerprint < 9; ++Fingerprint)
      CHECK(First.decide(Fingerprint, Start).Verdict ==
            Second.decide(Fingerprint, Start).Verdict);
  }
}

// A data centre loses its upstreams at once, with all that runs there.
TEST_CASE("many crashes don't push out the requests that are rejected") {
  CrashLedger Ledger;
  Ledger.recordCrash({1}, 1, Start);
  Ledger.recordCrash({1}, 2, Start);
  for (std::uint64_t Upstream = 100; Upstream < 2100; ++Upstream) {
    std::vector<std::uint64_t> Running;
    for (std::uint64_t Slot = 0; Slot < 40; ++Slot)
      Running.push_back(Upstream * 100 + Slot);
    CHECK(Ledger.recordCrash(Running, Upstream, Start).size() <= 16);
  }
  CHECK(Ledger.size() <= 256);
  CHECK(Ledger.decide(1, Start).Verdict == CrashVerdict::Reject);
  CHECK(Ledger.mostImportant(2)[0].fingerprint() == 1);
  CHECK(Ledger.mostImportant(2)[1].fingerprint() == 1);
  CHECK(Ledger.rejected(16, Start).size() == 2);
}

} // namespace
} // namespace persimmonquay
