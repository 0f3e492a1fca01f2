// Hashes on which separate processes agree.
#ifndef PERSIMMONQUAY_BASE_HASHING_H
#define PERSIMMONQUAY_BASE_HASHING_H

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonquay {

/// Returns the 64-bit xxHash of `Bytes`; the same in every process.
std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed = 0);

/// Returns the rendezvous weight of `Node` for `Duty`: the node with the
/// highest weight among those alive has the duty.
std::uint64_t rendezvousWeight(std::string_view Duty, std::string_view Node);

/// Formats a hash as 16 hexadecimal digits.
std::string hashToHex(std::uint64_t Hash);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_HASHING_H
