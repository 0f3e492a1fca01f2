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

constexpr int Unavailable = 503;
constexpr int HexBase = 16;

std::uint64_t parseHex(const std::string &Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value, HexBase);
  return Value;
}

std::int64_t parseNumber(const std::string &Text) {
  std::int64_t Value = 0;
  return absl::SimpleAtoi(Text, &Value) ? Value : 0;
}

IngressCall parseCall(const CallRequest &Request) {
  IngressCall Call;
  Call.Request = Request;
  Call.Service = findHeader(Request.Headers, ServiceHeader);
  Call.Route = findHeader(Request.Headers, RouteHeader);
  Call.Priority = static_cast<int>(
      parseNumber(findHeader(Request.Headers, PriorityHeader)));
  Call.Remaining =
      Millis(parseNumber(findHeader(Request.Headers, DeadlineHeader)));
  Call.Deaths = static_cast<std::uint64_t>(
      internal::parseNumber(findHeader(Request.Headers, DeathsHeader)));
  Call.Fingerprint = parseHex(findHeader(Request.Headers, FingerprintHeader));
  return Call;
}

} // namespace internal

IngressApi::IngressApi(Ingress *OwnIngress) : OwnIngress(OwnIngress) {}

CallReply IngressApi::serve(const CallRequest &Request) const {
  IngressReply Result = this->OwnIngress->run(internal::parseCall(Request));
  CallReply Reply;
  if (Result.End == AttemptResult::Answered) {
    Reply = std::move(Result.Reply);
    Reply.Headers = endToEndHeaders(Reply.Headers);
  } else {
    Reply.Status = internal::Unavailable;
    Reply.Headers.push_back(HeaderField{DetailHeader, Result.Detail});
  }
  Reply.Headers.push_back(
      HeaderField{DeathsHeader, Result.UpstreamDied ? "1" : "0"});
  Reply.Headers.push_back(HeaderField{TryHeader, tryEndName(Result.End)});
  Reply.Headers.push_back(HeaderField{LoadHeader, absl::StrCat(Result.Load)});
  Reply.Headers.push_back(
      HeaderField{CallHeader, findHeader(Request.Headers, CallHeader)});
  return Reply;
}

} // namespace persimmonquay
