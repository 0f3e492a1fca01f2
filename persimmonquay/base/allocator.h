// Settings of the C library's memory allocator.
#ifndef PERSIMMONQUAY_BASE_ALLOCATOR_H
#define PERSIMMONQUAY_BASE_ALLOCATOR_H

namespace persimmonquay {

/// Has large blocks of memory returned to the system when they are freed.
/// Otherwise the allocator keeps them after a few large messages, and the
/// process stays as large as it was at its peak. Call before any large
/// allocation.
void returnFreedMemory();

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_ALLOCATOR_H
