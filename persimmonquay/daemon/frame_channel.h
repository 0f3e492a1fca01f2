// Exchange of protobuf messages on a TCP connection between nodes.
#ifndef PERSIMMONQUAY_DAEMON_FRAME_CHANNEL_H
#define PERSIMMONQUAY_DAEMON_FRAME_CHANNEL_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/daemon/asio.h"
#include "persimmonquay/daemon/frame_limits.h"
#include "proto/link.pb.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace persimmonquay {

/// A frame consists of its length (4 bytes, big-endian) and a LinkFrame.
/// Messages sent while a write is in progress are combined into the next write.
///
/// Handles a peer that sends something else, or stops in the middle: the size
/// of a frame, the time until it is complete, and what waits for a peer that
/// doesn't read are bounded. Beyond these bounds the connection is closed.
///
/// Confined to one thread.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
public:
  FrameChannel(Tcp::socket ConnectedSocket, FrameLimits ChannelLimits);

  /// Queues a message; drops it if the channel is closed. Closes the channel if
  /// too much is queued.
  void send(const proto::LinkFrame &Frame);

  /// Returns the next message, or none if the connection has ended or carried
  /// an invalid frame.
  asio::awaitable<std::optional<proto::LinkFrame>> receive();

  /// Sets the function that is called whenever everything that was sent has
  /// been given to the kernel.
  void setDrainHandler(std::function<void()> Handler) {
    this->OnDrained = std::move(Handler);
  }

  void close();

  bool isOpen() const { return this->Socket.is_open(); }

  /// Returns whether the peer has sent anything that `receive()` has not
  /// returned yet, apart from the beginning of a frame.
  bool hasUnreadFrames() const;

  /// Returns whether the peer has closed the connection.
  bool isClosedByPeer();

  /// Returns what the kernel holds until the peer has acknowledged it, as far
  /// as the kernel tells.
  std::size_t kernelBytes();

  MonoTime lastReceived() const { return this->LastReceived; }
  std::size_t queuedBytes() const {
    return this->WriteQueue.size() + this->WriteBuffer.size();
  }

private:
  std::string_view unparsedBytes() const;
  void startWrite();

  /// Closes the connection if the frame that has begun to arrive is not
  /// complete in time.
  void startFrameTimer();

  Tcp::socket Socket;
  FrameLimits Limits;
  asio::steady_timer FrameTimer;
  /// Whether `FrameTimer` runs.
  bool IsFrameIncomplete = false;
  std::string WriteQueue;
  std::string WriteBuffer;
  bool IsWriting = false;
  /// Holds `ReceivedBytes` bytes, of which `ConsumedBytes` have been returned
  /// as frames, and then space for the next read.
  std::string ReadBuffer;
  std::size_t ReceivedBytes = 0;
  std::size_t ConsumedBytes = 0;
  MonoTime LastReceived;
  std::function<void()> OnDrained;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_FRAME_CHANNEL_H
