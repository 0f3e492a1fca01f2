#include "persimmonquay/daemon/frame_channel.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/sockets.h"
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace persimmonquay {
namespace internal {

/// TCP user timeout of connections between nodes: the kernel closes a
/// connection without any acknowledgement for this long. The probes of the
/// nodes detect a dead peer sooner.
constexpr Millis LinkTcpTimeout{3000};

/// Number of longest frames that may wait to be written.
constexpr std::size_t MaxQueuedFrames = 4;

constexpr std::size_t LengthPrefixBytes = 4;
constexpr std::size_t ReadChunkBytes = 8192;

void appendLength(std::string &Output, std::size_t Length) {
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Output.push_back(static_cast<char>((Length >> Shift) & 0xFFU));
}

std::size_t readLength(std::string_view Bytes) {
  std::size_t Length = 0;
  for (std::size_t I = 0; I < LengthPrefixBytes; ++I)
    Length = (Length << 8U) | static_cast<unsigned char>(Bytes[I]);
  return Length;
}

} // namespace internal

FrameChannel::FrameChannel(Tcp::socket ConnectedSocket,
                           FrameLimits ChannelLimits)
    : Socket(std::move(ConnectedSocket)), Limits(ChannelLimits),
      FrameTimer(Socket.get_executor()), LastReceived(monoNow()) {
  configureConnection(this->Socket, internal::LinkTcpTimeout);
}

void FrameChannel::send(const proto::LinkFrame &Frame) {
  if (!this->Socket.is_open())
    return;
  const std::size_t Length = Frame.ByteSizeLong();
  if (this->queuedBytes() + Length >
      internal::MaxQueuedFrames * this->Limits.MaxBytes) {
    logLine(LogLevel::Warning, "peer does not read; connection closed",
            {{"queued_bytes", std::to_string(this->queuedBytes())}});
    this->close();
    return;
  }
  internal::appendLength(this->WriteQueue, Length);
  Frame.AppendToString(&this->WriteQueue);
  if (!this->IsWriting)
    this->startWrite();
}

void FrameChannel::startFrameTimer() {
  if (std::exchange(this->IsFrameIncomplete, true))
    return;
  this->FrameTimer.expires_after(this->Limits.MaxTime);
  this->FrameTimer.async_wait(
      [WeakSelf = this->weak_from_this()](const ErrorCode &Error) {
        const std::shared_ptr<FrameChannel> Self = WeakSelf.lock();
        if (Error || !Self || !Self->IsFrameIncomplete)
          return;
        logLine(LogLevel::Warning, "frame is not complete in time; connection "
                                   "closed");
        Self->close();
      });
}

void FrameChannel::startWrite() {
  this->IsWriting = true;
  this->WriteBuffer = std::move(this->WriteQueue);
  this->WriteQueue.clear();
  asio::async_write(
      this->Socket, asio::buffer(this->WriteBuffer),
      [Self = this->shared_from_this()](const ErrorCode &Error, std::size_t) {
        Self->IsWriting = false;
        Self->WriteBuffer.clear();
        if (Error)
          Self->close();
        else if (!Self->WriteQueue.empty())
          Self->startWrite();
        else if (Self->OnDrained)
          Self->OnDrained();
      });
}

asio::awaitable<std::optional<proto::LinkFrame>> FrameChannel::receive() {
  while (true) {
    const std::string_view UnparsedBytes = this->unparsedBytes();
    if (UnparsedBytes.size() >= internal::LengthPrefixBytes) {
      const std::size_t Length = internal::readLength(UnparsedBytes);
      if (Length > this->Limits.MaxBytes) {
        logLine(LogLevel::Warning,
                "frame exceeds the size limit; connection closed",
                {{"bytes", std::to_string(Length)}});
        co_return std::nullopt;
      }
      if (UnparsedBytes.size() >= internal::LengthPrefixBytes + Length) {
        if (std::exchange(this->IsFrameIncomplete, false))
          this->FrameTimer.cancel();
        proto::LinkFrame Frame;
        const bool IsParsed = Frame.ParseFromArray(
            UnparsedBytes.data() + internal::LengthPrefixBytes,
            static_cast<int>(Length));
        this->ConsumedBytes += internal::LengthPrefixBytes + Length;
        if (IsParsed)
          co_return Frame;
        logLine(LogLevel::Warning, "frame can't be parsed; connection closed");
        co_return std::nullopt;
      }
    }
    if (!UnparsedBytes.empty())
      this->startFrameTimer();
    this->ReadBuffer.erase(0, this->ConsumedBytes);
    this->ReceivedBytes -= std::exchange(this->ConsumedBytes, 0);
    this->ReadBuffer.resize(this->ReceivedBytes + internal::ReadChunkBytes);
    const auto [Error, Size] = co_await this->Socket.async_read_some(
        asio::buffer(this->ReadBuffer.data() + this->ReceivedBytes,
                     internal::ReadChunkBytes),
        NoThrow);
    this->ReceivedBytes += Size;
    if (Error)
      co_return std::nullopt;
    this->LastReceived = monoNow();
  }
}

std::string_view FrameChannel::unparsedBytes() const {
  return std::string_view(this->ReadBuffer)
      .substr(this->ConsumedBytes, this->ReceivedBytes - this->ConsumedBytes);
}

bool FrameChannel::hasUnreadFrames() const {
  const std::string_view UnparsedBytes = this->unparsedBytes();
  if (UnparsedBytes.size() >= internal::LengthPrefixBytes &&
      UnparsedBytes.size() - internal::LengthPrefixBytes >=
          internal::readLength(UnparsedBytes))
    return true;
  ErrorCode Error;
  return this->Socket.available(Error) > 0;
}

bool FrameChannel::isClosedByPeer() { return hasPeerClosed(this->Socket); }

std::size_t FrameChannel::kernelBytes() {
  return unacknowledgedBytes(this->Socket).value_or(0);
}

void FrameChannel::close() {
  ErrorCode IgnoredError;
  this->FrameTimer.cancel();
  this->Socket.shutdown(Tcp::socket::shutdown_both, IgnoredError);
  this->Socket.close(IgnoredError);
}

} // namespace persimmonquay
