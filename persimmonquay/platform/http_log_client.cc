#include "persimmonquay/platform/http_log_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace persimmonquay {
namespace internal {

using Json = nlohmann::json;

struct LogResponse {
  int Status = 0;
  std::string Body;
};

absl::StatusOr<LogResponse> sendLogRequest(const std::string &BaseUrl,
                                           const std::string &Method,
                                           const std::string &Path,
                                           const std::string &Body,
                                           Millis Timeout) {
  try {
    const Poco::URI Url(BaseUrl);
    Poco::Net::HTTPClientSession Session(Url.getHost(), Url.getPort());
    Session.setTimeout(Poco::Timespan(Timeout.count() * 1000));
    Poco::Net::HTTPRequest Request(Method, Path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse ResponseHeader;
    std::istream &Stream = Session.receiveResponse(ResponseHeader);
    LogResponse Response;
    Response.Status = ResponseHeader.getStatus();
    Poco::StreamCopier::copyToString(Stream, Response.Body);
    const auto Length = ResponseHeader.getContentLength64();
    if (Length >= 0 && static_cast<std::size_t>(Length) != Response.Body.size())
      return absl::UnavailableError("the log's answer was cut short");
    return Response;
  } catch (const Poco::Exception &Error) {
    return absl::UnavailableError(
        absl::StrCat("log at ", BaseUrl, ": ", Error.displayText()));
  }
}

absl::Status toStatus(const LogResponse &Response) {
  const std::string Message =
      absl::StrCat("the log answered ", Response.Status, ": ", Response.Body);
  switch (Response.Status) {
  case 200:
    return absl::OkStatus();
  case 410:
    return absl::OutOfRangeError(Message);
  case 429:
    return absl::ResourceExhaustedError(Message);
  default:
    return absl::UnavailableError(Message);
  }
}

absl::StatusOr<LogChunk> parseChunk(const std::string &Body) {
  const Json Parsed = Json::parse(Body, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("records") ||
      !Parsed["records"].is_array())
    return absl::DataLossError("the log's answer is no list of records");
  LogChunk Chunk;
  Chunk.FirstOffset = Parsed.value("first", std::uint64_t{0});
  Chunk.OldestOffset = Parsed.value("oldest", std::uint64_t{0});
  Chunk.EndOffset = Parsed.value("end", std::uint64_t{0});
  for (const Json &Record : Parsed["records"]) {
    std::string Payload;
    if (!Record.is_string() ||
        !absl::Base64Unescape(Record.get<std::string>(), &Payload))
      return absl::DataLossError("a record of the log is no base64 text");
    Chunk.Records.push_back(std::move(Payload));
  }
  return Chunk;
}

std::string recordsPath(const std::string &Stream) {
  return absl::StrCat("/v1/streams/", Stream, "/records");
}

} // namespace internal

HttpLogClient::HttpLogClient(std::string BaseUrl)
    : BaseUrl(std::move(BaseUrl)) {}

absl::StatusOr<std::uint64_t> HttpLogClient::append(const std::string &Stream,
                                                    const std::string &Payload,
                                                    Millis Timeout) {
  auto Response = internal::sendLogRequest(
      this->BaseUrl, "POST", internal::recordsPath(Stream), Payload, Timeout);
  if (!Response.ok())
    return Response.status();
  const absl::Status Status = internal::toStatus(*Response);
  if (!Status.ok())
    return Status;
  const auto Parsed = internal::Json::parse(Response->Body, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("offset") ||
      !Parsed["offset"].is_number_unsigned())
    return absl::UnavailableError("the log's answer has no offset");
  return Parsed["offset"].get<std::uint64_t>();
}

absl::StatusOr<LogChunk> HttpLogClient::read(const std::string &Stream,
                                             std::uint64_t FromOffset,
                                             Millis MaxWait, Millis Timeout) {
  const std::string Path =
      absl::StrCat(internal::recordsPath(Stream), "?from=", FromOffset,
                   "&wait_ms=", MaxWait.count());
  auto Response = internal::sendLogRequest(this->BaseUrl, "GET", Path, "",
                                           MaxWait + Timeout);
  if (!Response.ok())
    return Response.status();
  const absl::Status Status = internal::toStatus(*Response);
  if (!Status.ok())
    return Status;
  return internal::parseChunk(Response->Body);
}

absl::StatusOr<LogChunk> HttpLogClient::bounds(const std::string &Stream,
                                               Millis Timeout) {
  auto Response = internal::sendLogRequest(
      this->BaseUrl, "GET", absl::StrCat("/v1/streams/", Stream, "/bounds"), "",
      Timeout);
  if (!Response.ok())
    return Response.status();
  const absl::Status Status = internal::toStatus(*Response);
  if (!Status.ok())
    return Status;
  return internal::parseChunk(Response->Body);
}

} // namespace persimmonquay
