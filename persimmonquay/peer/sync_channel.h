// Requests for state between nodes, over nng.
#ifndef PERSIMMONQUAY_PEER_SYNC_CHANNEL_H
#define PERSIMMONQUAY_PEER_SYNC_CHANNEL_H

#include "persimmonquay/base/time.h"
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace persimmonquay {

/// Largest message that is sent or accepted.
inline constexpr std::size_t MaxSyncBytes = 16 << 20;

/// Answers requests one after another on a thread of its own, which bounds the
/// work that a herd of starting nodes can cause.
///
/// Example:
///   SyncServer Server;
///   absl::Status Status = Server.start("127.0.0.1", 7100, Answer);
class SyncServer {
public:
  using Handler = std::function<std::string(const std::string &Request)>;

  SyncServer();
  SyncServer(const SyncServer &) = delete;
  SyncServer &operator=(const SyncServer &) = delete;
  ~SyncServer();

  /// Listens and answers until `stop()`. Returns Unavailable when the port is
  /// taken.
  absl::Status start(const std::string &Address, std::uint16_t Port,
                     Handler Answer);
  void stop();

private:
  struct Socket;
  std::unique_ptr<Socket> Listener;
  std::thread Worker;
};

/// Sends one request over a new connection and waits for the reply. Returns
/// DeadlineExceeded or Unavailable.
absl::StatusOr<std::string> requestSync(const std::string &Address,
                                        std::uint16_t Port,
                                        const std::string &Request,
                                        Millis Timeout);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PEER_SYNC_CHANNEL_H
