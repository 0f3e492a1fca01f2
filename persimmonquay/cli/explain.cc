#include "persimmonquay/cli/explain.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <istream>
#include <nlohmann/json.hpp>

namespace persimmonquay {
namespace internal {

using Json = nlohmann::ordered_json;

std::string toText(const Json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

/// Returns whether a field has a column of its own or is not shown at all.
bool isOmittedFromFields(const std::string &Name) {
  return Name == "unix_ms" || Name == "node" || Name == "message" ||
         Name == "request" || Name == "level" || Name == "data_centre";
}

} // namespace internal

void collectEvents(std::istream &Input, const std::string &RequestId,
                   std::vector<RequestEvent> *Events) {
  std::string Line;
  while (std::getline(Input, Line)) {
    // Skips most lines, which are about other requests, without parsing them.
    const std::size_t Brace = Line.find('{');
    if (Brace == std::string::npos || Line.find(RequestId) == std::string::npos)
      continue;
    const internal::Json Parsed =
        internal::Json::parse(Line.substr(Brace), nullptr, false);
    if (!Parsed.is_object() || !Parsed.contains("request") ||
        internal::toText(Parsed["request"]) != RequestId)
      continue;
    RequestEvent Event;
    Event.UnixMs = Parsed.value("unix_ms", std::int64_t{0});
    Event.Node = Parsed.value("node", "");
    Event.Message = Parsed.value("message", "");
    for (const auto &[Name, Value] : Parsed.items())
      if (!internal::isOmittedFromFields(Name) &&
          !internal::toText(Value).empty())
        Event.Fields.push_back(Name + "=" + internal::toText(Value));
    Events->push_back(std::move(Event));
  }
}

std::string formatEvents(std::vector<RequestEvent> Events) {
  std::stable_sort(Events.begin(), Events.end(),
                   [](const RequestEvent &Left, const RequestEvent &Right) {
                     return Left.UnixMs < Right.UnixMs;
                   });
  std::string Result;
  for (const RequestEvent &Event : Events)
    absl::StrAppendFormat(&Result, "%+6d ms  %-20s %s  %s\n",
                          Event.UnixMs - Events.front().UnixMs, Event.Node,
                          Event.Message, absl::StrJoin(Event.Fields, " "));
  return Result;
}

} // namespace persimmonquay
