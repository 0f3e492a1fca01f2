// Reads the key that a caller presents.
//
// Input handled: headers that callers choose freely. There may be several of
// them, of any length and with any bytes. Each outcome is defined, and none
// takes longer than a pass over the header.
#ifndef PERSIMMONQUAY_ACCOUNTS_CALLER_KEY_H
#define PERSIMMONQUAY_ACCOUNTS_CALLER_KEY_H

#include <cstddef>
#include <span>
#include <string_view>

namespace persimmonquay {

/// Longest key of an account.
inline constexpr std::size_t MaxCallerKeyBytes = 512;

/// Returns whether `Text` can be a key: not empty, not too long, and made of
/// visible ASCII characters.
bool isCallerKey(std::string_view Text);

/// What a request says of its caller's key.
struct CallerKey {
  enum class Kind {
    /// There is no Authorization header.
    Missing,
    /// There is one that no configuration can allow: a wrong scheme, more than
    /// one header, or not a key after the scheme.
    Unreadable,
    Readable,
  };
  Kind Presented = Kind::Missing;
  /// Empty unless the key is readable.
  std::string_view Text;
};

/// Reads the values of all Authorization headers of a request. The scheme
/// `Bearer` is matched case-insensitively. The result refers to the values.
CallerKey readCallerKey(std::span<const std::string_view> Values);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_ACCOUNTS_CALLER_KEY_H
