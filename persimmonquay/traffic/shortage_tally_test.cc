#include "persimmonquay/traffic/shortage_tally.h"

#include "persimmonquay/traffic/admission_queue.h"
#include "persimmonquay/traffic/nested_kinds.h"
#include <doctest/doctest.h>

namespace persimmonquay {
namespace {

constexpr std::uint64_t Rare = 1;
constexpr std::uint64_t Common = 2;

/// Records a number of calls, one each millisecond.
MonoTime record(ShortageTally &Tally, std::uint64_t Kind, int Started,
                int Rejected, MonoTime Now) {
  for (int I = 0; I < Started; ++I)
    Tally.recordStart(Kind, Now += Millis(1));
  for (int I = 0; I < Rejected; ++I)
    Tally.recordRejection(Kind, Now += Millis(1));
  return Now;
}

TEST_CASE("a shortage begins with rejections and ends without calls") {
  ShortageTally Tally;
  const MonoTime Start = monoNow();
  CHECK_FALSE(Tally.isShortage(Start));
  // A few rejections are no shortage.
  MonoTime Now = record(Tally, Common, 0, 2, Start);
  CHECK_FALSE(Tally.isShortage(Now));
  Now = record(Tally, Common, 8, 2, Now);
  CHECK(Tally.isShortage(Now));
  CHECK_FALSE(Tally.isShortage(Now + Millis(1000)));
  Now = record(Tally, Common, 100, 0, Now);
  CHECK_FALSE(Tally.isShortage(Now));
}

TEST_CASE("a kind that is hardly served is starved until it has been served") {
  ShortageTally Tally;
  MonoTime Now = record(Tally, Common, 60, 20, monoNow());
  Now = record(Tally, Rare, 1, 2, Now);
  CHECK_FALSE(Tally.isStarved(Rare));
  Now = record(Tally, Rare, 0, 10, Now);
  CHECK(Tally.isStarved(Rare));
  CHECK_FALSE(Tally.isStarved(Common));
  CHECK_FALSE(Tally.isStarved(3));
  record(Tally, Rare, 3, 0, Now);
  CHECK_FALSE(Tally.isStarved(Rare));
}

TEST_CASE("the number of counted kinds is bounded") {
  ShortageTally Tally;
  MonoTime Now = monoNow();
  for (std::uint64_t Kind = 0; Kind < 5000; ++Kind)
    Tally.recordStart(Kind, Now += Millis(1));
  CHECK(Tally.kinds() <= 256);
  // Kinds without calls make room for others.
  Now += std::chrono::minutes(1);
  record(Tally, 9999, 0, 10, Now);
  CHECK(Tally.isStarved(9999));
}

QueuedCall callOf(std::uint64_t Id, MonoTime Now, std::uint32_t Priority,
                  Millis Work) {
  QueuedCall Result;
  Result.Id = Id;
  Result.Kind = Priority;
  Result.Priority = Priority;
  Result.Objective = Now + Millis(1000);
  Result.Deadline = Now + Millis(3000);
  Result.ProcessingTime = Work;
  Result.UpperProcessingTime = Work;
  return Result;
}

/// A queue whose only slot is taken by call 1. In a shortage, many calls of
/// priority 9 have been turned away since.
AdmissionQueue fullQueue(bool IsShortage, MonoTime Now) {
  AdmissionQueue Queue(1);
  Queue.offer(callOf(1, Now, 5, Millis(100)), Micros{0}, Now);
  for (int I = 0; IsShortage && I < 20; ++I) {
    QueuedCall TooLate = callOf(2, Now, 9, Millis(100));
    TooLate.Deadline = Now + Millis(50);
    REQUIRE(Queue.offer(TooLate, Millis(5000), Now).Verdict ==
            AdmissionVerdict::Reject);
  }
  REQUIRE(Queue.tally().isShortage(Now) == IsShortage);
  return Queue;
}

/// Returns which of two calls that wait starts first.
std::uint64_t firstOf(AdmissionQueue Queue, const QueuedCall &Left,
                      const QueuedCall &Right, MonoTime Now) {
  for (const QueuedCall &Call : {Left, Right})
    REQUIRE(Queue.offer(Call, Millis(5000), Now).Verdict ==
            AdmissionVerdict::Wait);
  Queue.finish(1);
  return Queue.startNext(Now).value_or(0);
}

TEST_CASE("in a shortage, calls that take less work start first") {
  const MonoTime Now = monoNow();
  const QueuedCall Long = callOf(10, Now, 1, Millis(200));
  QueuedCall Quick = callOf(11, Now, 1, Millis(50));
  Quick.Objective += Millis(100);
  CHECK(firstOf(fullQueue(false, Now), Long, Quick, Now) == 10);
  CHECK(firstOf(fullQueue(true, Now), Long, Quick, Now) == 11);
  // The objective still counts, so that the long call is served in the end.
  Quick.Objective += Millis(400);
  CHECK(firstOf(fullQueue(true, Now), Long, Quick, Now) == 10);
  // Priority goes before work.
  Quick.Objective = Now + Millis(500);
  Quick.Priority = 2;
  CHECK(firstOf(fullQueue(true, Now), Long, Quick, Now) == 10);
}

TEST_CASE("in a shortage, nested calls start before more important ones") {
  const MonoTime Now = monoNow();
  const QueuedCall Important = callOf(10, Now, 0, Millis(100));
  QueuedCall Nested = callOf(11, Now, 3, Millis(100));
  Nested.Nested = true;
  CHECK(firstOf(fullQueue(false, Now), Important, Nested, Now) == 10);
  CHECK(firstOf(fullQueue(true, Now), Important, Nested, Now) == 11);
}

TEST_CASE("marks of a kind that is seldom marked don't count") {
  NestedKinds Kinds;
  CHECK_FALSE(Kinds.isNested(1, true));
  for (int I = 0; I < 200; ++I) {
    Kinds.record(1, I % 5 == 0);
    Kinds.record(2, I % 10 != 0);
  }
  CHECK_FALSE(Kinds.isNested(1, true));
  CHECK(Kinds.isNested(2, true));
  CHECK_FALSE(Kinds.isNested(2, false));
  for (std::uint64_t Kind = 3; Kind < 5000; ++Kind)
    Kinds.record(Kind, true);
  CHECK(Kinds.isNested(3, true));
  CHECK_FALSE(Kinds.isNested(4999, true));
}

TEST_CASE("a nested call is not rejected for being late") {
  const MonoTime Now = monoNow();
  AdmissionQueue Queue = fullQueue(false, Now);
  QueuedCall Nested = callOf(10, Now, 1, Millis(100));
  Nested.Objective = Now + Millis(110);
  Nested.Deadline = Now + Millis(400);
  CHECK(Queue.whyRejected(Nested, Millis(5000), Now));
  Nested.Nested = true;
  CHECK_FALSE(Queue.whyRejected(Nested, Millis(5000), Now));
}

TEST_CASE("in a shortage, a starved kind starts before more important ones") {
  const MonoTime Now = monoNow();
  const QueuedCall Important = callOf(10, Now, 0, Millis(100));
  QueuedCall Starved = callOf(11, Now, 9, Millis(100));
  CHECK(firstOf(fullQueue(false, Now), Important, Starved, Now) == 10);
  CHECK(firstOf(fullQueue(true, Now), Important, Starved, Now) == 11);
  Starved.Kind = 8;
  CHECK(firstOf(fullQueue(true, Now), Important, Starved, Now) == 10);
}

} // namespace
} // namespace persimmonquay
