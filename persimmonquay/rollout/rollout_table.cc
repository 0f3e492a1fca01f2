#include "persimmonquay/rollout/rollout_table.h"

#include "persimmonquay/rollout/order_sequence.h"
#include <algorithm>
#include <tuple>

namespace persimmonquay {
namespace internal {

constexpr std::uint32_t WholePermille = 1000;

/// Returns a key by which copies of one rollout's progress are ordered; the
/// copy with the larger key wins a merge.
auto progressRank(const proto::RolloutProgress &Progress) {
  return std::make_tuple(Progress.state(), Progress.sequence(),
                         Progress.stored());
}

} // namespace internal

void RolloutTable::linkOrders(EntriesByNumber &Entries) {
  std::map<std::uint64_t, std::string> Targets;
  for (const auto &[Number, Rollout] : Entries)
    Targets[Number] = Rollout.Progress.order().target_version();
  for (const auto &[Number, Original] : originalOrders(Targets))
    Entries.at(Number).Original = Original;
}

void RolloutTable::updateStates(EntriesByNumber &Entries) {
  std::map<std::uint64_t, proto::RolloutState> States;
  for (const auto &[Number, Rollout] : Entries) {
    proto::RolloutState &State = States[Rollout.Original];
    State = std::max(State, Rollout.Progress.state());
  }
  for (auto &[Number, Rollout] : Entries)
    Rollout.State = States.at(Rollout.Original);
}

bool RolloutTable::merge(const proto::RolloutProgress &Progress) {
  EntriesByNumber &Entries = this->EntriesByService[Progress.order().service()];
  RolloutEntry &Rollout = Entries[Progress.order().number()];
  const bool IsNew = Rollout.Progress.order().service().empty();
  if (!IsNew && internal::progressRank(Progress) <=
                    internal::progressRank(Rollout.Progress))
    return false;
  const bool ShareChanged =
      IsNew || Rollout.Progress.share_permille() != Progress.share_permille();
  Rollout.Progress = Progress;
  if (ShareChanged && Progress.share_permille() <= internal::WholePermille)
    Rollout.Split.emplace(std::vector<std::uint32_t>{
        internal::WholePermille - Progress.share_permille(),
        Progress.share_permille()});
  if (IsNew)
    linkOrders(Entries);
  updateStates(Entries);
  return true;
}

VersionFilter RolloutTable::baselineVersions(const std::string &Service) const {
  VersionFilter Filter;
  const auto Found = this->EntriesByService.find(Service);
  if (Found == this->EntriesByService.end())
    return Filter;
  for (const auto &[Number, Rollout] : Found->second) {
    if (Rollout.Original != Number)
      continue;
    const std::string &Target = Rollout.Progress.order().target_version();
    if (Rollout.State == proto::COMPLETED) {
      Filter.Required = Target;
      Filter.Excluded.erase(Target);
    } else {
      Filter.Excluded.insert(Target);
      // A later order for the version that already serves all calls removes it
      // only if that order was rolled back.
      if (Filter.Required == Target && Rollout.State == proto::ROLLED_BACK)
        Filter.Required.reset();
    }
  }
  return Filter;
}

VersionFilter RolloutTable::chooseVersions(const std::string &Service) {
  const auto Found = this->EntriesByService.find(Service);
  if (Found == this->EntriesByService.end())
    return {};
  for (auto It = Found->second.rbegin(); It != Found->second.rend(); ++It) {
    RolloutEntry &Rollout = It->second;
    if (Rollout.Original != It->first || Rollout.State != proto::RUNNING ||
        Rollout.Progress.share_permille() == 0 || !Rollout.Split ||
        Rollout.Split->next() == 0)
      continue;
    VersionFilter Filter;
    Filter.Required = Rollout.Progress.order().target_version();
    return Filter;
  }
  return this->baselineVersions(Service);
}

const RolloutTable::RolloutEntry *
RolloutTable::findEntry(const std::string &Service,
                        std::uint64_t Number) const {
  const auto Found = this->EntriesByService.find(Service);
  if (Found == this->EntriesByService.end())
    return nullptr;
  const auto Rollout = Found->second.find(Number);
  return Rollout == Found->second.end() ? nullptr : &Rollout->second;
}

const proto::RolloutProgress *RolloutTable::find(const std::string &Service,
                                                 std::uint64_t Number) const {
  const RolloutEntry *Entry = this->findEntry(Service, Number);
  return Entry == nullptr ? nullptr : &Entry->Progress;
}

bool RolloutTable::isRepetition(const std::string &Service,
                                std::uint64_t Number) const {
  const RolloutEntry *Entry = this->findEntry(Service, Number);
  return Entry != nullptr && Entry->Original != Number;
}

const proto::RolloutProgress *
RolloutTable::mostAdvanced(const std::string &Service,
                           std::uint64_t Number) const {
  const RolloutEntry *Entry = this->findEntry(Service, Number);
  if (Entry == nullptr)
    return nullptr;
  const proto::RolloutProgress *Result = &Entry->Progress;
  for (const auto &[Other, Rollout] : this->EntriesByService.at(Service))
    if (Rollout.Original == Entry->Original &&
        internal::progressRank(Rollout.Progress) >
            internal::progressRank(*Result))
      Result = &Rollout.Progress;
  return Result;
}

std::vector<const proto::RolloutProgress *> RolloutTable::all() const {
  std::vector<const proto::RolloutProgress *> Result;
  for (const auto &[Service, Orders] : this->EntriesByService)
    for (const auto &[Number, Rollout] : Orders)
      Result.push_back(&Rollout.Progress);
  return Result;
}

std::vector<const proto::RolloutProgress *>
RolloutTable::running(const std::string &Service) const {
  std::vector<const proto::RolloutProgress *> Result;
  const auto Found = this->EntriesByService.find(Service);
  if (Found == this->EntriesByService.end())
    return Result;
  for (auto It = Found->second.rbegin(); It != Found->second.rend(); ++It)
    if (It->second.Original == It->first && It->second.State == proto::RUNNING)
      Result.push_back(&It->second.Progress);
  return Result;
}

} // namespace persimmonquay
