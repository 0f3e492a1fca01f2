#include "persimmonquay/node/ingress_api.h"

#include "persimmonquay/node/egress.h"
#include "persimmonquay/node/ingress.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <charconv>
#include <string>
#include <utility>

namespace persimmonquay {
namespace internal {

constexpr int kUnavailable = 503;
constexpr int kHexBase = 16;

std::uint64_t parseHex(const std::string &Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value, kHexBase);
  return Value;
}

std::int64_t parseNumber(const std::string &Text) {
  std::int64_t Value = 0;
  return absl::SimpleAtoi(Text, &Value) ? Value : 0;
}

IngressCall parseCall(const CallRequest &Request) {
  IngressCall Call;
  Call.Request = Request;
  Call.Service = findHeader(Request.Headers, kServiceHeader);
  Call.Route = findHeader(Request.Headers, kRouteHeader);
  Call.Priority = static_cast<int>(
      parseNumber(findHeader(Request.Headers, kPriorityHeader)));
  Call.Remaining =
      Millis(parseNumber(findHeader(Request.Headers, kDeadlineHeader)));
  Call.Fingerprint = parseHex(findHeader(Request.Headers, kFingerprintHeader));
  return Call;
}

} // namespace internal

IngressApi::IngressApi(Ingress *OwnIngress) : OwnIngress(OwnIngress) {}

CallReply IngressApi::serve(const CallRequest &Request) const {
  IngressReply Result = this->OwnIngress->run(internal::parseCall(Request));
  CallReply Reply;
  if (Result.End == TryEnd::Answered) {
    Reply = std::move(Result.Reply);
    Reply.Headers = endToEndHeaders(Reply.Headers);
  } else {
    Reply.Status = internal::kUnavailable;
    Reply.Headers.push_back(HeaderField{kDetailHeader, Result.Detail});
  }
  Reply.Headers.push_back(HeaderField{kTryHeader, tryEndName(Result.End)});
  Reply.Headers.push_back(HeaderField{kLoadHeader, absl::StrCat(Result.Load)});
  Reply.Headers.push_back(
      HeaderField{kCallHeader, findHeader(Request.Headers, kCallHeader)});
  return Reply;
}

} // namespace persimmonquay
