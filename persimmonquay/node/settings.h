// The node's settings: defaults and checks.
#ifndef PERSIMMONQUAY_NODE_SETTINGS_H
#define PERSIMMONQUAY_NODE_SETTINGS_H

#include <absl/status/status.h>
#include <string>
#include <string_view>

namespace persimmonquay::proto {
class NodeSettings;
} // namespace persimmonquay::proto

namespace persimmonquay {

/// Reads settings from JSON with comments, fills in the defaults and checks
/// them. Returns InvalidArgument that lists all problems, one on each line.
absl::Status readSettings(std::string_view Text, std::string_view FileName,
                          proto::NodeSettings *Settings);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_NODE_SETTINGS_H
