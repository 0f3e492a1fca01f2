// Asks the upstream beside a node who it is and whether it is well.
#ifndef PERSIMMONQUAY_DAEMON_UPSTREAM_CHECK_H
#define PERSIMMONQUAY_DAEMON_UPSTREAM_CHECK_H

#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/header_names.h"
#include <optional>
#include <string>

namespace persimmonquay {

/// Sends one health check over a connection of its own. Returns the instance
/// that answered that it is well and does not leave, or none when the answer
/// was another one, or did not come while a call would still be worth starting.
asio::awaitable<std::optional<std::string>>
checkUpstream(asio::io_context &Context, Tcp::endpoint Address,
              std::string HealthPath, const HeaderNames &Names);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_UPSTREAM_CHECK_H
