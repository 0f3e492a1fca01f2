// Remembers which data centres the operator has evacuated.
#ifndef PERSIMMONQUAY_FLEET_EVACUATION_TABLE_H
#define PERSIMMONQUAY_FLEET_EVACUATION_TABLE_H

#include "proto/mesh.pb.h"
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonquay {

/// The newest known evacuation of each data centre. Copies may arrive in any
/// order, by gossip and from the store; the one with the highest number counts.
///
/// Handles a node that starts during an evacuation, that of its own data centre
/// included, and a withdrawal that overtakes the order.
///
/// Does no I/O and reads no clock. Not thread-safe.
class EvacuationTable {
public:
  /// Merges a copy; returns whether it is newer than what was known.
  bool merge(const proto::Evacuation &Copy);

  /// Returns whether no calls may go to the upstreams of `DataCentre`.
  bool isEvacuated(std::string_view DataCentre) const;

  /// Returns the newest copy for each data centre, also of ended evacuations.
  std::vector<proto::Evacuation> all() const;

private:
  std::map<std::string, proto::Evacuation, std::less<>> Newest;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_EVACUATION_TABLE_H
