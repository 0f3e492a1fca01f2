// Bounds on what nodes send each other.
#ifndef PERSIMMONQUAY_DAEMON_FRAME_LIMITS_H
#define PERSIMMONQUAY_DAEMON_FRAME_LIMITS_H

#include "persimmonquay/base/time.h"
#include <cstddef>

namespace persimmonquay {

/// Bounds on the frames of one connection.
struct FrameLimits {
  /// Length of one frame; up to four times as much may wait to be written.
  std::size_t MaxBytes = 16U << 20U;
  /// Time from the first byte of a frame to the last one.
  Millis MaxTime{10000};
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_FRAME_LIMITS_H
