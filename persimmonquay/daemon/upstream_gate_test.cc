// Tests of the gate against an upstream that sends what it shouldn't.
#include "persimmonquay/daemon/gate_fixture.h"
#include "persimmonquay/traffic/request_fingerprint.h"
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

namespace persimmonquay {
namespace {

void checkUnknown(const proto::CallReply &Reply) {
  CHECK(Reply.outcome() == proto::UNKNOWN);
  CHECK(Reply.arrived());
  CHECK_FALSE(Reply.reason().empty());
}

// The bytes are sent at line speed until the gate closes the connection.
TEST_CASE("bytes without end that are no response end the call as unknown") {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nx-pq-proof: p\r\nx-pq-request-id: a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const std::map<std::string, Script> Cases = {
      {"no protocol", {std::string(100, '\1'), std::string(1000, '\2')}},
      {"status line", {"HTTP/1.1 200 ", std::string(1000, 'x')}},
      {"headers", {"HTTP/1.1 200 OK\r\n", "a: b\r\n"}},
      {"header value", {"HTTP/1.1 200 OK\r\na: ", std::string(1000, 'x')}},
      {"interim responses", {"", "HTTP/1.1 102 Processing\r\n\r\n"}},
      {"other calls' responses", {"", responseTo("other")}},
      {"body", {"HTTP/1.1 200 OK\r\n\r\n", std::string(10000, 'x')}},
      {"chunk size", {Chunked, std::string(1000, '0')}},
      {"chunk extension", {Chunked + "1;", std::string(1000, 'x')}},
      {"tiny chunks", {Chunked, "1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n"}},
      {"huge chunk", {Chunked + "ffffffff\r\n", std::string(10000, 'x')}},
      {"trailers", {Chunked + "0\r\n", "a: b\r\n"}}};
  for (const auto &Case : Cases) {
    CAPTURE(Case.first);
    GateFixture Fixture;
    Fixture.Scripts["a"] = Case.second;
    const MonoTime Start = monoNow();
    checkUnknown(Fixture.call("a", Millis(15000)));
    CHECK(monoNow() - Start < Millis(10000));
    Fixture.runUntil([&] { return Fixture.EndedConnections == 1; });
    // The upstream counts as failing, and other calls go on.
    CHECK(Fixture.Gate.load().failed_permille() > 0);
    CHECK(Fixture.call("b").outcome() == proto::ANSWERED);
    // Sockets hold some megabytes beside the limit on the body.
    CHECK(Fixture.SentBytes < (16U << 20U));
  }
}

TEST_CASE("a response that trickles is given up at the deadline") {
  const std::map<std::string, Script> Cases = {
      {"status line", {"HTTP/1.1 2", "0", Millis(50)}},
      {"header", {"HTTP/1.1 200 OK\r\na: ", "b", Millis(50)}},
      {"interim", {"", "HTTP/1.1 102 P\r\n\r\n", Millis(400)}},
      {"body", {"HTTP/1.1 200 OK\r\n\r\n", "x", Millis(50)}}};
  for (const auto &Case : Cases) {
    CAPTURE(Case.first);
    GateFixture Fixture;
    Fixture.Scripts["a"] = Case.second;
    Fixture.submit("a", Millis(600));
    // Another call is served meanwhile.
    CHECK(Fixture.call("b").outcome() == proto::ANSWERED);
    const MonoTime Start = monoNow();
    Fixture.runUntil([&] { return Fixture.Replies.contains("a"); });
    checkUnknown(Fixture.Replies["a"]);
    CHECK(monoNow() - Start < Millis(3000));
    Fixture.runUntil([&] { return Fixture.EndedConnections >= 1; });
  }
}

TEST_CASE("a second copy of a response never reaches the next call") {
  const std::string Copy = responseTo("a", "first body");
  const std::string CopyWithoutId =
      "HTTP/1.1 200 OK\r\nx-pq-proof: p\r\nContent-Length: 5\r\n\r\nstale";
  for (const bool IsIdempotentNext : {true, false}) {
    for (const Script &Played :
         {// Together with the response, before the next call, and after it
          // has been sent.
          Script{.Bytes = Copy + Copy},
          Script{.Bytes = Copy, .LateBytes = Copy},
          Script{.Bytes = Copy + CopyWithoutId},
          Script{.Bytes = Copy, .LateBytes = CopyWithoutId},
          Script{.Bytes = Copy + "leftover"},
          Script{.Bytes = Copy, .LateBytes = "leftover"}}) {
      for (const Millis Pause : {Millis(0), Millis(10), Millis(60)}) {
        CAPTURE(Pause.count());
        GateFixture Fixture;
        Fixture.Scripts["a"] = Played;
        CHECK(Fixture.call("a").body() == "first body");
        Fixture.runFor(Pause);
        const proto::CallReply Next =
            Fixture.call("b", Millis(800), IsIdempotentNext ? "GET" : "POST");
        if (Next.outcome() == proto::ANSWERED)
          CHECK(Next.body() == "ok");
        else
          CHECK(Next.outcome() == proto::UNKNOWN);
      }
    }
  }
}

TEST_CASE("a late copy that overtakes the response is skipped") {
  GateFixture Fixture;
  Fixture.call("warm");
  Fixture.Scripts["b"] = {.Bytes = responseTo("a", "stale") +
                                   responseTo("b", "own")};
  CHECK(Fixture.call("b").body() == "own");
  CHECK(Fixture.Connections == 1);
  // Without an id it can't be told from the response.
  Fixture.Scripts["c"] = {
      .Bytes =
          "HTTP/1.1 200 OK\r\nx-pq-proof: p\r\nContent-Length: 5\r\n\r\nstale" +
          responseTo("c")};
  checkUnknown(Fixture.call("c"));
  CHECK(Fixture.call("d").body() == "ok");
  CHECK(Fixture.Connections == 2);
}

// The refusal of an earlier call says nothing about the next one, which the
// upstream is running.
TEST_CASE("a second copy of a refusal never refuses the next call") {
  const std::string Head = "HTTP/1.1 503 Full\r\nx-pq-not-run: 1\r\n";
  const std::string End = "Content-Length: 0\r\n\r\n";
  const std::string Refusal = Head + "x-pq-request-id: a\r\n" + End;
  const std::string WithoutId = Head + End;
  for (const char *Method : {"GET", "POST"}) {
    for (const Script &Played :
         {Script{.Bytes = Refusal + Refusal},
          Script{.Bytes = Refusal, .LateBytes = Refusal},
          Script{.Bytes = Refusal + WithoutId},
          Script{.Bytes = Refusal, .LateBytes = WithoutId},
          Script{.Bytes = WithoutId, .LateBytes = WithoutId}}) {
      for (const Millis Pause : {Millis(0), Millis(10), Millis(60)}) {
        CAPTURE(Pause.count());
        GateFixture Fixture;
        Fixture.Scripts["a"] = Played;
        CHECK(Fixture.call("a").outcome() == proto::NOT_RUN);
        Fixture.runFor(Pause);
        // Takes long enough for the copy to arrive first.
        Fixture.Scripts["b"] = {.Bytes = "", .LateBytes = responseTo("b")};
        const proto::CallReply Next =
            Fixture.call("b", Millis(800), Method, false);
        CHECK(Next.outcome() != proto::NOT_RUN);
      }
    }
  }
}

// An upstream that runs a call may end it with any status of its own; only its
// statement, or a 421 of another upstream at its address, says that nothing
// ran.
TEST_CASE("an upstream's status alone doesn't say that a call has not run") {
  const auto Response = [](int Status, const std::string &Headers) {
    return absl::StrCat("HTTP/1.1 ", Status, " Told\r\n", Headers,
                        "Content-Length: 0\r\n\r\n");
  };
  for (const int Status : {408, 421, 429, 503}) {
    for (const char *Method : {"GET", "POST"}) {
      CAPTURE(Status);
      CAPTURE(Method);
      GateFixture Fixture;
      Fixture.Scripts["signed"] = {
          Response(Status, "x-pq-proof: p\r\nx-pq-request-id: signed\r\n")};
      const proto::CallReply Signed =
          Fixture.call("signed", Millis(5000), Method, false);
      CHECK(Signed.outcome() == proto::ANSWERED);
      CHECK(Signed.status() == Status);
      Fixture.Scripts["stated"] = {
          Response(Status, "x-pq-not-run: 1\r\nx-pq-request-id: stated\r\n")};
      CHECK(Fixture.call("stated", Millis(5000), Method, false).outcome() ==
            proto::NOT_RUN);
      Fixture.Scripts["bare"] = {Response(Status, "x-pq-request-id: bare\r\n")};
      CHECK(Fixture.call("bare", Millis(5000), Method, false).outcome() ==
            (Status == 421 ? proto::NOT_RUN : proto::ANSWERED));
    }
  }
}

// After a lost response the gate opens a connection at once and keeps it.
TEST_CASE("an upstream that states no ids is used after it lost a response") {
  GateFixture Fixture;
  Fixture.Scripts["lost"] = {.Bytes = "", .ClosesAfterBytes = true};
  checkUnknown(Fixture.call("lost"));
  Fixture.Scripts["a"] = {
      .Bytes = "HTTP/1.1 200 OK\r\nx-pq-proof: p\r\nContent-Length: 2\r\n"
               "\r\nok"};
  CHECK(Fixture.call("a").body() == "ok");
  CHECK(Fixture.Connections == 2);
}

TEST_CASE("a response whose head is cut off is not passed on") {
  const std::string Whole = responseTo("a", "");
  const std::string WithoutLength =
      "HTTP/1.1 200 OK\r\nx-pq-proof: p\r\nx-pq-request-id: a\r\n\r\n";
  for (const std::string &Response : {Whole, WithoutLength})
    for (std::size_t Size = 1; Size < Response.size(); Size += 3) {
      CAPTURE(Response.substr(0, Size));
      GateFixture Fixture;
      Fixture.Scripts["a"] = {.Bytes = Response.substr(0, Size),
                              .ClosesAfterBytes = true};
      checkUnknown(Fixture.call("a"));
    }
}

// Such a response was taken for an interim one: the call waited until its
// deadline, and the body was read as the response. 600 and above were passed
// on.
TEST_CASE("a response with a status that HTTP doesn't have is no answer") {
  const std::string Forged =
      "HTTP/1.1 200 OK\r\nx-pq-proof: p\r\nContent-Length: 6\r\n\r\nforged";
  for (const std::string Status : {"000", "001", "099", "101", "600", "999",
                                   "0200", "20", "-12", "1000", "abc", ""})
    for (const std::string &Body :
         {std::string(), std::string("sorry"), Forged})
      for (const bool IsReused : {false, true})
        for (const bool Closes : {false, true}) {
          CAPTURE(Status);
          CAPTURE(Body);
          CAPTURE(IsReused);
          CAPTURE(Closes);
          GateFixture Fixture;
          if (IsReused)
            Fixture.call("warm");
          Fixture.Scripts["a"] = {
              .Bytes = absl::StrCat("HTTP/1.1 ", Status,
                                    " Trouble\r\nx-pq-proof: p\r\n"
                                    "x-pq-request-id: a\r\nContent-Length: ",
                                    Body.size(), "\r\n\r\n", Body),
              .ClosesAfterBytes = Closes};
          const MonoTime Start = monoNow();
          checkUnknown(Fixture.call("a", Millis(3000)));
          // At once, not at the deadline.
          CHECK(monoNow() - Start < Millis(1000));
          CHECK(Fixture.receivedCount("a") == 1);
          CHECK(Fixture.call("b").body() == "ok");
        }
}

TEST_CASE("the body of a response without a valid status is not awaited") {
  GateFixture Fixture;
  Fixture.Scripts["a"] = {
      .Bytes = "HTTP/1.1 600 Trouble\r\nx-pq-proof: p\r\n"
               "x-pq-request-id: a\r\nContent-Length: 1000\r\n\r\n"};
  const MonoTime Start = monoNow();
  checkUnknown(Fixture.call("a", Millis(3000)));
  CHECK(monoNow() - Start < Millis(1000));
}

TEST_CASE("an interim response is skipped and the connection stays usable") {
  GateFixture Fixture;
  Fixture.Scripts["a"] = {
      .Bytes = "HTTP/1.1 100 Continue\r\n\r\n" +
               std::string("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n") +
               responseTo("a")};
  const proto::CallReply Reply = Fixture.call("a");
  CHECK(Reply.outcome() == proto::ANSWERED);
  CHECK(Reply.status() == 200);
  CHECK(Fixture.call("b").outcome() == proto::ANSWERED);
  CHECK(Fixture.Connections == 1);
}

TEST_CASE("the body of a response to HEAD does not reach the next call") {
  GateFixture Fixture;
  Fixture.Scripts["a"] = {.Bytes = responseTo("a", "unexpected body")};
  CHECK(Fixture.call("a", Millis(5000), "HEAD").body().empty());
  CHECK(Fixture.call("b").body() == "ok");
  CHECK(Fixture.Connections == 2);
}

TEST_CASE("a response that is reset before its end is not complete") {
  GateFixture Fixture;
  Fixture.Scripts["a"] = {
      .Bytes =
          "HTTP/1.1 200 OK\r\nx-pq-proof: p\r\nContent-Length: 99\r\n\r\npart",
      .ClosesAfterBytes = true};
  checkUnknown(Fixture.call("a"));
  // Without a length, the end of the connection ends the response.
  Fixture.Scripts["b"] = {.Bytes = "HTTP/1.1 200 OK\r\nx-pq-proof: p\r\n"
                                   "x-pq-request-id: b\r\n\r\nwhole",
                          .ClosesAfterBytes = true};
  CHECK(Fixture.call("b").body() == "whole");
}

// Any of these names a limit or none, and none may end the process.
TEST_CASE("a limit that is no number is ignored, one of zero is applied") {
  GateFixture Fixture;
  const auto CallWithLimit = [&Fixture](const std::string &Id,
                                        const std::string &Limit) {
    std::string Response = responseTo(Id);
    Response.insert(Response.find("\r\n") + 2, "x-pq-limit: " + Limit + "\r\n");
    Fixture.Scripts[Id] = {.Bytes = Response};
    CHECK(Fixture.call(Id).outcome() == proto::ANSWERED);
    return Fixture.Gate.load().limit_per_s();
  };
  CHECK(CallWithLimit("a", "many") == 0);
  CHECK(CallWithLimit("b", "-3") == 0);
  CHECK(CallWithLimit("c", "nan") == 0);
  CHECK(CallWithLimit("d", "1e999") == 0);
  CHECK(CallWithLimit("e", "250.5") == doctest::Approx(250.5));
  CHECK(CallWithLimit("f", "") == doctest::Approx(250.5));
  CHECK(CallWithLimit("g", "0") > 0);
  // Named no more. A limit of zero lets a call pass now and then, whose
  // response tells.
  Fixture.runFor(Millis(2100));
  CHECK(Fixture.call("h").outcome() == proto::ANSWERED);
  CHECK(Fixture.Gate.load().limit_per_s() == 0);
}

// The gate beside the upstream has restarted; the caller's node remembers.
TEST_CASE("the speed that the upstream reports is passed on while it is new") {
  GateFixture Fixture;
  const auto CallWithLoad = [&Fixture](const std::string &Id,
                                       const std::string &Load) {
    std::string Response = responseTo(Id);
    Response.insert(Response.find("\r\n") + 2, "x-pq-load: " + Load + "\r\n");
    Fixture.Scripts[Id].Bytes = Response;
    return Fixture.call(Id).load().work_percent();
  };
  CHECK(CallWithLoad("a", "1,0,4") == 0);
  CHECK(CallWithLoad("b", "1,0,4,0") == 0);
  CHECK(CallWithLoad("c", "1,0,4,100") == 100);
  CHECK(CallWithLoad("d", "1,0,4,400") > 390);
  CHECK(CallWithLoad("e", "1,0,4,many") > 100);
  CHECK(CallWithLoad("f", "1,0,4,4000000000") > 990);
  CHECK(CallWithLoad("g", "1,0,4,100,3") < 110);
  CHECK(CallWithLoad("h", "1,0,4,250") > 240);
  Fixture.runFor(Millis(1200));
  CHECK(Fixture.Gate.load().work_percent() < 150);
  // Another upstream may have another host.
  proto::UpstreamEntry Next = *Fixture.Gate.upstream();
  Next.set_instance("i-2");
  Fixture.Gate.setUpstream(Next);
  CHECK(Fixture.Gate.load().work_percent() == 0);
}

TEST_CASE("a limit that a caller's node knows binds until the upstream names "
          "one itself") {
  GateFixture Fixture;
  Fixture.KnownLimit = 4;
  const MonoTime Start = monoNow();
  CHECK(Fixture.call("a").outcome() == proto::ANSWERED);
  CHECK(monoNow() - Start >= Millis(200));
  CHECK(Fixture.Gate.load().limit_per_s() == 0);
  CHECK(Fixture.call("b").outcome() == proto::ANSWERED);
  CHECK(Fixture.Gate.load().limit_per_s() == 0);
}

// A second crash must be attributed to one request, so that the harmless ones
// that ran beside it are not rejected.
TEST_CASE("requests that ran during a crash run one at a time until they are "
          "answered") {
  GateFixture Fixture;
  std::vector<std::uint64_t> Fingerprints;
  for (const std::string Id : {"a", "b", "c"}) {
    Fingerprints.push_back(requestFingerprint("GET", "/" + Id, ""));
    Fixture.Scripts[Id] = {.Bytes = "", .LateBytes = responseTo(Id)};
  }
  Fixture.Crashes.recordCrash(Fingerprints, 100, wallNow());
  for (const std::string Id : {"a", "b", "c", "d"})
    Fixture.submit(Id);
  // One suspect and the other call.
  CHECK(Fixture.Gate.load().running() == 2);
  SUBCASE("and each is answered in the end") {
    Fixture.runUntil([&] { return Fixture.Replies.size() == 4; });
    for (const auto &[Id, Reply] : Fixture.Replies)
      CHECK(Reply.outcome() == proto::ANSWERED);
  }
  SUBCASE("and a cancelled one lets the next one run") {
    Fixture.runUntil([&] { return Fixture.Replies.contains("d"); });
    Fixture.Gate.cancel(1);
    Fixture.runUntil([&] { return Fixture.Replies.size() == 3; });
    CHECK(Fixture.Replies["b"].outcome() == proto::ANSWERED);
    CHECK(Fixture.Replies["c"].outcome() == proto::ANSWERED);
  }
  SUBCASE("and none waits when the node stops") {
    Fixture.Gate.stopAdmitting();
    Fixture.runUntil([&] { return Fixture.Replies.size() == 4; });
    CHECK(Fixture.Replies["b"].outcome() == proto::NOT_RUN);
    CHECK(Fixture.Replies["c"].outcome() == proto::NOT_RUN);
  }
  CHECK(Fixture.Gate.callsInFlight() == 0);
}

TEST_CASE("a request under which two upstreams ended is rejected with the time "
          "until it may run") {
  GateFixture Fixture;
  const std::uint64_t Fingerprint = requestFingerprint("GET", "/a", "");
  Fixture.Crashes.recordCrash({Fingerprint}, 100, wallNow());
  Fixture.Crashes.recordCrash({Fingerprint}, 200, wallNow());
  const proto::CallReply Reply = Fixture.call("a");
  CHECK(Reply.outcome() == proto::NOT_RUN);
  CHECK(Reply.crashes_size() == 2);
  CHECK(Reply.retry_after_ms() > 20000);
  CHECK(Fixture.Connections == 0);
}

// The calls had been admitted before the crashes became known.
TEST_CASE("a waiting call doesn't start once its request is known to crash "
          "upstreams") {
  GateFixture Fixture(1);
  Fixture.Scripts["slow"] = {.Bytes = "", .LateBytes = responseTo("slow")};
  Fixture.submit("slow");
  Fixture.submit("crash");
  Fixture.submit("harmless");
  CHECK(Fixture.Gate.load().waiting() == 2);
  const std::uint64_t Fingerprint = requestFingerprint("GET", "/crash", "");
  Fixture.Crashes.recordCrash({Fingerprint}, 100, wallNow());
  Fixture.Crashes.recordCrash({Fingerprint}, 200, wallNow());
  Fixture.runUntil([&] { return Fixture.Replies.size() == 3; });
  CHECK(Fixture.Replies["crash"].outcome() == proto::NOT_RUN);
  CHECK(Fixture.Replies["crash"].reason() == CrashReason);
  CHECK(Fixture.Replies["harmless"].outcome() == proto::ANSWERED);
  CHECK(Fixture.Received == std::vector<std::string>{"slow", "harmless"});
  CHECK(Fixture.Gate.load().running() == 0);
}

TEST_CASE("waiting calls that have become suspects run one at a time") {
  GateFixture Fixture(2);
  std::vector<std::uint64_t> Fingerprints;
  for (const std::string Id : {"slow-1", "slow-2", "a", "b"}) {
    Fixture.Scripts[Id] = {.Bytes = "", .LateBytes = responseTo(Id)};
    Fixture.submit(Id);
    if (Id.size() == 1)
      Fingerprints.push_back(requestFingerprint("GET", "/" + Id, ""));
  }
  Fixture.Crashes.recordCrash(Fingerprints, 100, wallNow());
  Fixture.runUntil([&] { return Fixture.Received.size() == 3; });
  Fixture.runFor(Millis(10));
  CHECK(Fixture.Gate.load().running() == 1);
  Fixture.runUntil([&] { return Fixture.Replies.size() == 4; });
  for (const auto &[Id, Reply] : Fixture.Replies)
    CHECK(Reply.outcome() == proto::ANSWERED);
}

TEST_CASE("a request under which an upstream ended is not sent again on a new "
          "connection") {
  GateFixture Fixture;
  CHECK(Fixture.call("warm").outcome() == proto::ANSWERED);
  // The connection is then idle for long enough for a resend.
  Fixture.runFor(Millis(200));
  Fixture.Scripts["a"] = {.Bytes = "", .ClosesAfterBytes = true};
  Fixture.Crashes.recordCrash({requestFingerprint("GET", "/a", "")}, 100,
                              wallNow());
  const proto::CallReply Reply = Fixture.call("a");
  CHECK(Reply.outcome() == proto::UNKNOWN);
  CHECK(Reply.resent() == 0);
}

// A call of the upstream that is read late must not be taken for a caller's.
TEST_CASE("an upstream counts as active until its calls surely have ended") {
  GateFixture Fixture;
  CHECK(Fixture.Gate.activity() == UpstreamActivity::Idle);
  Fixture.Scripts["left"] = {.Bytes = "", .LateBytes = responseTo("left")};
  Fixture.submit("left");
  Fixture.runUntil([&] { return Fixture.Received.size() == 1; });
  CHECK(Fixture.Gate.activity() == UpstreamActivity::MayBeRunning);
  SUBCASE("after its response") {
    Fixture.runUntil([&] { return Fixture.Replies.size() == 1; });
    CHECK(Fixture.Gate.activity() == UpstreamActivity::Unknown);
  }
  SUBCASE("after its caller has left") {
    Fixture.Gate.cancel(1);
    Fixture.runUntil([&] { return Fixture.Gate.callsInFlight() == 0; });
    CHECK(Fixture.Gate.activity() == UpstreamActivity::MayBeRunning);
  }
}

TEST_CASE("a withdrawn call is rejected if it waits and ends if it runs") {
  GateFixture Fixture(1);
  Fixture.submit("running", Millis(5000), "POST", false);
  Fixture.submit("waiting");
  Fixture.submit("other");
  Fixture.Gate.withdraw(1);
  Fixture.Gate.withdraw(2);
  CHECK(Fixture.Replies["waiting"].outcome() == proto::NOT_RUN);
  CHECK(Fixture.Replies["waiting"].reason() == WithdrawnReason);
  Fixture.runUntil([&] { return Fixture.Replies.size() == 3; });
  CHECK(Fixture.Replies["running"].outcome() == proto::ANSWERED);
  CHECK(Fixture.Replies["other"].outcome() == proto::ANSWERED);
  CHECK(Fixture.Received.size() == 2);
  CHECK(Fixture.Gate.callsInFlight() == 0);
}

// The aborted connection attempt was taken for one that had failed, and all
// calls were rejected for a while.
TEST_CASE("a caller that leaves while a connection is opened does no harm") {
  GateFixture Fixture;
  // The upstream's own first step is to wait for connections.
  Fixture.Context.poll_one();
  Fixture.submit("left");
  Fixture.Context.poll_one();
  Fixture.Gate.cancel(1);
  Fixture.runFor(Millis(20));
  CHECK(Fixture.call("next").outcome() == proto::ANSWERED);
}

// The connection of the call has been closed, and no other call tries to reach
// the upstream.
TEST_CASE("an upstream's end is noticed although no call awaits a response") {
  GateFixture Fixture;
  Fixture.Scripts["crash"] = {.Bytes = "", .LateBytes = ""};
  Fixture.submit("crash");
  SUBCASE("under a call whose caller has left") {
    Fixture.runUntil([&] { return Fixture.Received.size() == 1; });
    Fixture.Gate.cancel(1);
  }
  SUBCASE("beside a connection that is idle") {
    CHECK(Fixture.call("other").outcome() == proto::ANSWERED);
    Fixture.Gate.cancel(1);
  }
  Fixture.runFor(Millis(300));
  CHECK(Fixture.Crashes.empty());
  Fixture.crashUpstream();
  const MonoTime EndedAt = monoNow();
  Fixture.runUntil([&] { return Fixture.Crashes.size() == 1; });
  CHECK(monoNow() - EndedAt < Millis(1000));
}

// The next call used a connection that the watch had opened, so that the gate
// took the upstream for the one that had ended before.
TEST_CASE("a second crash is noticed on a connection opened by the watch") {
  GateFixture Fixture;
  for (const std::string Id : {"left", "first", "second"})
    Fixture.Scripts[Id] = {.Bytes = "", .LateBytes = ""};
  Fixture.submit("left");
  Fixture.submit("first", Millis(5000), "POST", false);
  Fixture.runUntil([&] { return Fixture.Received.size() == 2; });
  Fixture.Gate.cancel(1);
  Fixture.runFor(Millis(20));
  Fixture.crashUpstream();
  Fixture.runUntil([&] { return Fixture.Replies.contains("first"); });
  CHECK(Fixture.Crashes.size() == 2);
  Fixture.restartUpstream();
  const int ConnectionsBefore = Fixture.Connections;
  Fixture.runFor(Millis(400));
  REQUIRE(Fixture.Connections > ConnectionsBefore);
  Fixture.submit("second");
  Fixture.runUntil([&] { return Fixture.Received.size() == 3; });
  Fixture.crashUpstream();
  Fixture.runUntil([&] { return Fixture.Replies.contains("second"); });
  CHECK(Fixture.Crashes.size() == 3);
}

// An upstream that started again at once refuses no connection.
TEST_CASE("a crash shows by a heartbeat of the next incarnation") {
  GateFixture Fixture;
  Fixture.Scripts["crash"] = {.Bytes = "", .ClosesAfterBytes = true};
  const auto RegisterUpstream = [&](std::uint64_t StartedUnixMs,
                                    bool IsDraining) {
    proto::UpstreamEntry Upstream;
    Upstream.set_service("gallery");
    Upstream.set_instance("i-1");
    Upstream.set_slots(4);
    Upstream.set_started_unix_ms(StartedUnixMs);
    Upstream.set_draining(IsDraining);
    Fixture.Gate.setUpstream(Upstream);
  };
  RegisterUpstream(1000, false);
  checkUnknown(Fixture.call("crash", Millis(5000), "POST", false));
  SUBCASE("of an upstream that has not announced that it leaves") {
    RegisterUpstream(2000, false);
    CHECK(Fixture.Crashes.size() == 1);
    // The same end is not counted again.
    RegisterUpstream(3000, false);
    CHECK(Fixture.Crashes.size() == 1);
  }
  SUBCASE("but not of one that has") {
    RegisterUpstream(1000, true);
    RegisterUpstream(2000, false);
    CHECK(Fixture.Crashes.empty());
  }
  SUBCASE("unless the request has been answered since") {
    Fixture.Scripts.erase("crash");
    Fixture.Replies.erase("crash");
    CHECK(Fixture.call("crash", Millis(5000), "POST", false).outcome() ==
          proto::ANSWERED);
    RegisterUpstream(2000, false);
    CHECK(Fixture.Crashes.empty());
  }
}

// The process may end before the deadline of such a call.
TEST_CASE("a stopping node admits no unsafe call that it might cut") {
  GateFixture Fixture(1);
  Fixture.Scripts["slow"] = {.Bytes = "", .LateBytes = responseTo("slow")};
  Fixture.submit("slow");
  Fixture.submit("waiting", Millis(5000), "POST", false);
  Fixture.Gate.rejectCallsPast(monoNow() + Millis(2000));
  Fixture.runUntil([&] { return Fixture.Replies.size() == 2; });
  CHECK(Fixture.Replies["slow"].outcome() == proto::ANSWERED);
  CHECK(Fixture.Replies["waiting"].reason() == StoppingReason);
  const proto::CallReply Long =
      Fixture.call("long", Millis(3000), "POST", false);
  CHECK(Long.outcome() == proto::NOT_RUN);
  CHECK(Long.reason() == StoppingReason);
  CHECK(Fixture.call("short", Millis(1000), "POST", false).outcome() ==
        proto::ANSWERED);
  CHECK(Fixture.call("safe", Millis(3000)).outcome() == proto::ANSWERED);
  CHECK(Fixture.Gate.load().running() == 0);
}

// The call may have crashed the upstream; a reply that it has not run would be
// wrong, and would let it go to one upstream after the other.
TEST_CASE("a call sent to an upstream that then ended is not reported as not "
          "run") {
  GateFixture Fixture;
  Fixture.Scripts["crash"] = {.Bytes = "", .ClosesAfterBytes = true};
  CHECK(Fixture.call("warm").outcome() == proto::ANSWERED);
  // The connection is then idle for long enough for a resend.
  Fixture.runFor(Millis(200));
  Fixture.Acceptor.close();
  const proto::CallReply Reply = Fixture.call("crash");
  CHECK(Reply.outcome() == proto::UNKNOWN);
  CHECK(Reply.arrived());
  CHECK(Reply.resent() == 0);
}

// The first attempt was lost with its connection and may have run.
TEST_CASE("a resent call that is rejected is not reported as not run") {
  GateFixture Fixture;
  CHECK(Fixture.call("warm").outcome() == proto::ANSWERED);
  Fixture.runFor(Millis(200));
  Fixture.Scripts["again"] = {.Bytes = "", .ClosesAfterBytes = true};
  Fixture.submit("again");
  Fixture.runUntil([&] { return Fixture.EndedConnections == 1; });
  Fixture.Scripts["again"] = {
      .Bytes = "HTTP/1.1 503 Full\r\nx-pq-not-run: 1\r\n"
               "x-pq-request-id: again\r\nContent-Length: 0\r\n\r\n"};
  Fixture.runUntil([&] { return Fixture.Replies.contains("again"); });
  const proto::CallReply Reply = Fixture.Replies["again"];
  CHECK(Reply.resent() == 1);
  CHECK(Reply.outcome() == proto::UNKNOWN);
}

TEST_CASE("connections of an upstream that states no ids are not used again") {
  GateFixture Fixture;
  for (const std::string Id : {"a", "b"}) {
    Fixture.Scripts[Id] = {
        .Bytes =
            "HTTP/1.1 200 OK\r\nx-pq-proof: p\r\nContent-Length: 2\r\n\r\nok"};
    CHECK(Fixture.call(Id).outcome() == proto::ANSWERED);
  }
  CHECK(Fixture.Connections == 2);
}

// The service's cold time and rate in the tests on cold upstreams.
constexpr Millis ColdTime(1500);
constexpr double ColdRate = 20;

/// Submits a call every few milliseconds; returns the number submitted.
int submitFor(GateFixture &Fixture, Millis Duration) {
  static int Count = 0;
  const int FirstCount = Count;
  const MonoTime End = monoNow() + Duration;
  while (monoNow() < End) {
    Fixture.submit(absl::StrCat("load-", ++Count));
    Fixture.runFor(Millis(5));
  }
  return Count - FirstCount;
}

TEST_CASE("a gate holds the bound on a cold upstream from its first call") {
  GateFixture Fixture(100);
  Fixture.Gate.setColdLimits(ColdTime, ColdRate);
  const int Submitted = submitFor(Fixture, Millis(1000));
  Fixture.runUntil([&] {
    return Fixture.Replies.size() == static_cast<std::size_t>(Submitted);
  });
  CHECK(Fixture.Received.size() <= 1.5 * ColdRate + 8);
  CHECK(Fixture.Received.size() >= ColdRate / 2);
  CHECK(Fixture.Gate.load().cold_ms() > 0);
  CHECK(Fixture.Gate.coldRejections() ==
        Fixture.Replies.size() - Fixture.Received.size());
  for (const auto &[Id, Reply] : Fixture.Replies) {
    if (Reply.outcome() == proto::ANSWERED)
      continue;
    CHECK(Reply.outcome() == proto::NOT_RUN);
    CHECK(Reply.reason() == ColdReason);
    // 0 would mean that the call must not be offered again.
    CHECK(Reply.retry_after_ms() > 0);
  }
  SUBCASE("until it says that it is warm") {
    Fixture.Gate.recordColdRemaining(Millis(0), "heartbeat");
  }
  SUBCASE("until its cold time has passed") { Fixture.runFor(ColdTime); }
  CHECK(Fixture.Gate.load().cold_ms() == 0);
  for (int I = 0; I < 60; ++I)
    Fixture.submit(absl::StrCat("warm-", I));
  Fixture.runUntil([&] { return Fixture.Gate.callsInFlight() == 0; });
  for (int I = 0; I < 60; ++I)
    CHECK(Fixture.Replies[absl::StrCat("warm-", I)].outcome() ==
          proto::ANSWERED);
}

TEST_CASE("a warm upstream that turns cold keeps only the calls that run") {
  GateFixture Fixture(1);
  Fixture.Gate.setColdLimits(ColdTime, ColdRate);
  Fixture.Gate.recordColdRemaining(Millis(0), "heartbeat");
  Fixture.Scripts["slow"] = {.Bytes = "", .LateBytes = responseTo("slow")};
  Fixture.submit("slow");
  Fixture.submit("waiting");
  CHECK(Fixture.Gate.load().waiting() == 1);
  std::string_view Reason = ColdReason;
  SUBCASE("by its own account") {
    Fixture.Gate.recordColdRemaining(Millis(1000), "heartbeat");
  }
  SUBCASE("as its heartbeats are missing") {
    Fixture.Gate.assumeCold("its heartbeats are missing");
  }
  SUBCASE("as its data centre is evacuated") {
    Fixture.Gate.setEvacuated(true);
    Reason = EvacuatedReason;
  }
  CHECK(Fixture.Replies["waiting"].outcome() == proto::NOT_RUN);
  CHECK(Fixture.Replies["waiting"].reason() == Reason);
  Fixture.runUntil([&] { return Fixture.Replies.contains("slow"); });
  CHECK(Fixture.Replies["slow"].outcome() == proto::ANSWERED);
  CHECK(Fixture.call("refused").reason() == Reason);
  CHECK(Fixture.Received == std::vector<std::string>{"slow"});
}

TEST_CASE("an upstream that is given back after an evacuation may be cold") {
  GateFixture Fixture;
  Fixture.Gate.setColdLimits(ColdTime, ColdRate);
  Fixture.Gate.recordColdRemaining(Millis(0), "heartbeat");
  Fixture.Gate.setEvacuated(true);
  CHECK(Fixture.Gate.load().cold_ms() == 0);
  // Known for good: 0 means that the call must not be offered again.
  CHECK(Fixture.call("a").retry_after_ms() == 0);
  Fixture.Gate.setEvacuated(false);
  CHECK(Fixture.Gate.isColdAssumed());
}

TEST_CASE("an upstream that has ended is cold when it is back") {
  GateFixture Fixture;
  Fixture.Gate.setColdLimits(ColdTime, ColdRate);
  Fixture.Gate.recordColdRemaining(Millis(0), "heartbeat");
  REQUIRE(Fixture.call("before").outcome() == proto::ANSWERED);
  const Tcp::endpoint Address = Fixture.Acceptor.local_endpoint();
  Fixture.Acceptor.close();
  Fixture.closeConnections();
  CHECK(Fixture.call("lost").outcome() != proto::ANSWERED);
  CHECK(Fixture.Gate.hasUpstreamEnded());
  CHECK(Fixture.Gate.isColdAssumed());
  CHECK(Fixture.Gate.load().cold_ms() > 0);
  // Its cold time counts from its return, which may be just before it is
  // reached again.
  Fixture.runFor(ColdTime);
  CHECK(Fixture.Gate.load().cold_ms() == 0);
  Fixture.listenAgain(Address);
  CHECK(Fixture.call("after").outcome() == proto::ANSWERED);
  CHECK(Fixture.Gate.isColdAssumed());
}

// The calls that were sent as it came back counted as sent to a warm one.
TEST_CASE("an upstream that was down for long gets no burst when it is back") {
  GateFixture Fixture(100);
  Fixture.Gate.setColdLimits(ColdTime, ColdRate);
  Fixture.Gate.recordColdRemaining(Millis(0), "heartbeat");
  REQUIRE(Fixture.call("before").outcome() == proto::ANSWERED);
  const Tcp::endpoint Address = Fixture.Acceptor.local_endpoint();
  Fixture.Acceptor.close();
  Fixture.closeConnections();
  submitFor(Fixture, ColdTime + Millis(500));
  const std::size_t ReceivedBefore = Fixture.Received.size();
  Fixture.listenAgain(Address);
  // The time after a refusal in which no call is sent.
  Fixture.runFor(Millis(300));
  for (int I = 0; I < 60; ++I)
    Fixture.submit(absl::StrCat("at-once-", I));
  submitFor(Fixture, Millis(900));
  CHECK(Fixture.Received.size() > ReceivedBefore + ColdRate / 2);
  CHECK(Fixture.Received.size() - ReceivedBefore <= 1.5 * ColdRate + 8);
}

} // namespace
} // namespace persimmonquay
