// An upstream that plays scripts and a gate beside it, for tests of the gate.
#ifndef PERSIMMONQUAY_DAEMON_GATE_FIXTURE_H
#define PERSIMMONQUAY_DAEMON_GATE_FIXTURE_H

#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/daemon/upstream_gate.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace persimmonquay {

/// Returns the response of a well-behaved upstream.
inline std::string responseTo(const std::string &Id,
                              const std::string &Body = "ok") {
  return absl::StrCat("HTTP/1.1 200 OK\r\nx-pq-proof: p\r\n",
                      "x-pq-request-id: ", Id,
                      "\r\nContent-Length: ", Body.size(), "\r\n\r\n", Body);
}

/// What the upstream sends in response to one request.
struct Script {
  std::string Bytes = {};
  /// Sent again and again after `Bytes`, until the connection ends.
  std::string Endless = {};
  Millis EndlessPause{0};
  /// Sent after a pause, which lets the gate use the connection again.
  std::string LateBytes = {};
  bool ClosesAfterBytes = false;
};

/// An upstream that plays a script for each request, and a gate next to it.
class GateFixture {
public:
  explicit GateFixture(std::uint32_t Slots = 4)
      : Acceptor(this->Context,
                 Tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Gate(this->Context, HeaderNames{}, this->Acceptor.local_endpoint(),
             this->Counters, this->Crashes) {
    proto::UpstreamEntry Upstream;
    Upstream.set_service("gallery");
    Upstream.set_instance("i-1");
    Upstream.set_slots(Slots);
    this->Gate.setUpstream(Upstream);
    this->Gate.setMaxResponseBytes(1U << 20U);
    asio::co_spawn(
        this->Context, [this] { return this->accept(); }, asio::detached);
  }

  void submit(const std::string &Id, Millis Remaining = Millis(5000),
              const std::string &Method = "GET", bool IsIdempotent = true) {
    proto::CallRequest Request;
    Request.set_service("gallery");
    Request.set_instance("i-1");
    Request.set_route("r");
    Request.set_request_id(Id);
    Request.set_method(Method);
    Request.set_target("/" + Id);
    Request.set_idempotent(IsIdempotent);
    Request.set_known_limit_per_s(this->KnownLimit);
    Request.set_objective_ms(400);
    Request.set_max_wait_ms(5000);
    Request.set_remaining_ms(static_cast<std::uint32_t>(Remaining.count()));
    this->Gate.submit(Request, [this, Id](proto::CallReply Reply) {
      this->Replies[Id] = std::move(Reply);
    });
  }

  /// Submits a call and waits for its reply.
  proto::CallReply call(const std::string &Id, Millis Remaining = Millis(5000),
                        const std::string &Method = "GET",
                        bool IsIdempotent = true) {
    this->submit(Id, Remaining, Method, IsIdempotent);
    this->runUntil([&] { return this->Replies.contains(Id); });
    return this->Replies[Id];
  }

  /// Returns how often the upstream has received a request.
  std::size_t receivedCount(const std::string &Id) const {
    return static_cast<std::size_t>(
        std::count(this->Received.begin(), this->Received.end(), Id));
  }

  template <typename F> void runUntil(F &&Condition) {
    const MonoTime Deadline = monoNow() + std::chrono::seconds(20);
    while (!Condition() && monoNow() < Deadline)
      this->Context.run_one_for(Millis(20));
    REQUIRE(Condition());
  }

  /// Ends the upstream: closes its connections and refuses new ones.
  void crashUpstream() {
    this->Address = this->Acceptor.local_endpoint();
    this->Acceptor.close();
    this->closeConnections();
  }

  /// Listens again after a crash.
  void restartUpstream() {
    this->Acceptor = Tcp::acceptor(this->Context, this->Address);
    asio::co_spawn(
        this->Context, [this] { return this->accept(); }, asio::detached);
  }

  void closeConnections() {
    for (const std::weak_ptr<Tcp::socket> &Open : this->Sockets) {
      ErrorCode IgnoredError;
      if (const std::shared_ptr<Tcp::socket> Socket = Open.lock())
        Socket->close(IgnoredError);
    }
  }

  /// Starts the upstream again after its acceptor has been closed.
  void listenAgain(const Tcp::endpoint &Address) {
    this->Acceptor = Tcp::acceptor(this->Context, Address);
    asio::co_spawn(
        this->Context, [this] { return this->accept(); }, asio::detached);
  }

  /// Runs `Count` handlers of the event loop, or fewer if nothing happens.
  void runHandlers(int Count) {
    for (int I = 0; I < Count; ++I)
      this->Context.run_one_for(Millis(20));
  }

  void runFor(Millis Duration) {
    const MonoTime End = monoNow() + Duration;
    while (monoNow() < End)
      this->Context.run_one_for(Millis(5));
  }

  asio::io_context Context;
  /// Keeps the context from stopping while there is nothing to wait for.
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      asio::make_work_guard(Context)};
  Tcp::acceptor Acceptor;
  Metrics Counters;
  CrashLedger Crashes;
  UpstreamGate Gate;
  /// By request id; other requests get a proper response.
  std::map<std::string, Script> Scripts;
  std::map<std::string, proto::CallReply> Replies;
  /// Limit that the caller's node states in its calls.
  double KnownLimit = 0;
  int Connections = 0;
  int EndedConnections = 0;
  std::size_t SentBytes = 0;
  /// Ids of the requests that have reached the upstream.
  std::vector<std::string> Received;

private:
  std::vector<std::weak_ptr<Tcp::socket>> Sockets;
  Tcp::endpoint Address;

