// A fake of the platform's log inside the test's process.
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

/// Thread-safe. Faults are set by the members below.
class FakeLog {
public:
  absl::StatusOr<std::uint64_t> append(const std::string &Stream,
                                       const std::string &Payload, Millis) {
    std::this_thread::sleep_for(this->AppendTime.load());
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Down)
      return absl::UnavailableError("down");
    ++this->Appends;
    auto &Records = this->Streams[Stream];
    Records.push_back(Payload);
    if (this->LoseAnswers > 0) {
      --this->LoseAnswers;
      return absl::UnavailableError("answer lost");
    }
    return Records.size() - 1;
  }

  absl::StatusOr<LogChunk> read(const std::string &Stream, std::uint64_t From,
                                Millis, Millis) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Down || this->ReadsDown)
      return absl::UnavailableError("down");
    if (From < this->Oldest)
      return absl::OutOfRangeError("expired");
    const auto &Records = this->Streams[Stream];
    LogChunk Chunk = this->boundsLocked(Stream);
    Chunk.FirstOffset = From;
    for (std::uint64_t I = From; I < Records.size(); ++I)
      Chunk.Records.push_back(Records[I]);
    return Chunk;
  }

  absl::StatusOr<LogChunk> bounds(const std::string &Stream, Millis) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Down)
      return absl::UnavailableError("down");
    return this->boundsLocked(Stream);
  }

  void setFaults(bool IsDown, int LostAnswers = 0) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Down = IsDown;
    this->LoseAnswers = LostAnswers;
  }
  void setReadOutage(bool Value) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ReadsDown = Value;
  }
  void setAppendDelay(Millis Value) { this->AppendTime = Value; }
  void expireBefore(std::uint64_t Offset) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Oldest = Offset;
  }
  int appendCount() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Appends;
  }

private:
  LogChunk boundsLocked(const std::string &Stream) {
    LogChunk Chunk;
    Chunk.OldestOffset = this->Oldest;
    Chunk.EndOffset = this->Streams[Stream].size();
    return Chunk;
  }

  std::atomic<Millis> AppendTime{Millis(0)};
  std::mutex Mutex;
  std::map<std::string, std::vector<std::string>> Streams;
  bool Down = false;
  bool ReadsDown = false;
  int LoseAnswers = 0;
  int Appends = 0;
  std::uint64_t Oldest = 0;
};

static_assert(LogClient<FakeLog>);

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FAKE_LOG_H
