#include "persimmonquay/base/checked_json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/string_view.h>
#include <algorithm>
#include <cmath>
#include <fstream>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>
#include <sstream>

namespace persimmonquay {
namespace internal {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using Json = nlohmann::json;

absl::string_view toAbsl(std::string_view Text) {
  return absl::string_view(Text.data(), Text.size());
}

/// Checks a JSON value against a message's schema and collects every problem.
///
/// Not thread-safe. Example:
///   SchemaChecker Checker(Text, "node.json");
///   Checker.checkObject(Value, *Message::descriptor(), "");
class SchemaChecker {
public:
  SchemaChecker(std::string_view Text, std::string_view FileName)
      : Text(Text), FileName(FileName) {}

  void checkObject(const Json &Value, const Descriptor &Schema,
                   const std::string &Path) {
    if (!Value.is_object()) {
      this->addProblem(Path, absl::StrCat("\"", Path, "\" must be an object"));
      return;
    }
    for (const auto &[Key, Item] : Value.items()) {
      const FieldDescriptor *Field = Schema.FindFieldByName(Key);
      if (Field == nullptr) {
        this->addUnknownKey(Key, Schema);
        continue;
      }
      this->checkField(Item, *Field, Key);
    }
  }

  const std::vector<std::string> &problems() const { return this->Problems; }

private:
  void checkField(const Json &Item, const FieldDescriptor &Field,
                  const std::string &Key) {
    if (!Field.is_repeated()) {
      this->checkValue(Item, Field, Key);
      return;
    }
    if (!Item.is_array()) {
      this->addProblem(Key, absl::StrCat("\"", Key, "\" must be an array"));
      return;
    }
    for (const Json &Element : Item)
      this->checkValue(Element, Field, Key);
  }

  void checkValue(const Json &Item, const FieldDescriptor &Field,
                  const std::string &Key) {
    switch (Field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
      this->checkObject(Item, *Field.message_type(), Key);
      return;
    case FieldDescriptor::CPPTYPE_STRING:
      this->require(Item.is_string(), Key, "must be a string");
      return;
    case FieldDescriptor::CPPTYPE_BOOL:
      this->require(Item.is_boolean(), Key, "must be true or false");
      return;
    case FieldDescriptor::CPPTYPE_ENUM:
      this->checkEnum(Item, Field, Key);
      return;
    case FieldDescriptor::CPPTYPE_UINT32:
      this->require(Item.is_number_unsigned() &&
                        Item.get<std::uint64_t>() <=
                            std::numeric_limits<std::uint32_t>::max(),
                    Key, absl::StrCat("must be a whole number", unitOf(Key)));
      return;
    case FieldDescriptor::CPPTYPE_DOUBLE:
      this->require(Item.is_number(), Key,
                    absl::StrCat("must be a number", unitOf(Key)));
      return;
    default:
      this->require(Item.is_number_integer(), Key,
                    absl::StrCat("must be a whole number", unitOf(Key)));
    }
  }

  void checkEnum(const Json &Item, const FieldDescriptor &Field,
                 const std::string &Key) {
    std::vector<std::string> ValueNames;
    ValueNames.reserve(Field.enum_type()->value_count());
    for (int I = 0; I < Field.enum_type()->value_count(); ++I)
      ValueNames.push_back(Field.enum_type()->value(I)->name());
    const bool IsValid = Item.is_string() &&
                         std::find(ValueNames.begin(), ValueNames.end(),
                                   Item.get<std::string>()) != ValueNames.end();
    this->require(
        IsValid, Key,
        absl::StrCat("must be one of ", absl::StrJoin(ValueNames, ", ")));
  }

  static std::string unitOf(const std::string &Key) {
    if (Key.ends_with("_ms"))
      return " of milliseconds";
    if (Key.ends_with("_s"))
      return " of seconds";
    if (Key.ends_with("_bytes"))
      return " of bytes";
    return "";
  }

  void require(bool IsValid, const std::string &Key, const std::string &Rule) {
    if (!IsValid)
      this->addProblem(Key, absl::StrCat("\"", Key, "\" ", Rule));
  }

  void addUnknownKey(const std::string &Key, const Descriptor &Schema) {
    std::vector<std::string> FieldNames;
    FieldNames.reserve(Schema.field_count());
    for (int I = 0; I < Schema.field_count(); ++I)
      FieldNames.push_back(Schema.field(I)->name());
    std::string Message = absl::StrCat("unknown key \"", Key, "\"");
    const std::string Nearest = nearestWord(Key, FieldNames);
    if (!Nearest.empty())
      absl::StrAppend(&Message, "; did you mean \"", Nearest, "\"?");
    this->addProblem(Key, Message);
  }

