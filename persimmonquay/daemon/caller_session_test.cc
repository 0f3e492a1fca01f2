// Tests of pipelined connections over real sockets.
#include "persimmonquay/daemon/caller_server.h"
#include "persimmonquay/daemon/sockets.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmonquay {
namespace {

std::string requestFor(const std::string &Target, const std::string &Body = "",
                       const std::string &Headers = "") {
  return absl::StrCat(
      Body.empty() ? "GET " : "POST ", Target, " HTTP/1.1\r\nHost: h\r\n",
      Headers,
      Body.empty() ? "" : absl::StrCat("Content-Length: ", Body.size(), "\r\n"),
      "\r\n", Body);
}

/// A server whose handler responds to a request only when the test releases its
/// target, and one caller. Requests to "/unsafe..." are not idempotent.
class PipelineFixture {
public:
  explicit PipelineFixture(const CallerServerLimits &Limits = {})
      : Server(std::make_shared<CallerServer>(
            this->Context, [Limits] { return Limits; },
            [this](std::shared_ptr<CallerRequest> Request) {
              return this->respond(std::move(Request));
            })),
        Caller(this->Context) {
    this->Server->setIdempotencyCheck([](const HttpRequest &Message) {
      return !std::string_view(Message.target()).starts_with("/unsafe");
    });
    absl::StatusOr<Tcp::acceptor> Acceptor =
        listenOn(this->Context, Tcp::endpoint(asio::ip::address_v4::loopback(),
                                              /*port_num=*/0));
    REQUIRE(Acceptor.ok());
    this->Address = Acceptor->local_endpoint();
    this->Server->start(*std::move(Acceptor));
    this->Caller.connect(this->Address);
    this->Caller.non_blocking(true);
  }

  void send(const std::string &Bytes) {
    this->Caller.non_blocking(false);
    asio::write(this->Caller, asio::buffer(Bytes));
    this->Caller.non_blocking(true);
  }

  /// Lets the handler of a target respond.
  void release(const std::string &Target, unsigned Status = 200,
               const std::string &Body = "") {
    this->Released[Target] = {Status, Body};
  }

  bool hasStarted(const std::string &Target) const {
    return this->Started.contains(Target);
  }

  /// Runs the event loop for a while, for checks that something does not
  /// happen.
  void runFor(Millis Duration) {
    const MonoTime End = monoNow() + Duration;
    while (monoNow() < End) {
      this->Context.run_one_for(Millis(5));
      this->receive();
    }
  }

  template <typename F> void runUntil(F &&Condition) {
    const MonoTime Deadline = monoNow() + std::chrono::seconds(10);
    while (!Condition() && monoNow() < Deadline) {
      this->Context.run_one_for(Millis(5));
      this->receive();
    }
    REQUIRE(Condition());
  }

  /// Reads what has arrived at the caller.
  void receive() {
    std::array<char, 65536> Bytes;
    ErrorCode Error;
    while (!Error && !this->IsReadingPaused) {
      const std::size_t Size =
          this->Caller.read_some(asio::buffer(Bytes), Error);
      this->Received.append(Bytes.data(), Size);
    }
    if (Error && Error != asio::error::would_block)
      this->IsEnded = true;
  }

  /// Returns the responses received so far, parsed from `Received`.
  std::vector<HttpResponse> responses() const {
    std::vector<HttpResponse> Result;
    HttpDecoder<false> Decoder;
    std::string_view Rest = this->Received;
    while (true) {
      const DecodeResult Step =
          Decoder.decode({.MaxHeaderBytes = 10000, .MaxBodyBytes = 1U << 24U});
      if (Step == DecodeResult::Complete) {
        Result.push_back(Decoder.takeMessage());
        continue;
      }
      REQUIRE(Step == DecodeResult::Incomplete);
      if (Rest.empty())
        return Result;
      const asio::mutable_buffer Space = Decoder.prepare();
      const std::size_t Size = std::min(Space.size(), Rest.size());
      std::copy_n(Rest.data(), Size, static_cast<char *>(Space.data()));
      Decoder.commit(Size);
      Rest.remove_prefix(Size);
    }
  }

  /// Returns the targets that the received responses belong to.
  std::vector<std::string> answeredTargets() const {
    std::vector<std::string> Result;
    for (const HttpResponse &Response : this->responses())
      Result.emplace_back(Response["x-target"]);
    return Result;
  }

