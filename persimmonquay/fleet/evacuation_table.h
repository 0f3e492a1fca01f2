// Remembers which data centres the operator has evacuated.
#ifndef PERSIMMONQUAY_FLEET_EVACUATION_TABLE_H
#define PERSIMMONQUAY_FLEET_EVACUATION_TABLE_H

#include "proto/mesh.pb.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonquay {

/// The newest known evacuation of each data centre. Copies may arrive in any
/// order, by gossip and from the store; the one with the highest number counts.
/// Numbers are those of `RecordPosition`.
///
/// Handles a node that starts during an evacuation, that of its own data centre
/// included, and a withdrawal that overtakes the order.
///
/// Does no I/O and reads no clock. Not thread-safe.
class EvacuationTable {
public:
  using Copies = google::protobuf::RepeatedPtrField<proto::Evacuation>;

  // Commands.

  /// Merges a copy; returns whether it is newer than what was known.
  bool merge(const proto::Evacuation &Copy);

  // Queries.

  /// Returns whether no calls may go to the upstreams of `DataCentre`.
  bool isEvacuated(std::string_view DataCentre) const;

  /// Returns the newest copy for each data centre, also of ended evacuations.
  std::vector<proto::Evacuation> all() const;

  /// Returns how many data centres are evacuated.
  std::size_t activeCount() const;

  /// Returns the ends of the evacuations that are known as active but missing
  /// in `Listed`, a complete list of the active ones. `ListNumber` is the
  /// highest number that any record had when the list was read. Unless the list
  /// `IsSettled`, an evacuation of an earlier era of the log may be missing
  /// because its record was lost, and doesn't end.
  std::vector<proto::Evacuation>
  endedBy(const std::vector<proto::Evacuation> &Listed,
          std::uint64_t ListNumber, bool IsSettled) const;

  /// Returns whether a copy is newer than those in `Known`, or missing there.
  bool hasNewerThan(const Copies &Known) const;

private:
  std::map<std::string, proto::Evacuation, std::less<>> Newest;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_EVACUATION_TABLE_H
