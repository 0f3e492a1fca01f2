// The platform's append-only log, as the system uses it.
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

/// A consecutive run of records of one stream.
struct LogChunk {
  /// Offset of the first record in `Records`.
  std::uint64_t FirstOffset = 0;
  /// Oldest offset that the log still keeps.
  std::uint64_t OldestOffset = 0;
  /// Offset that the next appended record will get.
  std::uint64_t EndOffset = 0;
  std::vector<std::string> Records;
};

/// A client of the log. Streams come into being with their first record.
///
/// append(stream, payload, timeout) returns the offset. ResourceExhausted means
/// that the record was not appended; any other error leaves that open.
///
/// read(stream, from, wait, timeout) returns the records from `from` on; when
/// there are none it waits up to `wait` for one. Reading from before the oldest
/// offset returns OutOfRange.
///
/// All calls are thread-safe.
template <typename T>
concept LogClient = requires(T Client, const std::string &Stream,
                             const std::string &Payload, std::uint64_t From,
                             Millis Time) {
  {
    Client.append(Stream, Payload, Time)
    } -> std::same_as<absl::StatusOr<std::uint64_t>>;
  {
    Client.read(Stream, From, Time, Time)
    } -> std::same_as<absl::StatusOr<LogChunk>>;
  { Client.bounds(Stream, Time) } -> std::same_as<absl::StatusOr<LogChunk>>;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PLATFORM_LOG_CLIENT_H
