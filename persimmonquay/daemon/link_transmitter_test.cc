// Tests of replies whose bodies are sent in parts, from the transmitter of one
// node to the link of another.
#include "persimmonquay/daemon/frame_channel.h"
#include "persimmonquay/daemon/link_transmitter.h"
#include "persimmonquay/daemon/metrics.h"
#include "persimmonquay/daemon/peer_link.h"
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

namespace persimmonquay {
namespace {

constexpr double ThinLink = 17e6 / 8;

/// Distinguishes all positions of a body from one another.
std::string bodyOf(std::size_t Bytes) {
  std::string Result;
  for (std::size_t I = 0; Result.size() < Bytes; ++I)
    Result += std::to_string(I);
  Result.resize(Bytes);
  return Result;
}

/// A link to a node of which the test plays the gate.
class LinkFixture {
public:
  explicit LinkFixture(double BytesPerSecond,
                       FrameLimits Limits = {.MaxBytes = 1U << 20U},
                       std::size_t MaxWaitingBytes = 4U << 20U)
      : Acceptor(this->Context,
                 Tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Transmitter(std::make_shared<LinkTransmitter>(
            this->Context, this->Counters, BytesPerSecond, MaxWaitingBytes)),
        Link(std::make_shared<PeerLink>(
            this->Context, "peer", this->Acceptor.local_endpoint(), Millis(500),
            Limits, [](const proto::LinkFrame &) {})) {
    this->Link->start();
    this->Context.poll();
    this->Channel =
        std::make_shared<FrameChannel>(this->Acceptor.accept(), Limits);
    this->Connection = this->Transmitter->add(this->Channel);
    asio::co_spawn(
        this->Context, [this] { return this->receive(); }, asio::detached);
    this->runUntil([this] { return this->Link->isUp(); });
  }
  ~LinkFixture() {
    this->Link->stop();
    this->Channel->close();
    this->Context.run_for(Millis(20));
  }

  /// Submits a call; returns its id.
  std::uint64_t submit() {
    proto::CallRequest Request;
    Request.set_idempotent(true);
    const std::uint64_t Id = ++this->LastCall;
    return this->Link->submit(Request, [this, Id](proto::CallReply Reply) {
      this->Order.push_back(Id);
      this->Replies[Id] = std::move(Reply);
    });
  }

  /// Answers a call as its gate does.
  void answer(std::uint64_t Id, std::size_t Bytes, std::uint32_t Priority = 1,
              bool TakesParts = true) {
    proto::CallReply Reply;
    Reply.set_id(Id);
    Reply.set_outcome(proto::ANSWERED);
    Reply.set_status(200);
    Reply.set_body(bodyOf(Bytes));
    this->Transmitter->sendReply(
        this->Connection, std::move(Reply),
        {Priority, monoNow() + std::chrono::seconds(10), TakesParts});
  }

  /// Sends a frame as a node that doesn't keep to the protocol.
  void sendPart(std::uint64_t Id, std::size_t Bytes, bool IsLast) {
    proto::LinkFrame Frame;
    Frame.mutable_body_part()->set_id(Id);
    Frame.mutable_body_part()->set_data(bodyOf(Bytes));
    Frame.mutable_body_part()->set_last(IsLast);
    this->Channel->send(Frame);
  }
  void sendHead(std::uint64_t Id, std::size_t Bytes) {
    proto::LinkFrame Frame;
    Frame.mutable_reply()->set_id(Id);
    Frame.mutable_reply()->set_outcome(proto::ANSWERED);
    Frame.mutable_reply()->set_body_follows(true);
    Frame.mutable_reply()->set_body_bytes(Bytes);
    this->Channel->send(Frame);
  }

  template <typename F> void runUntil(F &&Condition) {
    const MonoTime Deadline = monoNow() + std::chrono::seconds(20);
    while (!Condition() && monoNow() < Deadline)
      this->Context.run_one_for(Millis(5));
    REQUIRE(Condition());
  }

  asio::io_context Context;
  Tcp::acceptor Acceptor;
  Metrics Counters;
  std::shared_ptr<LinkTransmitter> Transmitter;
  std::shared_ptr<PeerLink> Link;
  std::shared_ptr<FrameChannel> Channel;
  LinkTransmitter::ConnectionId Connection = 0;
  std::map<std::uint64_t, proto::CallReply> Replies;
  /// Calls in the order of their replies.
  std::vector<std::uint64_t> Order;
  std::vector<std::uint64_t> Cancelled;

private:
  asio::awaitable<void> receive() {
    while (std::optional<proto::LinkFrame> Frame =
               co_await this->Channel->receive()) {
      if (!Frame->has_cancel())
        continue;
      this->Cancelled.push_back(Frame->cancel().id());
      this->Transmitter->cancel(this->Connection, Frame->cancel().id());
    }
  }

  std::uint64_t LastCall = 0;
};

} // namespace

TEST_CASE("short and important answers pass long ones on a thin link") {
  LinkFixture Fixture(ThinLink);
  std::vector<std::uint64_t> Calls;
  for (int I = 0; I < 6; ++I) {
    Calls.push_back(Fixture.submit());
    Fixture.answer(Calls.back(), 90000 + I);
  }
  const std::uint64_t Important = Fixture.submit();
  Fixture.answer(Important, 30000, 0);
  const std::uint64_t Short = Fixture.submit();
  Fixture.answer(Short, 5000, 3);
  const MonoTime Start = monoNow();
  Fixture.runUntil([&] { return Fixture.Replies.size() == 8; });
  // 570 kB at 17 Mbit/s, of which the kernel got a part at once.
  CHECK(monoNow() - Start > Millis(200));
  CHECK(Fixture.Order[0] == Short);
  CHECK(Fixture.Order[1] == Important);
  for (int I = 0; I < 6; ++I) {
    const proto::CallReply &Reply = Fixture.Replies[Calls[I]];
    CHECK(Reply.outcome() == proto::ANSWERED);
    CHECK((Reply.body() == bodyOf(90000 + I)));
    CHECK_FALSE(Reply.body_follows());
  }
  CHECK(Fixture.Transmitter->isIdle());
  CHECK(Fixture.Transmitter->statistics().WaitingBytes == 0);
  CHECK(Fixture.Transmitter->statistics().PartedAnswers >= 6);
}

TEST_CASE("answers are sent as a whole on a wide link and to old nodes") {
  bool TakesParts = true;
  double Rate = 0;
  SUBCASE("unknown bandwidth") {}
  SUBCASE("wide link") { Rate = 1000e6 / 8; }
  SUBCASE("old node") {
    Rate = ThinLink;
    TakesParts = false;
  }
  LinkFixture Fixture(Rate);
  for (int I = 0; I < 4; ++I)
    Fixture.answer(Fixture.submit(), 90000, 1, TakesParts);
  CHECK(Fixture.Transmitter->isIdle());
  Fixture.runUntil([&] { return Fixture.Replies.size() == 4; });
  CHECK((Fixture.Replies[4].body() == bodyOf(90000)));
  CHECK(Fixture.Transmitter->statistics().WholeAnswers == 4);
  CHECK(Fixture.Transmitter->statistics().PartedAnswers == 0);
}

TEST_CASE("the rest of a cancelled call's answer is not sent") {
  LinkFixture Fixture(ThinLink);
  const std::uint64_t First = Fixture.submit();
  const std::uint64_t Second = Fixture.submit();
  Fixture.answer(First, 900000);
  Fixture.answer(Second, 90000);
  Fixture.runUntil([&] { return Fixture.Link->lastReplyProgress(First); });
  CHECK_FALSE(Fixture.Link->lastReplyProgress(99));
  Fixture.Link->cancel(First);
  const MonoTime Start = monoNow();
  Fixture.runUntil([&] { return Fixture.Replies.contains(Second); });
  CHECK(monoNow() - Start < Millis(300));
  CHECK(Fixture.Cancelled == std::vector<std::uint64_t>{First});
  CHECK_FALSE(Fixture.Replies.contains(First));
  CHECK(Fixture.Transmitter->isIdle());
  CHECK(Fixture.Transmitter->statistics().DroppedAnswers == 1);
}

TEST_CASE("an answer that ends in the middle is unknown") {
  LinkFixture Fixture(ThinLink,
                      {.MaxBytes = 1U << 20U, .MaxTime = Millis(300)});
  const std::uint64_t Id = Fixture.submit();
  SUBCASE("the connection is lost") {
    Fixture.answer(Id, 900000);
    Fixture.runUntil([&] { return Fixture.Link->lastReplyProgress(Id); });
    Fixture.Transmitter->remove(Fixture.Connection);
    Fixture.Channel->close();
    CHECK(Fixture.Transmitter->isIdle());
  }
  SUBCASE("no further part comes") {
    Fixture.sendHead(Id, 2000);
    Fixture.sendPart(Id, 1000, false);
  }
  SUBCASE("the last part comes early") {
    Fixture.sendHead(Id, 2000);
    Fixture.sendPart(Id, 1000, true);
  }
  SUBCASE("more comes than was announced") {
    Fixture.sendHead(Id, 2000);
    Fixture.sendPart(Id, 3000, false);
  }
  SUBCASE("more is announced than is taken") {
    Fixture.sendHead(Id, 1ULL << 60U);
  }
  Fixture.runUntil([&] { return Fixture.Replies.contains(Id); });
  CHECK(Fixture.Replies[Id].outcome() == proto::UNKNOWN);
  // What comes for it later is ignored.
  Fixture.sendPart(Id, 1000, true);
  Fixture.Context.run_for(Millis(20));
  CHECK(Fixture.Order.size() == 1);
}

// A reply by a node of another release may have an outcome that isn't known
// here, and an admission check is no call.
TEST_CASE("only a reply that says so guarantees that a call has not run") {
  LinkFixture Fixture(ThinLink, {.MaxBytes = 1U << 20U});
  for (const int Outcome : {0, 4, 99}) {
    CAPTURE(Outcome);
    const std::uint64_t Id = Fixture.submit();
    proto::LinkFrame Frame;
    Frame.mutable_reply()->set_id(Id);
    Frame.mutable_reply()->set_outcome(
        static_cast<proto::CallOutcome>(Outcome));
    Fixture.Channel->send(Frame);
    Fixture.runUntil([&] { return Fixture.Replies.contains(Id); });
    CHECK(Fixture.Replies[Id].outcome() == proto::UNKNOWN);
    CHECK(Fixture.Replies[Id].arrived());
  }
}

TEST_CASE("a link slower than is known fills no large buffers") {
  asio::io_context Context;
  Metrics Counters;
  const auto Transmitter =
      std::make_shared<LinkTransmitter>(Context, Counters, ThinLink, 8U << 20U);
  Tcp::acceptor Acceptor(Context,
                         Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  Tcp::socket Peer(Context, Tcp::v4());
  Peer.set_option(asio::socket_base::receive_buffer_size(16384));
  Peer.connect(Acceptor.local_endpoint());
  const auto Channel =
      std::make_shared<FrameChannel>(Acceptor.accept(), FrameLimits{});
  const LinkTransmitter::ConnectionId Connection = Transmitter->add(Channel);
  for (std::uint64_t Id = 1; Id <= 20; ++Id) {
    proto::CallReply Reply;
    Reply.set_id(Id);
    Reply.set_body(bodyOf(90000));
    Transmitter->sendReply(Connection, std::move(Reply),
                           {1, monoNow() + std::chrono::seconds(10), true});
  }
  // The peer reads nothing. The known rate would send 1 MB.
  Context.run_for(Millis(500));
  const std::size_t Before = Transmitter->statistics().WaitingAnswerBytes;
  CHECK(Before > 20 * 90000 - 200000);
  // It reads again, and more follows.
  std::string Buffer(65536, ' ');
  const MonoTime End = monoNow() + Millis(300);
  while (monoNow() < End) {
    if (Peer.available() > 0)
      Peer.read_some(asio::buffer(Buffer));
    Context.run_for(Millis(2));
  }
  CHECK(Transmitter->statistics().WaitingAnswerBytes < Before - 100000);
  Channel->close();
}

TEST_CASE("answers that wait are bounded") {
  LinkFixture Fixture(ThinLink, {.MaxBytes = 1U << 20U}, 300000);
  for (int I = 0; I < 5; ++I)
    Fixture.answer(Fixture.submit(), 90000);
  CHECK(Fixture.Transmitter->statistics().WaitingAnswerBytes <= 300000);
  Fixture.runUntil([&] { return Fixture.Replies.size() == 5; });
  CHECK(Fixture.Replies[1].outcome() == proto::ANSWERED);
  CHECK(Fixture.Replies[5].outcome() == proto::UNKNOWN);
  CHECK(Fixture.Replies[5].body().empty());
  CHECK(Fixture.Transmitter->statistics().DroppedAnswers == 2);
}

} // namespace persimmonquay
