#include "persimmonquay/accounts/caller_key.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace persimmonquay {
namespace internal {

constexpr std::string_view Scheme = "bearer";

/// Removes spaces and tabs at both ends.
std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  const std::size_t First = Text.find_first_not_of(Blanks);
  return First == Text.npos
             ? std::string_view()
             : Text.substr(First, Text.find_last_not_of(Blanks) + 1 - First);
}

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
  const std::string_view Value = internal::trim(Values.front());
  if (Values.size() == 1 && internal::hasBearerScheme(Value)) {
    const std::string_view Key =
        internal::trim(Value.substr(internal::Scheme.size()));
    if (isCallerKey(Key))
      return {CallerKey::Kind::Readable, Key};
  }
  return {CallerKey::Kind::Unreadable, {}};
}

} // namespace persimmonquay
