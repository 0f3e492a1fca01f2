// The cluster protocol of one node as a state machine, without sockets and
// threads.
#ifndef PERSIMMONQUAY_PEER_CLUSTER_STATE_H
#define PERSIMMONQUAY_PEER_CLUSTER_STATE_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/membership/broadcast_queue.h"
#include "persimmonquay/membership/fact_table.h"
#include "persimmonquay/membership/failure_detector.h"
#include "persimmonquay/membership/member_table.h"
#include "proto/peer.pb.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace persimmonquay {

/// A datagram to send and the member that receives it.
struct OutgoingDatagram {
  proto::Member Destination;
  proto::Datagram Message;
};

/// Result of an update of the state: what changed and what is to be sent.
struct ClusterChange {
  bool MembersChanged = false;
  bool FactsChanged = false;
  std::vector<OutgoingDatagram> Datagrams;

  /// Merges `Other` into this change.
  void add(ClusterChange Other);
};

/// Result of comparing a peer's digest with the state of this node.
enum class DigestComparison {
  Equal,
  /// Members or facts differ: at least one of the two lacks an update.
  Differs,
  /// The peer has configuration records that this node lacks.
  ConfigBehind,
};

/// Member table, fact table and failure detector of one node. Methods take the
/// current time as an argument and return the datagrams to send.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   ClusterState State(OwnMember, Detector, Seed);
///   ClusterChange Change = State.receive(Message, MonoNow, WallNow);
class ClusterState {
public:
  ClusterState(const proto::Member &OwnMember, FailureDetector Detector,
               std::uint64_t Seed);

  // Commands.

  /// Merges the members and facts of a datagram and replies to its ping, ping
  /// request or ack.
  ClusterChange receive(const proto::Datagram &Message, MonoTime Now,
                        WallTime WallNow);

  /// Runs the periodic work that is due: probes, suspicion timeouts, pings to
  /// other data centres every `RelayPingInterval`, pings to dead nodes, and the
  /// removal of old entries.
  ClusterChange tick(Millis RelayPingInterval, MonoTime Now, WallTime WallNow);

  /// Replaces the node's own entry and pings a few random peers so that the
  /// update spreads.
  ClusterChange updateSelf(const proto::Member &OwnMember, MonoTime Now);

  /// Merges a fact and, if it is new, pings peers in every data centre.
  ClusterChange publishFact(const proto::Fact &Fact, WallTime WallNow);

  /// Returns pings to `LocalPeers` random peers in the node's data centre and,
  /// if this node is a relay, to random peers in the other data centres. Their
  /// digests and updates tell the receivers of a change.
  std::vector<OutgoingDatagram> makeGossipPings(std::size_t LocalPeers);

  /// Sets the sender, the digest and queued updates of an outgoing message.
  void addCommonFields(std::uint64_t ConfigNextOffset,
                       proto::Datagram *Message);

  /// Merges the members and facts that a peer sent in reply to a sync request.
  ClusterChange mergeSyncReply(const proto::SyncReply &Reply, MonoTime Now,
                               WallTime WallNow);

  // Queries.

  DigestComparison compareDigest(const proto::Digest &Digest,
                                 std::uint64_t ConfigNextOffset) const;

  /// Fills a request for a peer's state. Without `IncludeMembers` it carries no
  /// hashes of members, so that the reply holds configuration and facts only,
  /// and is much shorter.
  void fillSyncRequest(bool IncludeMembers, proto::SyncRequest *Request) const;

  /// Adds the members and facts that the requester may lack, and raises
  /// `floor_next_offset` in `Reply` to the highest configuration offset that
  /// the requester has reported to this node.
  void fillSyncReply(const proto::SyncRequest &Request,
                     proto::SyncReply *Reply) const;

  const MemberTable &members() const { return this->Members; }
  const FactTable &facts() const { return this->Facts; }

private:
  bool mergeMembers(const proto::Datagram &Message, MonoTime Now);
  bool mergeFacts(const proto::Datagram &Message, WallTime WallNow);
  void replyTo(const proto::Datagram &Message, ClusterChange *Change);
  void perform(const DetectorAction &Action, ClusterChange *Change);
  OutgoingDatagram makePing(const std::string &Node,
                            std::uint64_t Sequence) const;
  std::vector<std::string> randomLiveNodes(const std::string &DataCentre,
                                           std::size_t Count);
  std::vector<OutgoingDatagram>
  makePings(const std::vector<std::string> &Nodes);
  std::vector<std::string> otherDataCentres() const;
  std::string randomDeadNode();

  MemberTable Members;
  FactTable Facts;
  BroadcastQueue Queue;
  FailureDetector Detector;
  std::mt19937_64 Random;
  /// Highest configuration offset that each node has reported.
  std::map<std::string, std::uint64_t> ReportedConfigOffsets;
  /// Pings sent on behalf of other nodes: maps the sequence number used here to
  /// the requesting node and its sequence number.
  std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> IndirectPings;
  std::uint64_t NextIndirectSequence;
  MonoTime LastRelayPing{};
  MonoTime LastDeadProbe{};
  MonoTime LastCleanup{};
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PEER_CLUSTER_STATE_H
