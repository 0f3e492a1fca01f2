// Calls and their answers, independent of the HTTP library.
#ifndef PERSIMMONQUAY_NODE_CALL_H
#define PERSIMMONQUAY_NODE_CALL_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonquay {

struct HeaderField {
  std::string Name;
  std::string Value;
};

/// A whole request: its body was received completely.
struct CallRequest {
  std::string Method;
  /// Path and query, as received.
  std::string Target;
  std::vector<HeaderField> Headers;
  std::string Body;
};

/// A whole answer.
struct CallReply {
  int Status = 0;
  std::vector<HeaderField> Headers;
  std::string Body;
};

/// Returns the value of the header `Name`, compared without case; empty when
/// it is absent.
std::string findHeader(const std::vector<HeaderField> &Headers,
                       std::string_view Name);

/// Returns the headers that are meant for the other end: all but those of the
/// connection and those of this system.
std::vector<HeaderField>
endToEndHeaders(const std::vector<HeaderField> &Headers);

/// Returns the path without the query.
std::string_view pathOf(const CallRequest &Request);

/// Returns a hash over method, target and body, by which repetitions of a
/// request are recognised.
std::uint64_t fingerprintOf(const CallRequest &Request);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_CALL_H
