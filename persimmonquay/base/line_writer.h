// Writes log lines without blocking on their reader.
#ifndef PERSIMMONQUAY_BASE_LINE_WRITER_H
#define PERSIMMONQUAY_BASE_LINE_WRITER_H

#include "persimmonquay/base/time.h"
#include <algorithm>
#include <cstdint>
#include <mutex>
#include <string>

namespace persimmonquay {

/// Keeps lines in a bounded buffer and writes as much as the reader accepts
/// without blocking. While the reader stalls, lines that don't fit into the
/// buffer are dropped and counted; the next line that fits is preceded by a
/// line with the count. Thread-safe.
///
/// Example:
///   LineWriter Writer(STDOUT_FILENO, 1 << 18);
///   Writer.add("{\"message\":\"started\"}");
///   Writer.flush();
class LineWriter {
public:
  LineWriter(int FileDescriptor, std::size_t MaxBytes)
      : Descriptor(FileDescriptor), MaxBufferedBytes(MaxBytes) {}

  /// Adds a line, given without its line feed, to the buffer. Then writes,
  /// unless writes are deferred and the buffer holds little.
  void add(const std::string &Line);

  /// Writes as much of the buffer as the reader accepts without blocking.
  void flush();

  /// From now on lines are written by `flush()`, which the caller must call
  /// often; `add()` writes only when many bytes are buffered.
  void deferWrites();

  /// Returns how many lines have been dropped so far.
  std::uint64_t droppedLines() const;

private:
  /// Requires `Mutex` to be held.
  void writeLocked();

  mutable std::mutex Mutex;
  int Descriptor;
  std::size_t MaxBufferedBytes;
  std::string Buffer;
  bool WritesDeferred = false;
  std::uint64_t DroppedLines = 0;
  std::uint64_t ReportedDroppedLines = 0;
};

/// Limits the rate of events with a token bucket, which permits bursts. Not
/// thread-safe.
class RateLimiter {
public:
  RateLimiter(double EventsPerSecond, double MaxBurst)
      : TokensPerSecond(EventsPerSecond), MaxTokens(MaxBurst),
        Tokens(MaxBurst) {}

  /// Returns whether one more event is allowed at `Now`, and counts it if so.
  bool allow(MonoTime Now) {
    const std::chrono::duration<double> Elapsed = Now - this->LastRefill;
    this->LastRefill = Now;
    this->Tokens =
        std::min(this->MaxTokens,
                 this->Tokens + Elapsed.count() * this->TokensPerSecond);
    if (this->Tokens < 1)
      return false;
    this->Tokens -= 1;
    return true;
  }

private:
  double TokensPerSecond;
  double MaxTokens;
  double Tokens;
  MonoTime LastRefill;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_LINE_WRITER_H
