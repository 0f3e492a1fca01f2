// Tests of the peer library.
#include "persimmonquay/peer/address_translator.h"
#include "persimmonquay/peer/cluster_state.h"
#include "persimmonquay/peer/sync_channel.h"
#include "proto/settings.pb.h"
#include "testing/free_port.h"
#include <absl/strings/str_cat.h>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace persimmonquay {
namespace {

using testing::freePort;

constexpr char Address[] = "127.0.0.1";

TEST_CASE("only addresses in data centres with a translation are translated") {
  proto::NodeSettings Settings;
  auto *Translation = Settings.add_translations();
  Translation->set_data_centre("hella");
  Translation->set_prefix("127.12");
  const AddressTranslator Translator(Settings);
  CHECK(Translator.translate("hella", "10.3.0.7") == "127.12.0.7");
  CHECK(Translator.translate("vik", "10.3.0.7") == "10.3.0.7");
}

TEST_CASE("sync requests get their replies, including large ones") {
  SyncServer Server;
  const std::uint16_t Port = freePort();
  REQUIRE(Server
              .start(Address, Port,
                     [](const std::string &Request) {
                       return Request + std::string(1 << 20, 'x');
                     })
              .ok());
  for (int I = 0; I < 3; ++I) {
    const auto Reply = requestSync(Address, Port, "hello", Millis(5000));
    REQUIRE(Reply.ok());
    CHECK(Reply->size() == (1 << 20) + 5);
  }
}

TEST_CASE("a sync request to an absent peer returns an error") {
  CHECK_FALSE(requestSync(Address, freePort(), "hello", Millis(200)).ok());
}

TEST_CASE("the error for a port in use names the port") {
  SyncServer First;
  SyncServer Second;
  const std::uint16_t Port = freePort();
  const auto EchoHandler = [](const std::string &Request) { return Request; };
  REQUIRE(First.start(Address, Port, EchoHandler).ok());
  const absl::Status SecondStart = Second.start(Address, Port, EchoHandler);
  CHECK(std::string(SecondStart.message()).find(std::to_string(Port)) !=
        std::string::npos);
}

/// Cluster states that exchange datagrams in memory, a given share of which is
/// lost.
class TestCluster {
public:
  TestCluster(int Members, double LossRate) : LossRate(LossRate) {
    for (int I = 0; I < Members; ++I) {
      proto::Member OwnMember;
      OwnMember.set_node(absl::StrCat("n", I));
      OwnMember.set_data_centre(absl::StrCat("dc", I % 2));
      OwnMember.set_incarnation(1);
      this->States[OwnMember.node()] =
          std::make_unique<ClusterState>(OwnMember,
                                         FailureDetector::Builder()
                                             .probeInterval(Millis(1000))
                                             .suspicionTimeout(Millis(3000))
                                             .build(),
                                         static_cast<std::uint64_t>(I) + 1);
    }
  }

  ClusterState &state(const std::string &Node) {
    return *this->States.at(Node);
  }

  /// Makes every node ping the first one, as nodes do with a seed.
  void joinThroughFirstNode() {
    for (auto &[Node, State] : this->States) {
      proto::Datagram Ping;
      State->addCommonFields(0, &Ping);
      Ping.mutable_ping()->set_sequence(0);
      this->deliver("n0", Ping);
    }
  }

  void run(Millis Duration) {
    for (const MonoTime End = this->Now + Duration; this->Now < End;
         this->Now += Millis(50)) {
      for (auto &[Node, State] : this->States)
        if (!this->UnreachableNodes.contains(Node))
          this->sendAll(Node,
                        State->tick(Millis(1000), this->Now, this->wall()));
      this->deliverAll();
      this->runPendingSyncs();
    }
  }

  void sendAll(const std::string &Sender, ClusterChange Change) {
    for (OutgoingDatagram &Datagram : Change.Datagrams) {
      this->States.at(Sender)->addCommonFields(0, &Datagram.Message);
      this->InFlight.emplace_back(Datagram.Destination.node(),
                                  std::move(Datagram.Message));
    }
  }

  WallTime wall() const { return WallTime(Millis(1'000'000)); }

  std::map<std::string, std::unique_ptr<ClusterState>> States;
  std::set<std::string> UnreachableNodes;
  MonoTime Now{std::chrono::hours(1)};
  std::map<std::string, MonoTime> LastSyncAt;
  double LossRate;

private:
  void deliver(const std::string &Receiver, const proto::Datagram &Message) {
    if (this->UnreachableNodes.contains(Receiver) ||
        this->UnreachableNodes.contains(Message.sender().node()))
      return;
    this->sendAll(Receiver, this->States.at(Receiver)->receive(
                                Message, this->Now, this->wall()));
    if (this->States.at(Receiver)->compareDigest(Message.digest(), 0) ==
        DigestComparison::Differs)
      this->PendingSyncs[Receiver] = Message.sender().node();
  }