  asio::io_context Context;
  std::shared_ptr<CallerServer> Server;
  Tcp::endpoint Address;
  Tcp::socket Caller;
  /// Requests whose handler has started, by target.
  std::map<std::string, std::shared_ptr<CallerRequest>> Started;
  std::vector<std::string> StartOrder;
  std::set<std::string> Cancelled;
  /// Targets whose handlers have responded.
  std::set<std::string> Responded;
  std::string Received;
  bool IsEnded = false;
  bool IsReadingPaused = false;

private:
  struct Answer {
    unsigned Status;
    std::string Body;
  };

  asio::awaitable<HttpResponse>
  respond(std::shared_ptr<CallerRequest> Request) {
    const std::string Target(Request->Message.target());
    this->Started[Target] = Request;
    this->StartOrder.push_back(Target);
    while (!this->Released.contains(Target) && !Request->CallerDisconnected) {
      Request->WakeTimer.expires_after(Millis(2));
      co_await Request->WakeTimer.async_wait(NoThrow);
    }
    if (Request->CallerDisconnected)
      this->Cancelled.insert(Target);
    HttpResponse Response;
    Response.set("x-target", Target);
    const auto Found = this->Released.find(Target);
    if (Found != this->Released.end()) {
      Response.result(Found->second.Status);
      Response.body() = Found->second.Body;
      if (Found->second.Status == 503)
        Response.set(http::field::retry_after, "0.600");
    }
    this->Responded.insert(Target);
    co_return Response;
  }

