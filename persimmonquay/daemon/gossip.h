// Tells nodes about each other by datagrams.
#ifndef PERSIMMONQUAY_DAEMON_GOSSIP_H
#define PERSIMMONQUAY_DAEMON_GOSSIP_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "proto/link.pb.h"
#include <array>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmonquay {

class NodeDirectory;
class RolloutTable;

/// Spreads entries of nodes and the progress of rollouts. What changes is sent
/// at once to every node of the own data centre and to one of each other, which
/// passes it on there: bytes between data centres are dear. What gets lost is
/// found by comparing hashes with a random node each second: two nodes that
/// differ exchange the hashes of their entries, and then only the entries that
/// one of them lacks. Lives on one thread.
class Gossip {
public:
  struct Events {
    /// An entry of the directory has changed.
    std::function<void()> OnNodes;
    /// `Node` holds a configuration of that version.
    std::function<void(const std::string &Node, std::uint64_t Version)>
        OnConfigurationVersion;
    std::function<void(const proto::RolloutProgress &)> OnRollout;
    std::function<void(const proto::RolloutTally &)> OnTally;
  };

  Gossip(asio::io_context &Loop, NodeDirectory &Entries, RolloutTable &Book,
         Events Handlers);

  // Commands.

  /// Opens the socket; returns false when the address is taken.
  bool start(const Udp::endpoint &Address);
  void stop();

  /// Tells all nodes known this node's entry.
  void announce();

  /// Tells this node's entry to nodes that were read from a list, and asks
  /// some of them for what they know.
  void greet(const std::vector<proto::NodeEntry> &Listed);

  /// Tells all nodes known how far a rollout is.
  void spread(const proto::RolloutProgress &Progress);

  /// Sends counts to the node that decides on a rollout.
  void sendTallies(const std::string &Driver,
                   const std::vector<proto::RolloutTally> &Tallies);

  /// Tells the nodes of the own data centre which configuration is held here.
  void announceNear();

  /// Sets the version that is told with every message.
  void setConfigurationVersion(std::uint64_t Version) {
    this->ConfigurationVersion = Version;
  }

  /// Sets whether this node is said to follow the operator's records.
  void setFollowsStore(bool Follows) { this->FollowsStore = Follows; }

  // Queries.

  /// Returns the bytes sent to other data centres.
  std::uint64_t farBytes() const { return this->FarBytes; }

  /// Returns whether `Node` has said that it follows the operator's records.
  bool followsStore(const std::string &Node) const {
    return this->Followers.contains(Node);
  }

private:
  asio::awaitable<void> receiveLoop();
  asio::awaitable<void> compareLoop();
  void handle(const proto::GossipMessage &Message);
  void compareWith(const proto::NodeEntry &Node);
  void relay(const proto::GossipMessage &Received,
             const std::vector<proto::NodeEntry> &News);
  void sendSummary(const proto::NodeEntry &To);
  void answerSummary(const proto::GossipMessage &Summary);
  void sendEntries(const proto::NodeEntry &To,
                   const std::vector<const proto::NodeEntry *> &Entries);
  proto::GossipMessage message() const;
  void send(const proto::GossipMessage &Message, const proto::NodeEntry &To);
  void sendNear(const proto::GossipMessage &Message);
  void sendEverywhere(proto::GossipMessage Message);

  asio::io_context &Context;
  NodeDirectory &Nodes;
  RolloutTable &Rollouts;
  Events On;
  Udp::socket Socket;
  asio::steady_timer CompareTimer;
  std::array<char, 65536> Input{};
  std::uint64_t ConfigurationVersion = 0;
  std::mt19937_64 Random;
  bool FollowsStore = false;
  std::uint64_t FarBytes = 0;
  std::set<std::string> Followers;
  bool Stopped = false;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_GOSSIP_H
