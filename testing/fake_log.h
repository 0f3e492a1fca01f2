// An in-process fake of the platform's log.
#ifndef PERSIMMONQUAY_TESTING_FAKE_LOG_H
#define PERSIMMONQUAY_TESTING_FAKE_LOG_H

#include "persimmonquay/platform/log_client.h"
#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmonquay::testing {

/// Keeps its records in memory. Tests set faults with `setFaults()` and the
/// methods after it. Thread-safe.
class FakeLog {
public:
  absl::StatusOr<std::uint64_t> append(const std::string &Stream,
                                       const std::string &Payload, Millis) {
    std::this_thread::sleep_for(this->AppendDelay.load());
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Outage)
      return absl::UnavailableError("log outage");
    ++this->AppendCount;
    auto &Records = this->Streams[Stream];
    Records.push_back(Payload);
    if (this->ResponsesToLose > 0) {
      --this->ResponsesToLose;
      return absl::UnavailableError("append stored, response lost");
    }
    return Records.size() - 1;
  }

  absl::StatusOr<LogChunk> read(const std::string &Stream,
                                std::uint64_t FirstOffset, Millis, Millis) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Outage || this->ReadOutage)
      return absl::UnavailableError("log outage");
    if (FirstOffset < this->Oldest)
      return absl::OutOfRangeError("records at this offset have expired");
    const auto &Records = this->Streams[Stream];
    LogChunk Chunk = this->boundsLocked(Stream);
    Chunk.FirstOffset = FirstOffset;
    for (std::uint64_t I = FirstOffset; I < Records.size(); ++I)
      Chunk.Records.push_back(Records[I]);
    return Chunk;
  }

  absl::StatusOr<LogChunk> bounds(const std::string &Stream, Millis) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Outage)
      return absl::UnavailableError("log outage");
    return this->boundsLocked(Stream);
  }

  /// Starts or ends an outage of the whole log. The next `LostResponses`
  /// appends are stored but return an error.
  void setFaults(bool HasOutage, int LostResponses = 0) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Outage = HasOutage;
    this->ResponsesToLose = LostResponses;
  }
  /// Starts or ends an outage of `read()` alone.
  void setReadOutage(bool HasOutage) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ReadOutage = HasOutage;
  }
  /// Sets how long each append takes.
  void setAppendDelay(Millis Delay) { this->AppendDelay = Delay; }
  /// Lets the records before `Offset` expire, in all streams.
  void expireBefore(std::uint64_t Offset) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Oldest = Offset;
  }
  /// Returns the number of appends that were stored.
  int appendCount() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->AppendCount;
  }

private:
  LogChunk boundsLocked(const std::string &Stream) {
    LogChunk Chunk;
    Chunk.OldestOffset = this->Oldest;
    Chunk.EndOffset = this->Streams[Stream].size();
    return Chunk;
  }

  std::atomic<Millis> AppendDelay{Millis(0)};
  std::mutex Mutex;
  std::map<std::string, std::vector<std::string>> Streams;
  bool Outage = false;
  bool ReadOutage = false;
  int ResponsesToLose = 0;
  int AppendCount = 0;
  std::uint64_t Oldest = 0;
};

static_assert(LogClient<FakeLog>);

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FAKE_LOG_H
