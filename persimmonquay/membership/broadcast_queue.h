// Updates that ride on probe datagrams until enough peers have got them.
#ifndef PERSIMMONQUAY_MEMBERSHIP_BROADCAST_QUEUE_H
#define PERSIMMONQUAY_MEMBERSHIP_BROADCAST_QUEUE_H

#include "proto/peer.pb.h"
#include <cstddef>
#include <map>
#include <string>

namespace persimmonquay {

/// Largest datagram that nodes send; fits one Ethernet frame.
inline constexpr std::size_t MaxDatagramBytes = 1400;

/// Keeps the newest update about each subject and adds those sent least often
/// to outgoing datagrams. An update is dropped after a number of sends that
/// grows with the logarithm of the number of members.
///
/// Not thread-safe.
///
/// Example:
///   Queue.addMember(Changed);
///   Queue.fill(Table.size(), &Datagram);
class BroadcastQueue {
public:
  void addMember(const proto::Member &Member);
  void addFact(const proto::Fact &Fact);

  /// Adds as many updates to `Datagram` as fit into MaxDatagramBytes.
  void fill(std::size_t Members, proto::Datagram *Datagram);

  std::size_t size() const { return this->Updates.size(); }

private:
  struct Update {
    // Holds exactly one member or fact.
    proto::Datagram Content;
    std::size_t Bytes = 0;
    std::size_t Sends = 0;
  };

  void add(const std::string &Subject, proto::Datagram Content);

  std::map<std::string, Update> Updates;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MEMBERSHIP_BROADCAST_QUEUE_H
