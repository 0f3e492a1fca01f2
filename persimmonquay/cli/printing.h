// Tables and lines for people.
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

std::string configurationTable(const proto::ConfigurationState &State);
std::string fleetTable(const proto::FleetStatus &Fleet);
std::string auditTable(const proto::AuditReply &Audit);

/// Returns one line that tells plainly how the move stands.
std::string moveLine(const proto::MoveStatus &Status);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_CLI_PRINTING_H
