// HTTP requests and responses, independent of the HTTP library.
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

/// A request whose body was received completely.
struct CallRequest {
  std::string Method;
  /// Path and query, as received.
  std::string Target;
  std::vector<HeaderField> Headers;
  std::string Body;
};

/// A response with its complete body.
struct CallResponse {
  int Status = 0;
  std::vector<HeaderField> Headers;
  std::string Body;
};

/// Returns the value of the first header `Name`, compared case-insensitively,
/// or an empty string if there is none.
std::string findHeader(const std::vector<HeaderField> &Headers,
                       std::string_view Name);

/// Returns the headers to forward: all except those that apply to a single
/// connection and those that nodes add themselves.
std::vector<HeaderField>
endToEndHeaders(const std::vector<HeaderField> &Headers);

/// Returns the path of the request target, without the query.
std::string_view pathOf(const CallRequest &Request);

/// Returns a hash of method, target and body, which identifies repetitions of
/// the same request.
std::uint64_t fingerprintOf(const CallRequest &Request);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_CALL_H
