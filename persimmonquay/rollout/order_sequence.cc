#include "persimmonquay/rollout/order_sequence.h"

#include "persimmonquay/base/record_position.h"
#include <iterator>
#include <optional>

namespace persimmonquay {
namespace internal {

using TargetsByNumber = std::map<std::uint64_t, std::string>;

/// Returns the order of an earlier era whose record the copy still had as
/// `Order`, if any.
std::optional<std::uint64_t> keptRecord(const TargetsByNumber &Orders,
                                        TargetsByNumber::const_iterator Order) {
  const RecordPosition Position = RecordPosition::fromNumber(Order->first);
  for (auto Earlier = Orders.begin(); Earlier != Order; ++Earlier) {
    const RecordPosition Known = RecordPosition::fromNumber(Earlier->first);
    if (Known.Era < Position.Era && Known.Offset == Position.Offset &&
        Earlier->second == Order->second)
      return Earlier->first;
  }
  return std::nullopt;
}

/// Returns whether `Order` was written before `Newest`, an order of an earlier
/// era that was lost and written again after it.
bool isSuperseded(const TargetsByNumber &Orders,
                  TargetsByNumber::const_iterator Order, std::uint64_t Newest) {
  const RecordPosition Position = RecordPosition::fromNumber(Order->first);
  const RecordPosition Known = RecordPosition::fromNumber(Newest);
  if (Known.Era >= Position.Era || Known.Offset <= Position.Offset)
    return false;
  for (auto Later = std::next(Order); Later != Orders.end(); ++Later)
    if (RecordPosition::fromNumber(Later->first).Era == Position.Era &&
        Later->second == Orders.at(Newest))
      return true;
  return false;
}

} // namespace internal

std::map<std::uint64_t, std::uint64_t>
originalOrders(const std::map<std::uint64_t, std::string> &TargetVersions) {
  std::map<std::uint64_t, std::uint64_t> Result;
  // The newest order that is no other one.
  std::optional<std::uint64_t> Newest;
  for (auto Order = TargetVersions.begin(); Order != TargetVersions.end();
       ++Order) {
    std::uint64_t &Original = Result[Order->first];
    if (const std::optional<std::uint64_t> Kept =
            internal::keptRecord(TargetVersions, Order)) {
      Original = Result.at(*Kept);
    } else if (Newest && TargetVersions.at(*Newest) == Order->second) {
      Original = *Newest;
    } else if (Newest &&
               internal::isSuperseded(TargetVersions, Order, *Newest)) {
      Original = SupersededOrder;
    } else {
      Original = Order->first;
      Newest = Order->first;
    }
  }
  return Result;
}

} // namespace persimmonquay
