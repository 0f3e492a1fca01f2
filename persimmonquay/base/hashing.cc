#include "persimmonquay/base/hashing.h"

#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace persimmonquay {

std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed) {
  return XXH64(Bytes.data(), Bytes.size(), Seed);
}

std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Node) {
  return hashBytes(Node, hashBytes(Key));
}

std::string hashToHex(std::uint64_t Hash) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016" PRIx64, Hash);
  return Text;
}

} // namespace persimmonquay
