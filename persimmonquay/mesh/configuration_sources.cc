#include "persimmonquay/mesh/configuration_sources.h"

#include <algorithm>

namespace persimmonquay {
namespace internal {

/// Time for which a configuration is awaited from the own data centre before
/// it is fetched from another one: most of the time in which a change is to be
/// in force, less a fetch.
constexpr Millis NearSourcesFirst{800};

/// Time after which an unanswered question is repeated.
constexpr Millis AskAgain{400};

} // namespace internal

void ConfigurationSources::told(const std::string &Node, bool IsNear,
                                std::uint64_t Version, MonoTime Now) {
  Source &Known = this->Sources[Node];
  Known.IsNear = IsNear;
  Known.Version = std::max(Known.Version, Version);
  if (!this->BehindSince)
    this->BehindSince = Now;
}

std::optional<ConfigurationSources::Question> ConfigurationSources::next(
    std::uint64_t Have, MonoTime Now,
    const std::function<bool(const std::string &)> &IsReachable) {
  // While changes follow each other quickly there is always a newer one; only
  // standing still shows that nobody delivers.
  if (Have > this->LastHave.value_or(Have))
    this->BehindSince = Now;
  this->LastHave = Have;
  std::erase_if(this->Sources, [Have](const auto &Item) {
    return Item.second.Version <= Have;
  });
  if (this->Sources.empty()) {
    this->BehindSince.reset();
    return std::nullopt;
  }
  const bool FarToo = Now - *this->BehindSince >= internal::NearSourcesFirst;
  const std::string *Best = nullptr;
  Source *BestSource = nullptr;
  for (auto &[Node, Each] : this->Sources) {
    if ((!Each.IsNear && !FarToo) || !IsReachable(Node))
      continue;
    if (BestSource != nullptr && (BestSource->AskedAt < Each.AskedAt ||
                                  (BestSource->AskedAt == Each.AskedAt &&
                                   BestSource->Version >= Each.Version)))
      continue;
    Best = &Node;
    BestSource = &Each;
  }
  const bool Awaits = Now - this->AskedAt < internal::AskAgain;
  if (BestSource == nullptr ||
      (Awaits && BestSource->Version <= this->AskedVersion))
    return std::nullopt;
  BestSource->AskedAt = Now;
  this->AskedAt = Now;
  this->AskedVersion = BestSource->Version;
  return Question{*Best, BestSource->IsNear};
}

} // namespace persimmonquay
