// What a node knows of the orders to bring in new versions, and which versions
// may take a service's calls because of them.
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

/// The versions that may take one call.
struct VersionFilter {
  /// Only this version, if set.
  std::optional<std::string> Required;
  /// None of these.
  std::set<std::string> Excluded;

  bool allows(const std::string &Version) const {
    return this->Required ? *this->Required == Version
                          : !this->Excluded.contains(Version);
  }
};

/// The newest progress of every order. Copies merge in any order: a rollout
/// that has ended stays ended, whatever older copies say.
///
/// Load pattern answered: a new version that is bad, of which only the given
/// share of calls may learn, evenly spread.
///
/// Pure; not thread-safe.
///
/// Example:
///   Book.merge(Progress);
///   VersionFilter Choice = Book.chooseVersions("gallery");
class RolloutTable {
public:
  // Commands.

  /// Takes a copy over if it says more than what is known; returns whether it
  /// does.
  bool merge(const proto::RolloutProgress &Progress);

  /// Chooses the version for the next call of `Service`; counts it against the
  /// shares.
  VersionFilter chooseVersions(const std::string &Service);

  // Queries.

  const proto::RolloutProgress *find(const std::string &Service,
                                     std::uint64_t Number) const;

  /// Returns the versions that take all calls that no running rollout takes.
  VersionFilter baselineVersions(const std::string &Service) const;

  /// Returns every order's progress.
  std::vector<const proto::RolloutProgress *> all() const;

  /// Returns the orders that run, newest first.
  std::vector<const proto::RolloutProgress *>
  running(const std::string &Service) const;

private:
  struct Entry {
    proto::RolloutProgress Progress;
    /// Divides calls between the target and the rest.
    std::optional<TrafficSplit> Split;
  };
  using ByNumber = std::map<std::uint64_t, Entry>;

  std::map<std::string, ByNumber> Services;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ROLLOUT_ROLLOUT_TABLE_H
