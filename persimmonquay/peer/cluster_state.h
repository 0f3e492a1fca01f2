// What a node decides as a member of its group, apart from sockets and threads.
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

/// A message and whom it is for.
struct OutgoingDatagram {
  proto::Member To;
  proto::Datagram Message;
};

/// What came of a received datagram or of the passing of time.
struct ClusterChange {
  bool MembersChanged = false;
  bool FactsChanged = false;
  std::vector<OutgoingDatagram> Send;

  /// Adds another change to this one.
  void add(ClusterChange Other);
};

/// How a peer's digest compares with this node.
enum class DigestComparison {
  Equal,
  /// Members or facts differ; one of the two lacks something.
  Differs,
  /// The peer has newer configuration records.
  ConfigBehind,
};

/// The members, the facts and the probing of one node. Every method takes the
/// time as an argument and returns what is to be sent; nothing here blocks.
///
/// Not thread-safe.
///
/// Example:
///   ClusterState State(OwnMember, Detector, Seed);
///   ClusterChange Change = State.receive(Message, MonoNow, WallNow);
class ClusterState {
public:
  ClusterState(const proto::Member &Own, FailureDetector Detector,
               std::uint64_t Seed);

  // Commands.

  /// Merges what a datagram brings and answers it.
  ClusterChange receive(const proto::Datagram &Message, MonoTime Now,
                        WallTime WallNow);

  /// Lets time pass: probes, relays and suspicions.
  ClusterChange tick(Millis RelayInterval, MonoTime Now, WallTime WallNow);

  /// Replaces what the node says about itself, and tells some peers.
  ClusterChange updateSelf(const proto::Member &Facts, MonoTime Now);

  /// Merges a fact and, if it is new, tells peers in every data centre.
  ClusterChange publishFact(const proto::Fact &Fact, WallTime WallNow);

  /// Returns pings, whose digest tells of a change, to `Count` random peers of
  /// the own data centre and, from a relay, to the other data centres.
  std::vector<OutgoingDatagram> push(std::size_t Count);

  /// Completes a message before it is sent: sender, digest and updates.
  void complete(std::uint64_t ConfigNextOffset, proto::Datagram *Message);

  /// Merges what a peer sent in answer to a request for state.
  ClusterChange merge(const proto::SyncReply &Reply, MonoTime Now,
                      WallTime WallNow);

  // Queries.

  DigestComparison compare(const proto::Digest &Digest,
                           std::uint64_t ConfigNextOffset) const;

  /// Fills a request for the state of a peer; without members and facts it asks
  /// for configuration only and is much shorter.
  void fillRequest(bool WithMembers, proto::SyncRequest *Request) const;

  /// Adds members and facts that the asker lacks, and raises the floor in
  /// `Reply` to the offset at which the asker was last seen.
  void fillReply(const proto::SyncRequest &Request,
                 proto::SyncReply *Reply) const;

  const MemberTable &members() const { return this->Members; }
  const FactTable &facts() const { return this->Facts; }

private:
  bool mergeMembers(const proto::Datagram &Message, MonoTime Now);
  bool mergeFacts(const proto::Datagram &Message, WallTime WallNow);
  void answer(const proto::Datagram &Message, ClusterChange *Change);
  void perform(const DetectorAction &Action, ClusterChange *Change);
  OutgoingDatagram pingTo(const std::string &Node,
                          std::uint64_t Sequence) const;
  std::vector<std::string> randomLiveNodes(const std::string &DataCentre,
                                           std::size_t Count);
  std::vector<OutgoingDatagram> pings(const std::vector<std::string> &Nodes);
  std::vector<std::string> otherDataCentres() const;
  std::string randomDeadNode();

  MemberTable Members;
  FactTable Facts;
  BroadcastQueue Queue;
  FailureDetector Detector;
  std::mt19937_64 Random;
  /// Newest configuration offset at which each node was seen.
  std::map<std::string, std::uint64_t> SeenOffsets;
  /// Pings passed on for others: own sequence to the asker and its sequence.
  std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> Relayed;
  std::uint64_t NextRelayed;
  MonoTime LastRelay{};
  MonoTime LastDeadProbe{};
  MonoTime LastForget{};
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PEER_CLUSTER_STATE_H
