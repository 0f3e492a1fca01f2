// Hash functions that give the same result in every process.
#ifndef PERSIMMONQUAY_BASE_HASHING_H
#define PERSIMMONQUAY_BASE_HASHING_H

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonquay {

/// Returns the 64-bit xxHash (XXH64) of `Bytes`.
std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed = 0);

/// Returns the weight of `Node` for `Key` in rendezvous hashing: of the live
/// nodes, the one with the highest weight is responsible for the key.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Node);

/// Formats a hash as 16 hexadecimal digits.
std::string hashToHex(std::uint64_t Hash);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_HASHING_H
