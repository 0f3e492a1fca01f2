#include "persimmonquay/daemon/sockets.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace persimmonquay {
namespace internal {

/// Backlog of the listening sockets: enough for the callers of a data centre
/// that reconnect at the same time.
constexpr int ListenBacklog = 1024;

void setOption(int Handle, int Level, int Name, int Value) {
  // A failure only delays the detection of a dead peer.
  static_cast<void>(setsockopt(Handle, Level, Name, &Value, sizeof(Value)));
}

} // namespace internal

void configureConnection(Tcp::socket &Socket, Millis TcpTimeout) {
  const int Handle = Socket.native_handle();
  const int TimeoutMs = static_cast<int>(TcpTimeout.count());
  internal::setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  internal::setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, TimeoutMs);
  internal::setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  internal::setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE,
                      std::max(1, TimeoutMs / 1000));
  internal::setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  internal::setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, 2);
}

absl::StatusOr<Tcp::endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  std::uint32_t Port = 0;
  ErrorCode Error;
  if (Colon != Text.npos &&
      absl::SimpleAtoi(std::string(Text.substr(Colon + 1)), &Port) &&
      Port <= UINT16_MAX) {
    const asio::ip::address Address =
        asio::ip::make_address(std::string(Text.substr(0, Colon)), Error);
    if (!Error)
      return Tcp::endpoint(Address, static_cast<std::uint16_t>(Port));
  }
  return absl::InvalidArgumentError(
      absl::StrCat("\"", std::string(Text), "\" is not of the form IP:port"));
}

ConnectionState peekConnection(Tcp::socket &Socket) {
  char Byte = 0;
  const ssize_t Size =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Size > 0)
    return ConnectionState::Readable;
  if (Size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return ConnectionState::Idle;
  return ConnectionState::Closed;
}

bool hasPeerClosed(Tcp::socket &Socket) {
  pollfd Poll{};
  Poll.fd = Socket.native_handle();
  Poll.events = POLLRDHUP;
  constexpr short Closed = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL;
  return ::poll(&Poll, 1, 0) > 0 && (Poll.revents & Closed) != 0;
}

std::optional<std::size_t> unacknowledgedBytes(Tcp::socket &Socket) {
  int Bytes = 0;
  if (::ioctl(Socket.native_handle(), SIOCOUTQ, &Bytes) != 0 || Bytes < 0)
    return std::nullopt;
  return static_cast<std::size_t>(Bytes);
}

absl::StatusOr<Tcp::acceptor> listenOn(asio::io_context &Context,
                                       const Tcp::endpoint &Address) {
  Tcp::acceptor Acceptor(Context);
  ErrorCode Error;
  Acceptor.open(Address.protocol(), Error);
  if (!Error)
    Acceptor.set_option(Tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Address, Error);
  if (!Error)
    Acceptor.listen(internal::ListenBacklog, Error);
  if (Error)
    return absl::UnavailableError(
        absl::StrCat("can't listen on ", Address.address().to_string(), ":",
                     Address.port(), ": ", Error.message()));
  return Acceptor;
}

} // namespace persimmonquay
