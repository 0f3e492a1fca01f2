// Removes the blanks around a header's value.
#ifndef PERSIMMONQUAY_BASE_TRIM_H
#define PERSIMMONQUAY_BASE_TRIM_H

#include <string_view>

namespace persimmonquay {

/// Returns `Text` without the spaces and tabs at both ends.
inline std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  const std::size_t First = Text.find_first_not_of(Blanks);
  return First == Text.npos
             ? std::string_view()
             : Text.substr(First, Text.find_last_not_of(Blanks) + 1 - First);
}

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_TRIM_H
