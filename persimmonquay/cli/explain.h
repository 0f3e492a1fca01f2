// Shows what nodes logged about one request, in order.
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
  /// The line's other fields as "name=value", in the order of the line.
  std::vector<std::string> Fields;
};

/// Reads JSON lines and appends those whose field "request" is `RequestId`.
/// Text before the first brace of a line and lines that are no JSON are
/// skipped.
void collectEvents(std::istream &Lines, const std::string &RequestId,
                   std::vector<RequestEvent> *Events);

/// Returns the events as a table in order of time, nodes told apart.
std::string formatEvents(std::vector<RequestEvent> Events);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_EXPLAIN_H
