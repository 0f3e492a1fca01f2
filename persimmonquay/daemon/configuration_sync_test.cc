#include "persimmonquay/daemon/configuration_sync.h"
#include "persimmonquay/daemon/frame_limits.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/mesh/route_table.h"
#include <doctest/doctest.h>

namespace persimmonquay {
namespace {

proto::MeshConfiguration configuration(std::uint64_t Version,
                                       const std::string &Key) {
  proto::MeshConfiguration Result;
  Result.set_version(Version);
  proto::ClientAccount *Account = Result.add_accounts();
  Account->set_name("hotel");
  Account->add_keys(Key);
  return Result;
}

/// A node that knows one follower, and that follower.
struct SyncFixture {
  SyncFixture() {
    this->Follower.setServesPeers(true);
    this->Node.apply(configuration(5, "old-key"));
  }

  /// Lets the node ask, and the follower reply to the inquiry with this number.
  void exchange(std::uint64_t Inquiry) {
    CHECK_FALSE(this->Node.confirmNewest(this->Arrival));
    proto::ConfigurationQuery Query;
    Query.set_have_version(this->Node.current()->version());
    Query.set_inquiry(Inquiry);
    for (const proto::LinkFrame &Frame : this->Follower.repliesTo(Query))
      this->Node.handleFrame(Frame);
  }

  asio::io_context Context;
  MonoTime Arrival = monoNow();
  std::vector<std::string> Followers = {"follower"};
  /// Is not connected: the test passes the frames on.
  std::shared_ptr<PeerLink> Link = std::make_shared<PeerLink>(
      this->Context, "follower", Tcp::endpoint(), Millis(1000), FrameLimits(),
      [](const proto::LinkFrame &) {});
  ConfigurationSync Node = this->build();
  ConfigurationSync Follower = this->build();

private:
  ConfigurationSync build() {
    return {this->Context,
            ConfigurationSync::Callbacks{
                [](const std::shared_ptr<const RouteTable> &, bool) {},
                [this](const std::string &) { return this->Link; },
                [this] { return this->Followers; }}};
  }
};

TEST_CASE("a follower confirms a configuration that is the newest") {
  SyncFixture Fixture;
  Fixture.Follower.apply(configuration(5, "old-key"));
  Fixture.exchange(1);
  CHECK(Fixture.Node.confirmNewest(Fixture.Arrival));
}

// A caller's key was refused that the operator had just added.
TEST_CASE("a newer configuration comes before its confirmation") {
  SyncFixture Fixture;
  Fixture.Follower.apply(configuration(6, "new-key"));
  Fixture.exchange(1);
  CHECK(Fixture.Node.current()->accounts().find("new-key") != nullptr);
  CHECK(Fixture.Node.confirmNewest(Fixture.Arrival));
}

TEST_CASE("nothing is confirmed by a node that can't tell") {
  SyncFixture Fixture;
  SUBCASE("because it does not follow the records") {
    Fixture.Follower.setServesPeers(false);
    Fixture.Follower.apply(configuration(5, "old-key"));
  }
  SUBCASE("because it is behind itself") {
    Fixture.Follower.apply(configuration(5, "old-key"));
    Fixture.Follower.handlePeerVersion("other", true, 6);
  }
  SUBCASE("because it has an older configuration") {
    Fixture.Follower.apply(configuration(4, "older-key"));
  }
  SUBCASE("because it has none") {}
  Fixture.exchange(1);
  CHECK_FALSE(Fixture.Node.confirmNewest(Fixture.Arrival));
}

TEST_CASE("a node that knows of a newer configuration confirms none") {
  SyncFixture Fixture;
  Fixture.Follower.apply(configuration(5, "old-key"));
  Fixture.exchange(1);
  CHECK(Fixture.Node.confirmNewest(Fixture.Arrival));
  Fixture.Node.handlePeerVersion("other", true, 6);
  CHECK_FALSE(Fixture.Node.confirmNewest(Fixture.Arrival));
}

TEST_CASE("without other followers, only a follower confirms") {
  SyncFixture Fixture;
  Fixture.Followers.clear();
  CHECK_FALSE(Fixture.Node.confirmNewest(Fixture.Arrival));
  Fixture.Follower.apply(configuration(5, "old-key"));
  CHECK(Fixture.Follower.confirmNewest(Fixture.Arrival));
}

} // namespace
} // namespace persimmonquay
