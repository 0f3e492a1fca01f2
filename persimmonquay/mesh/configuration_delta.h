// Computes and applies differences between configurations, so that nodes send
// each other what has changed instead of whole configurations.
#ifndef PERSIMMONQUAY_MESH_CONFIGURATION_DELTA_H
#define PERSIMMONQUAY_MESH_CONFIGURATION_DELTA_H

#include "proto/mesh.pb.h"
#include <absl/status/statusor.h>

namespace persimmonquay {

/// Returns the delta that turns `Base` into `Next`. Pure.
proto::ConfigurationDelta makeDelta(const proto::MeshConfiguration &Base,
                                    const proto::MeshConfiguration &Next);

/// Applies `Delta` to `Base` and returns the resulting configuration, with
/// hosts and routes sorted. Returns FailedPrecondition if `Delta` was computed
/// against a version other than that of `Base`. Pure.
absl::StatusOr<proto::MeshConfiguration>
applyDelta(const proto::MeshConfiguration &Base,
           const proto::ConfigurationDelta &Delta);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_MESH_CONFIGURATION_DELTA_H