  void deliverAll() {
    std::uniform_real_distribution<> LossDraw(0, 1);
    while (!this->InFlight.empty()) {
      const auto [Receiver, Message] = this->InFlight.front();
      this->InFlight.pop_front();
      if (LossDraw(this->Random) >= this->LossRate)
        this->deliver(Receiver, Message);
    }
  }

  /// Syncs nodes with a peer whose digest differed, at most once a second each.
  void runPendingSyncs() {
    for (const auto &[Node, Peer] : this->PendingSyncs) {
      if (this->Now - this->LastSyncAt[Node] < Millis(1000))
        continue;
      this->LastSyncAt[Node] = this->Now;
      proto::SyncRequest Request;
      proto::SyncReply Reply;
      this->States.at(Node)->fillSyncRequest(true, &Request);
      this->States.at(Peer)->fillSyncReply(Request, &Reply);
      this->sendAll(Node, this->States.at(Node)->mergeSyncReply(
                              Reply, this->Now, this->wall()));
    }
    this->PendingSyncs.clear();
  }

  std::mt19937_64 Random{11};
  std::deque<std::pair<std::string, proto::Datagram>> InFlight;
  std::map<std::string, std::string> PendingSyncs;
};

TEST_CASE("nodes that know one seed discover all others despite message loss") {
  TestCluster Cluster(20, 0.2);
  Cluster.joinThroughFirstNode();
  Cluster.run(Millis(20000));
  for (const auto &[Node, State] : Cluster.States)
    CHECK(State->members().size() == 20);
  // While messages are lost, live members are repeatedly suspected and refute
  // the suspicion. Once no more are lost, all tables become equal.
  Cluster.LossRate = 0;
  Cluster.run(Millis(10000));
  for (const auto &[Node, State] : Cluster.States) {
    CHECK(State->members().hash() == Cluster.state("n0").members().hash());
    CHECK(State->members().liveNodes("dc0").size() == 10);
  }
}

TEST_CASE("a published fact quickly reaches all nodes of all data centres") {
  TestCluster Cluster(30, 0);
  Cluster.joinThroughFirstNode();
  Cluster.run(Millis(10000));
  proto::Fact Fact;
  Fact.set_kind(proto::MOVE_TAKEN_BACK);
  Fact.set_key("m");
  Fact.set_level(1);
  Fact.set_expires_unix_ms(unixMillis(Cluster.wall()) + 1000);
  Cluster.sendAll("n7", Cluster.state("n7").publishFact(Fact, Cluster.wall()));
  Cluster.run(Millis(100));
  std::size_t NodesWithFact = 0;
  for (const auto &[Node, State] : Cluster.States)
    NodesWithFact += State->facts().level(proto::MOVE_TAKEN_BACK, "m");
  // Gossip reaches nearly all nodes; the next probes reach the rest.
  CHECK(NodesWithFact >= 27);
  Cluster.run(Millis(3000));
  for (const auto &[Node, State] : Cluster.States)
    CHECK(State->facts().level(proto::MOVE_TAKEN_BACK, "m") == 1);
}

TEST_CASE("an unreachable node is marked dead and rejoins when it returns") {
  TestCluster Cluster(12, 0);
  Cluster.joinThroughFirstNode();
  Cluster.run(Millis(10000));
  Cluster.UnreachableNodes.insert("n4");
  Cluster.run(Millis(25000));
  CHECK(Cluster.state("n0").members().find("n4")->state() == proto::DEAD);
  CHECK(Cluster.state("n1").members().find("n4")->state() == proto::DEAD);
  Cluster.UnreachableNodes.clear();
  Cluster.run(Millis(15000));
  for (const auto &[Node, State] : Cluster.States)
    CHECK(State->members().find("n4")->state() == proto::ALIVE);
}

TEST_CASE("a sync reply holds the highest offset the requester has reported") {
  TestCluster Cluster(2, 0);
  proto::Datagram Message;
  Cluster.state("n1").addCommonFields(7, &Message);
  Cluster.state("n0").receive(Message, Cluster.Now, Cluster.wall());
  proto::SyncRequest Request;
  proto::SyncReply Reply;
  Cluster.state("n1").fillSyncRequest(true, &Request);
  Cluster.state("n0").fillSyncReply(Request, &Reply);
  CHECK(Reply.floor_next_offset() == 7);
}

} // namespace
} // namespace persimmonquay
