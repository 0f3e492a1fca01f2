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

struct LogAnswer {
  int Status = 0;
  std::string Body;
};

absl::StatusOr<LogAnswer> exchange(const std::string &BaseUrl,
                                   const std::string &Method,
                                   const std::string &Path,
                                   const std::string &Body, Millis Timeout) {
  try {
    const Poco::URI Url(BaseUrl);
    Poco::Net::HTTPClientSession Session(Url.getHost(), Url.getPort());
    Session.setTimeout(Poco::Timespan(Timeout.count() * 1000));
    Poco::Net::HTTPRequest Request(Method, Path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::istream &Stream = Session.receiveResponse(Response);
    LogAnswer Answer;
    Answer.Status = Response.getStatus();
    Poco::StreamCopier::copyToString(Stream, Answer.Body);
    const auto Length = Response.getContentLength64();
    if (Length >= 0 && static_cast<std::size_t>(Length) != Answer.Body.size())
      return absl::UnavailableError("the log's answer was cut short");
    return Answer;
  } catch (const Poco::Exception &Error) {
    return absl::UnavailableError(
        absl::StrCat("log at ", BaseUrl, ": ", Error.displayText()));
  }
}

absl::Status statusOf(const LogAnswer &Answer) {
  const std::string Text =
      absl::StrCat("the log answered ", Answer.Status, ": ", Answer.Body);
  switch (Answer.Status) {
  case 200:
    return absl::OkStatus();
  case 410:
    return absl::OutOfRangeError(Text);
  case 429:
    return absl::ResourceExhaustedError(Text);
  default:
    return absl::UnavailableError(Text);
  }
}

absl::StatusOr<LogChunk> parseChunk(const std::string &Body) {
  const Json Value = Json::parse(Body, nullptr, false);
  if (!Value.is_object() || !Value.contains("records") ||
      !Value["records"].is_array())
    return absl::DataLossError("the log's answer is no list of records");
  LogChunk Chunk;
  Chunk.FirstOffset = Value.value("first", std::uint64_t{0});
  Chunk.OldestOffset = Value.value("oldest", std::uint64_t{0});
  Chunk.EndOffset = Value.value("end", std::uint64_t{0});
  for (const Json &Record : Value["records"]) {
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
  auto Answer = internal::exchange(
      this->BaseUrl, "POST", internal::recordsPath(Stream), Payload, Timeout);
  if (!Answer.ok())
    return Answer.status();
  const absl::Status Status = internal::statusOf(*Answer);
  if (!Status.ok())
    return Status;
  const auto Value = internal::Json::parse(Answer->Body, nullptr, false);
  if (!Value.is_object() || !Value.contains("offset") ||
      !Value["offset"].is_number_unsigned())
    return absl::UnavailableError("the log's answer has no offset");
  return Value["offset"].get<std::uint64_t>();
}

absl::StatusOr<LogChunk> HttpLogClient::read(const std::string &Stream,
                                             std::uint64_t From, Millis Wait,
                                             Millis Timeout) {
  const std::string Path = absl::StrCat(
      internal::recordsPath(Stream), "?from=", From, "&wait_ms=", Wait.count());
  auto Answer =
      internal::exchange(this->BaseUrl, "GET", Path, "", Wait + Timeout);
  if (!Answer.ok())
    return Answer.status();
  const absl::Status Status = internal::statusOf(*Answer);
  if (!Status.ok())
    return Status;
  return internal::parseChunk(Answer->Body);
}

absl::StatusOr<LogChunk> HttpLogClient::bounds(const std::string &Stream,
                                               Millis Timeout) {
  auto Answer = internal::exchange(
      this->BaseUrl, "GET", absl::StrCat("/v1/streams/", Stream, "/bounds"), "",
      Timeout);
  if (!Answer.ok())
    return Answer.status();
  const absl::Status Status = internal::statusOf(*Answer);
  if (!Status.ok())
    return Status;
  return internal::parseChunk(Answer->Body);
}

} // namespace persimmonquay
