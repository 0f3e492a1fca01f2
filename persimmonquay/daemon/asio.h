// Names from Boost.Asio and Boost.Beast that the files of the daemon share.
#ifndef PERSIMMONQUAY_DAEMON_ASIO_H
#define PERSIMMONQUAY_DAEMON_ASIO_H

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace persimmonquay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Completion token with which an awaited operation returns its error code
/// instead of throwing an exception.
inline constexpr auto NoThrow = asio::as_tuple(asio::use_awaitable);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_ASIO_H
