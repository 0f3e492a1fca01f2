// Replays load on a link that carries less than the answers of its host.
#include "persimmonquay/traffic/call_placement.h"
#include "persimmonquay/traffic/link_admission.h"
#include "persimmonquay/traffic/link_schedule.h"
#include "persimmonquay/traffic/upstream_ranking.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <queue>
#include <random>

namespace persimmonquay {
namespace {

constexpr double LinkRate = 17e6 / 8;
constexpr std::size_t DownloadBytes = 90000;
constexpr std::size_t RefundBytes = 12000;
constexpr Millis WorkTime(110);
const MonoTime Start{std::chrono::hours(1)};

bool always(std::uint64_t /*Connection*/) { return true; }

/// What became of the answers of one route.
struct Tally {
  int Offered = 0;
  int Started = 0;
  int Ended = 0;
  int OnTime = 0;
  int InTime = 0;
  Micros Longest{0};
};

/// Plays 20 s of refunds, 20 a second with priority 0, and of downloads with
/// priority 1, `Overload` times as many as the link carries. The kernel sends
/// what it has in the order in which it got it.
std::map<std::string, Tally> play(double Overload, unsigned Seed) {
  struct Transfer {
    std::string Route;
    MonoTime Arrival, Ready, Objective, Deadline;
    std::uint32_t Priority;
    std::size_t Bytes;
  };
  std::mt19937 Random(Seed);
  LinkSchedule Schedule(LinkRate);
  LinkAdmission Admission(Schedule, 20U << 20U);
  std::map<std::string, Tally> Result;
  std::map<std::uint64_t, Transfer> Calls;
  MonoTime KernelDone = Start;
  std::uint64_t NextId = 0;
  const auto Arrives = [&](double PerSecond) {
    return std::uniform_real_distribution<>(0, 1)(Random) < PerSecond / 1000;
  };
  const auto Offer = [&](const Transfer &Call, MonoTime Now) {
    Tally &Count = Result[Call.Route];
    ++Count.Offered;
    const LinkCall Asked{Call.Route, Call.Priority, Call.Objective,
                         Call.Deadline};
    if (Admission.whyRejected(Asked, Micros::max(), Now))
      return;
    ++Count.Started;
    Admission.add(++NextId, Asked);
    Calls[NextId] = Call;
  };
  for (MonoTime Now = Start; Now < Start + Millis(20000); Now += Millis(1)) {
    const MonoTime Ready = Now + WorkTime + Millis(Random() % 40);
    if (Arrives(20))
      Offer({"refund", Now, Ready, Now + Millis(400), Now + Millis(800), 0,
             RefundBytes},
            Now);
    if (Arrives(Overload * LinkRate / DownloadBytes))
      Offer({"download", Now, Ready, Now + Millis(1200), Now + Millis(2000), 1,
             DownloadBytes},
            Now);
    for (auto &[Id, Call] : Calls)
      if (Call.Ready >= Now && Call.Ready < Now + Millis(1)) {
        Admission.recordAnswer(Call.Route, Call.Bytes, WorkTime);
        Admission.remove(Id);
        Schedule.add({Id, Id % 7, Call.Bytes, Call.Priority, Call.Deadline});
      }
    while (const auto Piece = Schedule.takeNext(always, Now)) {
      KernelDone =
          std::max(KernelDone, Now) +
          std::chrono::duration_cast<Micros>(std::chrono::duration<double>(
              static_cast<double>(Piece->Bytes) / LinkRate));
      CHECK(KernelDone - Now < Millis(30));
      if (!Piece->IsLast)
        continue;
      const Transfer &Call = Calls.at(Piece->Id);
      Tally &Count = Result[Call.Route];
      ++Count.Ended;
      Count.OnTime += KernelDone <= Call.Objective;
      Count.InTime += KernelDone <= Call.Deadline;
      Count.Longest =
          std::max(Count.Longest,
                   std::chrono::duration_cast<Micros>(KernelDone - Call.Ready));
      Calls.erase(Piece->Id);
    }
  }
  return Result;
}

} // namespace

TEST_CASE("refunds beside more downloads than the link carries are in time") {
  for (const double Overload : {0.5, 1.0, 2.0, 4.0}) {
    for (unsigned Seed = 1; Seed <= 20; ++Seed) {
      CAPTURE(Overload);
      CAPTURE(Seed);
      std::map<std::string, Tally> Result = play(Overload, Seed);
      const Tally &Refunds = Result["refund"];
      CHECK(Refunds.Started == Refunds.Offered);
      CHECK(Refunds.Ended >= Refunds.Started - 12);
      CHECK(Refunds.OnTime == Refunds.Ended);
      CHECK(Refunds.Longest < Millis(80));
      const Tally &Downloads = Result["download"];
      // Until the first answers, their size is not known.
      CHECK(Downloads.InTime >= Downloads.Ended - Downloads.Ended / 50);
      CHECK(Downloads.OnTime >= Downloads.Ended * 9 / 10);
      // What remains of the link beside the refunds is used.
      const double Room = 20 * (0.95 * LinkRate - 20.0 * RefundBytes) /
                          static_cast<double>(DownloadBytes);
      CHECK(Downloads.Ended >=
            0.9 * std::min<double>(Downloads.Offered, Room) - 12);
    }
  }
}

TEST_CASE("a transfer passes one that has been sent in part") {
  LinkSchedule Schedule(LinkRate);
  Schedule.add({1, 1, DownloadBytes, 1, Start + Millis(500)});
  MonoTime Now = Start;
  while (Schedule.takeNext(always, Now)) {
  }
  CHECK(Schedule.waitingBytes() > DownloadBytes / 3);
  CHECK_FALSE(Schedule.takesWhole(1, Now));
  Schedule.add({2, 1, 5000, 0, Start + Millis(2000)});
  Schedule.add({3, 2, 5000, 1, Start + Millis(400)});
  std::vector<std::uint64_t> Order;
  while (Schedule.waitingBytes() > 0) {
    Now = std::max(Now + Millis(1), *Schedule.nextSendTime(Now));
    while (const auto Piece = Schedule.takeNext(always, Now))
      Order.push_back(Piece->Id);
  }
  REQUIRE(Order.size() > 3);
  CHECK(Order[0] == 2);
  CHECK(Order[1] == 3);
  CHECK(Order.back() == 1);
  CHECK_FALSE(Schedule.nextSendTime(Now));
}

TEST_CASE("a connection that takes nothing holds up no other one") {
  LinkSchedule Schedule(LinkRate);
  Schedule.add({1, 1, DownloadBytes, 0, Start + Millis(500)});
  Schedule.add({2, 2, 5000, 1, Start + Millis(500)});
  const auto Piece = Schedule.takeNext(
      [](std::uint64_t Connection) { return Connection != 1; }, Start);
  REQUIRE(Piece);
  CHECK(Piece->Id == 2);
  CHECK(Piece->IsLast);
  CHECK(Schedule.waitingBytes(1) == DownloadBytes);
  CHECK(Schedule.waitingBytes(2) == 0);
}

TEST_CASE("a transfer past its deadline waits for others and then expires") {
  LinkSchedule Schedule(LinkRate);
  Schedule.add({1, 1, 5000, 0, Start + Millis(10)});
  Schedule.add({2, 1, 5000, 3, Start + Millis(500)});
  const MonoTime Now = Start + Millis(20);
  CHECK(Schedule.takeNext(always, Now)->Id == 2);
  CHECK(Schedule.expire(Now).empty());
  CHECK(Schedule.expire(Start + Millis(60000)) ==
        std::vector<std::uint64_t>{1});
  CHECK(Schedule.waitingBytes() == 0);
  CHECK_FALSE(Schedule.remove(1));
}

TEST_CASE("without a known bandwidth nothing waits") {
  LinkSchedule Schedule(0);
  LinkAdmission Admission(Schedule, 1000);
  Schedule.recordSent(1U << 30U, Start);
  CHECK(Schedule.takesWhole(1U << 30U, Start));
  CHECK(Schedule.backlog(Start) == Micros{0});
  Admission.recordAnswer("r", 1U << 30U, Millis(10));
  CHECK_FALSE(Admission.whyRejected({"r", 0, Start, Start}, Micros{0}, Start));
}

TEST_CASE("a wide link is no reason to reject a call") {
  LinkSchedule Schedule(1000 * BytesPerMegabit);
  LinkAdmission Admission(Schedule, 1U << 20U);
  Admission.recordAnswer("r", DownloadBytes, WorkTime);
  const LinkCall Call{"r", 9, Start + Millis(50), Start + Millis(100)};
  for (std::uint64_t Id = 1; Id <= 100; ++Id) {
    CHECK_FALSE(Admission.whyRejected(Call, Micros{0}, Start));
    Admission.add(Id, Call);
  }
}

TEST_CASE("answers of lower priority are no reason to reject a call") {
  LinkSchedule Schedule(LinkRate);
  LinkAdmission Admission(Schedule, 20U << 20U);
  Admission.recordAnswer("r", DownloadBytes, WorkTime);
  Admission.recordAnswer("small", 500, WorkTime);
  LinkCall Call{"r", 1, Start + Millis(1200), Start + Millis(2000)};
  std::uint64_t Id = 0;
  while (Id < 100 && !Admission.whyRejected(Call, Micros::max(), Start))
    Admission.add(++Id, Call);
  // Half of the time to the objective, in downloads of 44 ms.
  CHECK(Id > 8);
  CHECK(Id < 20);
  const auto Rejection = Admission.whyRejected(Call, Micros::max(), Start);
  CHECK(Rejection->RetryAfter >= Millis(20));
  CHECK(Rejection->RetryAfter <= Admission.backlog(Start));
  Call.Priority = 0;
  CHECK_FALSE(Admission.whyRejected(Call, Micros{0}, Start));
  Call.Route = "small";
  Call.Priority = 9;
  CHECK_FALSE(Admission.whyRejected(Call, Micros{0}, Start));
  // Others are tried before a call waits, if its caller wants that.
  Call.Route = "r";
  Call.Priority = 1;
  Admission.remove(1);
  Admission.remove(2);
  CHECK_FALSE(Admission.whyRejected(Call, Micros::max(), Start));
  CHECK(Admission.whyRejected(Call, Millis(27), Start)->Reason == "busy");
}

TEST_CASE("a late call uses the link only while no other call needs it") {
  LinkSchedule Schedule(LinkRate);
  LinkAdmission Admission(Schedule, 20U << 20U);
  Admission.recordAnswer("r", DownloadBytes, WorkTime);
  const LinkCall Late{"r", 1, Start - Millis(100), Start + Millis(700)};
  CHECK_FALSE(Admission.whyRejected(Late, Micros::max(), Start));
  const LinkCall OnTime{"r", 1, Start + Millis(600), Start + Millis(700)};
  for (std::uint64_t Id = 1; Id <= 5; ++Id)
    Admission.add(Id, OnTime);
  CHECK(Admission.whyRejected(Late, Micros::max(), Start));
  CHECK_FALSE(Admission.whyRejected(OnTime, Micros::max(), Start));
  const LinkCall Hopeless{"r", 1, Start, Start + Millis(130)};
  CHECK(Admission.whyRejected(Hopeless, Micros::max(), Start)->Reason ==
        "the answer could not leave before the deadline");
}

TEST_CASE("large answers go where the link has room, small ones don't care") {
  UpstreamView Thin(true, 9);
  UpstreamView Wide(true, 9);
  UpstreamView OwnHost(true, 9);
  Thin.setLinkRate(LinkRate);
  Wide.setLinkRate(200 * BytesPerMegabit);
  for (UpstreamView *View : {&Thin, &Wide, &OwnHost})
    for (int Call = 0; Call < 30; ++Call)
      View->recordResult(false, WorkTime, Start);
  const LinkNeed Large{DownloadBytes, WorkTime};
  const LinkNeed Small{500, WorkTime};
  const auto Best = [&](const LinkNeed &Need, MonoTime Now) {
    return rankUpstreams({&Thin, &Wide, &OwnHost}, {0, 0, 0}, Now, Need)[0]
        .Index;
  };
  CHECK(Best(Large, Start) == 2);
  CHECK(Best(Small, Start) == 0);
  // The link of a host that has the answer to no other call yet.
  CHECK(Thin.linkDelay(Large, Start) > Millis(40));
  CHECK(Thin.linkDelay(Large, Start) < Millis(45));
  CHECK(Wide.linkDelay(Large, Start) < Millis(5));
  CHECK(OwnHost.linkDelay(Large, Start) == Micros{0});
  Wide.recordLinkBacklog(Millis(300), Start);
  OwnHost.recordLinkBacklog(Millis(300), Start);
  CHECK(Wide.linkDelay(Large, Start) > Millis(190));
  CHECK(Wide.linkDelay(Large, Start + Millis(100)) < Millis(100));
  CHECK(Wide.linkDelay(Small, Start) == Micros{0});
  CHECK(OwnHost.linkDelay(Large, Start) == Micros{0});
}

TEST_CASE("a download is offered to the host whose link has room") {
  const std::string Here = "here";
  const std::string Names[] = {"a", "b"};
  UpstreamView Views[] = {{true, 9}, {true, 9}};
  for (UpstreamView &View : Views)
    View.setLinkRate(LinkRate);
  Views[0].recordLinkBacklog(Millis(600), Start);
  const std::vector<PlacementTarget> Targets = {{Names[0], Here, Views[0]},
                                                {Names[1], Here, Views[1]}};
  PlacementGoal Goal;
  Goal.Objective = Start + Millis(1200);
  Goal.Deadline = Start + Millis(2000);
  Goal.MeanProcessingTime = WorkTime;
  Goal.AnswerBytes = DownloadBytes;
  for (int I = 0; I < 20; ++I) {
    CallPlacement Placement;
    const auto Offer = Placement.nextOffer(
        Goal, Targets, [](const std::string &) { return false; },
        [I] { return I / 20.0; }, Start);
    REQUIRE(Offer);
    CHECK(Offer->Index == 1);
  }
}

} // namespace persimmonquay
