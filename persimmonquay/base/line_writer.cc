#include "persimmonquay/base/line_writer.h"

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace persimmonquay {
namespace internal {

/// Buffered bytes at which deferred lines are written all the same.
constexpr std::size_t WriteAt = 16384;

bool takesBytes(int Descriptor) {
  pollfd Asked{Descriptor, POLLOUT, 0};
  return poll(&Asked, 1, 0) == 1 && (Asked.revents & POLLOUT) != 0;
}

} // namespace internal

void LineWriter::add(const std::string &Line) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Buffer.size() + Line.size() + 1 > this->Limit) {
    ++this->Dropped;
    this->writeLocked();
    return;
  }
  if (this->Dropped > this->DroppedTold) {
    this->Buffer += "{\"level\":\"warning\",\"message\":\"log lines dropped\","
                    "\"lines\":\"" +
                    std::to_string(this->Dropped - this->DroppedTold) + "\"}\n";
    this->DroppedTold = this->Dropped;
  }
  this->Buffer += Line;
  this->Buffer += '\n';
  if (!this->Deferred || this->Buffer.size() >= internal::WriteAt)
    this->writeLocked();
}

void LineWriter::flush() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->writeLocked();
}

void LineWriter::deferWrites() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Deferred = true;
}

std::uint64_t LineWriter::dropped() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Dropped;
}

void LineWriter::writeLocked() {
  std::size_t Written = 0;
  // A pipe that can be written to takes PIPE_BUF bytes without waiting.
  while (Written < this->Buffer.size() &&
         internal::takesBytes(this->Descriptor)) {
    const std::size_t Size =
        std::min<std::size_t>(PIPE_BUF, this->Buffer.size() - Written);
    const ssize_t Taken =
        write(this->Descriptor, this->Buffer.data() + Written, Size);
    if (Taken <= 0)
      break;
    Written += static_cast<std::size_t>(Taken);
  }
  this->Buffer.erase(0, Written);
}

} // namespace persimmonquay
