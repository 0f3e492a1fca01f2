#include "persimmonquay/daemon/frame_channel.h"

#include "persimmonquay/base/logging.h"
#include "persimmonquay/daemon/sockets.h"
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace persimmonquay {
namespace internal {

/// Time without any acknowledgement after which the kernel gives a connection
/// between nodes up; the nodes' own probes notice sooner.
constexpr Millis LinkSilenceLimit{3000};

/// Longest frame; a longer one means that the stream is not ours.
constexpr std::size_t MaxFrameBytes = 80U << 20U;

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t ReadChunk = 8192;

void appendLength(std::string &Target, std::size_t Length) {
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Target.push_back(static_cast<char>((Length >> Shift) & 0xFFU));
}

std::size_t readLength(std::string_view Bytes) {
  std::size_t Length = 0;
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Length = (Length << 8U) | static_cast<unsigned char>(Bytes[I]);
  return Length;
}

} // namespace internal

FrameChannel::FrameChannel(Tcp::socket Connection)
    : Socket(std::move(Connection)), LastReceived(monoNow()) {
  configureConnection(this->Socket, internal::LinkSilenceLimit);
}

void FrameChannel::send(const proto::LinkFrame &Frame) {
  if (!this->Socket.is_open())
    return;
  internal::appendLength(this->Queued, Frame.ByteSizeLong());
  Frame.AppendToString(&this->Queued);
  if (!this->WriteUnderWay)
    this->startWrite();
}

void FrameChannel::startWrite() {
  this->WriteUnderWay = true;
  this->Writing = std::move(this->Queued);
  this->Queued.clear();
  asio::async_write(
      this->Socket, asio::buffer(this->Writing),
      [Self = this->shared_from_this()](const ErrorCode &Error, std::size_t) {
        Self->WriteUnderWay = false;
        Self->Writing.clear();
        if (Error)
          Self->close();
        else if (!Self->Queued.empty())
          Self->startWrite();
      });
}

asio::awaitable<std::optional<proto::LinkFrame>> FrameChannel::receive() {
  while (true) {
    const std::string_view Rest =
        std::string_view(this->Input).substr(this->Consumed);
    if (Rest.size() >= internal::LengthBytes) {
      const std::size_t Length = internal::readLength(Rest);
      if (Length > internal::MaxFrameBytes) {
        logLine(LogLevel::Warning, "frame too long; connection closed",
                {{"bytes", std::to_string(Length)}});
        co_return std::nullopt;
      }
      if (Rest.size() >= internal::LengthBytes + Length) {
        proto::LinkFrame Frame;
        const bool Parsed = Frame.ParseFromArray(
            Rest.data() + internal::LengthBytes, static_cast<int>(Length));
        this->Consumed += internal::LengthBytes + Length;
        if (Parsed)
          co_return Frame;
        logLine(LogLevel::Warning, "unreadable frame; connection closed");
        co_return std::nullopt;
      }
    }
    this->Input.erase(0, this->Consumed);
    this->Consumed = 0;
    const std::size_t Known = this->Input.size();
    this->Input.resize(Known + internal::ReadChunk);
    const auto [Error, Size] = co_await this->Socket.async_read_some(
        asio::buffer(this->Input.data() + Known, internal::ReadChunk), NoThrow);
    this->Input.resize(Known + (Error ? 0 : Size));
    if (Error)
      co_return std::nullopt;
    this->LastReceived = monoNow();
  }
}

void FrameChannel::close() {
  ErrorCode Ignored;
  this->Socket.shutdown(Tcp::socket::shutdown_both, Ignored);
  this->Socket.close(Ignored);
}

} // namespace persimmonquay
