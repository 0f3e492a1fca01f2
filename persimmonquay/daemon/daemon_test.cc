#include "persimmonquay/daemon/caller_server.h"
#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/daemon/sockets.h"
#include "persimmonquay/daemon/upstream_gate.h"
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

namespace persimmonquay {
namespace {

/// A server that answers every request with 200, and one caller of it.
class ServerFixture {
public:
  explicit ServerFixture(const CallerServerLimits &Bounds = {})
      : Server(std::make_shared<CallerServer>(
            this->Context, [Bounds] { return Bounds; },
            [this](const std::shared_ptr<CallerRequest> &) {
              return this->answer();
            })),
        Caller(this->Context) {
    absl::StatusOr<Tcp::acceptor> Listener =
        listenOn(this->Context, Tcp::endpoint(asio::ip::address_v4::loopback(),
                                              /*port_num=*/0));
    REQUIRE(Listener.ok());
    this->Address = Listener->local_endpoint();
    this->Server->start(*std::move(Listener));
    this->Caller.connect(this->Address);
  }

  void send(const std::string &Bytes) {
    asio::write(this->Caller, asio::buffer(Bytes));
  }

  /// Runs the server until its answer has come, and returns it.
  std::string receive() {
    std::string Bytes(4096, '\0');
    std::size_t Got = 0;
    bool Done = false;
    this->Caller.async_read_some(asio::buffer(Bytes),
                                 [&](const ErrorCode &, std::size_t Size) {
                                   Got = Size;
                                   Done = true;
                                 });
    this->runUntil([&Done] { return Done; });
    Bytes.resize(Got);
    return Bytes;
  }

  template <typename F> void runUntil(F &&Holds) {
    const MonoTime GiveUp = monoNow() + std::chrono::seconds(10);
    while (!Holds() && monoNow() < GiveUp)
      this->Context.run_one_for(Millis(50));
    REQUIRE(Holds());
  }

  asio::io_context Context;
  std::shared_ptr<CallerServer> Server;
  Tcp::endpoint Address;
  Tcp::socket Caller;
  int Answered = 0;

private:
  asio::awaitable<HttpResponse> answer() {
    ++this->Answered;
    HttpResponse Result;
    Result.result(200);
    co_return Result;
  }
};

constexpr char PlainRequest[] = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_CASE("a connection that rests is closed once the server closes") {
  CallerServerLimits Bounds;
  Bounds.IdleTimeout = std::chrono::hours(1);
  ServerFixture Fixture(Bounds);
  Fixture.send(PlainRequest);
  CHECK(Fixture.receive().find("200 OK") != std::string::npos);
  // The connection waits for its next request by now.
  Fixture.Context.poll();
  CHECK(Fixture.Server->connectionCount() == 1);

  Fixture.Server->startDraining(Millis(20));
  Fixture.runUntil([&] { return Fixture.Server->connectionCount() == 0; });
  CHECK(Fixture.receive().empty());
}

TEST_CASE("a request that arrives while the server ends is not read") {
  ServerFixture Fixture;
  Fixture.send(PlainRequest);
  Fixture.receive();
  Fixture.Context.poll();

  Fixture.Server->closeIdleConnections();
  Fixture.send(PlainRequest);
  Fixture.runUntil([&] { return Fixture.Server->connectionCount() == 0; });
  CHECK(Fixture.Answered == 1);
}

TEST_CASE("the last request of a closing connection is answered") {
  ServerFixture Fixture;
  Fixture.send(PlainRequest);
  Fixture.receive();
  Fixture.Server->startDraining(std::chrono::hours(1));
  Fixture.Server->stopAccepting();
  Fixture.send(PlainRequest);
  const std::string Answer = Fixture.receive();
  CHECK(Answer.find("200 OK") != std::string::npos);
  CHECK(Answer.find("Connection: close") != std::string::npos);
  Fixture.runUntil([&] { return Fixture.Server->connectionCount() == 0; });
}

TEST_CASE("a gate answers a question without taking the call") {
  asio::io_context Context;
  Metrics Counts;
  UpstreamGate Gate(Context, HeaderNames{}, Tcp::endpoint(), Counts);
  proto::CallRequest Question;
  Question.set_only_ask(true);
  Question.set_id(7);
  Question.set_service("gallery");
  Question.set_instance("i-1");
  Question.set_remaining_ms(1500);
  Question.set_objective_ms(400);
  CHECK(Gate.checkAdmission(Question).outcome() == proto::NOT_RUN);

  proto::UpstreamEntry Upstream;
  Upstream.set_service("gallery");
  Upstream.set_instance("i-1");
  Upstream.set_slots(2);
  Gate.setUpstream(Upstream);
  const proto::CallReply Reply = Gate.checkAdmission(Question);
  CHECK(Reply.outcome() == proto::WOULD_TAKE);
  CHECK(Reply.id() == 7);
  CHECK(Gate.callsInFlight() == 0);

  Question.set_instance("i-2");
  CHECK(Gate.checkAdmission(Question).outcome() == proto::NOT_RUN);
}

/// Plays the upstream's side of one exchange on a blocking socket.
void answerOne(Tcp::socket &Peer) {
  std::string Request;
  asio::read_until(Peer, asio::dynamic_buffer(Request), "\r\n\r\n");
  asio::write(Peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\nx-pq-proof: p"
                                             "\r\nContent-Length: 2\r\n\r\n"
                                             "ok")));
}

// Found by playing days: a call was cut two milliseconds after its start. The
// time limit of the call before it on the same connection was due when that
// call's answer was read, on a host that was late.
TEST_CASE("a time limit that is due already does not end the next call") {
  asio::io_context Context;
  Tcp::acceptor Listener(Context,
                         Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  Metrics Counts;
  UpstreamGate Gate(Context, HeaderNames{}, Listener.local_endpoint(), Counts);
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
  Request.set_objective_ms(400);
  const auto RunUntil = [&Context](const auto &Holds) {
    const MonoTime GiveUp = monoNow() + std::chrono::seconds(10);
    while (!Holds() && monoNow() < GiveUp)
      Context.run_one_for(Millis(50));
    REQUIRE(Holds());
  };

  std::vector<proto::CallReply> Replies;
  Request.set_remaining_ms(1000);
  Gate.submit(Request, [&](proto::CallReply First) {
    Replies.push_back(std::move(First));
    Request.set_remaining_ms(5000);
    Gate.submit(Request, [&](proto::CallReply Second) {
      Replies.push_back(std::move(Second));
    });
  });
  Context.poll();
  Tcp::socket Peer = Listener.accept();
  RunUntil([&] { return Peer.available() > 0; });
  answerOne(Peer);
  // The loop stands still until the first call's limit has passed as well.
  std::this_thread::sleep_for(Millis(1500));
  RunUntil([&] { return Replies.size() == 1; });
  CHECK(Replies[0].outcome() == proto::ANSWERED);
  RunUntil([&] { return Peer.available() > 0; });
  answerOne(Peer);
  RunUntil([&] { return Replies.size() == 2; });
  CHECK(Replies[1].outcome() == proto::ANSWERED);
}

} // namespace
} // namespace persimmonquay
