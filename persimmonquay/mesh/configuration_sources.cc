#include "persimmonquay/mesh/configuration_sources.h"

#include <algorithm>

namespace persimmonquay {
namespace internal {

/// Time during which only nodes of the local data centre are asked for a newer
/// configuration. It is most of the time within which a change must take
/// effect, less the time of one fetch from another data centre.
constexpr Millis RemoteSourcesDelay{800};

/// Time without a reply after which a request is repeated.
constexpr Millis RequestRetryInterval{400};

} // namespace internal

void ConfigurationSources::recordVersion(const std::string &Node, bool IsLocal,
                                         std::uint64_t Version, MonoTime Now) {
  Source &Entry = this->Sources[Node];
  Entry.IsLocal = IsLocal;
  Entry.Version = std::max(Entry.Version, Version);
  if (!this->BehindSince)
    this->BehindSince = Now;
}

std::optional<ConfigurationSources::Request> ConfigurationSources::nextRequest(
    std::uint64_t OwnVersion, MonoTime Now,
    const std::function<bool(const std::string &)> &IsReachable) {
  // While changes come in quick succession, a newer version is always known.
  // Only if this node's version stops advancing do the others fail to deliver.
  if (OwnVersion > this->LastOwnVersion.value_or(OwnVersion))
    this->BehindSince = Now;
  this->LastOwnVersion = OwnVersion;
  std::erase_if(this->Sources, [OwnVersion](const auto &Item) {
    return Item.second.Version <= OwnVersion;
  });
  if (this->Sources.empty()) {
    this->BehindSince.reset();
    return std::nullopt;
  }
  const bool IncludeRemote =
      Now - *this->BehindSince >= internal::RemoteSourcesDelay;
  const std::string *BestNode = nullptr;
  Source *BestSource = nullptr;
  for (auto &[Node, Candidate] : this->Sources) {
    if ((!Candidate.IsLocal && !IncludeRemote) || !IsReachable(Node))
      continue;
    if (BestSource != nullptr &&
        (BestSource->RequestedAt < Candidate.RequestedAt ||
         (BestSource->RequestedAt == Candidate.RequestedAt &&
          BestSource->Version >= Candidate.Version)))
      continue;
    BestNode = &Node;
    BestSource = &Candidate;
  }
  const bool AwaitsReply =
      Now - this->LastRequestAt < internal::RequestRetryInterval;
  if (BestSource == nullptr ||
      (AwaitsReply && BestSource->Version <= this->RequestedVersion))
    return std::nullopt;
  BestSource->RequestedAt = Now;
  this->LastRequestAt = Now;
  this->RequestedVersion = BestSource->Version;
  return Request{*BestNode, BestSource->IsLocal};
}

} // namespace persimmonquay
