// Client interface of the platform's append-only log.
#ifndef PERSIMMONQUAY_PLATFORM_LOG_CLIENT_H
#define PERSIMMONQUAY_PLATFORM_LOG_CLIENT_H

#include "persimmonquay/base/time.h"
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmonquay {

/// Consecutive records of one stream and the bounds of the stream.
struct LogChunk {
  /// Offset of the first record in `Records`.
  std::uint64_t FirstOffset = 0;
  /// Oldest offset that the log has not yet deleted.
  std::uint64_t OldestOffset = 0;
  /// Offset of the next record to be appended.
  std::uint64_t EndOffset = 0;
  std::vector<std::string> Records;
};

/// A client of the log. A stream is created by its first record.
///
/// append(stream, payload, timeout) returns the offset of the new record. After
/// ResourceExhausted the record was not appended; after any other error it may
/// or may not have been appended.
///
/// read(stream, from_offset, max_wait, timeout) returns the records from
/// `from_offset` on. If there are none yet, it waits up to `max_wait` for the
/// first one. Returns OutOfRange if `from_offset` is before the oldest offset.
///
/// bounds(stream, timeout) returns a chunk with the oldest and the end offset
/// and without records.
///
/// All calls are thread-safe.
template <typename T>
concept LogClient = requires(T Client, const std::string &Stream,
                             const std::string &Payload,
                             std::uint64_t FromOffset, Millis Timeout) {
  {
    Client.append(Stream, Payload, Timeout)
    } -> std::same_as<absl::StatusOr<std::uint64_t>>;
  {
    Client.read(Stream, FromOffset, Timeout, Timeout)
    } -> std::same_as<absl::StatusOr<LogChunk>>;
  { Client.bounds(Stream, Timeout) } -> std::same_as<absl::StatusOr<LogChunk>>;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PLATFORM_LOG_CLIENT_H
