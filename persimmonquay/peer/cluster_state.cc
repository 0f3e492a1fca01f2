#include "persimmonquay/peer/cluster_state.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <variant>

namespace persimmonquay {
namespace internal {

constexpr Millis DeadProbeInterval{5000};
constexpr Millis ForgetDeadAfter = std::chrono::hours(1);
constexpr Millis ForgetInterval = std::chrono::minutes(1);
/// Peers told at once about a new fact or a change of this node, and peers to
/// whom a fact just heard is passed on.
constexpr std::size_t OwnNewsFanout = 5;
constexpr std::size_t HeardNewsFanout = 3;
/// Nodes of a data centre that exchange digests with each other data centre.
constexpr std::size_t Relays = 2;
/// Above every sequence number of the failure detector.
constexpr std::uint64_t FirstRelayed = std::uint64_t{1} << 32;

void append(std::vector<OutgoingDatagram> Added,
            std::vector<OutgoingDatagram> *To) {
  for (OutgoingDatagram &Each : Added)
    To->push_back(std::move(Each));
}

} // namespace internal

void ClusterChange::add(ClusterChange Other) {
  this->MembersChanged |= Other.MembersChanged;
  this->FactsChanged |= Other.FactsChanged;
  internal::append(std::move(Other.Send), &this->Send);
}

ClusterState::ClusterState(const proto::Member &Own, FailureDetector Detector,
                           std::uint64_t Seed)
    : Members(Own), Detector(std::move(Detector)), Random(Seed),
      NextRelayed(internal::FirstRelayed) {}

// Receiving.

ClusterChange ClusterState::receive(const proto::Datagram &Message,
                                    MonoTime Now, WallTime WallNow) {
  ClusterChange Change;
  if (Message.sender().node() == this->Members.self().node())
    return Change;
  Change.MembersChanged = this->mergeMembers(Message, Now);
  Change.FactsChanged = this->mergeFacts(Message, WallNow);
  std::uint64_t &Seen = this->SeenOffsets[Message.sender().node()];
  Seen = std::max(Seen, Message.digest().config_next_offset());
  if (Change.FactsChanged)
    internal::append(this->push(internal::HeardNewsFanout), &Change.Send);
  this->answer(Message, &Change);
  return Change;
}

bool ClusterState::mergeMembers(const proto::Datagram &Message, MonoTime Now) {
  const std::string &Sender = Message.sender().node();
  bool AnyNew = this->Members.merge(Message.sender(), Now);
  const proto::Member *Known = this->Members.find(Sender);
  // A member that lives although others call it dead must hear that.
  if (Known != nullptr &&
      (AnyNew || Known->state() != Message.sender().state()))
    this->Queue.addMember(*Known);
  for (const proto::Member &Member : Message.members()) {
    if (!this->Members.merge(Member, Now))
      continue;
    AnyNew = true;
    this->Queue.addMember(*this->Members.find(Member.node()));
  }
  return AnyNew;
}

bool ClusterState::mergeFacts(const proto::Datagram &Message,
                              WallTime WallNow) {
  bool AnyNew = false;
  for (const proto::Fact &Fact : Message.facts()) {
    if (!this->Facts.merge(Fact, WallNow))
      continue;
    AnyNew = true;
    this->Queue.addFact(Fact);
  }
  return AnyNew;
}

void ClusterState::answer(const proto::Datagram &Message,
                          ClusterChange *Change) {
  OutgoingDatagram Reply;
  Reply.To = Message.sender();
  if (Message.has_ping()) {
    Reply.Message.mutable_ack()->set_sequence(Message.ping().sequence());
  } else if (Message.has_ping_request()) {
    const std::uint64_t Sequence = this->NextRelayed++;
    this->Relayed[Sequence] = {Message.sender().node(),
                               Message.ping_request().sequence()};
    Reply.Message.mutable_ping()->set_sequence(Sequence);
    Reply.To = Message.ping_request().target();
  } else if (Message.has_ack()) {
    this->Detector.onAck(Message.ack().sequence());
    const auto Asked = this->Relayed.find(Message.ack().sequence());
    if (Asked == this->Relayed.end())
      return;
    const proto::Member *Asker = this->Members.find(Asked->second.first);
    Reply.Message.mutable_ack()->set_sequence(Asked->second.second);
    this->Relayed.erase(Asked);
    if (Asker == nullptr)
      return;
    Reply.To = *Asker;
  } else {
    return;
  }
  Change->Send.push_back(std::move(Reply));
}

// The passing of time.

ClusterChange ClusterState::tick(Millis RelayInterval, MonoTime Now,
                                 WallTime WallNow) {
  ClusterChange Change;
  for (const DetectorAction &Action :
       this->Detector.tick(Now, this->Random, &this->Members))
    this->perform(Action, &Change);
  if (Now - this->LastRelay >= RelayInterval) {
    this->LastRelay = Now;
    // The own data centre is probed anyway.
    internal::append(this->push(0), &Change.Send);
  }
  if (Now - this->LastDeadProbe >= internal::DeadProbeInterval) {
    this->LastDeadProbe = Now;
    const std::string Dead = this->randomDeadNode();
    if (!Dead.empty())
      Change.Send.push_back(this->pingTo(Dead, 0));
  }
  if (Now - this->LastForget >= internal::ForgetInterval) {
    this->LastForget = Now;
    this->Members.dropDepartedMembers(internal::ForgetDeadAfter, Now);
    this->Facts.dropExpired(WallNow);
    this->Relayed.clear();
  }
  return Change;
}

void ClusterState::perform(const DetectorAction &Action,
                           ClusterChange *Change) {
  if (const auto *Ping = std::get_if<SendPing>(&Action)) {
    Change->Send.push_back(this->pingTo(Ping->Node, Ping->Sequence));
  } else if (const auto *Request = std::get_if<SendPingRequest>(&Action)) {
    OutgoingDatagram Asked;
    Asked.To = *this->Members.find(Request->Helper);
    proto::PingRequest *Content = Asked.Message.mutable_ping_request();
    Content->set_sequence(Request->Sequence);
    *Content->mutable_target() = *this->Members.find(Request->Target);
    Change->Send.push_back(std::move(Asked));
  } else if (const auto *Spread = std::get_if<BroadcastState>(&Action)) {
    this->Queue.addMember(*this->Members.find(Spread->Node));
    Change->MembersChanged = true;
  }
}

// News of this node.

ClusterChange ClusterState::updateSelf(const proto::Member &Facts,
                                       MonoTime Now) {
  this->Members.updateSelf(Facts, Now);
  this->Queue.addMember(this->Members.self());
  return ClusterChange{true, false, this->push(internal::OwnNewsFanout)};
}

ClusterChange ClusterState::publishFact(const proto::Fact &Fact,
                                        WallTime WallNow) {
  if (!this->Facts.merge(Fact, WallNow))
    return {};
  this->Queue.addFact(Fact);
  ClusterChange Change{false, true, this->push(internal::OwnNewsFanout)};
  for (const std::string &Other : this->otherDataCentres())
    internal::append(this->pings(this->randomLiveNodes(Other, 1)),
                     &Change.Send);
  return Change;
}

std::vector<OutgoingDatagram> ClusterState::push(std::size_t Count) {
  const proto::Member &Self = this->Members.self();
  std::vector<OutgoingDatagram> Result =
      this->pings(this->randomLiveNodes(Self.data_centre(), Count));
  for (const std::string &Other : this->otherDataCentres())
    if (this->Members.hasRole(absl::StrCat("relay ", Other), internal::Relays,
                              Self.node()))
      internal::append(
          this->pings(this->randomLiveNodes(Other, internal::Relays)), &Result);
  return Result;
}

void ClusterState::complete(std::uint64_t ConfigNextOffset,
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
  std::vector<std::string> Dead;
  for (const proto::Member &Member : this->Members.all())
    if (Member.state() == proto::DEAD &&
        Member.data_centre() == this->Members.self().data_centre())
      Dead.push_back(Member.node());
  if (Dead.empty())
    return "";
  std::uniform_int_distribution<std::size_t> Any(0, Dead.size() - 1);
  return Dead[Any(this->Random)];
}

OutgoingDatagram ClusterState::pingTo(const std::string &Node,
                                      std::uint64_t Sequence) const {
  OutgoingDatagram Ping;
  Ping.To = *this->Members.find(Node);
  Ping.Message.mutable_ping()->set_sequence(Sequence);
  return Ping;
}

std::vector<OutgoingDatagram>
ClusterState::pings(const std::vector<std::string> &Nodes) {
  std::vector<OutgoingDatagram> Result;
  Result.reserve(Nodes.size());
  for (const std::string &Node : Nodes)
    Result.push_back(this->pingTo(Node, 0));
  return Result;
}

// Synchronisation.

DigestComparison ClusterState::compare(const proto::Digest &Digest,
                                       std::uint64_t ConfigNextOffset) const {
  if (Digest.config_next_offset() > ConfigNextOffset)
    return DigestComparison::ConfigBehind;
  const bool Equal = Digest.members_hash() == this->Members.hash() &&
                     Digest.facts_hash() == this->Facts.hash();
  return Equal ? DigestComparison::Equal : DigestComparison::Differs;
}

void ClusterState::fillRequest(bool WithMembers,
                               proto::SyncRequest *Request) const {
  *Request->mutable_sender() = this->Members.self();
  Request->set_facts_hash(this->Facts.hash());
  if (!WithMembers)
    return;
  for (std::uint64_t Hash : this->Members.buckets())
    Request->add_member_buckets(Hash);
}

void ClusterState::fillReply(const proto::SyncRequest &Request,
                             proto::SyncReply *Reply) const {
  if (Request.member_buckets_size() == static_cast<int>(MemberBucketCount)) {
    MemberBuckets Theirs{};
    std::copy(Request.member_buckets().begin(), Request.member_buckets().end(),
              Theirs.begin());
    for (proto::Member &Member :
         this->Members.entriesInDifferingBuckets(Theirs))
      *Reply->add_members() = std::move(Member);
  }
  if (Request.facts_hash() != this->Facts.hash())
    for (proto::Fact &Fact : this->Facts.all())
      *Reply->add_facts() = std::move(Fact);
  const auto Seen = this->SeenOffsets.find(Request.sender().node());
  if (Seen != this->SeenOffsets.end())
    Reply->set_floor_next_offset(
        std::max(Reply->floor_next_offset(), Seen->second));
}

ClusterChange ClusterState::merge(const proto::SyncReply &Reply, MonoTime Now,
                                  WallTime WallNow) {
  ClusterChange Change;
  for (const proto::Member &Member : Reply.members())
    Change.MembersChanged |= this->Members.merge(Member, Now);
  for (const proto::Fact &Fact : Reply.facts())
    Change.FactsChanged |= this->Facts.merge(Fact, WallNow);
  return Change;
}

} // namespace persimmonquay
