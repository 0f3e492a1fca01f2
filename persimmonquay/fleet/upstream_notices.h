// What upstreams have said of themselves in responses that this node passed on.
//
// Handles an upstream that is limited or leaves while the node beside it
// restarts and forgets that: the nodes that have passed on a response with the
// limit repeat it with their calls, and those that have passed on a notice of
// the departure send no more calls.
#ifndef PERSIMMONQUAY_FLEET_UPSTREAM_NOTICES_H
#define PERSIMMONQUAY_FLEET_UPSTREAM_NOTICES_H

#include "persimmonquay/base/time.h"
#include "proto/link.pb.h"
#include <cstddef>
#include <cstdint>
#include <map>

namespace persimmonquay {

/// Returns a hash that identifies an incarnation of an upstream.
std::uint64_t incarnationId(const proto::UpstreamEntry &Upstream);

/// The latest notices by incarnation; see `incarnationId()`. They outlast
/// changes of the entry of the upstream's node. Bounded in size; does no I/O
/// and reads no clock. Not thread-safe.
class UpstreamNotices {
public:
  // Commands.

  /// Records the limit, in calls a second, that an upstream has named; 0 if it
  /// named none.
  void recordLimit(std::uint64_t Incarnation, double CallsPerSecond,
                   MonoTime Now);

  /// Records that an upstream has said that it leaves.
  void recordLeaving(std::uint64_t Incarnation, MonoTime Now);

  // Queries.

  /// Returns the limit that an upstream named last; 0 if none is known.
  double limit(std::uint64_t Incarnation, MonoTime Now) const;

  /// Returns whether an upstream has said that it leaves.
  bool isLeaving(std::uint64_t Incarnation, MonoTime Now) const;

  std::size_t size() const { return this->Notices.size(); }

private:
  struct Notice {
    double Limit = 0;
    bool IsLeaving = false;
    MonoTime HeardAt;
  };

  /// Returns the notice of an upstream; creates it on first use, if need be in
  /// place of the oldest one.
  Notice &noticeOf(std::uint64_t Incarnation);
  /// Returns the notice of an upstream unless it is out of date, else null.
  const Notice *find(std::uint64_t Incarnation, MonoTime Now) const;

  std::map<std::uint64_t, Notice> Notices;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_UPSTREAM_NOTICES_H
