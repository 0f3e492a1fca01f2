#include "persimmonquay/daemon/upstream_check.h"

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/http_decoder.h"
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

namespace persimmonquay {
namespace internal {

/// Timeout of the whole check. An upstream on the same host responds within
/// milliseconds unless all its slots are in use.
constexpr Millis CheckTimeout{1000};

constexpr DecodeLimits ResponseLimits{.MaxHeaderBytes = 8192,
                                      .MaxBodyBytes = 65536};

} // namespace internal

asio::awaitable<std::optional<std::string>>
checkUpstream(asio::io_context &Context, Tcp::endpoint Address,
              std::string HealthPath, const HeaderNames &Headers) {
  auto Socket = std::make_shared<Tcp::socket>(Context);
  asio::steady_timer Timer(Context, internal::CheckTimeout);
  Timer.async_wait([Socket](const ErrorCode &Error) {
    ErrorCode IgnoredError;
    if (!Error)
      Socket->close(IgnoredError);
  });
  const auto [ConnectError] = co_await Socket->async_connect(Address, NoThrow);
  if (ConnectError)
    co_return std::nullopt;
  http::request<http::empty_body> Request{http::verb::get, HealthPath, 11};
  Request.set(http::field::host, Address.address().to_string());
  const auto [WriteError, Written] =
      co_await http::async_write(*Socket, Request, NoThrow);
  if (WriteError)
    co_return std::nullopt;
  HttpDecoder<false> Decoder;
  DecodeResult Step = DecodeResult::Incomplete;
  while (Step == DecodeResult::Incomplete) {
    const auto [ReadError, Size] =
        co_await Socket->async_read_some(Decoder.prepare(), NoThrow);
    if (ReadError)
      co_return std::nullopt;
    Decoder.commit(Size);
    Step = Decoder.decode(internal::ResponseLimits);
  }
  if (Step != DecodeResult::Complete)
    co_return std::nullopt;
  const HttpResponse Response = Decoder.takeMessage();
  const std::string Instance(Response[Headers.RespondingInstance]);
  if (Response.result() != http::status::ok || Instance.empty())
    co_return std::nullopt;
  co_return Instance;
}

} // namespace persimmonquay
