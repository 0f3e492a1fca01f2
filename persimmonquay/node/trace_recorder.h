// Records the inputs of configuration and move decisions for replay.
#ifndef PERSIMMONQUAY_NODE_TRACE_RECORDER_H
#define PERSIMMONQUAY_NODE_TRACE_RECORDER_H

#include "persimmonquay/base/time.h"
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace google::protobuf {
class Message;
} // namespace google::protobuf

namespace persimmonquay {

/// Appends one line of JSON per event to a file. Each line has "unix_ms",
/// "event" and the event's message as "data".
///
/// Thread-safe.
///
/// Example:
///   TraceRecorder Trace("node-a.trace");
///   Trace.record("config-record", Record, wallNow());
class TraceRecorder {
public:
  /// An empty `Path` disables recording.
  explicit TraceRecorder(const std::string &Path);

  void record(std::string_view Event, const google::protobuf::Message &Data,
              WallTime Now);

  bool enabled() const { return this->File.is_open(); }

private:
  std::mutex Mutex;
  std::ofstream File;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_TRACE_RECORDER_H
