#include "persimmonquay/daemon/upstream_check.h"

#include "persimmonquay/base/time.h"
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace persimmonquay {
namespace internal {

/// Time for the whole check; an upstream on the same host answers in
/// milliseconds unless all its slots are taken.
constexpr Millis CheckTimeout{1000};

} // namespace internal

asio::awaitable<std::optional<std::string>>
checkUpstream(asio::io_context &Context, Tcp::endpoint Address,
              std::string HealthPath, const HeaderNames &Names) {
  auto Socket = std::make_shared<Tcp::socket>(Context);
  asio::steady_timer Timer(Context, internal::CheckTimeout);
  Timer.async_wait([Socket](const ErrorCode &Error) {
    ErrorCode Ignored;
    if (!Error)
      Socket->close(Ignored);
  });
  const auto [ConnectError] = co_await Socket->async_connect(Address, NoThrow);
  if (ConnectError)
    co_return std::nullopt;
  http::request<http::empty_body> Question{http::verb::get, HealthPath, 11};
  Question.set(http::field::host, Address.address().to_string());
  const auto [WriteError, Written] =
      co_await http::async_write(*Socket, Question, NoThrow);
  if (WriteError)
    co_return std::nullopt;
  boost::beast::flat_buffer Buffer;
  HttpResponse Answer;
  const auto [ReadError, Size] =
      co_await http::async_read(*Socket, Buffer, Answer, NoThrow);
  const std::string Instance(Answer[Names.RespondingInstance]);
  if (ReadError || Answer.result() != http::status::ok || Instance.empty())
    co_return std::nullopt;
  co_return Instance;
}

} // namespace persimmonquay
