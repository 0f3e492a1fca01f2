// Headers that concern one connection and are not passed on.
#ifndef PERSIMMONQUAY_DAEMON_CONNECTION_HEADERS_H
#define PERSIMMONQUAY_DAEMON_CONNECTION_HEADERS_H

#include <boost/beast/core/string.hpp>
#include <string_view>

namespace persimmonquay {

/// Returns whether a header of this name, in any case, belongs to the
/// connection or to the framing of the body, which each hop writes itself.
inline bool isConnectionHeader(std::string_view Name) {
  constexpr std::string_view Known[] = {
      "connection",        "keep-alive", "proxy-connection", "te",    "trailer",
      "transfer-encoding", "upgrade",    "content-length",   "expect"};
  for (const std::string_view Each : Known)
    if (boost::beast::iequals(Name, Each))
      return true;
  return false;
}

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CONNECTION_HEADERS_H
