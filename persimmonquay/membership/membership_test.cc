// Tests of the membership library.
#include "persimmonquay/membership/broadcast_queue.h"
#include "persimmonquay/membership/fact_table.h"
#include "persimmonquay/membership/failure_detector.h"
#include "persimmonquay/membership/member_table.h"
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <set>
#include <vector>

namespace persimmonquay {
namespace {

constexpr WallTime Now{Millis(1'000'000)};

proto::Member member(const std::string &Node, std::uint64_t Incarnation = 1,
                     proto::MemberState State = proto::ALIVE) {
  proto::Member Result;
  Result.set_node(Node);
  Result.set_data_centre("dc");
  Result.set_incarnation(Incarnation);
  Result.set_state(State);
  return Result;
}

proto::Fact fact(const std::string &Key, std::uint64_t Level,
                 const std::string &Detail = "") {
  proto::Fact Result;
  Result.set_kind(proto::MOVE_STEP);
  Result.set_key(Key);
  Result.set_level(Level);
  Result.set_detail(Detail);
  Result.set_expires_unix_ms(unixMillis(Now) + 1000);
  return Result;
}

TEST_CASE("members converge to the same table in any merge order") {
  std::vector<proto::Member> Updates = {
      member("a", 1), member("a", 1, proto::SUSPECT),
      member("a", 2), member("b", 3, proto::DEAD),
      member("b", 3), member("c", 1, proto::LEFT)};
  std::mt19937 Random(7);
  std::set<std::uint64_t> Hashes;
  for (int I = 0; I < 50; ++I) {
    std::shuffle(Updates.begin(), Updates.end(), Random);
    MemberTable Table(member("self"));
    for (const proto::Member &Member : Updates)
      Table.merge(Member, MonoTime());
    CHECK(Table.find("a")->incarnation() == 2);
    CHECK(Table.find("b")->state() == proto::DEAD);
    Hashes.insert(Table.hash());
  }
  CHECK(Hashes.size() == 1);
}

TEST_CASE("a node that is reported dead raises its incarnation") {
  MemberTable Table(member("self", 5));
  CHECK(Table.merge(member("self", 5, proto::DEAD), MonoTime()));
  CHECK(Table.self().incarnation() == 6);
  CHECK(Table.self().state() == proto::ALIVE);
  CHECK_FALSE(Table.merge(member("self", 5, proto::DEAD), MonoTime()));
}

TEST_CASE("only the entries of differing buckets are exchanged") {
  MemberTable Left(member("left"));
  MemberTable Right(member("right"));
  for (int I = 0; I < 500; ++I) {
    Left.merge(member(absl::StrCat("n", I)), MonoTime());
    Right.merge(member(absl::StrCat("n", I)), MonoTime());
  }
  const auto Entries = Left.entriesInDifferingBuckets(Right.buckets());
  CHECK(Entries.size() < 60);
  for (const proto::Member &Member : Entries)
    Right.merge(Member, MonoTime());
  for (const proto::Member &Member :
       Right.entriesInDifferingBuckets(Left.buckets()))
    Left.merge(Member, MonoTime());
  CHECK(Left.hash() == Right.hash());
}

TEST_CASE("dropped dead members no longer contribute to the hash") {
  MemberTable Table(member("self"));
  const std::uint64_t InitialHash = Table.hash();
  Table.merge(member("a", 1, proto::DEAD), MonoTime());
  Table.dropDepartedMembers(Millis(10), MonoTime() + Millis(5));
  CHECK(Table.find("a") != nullptr);
  Table.dropDepartedMembers(Millis(10), MonoTime() + Millis(50));
  CHECK(Table.find("a") == nullptr);
  CHECK(Table.hash() == InitialHash);
}

TEST_CASE("a role has the requested number of holders, all of them live") {
  MemberTable Table(member("self"));
  for (int I = 0; I < 20; ++I)
    Table.merge(
        member(absl::StrCat("n", I), 1, I < 10 ? proto::ALIVE : proto::DEAD),
        MonoTime());
  int HolderCount = 0;
  for (const std::string &Node : Table.liveNodes("dc"))
    HolderCount += Table.hasRole("reader", 2, Node) ? 1 : 0;
  CHECK(HolderCount == 2);
  CHECK_FALSE(Table.hasRole("reader", 100, "n15"));
}

/// Simulates members that acknowledge probes and members that don't.
class ProbeSimulation {
public:
  explicit ProbeSimulation(int Members) : Table(member("self")) {
    for (int I = 0; I < Members; ++I)
      this->Table.merge(member(absl::StrCat("n", I)), MonoTime());
  }

  /// Runs the detector for `Duration`; all members but `Unresponsive`
  /// acknowledge their probes.
  void run(Millis Duration, const std::set<std::string> &Unresponsive) {
    for (const MonoTime End = this->Clock + Duration; this->Clock < End;
         this->Clock += Millis(50))
      for (const DetectorAction &Action :
           this->Detector.tick(this->Clock, this->Random, &this->Table))
        if (const auto *Ping = std::get_if<SendPing>(&Action)) {
          this->PingedNodes.push_back(Ping->Node);
          if (!Unresponsive.contains(Ping->Node))
            this->Detector.onAck(Ping->Sequence);
        } else if (const auto *Request =
                       std::get_if<SendPingRequest>(&Action)) {
          ++this->IndirectProbeCount;
          if (this->IndirectProbesSucceed)
            this->Detector.onAck(Request->Sequence);
        } else if (const auto *Broadcast =
                       std::get_if<BroadcastState>(&Action)) {
          // A live member that is suspected refutes the suspicion.
          const proto::Member *Existing = this->Table.find(Broadcast->Node);
          if (!Unresponsive.contains(Broadcast->Node) &&
              Existing->state() == proto::SUSPECT)
            this->Table.merge(
                member(Broadcast->Node, Existing->incarnation() + 1),
                this->Clock);
        }
  }

