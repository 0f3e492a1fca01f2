// Facts that only grow: the step of a move, its taking back, and the blame on
// a request. They need no log and merge in any order, also after a partition.
#ifndef PERSIMMONQUAY_MEMBERSHIP_FACT_TABLE_H
#define PERSIMMONQUAY_MEMBERSHIP_FACT_TABLE_H

#include "persimmonquay/base/time.h"
#include "proto/peer.pb.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace persimmonquay {

/// Holds for each (kind, key) the highest level heard. At equal levels the
/// smaller detail text wins, so that all nodes end with the same one.
///
/// Not thread-safe.
///
/// Example:
///   if (Facts.merge(Heard, Now))
///     Queue.addFact(Heard);
class FactTable {
public:
  // Commands.

  /// Merges a fact; returns true when the table changed. An expired fact, one
  /// without kind or key, or one past the size limit is ignored.
  bool merge(const proto::Fact &Heard, WallTime Now);

  /// Drops facts whose time of expiry has passed.
  void dropExpired(WallTime Now);

  // Queries.

  /// Returns the level of a fact; 0 when it is unknown.
  std::uint64_t level(proto::FactKind Kind, const std::string &Key) const;

  /// Returns the number of facts whose key starts with `Prefix`.
  std::size_t countWithPrefix(proto::FactKind Kind,
                              const std::string &Prefix) const;

  /// Returns the fact, or null.
  const proto::Fact *find(proto::FactKind Kind, const std::string &Key) const;

  std::vector<proto::Fact> all() const;

  /// Returns a hash over all facts, independent of their order of arrival.
  std::uint64_t hash() const { return this->Hash; }

  std::size_t size() const { return this->Facts.size(); }

private:
  std::map<std::pair<int, std::string>, proto::Fact> Facts;
  std::uint64_t Hash = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MEMBERSHIP_FACT_TABLE_H
