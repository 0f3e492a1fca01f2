// The replicated state machine of the configuration: validates and applies the
// records of the `config` stream.
//
// Deterministic: every node applies the same records in the same order, so that
// all nodes reach the same verdicts and the same state. Reads no clock.
#ifndef PERSIMMONQUAY_CONFIG_STATE_MACHINE_H
#define PERSIMMONQUAY_CONFIG_STATE_MACHINE_H

#include <absl/status/status.h>
#include <cstdint>
#include <string>

namespace persimmonquay::proto {
class Change;
class ConfigurationState;
class LogRecord;
} // namespace persimmonquay::proto

namespace persimmonquay {

/// Number of verdicts that the state retains. When the append of a change has
/// failed, the change is looked up among them by its id.
inline constexpr int MaxAuditEntries = 1000;

/// Number of ended moves that the state retains.
inline constexpr int MaxEndedMoves = 200;

/// The result of validating one record.
struct Verdict {
  bool Accepted = false;
  /// The violated rule and the resource that violates it; empty if accepted.
  std::string Reason;
};

/// Validates `Change` against `State` by the same rules as `applyRecord()`, but
/// without applying it. Returns InvalidArgument for a change that could never
/// be accepted and FailedPrecondition for one that conflicts with `State`.
absl::Status checkChange(const proto::ConfigurationState &State,
                         const proto::Change &Change);

/// Applies the record at `Offset`, which must not be less than
/// `State->next_offset()`, because earlier records are already part of the
/// state. A rejected record changes only the audit entries and `next_offset`. A
/// change whose id is among the audit entries is not applied again; its first
/// verdict is returned.
Verdict applyRecord(std::uint64_t Offset, const proto::LogRecord &Record,
                    proto::ConfigurationState *State);

/// Serialises `State` deterministically: equal states yield equal bytes.
std::string encodeState(const proto::ConfigurationState &State);

/// Checks that every route in `State` refers to an existing service. Otherwise
/// returns Internal, naming the route and the service.
absl::Status checkReferences(const proto::ConfigurationState &State);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CONFIG_STATE_MACHINE_H
