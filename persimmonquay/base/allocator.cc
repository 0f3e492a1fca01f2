#include "persimmonquay/base/allocator.h"

#include <malloc.h>

namespace persimmonquay {
namespace internal {

/// Size from which on a block is mapped separately. A fixed size; by default
/// the allocator raises it whenever such a block is freed.
constexpr int MappedBlockBytes = 131072;

} // namespace internal

void returnFreedMemory() {
  mallopt(M_MMAP_THRESHOLD, internal::MappedBlockBytes);
}

} // namespace persimmonquay