  std::map<std::string, Answer> Released;
};

using Targets = std::vector<std::string>;

TEST_CASE("quick requests run behind a slow one and are answered in order") {
  PipelineFixture Fixture;
  Fixture.send(requestFor("/slow") + requestFor("/b") + requestFor("/c"));
  Fixture.runUntil([&] { return Fixture.hasStarted("/c"); });
  CHECK(Fixture.Started.at("/c")->RequestsAhead == 2);
  Fixture.release("/c");
  Fixture.release("/b");
  Fixture.runFor(Millis(30));
  CHECK(Fixture.Received.empty());
  Fixture.release("/slow");
  Fixture.runUntil([&] { return Fixture.responses().size() == 3; });
  CHECK(Fixture.answeredTargets() == Targets{"/slow", "/b", "/c"});
}

TEST_CASE("a non-idempotent request waits for the responses before it") {
  PipelineFixture Fixture;
  Fixture.send(requestFor("/a") + requestFor("/unsafe") + requestFor("/c"));
  Fixture.runUntil([&] { return Fixture.hasStarted("/a"); });
  Fixture.runFor(Millis(30));
  CHECK_FALSE(Fixture.hasStarted("/unsafe"));
  Fixture.release("/a");
  Fixture.runUntil([&] { return Fixture.hasStarted("/unsafe"); });
  CHECK(Fixture.Started.at("/unsafe")->RequestsAhead == 0);
  Fixture.runFor(Millis(30));
  CHECK_FALSE(Fixture.hasStarted("/c"));
  Fixture.release("/unsafe");
  Fixture.release("/c");
  Fixture.runUntil([&] { return Fixture.responses().size() == 3; });
}

TEST_CASE("nothing behind a request that closes the connection is handled") {
  PipelineFixture Fixture;
  Fixture.send(requestFor("/a") +
               requestFor("/b", "", "Connection: close\r\n") +
               requestFor("/c"));
  Fixture.runUntil([&] { return Fixture.hasStarted("/b"); });
  Fixture.release("/b");
  Fixture.release("/a");
  Fixture.runUntil([&] { return Fixture.responses().size() == 2; });
  CHECK(Fixture.responses()[0].keep_alive());
  CHECK_FALSE(Fixture.responses()[1].keep_alive());
  Fixture.runUntil([&] { return Fixture.IsEnded; });
  CHECK_FALSE(Fixture.hasStarted("/c"));
  // The unread request must not reset the connection before the caller has
  // read the responses.
  CHECK(Fixture.Server->connectionCount() == 1);
  Fixture.Caller.close();
  Fixture.runUntil([&] { return Fixture.Server->connectionCount() == 0; });
}

TEST_CASE("a response is not lost because of requests behind it") {
  PipelineFixture Fixture;
  Fixture.IsReadingPaused = true;
  Fixture.send(requestFor("/a", "", "Connection: close\r\n") +
               requestFor("/b") + requestFor("/c"));
  Fixture.release("/a", 200, std::string(20000, 'x'));
  Fixture.runUntil([&] { return Fixture.hasStarted("/a"); });
  Fixture.runFor(Millis(100));
  // Bytes that arrive at a closed socket would reset the connection.
  ErrorCode IgnoredError;
  Fixture.Caller.write_some(asio::buffer(requestFor("/d")), IgnoredError);
  Fixture.runFor(Millis(50));
  Fixture.IsReadingPaused = false;
  Fixture.runUntil([&] { return Fixture.IsEnded; });
  REQUIRE(Fixture.responses().size() == 1);
  CHECK(Fixture.responses()[0].body().size() == 20000);
}

TEST_CASE("a caller that does not close a finished connection is cut off") {
  PipelineFixture Fixture;
  Fixture.send(requestFor("/a", "", "Connection: close\r\n"));
  Fixture.release("/a");
  const MonoTime Start = monoNow();
  Fixture.runUntil([&] { return Fixture.Server->connectionCount() == 0; });
  CHECK(monoNow() - Start < std::chrono::seconds(5));
}

TEST_CASE("a drain answers what runs and drops what waits") {
  PipelineFixture Fixture;
  Fixture.send(requestFor("/a") + requestFor("/b") + requestFor("/unsafe") +
               requestFor("/d"));
  Fixture.runUntil([&] { return Fixture.hasStarted("/b"); });
  // The second response is ready, but its turn has not come.
  Fixture.release("/b");
  Fixture.runFor(Millis(20));
  Fixture.Server->startDraining(Millis(1000));
  Fixture.send(requestFor("/late"));
  Fixture.runFor(Millis(20));
  Fixture.release("/a");
  Fixture.runUntil([&] { return Fixture.responses().size() == 2; });
  CHECK(Fixture.responses()[0].keep_alive());
  CHECK_FALSE(Fixture.responses()[1].keep_alive());
  Fixture.runFor(Millis(30));
  CHECK(Fixture.StartOrder == Targets{"/a", "/b"});
  CHECK(Fixture.Server->requestsInFlight() == 0);
}

TEST_CASE("a request that is being received when the drain starts is served") {
  PipelineFixture Fixture;
  const std::string Request = requestFor("/a", "body");
  Fixture.send(Request.substr(0, Request.size() - 2));
  Fixture.runFor(Millis(20));
  Fixture.Server->startDraining(Millis(1000));
  Fixture.runFor(Millis(20));
  Fixture.send(Request.substr(Request.size() - 2) + requestFor("/b"));
  Fixture.release("/a");
  Fixture.runUntil([&] { return Fixture.responses().size() == 1; });
  CHECK_FALSE(Fixture.responses()[0].keep_alive());
  CHECK_FALSE(Fixture.hasStarted("/b"));
}

TEST_CASE("connections in the accept queue are served when accepting stops") {
  PipelineFixture Fixture;
  Fixture.runFor(Millis(10));
  // The event loop doesn't run between the connection and the stop.
  Tcp::socket Late(Fixture.Context);
  Late.connect(Fixture.Address);
  asio::write(Late, asio::buffer(requestFor("/late")));
  Fixture.Server->startDraining(Millis(500));
  Fixture.Server->stopAccepting();
  Fixture.release("/late");
  Fixture.runUntil([&] { return Late.available() > 0; });
  std::string Bytes(4096, '\0');
  Bytes.resize(Late.read_some(asio::buffer(Bytes)));
  CHECK(Bytes.starts_with("HTTP/1.1 200"));
  CHECK(Bytes.find("Connection: close") != std::string::npos);
}

void checkCancelledSoon(PipelineFixture &Fixture, std::size_t Count) {
  const MonoTime Start = monoNow();
  Fixture.Caller.close();
  Fixture.IsReadingPaused = true;
  Fixture.runUntil([&] { return Fixture.Cancelled.size() == Count; });
  CHECK(monoNow() - Start < Millis(500));
  Fixture.runUntil([&] { return Fixture.Server->connectionCount() == 0; });
  CHECK(Fixture.Server->requestsInFlight() == 0);
}

TEST_CASE("a disconnect cancels every request of the connection") {
  PipelineFixture Fixture;
  Fixture.send(requestFor("/a") + requestFor("/b") + requestFor("/unsafe"));
  Fixture.runUntil([&] { return Fixture.hasStarted("/b"); });
  // Part of another request.
  Fixture.send("GET /x HT");
  Fixture.runFor(Millis(20));
  checkCancelledSoon(Fixture, 2);
  CHECK_FALSE(Fixture.hasStarted("/unsafe"));
}

TEST_CASE("a disconnect is noticed behind requests that are not read yet") {
  CallerServerLimits Limits;
  Limits.Pipeline.MaxRequests = 2;
  PipelineFixture Fixture(Limits);
  Fixture.send(requestFor("/a") + requestFor("/b"));
  Fixture.runUntil([&] { return Fixture.hasStarted("/b"); });
  Fixture.send(requestFor("/c") + requestFor("/d"));
  Fixture.runFor(Millis(50));
  CHECK_FALSE(Fixture.hasStarted("/c"));
  checkCancelledSoon(Fixture, 2);
}

TEST_CASE("a disconnect is noticed behind the last request of a connection") {
  PipelineFixture Fixture;
  Fixture.send(requestFor("/a", "", "Connection: close\r\n"));
  Fixture.runUntil([&] { return Fixture.hasStarted("/a"); });
  checkCancelledSoon(Fixture, 1);
}

TEST_CASE("requests before one that can't be read are answered first") {
  const std::string Oversized =
      "POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n";
  const std::string LongHeader = requestFor(
      "/long", "", absl::StrCat("A: ", std::string(20000, 'a'), "\r\n"));
  for (const auto &[Bytes, ExpectedStatus] : std::map<std::string, unsigned>{
           {"nonsense\r\n\r\n", 400}, {Oversized, 413}, {LongHeader, 431}}) {
    const unsigned Status = ExpectedStatus;
    CAPTURE(Status);
    PipelineFixture Fixture;
    Fixture.send(requestFor("/a") + Bytes + requestFor("/after"));
    Fixture.runUntil([&] { return Fixture.hasStarted("/a"); });
    Fixture.runFor(Millis(20));
    CHECK(Fixture.Received.empty());
    Fixture.release("/a");
    Fixture.runUntil([&] { return Fixture.responses().size() == 2; });
    CHECK(Fixture.responses()[1].result_int() == Status);
    CHECK_FALSE(Fixture.responses()[1].keep_alive());
    Fixture.runFor(Millis(20));
    CHECK_FALSE(Fixture.hasStarted("/after"));
  }
}

TEST_CASE("a header that is sent too slowly ends the connection") {
  CallerServerLimits Limits;
  Limits.HeaderTimeout = Millis(100);
  PipelineFixture Fixture(Limits);
  Fixture.send(requestFor("/a") + "GET /x HTTP/1.1\r\n");
  // Each piece comes soon after the last one, but the header never ends.
  for (int I = 0; I < 10 && Fixture.Server->requestsInFlight() < 2; ++I) {
    Fixture.runFor(Millis(30));
    Fixture.send("A: b\r\n");
  }
  Fixture.release("/a");
  Fixture.runUntil([&] { return Fixture.responses().size() == 2; });
  CHECK(Fixture.responses()[1].result_int() == 408);
}

TEST_CASE("a body that trickles ends the connection, others are unharmed") {
  CallerServerLimits Limits;
  Limits.BodyTimeout = Millis(150);
  PipelineFixture Fixture(Limits);
  Fixture.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
               "\r\n\r\n");
  for (int I = 0; I < 20 && Fixture.Received.empty(); ++I) {
    Fixture.send("1\r\nx\r\n");
    Fixture.runFor(Millis(20));
  }
  Fixture.runUntil([&] { return Fixture.responses().size() == 1; });
  CHECK(Fixture.responses()[0].result_int() == 408);
  CHECK_FALSE(Fixture.hasStarted("/a"));
}