  asio::awaitable<void> accept() {
    while (true) {
      auto [Error, Socket] = co_await this->Acceptor.async_accept(NoThrow);
      if (Error)
        co_return;
      ++this->Connections;
      auto Shared = std::make_shared<Tcp::socket>(std::move(Socket));
      this->Sockets.push_back(Shared);
      asio::co_spawn(
          this->Context, [this, Shared] { return this->serve(Shared); },
          asio::detached);
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<Tcp::socket> Socket) {
    std::string Received;
    while (true) {
      const auto [Error, Size] = co_await asio::async_read_until(
          *Socket, asio::dynamic_buffer(Received), "\r\n\r\n", NoThrow);
      if (Error)
        break;
      const std::string Id =
          Received.substr(Received.find('/') + 1,
                          Received.find(" HTTP") - Received.find('/') - 1);
      Received.erase(0, Size);
      this->Received.push_back(Id);
      const auto Found = this->Scripts.find(Id);
      const Script Played = Found == this->Scripts.end()
                                ? Script{.Bytes = responseTo(Id)}
                                : Found->second;
      if (!co_await this->play(*Socket, Played))
        break;
    }
    ++this->EndedConnections;
  }

  asio::awaitable<bool> play(Tcp::socket &Socket, Script Played) {
    bool IsOpen = co_await this->send(Socket, Played.Bytes);
    while (IsOpen && !Played.Endless.empty()) {
      if (Played.EndlessPause > Millis{0})
        co_await this->pause(Played.EndlessPause);
      IsOpen = co_await this->send(Socket, Played.Endless);
    }
    if (IsOpen && !Played.LateBytes.empty()) {
      co_await this->pause(Millis(30));
      IsOpen = co_await this->send(Socket, Played.LateBytes);
    }
    co_return IsOpen && !Played.ClosesAfterBytes;
  }

  asio::awaitable<bool> send(Tcp::socket &Socket, std::string Bytes) {
    const auto [Error, Size] =
        co_await asio::async_write(Socket, asio::buffer(Bytes), NoThrow);
    this->SentBytes += Size;
    co_return !Error;
  }

  asio::awaitable<void> pause(Millis Duration) {
    asio::steady_timer Timer(this->Context, Duration);
    co_await Timer.async_wait(NoThrow);
  }
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_GATE_FIXTURE_H
