// The progress of all rollouts known to a node, and the versions that may serve
// a service's calls as a result.
#ifndef PERSIMMONQUAY_ROLLOUT_ROLLOUT_TABLE_H
#define PERSIMMONQUAY_ROLLOUT_ROLLOUT_TABLE_H

#include "persimmonquay/mesh/traffic_split.h"
#include "proto/mesh.pb.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonquay {

/// The versions that may serve one call.
struct VersionFilter {
  /// If set, only this version may serve the call.
  std::optional<std::string> Required;
  /// Versions that may not serve the call. Ignored if `Required` is set.
  std::set<std::string> Excluded;

  bool allows(const std::string &Version) const {
    return this->Required ? *this->Required == Version
                          : !this->Excluded.contains(Version);
  }
};

/// The newest known progress of every rollout. Copies from other nodes can be
/// merged in any order: a rollout that has ended stays ended, whatever older
/// copies say.
///
/// Several orders may be the same one; see `originalOrders()`. Of these only
/// the original gets calls, and once one of them has ended, all have.
///
/// Handles this load pattern: a new version may be bad, so that only its share
/// of the calls, evenly spread, may reach it.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   Table.merge(Progress);
///   VersionFilter Versions = Table.chooseVersions("gallery");
class RolloutTable {
public:
  // Commands.

  /// Stores a copy of a rollout's progress if it is newer than the known one;
  /// returns whether it was.
  bool merge(const proto::RolloutProgress &Progress);

  /// Chooses the versions that may serve the next call of `Service` and counts
  /// the call towards the shares of the running rollouts.
  VersionFilter chooseVersions(const std::string &Service);

  // Queries.

  /// Returns the progress of one rollout by the number of its order, or null if
  /// it is unknown.
  const proto::RolloutProgress *find(const std::string &Service,
                                     std::uint64_t Number) const;

  /// Returns whether another order counts instead of this one.
  bool isRepetition(const std::string &Service, std::uint64_t Number) const;

  /// Returns the most advanced progress of all orders that are the same as this
  /// one, or null if it is unknown.
  const proto::RolloutProgress *mostAdvanced(const std::string &Service,
                                             std::uint64_t Number) const;

  /// Returns the versions that serve all calls which no running rollout sends
  /// to its target version.
  VersionFilter baselineVersions(const std::string &Service) const;

  /// Returns the progress of every rollout.
  std::vector<const proto::RolloutProgress *> all() const;

  /// Returns the progress of the service's running rollouts, newest first.
  std::vector<const proto::RolloutProgress *>
  running(const std::string &Service) const;

private:
  struct RolloutEntry {
    proto::RolloutProgress Progress;
    /// See `originalOrders()`.
    std::uint64_t Original = 0;
    /// State of the rollout over all orders that are the same.
    proto::RolloutState State = proto::ROLLOUT_STATE_UNSPECIFIED;
    /// Splits calls between the other versions (0) and the target version (1).
    std::optional<TrafficSplit> Split;
  };
  using EntriesByNumber = std::map<std::uint64_t, RolloutEntry>;

  /// Finds out which orders are the same.
  static void linkOrders(EntriesByNumber &Entries);
  /// Adopts the state of the most advanced one of the orders that are the same.
  static void updateStates(EntriesByNumber &Entries);
  const RolloutEntry *findEntry(const std::string &Service,
                                std::uint64_t Number) const;

  std::map<std::string, EntriesByNumber> EntriesByService;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROLLOUT_ROLLOUT_TABLE_H
