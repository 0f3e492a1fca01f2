#include "persimmonquay/traffic/cold_returns.h"
#include <doctest/doctest.h>

namespace persimmonquay {
namespace {

TEST_CASE("each opening of a cold upstream is told to one caller") {
  const MonoTime Start{std::chrono::hours(1)};
  const std::vector<ClosedUpstream> Closed = {
      {Start + Millis(200), Start + Millis(3000)},
      {Start + Millis(500), Start + Millis(3000)}};
  ColdReturns Returns;
  CHECK(Returns.schedule(Closed, 0.0, Start) == Millis(200));
  CHECK(Returns.schedule(Closed, 0.99, Start) == Millis(500));
  // No room is left until the upstreams are warm, also for a caller that
  // returns after three quarters of the time it is told.
  for (int I = 0; I < 5; ++I)
    CHECK(Returns.schedule(Closed, 0.0, Start) * 0.751 > Millis(3000));
  // The first opening has passed; the caller that returned has used it.
  const MonoTime Later = Start + Millis(250);
  CHECK(Returns.schedule({{Later + Millis(300), Start + Millis(3000)},
                          {Start + Millis(500), Start + Millis(3000)}},
                         0.0, Later) == Millis(300));
  CHECK(Returns.schedule(Closed, 0.99, Later) > Millis(2750));
}

} // namespace
} // namespace persimmonquay
