// Tests of the bound on the responses that are being received.
#include "persimmonquay/traffic/response_memory.h"
#include <doctest/doctest.h>

namespace persimmonquay {
namespace {

TEST_CASE("the largest response is given up once all together take too much") {
  ResponseMemory Memory(100);
  CHECK_FALSE(Memory.update(1, 40));
  CHECK_FALSE(Memory.update(2, 50));
  CHECK_FALSE(Memory.update(1, 45));
  CHECK(Memory.update(3, 10) == 2);
  CHECK(Memory.bytes() == 55);
  CHECK_FALSE(Memory.update(3, 30));
  CHECK(Memory.update(3, 80) == 3);
  Memory.remove(1);
  Memory.remove(1);
  CHECK(Memory.bytes() == 0);
}

// All calls of an upstream with many slots get bytes without end.
TEST_CASE("responses without end stay within the bound, a small one ends") {
  ResponseMemory Memory(1000000);
  constexpr std::uint64_t SmallCall = 1000;
  CHECK_FALSE(Memory.update(SmallCall, 1000));
  int GivenUp = 0;
  for (std::size_t Size = 8192; Size < 400000; Size += 8192) {
    for (std::uint64_t Call = 0; Call < 60; ++Call) {
      const std::optional<std::uint64_t> Largest = Memory.update(Call, Size);
      GivenUp += Largest.has_value();
      CHECK(Largest != SmallCall);
      CHECK(Memory.bytes() <= 1000000);
    }
  }
  CHECK(GivenUp > 0);
}

} // namespace
} // namespace persimmonquay
