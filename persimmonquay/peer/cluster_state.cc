#include "persimmonquay/peer/cluster_state.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <variant>

namespace persimmonquay {
namespace internal {

constexpr Millis DeadProbeInterval{5000};
constexpr Millis DepartedMemberRetention = std::chrono::hours(1);
constexpr Millis CleanupInterval = std::chrono::minutes(1);
/// Number of peers pinged immediately when this node publishes a fact or
/// changes its own entry, and when it receives a fact that is new to it.
constexpr std::size_t LocalUpdateFanout = 5;
constexpr std::size_t ForwardedFactFanout = 3;
/// Number of nodes in a data centre that exchange digests with each of the
/// other data centres.
constexpr std::size_t RelaysPerDataCentre = 2;
/// Sequence numbers of indirect pings start above those that the failure
/// detector assigns, so that the two never collide.
constexpr std::uint64_t FirstIndirectSequence = std::uint64_t{1} << 32;

void append(std::vector<OutgoingDatagram> Datagrams,
            std::vector<OutgoingDatagram> *Target) {
  for (OutgoingDatagram &Datagram : Datagrams)
    Target->push_back(std::move(Datagram));
}

} // namespace internal

void ClusterChange::add(ClusterChange Other) {
  this->MembersChanged |= Other.MembersChanged;
  this->FactsChanged |= Other.FactsChanged;
  internal::append(std::move(Other.Datagrams), &this->Datagrams);
}

ClusterState::ClusterState(const proto::Member &OwnMember,
                           FailureDetector Detector, std::uint64_t Seed)
    : Members(OwnMember), Detector(std::move(Detector)), Random(Seed),
      NextIndirectSequence(internal::FirstIndirectSequence) {}

// Receiving.

ClusterChange ClusterState::receive(const proto::Datagram &Message,
                                    MonoTime Now, WallTime WallNow) {
  ClusterChange Change;
  if (Message.sender().node() == this->Members.self().node())
    return Change;
  Change.MembersChanged = this->mergeMembers(Message, Now);
  Change.FactsChanged = this->mergeFacts(Message, WallNow);
  std::uint64_t &ReportedOffset =
      this->ReportedConfigOffsets[Message.sender().node()];
  ReportedOffset =
      std::max(ReportedOffset, Message.digest().config_next_offset());
  if (Change.FactsChanged)
    internal::append(this->makeGossipPings(internal::ForwardedFactFanout),
                     &Change.Datagrams);
  this->replyTo(Message, &Change);
  return Change;
}

bool ClusterState::mergeMembers(const proto::Datagram &Message, MonoTime Now) {
  const std::string &Sender = Message.sender().node();
  bool Changed = this->Members.merge(Message.sender(), Now);
  const proto::Member *Stored = this->Members.find(Sender);
  // If this node's entry of the sender has another state than the sender
  // reports, for example dead, the sender must learn of it to refute it.
  if (Stored != nullptr &&
      (Changed || Stored->state() != Message.sender().state()))
    this->Queue.addMember(*Stored);
  for (const proto::Member &Member : Message.members()) {
    if (!this->Members.merge(Member, Now))
      continue;
    Changed = true;
    this->Queue.addMember(*this->Members.find(Member.node()));
  }
  return Changed;
}

bool ClusterState::mergeFacts(const proto::Datagram &Message,
                              WallTime WallNow) {
  bool Changed = false;
  for (const proto::Fact &Fact : Message.facts()) {
    if (!this->Facts.merge(Fact, WallNow))
      continue;
    Changed = true;
    this->Queue.addFact(Fact);
  }
  return Changed;
}

void ClusterState::replyTo(const proto::Datagram &Message,
                           ClusterChange *Change) {
  OutgoingDatagram Reply;
  Reply.Destination = Message.sender();
  if (Message.has_ping()) {
    Reply.Message.mutable_ack()->set_sequence(Message.ping().sequence());
  } else if (Message.has_ping_request()) {
    const std::uint64_t Sequence = this->NextIndirectSequence++;
    this->IndirectPings[Sequence] = {Message.sender().node(),
                                     Message.ping_request().sequence()};
    Reply.Message.mutable_ping()->set_sequence(Sequence);
    Reply.Destination = Message.ping_request().target();
  } else if (Message.has_ack()) {
    this->Detector.onAck(Message.ack().sequence());
    const auto IndirectPing =
        this->IndirectPings.find(Message.ack().sequence());
    if (IndirectPing == this->IndirectPings.end())
      return;
    const proto::Member *Requester =
        this->Members.find(IndirectPing->second.first);
    Reply.Message.mutable_ack()->set_sequence(IndirectPing->second.second);
    this->IndirectPings.erase(IndirectPing);
    if (Requester == nullptr)
      return;
    Reply.Destination = *Requester;
  } else {
    return;
  }
  Change->Datagrams.push_back(std::move(Reply));
}

// Periodic work.

ClusterChange ClusterState::tick(Millis RelayPingInterval, MonoTime Now,
                                 WallTime WallNow) {
  ClusterChange Change;
  for (const DetectorAction &Action :
       this->Detector.tick(Now, this->Random, &this->Members))
    this->perform(Action, &Change);
  if (Now - this->LastRelayPing >= RelayPingInterval) {
    this->LastRelayPing = Now;
    // No gossip pings within the data centre: the probes already carry digests.
    internal::append(this->makeGossipPings(0), &Change.Datagrams);
  }
  if (Now - this->LastDeadProbe >= internal::DeadProbeInterval) {
    this->LastDeadProbe = Now;
    const std::string DeadNode = this->randomDeadNode();
    if (!DeadNode.empty())
      Change.Datagrams.push_back(this->makePing(DeadNode, 0));
  }
  if (Now - this->LastCleanup >= internal::CleanupInterval) {
    this->LastCleanup = Now;
    this->Members.dropDepartedMembers(internal::DepartedMemberRetention, Now);
    this->Facts.dropExpired(WallNow);
    this->IndirectPings.clear();
  }
  return Change;
}

void ClusterState::perform(const DetectorAction &Action,
                           ClusterChange *Change) {
  if (const auto *Ping = std::get_if<SendPing>(&Action)) {
    Change->Datagrams.push_back(this->makePing(Ping->Node, Ping->Sequence));
  } else if (const auto *Request = std::get_if<SendPingRequest>(&Action)) {
    OutgoingDatagram Indirect;
    Indirect.Destination = *this->Members.find(Request->Helper);
    proto::PingRequest *PingRequest = Indirect.Message.mutable_ping_request();
    PingRequest->set_sequence(Request->Sequence);
    *PingRequest->mutable_target() = *this->Members.find(Request->Target);
    Change->Datagrams.push_back(std::move(Indirect));
  } else if (const auto *Broadcast = std::get_if<BroadcastState>(&Action)) {
    this->Queue.addMember(*this->Members.find(Broadcast->Node));
    Change->MembersChanged = true;
  }
}

// Local updates and gossip.

ClusterChange ClusterState::updateSelf(const proto::Member &OwnMember,
                                       MonoTime Now) {
  this->Members.updateSelf(OwnMember, Now);
  this->Queue.addMember(this->Members.self());
  return ClusterChange{true, false,
                       this->makeGossipPings(internal::LocalUpdateFanout)};
}

ClusterChange ClusterState::publishFact(const proto::Fact &Fact,
                                        WallTime WallNow) {
  if (!this->Facts.merge(Fact, WallNow))
    return {};
  this->Queue.addFact(Fact);
  ClusterChange Change{false, true,
                       this->makeGossipPings(internal::LocalUpdateFanout)};
  for (const std::string &DataCentre : this->otherDataCentres())
    internal::append(this->makePings(this->randomLiveNodes(DataCentre, 1)),
                     &Change.Datagrams);
  return Change;
}

std::vector<OutgoingDatagram>
ClusterState::makeGossipPings(std::size_t LocalPeers) {
  const proto::Member &Self = this->Members.self();
  std::vector<OutgoingDatagram> Result =
      this->makePings(this->randomLiveNodes(Self.data_centre(), LocalPeers));
  for (const std::string &DataCentre : this->otherDataCentres())
    if (this->Members.hasRole(absl::StrCat("relay ", DataCentre),
                              internal::RelaysPerDataCentre, Self.node()))
      internal::append(this->makePings(this->randomLiveNodes(
                           DataCentre, internal::RelaysPerDataCentre)),
                       &Result);
  return Result;
}

void ClusterState::addCommonFields(std::uint64_t ConfigNextOffset,
                                   proto::Datagram *Message) {
  *Message->mutable_sender() = this->Members.self();
  proto::Digest *Digest = Message->mutable_digest();
  Digest->set_config_next_offset(ConfigNextOffset);
  Digest->set_members_hash(this->Members.hash());
  Digest->set_facts_hash(this->Facts.hash());
  this->Queue.fill(this->Members.size(), Message);
}

std::vector<std::string> ClusterState::otherDataCentres() const {
  std::vector<std::string> Names = this->Members.dataCentres();
  std::erase(Names, this->Members.self().data_centre());
  return Names;
}

std::vector<std::string>
ClusterState::randomLiveNodes(const std::string &DataCentre,
                              std::size_t Count) {
  if (Count == 0)
    return {};
  std::vector<std::string> Nodes = this->Members.liveNodes(DataCentre);
  std::erase(Nodes, this->Members.self().node());
  std::shuffle(Nodes.begin(), Nodes.end(), this->Random);
  Nodes.resize(std::min(Nodes.size(), Count));
  return Nodes;
}

std::string ClusterState::randomDeadNode() {
  std::vector<std::string> DeadNodes;
  for (const proto::Member &Member : this->Members.all())
    if (Member.state() == proto::DEAD &&
        Member.data_centre() == this->Members.self().data_centre())
      DeadNodes.push_back(Member.node());
  if (DeadNodes.empty())
    return "";
  std::uniform_int_distribution<std::size_t> RandomIndex(0,
                                                         DeadNodes.size() - 1);
  return DeadNodes[RandomIndex(this->Random)];
}

OutgoingDatagram ClusterState::makePing(const std::string &Node,
                                        std::uint64_t Sequence) const {
  OutgoingDatagram Ping;
  Ping.Destination = *this->Members.find(Node);
  Ping.Message.mutable_ping()->set_sequence(Sequence);
  return Ping;
}

std::vector<OutgoingDatagram>
ClusterState::makePings(const std::vector<std::string> &Nodes) {
  std::vector<OutgoingDatagram> Result;
  Result.reserve(Nodes.size());
  for (const std::string &Node : Nodes)
    Result.push_back(this->makePing(Node, 0));
  return Result;
}

// State synchronisation.

DigestComparison
ClusterState::compareDigest(const proto::Digest &Digest,
                            std::uint64_t ConfigNextOffset) const {
  if (Digest.config_next_offset() > ConfigNextOffset)
    return DigestComparison::ConfigBehind;
  const bool Equal = Digest.members_hash() == this->Members.hash() &&
                     Digest.facts_hash() == this->Facts.hash();
  return Equal ? DigestComparison::Equal : DigestComparison::Differs;
}

void ClusterState::fillSyncRequest(bool IncludeMembers,
                                   proto::SyncRequest *Request) const {
  *Request->mutable_sender() = this->Members.self();
  Request->set_facts_hash(this->Facts.hash());
  if (!IncludeMembers)
    return;
  for (std::uint64_t Hash : this->Members.buckets())
    Request->add_member_buckets(Hash);
}

void ClusterState::fillSyncReply(const proto::SyncRequest &Request,
                                 proto::SyncReply *Reply) const {
  if (Request.member_buckets_size() == static_cast<int>(MemberBucketCount)) {
    MemberBuckets PeerBuckets{};
    std::copy(Request.member_buckets().begin(), Request.member_buckets().end(),
              PeerBuckets.begin());
    for (proto::Member &Member :
         this->Members.entriesInDifferingBuckets(PeerBuckets))
      *Reply->add_members() = std::move(Member);
  }
  if (Request.facts_hash() != this->Facts.hash())
    for (proto::Fact &Fact : this->Facts.all())
      *Reply->add_facts() = std::move(Fact);
  const auto ReportedOffset =
      this->ReportedConfigOffsets.find(Request.sender().node());
  if (ReportedOffset != this->ReportedConfigOffsets.end())
    Reply->set_floor_next_offset(
        std::max(Reply->floor_next_offset(), ReportedOffset->second));
}

ClusterChange ClusterState::mergeSyncReply(const proto::SyncReply &Reply,
                                           MonoTime Now, WallTime WallNow) {
  ClusterChange Change;
  for (const proto::Member &Member : Reply.members())
    Change.MembersChanged |= this->Members.merge(Member, Now);
  for (const proto::Fact &Fact : Reply.facts())
    Change.FactsChanged |= this->Facts.merge(Fact, WallNow);
  return Change;
}

} // namespace persimmonquay