  void addProblem(const std::string &Key, const std::string &Message) {
    this->Problems.push_back(absl::StrCat(toAbsl(this->FileName), ":",
                                          this->lineOf(Key), ": ", Message));
  }

  /// Returns the line of the first occurrence of `Key` in quotes, or 1 when
  /// there is none.
  std::size_t lineOf(const std::string &Key) const {
    const std::string Quoted = absl::StrCat("\"", Key, "\"");
    const std::size_t KeyOffset = this->Text.find(Quoted);
    const std::size_t PrefixLength =
        KeyOffset == std::string_view::npos ? 0 : KeyOffset;
    return 1 +
           static_cast<std::size_t>(std::count(
               this->Text.begin(),
               this->Text.begin() + static_cast<std::ptrdiff_t>(PrefixLength),
               '\n'));
  }

  std::string_view Text;
  std::string_view FileName;
  std::vector<std::string> Problems;
};

/// Parses JSON and adds every duplicate key of an object to `DuplicateKeys`. A
/// plain parse would silently drop one of the two values.
Json parseReportingDuplicateKeys(std::string_view Text,
                                 std::vector<std::string> *DuplicateKeys) {
  std::vector<std::set<std::string>> OpenObjectKeys;
  auto OnParseEvent = [&](int, Json::parse_event_t Event, Json &Value) {
    if (Event == Json::parse_event_t::object_start)
      OpenObjectKeys.emplace_back();
    if (Event == Json::parse_event_t::object_end)
      OpenObjectKeys.pop_back();
    if (Event == Json::parse_event_t::key) {
      const std::string Key = Value.get<std::string>();
      if (!OpenObjectKeys.back().insert(Key).second)
        DuplicateKeys->push_back(Key);
    }
    return true;
  };
  return Json::parse(Text, OnParseEvent, true, true);
}

/// Returns the Levenshtein distance between two words.
std::size_t editDistance(std::string_view A, std::string_view B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 0; I < A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I + 1;
    for (std::size_t J = 0; J < B.size(); ++J) {
      const std::size_t SubstitutionCost = Diagonal + (A[I] == B[J] ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({SubstitutionCost, Row[J] + 1, Row[J + 1] + 1});
    }
  }
  return Row[B.size()];
}

} // namespace internal

std::string nearestWord(std::string_view Word,
                        const std::vector<std::string> &Candidates) {
  constexpr std::size_t MaxDistance = 4;
  std::string Best;
  std::size_t BestDistance = std::min(MaxDistance, Word.size() / 2 + 1);
  for (const std::string &Candidate : Candidates) {
    const std::size_t Distance = internal::editDistance(Word, Candidate);
    if (Distance <= BestDistance && (Best.empty() || Distance < BestDistance)) {
      Best = Candidate;
      BestDistance = Distance;
    }
  }
  return Best;
}

absl::Status readCheckedJson(std::string_view Text, std::string_view FileName,
                             google::protobuf::Message *Target) {
  internal::Json Value;
  std::vector<std::string> DuplicateKeys;
  try {
    Value = internal::parseReportingDuplicateKeys(Text, &DuplicateKeys);
  } catch (const nlohmann::json::exception &Error) {
    return absl::InvalidArgumentError(
        absl::StrCat(internal::toAbsl(FileName), ": ", Error.what()));
  }
  internal::SchemaChecker Checker(Text, FileName);
  Checker.checkObject(Value, *Target->GetDescriptor(), "the file");
  std::vector<std::string> Problems = Checker.problems();
  for (const std::string &Key : DuplicateKeys)
    Problems.push_back(absl::StrCat(internal::toAbsl(FileName),
                                    ": duplicate key \"", Key,
                                    "\" in one object"));
  if (!Problems.empty())
    return absl::InvalidArgumentError(absl::StrJoin(Problems, "\n"));
  std::unique_ptr<google::protobuf::Message> Parsed(Target->New());
  const auto Status =
      google::protobuf::util::JsonStringToMessage(Value.dump(), Parsed.get());
  if (!Status.ok())
    return absl::InvalidArgumentError(absl::StrCat(
        internal::toAbsl(FileName), ": ", Status.message().ToString()));
  Target->CopyFrom(*Parsed);
  return absl::OkStatus();
}

absl::Status readFile(const std::string &Path, std::string *Content) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return absl::NotFoundError(absl::StrCat("can't open file \"", Path, "\""));
  std::ostringstream Buffer;
  Buffer << File.rdbuf();
  *Content = Buffer.str();
  return absl::OkStatus();
}

std::string messageToJson(const google::protobuf::Message &Message,
                          bool Indented) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.add_whitespace = Indented;
  Options.preserve_proto_field_names = true;
  std::string Text;
  const auto Status =
      google::protobuf::util::MessageToJsonString(Message, &Text, Options);
  return Status.ok() ? Text : std::string("{}");
}

} // namespace persimmonquay
