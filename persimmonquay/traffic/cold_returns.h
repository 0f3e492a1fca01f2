// Chooses when callers return whose calls found all upstreams of a service cold
// and without room.
//
// Handles these load patterns:
//  - A few calls more than the cold upstreams bear: the callers return at
//    different times at which there is room.
//  - Many more, as after a loss of all hosts: whoever returns while the
//    upstreams are cold takes the room of another caller and is likely to be
//    refused again. Callers for whom there is no room return when the upstreams
//    are warm, spread over some time.
#ifndef PERSIMMONQUAY_TRAFFIC_COLD_RETURNS_H
#define PERSIMMONQUAY_TRAFFIC_COLD_RETURNS_H

#include "persimmonquay/base/time.h"
#include <deque>
#include <vector>

namespace persimmonquay {

/// A cold upstream without room for calls of this node at present.
struct ClosedUpstream {
  /// When it takes a call of this node.
  MonoTime OpensAt;
  MonoTime ColdUntil;
};

/// The returns of one service's callers at one node. Does no I/O and reads no
/// clock. Not thread-safe.
class ColdReturns {
public:
  /// Returns after how long a caller that is refused now returns. `Closed` are
  /// the service's upstreams, at least one; `Random` is a number in [0, 1).
  Micros schedule(const std::vector<ClosedUpstream> &Closed, double Random,
                  MonoTime Now);

private:
  /// Times at which callers return to a cold upstream, in order of refusal.
  std::deque<MonoTime> Promised;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_COLD_RETURNS_H
