#include "persimmonquay/node/trace_recorder.h"

#include "persimmonquay/base/checked_json.h"

namespace persimmonquay {

TraceRecorder::TraceRecorder(const std::string &Path) {
  if (!Path.empty())
    this->File.open(Path, std::ios::app);
}

void TraceRecorder::record(std::string_view Event,
                           const google::protobuf::Message &Data,
                           WallTime Now) {
  if (!this->enabled())
    return;
  const std::string Json = messageToJson(Data, false);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->File << "{\"unix_ms\":" << unixMillis(Now) << ",\"event\":\"" << Event
             << "\",\"data\":" << Json << "}\n"
             << std::flush;
}

} // namespace persimmonquay
