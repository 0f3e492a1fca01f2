#include "persimmonquay/daemon/http_decoder.h"

#include "persimmonquay/base/http_status.h"
#include <boost/beast/http/error.hpp>

namespace persimmonquay {
namespace internal {

constexpr std::size_t ReadChunkBytes = 8192;

bool hasValidStatus(const http::message<true, http::string_body> &) {
  return true;
}

bool hasValidStatus(const http::message<false, http::string_body> &Response) {
  return isFinalStatus(Response.result_int()) ||
         isInterimStatus(Response.result_int());
}

} // namespace internal

template <bool IsRequest>
asio::mutable_buffer HttpDecoder<IsRequest>::prepare() {
  return this->Buffer.prepare(internal::ReadChunkBytes);
}

template <bool IsRequest>
typename HttpDecoder<IsRequest>::Stage HttpDecoder<IsRequest>::stage() const {
  if (this->Parser && this->Parser->is_header_done())
    return Stage::Body;
  return this->Parser || this->Buffer.size() > 0 ? Stage::Header : Stage::Idle;
}

template <bool IsRequest> bool HttpDecoder<IsRequest>::awaitsContinue() const {
  return this->stage() == Stage::Body && !this->Parser->is_done() &&
         !this->ContinueSent &&
         this->Parser->get()[http::field::expect] == "100-continue";
}

template <bool IsRequest>
DecodeResult HttpDecoder<IsRequest>::decode(const DecodeLimits &Limits) {
  if (this->Error)
    return DecodeResult::Failed;
  if (!this->Parser) {
    if (this->Buffer.size() == 0)
      return DecodeResult::Incomplete;
    this->Parser.emplace();
    this->Parser->eager(true);
    this->Parser->skip(this->WithoutBody);
    this->Parser->header_limit(Limits.MaxHeaderBytes);
    this->Parser->body_limit(Limits.MaxBodyBytes);
    this->MaxHeaderBytes = Limits.MaxHeaderBytes;
    this->ContinueSent = false;
  }
  while (!this->Parser->is_done() && this->Buffer.size() > 0) {
    const std::size_t Consumed =
        this->Parser->put(this->Buffer.data(), this->Error);
    this->Buffer.consume(Consumed);
    if (this->Error == http::error::need_more) {
      this->Error = {};
      // The parser bounds the header and the body itself, but buffers chunk
      // extensions and trailers until their end.
      if (this->Buffer.size() > this->MaxHeaderBytes)
        this->Error = http::error::header_limit;
      break;
    }
    // Without a valid status it isn't known whether a body follows, so that
    // bytes of the body could be taken for the next message.
    if (!this->Error && this->Parser->is_header_done() &&
        !internal::hasValidStatus(this->Parser->get()))
      this->Error = http::error::bad_status;
    if (this->Error || Consumed == 0)
      break;
  }
  if (this->Error)
    return DecodeResult::Failed;
  return this->Parser->is_done() ? DecodeResult::Complete
                                 : DecodeResult::Incomplete;
}

template <bool IsRequest> DecodeResult HttpDecoder<IsRequest>::decodeEnd() {
  if (this->Error)
    return DecodeResult::Failed;
  if (!this->Parser || !this->Parser->got_some()) {
    this->Error = http::error::end_of_stream;
    return DecodeResult::Failed;
  }
  this->Parser->put_eof(this->Error);
  return this->Error ? DecodeResult::Failed : DecodeResult::Complete;
}

template <bool IsRequest>
typename HttpDecoder<IsRequest>::Message HttpDecoder<IsRequest>::takeMessage() {
  Message Result = this->Parser->release();
  this->Parser.reset();
  if (this->Buffer.size() == 0)
    this->Buffer.shrink_to_fit();
  return Result;
}

template class HttpDecoder<true>;
template class HttpDecoder<false>;

} // namespace persimmonquay
