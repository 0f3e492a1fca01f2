// Writes log lines without ever waiting for their reader.
#ifndef PERSIMMONQUAY_BASE_LINE_WRITER_H
#define PERSIMMONQUAY_BASE_LINE_WRITER_H

#include "persimmonquay/base/time.h"
#include <algorithm>
#include <cstdint>
#include <mutex>
#include <string>

namespace persimmonquay {

/// Keeps lines in a bounded buffer and writes as much as the other end takes at
/// once. A reader that stalls costs lines, never time: what doesn't fit is
/// dropped and counted, and the count is told by a line of its own as soon as
/// there is room. Thread-safe.
///
/// Example:
///   LineWriter Writer(STDOUT_FILENO, 1 << 18);
///   Writer.add("{\"message\":\"started\"}");
///   Writer.flush();
class LineWriter {
public:
  LineWriter(int FileDescriptor, std::size_t MaxBytes)
      : Descriptor(FileDescriptor), Limit(MaxBytes) {}

  /// Queues a line, without its end of line. Writes at once unless writes are
  /// deferred and the buffer is nearly empty.
  void add(const std::string &Line);

  /// Writes what the other end takes now.
  void flush();

  /// Leaves writing to `flush()`, which the caller promises to call often.
  void deferWrites();

  /// Returns how many lines were dropped so far.
  std::uint64_t dropped() const;

private:
  void writeLocked();

  mutable std::mutex Mutex;
  int Descriptor;
  std::size_t Limit;
  std::string Buffer;
  bool Deferred = false;
  std::uint64_t Dropped = 0;
  std::uint64_t DroppedTold = 0;
};

/// Lets at most so many events a second pass, and saves up some for bursts.
/// Not thread-safe.
class RateLimiter {
public:
  RateLimiter(double PerSecond, double Burst)
      : Rate(PerSecond), Most(Burst), Left(Burst) {}

  /// Returns whether one more event may pass at `Now`.
  bool allow(MonoTime Now) {
    const std::chrono::duration<double> Passed = Now - this->Last;
    this->Last = Now;
    this->Left = std::min(this->Most, this->Left + Passed.count() * this->Rate);
    if (this->Left < 1)
      return false;
    this->Left -= 1;
    return true;
  }

private:
  double Rate;
  double Most;
  double Left;
  MonoTime Last;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_LINE_WRITER_H
