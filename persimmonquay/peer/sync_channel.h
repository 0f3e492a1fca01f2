// Request/reply channel over nng by which nodes synchronise their state.
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

/// Largest message that either side accepts.
inline constexpr std::size_t MaxSyncMessageBytes = 16 << 20;

/// Handles requests one at a time on its own thread, which bounds the load when
/// many nodes start at once.
///
/// Example:
///   SyncServer Server;
///   absl::Status Status = Server.start("127.0.0.1", 7100, RequestHandler);
class SyncServer {
public:
  using Handler = std::function<std::string(const std::string &Request)>;

  SyncServer();
  SyncServer(const SyncServer &) = delete;
  SyncServer &operator=(const SyncServer &) = delete;
  ~SyncServer();

  /// Listens and serves requests until `stop()`. Returns Unavailable, naming
  /// the address and port, if the socket can't be opened, for example because
  /// the port is in use.
  absl::Status start(const std::string &Address, std::uint16_t Port,
                     Handler RequestHandler);
  void stop();

private:
  struct Socket;
  std::unique_ptr<Socket> Listener;
  std::thread ServerThread;
};

/// Sends one request over a new connection and waits for the reply. Sending and
/// receiving may each take up to `Timeout`. Returns DeadlineExceeded after a
/// timeout and Unavailable after any other error.
absl::StatusOr<std::string> requestSync(const std::string &Address,
                                        std::uint16_t Port,
                                        const std::string &Request,
                                        Millis Timeout);

} // namespace persimmonquay

#endif // PERSIMMONQUAY_PEER_SYNC_CHANNEL_H
