#include "persimmonquay/daemon/upstream_check.h"

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/http_decoder.h"
#include <absl/strings/numbers.h>
#include <algorithm>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cmath>
#include <string_view>

namespace persimmonquay {
namespace internal {

/// Timeout of the whole check. An upstream on the same host responds within
/// milliseconds unless all its slots are in use.
constexpr Millis CheckTimeout{1000};

constexpr DecodeLimits ResponseLimits{.MaxHeaderBytes = 8192,
                                      .MaxBodyBytes = 65536};

/// Longest cold time that is read; longer ones are cut to it.
constexpr Millis MaxColdTime{std::chrono::hours(1)};

/// Returns the cold time in a header, or none if it can't be read.
std::optional<Millis> readColdTime(std::string_view Text) {
  double Milliseconds = 0;
  if (Text.empty() || !absl::SimpleAtod(std::string(Text), &Milliseconds) ||
      std::isnan(Milliseconds))
    return std::nullopt;
  return Millis(static_cast<std::int64_t>(std::clamp(
      std::ceil(Milliseconds), 0.0, static_cast<double>(MaxColdTime.count()))));
}

} // namespace internal

asio::awaitable<UpstreamHealth> checkUpstream(asio::io_context &Context,
                                              Tcp::endpoint Address,
                                              std::string HealthPath,
                                              const HeaderNames &Headers) {
  auto Socket = std::make_shared<Tcp::socket>(Context);
  asio::steady_timer Timer(Context, internal::CheckTimeout);
  Timer.async_wait([Socket](const ErrorCode &Error) {
    ErrorCode IgnoredError;
    if (!Error)
      Socket->close(IgnoredError);
  });
  const auto [ConnectError] = co_await Socket->async_connect(Address, NoThrow);
  if (ConnectError)
    co_return UpstreamHealth{};
  http::request<http::empty_body> Request{http::verb::get, HealthPath, 11};
  Request.set(http::field::host, Address.address().to_string());
  const auto [WriteError, Written] =
      co_await http::async_write(*Socket, Request, NoThrow);
  if (WriteError)
    co_return UpstreamHealth{};
  HttpDecoder<false> Decoder;
  DecodeResult Step = DecodeResult::Incomplete;
  while (Step == DecodeResult::Incomplete) {
    const auto [ReadError, Size] =
        co_await Socket->async_read_some(Decoder.prepare(), NoThrow);
    if (ReadError)
      co_return UpstreamHealth{};
    Decoder.commit(Size);
    Step = Decoder.decode(internal::ResponseLimits);
  }
  if (Step != DecodeResult::Complete)
    co_return UpstreamHealth{};
  const HttpResponse Response = Decoder.takeMessage();
  UpstreamHealth Result;
  Result.RespondingInstance = std::string(Response[Headers.RespondingInstance]);
  if (Result.RespondingInstance.empty())
    co_return Result;
  if (Response.result() == http::status::ok)
    Result.HealthyInstance = Result.RespondingInstance;
  Result.ColdRemaining =
      internal::readColdTime(Response[Headers.ColdRemaining]);
  co_return Result;
}

} // namespace persimmonquay
