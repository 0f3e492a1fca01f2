// Sends and receives protobuf messages on a TCP connection between nodes.
#ifndef PERSIMMONQUAY_DAEMON_FRAME_CHANNEL_H
#define PERSIMMONQUAY_DAEMON_FRAME_CHANNEL_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "proto/link.pb.h"
#include <memory>
#include <optional>
#include <string>

namespace persimmonquay {

/// Frames are a length (4 bytes, big-endian) and a LinkFrame. Messages sent
/// while a write is under way leave together with the next one. Lives on one
/// thread.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
public:
  explicit FrameChannel(Tcp::socket Connection);

  /// Queues a message; drops it when the channel is closed.
  void send(const proto::LinkFrame &Frame);

  /// Returns the next message, or nothing when the connection has ended or
  /// carried something that is no frame.
  asio::awaitable<std::optional<proto::LinkFrame>> receive();

  void close();

  bool isOpen() const { return this->Socket.is_open(); }
  MonoTime lastReceived() const { return this->LastReceived; }
  std::size_t queuedBytes() const {
    return this->Queued.size() + this->Writing.size();
  }

private:
  void startWrite();

  Tcp::socket Socket;
  std::string Queued;
  std::string Writing;
  bool WriteUnderWay = false;
  std::string Input;
  std::size_t Consumed = 0;
  MonoTime LastReceived;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_FRAME_CHANNEL_H
