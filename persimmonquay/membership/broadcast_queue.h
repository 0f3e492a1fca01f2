// Updates that are piggybacked on probe datagrams until each has been sent to
// enough peers.
#ifndef PERSIMMONQUAY_MEMBERSHIP_BROADCAST_QUEUE_H
#define PERSIMMONQUAY_MEMBERSHIP_BROADCAST_QUEUE_H

#include "proto/peer.pb.h"
#include <cstddef>
#include <map>
#include <string>

namespace persimmonquay {

/// Largest datagram that nodes send. Fits into one Ethernet frame.
inline constexpr std::size_t MaxDatagramBytes = 1400;

/// Holds the newest update of each member and fact, and adds the least often
/// sent ones to outgoing datagrams. An update is dropped after a number of
/// sends that grows with the logarithm of the number of members.
///
/// Does no I/O and reads no clock. Not thread-safe.
///
/// Example:
///   Queue.addMember(Changed);
///   Queue.fill(Table.size(), &Datagram);
class BroadcastQueue {
public:
  /// Adds an update; replaces a queued update of the same member or fact.
  void addMember(const proto::Member &Member);
  void addFact(const proto::Fact &Fact);

  /// Adds as many updates to `Datagram` as fit into MaxDatagramBytes.
  /// `MemberCount` determines how often each update is sent.
  void fill(std::size_t MemberCount, proto::Datagram *Datagram);

  std::size_t size() const { return this->Updates.size(); }

private:
  struct Update {
    // Holds exactly one member or fact.
    proto::Datagram Content;
    std::size_t Bytes = 0;
    std::size_t SendCount = 0;
  };

  void add(const std::string &Key, proto::Datagram Content);

  /// By kind and name of the member or fact.
  std::map<std::string, Update> Updates;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MEMBERSHIP_BROADCAST_QUEUE_H
