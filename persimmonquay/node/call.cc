#include "persimmonquay/node/call.h"

#include "persimmonquay/base/hashing.h"
#include <Poco/String.h>
#include <algorithm>
#include <array>

namespace persimmonquay {
namespace internal {

/// Headers that apply to a single connection or are set anew for each one.
constexpr std::array<std::string_view, 10> HopByHopHeaders = {
    "connection", "keep-alive",       "transfer-encoding",
    "te",         "trailer",          "upgrade",
    "expect",     "proxy-connection", "content-length",
    "host"};

/// Prefix of the headers that nodes add.
constexpr std::string_view MeshHeaderPrefix = "x-pq-";

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
    const std::string LowerName = Poco::toLower(Field.Name);
    const bool IsHopByHop =
        std::find(internal::HopByHopHeaders.begin(),
                  internal::HopByHopHeaders.end(),
                  LowerName) != internal::HopByHopHeaders.end();
    if (!IsHopByHop && !LowerName.starts_with(internal::MeshHeaderPrefix))
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
