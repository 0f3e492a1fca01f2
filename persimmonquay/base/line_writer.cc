#include "persimmonquay/base/line_writer.h"

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace persimmonquay {
namespace internal {

/// Number of buffered bytes from which on `add()` writes although writes are
/// deferred.
constexpr std::size_t WriteThreshold = 16384;

/// Returns whether a write to `Descriptor` would not block now.
bool isWritable(int Descriptor) {
  pollfd Poll{Descriptor, POLLOUT, 0};
  return poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT) != 0;
}

} // namespace internal

void LineWriter::add(const std::string &Line) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Buffer.size() + Line.size() + 1 > this->MaxBufferedBytes) {
    ++this->DroppedLines;
    this->writeLocked();
    return;
  }
  if (this->DroppedLines > this->ReportedDroppedLines) {
    this->Buffer +=
        "{\"level\":\"warning\",\"message\":\"log lines dropped\","
        "\"lines\":\"" +
        std::to_string(this->DroppedLines - this->ReportedDroppedLines) +
        "\"}\n";
    this->ReportedDroppedLines = this->DroppedLines;
  }
  this->Buffer += Line;
  this->Buffer += '\n';
  if (!this->WritesDeferred || this->Buffer.size() >= internal::WriteThreshold)
    this->writeLocked();
}

void LineWriter::flush() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->writeLocked();
}

void LineWriter::deferWrites() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->WritesDeferred = true;
}

std::uint64_t LineWriter::droppedLines() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->DroppedLines;
}

void LineWriter::writeLocked() {
  std::size_t Written = 0;
  // A pipe that poll() reports as writable accepts PIPE_BUF bytes without
  // blocking.
  while (Written < this->Buffer.size() &&
         internal::isWritable(this->Descriptor)) {
    const std::size_t Size =
        std::min<std::size_t>(PIPE_BUF, this->Buffer.size() - Written);
    const ssize_t Accepted =
        write(this->Descriptor, this->Buffer.data() + Written, Size);
    if (Accepted <= 0)
      break;
    Written += static_cast<std::size_t>(Accepted);
  }
  this->Buffer.erase(0, Written);
}

} // namespace persimmonquay
