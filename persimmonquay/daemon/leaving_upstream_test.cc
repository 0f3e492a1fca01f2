// Tests of the gate beside an upstream that leaves: whatever way its departure
// becomes known, no call is sent to it afterwards that has been admitted
// before.
#include "persimmonquay/daemon/gate_fixture.h"
#include "persimmonquay/traffic/request_fingerprint.h"
#include <doctest/doctest.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace persimmonquay {
namespace {

/// Time after which a call on a pooled connection may be sent again.
constexpr Millis IdleTime{150};

/// A way in which the gate learns of a departure.
struct Departure {
  std::string Name;
  std::function<void(GateFixture &)> Announce;
};

proto::UpstreamEntry entryOf(const std::string &Instance) {
  proto::UpstreamEntry Result;
  Result.set_service("gallery");
  Result.set_instance(Instance);
  Result.set_slots(4);
  return Result;
}

void drain(GateFixture &Fixture) {
  proto::UpstreamEntry Entry = entryOf("i-1");
  Entry.set_draining(true);
  Fixture.Gate.setUpstream(Entry);
}

std::vector<Departure> departures() {
  return {
      {"it drains", drain},
      {"it is gone",
       [](GateFixture &Fixture) { Fixture.Gate.setUpstream(std::nullopt); }},
      {"another one has taken its place",
       [](GateFixture &Fixture) { Fixture.Gate.setUpstream(entryOf("i-2")); }}};
}

/// Returns what also forbids to send a call again.
std::vector<Departure> departuresAndEvacuation() {
  std::vector<Departure> Result = departures();
  Result.push_back({"its data centre is evacuated", [](GateFixture &Fixture) {
                      Fixture.Gate.setEvacuated(true);
                    }});
  return Result;
}

/// Sends a call on a connection that has been idle, and waits until the
/// upstream has it. The upstream doesn't respond.
void startUnanswered(GateFixture &Fixture, const std::string &Id) {
  Fixture.call("warm");
  Fixture.runFor(IdleTime);
  Fixture.Scripts[Id] = {};
  Fixture.submit(Id);
  Fixture.runUntil([&] { return Fixture.receivedCount(Id) == 1; });
}

const proto::CallReply &awaitReply(GateFixture &Fixture,
                                   const std::string &Id) {
  Fixture.runUntil([&] { return Fixture.Replies.contains(Id); });
  return Fixture.Replies[Id];
}

void checkNotSent(GateFixture &Fixture, const std::string &Id) {
  const proto::CallReply &Reply = awaitReply(Fixture, Id);
  CHECK(Reply.outcome() == proto::NOT_RUN);
  CHECK_FALSE(Reply.arrived());
  CHECK_FALSE(Reply.reason().empty());
  CHECK(Fixture.receivedCount(Id) == 0);
}

} // namespace

// The first attempt may have run, so that the call's caller must not be told
// otherwise.
TEST_CASE("a call whose answer is lost is not sent again to an upstream that "
          "leaves") {
  for (const Departure &Known : departuresAndEvacuation()) {
    CAPTURE(Known.Name);
    GateFixture Fixture;
    startUnanswered(Fixture, "a");
    Known.Announce(Fixture);
    Fixture.closeConnections();
    const proto::CallReply &Reply = awaitReply(Fixture, "a");
    CHECK(Reply.outcome() == proto::UNKNOWN);
    CHECK(Reply.arrived());
    CHECK(Reply.resent() == 0);
    CHECK(Fixture.receivedCount("a") == 1);
  }
}

TEST_CASE("a call whose answer is lost is sent again to an upstream that "
          "stays") {
  GateFixture Fixture;
  startUnanswered(Fixture, "a");
  Fixture.Scripts.erase("a");
  Fixture.closeConnections();
  const proto::CallReply &Reply = awaitReply(Fixture, "a");
  CHECK(Reply.outcome() == proto::ANSWERED);
  CHECK(Reply.resent() == 1);
  CHECK(Fixture.receivedCount("a") == 2);
}

TEST_CASE("a departure while the connection for another attempt is opened "
          "stops it") {
  constexpr int MaxHandlers = 6;
  int DeparturesBeforeResend = 0;
  for (const Departure &Known : departuresAndEvacuation())
    for (int Handlers = 0; Handlers <= MaxHandlers; ++Handlers) {
      CAPTURE(Known.Name);
      CAPTURE(Handlers);
      GateFixture Fixture;
      startUnanswered(Fixture, "a");
      Fixture.closeConnections();
      Fixture.runHandlers(Handlers);
      const bool IsResent =
          Fixture.Counters.text().find(
              "pq_gate_calls_total{action=\"resent\"} 1") != std::string::npos;
      DeparturesBeforeResend += !IsResent;
      Known.Announce(Fixture);
      Fixture.runFor(Millis(20));
      CHECK(Fixture.receivedCount("a") == (IsResent ? 2 : 1));
      Fixture.closeConnections();
      CHECK(awaitReply(Fixture, "a").outcome() == proto::UNKNOWN);
    }
  // Before the connection has ended, while the new one is opened, after that.
  CHECK(DeparturesBeforeResend >= 2 * static_cast<int>(departures().size()));
}

