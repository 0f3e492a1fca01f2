#include "persimmonquay/daemon/target_table.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/daemon/routed_call.h"
#include "persimmonquay/fleet/evacuation_table.h"
#include "persimmonquay/fleet/node_directory.h"
#include "persimmonquay/traffic/link_schedule.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Probe intervals on links without pending calls, within the data centre and
/// to other data centres. The latter is longer because bandwidth between data
/// centres is scarce and calls are few.
constexpr Millis LocalProbeInterval{2000};
constexpr Millis RemoteProbeInterval{8000};

} // namespace internal

TargetTable::TargetTable(asio::io_context &IoContext, std::string LocalNodeName,
                         std::string LocalDataCentreName,
                         FrameLimits LinkLimits, ConfigurationHandler Handler)
    : Context(IoContext), LocalNode(std::move(LocalNodeName)),
      LocalDataCentre(std::move(LocalDataCentreName)), Limits(LinkLimits),
      OnConfiguration(std::move(Handler)) {}

void TargetTable::stop() {
  for (auto &[Node, Target] : this->Targets)
    if (Target->Link)
      Target->Link->stop();
}

std::shared_ptr<PeerLink> TargetTable::linkTo(const std::string &Node) const {
  const auto Found = this->Targets.find(Node);
  return Found == this->Targets.end() ? nullptr : Found->second->Link;
}

LinkTraffic TargetTable::crossDataCentreTraffic() const {
  LinkTraffic Sum;
  for (const auto &[Node, Target] : this->Targets)
    if (Target->Link && Target->Entry.data_centre() != this->LocalDataCentre)
      Sum += Target->Link->traffic();
  return Sum;
}

bool TargetTable::hasUpstream(const RouteTarget &Target) const {
  return Target.Entry.has_upstream() && !Target.Entry.upstream().draining() &&
         (this->Notices.size() == 0 ||
          !this->Notices.isLeaving(Target.Incarnation, monoNow()));
}

bool TargetTable::hasReachableUpstream(const std::string &Service) const {
  return std::any_of(
      this->Targets.begin(), this->Targets.end(),
      [this, &Service](const auto &Item) {
        const RouteTarget &Target = *Item.second;
        const proto::UpstreamEntry &Upstream = Target.Entry.upstream();
        return this->hasUpstream(Target) &&
               (Service.empty() || Upstream.service() == Service) &&
               (!Target.Link || Target.Link->isUp());
      });
}

void TargetTable::update(const NodeDirectory &Nodes) {
  for (const proto::NodeEntry *Entry : Nodes.entries()) {
    const auto Found = this->Targets.find(Entry->node());
    const bool IsLocalNode = Entry->node() == this->LocalNode;
    if (Entry->leaving() && !IsLocalNode) {
      // Keeps the link: pending calls at the leaving node still get their
      // replies.
      if (Found != this->Targets.end())
        Found->second->Entry = *Entry;
      continue;
    }
    const bool IsSameUpstream =
        Found != this->Targets.end() &&
        Found->second->Entry.upstream().instance() ==
            Entry->upstream().instance() &&
        Found->second->Entry.upstream().started_unix_ms() ==
            Entry->upstream().started_unix_ms();
    const bool IsSameNode =
        Found != this->Targets.end() &&
        Found->second->Entry.address() == Entry->address() &&
        Found->second->Entry.link_port() == Entry->link_port();
    auto Updated = IsSameUpstream && IsSameNode
                       ? Found->second
                       : std::make_shared<RouteTarget>();
    if (!IsSameUpstream || !IsSameNode)
      Updated->View =
          UpstreamView(Entry->data_centre() == this->LocalDataCentre,
                       Entry->upstream().slots());
    // No link lies between this node and the upstream on its own host.
    Updated->View.setLinkRate(
        IsLocalNode ? 0 : Entry->link_mbps() * BytesPerMegabit);
    Updated->Incarnation = incarnationId(Entry->upstream());
    if (!IsLocalNode && IsSameNode)
      Updated->Link = Found->second->Link;
    Updated->Entry = *Entry;
    if (!IsLocalNode && !Updated->Link) {
      if (Found != this->Targets.end() && Found->second->Link)
        Found->second->Link->stop();
      Updated->Link = this->openLink(*Entry);
      if (!Updated->Link)
        continue;
    }
    this->Targets[Entry->node()] = std::move(Updated);
  }
  this->recordFirstStarts();
}