  MemberTable Table;
  FailureDetector Detector = FailureDetector::Builder()
                                 .probeInterval(Millis(1000))
                                 .suspicionTimeout(Millis(3000))
                                 .build();
  std::mt19937_64 Random{3};
  MonoTime Clock{std::chrono::hours(1)};
  std::vector<std::string> PingedNodes;
  int IndirectProbeCount = 0;
  bool IndirectProbesSucceed = false;
};

TEST_CASE(
    "an unresponsive member becomes suspect and then dead; others stay alive") {
  ProbeSimulation Simulation(5);
  Simulation.run(Millis(20000), {"n2"});
  CHECK(Simulation.Table.find("n2")->state() == proto::DEAD);
  CHECK(Simulation.IndirectProbeCount >= 3);
  for (const char *Node : {"n0", "n1", "n3", "n4"})
    CHECK(Simulation.Table.find(Node)->state() == proto::ALIVE);
}

TEST_CASE("a member that only indirect probes reach is not suspected") {
  ProbeSimulation Simulation(5);
  Simulation.IndirectProbesSucceed = true;
  Simulation.run(Millis(20000), {"n2"});
  CHECK(Simulation.Table.find("n2")->state() == proto::ALIVE);
}

TEST_CASE("a suspect that refutes in time stays alive") {
  ProbeSimulation Simulation(1);
  Simulation.run(Millis(2500), {"n0"});
  CHECK(Simulation.Table.find("n0")->state() == proto::SUSPECT);
  Simulation.Table.merge(member("n0", 2), Simulation.Clock);
  Simulation.run(Millis(10000), {});
  CHECK(Simulation.Table.find("n0")->state() == proto::ALIVE);
}

TEST_CASE("every member is probed once in a round") {
  ProbeSimulation Simulation(8);
  Simulation.run(Millis(8000), {});
  CHECK(Simulation.PingedNodes.size() == 8);
  CHECK(std::set<std::string>(Simulation.PingedNodes.begin(),
                              Simulation.PingedNodes.end())
            .size() == 8);
}

TEST_CASE("a detector suspects nobody after its own process was suspended") {
  ProbeSimulation Simulation(1);
  Simulation.run(Millis(1000), {"n0"});
  Simulation.Clock += std::chrono::minutes(5);
  Simulation.run(Millis(100), {});
  CHECK(Simulation.Table.find("n0")->state() == proto::ALIVE);
}

TEST_CASE("facts converge in any merge order, and levels only grow") {
  std::vector<proto::Fact> Updates = {fact("m", 1, "b"), fact("m", 2, "b"),
                                      fact("m", 2, "a"), fact("n", 1)};
  std::mt19937 Random(7);
  std::set<std::uint64_t> Hashes;
  for (int I = 0; I < 24; ++I) {
    std::shuffle(Updates.begin(), Updates.end(), Random);
    FactTable Table;
    std::uint64_t LastLevel = 0;
    for (const proto::Fact &Fact : Updates) {
      Table.merge(Fact, Now);
      CHECK(Table.level(proto::MOVE_STEP, "m") >= LastLevel);
      LastLevel = Table.level(proto::MOVE_STEP, "m");
    }
    CHECK(Table.find(proto::MOVE_STEP, "m")->detail() == "a");
    Hashes.insert(Table.hash());
  }
  CHECK(Hashes.size() == 1);
}

TEST_CASE("facts expire, and expired facts are not merged again") {
  FactTable Table;
  CHECK(Table.merge(fact("m", 1), Now));
  Table.dropExpired(Now + Millis(5000));
  CHECK(Table.size() == 0);
  CHECK(Table.hash() == 0);
  CHECK_FALSE(Table.merge(fact("m", 1), Now + Millis(5000)));
}

TEST_CASE("facts are counted by key prefix") {
  FactTable Table;
  for (const char *Key : {"ab/1", "ab/2", "abc/1", "b/1"})
    Table.merge(fact(Key, 1), Now);
  CHECK(Table.countWithPrefix(proto::MOVE_STEP, "ab/") == 2);
  CHECK(Table.countWithPrefix(proto::MOVE_STEP, "c") == 0);
  CHECK(Table.countWithPrefix(proto::REQUEST_BLAME, "ab/") == 0);
}

TEST_CASE("facts without a key or over the size limit are ignored") {
  FactTable Table;
  CHECK_FALSE(Table.merge(fact("", 1), Now));
  CHECK_FALSE(Table.merge(fact("m", 1, std::string(5000, 'x')), Now));
}

TEST_CASE(
    "datagrams respect the size limit, and every update is finally dropped") {
  BroadcastQueue Queue;
  for (int I = 0; I < 200; ++I)
    Queue.addMember(member(absl::StrCat("node-with-a-long-name-", I)));
  std::size_t DatagramCount = 0;
  while (Queue.size() > 0) {
    proto::Datagram Message;
    Queue.fill(100, &Message);
    REQUIRE(Message.ByteSizeLong() <= MaxDatagramBytes);
    REQUIRE(Message.members_size() > 0);
    ++DatagramCount;
    REQUIRE(DatagramCount < 2000);
  }
}

TEST_CASE("a newer update of a member replaces the queued one") {
  BroadcastQueue Queue;
  Queue.addMember(member("a", 1));
  Queue.addMember(member("a", 2));
  proto::Datagram Message;
  Queue.fill(10, &Message);
  REQUIRE(Message.members_size() == 1);
  CHECK(Message.members(0).incarnation() == 2);
}

} // namespace
} // namespace persimmonquay
