// Differences between configurations, so that nodes pass on what has changed
// and not the whole.
#ifndef PERSIMMONQUAY_MESH_CONFIGURATION_DELTA_H
#define PERSIMMONQUAY_MESH_CONFIGURATION_DELTA_H

#include "proto/mesh.pb.h"
#include <absl/status/statusor.h>

namespace persimmonquay {

/// Returns what turns `Base` into `Next`. Pure.
proto::ConfigurationDelta makeDelta(const proto::MeshConfiguration &Base,
                                    const proto::MeshConfiguration &Next);

/// Returns the configuration that `Delta` makes of `Base`, with hosts and
/// routes sorted. Returns FailedPrecondition when the delta is for another
/// version than that of `Base`. Pure.
absl::StatusOr<proto::MeshConfiguration>
applyDelta(const proto::MeshConfiguration &Base,
           const proto::ConfigurationDelta &Delta);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MESH_CONFIGURATION_DELTA_H
