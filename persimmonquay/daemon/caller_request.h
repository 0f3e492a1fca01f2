// A request of a caller.
#ifndef PERSIMMONQUAY_DAEMON_CALLER_REQUEST_H
#define PERSIMMONQUAY_DAEMON_CALLER_REQUEST_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include <cstddef>

namespace persimmonquay {

/// A complete request whose caller waits for the response. `WakeTimer` is
/// cancelled when the caller disconnects, so that a handler that waits on it
/// notices immediately.
struct CallerRequest {
  explicit CallerRequest(asio::io_context &Context) : WakeTimer(Context) {}

  HttpRequest Message;
  /// When the request had been read completely.
  MonoTime Arrival;
  bool CallerDisconnected = false;
  /// Number of earlier requests of the connection whose responses had not been
  /// written when this one was started. If there are any, this one must be
  /// idempotent: the caller sends it again if one of these responses closes the
  /// connection.
  std::size_t RequestsAhead = 0;
  asio::steady_timer WakeTimer;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_CALLER_REQUEST_H
