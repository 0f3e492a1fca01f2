#include "persimmonquay/accounts/caller_key.h"

#include "persimmonquay/base/trim.h"
#include <absl/strings/ascii.h>
#include <algorithm>

namespace persimmonquay {
namespace internal {

constexpr std::string_view Scheme = "bearer";

bool hasBearerScheme(std::string_view Value) {
  return Value.size() > Scheme.size() && Value[Scheme.size()] == ' ' &&
         std::equal(Scheme.begin(), Scheme.end(), Value.begin(),
                    [](char Expected, char Byte) {
                      return Expected == absl::ascii_tolower(
                                             static_cast<unsigned char>(Byte));
                    });
}

} // namespace internal

bool isCallerKey(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxCallerKeyBytes &&
         std::all_of(Text.begin(), Text.end(), [](char Byte) {
           return absl::ascii_isgraph(static_cast<unsigned char>(Byte));
         });
}

CallerKey readCallerKey(std::span<const std::string_view> Values) {
  if (Values.empty())
    return {};
  const std::string_view Value = trim(Values.front());
  if (Values.size() == 1 && internal::hasBearerScheme(Value)) {
    const std::string_view Key = trim(Value.substr(internal::Scheme.size()));
    if (isCallerKey(Key))
      return {CallerKey::Kind::Readable, Key};
  }
  return {CallerKey::Kind::Unreadable, {}};
}

} // namespace persimmonquay
