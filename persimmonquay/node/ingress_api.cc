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
  Call.Timeout =
      Millis(parseNumber(findHeader(Request.Headers, DeadlineHeader)));
  Call.CrashCount = static_cast<std::uint64_t>(
      internal::parseNumber(findHeader(Request.Headers, CrashCountHeader)));
  Call.Fingerprint = parseHex(findHeader(Request.Headers, FingerprintHeader));
  return Call;
}

} // namespace internal

IngressApi::IngressApi(Ingress *LocalIngress) : LocalIngress(LocalIngress) {}

CallResponse IngressApi::serve(const CallRequest &Request) const {
  IngressReply Attempt = this->LocalIngress->run(internal::parseCall(Request));
  CallResponse Response;
  if (Attempt.Result == AttemptResult::Answered) {
    Response = std::move(Attempt.Response);
    Response.Headers = endToEndHeaders(Response.Headers);
  } else {
    Response.Status = internal::Unavailable;
    Response.Headers.push_back(HeaderField{DetailHeader, Attempt.Detail});
  }
  Response.Headers.push_back(
      HeaderField{CrashCountHeader, Attempt.UpstreamCrashed ? "1" : "0"});
  Response.Headers.push_back(
      HeaderField{AttemptResultHeader, attemptResultName(Attempt.Result)});
  Response.Headers.push_back(
      HeaderField{LoadHeader, absl::StrCat(Attempt.Load)});
  Response.Headers.push_back(
      HeaderField{CallIdHeader, findHeader(Request.Headers, CallIdHeader)});
  return Response;
}

} // namespace persimmonquay
