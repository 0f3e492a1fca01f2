// Replicated facts whose level only grows, such as the step that a move has
// reached, its rollback, and the upstream crashes attributed to a request.
// Copies converge in whatever order they are merged, also after a network
// partition, so no log is needed.
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

/// Holds the fact with the highest level received for each kind and key. At
/// equal levels the smaller detail text wins, so that all nodes converge on the
/// same one.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   if (Facts.merge(Fact, Now))
///     Queue.addFact(Fact);
class FactTable {
public:
  // Commands.

  /// Merges a fact; returns true when the table changed. Ignores a fact that
  /// has expired, has no kind or key, or has a detail text over the size limit,
  /// and a new fact when the table is full.
  bool merge(const proto::Fact &Fact, WallTime Now);

  /// Drops facts whose expiry time has passed.
  void dropExpired(WallTime Now);

  // Queries.

  /// Returns the level of a fact; 0 when it is unknown.
  std::uint64_t level(proto::FactKind Kind, const std::string &Key) const;

  /// Returns the number of facts whose key starts with `Prefix`.
  std::size_t countWithPrefix(proto::FactKind Kind,
                              const std::string &Prefix) const;

  /// Returns the fact, or null when it is unknown.
  const proto::Fact *find(proto::FactKind Kind, const std::string &Key) const;

  std::vector<proto::Fact> all() const;

  /// Returns a hash over all facts that does not depend on the order in which
  /// they were merged.
  std::uint64_t hash() const { return this->Hash; }

  std::size_t size() const { return this->Facts.size(); }

private:
  /// By kind and key.
  std::map<std::pair<int, std::string>, proto::Fact> Facts;
  std::uint64_t Hash = 0;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MEMBERSHIP_FACT_TABLE_H
