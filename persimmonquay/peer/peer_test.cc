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

TEST_CASE("addresses of other data centres are translated, others are not") {
  proto::NodeSettings Settings;
  auto *Translation = Settings.add_translations();
  Translation->set_data_centre("hella");
  Translation->set_prefix("127.12");
  const AddressTranslator Book(Settings);
  CHECK(Book.translate("hella", "10.3.0.7") == "127.12.0.7");
  CHECK(Book.translate("vik", "10.3.0.7") == "10.3.0.7");
}

TEST_CASE("a sync request gets its answer, large ones too") {
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

TEST_CASE("a peer that is not there is an error, not a wait without end") {
  CHECK_FALSE(requestSync(Address, freePort(), "hello", Millis(200)).ok());
}

TEST_CASE("a port that is taken is named") {
  SyncServer First;
  SyncServer Second;
  const std::uint16_t Port = freePort();
  const auto Answer = [](const std::string &Request) { return Request; };
  REQUIRE(First.start(Address, Port, Answer).ok());
  const absl::Status Taken = Second.start(Address, Port, Answer);
  CHECK(std::string(Taken.message()).find(std::to_string(Port)) !=
        std::string::npos);
}

/// Group states that exchange their datagrams in memory, some of which are
/// lost.
class SmallGroup {
public:
  SmallGroup(int Members, double LossRate) : LossRate(LossRate) {
    for (int I = 0; I < Members; ++I) {
      proto::Member Own;
      Own.set_node(absl::StrCat("n", I));
      Own.set_data_centre(absl::StrCat("dc", I % 2));
      Own.set_incarnation(1);
      this->States[Own.node()] =
          std::make_unique<ClusterState>(Own,
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

  /// Makes every node know the first one, as seeds do.
  void introduce() {
    for (auto &[Node, State] : this->States) {
      proto::Datagram Hello;
      State->complete(0, &Hello);
      Hello.mutable_ping()->set_sequence(0);
      this->deliver("n0", Hello);
    }
  }

  void run(Millis Time) {
    for (const MonoTime End = this->Now + Time; this->Now < End;
         this->Now += Millis(50)) {
      for (auto &[Node, State] : this->States)
        if (!this->Silent.contains(Node))
          this->post(Node, State->tick(Millis(1000), this->Now, this->wall()));
      this->deliverAll();
      this->syncDiffering();
    }
  }

  void post(const std::string &From, ClusterChange Change) {
    for (OutgoingDatagram &Each : Change.Send) {
      this->States.at(From)->complete(0, &Each.Message);
      this->Waiting.emplace_back(Each.To.node(), std::move(Each.Message));
    }
  }

  WallTime wall() const { return WallTime(Millis(1'000'000)); }

  std::map<std::string, std::unique_ptr<ClusterState>> States;
  std::set<std::string> Silent;
  MonoTime Now{std::chrono::hours(1)};
  std::map<std::string, MonoTime> SyncedAt;
  double LossRate;

private:
  void deliver(const std::string &To, const proto::Datagram &Message) {
    if (this->Silent.contains(To) ||
        this->Silent.contains(Message.sender().node()))
      return;
    this->post(To,
               this->States.at(To)->receive(Message, this->Now, this->wall()));
    if (this->States.at(To)->compare(Message.digest(), 0) ==
        DigestComparison::Differs)
      this->Differing[To] = Message.sender().node();
  }

  void deliverAll() {
    std::uniform_real_distribution<> Chance(0, 1);
    while (!this->Waiting.empty()) {
      const auto [To, Message] = this->Waiting.front();
      this->Waiting.pop_front();
      if (Chance(this->Random) >= this->LossRate)
        this->deliver(To, Message);
    }
  }

  /// Fetches the state of a peer that differs, at most once a second.
  void syncDiffering() {
    for (const auto &[Node, Peer] : this->Differing) {
      if (this->Now - this->SyncedAt[Node] < Millis(1000))
        continue;
      this->SyncedAt[Node] = this->Now;
      proto::SyncRequest Request;
      proto::SyncReply Reply;
      this->States.at(Node)->fillRequest(true, &Request);
      this->States.at(Peer)->fillReply(Request, &Reply);
      this->post(Node,
                 this->States.at(Node)->merge(Reply, this->Now, this->wall()));
    }
    this->Differing.clear();
  }

  std::mt19937_64 Random{11};
  std::deque<std::pair<std::string, proto::Datagram>> Waiting;
  std::map<std::string, std::string> Differing;
};

TEST_CASE("nodes that know only one other find all, though messages are lost") {
  SmallGroup Group(20, 0.2);
  Group.introduce();
  Group.run(Millis(20000));
  for (const auto &[Node, State] : Group.States)
    CHECK(State->members().size() == 20);
  // While messages are lost, members are suspected and refute again and again;
  // once that ends, all tables become equal.
  Group.LossRate = 0;
  Group.run(Millis(10000));
  for (const auto &[Node, State] : Group.States) {
    CHECK(State->members().hash() == Group.state("n0").members().hash());
    CHECK(State->members().liveNodes("dc0").size() == 10);
  }
}

TEST_CASE("a fact reaches every node of every data centre at once") {
  SmallGroup Group(30, 0);
  Group.introduce();
  Group.run(Millis(10000));
  proto::Fact Fact;
  Fact.set_kind(proto::MOVE_TAKEN_BACK);
  Fact.set_key("m");
  Fact.set_level(1);
  Fact.set_expires_unix_ms(unixMillis(Group.wall()) + 1000);
  Group.post("n7", Group.state("n7").publishFact(Fact, Group.wall()));
  Group.run(Millis(100));
  std::size_t Informed = 0;
  for (const auto &[Node, State] : Group.States)
    Informed += State->facts().level(proto::MOVE_TAKEN_BACK, "m");
  // Nearly all by flooding; the rest by the next probes.
  CHECK(Informed >= 27);
  Group.run(Millis(3000));
  for (const auto &[Node, State] : Group.States)
    CHECK(State->facts().level(proto::MOVE_TAKEN_BACK, "m") == 1);
}

TEST_CASE("a silent node is dead for all of its data centre, and returns") {
  SmallGroup Group(12, 0);
  Group.introduce();
  Group.run(Millis(10000));
  Group.Silent.insert("n4");
  Group.run(Millis(25000));
  CHECK(Group.state("n0").members().find("n4")->state() == proto::DEAD);
  CHECK(Group.state("n1").members().find("n4")->state() == proto::DEAD);
  Group.Silent.clear();
  Group.run(Millis(15000));
  for (const auto &[Node, State] : Group.States)
    CHECK(State->members().find("n4")->state() == proto::ALIVE);
}

TEST_CASE("a peer tells the floor at which it remembers the asker") {
  SmallGroup Group(2, 0);
  proto::Datagram Seen;
  Group.state("n1").complete(7, &Seen);
  Group.state("n0").receive(Seen, Group.Now, Group.wall());
  proto::SyncRequest Request;
  proto::SyncReply Reply;
  Group.state("n1").fillRequest(true, &Request);
  Group.state("n0").fillReply(Request, &Reply);
  CHECK(Reply.floor_next_offset() == 7);
}

} // namespace
} // namespace persimmonquay
