// Spreads information about nodes and rollouts by gossip over UDP.
#ifndef PERSIMMONQUAY_DAEMON_GOSSIP_H
#define PERSIMMONQUAY_DAEMON_GOSSIP_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/fleet/departures.h"
#include "proto/link.pb.h"
#include <array>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmonquay {

class CrashLedger;
class EvacuationTable;
class NodeDirectory;
class RolloutTable;

/// Spreads the entries of nodes, the progress of rollouts, and crashes of
/// upstreams that are attributed to requests.
///
/// A change is sent at once to every node of the local data centre and to one
/// node of each other data centre, which relays it there, since traffic between
/// data centres is expensive. Lost datagrams are made up for by anti-entropy:
/// every second a node compares the hash of its directory with that of a random
/// node. If they differ, the two exchange the hashes of their entries, and then
/// only the entries that one of them lacks.
///
/// Handles a node that restarts while the stored list of nodes can't be read,
/// so that it knows no other node: nodes that have left are also offered
/// comparisons for a while, by which they learn of the others, and then they
/// announce themselves. A node that can be reached again is compared with at
/// once, and is told the departures of its upstreams, which it may have
/// forgotten.
///
/// Confined to one thread.
class Gossip {
public:
  struct Callbacks {
    /// Called when an entry of the directory has changed.
    std::function<void()> OnDirectoryChanged;
    /// Called when `Node` has a newer configuration than this node.
    std::function<void(const std::string &Node, std::uint64_t Version)>
        OnConfigurationVersion;
    std::function<void(const proto::RolloutProgress &)> OnRolloutProgress;
    std::function<void(const proto::RolloutTally &)> OnTally;
    /// Called with what another node knows of this one: whether it has heard of
    /// an earlier run, and the departures of this node's upstreams.
    std::function<void(bool RemembersEarlierRun, const Departures &Known)>
        OnHistory;
    /// Called with evacuations that may be new; returns whether they are.
    std::function<bool(const proto::Evacuation &)> OnEvacuation = {};
  };

  Gossip(asio::io_context &IoContext, NodeDirectory &KnownNodes,
         RolloutTable &KnownRollouts, CrashLedger &KnownCrashes,
         Callbacks NodeCallbacks);

  // Commands.

  /// Opens the socket. Logs an error and returns false if that fails, for
  /// instance because the address is in use.
  bool start(const Udp::endpoint &Address);

  void stop();

  /// Sends this node's entry and configuration version to all known nodes, and
  /// to other data centres a few more times with the next comparisons.
  void announce();

  /// Joins the mesh through nodes read from a stored list: announces this node,
  /// and compares directories with some of the list's nodes in the local
  /// data centre.
  void join(const std::vector<proto::NodeEntry> &SeedNodes);

  /// Sends the progress of a rollout to all known nodes.
  void broadcastProgress(const proto::RolloutProgress &Progress);

  /// Sends records of crashes to all known nodes, and to other data centres a
  /// few more times with the next comparisons.
  void broadcastCrashes(const std::vector<proto::CrashRecord> &Records);

  /// Sends counts of calls to `DriverNode`, the node that decides on a rollout.
  void sendTallies(const std::string &DriverNode,
                   const std::vector<proto::RolloutTally> &Tallies);

  /// Sends this node's entry and configuration version to the nodes of the
  /// local data centre.
  void announceLocally();

  /// Compares directories with a node that can be reached again, unless enough
  /// other nodes of its data centre are expected to.
  void welcome(const std::string &Node);

  /// Sets the configuration version that every message carries.
  void setConfigurationVersion(std::uint64_t Version) {
    this->ConfigurationVersion = Version;
  }

  /// Sets the evacuations that every message carries; there are as many as data
  /// centres that have ever been evacuated. `Known` must outlive this object.
  void setEvacuations(const EvacuationTable &Known) {
    this->Evacuations = &Known;
  }

  /// Sets whether messages say that this node follows the operator's records.
  void setFollowsStore(bool Enabled) { this->FollowsStore = Enabled; }

  // Queries.

  /// Returns the number of bytes sent to other data centres.
  std::uint64_t remoteBytes() const { return this->RemoteBytes; }

  /// Returns whether `Node`, by its last message, follows the operator's
  /// records.
  bool followsStore(const std::string &Node) const {
    return this->StoreFollowers.contains(Node);
  }

private:
  asio::awaitable<void> receiveLoop();
  asio::awaitable<void> compareLoop();
  /// Compares directories with one other node.
  void compareOnce(std::uint64_t Round);
  /// Offers a comparison to a node of the local data centre that has left.
  void inviteDepartedNode(std::size_t ActiveLocalNodes);
  /// Announces this node to the nodes that it has learned of without `join()`.
  void announceToNewNodes();
  void handleMessage(const proto::GossipMessage &Message);
  void compareWith(const proto::NodeEntry &Node);
  /// Passes on what a message says of this node's earlier runs.
  void handleHistory(const proto::GossipMessage &Message);
  /// Adds what this node knows of the recipient's earlier runs.
  void addHistory(proto::GossipMessage &Message,
                  const proto::NodeEntry &Recipient) const;
  void relay(const proto::GossipMessage &Received,
             const std::vector<proto::NodeEntry> &UpdatedEntries,
             const std::vector<proto::CrashRecord> &NewCrashes);
  /// Merges the crashes of a message; returns those that are new.
  std::vector<proto::CrashRecord>
  mergeCrashes(const proto::GossipMessage &Message);
  /// Merges the evacuations of a message and passes new ones on.
  void mergeEvacuations(const proto::GossipMessage &Message);
  /// Sends the most important crashes that are known. `IsReply` says whether
  /// this replies to a comparison.
  void sendCrashes(const proto::NodeEntry &Recipient, bool IsReply);
  void sendSummary(const proto::NodeEntry &Recipient);
  void replyToSummary(const proto::GossipMessage &Summary);
  void sendEntries(const proto::NodeEntry &Recipient,
                   const std::vector<const proto::NodeEntry *> &Entries);
  proto::GossipMessage makeMessage() const;
  void send(const proto::GossipMessage &Message,
            const proto::NodeEntry &Recipient);
  void sendLocally(const proto::GossipMessage &Message);
  void broadcast(const proto::GossipMessage &Message);
  /// Sends a message to one node of each other data centre, which relays it.
  void sendToRemoteDataCentres(proto::GossipMessage Message);

  asio::io_context &Context;
  NodeDirectory &Directory;
  RolloutTable &Rollouts;
  CrashLedger &Crashes;
  const EvacuationTable *Evacuations = nullptr;
  Callbacks Callback;
  Udp::socket Socket;
  asio::steady_timer CompareTimer;
  std::array<char, 65536> ReceiveBuffer{};
  std::uint64_t ConfigurationVersion = 0;
  std::mt19937_64 RandomEngine;
  bool FollowsStore = false;
  std::uint64_t RemoteBytes = 0;
  /// Nodes that follow the operator's records, by their last message.
  std::set<std::string> StoreFollowers;
  /// Whether `join()` has been called.
  bool HasJoined = false;
  /// Number of nodes to which this one has announced itself without `join()`.
  std::size_t AnnouncedNodes = 0;
  int FastComparisonsLeft = 0;
  int AnnouncementsToRepeat = 0;
  /// Crashes to repeat with the next announcements to other data centres.
  std::vector<proto::CrashRecord> CrashesToRepeat;
  bool Stopped = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_GOSSIP_H
