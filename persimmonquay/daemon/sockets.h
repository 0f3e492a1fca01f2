// Options that every connection of a node has, and parsing of its addresses.
#ifndef PERSIMMONQUAY_DAEMON_SOCKETS_H
#define PERSIMMONQUAY_DAEMON_SOCKETS_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include <absl/status/statusor.h>
#include <string_view>

namespace persimmonquay {

/// Sends small messages at once, and gives a connection up whose peer has
/// acknowledged nothing for `SilenceLimit`, by unanswered data or keep-alive
/// probes. Errors are ignored: the connection then only dies later.
void configureConnection(Tcp::socket &Socket, Millis SilenceLimit);

/// Parses "IP:port".
absl::StatusOr<Tcp::endpoint> parseEndpoint(std::string_view Text);

/// What can be seen on a connection without reading from it.
enum class ConnectionState { Idle, Readable, Closed };
ConnectionState peekConnection(Tcp::socket &Socket);

/// Opens a listening socket.
absl::StatusOr<Tcp::acceptor> listenOn(asio::io_context &Context,
                                       const Tcp::endpoint &Address);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_SOCKETS_H
