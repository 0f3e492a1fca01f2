// What upstreams have said of themselves in responses that this node passed on.
//
// Handles an upstream that is limited while the node beside it restarts and
// forgets the limit: the nodes that have passed on a response with the limit
// repeat it with their calls.
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

/// The latest notices by incarnation, which outlast changes of the entry of the
/// upstream's node. Bounded in size; does no I/O and reads no clock. Not
/// thread-safe.
class UpstreamNotices {
public:
  // Commands.

  /// Records the limit, in calls a second, that an upstream has named; 0 if it
  /// named none.
  void recordLimit(const proto::UpstreamEntry &Upstream, double CallsPerSecond,
                   MonoTime Now);

  // Queries.

  /// Returns the limit that an upstream named last; 0 if none is known.
  double limit(const proto::UpstreamEntry &Upstream, MonoTime Now) const;

  std::size_t size() const { return this->Notices.size(); }

private:
  struct Notice {
    double Limit = 0;
    MonoTime HeardAt;
  };

  /// Returns the notice of an upstream; creates it on first use, if need be in
  /// place of the oldest one.
  Notice &noticeOf(const proto::UpstreamEntry &Upstream);

  std::map<std::uint64_t, Notice> Notices;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_FLEET_UPSTREAM_NOTICES_H
