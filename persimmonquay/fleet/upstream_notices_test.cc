#include "persimmonquay/fleet/upstream_notices.h"
#include <doctest/doctest.h>
#include <string>

namespace persimmonquay {
namespace {

std::uint64_t upstream(const std::string &Instance,
                       std::uint64_t StartedUnixMs) {
  proto::UpstreamEntry Result;
  Result.set_instance(Instance);
  Result.set_started_unix_ms(StartedUnixMs);
  return incarnationId(Result);
}

TEST_CASE("a limit belongs to one incarnation and ends when it is lifted") {
  const MonoTime Now{std::chrono::hours(1)};
  UpstreamNotices Notices;
  Notices.recordLimit(upstream("i-1", 10), 8.7, Now);
  CHECK(Notices.limit(upstream("i-1", 10), Now) == doctest::Approx(8.7));
  CHECK(Notices.limit(upstream("i-1", 11), Now) == 0);
  CHECK(Notices.limit(upstream("i-2", 10), Now) == 0);
  CHECK(Notices.limit(upstream("i-1", 10), Now + std::chrono::hours(1)) == 0);
  Notices.recordLimit(upstream("i-1", 10), 0, Now);
  CHECK(Notices.limit(upstream("i-1", 10), Now) == 0);
  CHECK(Notices.size() == 0);
}

TEST_CASE("an upstream that leaves stays so whatever limit it names") {
  const MonoTime Now{std::chrono::hours(1)};
  UpstreamNotices Notices;
  CHECK(!Notices.isLeaving(upstream("i-1", 10), Now));
  Notices.recordLeaving(upstream("i-1", 10), Now);
  Notices.recordLimit(upstream("i-1", 10), 3, Now);
  Notices.recordLimit(upstream("i-1", 10), 0, Now);
  CHECK(Notices.isLeaving(upstream("i-1", 10), Now));
  CHECK(!Notices.isLeaving(upstream("i-1", 11), Now));
}

TEST_CASE("notices of many upstreams are bounded, the newest stay") {
  UpstreamNotices Notices;
  MonoTime Now{std::chrono::hours(1)};
  for (std::uint64_t I = 0; I < 11000; ++I) {
    Now += Millis(1);
    Notices.recordLimit(upstream("i", I), 5, Now);
  }
  CHECK(Notices.size() <= 1024);
  CHECK(Notices.limit(upstream("i", 10999), Now) == 5);
}

} // namespace
} // namespace persimmonquay
