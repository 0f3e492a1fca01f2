// Health check of the upstream next to a node.
#ifndef PERSIMMONQUAY_DAEMON_UPSTREAM_CHECK_H
#define PERSIMMONQUAY_DAEMON_UPSTREAM_CHECK_H

#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/header_names.h"
#include <optional>
#include <string>

namespace persimmonquay {

/// Sends one health check over a separate connection. Returns the instance that
/// reported itself healthy and not draining, or none if the response was
/// different or did not arrive soon enough for a call to be worth starting.
asio::awaitable<std::optional<std::string>>
checkUpstream(asio::io_context &Context, Tcp::endpoint Address,
              std::string HealthPath, const HeaderNames &Headers);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_UPSTREAM_CHECK_H
