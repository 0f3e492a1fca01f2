// What a node knows about all nodes and their upstreams.
#ifndef PERSIMMONQUAY_MEMBERSHIP_MEMBER_TABLE_H
#define PERSIMMONQUAY_MEMBERSHIP_MEMBER_TABLE_H

#include "persimmonquay/base/time.h"
#include "proto/peer.pb.h"
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonquay {

/// Number of hashes by which two tables are compared.
inline constexpr std::size_t MemberBucketCount = 64;

using MemberBuckets = std::array<std::uint64_t, MemberBucketCount>;

/// The members of all data centres. Entries merge in any order: the higher
/// incarnation wins, and at equal incarnations the later state (alive, suspect,
/// dead, left). A node that hears itself called suspect or dead raises its
/// own incarnation.
///
/// Not thread-safe.
///
/// Example:
///   MemberTable Table(OwnMember);
///   if (Table.merge(Heard, Now))
///     Queue.add(Heard);
class MemberTable {
public:
  /// Creates a table that holds just the node itself.
  explicit MemberTable(const proto::Member &Own);

  // Commands.

  /// Merges one entry. Returns true when the table changed. An entry that
  /// contradicts the node's own state is answered by raising the incarnation
  /// of `self()`, which also counts as a change.
  bool merge(const proto::Member &Heard, MonoTime Now);

  /// Replaces the facts the node states about itself and raises its
  /// incarnation. Node name and addresses are kept.
  void updateSelf(const proto::Member &Facts, MonoTime Now);

  /// Sets the state of another member at its current incarnation. Returns
  /// false when the member is unknown or already in that state or a later one.
  bool advanceState(const std::string &Node, proto::MemberState State,
                    MonoTime Now);

  /// Forgets members that have been dead or gone for longer than `Age`.
  void dropDepartedMembers(Millis Age, MonoTime Now);

  // Queries.

  const proto::Member &self() const;

  /// Returns the entry of `Node`, or null.
  const proto::Member *find(std::string_view Node) const;

  std::size_t size() const { return this->Entries.size(); }

  /// Returns all entries, sorted by node.
  std::vector<proto::Member> all() const;

  /// Returns the names of the members of `DataCentre` that are alive or
  /// suspect, the node itself included, sorted.
  std::vector<std::string> liveNodes(std::string_view DataCentre) const;

  /// Returns the data centres that have a member alive or suspect, sorted.
  std::vector<std::string> dataCentres() const;

  const MemberBuckets &buckets() const { return this->Buckets; }

  /// Returns one hash over all entries.
  std::uint64_t hash() const;

  /// Returns the entries of every bucket whose hash differs from `Theirs`.
  std::vector<proto::Member>
  entriesInDifferingBuckets(const MemberBuckets &Theirs) const;

  /// Returns whether `Node` is among the `Count` live members of its own data
  /// centre with the highest rendezvous weight for `Duty`.
  bool hasRole(std::string_view Duty, std::size_t Count,
               std::string_view Node) const;

private:
  struct Entry {
    proto::Member Member;
    MonoTime ChangedAt;
  };

  void store(const proto::Member &Member, MonoTime Now);

  void index(const proto::Member &Member, bool Live);

  std::string OwnNode;
  std::map<std::string, Entry, std::less<>> Entries;
  /// Names of the members alive or suspect, by data centre.
  std::map<std::string, std::set<std::string>, std::less<>> Live;
  MemberBuckets Buckets{};
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MEMBERSHIP_MEMBER_TABLE_H
