#include "persimmonquay/fleet/evacuation_table.h"

#include "persimmonquay/base/record_position.h"
#include <algorithm>

namespace persimmonquay {

bool EvacuationTable::merge(const proto::Evacuation &Copy) {
  const auto [Known, IsNew] =
      this->Newest.try_emplace(Copy.data_centre(), Copy);
  if (IsNew)
    return true;
  if (Copy.number() <= Known->second.number())
    return false;
  Known->second = Copy;
  return true;
}

bool EvacuationTable::isEvacuated(std::string_view DataCentre) const {
  const auto Known = this->Newest.find(DataCentre);
  return Known != this->Newest.end() && Known->second.active();
}

std::vector<proto::Evacuation> EvacuationTable::all() const {
  std::vector<proto::Evacuation> Result;
  for (const auto &[DataCentre, Copy] : this->Newest)
    Result.push_back(Copy);
  return Result;
}

std::size_t EvacuationTable::activeCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->Newest.begin(), this->Newest.end(),
                    [](const auto &Item) { return Item.second.active(); }));
}

std::vector<proto::Evacuation>
EvacuationTable::endedBy(const std::vector<proto::Evacuation> &Listed,
                         std::uint64_t ListNumber, bool IsSettled) const {
  const std::uint64_t ListEra = RecordPosition::fromNumber(ListNumber).Era;
  std::vector<proto::Evacuation> Result;
  for (const auto &[DataCentre, Copy] : this->Newest) {
    const bool IsListed =
        std::any_of(Listed.begin(), Listed.end(),
                    [&Copy = Copy](const proto::Evacuation &Other) {
                      return Other.data_centre() == Copy.data_centre();
                    });
    const bool MayBeLost =
        !IsSettled && RecordPosition::fromNumber(Copy.number()).Era != ListEra;
    if (!Copy.active() || IsListed || Copy.number() >= ListNumber || MayBeLost)
      continue;
    proto::Evacuation &End = Result.emplace_back(Copy);
    End.set_number(ListNumber);
    End.set_active(false);
  }
  return Result;
}

bool EvacuationTable::hasNewerThan(const Copies &Known) const {
  return std::any_of(
      this->Newest.begin(), this->Newest.end(), [&Known](const auto &Item) {
        const proto::Evacuation &Copy = Item.second;
        return std::none_of(Known.begin(), Known.end(),
                            [&Copy](const proto::Evacuation &Other) {
                              return Other.data_centre() ==
                                         Copy.data_centre() &&
                                     Other.number() >= Copy.number();
                            });
      });
}

} // namespace persimmonquay
