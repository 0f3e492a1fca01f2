#include "persimmonquay/daemon/target_table.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/peer_link.h"
#include "persimmonquay/daemon/routed_call.h"
#include "persimmonquay/fleet/node_directory.h"
#include <algorithm>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Intervals of probes on links without calls, within a data centre and to
/// others, where bytes are dear and calls are few.
constexpr Millis NearProbeInterval{2000};
constexpr Millis FarProbeInterval{8000};

} // namespace internal

TargetTable::TargetTable(asio::io_context &Loop, std::string Node,
                         std::string OwnDataCentre, LinkHandler Handler)
    : Context(Loop), OwnNode(std::move(Node)),
      DataCentre(std::move(OwnDataCentre)),
      OnConfiguration(std::move(Handler)) {}

void TargetTable::stop() {
  for (auto &[Node, To] : this->Targets)
    if (To->Link)
      To->Link->stop();
}

std::shared_ptr<PeerLink> TargetTable::linkTo(const std::string &Node) const {
  const auto Found = this->Targets.find(Node);
  return Found == this->Targets.end() ? nullptr : Found->second->Link;
}

LinkTraffic TargetTable::crossDataCentreTraffic() const {
  LinkTraffic Sum;
  for (const auto &[Node, To] : this->Targets)
    if (To->Link && To->Entry.data_centre() != this->DataCentre)
      Sum += To->Link->traffic();
  return Sum;
}

bool TargetTable::hasReachableUpstream(const std::string &Service) const {
  return std::any_of(
      this->Targets.begin(), this->Targets.end(), [&Service](const auto &Item) {
        const RouteTarget &To = *Item.second;
        const proto::UpstreamEntry &Upstream = To.Entry.upstream();
        return To.Entry.has_upstream() && !Upstream.draining() &&
               (Service.empty() || Upstream.service() == Service) &&
               (!To.Link || To.Link->isUp());
      });
}

void TargetTable::update(const NodeDirectory &Nodes) {
  for (const proto::NodeEntry *Entry : Nodes.entries()) {
    const auto Found = this->Targets.find(Entry->node());
    const bool Own = Entry->node() == this->OwnNode;
    if (Entry->leaving() && !Own) {
      // Calls under way there still get their replies.
      if (Found != this->Targets.end())
        Found->second->Entry = *Entry;
      continue;
    }
    const bool SameUpstream =
        Found != this->Targets.end() &&
        Found->second->Entry.upstream().instance() ==
            Entry->upstream().instance() &&
        Found->second->Entry.upstream().started_unix_ms() ==
            Entry->upstream().started_unix_ms();
    const bool SameNode =
        Found != this->Targets.end() &&
        Found->second->Entry.address() == Entry->address() &&
        Found->second->Entry.link_port() == Entry->link_port();
    auto Next = SameUpstream && SameNode ? Found->second
                                         : std::make_shared<RouteTarget>();
    if (!SameUpstream || !SameNode)
      Next->View = UpstreamView(Entry->data_centre() == this->DataCentre,
                                Entry->upstream().slots());
    if (!Own && SameNode)
      Next->Link = Found->second->Link;
    Next->Entry = *Entry;
    if (!Own && !Next->Link) {
      if (Found != this->Targets.end() && Found->second->Link)
        Found->second->Link->stop();
      Next->Link = this->openLink(*Entry);
      if (!Next->Link)
        continue;
    }
    this->Targets[Entry->node()] = std::move(Next);
  }
  this->noteVersions();
}

std::shared_ptr<PeerLink>
TargetTable::openLink(const proto::NodeEntry &Entry) const {
  ErrorCode Error;
  const Tcp::endpoint Address(asio::ip::make_address(Entry.address(), Error),
                              static_cast<std::uint16_t>(Entry.link_port()));
  if (Error) {
    logLine(LogLevel::Warning, "entry with an unreadable address ignored",
            {{"member", Entry.node()}, {"address", Entry.address()}});
    return nullptr;
  }
  auto Result = std::make_shared<PeerLink>(
      this->Context, Entry.node(), Address,
      Entry.data_centre() == this->DataCentre ? internal::NearProbeInterval
                                              : internal::FarProbeInterval,
      this->OnConfiguration);
  Result->start();
  return Result;
}

void TargetTable::noteVersions() {
  for (const auto &[Node, To] : this->Targets) {
    if (!To->Entry.has_upstream() || To->Entry.leaving())
      continue;
    const proto::UpstreamEntry &Upstream = To->Entry.upstream();
    std::uint64_t &First = this->FirstStarts[Upstream.service()]
                               .try_emplace(Upstream.version(), UINT64_MAX)
                               .first->second;
    First = std::min<std::uint64_t>(First, Upstream.started_unix_ms());
  }
}

std::string TargetTable::baseVersion(const RoutedCall &Asked) const {
  const auto Known = this->FirstStarts.find(Asked.Service);
  if (Known == this->FirstStarts.end())
    return {};
  std::string Oldest;
  std::uint64_t OldestStart = UINT64_MAX;
  for (const auto &[Node, To] : this->Targets) {
    const proto::UpstreamEntry &Upstream = To->Entry.upstream();
    if (!To->Entry.has_upstream() || Upstream.service() != Asked.Service ||
        Upstream.draining() || To->Entry.leaving() ||
        !Asked.Versions.allows(Upstream.version()))
      continue;
    const auto Start = Known->second.find(Upstream.version());
    if (Start != Known->second.end() && Start->second < OldestStart) {
      Oldest = Upstream.version();
      OldestStart = Start->second;
    }
  }
  return Oldest;
}

std::vector<std::shared_ptr<RouteTarget>>
TargetTable::candidates(const RoutedCall &Asked) const {
  std::vector<std::shared_ptr<RouteTarget>> Result;
  // Without a word about its version an upstream takes calls only if the
  // others of its service have the same: the order to bring a new version in
  // may not have arrived yet.
  const std::string Base = this->baseVersion(Asked);
  for (const auto &[Node, To] : this->Targets) {
    const proto::UpstreamEntry &Upstream = To->Entry.upstream();
    if (!To->Entry.has_upstream() || Upstream.service() != Asked.Service ||
        Upstream.draining() || To->Entry.leaving() ||
        Asked.Excluded.contains(Node) ||
        !Asked.Versions.allows(Upstream.version()) ||
        (!Asked.Versions.Required && Upstream.version() != Base) ||
        (To->Link && !To->Link->isUp()))
      continue;
    Result.push_back(To);
  }
  return Result;
}

} // namespace persimmonquay
