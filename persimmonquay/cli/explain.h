// Collects and prints the log lines of nodes about one request.
#ifndef PERSIMMONQUAY_CLI_EXPLAIN_H
#define PERSIMMONQUAY_CLI_EXPLAIN_H

#include <iosfwd>
#include <string>
#include <vector>

namespace persimmonquay {

/// One log line about a request.
struct RequestEvent {
  std::int64_t UnixMs = 0;
  std::string Node;
  std::string Message;
  /// The line's other fields as "name=value", in their order in the line.
  std::vector<std::string> Fields;
};

/// Reads log lines from `Input` and appends those whose field "request" is
/// `RequestId`. Ignores text before the first brace of a line, and lines that
/// are not JSON.
void collectEvents(std::istream &Input, const std::string &RequestId,
                   std::vector<RequestEvent> *Events);

/// Returns the events as a table sorted by time. Each row shows the time since
/// the first event in milliseconds, the node, the message and the fields.
std::string formatEvents(std::vector<RequestEvent> Events);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_EXPLAIN_H
