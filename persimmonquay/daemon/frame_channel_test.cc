#include "persimmonquay/daemon/frame_channel.h"
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace persimmonquay {
namespace {

/// A channel and the raw socket at its other end.
class ChannelFixture {
public:
  explicit ChannelFixture(FrameLimits Limits) : Peer(this->Context) {
    Tcp::acceptor Acceptor(this->Context,
                           Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->Peer.connect(Acceptor.local_endpoint());
    this->Channel = std::make_shared<FrameChannel>(Acceptor.accept(), Limits);
    asio::co_spawn(
        this->Context, [this] { return this->receive(); }, asio::detached);
  }

  void send(const std::string &Bytes) {
    asio::write(this->Peer, asio::buffer(Bytes));
  }

  void runFor(Millis Duration) {
    const MonoTime End = monoNow() + Duration;
    while (monoNow() < End)
      this->Context.run_one_for(Millis(5));
  }

  asio::io_context Context;
  Tcp::socket Peer;
  std::shared_ptr<FrameChannel> Channel;
  std::vector<proto::LinkFrame> Received;
  bool HasEnded = false;

private:
  asio::awaitable<void> receive() {
    while (std::optional<proto::LinkFrame> Frame =
               co_await this->Channel->receive())
      this->Received.push_back(*std::move(Frame));
    this->HasEnded = true;
  }
};

proto::LinkFrame frameWithBody(std::size_t Size) {
  proto::LinkFrame Result;
  Result.mutable_reply()->set_body(std::string(Size, 'b'));
  return Result;
}

std::string encode(const proto::LinkFrame &Frame) {
  const std::string Body = Frame.SerializeAsString();
  std::string Result;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Result.push_back(static_cast<char>((Body.size() >> Shift) & 0xFFU));
  return Result + Body;
}

TEST_CASE("a frame that is never completed ends the connection") {
  ChannelFixture Fixture({.MaxBytes = 1000000, .MaxTime = Millis(200)});
  const std::string Encoded = encode(frameWithBody(5000));
  Fixture.send(Encoded);
  Fixture.runFor(Millis(300));
  // An idle connection stays.
  CHECK(Fixture.Received.size() == 1);
  CHECK_FALSE(Fixture.HasEnded);
  // A length and a trickle of its bytes.
  for (int I = 0; I < 10 && !Fixture.HasEnded; ++I) {
    Fixture.Peer.write_some(asio::buffer(Encoded.data() + I, 1));
    Fixture.runFor(Millis(50));
  }
  CHECK(Fixture.HasEnded);
  CHECK_FALSE(Fixture.Channel->isOpen());
}

TEST_CASE("frames that follow each other closely don't add up to one") {
  ChannelFixture Fixture({.MaxBytes = 1000000, .MaxTime = Millis(200)});
  const std::string Encoded = encode(frameWithBody(50));
  // Each write ends in the middle of a frame.
  std::string Rest;
  for (int I = 0; I < 20; ++I) {
    Fixture.send(Rest + Encoded.substr(0, 30));
    Rest = Encoded.substr(30);
    Fixture.runFor(Millis(30));
  }
  CHECK_FALSE(Fixture.HasEnded);
  CHECK(Fixture.Received.size() == 19);
}

TEST_CASE("a frame that is too long or malformed ends the connection") {
  for (const std::string &Bytes :
       {std::string("\x7F\xFF\xFF\xFF", 4), std::string("GET / HTTP/1.1\r\n"),
        std::string("\0\0\0\x02\xFF\xFF", 6)}) {
    ChannelFixture Fixture({.MaxBytes = 1000});
    Fixture.send(Bytes);
    Fixture.runFor(Millis(50));
    CHECK(Fixture.HasEnded);
    CHECK(Fixture.Received.empty());
  }
}

TEST_CASE("what waits for a peer that does not read is bounded") {
  ChannelFixture Fixture({.MaxBytes = 1000000});
  const proto::LinkFrame Frame = frameWithBody(900000);
  for (int I = 0; I < 100 && Fixture.Channel->isOpen(); ++I) {
    Fixture.Channel->send(Frame);
    CHECK(Fixture.Channel->queuedBytes() < 5000000);
    Fixture.runFor(Millis(2));
  }
  CHECK_FALSE(Fixture.Channel->isOpen());
}

} // namespace
} // namespace persimmonquay
