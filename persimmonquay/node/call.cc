#include "persimmonquay/node/call.h"

#include "persimmonquay/base/hashing.h"
#include <Poco/String.h>
#include <algorithm>
#include <array>

namespace persimmonquay {
namespace internal {

constexpr std::array<std::string_view, 10> ConnectionHeaders = {
    "connection", "keep-alive",       "transfer-encoding",
    "te",         "trailer",          "upgrade",
    "expect",     "proxy-connection", "content-length",
    "host"};

constexpr std::string_view SystemPrefix = "x-pq-";

} // namespace internal

std::string findHeader(const std::vector<HeaderField> &Headers,
                       std::string_view Name) {
  for (const HeaderField &Field : Headers)
    if (Poco::icompare(Field.Name, std::string(Name)) == 0)
      return Field.Value;
  return "";
}

std::vector<HeaderField>
endToEndHeaders(const std::vector<HeaderField> &Headers) {
  std::vector<HeaderField> Result;
  for (const HeaderField &Field : Headers) {
    const std::string Lower = Poco::toLower(Field.Name);
    const bool OfConnection =
        std::find(internal::ConnectionHeaders.begin(),
                  internal::ConnectionHeaders.end(),
                  Lower) != internal::ConnectionHeaders.end();
    if (!OfConnection && !Lower.starts_with(internal::SystemPrefix))
      Result.push_back(Field);
  }
  return Result;
}

std::string_view pathOf(const CallRequest &Request) {
  const std::string_view Target = Request.Target;
  return Target.substr(0, Target.find('?'));
}

std::uint64_t fingerprintOf(const CallRequest &Request) {
  const std::uint64_t Method = hashBytes(Request.Method);
  return hashBytes(Request.Body, hashBytes(Request.Target, Method));
}

} // namespace persimmonquay
