// Acceptance of changes: a deterministic fold of the `config` stream.
//
// Every node applies the same records in the same order and so reaches the
// same verdicts and the same state. Nothing here reads a clock.
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

/// Number of verdicts that the state keeps; a change whose append was answered
/// by an error is looked up among them by its id.
inline constexpr int MaxAuditEntries = 1000;

/// Number of ended moves that the state keeps.
inline constexpr int MaxEndedMoves = 200;

/// The answer to one record.
struct Verdict {
  bool Accepted = false;
  /// Rule that was broken and the resource that broke it; empty if accepted.
  std::string Reason;
};

/// Checks `Change` against `State` without applying it: the same rules as
/// `applyRecord()`. Returns InvalidArgument for a change that could never be
/// accepted, FailedPrecondition for one that conflicts with `State`.
absl::Status checkChange(const proto::ConfigurationState &State,
                         const proto::Change &Change);

/// Applies the record at `Offset`, which must be `State->next_offset()` or
/// later (records before it are already contained and must not be passed).
/// A rejected record changes only the audit entries and `next_offset`. A
/// change whose id is already known is not applied again and gets the verdict
/// it got first.
Verdict applyRecord(std::uint64_t Offset, const proto::LogRecord &Record,
                    proto::ConfigurationState *State);

/// Serialises `State` so that equal states give equal bytes.
std::string encodeState(const proto::ConfigurationState &State);

/// Checks that every reference in `State` resolves. Returns Internal naming
/// the route and the service otherwise.
absl::Status checkReferences(const proto::ConfigurationState &State);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CONFIG_STATE_MACHINE_H
