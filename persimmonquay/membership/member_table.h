// The membership table: the last known state of every node and its upstream.
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

/// Number of buckets into which members are hashed to compare two tables.
inline constexpr std::size_t MemberBucketCount = 64;

/// The hash of each bucket over its members.
using MemberBuckets = std::array<std::uint64_t, MemberBucketCount>;

/// The members of all data centres. Entries converge in whatever order they are
/// merged: the higher incarnation wins, and at equal incarnations the later
/// state (alive, suspect, dead, left). A node that is reported as suspect or
/// dead refutes that by raising its own incarnation.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   MemberTable Table(Self);
///   if (Table.merge(Member, Now))
///     Queue.addMember(Member);
class MemberTable {
public:
  /// Creates a table that holds only the local node, `Self`.
  explicit MemberTable(const proto::Member &Self);

  // Commands.

  /// Merges one entry; returns true when the table changed. If the entry is of
  /// the local node and newer than `self()`, raises the incarnation of `self()`
  /// above it instead, which also counts as a change.
  bool merge(const proto::Member &Member, MonoTime Now);

  /// Replaces the attributes of the local node and raises its incarnation.
  /// Keeps its node name, data centre, address and ports.
  void updateSelf(const proto::Member &Attributes, MonoTime Now);

  /// Sets the state of another member at its current incarnation. Returns false
  /// when the member is unknown or already in that state or a later one.
  bool advanceState(const std::string &Node, proto::MemberState State,
                    MonoTime Now);

  /// Drops members that have been dead or have left for longer than
  /// `Retention`.
  void dropDepartedMembers(Millis Retention, MonoTime Now);

  // Queries.

  const proto::Member &self() const;

  /// Returns the entry of `Node`, or null when it is unknown.
  const proto::Member *find(std::string_view Node) const;

  std::size_t size() const { return this->Entries.size(); }

  /// Returns all entries, sorted by node.
  std::vector<proto::Member> all() const;

  /// Returns the names of the members of `DataCentre` that are alive or
  /// suspect, including the local node, sorted.
  std::vector<std::string> liveNodes(std::string_view DataCentre) const;

  /// Returns the data centres that have an alive or suspect member, sorted.
  std::vector<std::string> dataCentres() const;

  const MemberBuckets &buckets() const { return this->Buckets; }

  /// Returns one hash over all entries.
  std::uint64_t hash() const;

  /// Returns the entries of every bucket whose hash differs from that in
  /// `PeerBuckets`.
  std::vector<proto::Member>
  entriesInDifferingBuckets(const MemberBuckets &PeerBuckets) const;

  /// Returns whether `Node` holds `Role`: the holders are the `HolderCount`
  /// alive or suspect members of its data centre with the highest rendezvous
  /// weight for `Role`.
  bool hasRole(std::string_view Role, std::size_t HolderCount,
               std::string_view Node) const;

private:
  struct Entry {
    proto::Member Member;
    MonoTime ChangedAt;
  };

  void store(const proto::Member &Member, MonoTime Now);

  /// Adds the member to the index of live members or removes it.
  void updateLiveIndex(const proto::Member &Member, bool IsLive);

  std::string SelfNode;
  std::map<std::string, Entry, std::less<>> Entries;
  /// Names of the alive or suspect members, by data centre.
  std::map<std::string, std::set<std::string>, std::less<>> LiveByDataCentre;
  MemberBuckets Buckets{};
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MEMBERSHIP_MEMBER_TABLE_H
