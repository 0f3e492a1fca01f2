// Incremental decoder of HTTP/1.1 messages, independent of sockets.
//
// Handles a peer that sends bytes without end that are no message: every part
// of a message is bounded (the header, the body, and what stands between the
// chunks of a body, such as chunk extensions and trailers), so that memory is
// bounded by the limits whatever is received.
#ifndef PERSIMMONQUAY_DAEMON_HTTP_DECODER_H
#define PERSIMMONQUAY_DAEMON_HTTP_DECODER_H

#include "persimmonquay/daemon/asio.h"
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>

namespace persimmonquay {

/// Bounds on one message, in bytes.
struct DecodeLimits {
  /// Also bounds what stands between the chunks of a body.
  std::uint32_t MaxHeaderBytes = 16384;
  std::uint64_t MaxBodyBytes = 1048576;
};

/// Result of a step of an `HttpDecoder`.
enum class DecodeResult {
  /// `takeMessage()` returns the next message.
  Complete,
  /// More bytes are needed.
  Incomplete,
  /// The bytes are no message within the limits, or a response with a status
  /// that HTTP doesn't have or that changes the protocol; see `error()`.
  /// Nothing more can be decoded.
  Failed,
};

/// Decodes the messages in a stream of bytes: requests if `IsRequest`, else
/// responses. Not thread-safe.
///
/// Example:
///   HttpDecoder<true> Decoder;
///   Decoder.commit(readInto(Decoder.prepare()));
///   while (Decoder.decode(Limits) == DecodeResult::Complete)
///     handle(Decoder.takeMessage());
template <bool IsRequest> class HttpDecoder {
public:
  using Message = http::message<IsRequest, http::string_body>;

  /// How far the current message has been decoded.
  enum class Stage { Idle, Header, Body };

  // Commands.

  /// Returns space for bytes that are read next.
  asio::mutable_buffer prepare();

  /// Appends `Size` bytes that were read into `prepare()`.
  void commit(std::size_t Size) { this->Buffer.commit(Size); }

  /// Decodes bytes up to the end of the next message. The limits apply to a
  /// message that starts now.
  DecodeResult decode(const DecodeLimits &Limits);

  /// Decodes the end of the stream. Completes a response whose body ends with
  /// the connection; any other message that is incomplete fails.
  DecodeResult decodeEnd();

  /// Returns the complete message; the next one may follow.
  Message takeMessage();

  /// Sets whether the next messages have no body whatever their header says,
  /// like the response to a HEAD request.
  void setWithoutBody(bool Enabled) { this->WithoutBody = Enabled; }

  /// Records that "100 Continue" has been sent for the current request.
  void recordContinue() { this->ContinueSent = true; }

  // Queries.

  Stage stage() const;

  /// Returns whether the sender of the current request waits for "100
  /// Continue" before it sends the body.
  bool awaitsContinue() const;

  /// Returns how many received bytes have not been decoded yet.
  std::size_t undecodedBytes() const { return this->Buffer.size(); }

  /// Returns the size of what has been received of the current message and has
  /// to be kept.
  std::size_t heldBytes() const {
    return this->Buffer.size() +
           (this->Parser ? this->Parser->get().body().size() : 0);
  }

  const ErrorCode &error() const { return this->Error; }

private:
  boost::beast::flat_buffer Buffer;
  std::optional<http::parser<IsRequest, http::string_body>> Parser;
  std::uint32_t MaxHeaderBytes = 0;
  bool WithoutBody = false;
  bool ContinueSent = false;
  ErrorCode Error;
};

extern template class HttpDecoder<true>;
extern template class HttpDecoder<false>;

} // namespace persimmonquay

#endif // PERSIMMONQUAY_DAEMON_HTTP_DECODER_H
