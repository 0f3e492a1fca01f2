// Tests of the program as processes on loopback, against stand-ins for the
// platform.
#include "persimmonquay/cli/explain.h"
#include "testing/platform/small_mesh.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace persimmonquay::testing {
namespace {

/// Generous for busy machines; a test that passes does not wait that long.
constexpr Millis WaitTimeout{40000};

/// Two nodes: `Caller` receives the test's calls; `Server` is beside the
/// upstream of the called service.
struct TwoNodes {
  TwoNodes() : Caller(Mesh.add("orders")), Server(Mesh.add("gallery")) {
    Mesh.publish(5, "gallery");
    REQUIRE(Mesh.waitUntilReady());
    REQUIRE(eventually(WaitTimeout, [this] {
      return Mesh.call(this->Caller, {.RequestId = "warm"}).Status == 200;
    }));
  }

  SmallMesh Mesh;
  TestNode &Caller;
  TestNode &Server;
};

/// Returns how often the upstream has received the request with this id.
std::size_t receivedCount(ScriptedUpstream &Upstream, const std::string &Id) {
  std::size_t Count = 0;
  for (const ReceivedRequest &Request : Upstream.received()) {
    const auto Found = Request.Headers.find("x-persimmonquay-request-id");
    Count += Found != Request.Headers.end() && Found->second == Id;
  }
  return Count;
}

TEST_CASE("a call passes through two nodes and its response is unchanged") {
  TwoNodes Setup;
  Setup.Server.Upstream->setHandler([](const ReceivedRequest &Request) {
    return responseTo(Request, 201, "a body of the upstream");
  });
  const CallResponse Response =
      Setup.Mesh.call(Setup.Caller, {.Method = "POST",
                                     .Target = "/orders/9?size=3",
                                     .Body = "one board",
                                     .RequestId = "call-7"});
  CHECK(Response.Status == 201);
  CHECK(Response.Body == "a body of the upstream");
  CHECK(Response.Headers.at("x-persimmonquay-response-signature") == "proof");
  CHECK(Response.Headers.at("x-persimmonquay-request-id") == "call-7");
  const ReceivedRequest Received = Setup.Server.Upstream->received().back();
  CHECK(Received.Method == "POST");
  CHECK(Received.Target == "/orders/9?size=3");
  CHECK(Received.Body == "one board");
  CHECK(Received.Headers.at("x-persimmonquay-calling-service") == "orders");
  CHECK(Received.Headers.at("x-persimmonquay-expected-instance") == "i-2");
  int RemainingMs = 0;
  REQUIRE(absl::SimpleAtoi(
      Received.Headers.at("x-persimmonquay-deadline-remaining"), &RemainingMs));
  // The route's timeout is shorter than the caller's deadline.
  CHECK(RemainingMs <= 3000);
  CHECK(RemainingMs > 0);
}

TEST_CASE("a node without a configuration rejects calls as not executed") {
  SmallMesh Mesh;
  TestNode &Node = Mesh.add("gallery");
  const CallResponse Response = Mesh.call(Node);
  CHECK(Response.Status == 503);
  CHECK(Response.Headers.contains("retry-after"));
}

TEST_CASE("a path without a route gets 404, a request without an id 400") {
  TwoNodes Setup;
  CHECK(Setup.Mesh.call(Setup.Caller, {.Target = "/other/1"}).Status == 404);
  const std::string Response =
      sendBytes(Setup.Caller.CallerPort,
                "GET /views/1 HTTP/1.1\r\nHost: boards.example\r\n"
                "Connection: close\r\n\r\n",
                WaitTimeout);
  CHECK(Response.starts_with("HTTP/1.1 400"));
}

TEST_CASE("a newer configuration takes effect, an older one never") {
  TwoNodes Setup;
  Setup.Mesh.publish(9, "orders");
  const auto Reaches = [&Setup](TestNode &Node, const std::string &Id) {
    Setup.Mesh.call(Setup.Caller, {.RequestId = Id});
    return receivedCount(*Node.Upstream, Id) == 1;
  };
  int Attempts = 0;
  CHECK(eventually(WaitTimeout, [&] {
    return Reaches(Setup.Caller, absl::StrCat("new-", Attempts++));
  }));
  Setup.Mesh.publish(7, "gallery");
  // A marker published after the older one: once it has been read, so has the
  // older one.
  Setup.Mesh.publish(11, "orders");
  for (int I = 0; I < 50; ++I)
    CHECK(Reaches(Setup.Caller, absl::StrCat("still-", I)));
}

TEST_CASE("a non-idempotent call runs once when its response is lost") {
  TwoNodes Setup;
  Setup.Server.Upstream->setHandler(
      [](const ReceivedRequest &) { return std::string(); });
  const CallResponse Response = Setup.Mesh.call(
      Setup.Caller,
      {.Method = "POST", .Target = "/orders/1", .RequestId = "once"});
  CHECK(Response.Status == 502);
  CHECK(receivedCount(*Setup.Server.Upstream, "once") == 1);
}

TEST_CASE("an idempotent call is retried at another upstream") {
  SmallMesh Mesh;
  TestNode &Caller = Mesh.add("orders");
  TestNode &Failing = Mesh.add("gallery");
  TestNode &Healthy = Mesh.add("gallery");
  Mesh.publish(5, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  Failing.Upstream->setHandler([](const ReceivedRequest &Request) {
    return responseTo(Request, 500, "broken");
  });
  REQUIRE(eventually(WaitTimeout, [&] {
    Mesh.call(Caller, {.RequestId = "warm"});
    return !Healthy.Upstream->received().empty() &&
           !Failing.Upstream->received().empty();
  }));
  // Whichever upstream is tried first, the caller gets the response of the
  // healthy one, as long as the retry budget is not used up.
  for (int I = 0; I < 5; ++I)
    CHECK(Mesh.call(Caller, {.RequestId = absl::StrCat("safe-", I)}).Status ==
          200);
}

// In simulated days of traffic, most of the bytes sent between data centres
// were bodies of calls that the other data centre then rejected.
TEST_CASE("a long body goes to another data centre only if accepted there") {
  SmallMesh Mesh;
  TestNode &Caller = Mesh.add("orders");
  TestNode &Remote = Mesh.add("gallery", "v1", "there");
  Mesh.publish(5, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  const CallOptions LongCall = {
      .Method = "POST", .Target = "/orders/1", .Body = std::string(5000, 'x')};
  REQUIRE(eventually(
      WaitTimeout, [&] { return Mesh.call(Caller, LongCall).Status == 200; }));
  CHECK(Remote.Upstream->received().back().Body == LongCall.Body);

  REQUIRE(Mesh.heartbeat(Remote, "draining") == 200);
  const std::size_t CountBefore = Remote.Upstream->received().size();
  CHECK(Mesh.call(Caller, LongCall).Status == 503);
  CHECK(Remote.Upstream->received().size() == CountBefore);
}

// In simulated days of traffic, an upstream that reset the connections of some
// calls received each of those twice; the retry budget did not count the
// second attempts.
TEST_CASE("a call that fails on a connection in use is not sent again") {
  TwoNodes Setup;
  Setup.Server.Upstream->setHandler([](const ReceivedRequest &Request) {
    return Request.Target == "/views/bad" ? std::string()
                                          : responseTo(Request, 200, "good");
  });
  constexpr int PairCount = 10;
  for (int I = 0; I < PairCount; ++I) {
    CHECK(Setup.Mesh.call(Setup.Caller, {.RequestId = absl::StrCat("good-", I)})
              .Status == 200);
    CHECK(Setup.Mesh
              .call(Setup.Caller, {.Target = "/views/bad", .RequestId = "bad"})
              .Status == 502);
  }
  // A call may be resent once when it fails on a connection that was idle;
  // after that nothing is resent.
  CHECK(receivedCount(*Setup.Server.Upstream, "bad") <= PairCount + 2);
}

TEST_CASE("bytes of another call's response are never returned to a caller") {
  TwoNodes Setup;
  Setup.Server.Upstream->setHandler([](const ReceivedRequest &Request) {
    ReceivedRequest Other = Request;
    Other.Headers["x-persimmonquay-request-id"] = "somebody-else";
    return responseTo(Request, 200, "first") +
           responseTo(Other, 200, "not yours");
  });
  for (int I = 0; I < 20; ++I) {
    const CallResponse Response =
        Setup.Mesh.call(Setup.Caller, {.RequestId = absl::StrCat("mine-", I)});
    CHECK(Response.Status == 200);
    CHECK(Response.Body == "first");
  }
}

TEST_CASE("a truncated response is not a success") {
  TwoNodes Setup;
  Setup.Server.Upstream->setHandler([](const ReceivedRequest &Request) {
    const std::string Full = responseTo(Request, 200, "whole body");
    return CloseAfterResponse + Full.substr(0, Full.size() - 3);
  });
  const CallResponse Response = Setup.Mesh.call(
      Setup.Caller,
      {.Method = "POST", .Target = "/orders/1", .RequestId = "cut"});
  CHECK(Response.Status == 502);
  CHECK(receivedCount(*Setup.Server.Upstream, "cut") == 1);
}

// The body of such a response was read as the response, and one without a body
// kept the caller waiting until its deadline.
TEST_CASE("a response with status 000 never reaches the caller") {
  TwoNodes Setup;
  for (const std::string Body :
       {"", "HTTP/1.1 200 OK\r\nX-Persimmonquay-Response-Signature: proof\r\n"
            "Content-Length: 6\r\n\r\nforged"}) {
    CAPTURE(Body);
    Setup.Server.Upstream->setHandler([Body](const ReceivedRequest &) {
      return absl::StrCat("HTTP/1.1 000 Trouble\r\nContent-Length: ",
                          Body.size(), "\r\n\r\n", Body);
    });
    for (const char *Target : {"/views/7", "/orders/7"}) {
      const MonoTime Start = monoNow();
      const CallResponse Response = Setup.Mesh.call(
          Setup.Caller, {.Target = Target, .RequestId = Target});
      CHECK(Response.Status == 502);
      CHECK(Response.Body.find("forged") == std::string::npos);
      // The route's timeout is 3 s.
      CHECK(monoNow() - Start < Millis(1500));
    }
    CHECK(receivedCount(*Setup.Server.Upstream, "/orders/7") >= 1);
  }
}

TEST_CASE("a response without the upstream's signature is not a success") {
  TwoNodes Setup;
  std::atomic<int> Calls = 0;
  Setup.Server.Upstream->setHandler([&Calls](const ReceivedRequest &Request) {
    ++Calls;
    std::string Response = responseTo(Request, 200, "whole body");
    const std::string Signature =
        "X-Persimmonquay-Response-Signature: proof\r\n";
    Response.erase(Response.find(Signature), Signature.size());
    return Response;
  });
  const CallResponse Response = Setup.Mesh.call(
      Setup.Caller,
      {.Method = "POST", .Target = "/orders/1", .RequestId = "bare"});
  CHECK(Response.Status == 502);
  CHECK(Calls == 1);
}

TEST_CASE("a request with two lengths is rejected and nothing is smuggled") {
  TwoNodes Setup;
  const std::string Bytes =
      "POST /orders/1 HTTP/1.1\r\nHost: boards.example\r\n"
      "X-Persimmonquay-Request-Id: outer\r\n"
      "X-Persimmonquay-Deadline-Remaining: 2000\r\n"
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\nGET /views/1 HTTP/1.1\r\nHost: boards.example\r\n"
      "X-Persimmonquay-Request-Id: inner\r\n\r\n";
  const std::string Response =
      sendBytes(Setup.Caller.CallerPort, Bytes, WaitTimeout);
  CHECK(Response.starts_with("HTTP/1.1 400"));
  CHECK(receivedCount(*Setup.Server.Upstream, "outer") == 0);
  CHECK(receivedCount(*Setup.Server.Upstream, "inner") == 0);
}

TEST_CASE("a draining upstream gets no more calls") {
  TwoNodes Setup;
  CHECK(Setup.Mesh.heartbeat(Setup.Server, "draining") == 200);
  const std::size_t CountBefore = Setup.Server.Upstream->received().size();
  for (int I = 0; I < 20; ++I) {
    const CallResponse Response =
        Setup.Mesh.call(Setup.Caller, {.RequestId = absl::StrCat("late-", I)});
    CHECK(Response.Status == 503);
  }
  CHECK(Setup.Server.Upstream->received().size() == CountBefore);
}

TEST_CASE("a malformed heartbeat is rejected and changes nothing") {
  TwoNodes Setup;
  const std::string Response = sendBytes(
      Setup.Server.RegistrationPort,
      "POST /-/Instances.Heartbeat/i-2 HTTP/1.1\r\nHost: x\r\n"
      "Connection: close\r\nContent-Length: 14\r\n\r\n{\"service\": 7}",
      WaitTimeout);
  CHECK(Response.starts_with("HTTP/1.1 400"));
  CHECK(Setup.Mesh.call(Setup.Caller, {.RequestId = "after"}).Status == 200);
}

TEST_CASE("a call whose caller disconnects is aborted at the upstream") {
  TwoNodes Setup;
  std::atomic<bool> Arrived = false;
  std::atomic<bool> Release = false;
  Setup.Server.Upstream->setHandler([&](const ReceivedRequest &Request) {
    Arrived = true;
    eventually(WaitTimeout, [&] { return Release.load(); });
    return responseTo(Request);
  });
  {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", Setup.Caller.CallerPort));
    const std::string Bytes =
        "GET /views/1 HTTP/1.1\r\nHost: boards.example\r\n"
        "X-Persimmonquay-Request-Id: gone\r\n"
        "X-Persimmonquay-Deadline-Remaining: 3000\r\n\r\n";
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    REQUIRE(eventually(WaitTimeout, [&] { return Arrived.load(); }));
  }
  // The upstream responds only after the node has noticed the disconnect,
  // because the node would read a response that is already there. The upstream
  // sees that its connection is closed once it is done with the request.
  REQUIRE(eventually(WaitTimeout, [&] {
    return Setup.Server.Sidecar->output().find("call given up by its caller") !=
           std::string::npos;
  }));
  const int CountBefore = Setup.Server.Upstream->closedByCaller();
  Release = true;
  CHECK(eventually(WaitTimeout, [&] {
    return Setup.Server.Upstream->closedByCaller() > CountBefore;
  }));
}

/// Sends several long non-idempotent calls through the caller's node at the
/// same time. Returns the statuses of the responses.
std::vector<int> callInParallel(TwoNodes &Setup, const std::string &IdPrefix,
                                std::uint32_t DeadlineMs) {
  constexpr int CallCount = 4;
  // Longer than what a node reads at once.
  const std::string Body(50000, 'b');
  std::vector<int> Statuses(CallCount);
  std::vector<std::thread> Callers;
  Callers.reserve(CallCount);
  for (int I = 0; I < CallCount; ++I)
    Callers.emplace_back([&, I] {
      Statuses[I] =
          Setup.Mesh
              .call(Setup.Caller, {.Method = "POST",
                                   .Target = "/orders/1",
                                   .Body = Body,
                                   .RequestId = absl::StrCat(IdPrefix, I),
                                   .DeadlineMs = DeadlineMs})
              .Status;
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  return Statuses;
}

// The frames of the calls and of their cancellation wait in the node's socket.
TEST_CASE("a paused node does not run calls that were given up meanwhile") {
  TwoNodes Setup;
  Setup.Server.Sidecar->signal(SIGSTOP);
  std::vector<int> Statuses;
  SUBCASE("cancelled at their deadline") {
    Statuses = callInParallel(Setup, "given-up-", 500);
    for (const int Status : Statuses)
      CHECK(Status == 504);
  }
  SUBCASE("their connection was closed") {
    std::thread CallerThread(
        [&] { Statuses = callInParallel(Setup, "given-up-", 5000); });
    std::this_thread::sleep_for(Millis(300));
    Setup.Caller.Sidecar->signal(SIGKILL);
    Setup.Caller.Sidecar->wait(WaitTimeout);
    CallerThread.join();
  }
  Setup.Server.Sidecar->signal(SIGCONT);
  // By the time of its response, the node has read what waited.
  Setup.Mesh.call(Setup.Server, {.RequestId = "after"});
  std::this_thread::sleep_for(Millis(300));
  for (std::size_t I = 0; I < Statuses.size(); ++I)
    CHECK(receivedCount(*Setup.Server.Upstream, absl::StrCat("given-up-", I)) ==
          0);
}

// After a crash, the same request runs once at a time; the second one waits at
// the gate for the first, without a limit of its own.
TEST_CASE(
    "an unsafe call that has not started in time is answered as not run") {
  TwoNodes Setup;
  std::atomic<bool> IsFirst = true;
  std::atomic<bool> Release = false;
  ScriptedUpstream &Upstream = *Setup.Server.Upstream;
  Upstream.setHandler([&](const ReceivedRequest &Request) -> std::string {
    if (Request.Target == "/health")
      return healthResponse(Setup.Server.Instance);
    if (Request.Target != "/orders/9")
      return responseTo(Request);
    if (IsFirst.exchange(false))
      return CrashUpstream;
    eventually(WaitTimeout, [&] { return Release.load(); });
    return responseTo(Request);
  });
  CallOptions Options{.Method = "POST", .Target = "/orders/9"};
  Options.RequestId = "crashing";
  CHECK(Setup.Mesh.call(Setup.Caller, Options).Status >= 500);
  Upstream.restart();
  Setup.Server.StartedUnixMs =
      static_cast<std::uint64_t>(unixMillis(wallNow()));
  Setup.Server.Sequence = 0;
  Setup.Mesh.heartbeat(Setup.Server);
  REQUIRE(eventually(WaitTimeout, [&] {
    return Setup.Mesh.call(Setup.Caller, {.RequestId = "again"}).Status == 200;
  }));

  CallResponse Running;
  Options.RequestId = "running";
  Options.DeadlineMs = 20000;
  std::thread Caller([&Setup, &Running, Options] {
    Running = Setup.Mesh.call(Setup.Caller, Options);
  });
  REQUIRE(eventually(WaitTimeout,
                     [&] { return receivedCount(Upstream, "running") == 1; }));
  Options.RequestId = "waiting";
  Options.DeadlineMs = 800;
  CHECK(Setup.Mesh.call(Setup.Caller, Options).Status == 503);
  Release = true;
  Caller.join();
  CHECK(receivedCount(Upstream, "waiting") == 0);
}

TEST_CASE("a paused node does not run a request whose caller has left") {
  TwoNodes Setup;
  Setup.Server.Sidecar->signal(SIGSTOP);
  {
    Poco::Net::StreamSocket Connection(
        Poco::Net::SocketAddress("127.0.0.1", Setup.Server.CallerPort));
    const std::string Request =
        "POST /orders/1 HTTP/1.1\r\nHost: boards.example\r\n"
        "X-Persimmonquay-Request-Id: left\r\n"
        "X-Persimmonquay-Deadline-Remaining: 400\r\n"
        "Content-Length: 0\r\n\r\n";
    Connection.sendBytes(Request.data(), static_cast<int>(Request.size()));
    std::this_thread::sleep_for(Millis(500));
  }
  Setup.Server.Sidecar->signal(SIGCONT);
  Setup.Mesh.call(Setup.Server, {.RequestId = "after"});
  std::this_thread::sleep_for(Millis(300));
  CHECK(receivedCount(*Setup.Server.Upstream, "left") == 0);
}

/// Sends the call from another thread and returns when it has arrived at the
/// server's upstream, which responds once `Release` is true.
std::thread startCall(TwoNodes &Setup, CallResponse &Response,
                      const CallOptions &Options,
                      const std::atomic<bool> &Release) {
  Setup.Server.Upstream->setHandler([&Release](const ReceivedRequest &Request) {
    eventually(WaitTimeout, [&] { return Release.load(); });
    return responseTo(Request);
  });
  std::thread Result([&Setup, &Response, Options] {
    Response = Setup.Mesh.call(Setup.Caller, Options);
  });
  REQUIRE(eventually(WaitTimeout, [&] {
    return receivedCount(*Setup.Server.Upstream, Options.RequestId) == 1;
  }));
  return Result;
}

TEST_CASE("a call that runs is not given up while a node is paused") {
  TwoNodes Setup;
  Setup.Mesh.publish(6, "gallery", 20000);
  REQUIRE(eventually(WaitTimeout, [&] {
    return Setup.Caller.Sidecar->output().find("\"version\":\"6\"") !=
           std::string::npos;
  }));
  std::atomic<bool> Release = false;
  CallResponse Response;
  std::thread CallerThread = startCall(Setup, Response,
                                       {.Method = "POST",
                                        .Target = "/orders/1",
                                        .RequestId = "slow",
                                        .DeadlineMs = 20000},
                                       Release);
  TestNode *Paused = nullptr;
  SUBCASE("the upstream's node") { Paused = &Setup.Server; }
  SUBCASE("the caller's node") { Paused = &Setup.Caller; }
  Paused->Sidecar->signal(SIGSTOP);
  std::this_thread::sleep_for(Millis(2500));
  Release = true;
  std::this_thread::sleep_for(Millis(200));
  Paused->Sidecar->signal(SIGCONT);
  CallerThread.join();
  INFO(Setup.Caller.Sidecar->output());
  INFO(Setup.Server.Sidecar->output());
  CHECK(Response.Status == 200);
  CHECK(receivedCount(*Setup.Server.Upstream, "slow") == 1);
}

TEST_CASE("an idempotent call is retried elsewhere if its node is silent") {
  TwoNodes Setup;
  TestNode &Other = Setup.Mesh.add("gallery");
  int CallCount = 0;
  REQUIRE(eventually(WaitTimeout, [&] {
    const std::string Id = absl::StrCat("warm-", ++CallCount);
    Setup.Mesh.call(Setup.Caller, {.RequestId = Id});
    return receivedCount(*Other.Upstream, Id) == 1;
  }));
  Setup.Server.Sidecar->signal(SIGSTOP);
  for (int I = 0; I < 4; ++I) {
    const CallResponse Retried =
        Setup.Mesh.call(Setup.Caller, {.RequestId = absl::StrCat("safe-", I)});
    CHECK(Retried.Status == 200);
  }
  Setup.Server.Sidecar->signal(SIGCONT);
}

TEST_CASE("SIGTERM lets a call under way end and then ends the process") {
  TwoNodes Setup;
  std::atomic<bool> Arrived = false;
  Setup.Server.Upstream->setHandler([&](const ReceivedRequest &Request) {
    Arrived = true;
    std::this_thread::sleep_for(Millis(1000));
    return responseTo(Request);
  });
  CallResponse Response;
  std::thread CallerThread([&] {
    Response = Setup.Mesh.call(Setup.Caller, {.RequestId = "under-way"});
  });
  REQUIRE(eventually(WaitTimeout, [&] { return Arrived.load(); }));
  Setup.Server.Sidecar->signal(SIGTERM);
  Setup.Caller.Sidecar->signal(SIGTERM);
  CallerThread.join();
  CHECK(Response.Status == 200);
  CHECK(Setup.Server.Sidecar->wait(WaitTimeout) == 0);
  CHECK(Setup.Caller.Sidecar->wait(WaitTimeout) == 0);
}

// Found by fault injection (hraunbord-mesh trouble-1, seed 791907464054): a
// request that arrived on a persistent connection in the last 50 ms was
// forwarded and never answered.
TEST_CASE("a stopping node answers every request that it has forwarded") {
  TwoNodes Setup;
  std::atomic<int> UnansweredRequests = 0;
  constexpr int CallerCount = 8;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Callers.emplace_back([&Setup, &UnansweredRequests, Caller] {
      Poco::Net::HTTPClientSession Session("127.0.0.1",
                                           Setup.Caller.CallerPort);
      Session.setKeepAlive(true);
      Session.setTimeout(Poco::Timespan(30, 0));
      for (int Call = 0;; ++Call) {
        const std::string Id = absl::StrCat("kept-", Caller, "-", Call);
        try {
          Poco::Net::HTTPRequest Request("GET", "/views/1", "HTTP/1.1");
          Request.setHost("boards.example");
          Request.setKeepAlive(true);
          Request.set("X-Persimmonquay-Request-Id", Id);
          Request.set("X-Persimmonquay-Deadline-Remaining", "3000");
          Session.sendRequest(Request);
          Poco::Net::HTTPResponse Response;
          std::istream &Body = Session.receiveResponse(Response);
          Body.ignore(1000000);
          if (!Response.getKeepAlive())
            Session.reset();
        } catch (const Poco::Exception &) {
          // The node has stopped without a response to this request, so it must
          // not have forwarded it.
          UnansweredRequests +=
              static_cast<int>(receivedCount(*Setup.Server.Upstream, Id));
          return;
        }
        std::this_thread::sleep_for(Millis(3 + Caller));
      }
    });
  Setup.Caller.Sidecar->signal(SIGTERM);
  CHECK(Setup.Caller.Sidecar->wait(WaitTimeout) == 0);
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(UnansweredRequests == 0);
}

TEST_CASE("SIGHUP reloads the settings, and invalid ones change nothing") {
  TwoNodes Setup;
  const std::string SettingsPath =
      absl::StrCat(Setup.Mesh.directory(), "/", Setup.Caller.Name, ".json");
  const auto Logs = [&](const std::string &Text) {
    return eventually(WaitTimeout, [&] {
      return Setup.Caller.Sidecar->output().find(Text) != std::string::npos;
    });
  };
  std::ifstream File(SettingsPath);
  nlohmann::json Settings = nlohmann::json::parse(File);
  Settings["log_level"] = "debug";
  Settings["memory_mb"] = 300;
  std::ofstream(SettingsPath) << Settings.dump();
  Setup.Caller.Sidecar->signal(SIGHUP);
  CHECK(Logs("settings read again"));
  CHECK(Logs("memory_mb"));
  std::ofstream(SettingsPath) << R"({"memory_mb": "much"})";
  Setup.Caller.Sidecar->signal(SIGHUP);
  CHECK(Logs("settings can't be read again; the last ones stay"));
  CHECK(Setup.Mesh.call(Setup.Caller, {.RequestId = "after"}).Status == 200);
}

TEST_CASE("calls are served in a store outage and after a later restart") {
  TwoNodes Setup;
  Setup.Mesh.store().setOutage(true);
  for (int I = 0; I < 10; ++I)
    CHECK(Setup.Mesh.call(Setup.Caller, {.RequestId = absl::StrCat("out-", I)})
              .Status == 200);
  Setup.Mesh.store().setOutage(false);
  Setup.Mesh.store().compactTopic("keyed.op");
  Setup.Mesh.startNode(Setup.Caller);
  Setup.Mesh.startNode(Setup.Server);
  REQUIRE(eventually(
      WaitTimeout, [&] { return Setup.Mesh.heartbeat(Setup.Server) == 200; }));
  CHECK(eventually(WaitTimeout, [&] {
    return Setup.Mesh.call(Setup.Caller, {.RequestId = "again"}).Status == 200;
  }));
}

TEST_CASE("a restarted node restores its upstream without a heartbeat") {
  TwoNodes Setup;
  // The upstream is stored with the node's entry.
  REQUIRE(eventually(WaitTimeout, [&] {
    const auto Entry =
        Setup.Mesh.store().newestValue("keyed.nodes", Setup.Server.Name);
    return Entry && Entry->find(Setup.Server.Instance) != std::string::npos;
  }));
  Setup.Mesh.startNode(Setup.Server);
  CHECK(eventually(WaitTimeout, [&] {
    return Setup.Mesh.call(Setup.Caller, {.RequestId = "after"}).Status == 200;
  }));
}

TEST_CASE("a stored upstream that has since been replaced gets no calls") {
  TwoNodes Setup;
  REQUIRE(eventually(WaitTimeout, [&] {
    const auto Entry =
        Setup.Mesh.store().newestValue("keyed.nodes", Setup.Server.Name);
    return Entry && Entry->find(Setup.Server.Instance) != std::string::npos;
  }));
  Setup.Server.Upstream->setHandler([](const ReceivedRequest &Request) {
    return Request.Target == "/health" ? healthResponse("another")
                                       : responseTo(Request);
  });
  Setup.Mesh.startNode(Setup.Server);
  REQUIRE(eventually(WaitTimeout, [&] {
    return Setup.Server.Sidecar->output().find("stored upstream checked") !=
           std::string::npos;
  }));
  for (int I = 0; I < 5; ++I)
    CHECK(Setup.Mesh.call(Setup.Caller, {.RequestId = absl::StrCat("gone-", I)})
              .Status == 503);
}

/// Kills a node and starts it again. Returns when it has read the stored routes
/// and confirms the messages of its upstream.
void restartNode(SmallMesh &Mesh, TestNode &Node) {
  Mesh.startNode(Node);
  REQUIRE(eventually(WaitTimeout, [&] {
    return Mesh.call(Node, {.Target = "/other/1"}).Status == 404;
  }));
}

/// Sends a few calls through the upstream's own node, which would offer them to
/// it at once, and checks that none reaches it.
void checkUnused(TwoNodes &Setup, const std::string &IdPrefix) {
  for (int I = 0; I < 5; ++I) {
    const std::string Id = absl::StrCat(IdPrefix, I);
    CHECK(Setup.Mesh.call(Setup.Server, {.RequestId = Id}).Status == 503);
    CHECK(receivedCount(*Setup.Server.Upstream, Id) == 0);
  }
}

// The upstream claims to be healthy until it exits, so that only the memory of
// its departure keeps the node from using it.
TEST_CASE("a departed upstream stays unused over restarts of its node") {
  TwoNodes Setup;
  restartNode(Setup.Mesh, Setup.Server);
  CHECK(Setup.Mesh.deregister(Setup.Server) == 200);
  // A heartbeat that was sent before the departure arrives late.
  CHECK(Setup.Mesh.heartbeat(Setup.Server) == 200);
  checkUnused(Setup, "left-");
  for (int Restart = 0; Restart < 2; ++Restart) {
    restartNode(Setup.Mesh, Setup.Server);
    CHECK(Setup.Mesh.heartbeat(Setup.Server) == 200);
    checkUnused(Setup, absl::StrCat("restart-", Restart, "-"));
  }
  // A later incarnation of the instance is used.
  Setup.Server.StartedUnixMs += 3600000;
  Setup.Server.Sequence = 0;
  CHECK(Setup.Mesh.heartbeat(Setup.Server) == 200);
  CHECK(eventually(WaitTimeout, [&] {
    return Setup.Mesh.call(Setup.Caller, {.RequestId = "new"}).Status == 200;
  }));
}

// The node hears from the upstream before the slow store has told it of the
// departure that its earlier run had confirmed.
TEST_CASE("a heartbeat waits until the node has read its stored entry") {
  TwoNodes Setup;
  CHECK(Setup.Mesh.deregister(Setup.Server) == 200);
  Setup.Mesh.store().delayResponses(Millis(200));
  Setup.Mesh.startNode(Setup.Server);
  REQUIRE(eventually(
      WaitTimeout, [&] { return Setup.Mesh.heartbeat(Setup.Server) == 200; }));
  Setup.Mesh.store().delayResponses(Millis(0));
  REQUIRE(eventually(WaitTimeout, [&] {
    return Setup.Mesh.call(Setup.Server, {.Target = "/other/1"}).Status == 404;
  }));
  checkUnused(Setup, "left-");
  // Log lines are written with a delay; this one comes last.
  Setup.Server.Sidecar->signal(SIGTERM);
  CHECK(Setup.Server.Sidecar->wait(WaitTimeout) == 0);
  const std::string Output = Setup.Server.Sidecar->output();
  CHECK(Output.find("\"message\":\"stopped\"") != std::string::npos);
  CHECK(Output.find("\"state\":\"ready\"") == std::string::npos);
}

TEST_CASE("an entry that is stored late does not undo a later departure") {
  TwoNodes Setup;
  const auto StoredEntry = [&] {
    return Setup.Mesh.store()
        .newestValue("keyed.nodes", Setup.Server.Name)
        .value_or("");
  };
  REQUIRE(eventually(WaitTimeout, [&] {
    return StoredEntry().find(Setup.Server.Instance) != std::string::npos;
  }));
  // The first of two departures is stored late.
  Setup.Mesh.store().delayAppends(1);
  CHECK(Setup.Mesh.deregister(Setup.Server) == 200);
  Setup.Server.Instance = "i-second";
  Setup.Server.StartedUnixMs += 10000;
  CHECK(Setup.Mesh.heartbeat(Setup.Server) == 200);
  CHECK(Setup.Mesh.heartbeat(Setup.Server, "draining") == 200);
  REQUIRE(eventually(WaitTimeout, [&] {
    return StoredEntry().find("i-second") != std::string::npos;
  }));
  const std::string BeforeLateAppend = StoredEntry();
  Setup.Mesh.store().carryOutDelayed();
  CHECK(StoredEntry() == BeforeLateAppend);
  restartNode(Setup.Mesh, Setup.Server);
  CHECK(Setup.Mesh.heartbeat(Setup.Server) == 200);
  checkUnused(Setup, "left-");
}

TEST_CASE("a node is found although the response to storing it was lost") {
  SmallMesh Mesh;
  Mesh.store().loseAppendResponses(1);
  TestNode &Caller = Mesh.add("orders");
  Mesh.add("gallery");
  Mesh.publish(5, "gallery");
  REQUIRE(Mesh.waitUntilReady());
  CHECK(eventually(WaitTimeout, [&] {
    return Mesh.call(Caller, {.RequestId = "found"}).Status == 200;
  }));
}

/// Returns what `persimmonquay explain` prints about a request, given the
/// output of all nodes.
std::string explainRequest(SmallMesh &Mesh, const std::string &Id) {
  std::vector<RequestEvent> Events;
  for (const std::unique_ptr<TestNode> &Node : Mesh.nodes()) {
    std::istringstream Lines(Node->Sidecar->output());
    collectEvents(Lines, Id, &Events);
  }
  return formatEvents(Events);
}

// This and the next two tests follow the three ways that docs/OPERATIONS.md
// describes from a failed request to the cause of its failure.
TEST_CASE("logs lead from a request without a response to the lost response") {
  TwoNodes Setup;
  Setup.Server.Upstream->setHandler(
      [](const ReceivedRequest &) { return std::string(); });
  Setup.Mesh.call(
      Setup.Caller,
      {.Method = "POST", .Target = "/orders/1", .RequestId = "lost-1"});
  CHECK(eventually(WaitTimeout, [&] {
    const std::string Text = explainRequest(Setup.Mesh, "lost-1");
    return Text.find("call ended at the upstream") != std::string::npos &&
           Text.find("outcome=UNKNOWN") != std::string::npos &&
           Text.find("status=502") != std::string::npos;
  }));
}

TEST_CASE("logs lead from a rejected request to the drain of its upstream") {
  TwoNodes Setup;
  Setup.Mesh.heartbeat(Setup.Server, "draining");
  Setup.Mesh.call(Setup.Caller, {.RequestId = "rejected-1"});
  CHECK(eventually(WaitTimeout, [&] {
    const std::string Text = explainRequest(Setup.Mesh, "rejected-1");
    return Text.find("status=503") != std::string::npos &&
           Setup.Server.Sidecar->output().find("\"state\":\"draining\"") !=
               std::string::npos;
  }));
}

TEST_CASE("logs lead from a request without a route to the configuration") {
  TwoNodes Setup;
  Setup.Mesh.call(Setup.Caller, {.Target = "/gone/1", .RequestId = "route-1"});
  CHECK(eventually(WaitTimeout, [&] {
    const std::string Text = explainRequest(Setup.Mesh, "route-1");
    return Text.find("status=404") != std::string::npos &&
           Text.find("config_version=5") != std::string::npos;
  }));
}

/// Returns the state of the rollout as the operator reads it, or an empty
/// string before it is stored.
std::string rolloutState(SmallMesh &Mesh) {
  const std::optional<std::string> Text =
      Mesh.store().newestValue("keyed.status", "rollout/gallery");
  if (!Text)
    return "";
  return nlohmann::json::parse(*Text)["state"].get<std::string>();
}

/// Orders a rollout of version v2 and sends calls until it has ended. Returns
/// its last state.
std::string runRollout(SmallMesh &Mesh, TestNode &Caller) {
  Mesh.store().put(
      "keyed.op", "rollout/gallery",
      R"({"service":"gallery","target_version":"v2","duration_s":8})");
  int Call = 0;
  eventually(WaitTimeout, [&] {
    for (int I = 0; I < 8; ++I)
      Mesh.call(Caller, {.RequestId = absl::StrCat("roll-", Call++)});
    const std::string State = rolloutState(Mesh);
    return State == "completed" || State == "rolled_back";
  });
  return rolloutState(Mesh);
}

/// Three nodes: `Caller` receives the test's calls; `OldVersion` and
/// `NewVersion` are beside upstreams of versions v1 and v2.
struct ThreeNodes {
  ThreeNodes()
      : Caller(Mesh.add("orders")), OldVersion(Mesh.add("gallery")),
        NewVersion(Mesh.add("gallery", "v2")) {
    Mesh.publish(5, "gallery");
    REQUIRE(Mesh.waitUntilReady());
    REQUIRE(eventually(WaitTimeout, [this] {
      return Mesh.call(this->Caller, {.RequestId = "warm"}).Status == 200;
    }));
  }

  SmallMesh Mesh;
  TestNode &Caller;
  TestNode &OldVersion;
  TestNode &NewVersion;
};

/// Returns the nodes' log lines about decisions on rollouts.
std::string rolloutDecisions(SmallMesh &Mesh) {
  std::string Result;
  for (const std::unique_ptr<TestNode> &Node : Mesh.nodes()) {
    std::istringstream Lines(Node->Sidecar->output());
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.find("rollout decided") != std::string::npos)
        Result += Line + "\n";
  }
  return Result;
}

TEST_CASE("a version without a rollout order gets no calls") {
  ThreeNodes Setup;
  // Until the node knows the upstream of the old version, the one of the new
  // version is its only upstream.
  REQUIRE(eventually(WaitTimeout, [&] {
    Setup.Mesh.call(Setup.Caller, {.RequestId = "warm"});
    return !Setup.OldVersion.Upstream->received().empty();
  }));
  const std::size_t CountBefore = Setup.NewVersion.Upstream->received().size();
  for (int I = 0; I < 40; ++I)
    Setup.Mesh.call(Setup.Caller, {.RequestId = absl::StrCat("none-", I)});
  CHECK(Setup.NewVersion.Upstream->received().size() == CountBefore);
}

TEST_CASE("the rollout of a good version completes and it gets all calls") {
  ThreeNodes Setup;
  const std::string State = runRollout(Setup.Mesh, Setup.Caller);
  CHECK_MESSAGE(State == "completed", rolloutDecisions(Setup.Mesh));
  const std::size_t CountBefore = Setup.OldVersion.Upstream->received().size();
  for (int I = 0; I < 20; ++I)
    CHECK(Setup.Mesh.call(Setup.Caller, {.RequestId = absl::StrCat("done-", I)})
              .Status == 200);
  CHECK(Setup.OldVersion.Upstream->received().size() == CountBefore);
}

TEST_CASE("the rollout of a bad version is rolled back and it gets no calls") {
  ThreeNodes Setup;
  Setup.NewVersion.Upstream->setHandler([](const ReceivedRequest &Request) {
    return responseTo(Request, 500, "broken");
  });
  const std::string State = runRollout(Setup.Mesh, Setup.Caller);
  CHECK_MESSAGE(State == "rolled_back", rolloutDecisions(Setup.Mesh));
  const std::size_t CountBefore = Setup.NewVersion.Upstream->received().size();
  for (int I = 0; I < 20; ++I)
    CHECK(Setup.Mesh.call(Setup.Caller, {.RequestId = absl::StrCat("back-", I)})
              .Status == 200);
  CHECK(Setup.NewVersion.Upstream->received().size() == CountBefore);
}

} // namespace
} // namespace persimmonquay::testing
