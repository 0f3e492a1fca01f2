// Reads JSON with comments into a protobuf message and reports every problem
// at once, by file, line and key.
#ifndef PERSIMMONQUAY_BASE_CHECKED_JSON_H
#define PERSIMMONQUAY_BASE_CHECKED_JSON_H

#include <absl/status/status.h>
#include <string>
#include <string_view>
#include <vector>

namespace google::protobuf {
class Message;
} // namespace google::protobuf

namespace persimmonquay {

/// Fills `Target` from `Text`. Returns InvalidArgument with one line for each
/// unknown key (and the nearest known one), wrong type or repeated key;
/// `Target` is then unchanged. `FileName` is used in messages only.
absl::Status readCheckedJson(std::string_view Text, std::string_view FileName,
                             google::protobuf::Message *Target);

/// Reads the whole file at `Path`.
absl::Status readFile(const std::string &Path, std::string *Content);

/// Returns the word of `Known` with the smallest edit distance to `Word`, or
/// an empty string when none is near.
std::string nearestWord(std::string_view Word,
                        const std::vector<std::string> &Known);

/// Formats a message as JSON with its schema's field names.
std::string messageToJson(const google::protobuf::Message &Message,
                          bool Indented);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_CHECKED_JSON_H
