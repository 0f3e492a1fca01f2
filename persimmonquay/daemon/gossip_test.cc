#include "persimmonquay/daemon/gossip.h"
#include "persimmonquay/fleet/evacuation_table.h"
#include "persimmonquay/fleet/node_directory.h"
#include "persimmonquay/rollout/rollout_table.h"
#include "persimmonquay/traffic/crash_ledger.h"
#include <doctest/doctest.h>
#include <memory>

namespace persimmonquay {
namespace {

/// A node that only gossips.
class GossipNode {
public:
  GossipNode(asio::io_context &Context, const std::string &Name,
             const std::string &DataCentre, std::uint64_t Boot = 100)
      : Directory(Name, Boot),
        Node(Context, this->Directory, this->Rollouts, this->Crashes,
             Gossip::Callbacks{[] {}, [](const std::string &, std::uint64_t) {},
                               [](const proto::RolloutProgress &) {},
                               [](const proto::RolloutTally &) {},
                               [this](bool Remembers, const Departures &Known) {
                                 ++this->HistoryCount;
                                 this->IsRemembered |= Remembers;
                                 mergeDepartures(this->History, Known);
                               },
                               [this](const proto::Evacuation &Copy) {
                                 return this->Evacuations.merge(Copy);
                               }}) {
    this->Node.setEvacuations(this->Evacuations);
    // Reserves a port, on which the node listens once it starts.
    Udp::socket Reserved(Context,
                         Udp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->Address = Reserved.local_endpoint();
    proto::NodeEntry Entry;
    Entry.set_data_centre(DataCentre);
    Entry.set_address(this->Address.address().to_string());
    Entry.set_link_port(this->Address.port());
    this->Directory.setOwnEntry(Entry);
  }

  void start() { REQUIRE(this->Node.start(this->Address)); }

  /// Takes over the address of an earlier run, which must have stopped.
  void useAddressOf(const GossipNode &EarlierRun) {
    this->Address = EarlierRun.Address;
    proto::NodeEntry Entry = this->Directory.ownEntry();
    Entry.set_link_port(this->Address.port());
    this->Directory.setOwnEntry(Entry);
  }

  void leave() {
    proto::NodeEntry Entry = this->Directory.ownEntry();
    Entry.clear_upstream();
    Entry.set_leaving(true);
    this->Directory.setOwnEntry(Entry);
    this->Node.announce();
  }

  /// Returns the entry as the store holds it.
  proto::NodeEntry storedEntry() const {
    proto::NodeEntry Result = this->Directory.ownEntry();
    Result.clear_boot();
    Result.clear_revision();
    Result.clear_upstream();
    return Result;
  }

  void join(const std::vector<const GossipNode *> &Others) {
    std::vector<proto::NodeEntry> Entries;
    for (const GossipNode *Other : Others) {
      Entries.push_back(Other->storedEntry());
      this->Directory.merge(Entries.back(), monoNow());
    }
    this->Node.join(Entries);
  }

  void registerUpstream() {
    proto::NodeEntry Entry = this->Directory.ownEntry();
    Entry.mutable_upstream()->set_service("gallery");
    this->Directory.setOwnEntry(Entry);
    this->Node.announce();
  }

  bool knowsUpstreamOf(const GossipNode &Other) const {
    const proto::NodeEntry *Entry =
        this->Directory.find(Other.Directory.ownEntry().node());
    return Entry != nullptr && Entry->has_upstream();
  }

  NodeDirectory Directory;
  RolloutTable Rollouts;
  CrashLedger Crashes;
  EvacuationTable Evacuations;
  Gossip Node;
  Udp::endpoint Address;
  /// What other nodes have said of this one's earlier runs.
  Departures History;
  bool IsRemembered = false;
  int HistoryCount = 0;
};

// Guards against an upstream that stayed unknown in another data centre for up
// to 15 s after all nodes had restarted: its announcement had been sent before
// the recipient listened, and small data centres compared directories with
// other ones only every eight seconds.
TEST_CASE("an announcement lost at the start is made up for within two "
          "seconds") {
  for (int Repetition = 0; Repetition < 3; ++Repetition) {
    asio::io_context Context;
    GossipNode Here(Context, "here-1", "here");
    GossipNode There(Context, "there-1", "there");
    // Nodes that have not started yet attract some of the datagrams.
    const GossipNode DownHere(Context, "here-2", "here");
    const GossipNode DownThere(Context, "there-2", "there");
    const auto RunFor = [&Context](Millis Duration) {
      Context.restart();
      Context.run_for(Duration);
    };
    Here.start();
    Here.join({&There, &DownHere, &DownThere});
    Here.registerUpstream();
    // Long enough that all repetitions of the announcement are lost.
    RunFor(Millis(2500));
    There.start();
    There.join({&Here, &DownHere, &DownThere});
    const MonoTime Start = monoNow();
    while (!There.knowsUpstreamOf(Here) &&
           monoNow() - Start < std::chrono::seconds(10))
      RunFor(Millis(20));
    CHECK(monoNow() - Start < std::chrono::seconds(2));
    Here.Node.stop();
    There.Node.stop();
    RunFor(Millis(20));
  }
}

TEST_CASE("a change reaches another data centre although its first "
          "announcement is lost") {
  asio::io_context Context;
  GossipNode Here(Context, "here-1", "here");
  GossipNode There(Context, "there-1", "there");
  // Half of the announcements go to this node and are lost.
  const GossipNode Down(Context, "there-2", "there");
  Here.start();
  There.start();
  Here.join({&There, &Down});
  There.join({&Here, &Down});
  // The fast comparisons of the start are over.
  Context.run_for(Millis(3000));
  for (int Change = 0; Change < 3; ++Change) {
    Here.registerUpstream();
    const MonoTime Start = monoNow();
    while (!There.knowsUpstreamOf(Here) &&
           monoNow() - Start < std::chrono::seconds(10)) {
      Context.restart();
      Context.run_for(Millis(20));
    }
    CHECK(monoNow() - Start < std::chrono::seconds(2));
    proto::NodeEntry Entry = Here.Directory.ownEntry();
    Entry.clear_upstream();
    Here.Directory.setOwnEntry(Entry);
    Here.Node.announce();
    while (There.knowsUpstreamOf(Here) &&
           monoNow() - Start < std::chrono::seconds(10)) {
      Context.restart();
      Context.run_for(Millis(20));
    }
    CHECK(monoNow() - Start < std::chrono::seconds(4));
  }
  Here.Node.stop();
  There.Node.stop();
}

// Nodes that were down or cut off when an upstream crashed must learn of it
// before they have been back for three seconds.
TEST_CASE("crashes reach nodes that missed the announcement, in both "
          "directions") {
  asio::io_context Context;
  GossipNode Here(Context, "here-1", "here");
  GossipNode Neighbour(Context, "here-2", "here");
  GossipNode There(Context, "there-1", "there");
  const auto RunFor = [&Context](Millis Duration) {
    Context.restart();
    Context.run_for(Duration);
  };
  Here.start();
  Here.join({&Neighbour, &There});
  Here.Node.broadcastCrashes(Here.Crashes.recordCrash({1}, 100, wallNow()));
  // Long enough that all repetitions of the announcement are lost.
  RunFor(Millis(2500));
  Neighbour.start();
  Neighbour.join({&Here, &There});
  There.Crashes.recordCrash({2}, 200, wallNow());
  There.start();
  There.join({&Here, &Neighbour});
  const MonoTime Start = monoNow();
  const auto AllKnow = [&] {
    return Here.Crashes.size() == 2 && Neighbour.Crashes.size() == 2 &&
           There.Crashes.size() == 2;
  };
  while (!AllKnow() && monoNow() - Start < std::chrono::seconds(10))
    RunFor(Millis(20));
  CHECK(monoNow() - Start < std::chrono::seconds(3));
  CHECK(Here.Crashes.hash() == There.Crashes.hash());
  // Equal copies are not sent again.
  RunFor(Millis(3000));
  const std::uint64_t BytesBefore = Here.Node.remoteBytes();
  RunFor(Millis(4000));
  CHECK(Here.Node.remoteBytes() - BytesBefore < 4 * 400);
  for (GossipNode *Node : {&Here, &Neighbour, &There})
    Node->Node.stop();
  RunFor(Millis(20));
}

// Found in an incident (pinjata-koop inc-b74f): nodes that restarted while the
// store reset their connections knew no other node, nor a configuration, for as
// long as the store did so. The others took them for gone.
TEST_CASE("a node that returns is found although it can't read the list") {
  asio::io_context Context;
  GossipNode First(Context, "here-1", "here");
  GossipNode Second(Context, "here-2", "here");
  auto Earlier = std::make_unique<GossipNode>(Context, "here-3", "here");
  const std::vector<GossipNode *> Nodes{&First, &Second, Earlier.get()};
  for (GossipNode *Node : Nodes)
    Node->start();
  First.join({&Second, Earlier.get()});
  Second.join({&First, Earlier.get()});
  Earlier->join({&First, &Second});
  First.registerUpstream();
  Earlier->registerUpstream();
  Context.run_for(Millis(500));
  REQUIRE(First.knowsUpstreamOf(*Earlier));
  Earlier->leave();
  Context.restart();
  Context.run_for(Millis(3000));
  REQUIRE_FALSE(First.knowsUpstreamOf(*Earlier));
  Earlier->Node.stop();
  Context.restart();
  Context.run_for(Millis(50));

  GossipNode Returned(Context, "here-3", "here", /*Boot=*/200);
  Returned.useAddressOf(*Earlier);
  Returned.start();
  Returned.registerUpstream();
  const MonoTime Start = monoNow();
  const auto IsKnown = [&] {
    return Returned.knowsUpstreamOf(First) && First.knowsUpstreamOf(Returned) &&
           Second.knowsUpstreamOf(Returned);
  };
  while (!IsKnown() && monoNow() - Start < std::chrono::seconds(10)) {
    Context.restart();
    Context.run_for(Millis(20));
  }
  CHECK(monoNow() - Start < std::chrono::seconds(3));
  First.Node.stop();
  Second.Node.stop();
  Returned.Node.stop();
  Context.restart();
  Context.run_for(Millis(50));
}

// The node has forgotten the departure, and announces its upstream as ready.
TEST_CASE("a node that can be reached again is told what it has forgotten") {
  asio::io_context Context;
  GossipNode First(Context, "here-1", "here");
  GossipNode Second(Context, "here-2", "here");
  auto Earlier = std::make_unique<GossipNode>(Context, "here-3", "here");
  const std::vector<GossipNode *> Nodes{&First, &Second, Earlier.get()};
  const auto RunFor = [&Context](Millis Duration) {
    Context.restart();
    Context.run_for(Duration);
  };
  for (GossipNode *Node : Nodes)
    Node->start();
  First.join({&Second, Earlier.get()});
  Second.join({&First, Earlier.get()});
  proto::NodeEntry Entry = Earlier->Directory.ownEntry();
  proto::DepartedUpstream *Departure = Entry.add_departed_upstreams();
  Departure->set_instance("i-1");
  Departure->set_started_up_to_unix_ms(1000);
  Earlier->Directory.setOwnEntry(Entry);
  Earlier->Node.announce();
  RunFor(Millis(100));
  Earlier->Node.stop();
  RunFor(Millis(50));

  GossipNode Returned(Context, "here-3", "here", /*Boot=*/200);
  Returned.useAddressOf(*Earlier);
  Returned.start();
  Returned.registerUpstream();
  First.Node.welcome("here-3");
  RunFor(Millis(50));
  CHECK(Returned.IsRemembered);
  REQUIRE(Returned.History.size() == 1);
  CHECK(Returned.History[0].instance() == "i-1");
  // Others learn it from those that remember.
  CHECK(First.Directory.find("here-3")->departed_upstreams_size() == 1);
  CHECK(First.Directory.find("here-3")->boot() == 200);
  CHECK(First.HistoryCount > 0);
  CHECK_FALSE(First.IsRemembered);
  First.Node.stop();
  Second.Node.stop();
  Returned.Node.stop();
  RunFor(Millis(50));
}

TEST_CASE("few of many nodes welcome a node that can be reached again") {
  asio::io_context Context;
  std::vector<std::unique_ptr<GossipNode>> Nodes;
  constexpr int NodeCount = 80;
  for (int I = 0; I < NodeCount; ++I) {
    Nodes.push_back(std::make_unique<GossipNode>(
        Context, "here-" + std::to_string(I), "here"));
    Nodes.back()->start();
  }
  for (const auto &Node : Nodes)
    for (const auto &Other : Nodes)
      Node->Directory.merge(Other->Directory.ownEntry(), monoNow());
  GossipNode Remote(Context, "there-1", "there");
  Remote.start();
  for (const auto &Node : Nodes)
    Remote.Directory.merge(Node->Directory.ownEntry(), monoNow());
  for (const auto &Node : Nodes)
    Node->Node.welcome("here-0");
  Context.run_for(Millis(100));
  CHECK(Nodes[0]->HistoryCount >= 1);
  CHECK(Nodes[0]->HistoryCount <= 25);
  const std::uint64_t RemoteBytes = Remote.Node.remoteBytes();
  Remote.Node.welcome("here-0");
  CHECK(Remote.Node.remoteBytes() == RemoteBytes);
  for (const auto &Node : Nodes)
    Node->Node.stop();
  Remote.Node.stop();
  Context.restart();
  Context.run_for(Millis(50));
}

TEST_CASE("an evacuation reaches all nodes, also those that start during it") {
  asio::io_context Context;
  const auto RunFor = [&Context](Millis Duration) {
    Context.restart();
    Context.run_for(Duration);
  };
  GossipNode Follower(Context, "here-1", "here");
  GossipNode Local(Context, "here-2", "here");
  GossipNode There(Context, "there-1", "there");
  GossipNode AlsoThere(Context, "there-2", "there");
  const std::vector<const GossipNode *> All = {&Follower, &Local, &There,
                                               &AlsoThere};
  for (GossipNode *Node : {&Follower, &Local, &There, &AlsoThere}) {
    Node->start();
    Node->join(All);
  }
  RunFor(Millis(300));
  proto::Evacuation Copy;
  Copy.set_data_centre("there");
  Copy.set_number(3);
  Copy.set_active(true);
  Follower.Evacuations.merge(Copy);
  Follower.Node.announce();
  // Less than the interval of comparisons: by the announcement and its relay.
  RunFor(Millis(200));
  for (const GossipNode *Node : All)
    CHECK(Node->Evacuations.isEvacuated("there"));
  GossipNode Late(Context, "there-3", "there");
  Late.start();
  Late.join({&There});
  RunFor(Millis(200));
  CHECK(Late.Evacuations.isEvacuated("there"));
  Copy.set_number(5);
  Copy.set_active(false);
  Late.Evacuations.merge(Copy);
  Late.Node.announce();
  RunFor(Millis(200));
  for (const GossipNode *Node : All)
    CHECK_FALSE(Node->Evacuations.isEvacuated("there"));
}

} // namespace
} // namespace persimmonquay
