// Tests of the program as processes on loopback: the link of the upstream's
// host carries less than its answers.
#include "persimmonquay/traffic/link_schedule.h"
#include "testing/platform/paced_link.h"
#include "testing/platform/small_mesh.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <mutex>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

constexpr double LinkMbps = 17;
constexpr std::size_t DownloadBytes = 90000;
constexpr int DownloadCallers = 30;
constexpr int SlotCount = 40;
constexpr Millis LoadTime{5000};

} // namespace

// Answers were given to the kernel at once, where short ones waited behind more
// than a second of downloads.
TEST_CASE("small answers pass downloads on a thin link") {
  SmallMesh Mesh;
  TestNode &Caller = Mesh.add("orders");
  Mesh.setLinkMbps(LinkMbps);
  TestNode &Server = Mesh.add("gallery", "v1", "here", "127.0.0.2");
  const PacedLink Link(Server.Address, Server.LinkPort,
                       LinkMbps * BytesPerMegabit);
  Mesh.publish(5, "gallery", 2000, {"/packs/"});
  REQUIRE(Mesh.waitUntilReady());
  REQUIRE(Mesh.heartbeat(Server, "ready", SlotCount) == 200);
  const std::string Download(DownloadBytes, 'd');
  Server.Upstream->setHandler([&](const ReceivedRequest &Request) {
    std::this_thread::sleep_for(Millis(30));
    if (Request.Target.starts_with("/packs/"))
      return responseTo(Request, 200, Download);
    return responseTo(Request);
  });
  REQUIRE(eventually(WaitTimeout, [&] {
    return Mesh.call(Caller, {.RequestId = "warm"}).Status == 200;
  }));
  std::atomic<bool> Stopping = false;
  std::atomic<int> Calls = 0;
  std::atomic<int> Answered = 0;
  std::atomic<int> Refused = 0;
  std::atomic<int> Lost = 0;
  std::vector<std::thread> Callers;
  Callers.reserve(DownloadCallers);
  for (int I = 0; I < DownloadCallers; ++I)
    Callers.emplace_back([&] {
      while (!Stopping) {
        const CallResponse Response =
            Mesh.call(Caller, {.Target = "/packs/1",
                               .RequestId = absl::StrCat("d-", ++Calls),
                               .DeadlineMs = 2000});
        if (Response.Status == 200 && Response.Body == Download)
          ++Answered;
        else if (Response.Status == 503 &&
                 Response.Headers.contains("retry-after"))
          ++Refused;
        else
          ++Lost;
        if (Response.Status == 503)
          std::this_thread::sleep_for(Millis(100));
      }
    });
  Millis Longest{0};
  int SmallCalls = 0;
  int SmallAnswered = 0;
  const MonoTime End = monoNow() + LoadTime;
  while (monoNow() < End) {
    const MonoTime Start = monoNow();
    SmallAnswered +=
        Mesh.call(Caller, {.RequestId = absl::StrCat("s-", ++SmallCalls)})
            .Status == 200;
    Longest = std::max(Longest,
                       std::chrono::duration_cast<Millis>(monoNow() - Start));
    std::this_thread::sleep_for(Millis(20));
  }
  Stopping = true;
  for (std::thread &Thread : Callers)
    Thread.join();
  MESSAGE("small " << SmallAnswered << " of " << SmallCalls << ", longest "
                   << Longest.count() << " ms; downloads answered "
                   << Answered.load() << ", refused " << Refused.load()
                   << ", lost " << Lost.load());
  CHECK(SmallAnswered == SmallCalls);
  CHECK(Longest < Millis(500));
  // Downloads that were started were delivered, the others refused with the
  // time when there is room, and the link was used.
  CHECK(Lost.load() == 0);
  CHECK(Answered * DownloadBytes >
        0.6 * LinkMbps * BytesPerMegabit * LoadTime.count() / 1000);
}

// The caller got 504 in place of an answer that was on its way.
TEST_CASE("an answer that is arriving at the deadline is delivered") {
  constexpr double SlowLinkMbps = 1;
  SmallMesh Mesh;
  TestNode &Caller = Mesh.add("orders");
  Mesh.setLinkMbps(SlowLinkMbps);
  TestNode &Server = Mesh.add("gallery", "v1", "here", "127.0.0.2");
  const PacedLink Link(Server.Address, Server.LinkPort,
                       SlowLinkMbps * BytesPerMegabit);
  Mesh.publish(5, "gallery", 400, {"/packs/"});
  REQUIRE(Mesh.waitUntilReady());
  const std::string Download(DownloadBytes, 'd');
  Server.Upstream->setHandler([&](const ReceivedRequest &Request) {
    return responseTo(Request, 200, Download);
  });
  const MonoTime Start = monoNow();
  const CallResponse Response =
      Mesh.call(Caller, {.Target = "/packs/1", .DeadlineMs = 5000});
  CHECK(Response.Status == 200);
  CHECK((Response.Body == Download));
  // 90 kB at 1 Mbit/s.
  CHECK(monoNow() - Start > Millis(500));
}

} // namespace persimmonquay::testing