TEST_CASE("a call that has been admitted is not sent once the upstream "
          "leaves") {
  for (const Departure &Known : departures())
    for (const bool HasConnection : {false, true}) {
      CAPTURE(Known.Name);
      CAPTURE(HasConnection);
      GateFixture Fixture;
      if (HasConnection)
        Fixture.call("warm");
      Fixture.submit("a");
      Known.Announce(Fixture);
      checkNotSent(Fixture, "a");
      CHECK(Fixture.Gate.load().running() == 0);
    }
}

TEST_CASE("a departure while a call's connection is opened stops the call") {
  for (const Departure &Known : departures())
    for (const char *Method : {"GET", "POST"}) {
      CAPTURE(Known.Name);
      GateFixture Fixture;
      Fixture.runFor(Millis(20));
      Fixture.submit("a", Millis(5000), Method, /*IsIdempotent=*/false);
      // It begins to connect.
      Fixture.runHandlers(1);
      Known.Announce(Fixture);
      checkNotSent(Fixture, "a");
    }
}

TEST_CASE("a call that waits for a slot is not sent once the upstream "
          "leaves") {
  for (const Departure &Known : departuresAndEvacuation()) {
    CAPTURE(Known.Name);
    GateFixture Fixture(/*Slots=*/1);
    Fixture.call("warm");
    Fixture.Scripts["a"] = {};
    Fixture.submit("a");
    Fixture.runUntil([&] { return Fixture.receivedCount("a") == 1; });
    Fixture.submit("b");
    Known.Announce(Fixture);
    Fixture.closeConnections();
    checkNotSent(Fixture, "b");
    awaitReply(Fixture, "a");
  }
}

TEST_CASE("a call that waits for the pace of a limit is not sent once the "
          "upstream leaves") {
  for (const Departure &Known : departuresAndEvacuation()) {
    CAPTURE(Known.Name);
    GateFixture Fixture;
    Fixture.KnownLimit = 0.5;
    Fixture.submit("a");
    Fixture.runFor(Millis(20));
    REQUIRE(Fixture.receivedCount("a") == 0);
    Known.Announce(Fixture);
    checkNotSent(Fixture, "a");
  }
}

TEST_CASE("a call that is held as the suspect of a crash is not sent once the "
          "upstream leaves") {
  for (const Departure &Known : departuresAndEvacuation()) {
    CAPTURE(Known.Name);
    GateFixture Fixture;
    Fixture.call("warm");
    Fixture.Crashes.recordCrash({requestFingerprint("GET", "/a", ""),
                                 requestFingerprint("GET", "/b", "")},
                                /*Crash=*/100, wallNow());
    Fixture.Scripts["a"] = {};
    Fixture.submit("a");
    Fixture.submit("b");
    Fixture.runUntil([&] { return Fixture.receivedCount("a") == 1; });
    Known.Announce(Fixture);
    Fixture.closeConnections();
    checkNotSent(Fixture, "b");
  }
}

TEST_CASE("a call is not sent to an upstream that has said in a response that "
          "it leaves") {
  GateFixture Fixture;
  Fixture.Gate.setLeavingHandler(
      [&Fixture](const proto::UpstreamEntry &) { drain(Fixture); });
  startUnanswered(Fixture, "a");
  Fixture.Scripts["b"] = {
      .Bytes = "HTTP/1.1 200 OK\r\nx-pq-proof: p\r\nx-pq-request-id: b\r\n"
               "x-pq-leaving: 1\r\nContent-Length: 0\r\n\r\n"};
  CHECK(Fixture.call("b").upstream_leaving());
  Fixture.closeConnections();
  CHECK(awaitReply(Fixture, "a").outcome() == proto::UNKNOWN);
  CHECK(Fixture.receivedCount("a") == 1);
}

// An upstream that leaves may be silent, and the call's caller has no time to
// lose.
TEST_CASE("no connection is opened to an upstream that leaves") {
  GateFixture Fixture;
  startUnanswered(Fixture, "a");
  drain(Fixture);
  Fixture.closeConnections();
  awaitReply(Fixture, "a");
  CHECK(Fixture.Connections == 1);
}

// A stopping node ends what it has admitted.
TEST_CASE("a node that stops sends a call again that it has admitted") {
  GateFixture Fixture;
  startUnanswered(Fixture, "a");
  Fixture.Scripts.erase("a");
  Fixture.Gate.stopAdmitting();
  Fixture.closeConnections();
  CHECK(awaitReply(Fixture, "a").outcome() == proto::ANSWERED);
}

} // namespace persimmonquay