TEST_CASE("chunk extensions and trailers without end are refused") {
  for (const std::string &Unit : {std::string("1;"), std::string("0\r\n")}) {
    PipelineFixture Fixture;
    Fixture.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                 "\r\n\r\n" +
                 Unit);
    const std::string Filler =
        Unit == "1;" ? std::string(1000, 'x') : std::string("a: b\r\n");
    for (int I = 0; I < 20000 && Fixture.Received.empty(); ++I) {
      ErrorCode IgnoredError;
      Fixture.Caller.write_some(asio::buffer(Filler), IgnoredError);
      Fixture.Context.poll();
      Fixture.receive();
    }
    Fixture.runUntil([&] { return Fixture.responses().size() == 1; });
    CHECK(Fixture.responses()[0].result_int() == 431);
  }
}

TEST_CASE("a body is received while an earlier request runs") {
  PipelineFixture Fixture;
  const std::string Upload = requestFor("/upload", std::string(5000, 'u'));
  Fixture.send(requestFor("/a") + Upload.substr(0, 3000));
  Fixture.runUntil([&] { return Fixture.hasStarted("/a"); });
  Fixture.release("/a");
  Fixture.runUntil([&] { return Fixture.responses().size() == 1; });
  Fixture.send(Upload.substr(3000));
  Fixture.runUntil([&] { return Fixture.hasStarted("/upload"); });
  CHECK(Fixture.Started.at("/upload")->Message.body().size() == 5000);
}

