// Identifies requests that are repeated with the same content.
#ifndef PERSIMMONQUAY_TRAFFIC_REQUEST_FINGERPRINT_H
#define PERSIMMONQUAY_TRAFFIC_REQUEST_FINGERPRINT_H

#include "persimmonquay/base/hashing.h"
#include <cstdint>
#include <string_view>

namespace persimmonquay {

/// Returns a hash of what an upstream runs. Request ids and callers are not
/// part of it: a repetition has another id and may come from another host.
inline std::uint64_t requestFingerprint(std::string_view Method,
                                        std::string_view Target,
                                        std::string_view Body) {
  return hashBytes(Body, hashBytes(Target, hashBytes(Method)));
}

} // namespace persimmonquay

#endif // PERSIMMONQUAY_TRAFFIC_REQUEST_FINGERPRINT_H
