// Tests of the program as processes on loopback: an upstream that sends bytes
// without end until its connection is closed.
#include "testing/platform/small_mesh.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// Memory of the smallest hosts, what a node may use of it, and what it may
/// keep of large responses after they have ended.
constexpr double HostMegabytes = 88;
constexpr double MaxNodeMegabytes = 64;
constexpr double MaxKeptMegabytes = HostMegabytes / 8;

/// Number of calls that run at the upstream at the same time.
constexpr int SlotCount = 60;

double megabytes(const TestNode &Node) {
  return Node.Sidecar->residentBytes() / 1048576;
}

/// Returns the result of a handler that sends `Start` and then `Repeated`
/// without end.
std::string withoutEnd(const std::string &Start, const std::string &Repeated) {
  std::string Result(1, RepeatWithoutEnd);
  Result += Start;
  Result.push_back('\0');
  return Result + Repeated;
}

} // namespace

// What the node beside the upstream kept of the responses was bounded for each
// call only, so that it grew with the number of calls, and the node kept the
// memory after they had ended.
TEST_CASE("responses without end leave room for other calls") {
  SmallMesh Mesh;
  Mesh.setMemory(HostMegabytes);
  TestNode &Caller = Mesh.add("orders");
  TestNode &Faulty = Mesh.add("gallery");
  Mesh.publish(5, "gallery", 4000);
  REQUIRE(Mesh.waitUntilReady());
  REQUIRE(Mesh.heartbeat(Faulty, "ready", SlotCount) == 200);
  REQUIRE(eventually(WaitTimeout, [&] {
    return Mesh.call(Caller, {.RequestId = "warm"}).Status == 200;
  }));
  const std::string Head =
      "HTTP/1.1 200 OK\r\nX-Persimmonquay-Response-Signature: proof\r\n";
  std::string Response;
  SUBCASE("in the head") {
    Response = withoutEnd(Head, "a: " + std::string(1000, 'x') + "\r\n");
  }
  SUBCASE("in the body") {
    Response = withoutEnd(Head + "\r\n", std::string(10000, 'x'));
  }
  SUBCASE("in the chunks of the body") {
    Response = withoutEnd(Head + "Transfer-Encoding: chunked\r\n\r\n",
                          "3e8\r\n" + std::string(1000, 'x') + "\r\n");
  }
  SUBCASE("without a protocol") {
    Response = withoutEnd("", std::string(10000, '\1'));
  }
  Faulty.Upstream->setHandler([&Response](const ReceivedRequest &Request) {
    return Request.Target == "/views/sound" ? responseTo(Request) : Response;
  });
  const double Before = megabytes(Faulty);
  std::atomic<bool> Stopping = false;
  std::atomic<int> Calls = 0;
  std::vector<std::thread> Callers;
  Callers.reserve(SlotCount);
  for (int I = 0; I < SlotCount; ++I)
    Callers.emplace_back([&] {
      while (!Stopping)
        CHECK(Mesh.call(Caller, {.Method = "POST",
                                 .Target = "/orders/1",
                                 .RequestId = absl::StrCat("e-", ++Calls),
                                 .DeadlineMs = 3000})
                  .Status >= 500);
    });
  double Peak = 0;
  int Answered = 0;
  const MonoTime End = monoNow() + Millis(6000);
  while (monoNow() < End) {
    Peak = std::max({Peak, megabytes(Caller), megabytes(Faulty)});
    Answered += Mesh.call(Faulty, {.Target = "/views/sound",
                                   .RequestId = "sound",
                                   .DeadlineMs = 3000})
                    .Status == 200;
  }
  Stopping = true;
  for (std::thread &Thread : Callers)
    Thread.join();
  CHECK(Calls > SlotCount);
  CHECK(Answered > 0);
  CHECK(Peak < MaxNodeMegabytes);
  CHECK(eventually(Millis(5000), [&] {
    return megabytes(Faulty) - Before < MaxKeptMegabytes;
  }));
  CHECK_FALSE(Caller.Sidecar->wait(Millis(0)));
  CHECK_FALSE(Faulty.Sidecar->wait(Millis(0)));
}

} // namespace persimmonquay::testing
