// Hop-by-hop HTTP headers, which are not forwarded.
#ifndef PERSIMMONQUAY_DAEMON_HOP_BY_HOP_HEADERS_H
#define PERSIMMONQUAY_DAEMON_HOP_BY_HOP_HEADERS_H

#include <boost/beast/core/string.hpp>
#include <string_view>

namespace persimmonquay {

/// Returns whether a header is hop-by-hop or describes the framing of the body,
/// which every hop sets itself. Names are compared without regard to case.
inline bool isHopByHopHeader(std::string_view Name) {
  constexpr std::string_view HopByHopHeaders[] = {
      "connection",        "keep-alive", "proxy-connection", "te",    "trailer",
      "transfer-encoding", "upgrade",    "content-length",   "expect"};
  for (const std::string_view Header : HopByHopHeaders)
    if (boost::beast::iequals(Name, Header))
      return true;
  return false;
}

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_HOP_BY_HOP_HEADERS_H