TEST_CASE("100 Continue is not sent between the responses") {
  PipelineFixture Fixture;
  Fixture.send(requestFor("/a") +
               "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
               "Expect: 100-continue\r\n\r\n");
  Fixture.runUntil([&] { return Fixture.hasStarted("/a"); });
  Fixture.runFor(Millis(30));
  CHECK(Fixture.Received.empty());
  Fixture.release("/a");
  Fixture.runUntil([&] {
    return Fixture.Received.find("100 Continue") != std::string::npos;
  });
  CHECK(Fixture.Received.starts_with("HTTP/1.1 200"));
  Fixture.send("body");
  Fixture.runUntil([&] { return Fixture.hasStarted("/b"); });
}

TEST_CASE("a caller that reads no response occupies bounded memory") {
  CallerServerLimits Limits;
  Limits.Pipeline.MaxRequests = 1000;
  Limits.Pipeline.MaxBytes = 1U << 20U;
  Limits.MaxPipelineBytes = 1U << 30U;
  PipelineFixture Fixture(Limits);
  Fixture.IsReadingPaused = true;
  const std::string Body(300000, 'b');
  std::string Requests;
  for (int I = 0; I < 200; ++I) {
    const std::string Target = absl::StrCat("/", I);
    Fixture.release(Target, 200, Body);
    Requests += requestFor(Target);
  }
  Fixture.send(Requests);
  Fixture.runFor(Millis(200));
  const std::size_t StartedCount = Fixture.Started.size();
  // The sockets take some megabytes.
  CHECK(StartedCount < 60);
  Fixture.runFor(Millis(100));
  CHECK(Fixture.Started.size() == StartedCount);
  // Another caller is served meanwhile.
  Tcp::socket Other(Fixture.Context);
  Other.connect(Fixture.Address);
  asio::write(Other, asio::buffer(requestFor("/1")));
  Fixture.runUntil([&] { return Other.available() > 0; });
  // Reading lets the rest follow.
  Fixture.IsReadingPaused = false;
  Fixture.runUntil([&] { return Fixture.Started.size() == 200; });
}

TEST_CASE("all connections together read a bounded amount ahead") {
  CallerServerLimits Limits;
  Limits.MaxPipelineBytes = 40000;
  PipelineFixture Fixture(Limits);
  std::vector<Tcp::socket> Callers;
  for (int Caller = 0; Caller < 20; ++Caller) {
    Callers.emplace_back(Fixture.Context);
    Callers.back().connect(Fixture.Address);
    std::string Requests;
    for (int I = 0; I < 10; ++I)
      Requests += requestFor(absl::StrCat("/", Caller, "/", I));
    asio::write(Callers.back(), asio::buffer(Requests));
  }
  Fixture.runUntil([&] { return Fixture.Started.size() >= 20; });
  Fixture.runFor(Millis(50));
  // One request of each connection runs in any case.
  CHECK(Fixture.Started.size() < 35);
  for (int Caller = 0; Caller < 20; ++Caller)
    CHECK(Fixture.hasStarted(absl::StrCat("/", Caller, "/0")));
  for (int Caller = 0; Caller < 20; ++Caller)
    for (int I = 0; I < 10; ++I)
      Fixture.release(absl::StrCat("/", Caller, "/", I));
  Fixture.runUntil([&] { return Fixture.Started.size() == 200; });
}

