#include "persimmonquay/traffic/host_speed.h"

#include "persimmonquay/traffic/upstream_load.h"
#include "persimmonquay/traffic/upstream_ranking.h"
#include <doctest/doctest.h>
#include <string>

namespace persimmonquay {
namespace {

TEST_CASE("the load of an upstream is read, and nothing else is") {
  const auto Load = parseUpstreamLoad("3, 1,4,250");
  REQUIRE(Load);
  CHECK(Load->Running == 3);
  CHECK(Load->Waiting == 1);
  CHECK(Load->Slots == 4);
  CHECK(Load->WorkPercent == 250);
  REQUIRE(parseUpstreamLoad("3,1,4"));
  CHECK(parseUpstreamLoad("3,1,4")->WorkPercent == 0);
  REQUIRE(parseUpstreamLoad("3,1,4,250,7"));
  CHECK(parseUpstreamLoad("3,1,4,250,7")->WorkPercent == 250);
  for (const std::string Text :
       {"", "3", "3,1", "3,1,4,", "3,1,4,x", "3,1,4,-5", "3,1,4,2.5", ",,,",
        "3,1,4,99999999999999"})
    CHECK_FALSE(parseUpstreamLoad(Text));
  CHECK_FALSE(parseUpstreamLoad("1,1,1," + std::string(1000, '1')));
}

TEST_CASE("without reports, work takes as long as usual") {
  HostSpeed Speed;
  const MonoTime Now = monoNow();
  Speed.record(0, Now);
  CHECK(Speed.factor(Now) == 1);
  CHECK(Speed.percent(Now) == 0);
  CHECK(Speed.scale(Millis(100), Now) == Millis(100));
  CHECK(Speed.extraTime(Millis(100), Now) == Micros{0});
}

TEST_CASE("a report counts at once and loses its weight in a second") {
  HostSpeed Speed;
  MonoTime Now = monoNow();
  for (int I = 0; I < 200; ++I)
    Speed.record(100, Now += Millis(50));
  Speed.record(250, Now);
  CHECK(Speed.factor(Now) == doctest::Approx(2.5));
  CHECK(Speed.scale(Millis(100), Now) == Millis(250));
  CHECK(Speed.atUsualSpeed(Millis(250), Now) == Millis(100));
  CHECK(Speed.extraTime(Millis(100), Now) == Millis(150));
  CHECK(Speed.factor(Now + Millis(250)) == doctest::Approx(1.75));
  CHECK(Speed.factor(Now + Millis(1000)) < 1.1);
}

TEST_CASE("a host that stays slow has no extra time") {
  HostSpeed Speed;
  MonoTime Now = monoNow();
  Speed.record(100, Now);
  for (int I = 0; I < 1000; ++I)
    Speed.record(250, Now += Millis(50));
  CHECK(Speed.factor(Now) == doctest::Approx(2.5));
  CHECK(Speed.extraTime(Millis(100), Now) < Millis(3));
}

TEST_CASE("a first report doesn't count as usual") {
  HostSpeed Speed;
  const MonoTime Now = monoNow();
  Speed.record(250, Now);
  CHECK(Speed.factor(Now) == doctest::Approx(2.5));
  CHECK(Speed.extraTime(Millis(100), Now) == Millis(150));
  CHECK(Speed.factor(Now + Millis(2000)) < 1.1);
}

TEST_CASE("a report is bounded") {
  HostSpeed Speed;
  const MonoTime Now = monoNow();
  Speed.record(UINT32_MAX, Now);
  CHECK(Speed.factor(Now) == 10);
  Speed.record(1, Now);
  CHECK(Speed.factor(Now) == 0.25);
}

TEST_CASE("an upstream whose host is slow at the moment ranks behind others") {
  MonoTime Now = monoNow();
  UpstreamView Left(true, 4);
  UpstreamView Right(true, 4);
  for (int I = 0; I < 20; ++I)
    for (UpstreamView *View : {&Left, &Right}) {
      View->recordLoad(1, 0, 4, Micros{0}, Now += Millis(10), 100);
      View->recordResult(false, Millis(60), Now, Millis(60));
    }
  Left.recordLoad(1, 0, 4, Micros{0}, Now, 250);
  // The report also explains why a call took long.
  Left.recordResult(false, Millis(150), Now, Millis(60));
  const auto BestAt = [&](MonoTime Time) {
    return rankUpstreams({&Left, &Right}, {0, 1}, Time).front().Index;
  };
  CHECK(BestAt(Now) == 1);
  CHECK(BestAt(Now + Millis(1500)) == 0);
}

} // namespace
} // namespace persimmonquay
