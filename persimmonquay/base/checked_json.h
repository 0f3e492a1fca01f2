// Parses JSON with comments into a protobuf message and reports every problem
// at once, with its file, line and key.
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

/// Parses `Text` into `Target`. Returns InvalidArgument with one line for each
/// unknown key (with the most similar known one), value of the wrong type and
/// duplicate key, or for text that is not JSON; `Target` is then unchanged.
/// `FileName` is used only in error messages.
absl::Status readCheckedJson(std::string_view Text, std::string_view FileName,
                             google::protobuf::Message *Target);

/// Reads the whole file at `Path` into `Content`. Returns NotFound when it
/// can't be opened.
absl::Status readFile(const std::string &Path, std::string *Content);

/// Returns the candidate with the smallest edit distance to `Word`, or an empty
/// string when none is similar enough.
std::string nearestWord(std::string_view Word,
                        const std::vector<std::string> &Candidates);

/// Formats a message as JSON with the field names of its .proto file.
std::string messageToJson(const google::protobuf::Message &Message,
                          bool Indented);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_CHECKED_JSON_H
