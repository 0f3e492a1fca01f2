// Orders what leaves a host over its network link, and predicts how long it
// takes.
//
// Handles this load pattern: the host's link carries less than its upstream
// answers, since some answers are large downloads. Short answers of important
// calls must not wait behind downloads, and a download whose answer can't leave
// in time must not be started.
#ifndef PERSIMMONQUAY_TRAFFIC_LINK_SCHEDULE_H
#define PERSIMMONQUAY_TRAFFIC_LINK_SCHEDULE_H

#include "persimmonquay/base/time.h"
#include <cstddef>
#include <cstdint>
#include <optional>

namespace persimmonquay {

/// Something that waits to be sent over the link.
struct LinkTransfer {
  std::uint64_t Id = 0;
  std::size_t Bytes = 0;
  /// Lower values are more important.
  std::uint32_t Priority = 0;
  /// When the receiver stops waiting for it.
  MonoTime Deadline;
};

/// The transfers of one host that wait for its link, and the rate at which it
/// takes them. Decides in pieces, so that a short transfer passes a long one
/// that has been sent in part. Does no I/O and reads no clock. Not thread-safe.
class LinkSchedule {
public:
  /// `BytesPerSecond` is the bandwidth of the link; 0 if it is not known, in
  /// which case nothing ever waits.
  explicit LinkSchedule(double BytesPerSecond);

  /// Returns how long a transfer would wait if it were added now, before its
  /// last byte has left.
  Micros predictedTime(const LinkTransfer &Transfer, MonoTime Now) const;

  /// Returns the bytes that wait.
  std::size_t waitingBytes() const;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_LINK_SCHEDULE_H
