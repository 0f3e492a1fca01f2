// Reads and validates the node's settings.
#ifndef PERSIMMONQUAY_NODE_SETTINGS_H
#define PERSIMMONQUAY_NODE_SETTINGS_H

#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace persimmonquay::proto {
class NodeSettings;
} // namespace persimmonquay::proto

namespace persimmonquay {

/// Parses `Text` as JSON with comments, fills in defaults and validates the
/// values. `FileName` is used only in error messages. Returns InvalidArgument
/// that lists all errors, one per line, and then leaves `Settings` unchanged.
absl::Status readSettings(std::string_view Text, std::string_view FileName,
                          proto::NodeSettings *Settings);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_SETTINGS_H
