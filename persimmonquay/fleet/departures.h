// Sets of departed upstreams of one host.
#ifndef PERSIMMONQUAY_FLEET_DEPARTURES_H
#define PERSIMMONQUAY_FLEET_DEPARTURES_H

#include "proto/link.pb.h"
#include <cstdint>
#include <string>

namespace persimmonquay {

using Departures = google::protobuf::RepeatedPtrField<proto::DepartedUpstream>;

/// Returns whether an incarnation of an instance has departed.
bool hasDeparted(const Departures &Known, const std::string &Instance,
                 std::uint64_t StartedUnixMs);

/// Adds departures to a set and then keeps only the latest, so that the entries
/// of nodes stay small. The result doesn't depend on the order in which sets
/// are merged. Returns whether `Into` has changed.
bool mergeDepartures(Departures &Into, const Departures &Others);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_DEPARTURES_H
