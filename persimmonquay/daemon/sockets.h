// Socket options of all connections of a node, listening sockets and parsing of
// addresses.
#ifndef PERSIMMONQUAY_DAEMON_SOCKETS_H
#define PERSIMMONQUAY_DAEMON_SOCKETS_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include <absl/status/statusor.h>
#include <cstddef>
#include <optional>
#include <string_view>

namespace persimmonquay {

/// Disables Nagle's algorithm, so that small messages are sent at once, and has
/// the kernel close the connection if the peer acknowledges neither data nor
/// keep-alive probes for `TcpTimeout`. Errors are ignored; a dead peer is then
/// detected later.
void configureConnection(Tcp::socket &Socket, Millis TcpTimeout);

/// Parses "IP:port". Returns InvalidArgument for other texts.
absl::StatusOr<Tcp::endpoint> parseEndpoint(std::string_view Text);

/// State of a connection as far as it is visible without reading from it.
enum class ConnectionState { Idle, Readable, Closed };
ConnectionState peekConnection(Tcp::socket &Socket);

/// Returns whether the peer has closed its side of a connection, even if bytes
/// that it sent before are still unread.
bool hasPeerClosed(Tcp::socket &Socket);

/// Returns the bytes that the kernel holds of what was written to a connection,
/// until the peer has acknowledged them; none if the kernel doesn't tell.
std::optional<std::size_t> unacknowledgedBytes(Tcp::socket &Socket);

/// Opens a listening socket. Returns Unavailable if the address cannot be used.
absl::StatusOr<Tcp::acceptor> listenOn(asio::io_context &Context,
                                       const Tcp::endpoint &Address);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_SOCKETS_H
