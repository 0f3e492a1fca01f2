// Health check of the upstream next to a node.
#ifndef PERSIMMONQUAY_DAEMON_UPSTREAM_CHECK_H
#define PERSIMMONQUAY_DAEMON_UPSTREAM_CHECK_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/header_names.h"
#include <optional>
#include <string>

namespace persimmonquay {

/// The response to a health check.
struct UpstreamHealth {
  /// Instance that reported itself healthy and not draining; none if the
  /// response was different or did not arrive soon enough for a call to be
  /// worth starting.
  std::optional<std::string> HealthyInstance;
  /// Instance that responded, healthy or not; empty if none did.
  std::string RespondingInstance;
  /// How much longer it is cold, if it said so.
  std::optional<Millis> ColdRemaining;
};

/// Sends one health check over a separate connection.
asio::awaitable<UpstreamHealth> checkUpstream(asio::io_context &Context,
                                              Tcp::endpoint Address,
                                              std::string HealthPath,
                                              const HeaderNames &Headers);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_UPSTREAM_CHECK_H