std::shared_ptr<PeerLink>
TargetTable::openLink(const proto::NodeEntry &Entry) const {
  ErrorCode Error;
  const Tcp::endpoint Address(asio::ip::make_address(Entry.address(), Error),
                              static_cast<std::uint16_t>(Entry.link_port()));
  if (Error) {
    logLine(LogLevel::Warning, "ignoring node entry with invalid address",
            {{"member", Entry.node()}, {"address", Entry.address()}});
    return nullptr;
  }
  auto Result =
      std::make_shared<PeerLink>(this->Context, Entry.node(), Address,
                                 Entry.data_centre() == this->LocalDataCentre
                                     ? internal::LocalProbeInterval
                                     : internal::RemoteProbeInterval,
                                 this->Limits, this->OnConfiguration);
  Result->setConnectHandler(this->OnConnected);
  Result->setGrantHandler(this->OnGrant);
  Result->start();
  return Result;
}

void TargetTable::recordFirstStarts() {
  for (const auto &[Node, Target] : this->Targets) {
    if (!Target->Entry.has_upstream() || Target->Entry.leaving())
      continue;
    const proto::UpstreamEntry &Upstream = Target->Entry.upstream();
    std::uint64_t &FirstStart = this->FirstStarts[Upstream.service()]
                                    .try_emplace(Upstream.version(), UINT64_MAX)
                                    .first->second;
    FirstStart =
        std::min<std::uint64_t>(FirstStart, Upstream.started_unix_ms());
  }
}

std::string TargetTable::baseVersion(const RoutedCall &Call) const {
  const auto Found = this->FirstStarts.find(Call.Service);
  if (Found == this->FirstStarts.end())
    return {};
  std::string OldestVersion;
  std::uint64_t OldestStart = UINT64_MAX;
  for (const auto &[Node, Target] : this->Targets) {
    const proto::UpstreamEntry &Upstream = Target->Entry.upstream();
    if (!this->hasUpstream(*Target) || Upstream.service() != Call.Service ||
        Target->Entry.leaving() || !Call.Versions.allows(Upstream.version()))
      continue;
    const auto FirstStart = Found->second.find(Upstream.version());
    if (FirstStart != Found->second.end() && FirstStart->second < OldestStart) {
      OldestVersion = Upstream.version();
      OldestStart = FirstStart->second;
    }
  }
  return OldestVersion;
}

std::vector<std::shared_ptr<RouteTarget>>
TargetTable::candidates(const RoutedCall &Call) const {
  std::vector<std::shared_ptr<RouteTarget>> Result;
  // Unless a rollout prescribes the version, only upstreams with the base
  // version of the service take calls: another version may belong to a rollout
  // whose order has not arrived here yet.
  const std::string Base = this->baseVersion(Call);
  for (const auto &[Node, Target] : this->Targets) {
    const proto::UpstreamEntry &Upstream = Target->Entry.upstream();
    if (Upstream.service() != Call.Service || !this->hasUpstream(*Target) ||
        Target->Entry.leaving() || Call.ExcludedNodes.contains(Node) ||
        !Call.Versions.allows(Upstream.version()) ||
        (!Call.Versions.Required && Upstream.version() != Base) ||
        (Target->Link && !Target->Link->isUp()) ||
        (this->Evacuations != nullptr &&
         this->Evacuations->isEvacuated(Target->Entry.data_centre())))
      continue;
    Result.push_back(Target);
  }
  const MonoTime Now = monoNow();
  std::vector<std::shared_ptr<RouteTarget>> Available;
  std::copy_if(Result.begin(), Result.end(), std::back_inserter(Available),
               [Now](const std::shared_ptr<RouteTarget> &Target) {
                 return !Target->View.isUnavailable(Now);
               });
  return Available.empty() ? Result : Available;
}

} // namespace persimmonquay
