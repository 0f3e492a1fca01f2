// Bounds the memory of the responses that are being received from one upstream.
//
// Handles an upstream that sends bytes without end to many calls at the same
// time. The size of each response is bounded elsewhere; here the largest
// response is given up once all together take too much, so that those of other
// calls are received.
#ifndef PERSIMMONQUAY_TRAFFIC_RESPONSE_MEMORY_H
#define PERSIMMONQUAY_TRAFFIC_RESPONSE_MEMORY_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace persimmonquay {

/// Sizes of incomplete responses by the id of their call. Does no I/O. Not
/// thread-safe.
class ResponseMemory {
public:
  /// `MaxTotalBytes` is the bound on all responses together.
  explicit ResponseMemory(std::size_t MaxTotalBytes)
      : MaxBytes(MaxTotalBytes) {}

  // Commands.

  /// Sets the size of a response. Returns the call whose response has to be
  /// given up and has been removed; none if all responses fit.
  std::optional<std::uint64_t> update(std::uint64_t Call, std::size_t Size);

  void remove(std::uint64_t Call);

  void setMaxBytes(std::size_t MaxTotalBytes) {
    this->MaxBytes = MaxTotalBytes;
  }

  // Queries.

  std::size_t bytes() const { return this->Bytes; }

private:
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::map<std::uint64_t, std::size_t> Responses;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_RESPONSE_MEMORY_H
