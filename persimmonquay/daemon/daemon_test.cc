#include "persimmonquay/daemon/caller_server.h"
#include "persimmonquay/daemon/link_server.h"
#include "persimmonquay/daemon/link_transmitter.h"
#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/daemon/sockets.h"
#include "persimmonquay/daemon/upstream_gate.h"
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace persimmonquay {
namespace {

/// A server that responds to every request with 200, and one caller.
class ServerFixture {
public:
  explicit ServerFixture(const CallerServerLimits &Limits = {})
      : Server(std::make_shared<CallerServer>(
            this->Context, [Limits] { return Limits; },
            [this](const std::shared_ptr<CallerRequest> &) {
              return this->respond();
            })),
        Caller(this->Context) {
    absl::StatusOr<Tcp::acceptor> Acceptor =
        listenOn(this->Context, Tcp::endpoint(asio::ip::address_v4::loopback(),
                                              /*port_num=*/0));
    REQUIRE(Acceptor.ok());
    this->Address = Acceptor->local_endpoint();
    this->Server->start(*std::move(Acceptor));
    this->Caller.connect(this->Address);
  }

  void send(const std::string &Bytes) {
    asio::write(this->Caller, asio::buffer(Bytes));
  }

  /// Runs the event loop until a response or the end of the connection arrives,
  /// and returns the bytes received.
  std::string receive() {
    std::string Bytes(4096, '\0');
    std::size_t ReceivedSize = 0;
    bool IsReceived = false;
    this->Caller.async_read_some(asio::buffer(Bytes),
                                 [&](const ErrorCode &, std::size_t Size) {
                                   ReceivedSize = Size;
                                   IsReceived = true;
                                 });
    this->runUntil([&IsReceived] { return IsReceived; });
    Bytes.resize(ReceivedSize);
    return Bytes;
  }

  template <typename F> void runUntil(F &&Condition) {
    const MonoTime Deadline = monoNow() + std::chrono::seconds(10);
    while (!Condition() && monoNow() < Deadline)
      this->Context.run_one_for(Millis(50));
    REQUIRE(Condition());
  }

  asio::io_context Context;
  std::shared_ptr<CallerServer> Server;
  Tcp::endpoint Address;
  Tcp::socket Caller;
  int HandledRequests = 0;

private:
  asio::awaitable<HttpResponse> respond() {
    ++this->HandledRequests;
    HttpResponse Result;
    Result.result(200);
    co_return Result;
  }
};

constexpr char PlainRequest[] = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_CASE("an idle connection is closed when the server drains") {
  CallerServerLimits Limits;
  Limits.IdleTimeout = std::chrono::hours(1);
  ServerFixture Fixture(Limits);
  Fixture.send(PlainRequest);
  CHECK(Fixture.receive().find("200 OK") != std::string::npos);
  // By now, the connection waits for its next request.
  Fixture.Context.poll();
  CHECK(Fixture.Server->connectionCount() == 1);

  Fixture.Server->startDraining(Millis(20));
  Fixture.runUntil([&] { return Fixture.Server->connectionCount() == 0; });
  CHECK(Fixture.receive().empty());
}

TEST_CASE(
    "a request that arrives while idle connections are closed is not read") {
  ServerFixture Fixture;
  Fixture.send(PlainRequest);
  Fixture.receive();
  Fixture.Context.poll();

  Fixture.Server->closeIdleConnections();
  Fixture.send(PlainRequest);
  Fixture.runUntil([&] { return Fixture.Server->connectionCount() == 0; });
  CHECK(Fixture.HandledRequests == 1);
}

TEST_CASE("a request on a draining connection gets Connection: close") {
  ServerFixture Fixture;
  Fixture.send(PlainRequest);
  Fixture.receive();
  Fixture.Server->startDraining(std::chrono::hours(1));
  Fixture.Server->stopAccepting();
  Fixture.send(PlainRequest);
  const std::string Response = Fixture.receive();
  CHECK(Response.find("200 OK") != std::string::npos);
  CHECK(Response.find("Connection: close") != std::string::npos);
  Fixture.runUntil([&] { return Fixture.Server->connectionCount() == 0; });
}

TEST_CASE("an admission check does not submit the call") {
  asio::io_context Context;
  Metrics Counters;
  CrashLedger Crashes;
  UpstreamGate Gate(Context, HeaderNames{}, Tcp::endpoint(), Counters, Crashes);
  proto::CallRequest Request;
  Request.set_only_ask(true);
  Request.set_id(7);
  Request.set_service("gallery");
  Request.set_instance("i-1");
  Request.set_remaining_ms(1500);
  Request.set_objective_ms(400);
  CHECK(Gate.checkAdmission(Request).outcome() == proto::NOT_RUN);

  proto::UpstreamEntry Upstream;
  Upstream.set_service("gallery");
  Upstream.set_instance("i-1");
  Upstream.set_slots(2);
  Gate.setUpstream(Upstream);
  const proto::CallReply Reply = Gate.checkAdmission(Request);
  CHECK(Reply.outcome() == proto::WOULD_TAKE);
  CHECK(Reply.id() == 7);
  CHECK(Gate.callsInFlight() == 0);

  Request.set_instance("i-2");
  CHECK(Gate.checkAdmission(Request).outcome() == proto::NOT_RUN);
}

/// A gate with one slot whose upstream never answers, and a link to it.
class LinkFixture {
public:
  LinkFixture()
      : Upstream(this->Context,
                 Tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Gate(this->Context, HeaderNames{}, this->Upstream.local_endpoint(),
             this->Counters, this->Crashes),
        Server(std::make_shared<LinkServer>(
            this->Context, this->Gate,
            std::make_shared<LinkTransmitter>(this->Context, this->Counters, 0,
                                              MaxWaitingBytes),
            FrameLimits{}, [](const proto::ConfigurationQuery &) {
              return std::vector<proto::LinkFrame>();
            })) {
    proto::UpstreamEntry Entry;
    Entry.set_service("orders");
    Entry.set_instance("i-1");
    Entry.set_slots(1);
    this->Gate.setUpstream(Entry);
    absl::StatusOr<Tcp::acceptor> Acceptor = listenOn(
        this->Context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    REQUIRE(Acceptor.ok());
    this->Link = std::make_shared<PeerLink>(
        this->Context, "n-1", Acceptor->local_endpoint(), Millis(1000),
        FrameLimits{}, [](const proto::LinkFrame &) {});
    this->Server->start(*std::move(Acceptor));
    this->Link->start();
    this->runUntil([this] { return this->Link->isUp(); });
  }

  ~LinkFixture() {
    this->Link->stop();
    this->Server->stop();
  }

  std::uint64_t submit(const std::string &Id) {
    proto::CallRequest Request;
    Request.set_service("orders");
    Request.set_instance("i-1");
    Request.set_request_id(Id);
    Request.set_method("POST");
    Request.set_target("/orders/1");
    Request.set_remaining_ms(20000);
    Request.set_objective_ms(20000);
    Request.set_max_wait_ms(20000);
    return this->Link->submit(Request, [this, Id](const proto::CallReply &Got) {
      this->Outcomes[Id] = Got.outcome();
    });
  }

  static constexpr std::size_t MaxWaitingBytes = 1U << 20U;

  template <typename F> void runUntil(F &&Condition) {
    const MonoTime Deadline = monoNow() + std::chrono::seconds(20);
    while (!Condition() && monoNow() < Deadline)
      this->Context.run_one_for(Millis(20));
    REQUIRE(Condition());
  }

  asio::io_context Context;
  Metrics Counters;
  CrashLedger Crashes;
  Tcp::acceptor Upstream;
  UpstreamGate Gate;
  std::shared_ptr<LinkServer> Server;
  std::shared_ptr<PeerLink> Link;
  std::map<std::string, proto::CallOutcome> Outcomes;
};

TEST_CASE("a call that waits is withdrawn, and one that runs is not") {
  LinkFixture Fixture;
  const std::uint64_t Running = Fixture.submit("running");
  const std::uint64_t Waiting = Fixture.submit("waiting");
  Fixture.runUntil([&] { return Fixture.Gate.load().waiting() == 1; });
  Fixture.Link->withdraw(Running);
  Fixture.Link->withdraw(Waiting);
  Fixture.runUntil([&] { return Fixture.Outcomes.contains("waiting"); });
  CHECK(Fixture.Outcomes["waiting"] == proto::NOT_RUN);
  CHECK_FALSE(Fixture.Outcomes.contains("running"));
  CHECK(Fixture.Gate.load().running() == 1);
  CHECK(Fixture.Gate.load().waiting() == 0);
}

// The frames of the call and of its withdrawal wait in the gate's socket, as
// they do while the gate's process is paused.
TEST_CASE("a call that is withdrawn before the gate has read it does not run") {
  LinkFixture Fixture;
  Fixture.Link->withdraw(Fixture.submit("late"));
  Fixture.runUntil([&] { return Fixture.Outcomes.contains("late"); });
  CHECK(Fixture.Outcomes["late"] == proto::NOT_RUN);
  CHECK(Fixture.Gate.callsInFlight() == 0);
}

/// Reads one request on a blocking socket and responds as the upstream.
void respondOnce(Tcp::socket &Peer) {
  std::string Request;
  asio::read_until(Peer, asio::dynamic_buffer(Request), "\r\n\r\n");
  asio::write(Peer, asio::buffer(std::string(
                        "HTTP/1.1 200 OK\r\nx-pq-proof: p\r\n"
                        "x-pq-request-id: r\r\nContent-Length: 2\r\n\r\nok")));
}

// Guards against an expired timer that closes the connection under the next
// call. On an overloaded host, the time limit of the previous call on the same
// connection was already due when its response was read, and the next call was
// cut off two milliseconds after its start.
TEST_CASE("an expired time limit does not end the next call") {
  asio::io_context Context;
  Tcp::acceptor Acceptor(Context,
                         Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  Metrics Counters;
  CrashLedger Crashes;
  UpstreamGate Gate(Context, HeaderNames{}, Acceptor.local_endpoint(), Counters,
                    Crashes);
  proto::UpstreamEntry Upstream;
  Upstream.set_service("gallery");
  Upstream.set_instance("i-1");
  Upstream.set_slots(1);
  Gate.setUpstream(Upstream);
  proto::CallRequest Request;
  Request.set_service("gallery");
  Request.set_instance("i-1");
  Request.set_method("GET");
  Request.set_target("/");
  Request.set_idempotent(true);
  Request.set_request_id("r");
  Request.set_objective_ms(400);
  const auto RunUntil = [&Context](const auto &Condition) {
    const MonoTime Deadline = monoNow() + std::chrono::seconds(10);
    while (!Condition() && monoNow() < Deadline)
      Context.run_one_for(Millis(50));
    REQUIRE(Condition());
  };

  std::vector<proto::CallReply> Replies;
  Request.set_remaining_ms(1000);
  Gate.submit(Request, [&](proto::CallReply FirstReply) {
    Replies.push_back(std::move(FirstReply));
    Request.set_remaining_ms(5000);
    Gate.submit(Request, [&](proto::CallReply SecondReply) {
      Replies.push_back(std::move(SecondReply));
    });
  });
  Context.poll();
  Tcp::socket Peer = Acceptor.accept();
  RunUntil([&] { return Peer.available() > 0; });
  respondOnce(Peer);
  // The event loop does not run until the time limit of the first call has
  // passed as well.
  std::this_thread::sleep_for(Millis(1500));
  RunUntil([&] { return Replies.size() == 1; });
  CHECK(Replies[0].outcome() == proto::ANSWERED);
  RunUntil([&] { return Peer.available() > 0; });
  respondOnce(Peer);
  RunUntil([&] { return Replies.size() == 2; });
  CHECK(Replies[1].outcome() == proto::ANSWERED);
}

} // namespace
} // namespace persimmonquay
