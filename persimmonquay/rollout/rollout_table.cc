#include "persimmonquay/rollout/rollout_table.h"

#include <tuple>

namespace persimmonquay {
namespace internal {

constexpr std::uint32_t WholePermille = 1000;

auto progressRank(const proto::RolloutProgress &Progress) {
  return std::make_tuple(Progress.state(), Progress.sequence(),
                         Progress.stored());
}

} // namespace internal

bool RolloutTable::merge(const proto::RolloutProgress &Progress) {
  Entry &Known =
      this->Services[Progress.order().service()][Progress.order().number()];
  const bool IsFirst = Known.Progress.order().service().empty();
  if (!IsFirst && internal::progressRank(Progress) <=
                      internal::progressRank(Known.Progress))
    return false;
  const bool ShareChanged =
      IsFirst || Known.Progress.share_permille() != Progress.share_permille();
  Known.Progress = Progress;
  if (ShareChanged && Progress.share_permille() <= internal::WholePermille)
    Known.Split.emplace(std::vector<std::uint32_t>{
        internal::WholePermille - Progress.share_permille(),
        Progress.share_permille()});
  return true;
}

VersionFilter RolloutTable::baselineVersions(const std::string &Service) const {
  VersionFilter Choice;
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return Choice;
  for (const auto &[Number, Known] : Found->second) {
    const std::string &Target = Known.Progress.order().target_version();
    if (Known.Progress.state() == proto::COMPLETED) {
      Choice.Required = Target;
      Choice.Excluded.erase(Target);
    } else {
      Choice.Excluded.insert(Target);
      // An order for the version that takes all calls already withdraws it
      // only if that version turned out to be bad.
      if (Choice.Required == Target &&
          Known.Progress.state() == proto::ROLLED_BACK)
        Choice.Required.reset();
    }
  }
  return Choice;
}

VersionFilter RolloutTable::chooseVersions(const std::string &Service) {
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return {};
  for (auto Each = Found->second.rbegin(); Each != Found->second.rend();
       ++Each) {
    Entry &Known = Each->second;
    if (Known.Progress.state() != proto::RUNNING ||
        Known.Progress.share_permille() == 0 || !Known.Split ||
        Known.Split->next() == 0)
      continue;
    VersionFilter Choice;
    Choice.Required = Known.Progress.order().target_version();
    return Choice;
  }
  return this->baselineVersions(Service);
}

const proto::RolloutProgress *RolloutTable::find(const std::string &Service,
                                                 std::uint64_t Number) const {
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return nullptr;
  const auto Known = Found->second.find(Number);
  return Known == Found->second.end() ? nullptr : &Known->second.Progress;
}

std::vector<const proto::RolloutProgress *> RolloutTable::all() const {
  std::vector<const proto::RolloutProgress *> Result;
  for (const auto &[Service, Orders] : this->Services)
    for (const auto &[Number, Known] : Orders)
      Result.push_back(&Known.Progress);
  return Result;
}

std::vector<const proto::RolloutProgress *>
RolloutTable::running(const std::string &Service) const {
  std::vector<const proto::RolloutProgress *> Result;
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return Result;
  for (auto Each = Found->second.rbegin(); Each != Found->second.rend(); ++Each)
    if (Each->second.Progress.state() == proto::RUNNING)
      Result.push_back(&Each->second.Progress);
  return Result;
}

} // namespace persimmonquay