TEST_CASE("the time that a rejection waits for its turn counts for its "
          "Retry-After") {
  PipelineFixture Fixture;
  Fixture.send(requestFor("/slow") + requestFor("/rejected"));
  Fixture.runUntil([&] { return Fixture.hasStarted("/rejected"); });
  const MonoTime Arrival = Fixture.Started.at("/rejected")->Arrival;
  Fixture.release("/rejected", 503);
  // The handler notices that a few milliseconds later.
  Fixture.runUntil([&] { return Fixture.Responded.contains("/rejected"); });
  Fixture.runFor(Millis(200));
  Fixture.release("/slow");
  Fixture.runUntil([&] { return Fixture.responses().size() == 2; });
  CHECK(Fixture.Started.at("/rejected")->Arrival == Arrival);
  const double RetryAfter =
      std::stod(std::string(Fixture.responses()[1][http::field::retry_after]));
  CHECK(RetryAfter <= 0.4);
  CHECK(RetryAfter >= 0);
}

/// Plays one random connection; the checks hold for each.
void playRandomConnection(std::uint32_t Seed) {
  CAPTURE(Seed);
  std::mt19937 Random(Seed);
  const auto Chance = [&Random](unsigned Percent) {
    return Random() % 100 < Percent;
  };
  CallerServerLimits Limits;
  Limits.Pipeline.MaxRequests = 1 + Random() % 8;
  PipelineFixture Fixture(Limits);
  std::string Stream;
  Targets Sent;
  for (unsigned I = 0, Count = 1 + Random() % 12; I < Count; ++I) {
    const std::string Target =
        absl::StrCat(Chance(20) ? "/unsafe/" : "/safe/", I);
    const bool IsLast = Chance(5);
    Sent.push_back(Target);
    Stream += requestFor(
        Target, Chance(30) ? std::string(Random() % 3000, 'x') : std::string(),
        IsLast ? "Connection: close\r\n" : "");
  }
  bool IsDraining = false;
  bool IsDisconnected = false;
  std::set<std::string> Released;
  while (Fixture.responses().size() < Sent.size() && !Fixture.IsEnded) {
    if (!Stream.empty()) {
      const std::size_t Size = 1 + Random() % Stream.size();
      ErrorCode IgnoredError;
      Fixture.Caller.write_some(asio::buffer(Stream, Size), IgnoredError);
      Stream.erase(0, Size);
    }
    if (!IsDraining && Chance(3)) {
      IsDraining = true;
      Fixture.Server->startDraining(Millis(50));
    }
    if (Chance(1)) {
      IsDisconnected = true;
      break;
    }
    const std::size_t AnsweredCount = Fixture.responses().size();
    const std::size_t StartedCount = Fixture.StartOrder.size();
    Fixture.runFor(Millis(Random() % 4));
    for (std::size_t I = StartedCount; I < Fixture.StartOrder.size(); ++I) {
      const std::string &Target = Fixture.StartOrder[I];
      CHECK(Target == Sent[I]);
      if (Target.starts_with("/unsafe"))
        CHECK(Fixture.Started.at(Target)->RequestsAhead == 0);
      if (I > 0 && Fixture.StartOrder[I - 1].starts_with("/unsafe"))
        CHECK(Released.contains(Fixture.StartOrder[I - 1]));
    }
    CHECK(Fixture.responses().size() >= AnsweredCount);
    for (const std::string &Target : Fixture.StartOrder)
      if (!Released.contains(Target) && Chance(20)) {
        Fixture.release(Target, 200, std::string(Random() % 5000, 'y'));
        Released.insert(Target);
      }
  }
  if (IsDisconnected) {
    const MonoTime Start = monoNow();
    Fixture.Caller.close();
    Fixture.IsReadingPaused = true;
    Fixture.runUntil([&] { return Fixture.Server->connectionCount() == 0; });
    CHECK(monoNow() - Start < Millis(500));
    return;
  }
  const Targets Answered = Fixture.answeredTargets();
  CHECK(std::equal(Answered.begin(), Answered.end(), Sent.begin()));
  // Without a disconnect, whatever was started is answered before the end.
  if (Fixture.IsEnded)
    CHECK(Answered.size() == Fixture.StartOrder.size());
}

TEST_CASE("random pipelined connections keep the order and answer all they "
          "start") {
  for (std::uint32_t Seed = 1; Seed <= 60; ++Seed)
    playRandomConnection(Seed);
}

} // namespace
} // namespace persimmonquay
