// Human-readable output of the command line.
#ifndef PERSIMMONQUAY_CLI_PRINTING_H
#define PERSIMMONQUAY_CLI_PRINTING_H

#include <string>

namespace persimmonquay::proto {
class AuditReply;
class ConfigurationState;
class FleetStatus;
class MoveStatus;
} // namespace persimmonquay::proto

namespace persimmonquay {

std::string formatConfiguration(const proto::ConfigurationState &State);
std::string formatFleet(const proto::FleetStatus &Fleet);
std::string formatAudit(const proto::AuditReply &Audit);

/// Returns one line with the state and progress of a move.
std::string formatMoveStatus(const proto::MoveStatus &Status);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_PRINTING_H
