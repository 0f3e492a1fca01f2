#include "persimmonquay/daemon/http_decoder.h"
#include <boost/beast/http/error.hpp>
#include <cstring>
#include <doctest/doctest.h>
#include <string>

namespace persimmonquay {
namespace {

constexpr DecodeLimits Limits{.MaxHeaderBytes = 1000, .MaxBodyBytes = 5000};

template <bool IsRequest>
void append(HttpDecoder<IsRequest> &Decoder, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const asio::mutable_buffer Space = Decoder.prepare();
    const std::size_t Size = std::min(Space.size(), Bytes.size());
    std::memcpy(Space.data(), Bytes.data(), Size);
    Decoder.commit(Size);
    Bytes.remove_prefix(Size);
  }
}

constexpr char TwoRequests[] =
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
    "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\ntw\r\n1;x=y\r\no\r\n0\r\nTrailer: t\r\n\r\n";

TEST_CASE("messages are decoded wherever the stream is split") {
  const std::string_view Bytes(TwoRequests);
  for (std::size_t Split = 1; Split < Bytes.size(); ++Split) {
    CAPTURE(Split);
    HttpDecoder<true> Decoder;
    std::vector<HttpRequest> Decoded;
    for (const std::string_view Part :
         {Bytes.substr(0, Split), Bytes.substr(Split)}) {
      append(Decoder, Part);
      while (Decoder.decode(Limits) == DecodeResult::Complete)
        Decoded.push_back(Decoder.takeMessage());
    }
    REQUIRE(Decoded.size() == 2);
    CHECK(Decoded[0].body() == "one");
    CHECK(Decoded[1].target() == "/b");
    CHECK(Decoded[1].body() == "two");
    CHECK(Decoder.stage() == HttpDecoder<true>::Stage::Idle);
  }
}

/// Feeds `Unit` again and again. Returns how many bytes the decoder took until
/// it failed, and at most `MaxBytes`.
template <bool IsRequest>
std::size_t bytesUntilFailure(std::string_view Start, std::string_view Unit,
                              std::size_t MaxBytes = 1000000) {
  HttpDecoder<IsRequest> Decoder;
  append(Decoder, Start);
  std::size_t Size = Start.size();
  while (Size < MaxBytes) {
    if (Decoder.decode(Limits) != DecodeResult::Incomplete)
      return Size;
    append(Decoder, Unit);
    Size += Unit.size();
    CHECK(Decoder.undecodedBytes() < 12000);
  }
  return Size;
}

TEST_CASE("bytes without end are bounded in every part of a message") {
  // Start line, header, chunk size, chunk extension, chunks, trailers, body.
  CHECK(bytesUntilFailure<true>("GET /", "a") < 1100);
  CHECK(bytesUntilFailure<true>("GET / HTTP/1.1\r\n", "A: b\r\n") < 1100);
  CHECK(bytesUntilFailure<true>("GET / HTTP/1.1\r\nA: ", "b") < 1100);
  CHECK(bytesUntilFailure<false>("", std::string(1, '\0')) < 1100);
  CHECK(bytesUntilFailure<false>("HTTP/1.1 200 ", "a") < 1100);
  CHECK(bytesUntilFailure<false>("HTTP/1.1 200 OK\r\n", "A: b\r\n") < 1100);
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(bytesUntilFailure<false>(Chunked, "0") < 1200);
  CHECK(bytesUntilFailure<false>(Chunked + "1;", "x") < 1200);
  CHECK(bytesUntilFailure<false>(Chunked + "0\r\n", "A: b\r\n") < 1200);
  CHECK(bytesUntilFailure<false>(Chunked, "1\r\nx\r\n") < 31000);
  CHECK(bytesUntilFailure<false>(Chunked, "ffffffffffffff\r\nx") < 1200);
  CHECK(bytesUntilFailure<false>("HTTP/1.1 200 OK\r\n\r\n", "x") < 5200);
  CHECK(bytesUntilFailure<false>(
            "HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n", "x") < 100);
}

TEST_CASE("a response whose body ends with the connection is complete at its "
          "end") {
  HttpDecoder<false> Decoder;
  append(Decoder, "HTTP/1.1 200 OK\r\n\r\nwhole");
  CHECK(Decoder.decode(Limits) == DecodeResult::Incomplete);
  CHECK(Decoder.decodeEnd() == DecodeResult::Complete);
  CHECK(Decoder.takeMessage().body() == "whole");

  HttpDecoder<false> Truncated;
  append(Truncated, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  CHECK(Truncated.decode(Limits) == DecodeResult::Incomplete);
  CHECK(Truncated.decodeEnd() == DecodeResult::Failed);

  HttpDecoder<false> Empty;
  CHECK(Empty.decodeEnd() == DecodeResult::Failed);
}

// Callers of a similar system got a success with an empty or short body.
TEST_CASE(
    "a response that is cut off anywhere before its end is not complete") {
  for (const std::string &Whole :
       {std::string("HTTP/1.1 200 OK\r\nx-a: b\r\nContent-Length: 4\r\n"
                    "x-c: d\r\n\r\nbody"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                    "x-c: d\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
        std::string("HTTP/1.1 204 No Content\r\nx-c: d\r\n\r\n"),
        std::string("HTTP/1.0 200 OK\r\nx-c: d\r\n\r\n")}) {
    for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
      CAPTURE(Whole.substr(0, Size));
      HttpDecoder<false> Decoder;
      append(Decoder, Whole.substr(0, Size));
      CHECK(Decoder.decode(Limits) == DecodeResult::Incomplete);
      CHECK(Decoder.decodeEnd() == DecodeResult::Failed);
    }
    HttpDecoder<false> Decoder;
    append(Decoder, Whole);
    if (Decoder.decode(Limits) != DecodeResult::Complete)
      CHECK(Decoder.decodeEnd() == DecodeResult::Complete);
  }
}

TEST_CASE("the response to a HEAD request has no body") {
  HttpDecoder<false> Decoder;
  Decoder.setWithoutBody(true);
  append(Decoder, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  CHECK(Decoder.decode(Limits) == DecodeResult::Complete);
}

TEST_CASE("nothing is decoded after an error") {
  HttpDecoder<true> Decoder;
  append(Decoder, "nonsense\r\n\r\n");
  CHECK(Decoder.decode(Limits) == DecodeResult::Failed);
  append(Decoder, TwoRequests);
  CHECK(Decoder.decode(Limits) == DecodeResult::Failed);
}

} // namespace
} // namespace persimmonquay
