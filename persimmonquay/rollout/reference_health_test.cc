#include "persimmonquay/rollout/failure_history.h"
#include "persimmonquay/rollout/reference_health.h"
#include <doctest/doctest.h>

namespace persimmonquay {
namespace {

/// Returns `Count` spans in which the old version has `Calls` calls each, of
/// which `Errors` fail.
std::vector<SpanCounts> spansOf(std::size_t Count, double Calls,
                                double Errors) {
  SpanCounts Span;
  Span.Old.Calls = Calls;
  Span.Old.Errors = Errors;
  return std::vector<SpanCounts>(Count, Span);
}

VersionCounts countsOf(double Calls, double Errors) {
  VersionCounts Result;
  Result.Calls = Calls;
  Result.Errors = Errors;
  return Result;
}

/// Records `Calls` calls, of which each `FailureInterval`th fails.
void record(FailureHistory &History, int Calls, int FailureInterval) {
  for (int I = 1; I <= Calls; ++I)
    History.record(FailureInterval > 0 && I % FailureInterval == 0);
}

} // namespace

TEST_CASE("trouble of the other versions is noticed and over within spans") {
  std::vector<SpanCounts> Spans = spansOf(8, 30, 0);
  const VersionCounts Before = countsOf(1000, 10);
  CHECK(ReferenceHealth(Spans, Before).isShownSound(4));
  const std::vector<SpanCounts> Troubled = spansOf(4, 30, 15);
  Spans.insert(Spans.end(), Troubled.begin(), Troubled.end());
  CHECK(ReferenceHealth(Spans, Before).isInTrouble());
  CHECK_FALSE(ReferenceHealth(Spans, Before).isShownSound(4));
  CHECK(ReferenceHealth(Spans, Before).usualErrorRate() == 0);
  const std::vector<SpanCounts> Sound = spansOf(6, 30, 0);
  Spans.insert(Spans.end(), Sound.begin(), Sound.end());
  const ReferenceHealth After(Spans, Before);
  CHECK_FALSE(After.isInTrouble());
  CHECK(After.isShownSound(4));
  // The window of the first sound span still holds failures.
  CHECK(After.soundSpans().size() == Spans.size() - 5);
}

TEST_CASE("versions that usually fail are not in trouble") {
  const std::vector<SpanCounts> Spans = spansOf(20, 30, 9);
  const ReferenceHealth Others(Spans, countsOf(1000, 300));
  CHECK(*Others.usualErrorRate() == doctest::Approx(0.3));
  CHECK_FALSE(Others.isInTrouble());
  // Without calls before the order, the best time since then counts.
  CHECK(*ReferenceHealth(Spans, VersionCounts()).usualErrorRate() ==
        doctest::Approx(0.3));
}

TEST_CASE("versions that have hardly any calls are neither in trouble nor "
          "shown to be sound") {
  const ReferenceHealth Others(spansOf(6, 1, 1), VersionCounts());
  CHECK_FALSE(Others.isInTrouble());
  CHECK_FALSE(Others.isShownSound(4));
  CHECK(Others.soundSpans().size() == 6);
  CHECK_FALSE(Others.usualErrorRate());
}

// Trouble of some seconds before the order, or an hour ago, was taken for
// usual, so that it excused the failures of a new version.
TEST_CASE("trouble before the order doesn't raise the usual failure rate") {
  FailureHistory History;
  CHECK(History.usual().Calls == 0);
  record(History, 600, 0);
  record(History, 400, 2);
  CHECK(History.usual().Calls == 1000);
  CHECK(History.usual().Failures == 0);
  FailureHistory Failing;
  record(Failing, 3000, 5);
  CHECK(Failing.usual().Failures * 5 == Failing.usual().Calls);
}

} // namespace persimmonquay
