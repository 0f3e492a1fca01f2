#include "persimmonquay/fleet/departures.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace persimmonquay {
namespace internal {

/// Number of departures in the entry of a node. A host has one upstream at a
/// time, and heartbeats are late by seconds, in which only a few can leave.
constexpr int MaxAnnouncedDepartures = 3;

bool startsEarlier(const proto::DepartedUpstream &Left,
                   const proto::DepartedUpstream &Right) {
  return std::forward_as_tuple(Left.started_up_to_unix_ms(), Left.instance()) <
         std::forward_as_tuple(Right.started_up_to_unix_ms(), Right.instance());
}

} // namespace internal

bool hasDeparted(const Departures &Known, const std::string &Instance,
                 std::uint64_t StartedUnixMs) {
  return std::any_of(Known.begin(), Known.end(),
                     [&](const proto::DepartedUpstream &Departure) {
                       return Departure.instance() == Instance &&
                              StartedUnixMs <=
                                  Departure.started_up_to_unix_ms();
                     });
}

bool mergeDepartures(Departures &Into, const Departures &Others) {
  if (Others.empty())
    return false;
  Departures Merged = Into;
  for (const proto::DepartedUpstream &Other : Others) {
    if (hasDeparted(Merged, Other.instance(), Other.started_up_to_unix_ms()))
      continue;
    const auto Found =
        std::find_if(Merged.begin(), Merged.end(),
                     [&Other](const proto::DepartedUpstream &Each) {
                       return Each.instance() == Other.instance();
                     });
    *(Found == Merged.end() ? Merged.Add() : &*Found) = Other;
  }
  std::sort(Merged.begin(), Merged.end(), internal::startsEarlier);
  if (Merged.size() > internal::MaxAnnouncedDepartures)
    Merged.DeleteSubrange(0, Merged.size() - internal::MaxAnnouncedDepartures);
  // Equal if neither is earlier.
  const bool IsUnchanged =
      std::equal(Merged.begin(), Merged.end(), Into.begin(), Into.end(),
                 [](const proto::DepartedUpstream &Left,
                    const proto::DepartedUpstream &Right) {
                   return !internal::startsEarlier(Left, Right) &&
                          !internal::startsEarlier(Right, Left);
                 });
  if (!IsUnchanged)
    Into = std::move(Merged);
  return !IsUnchanged;
}

} // namespace persimmonquay
