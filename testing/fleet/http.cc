#include "testing/fleet/http.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <array>

namespace persimmonquay::testing {

ExchangeResult request(const TcpEndpoint &To, const std::string &Method,
                       const std::string &Target, const std::string &Body,
                       const std::vector<HeaderField> &Headers,
                       Millis Timeout) {
  HttpPool Pool;
  return Pool.exchange(To.Address, To.Port,
                       CallRequest{Method, Target, Headers, Body}, Timeout);
}

std::string rawExchange(const TcpEndpoint &To, const std::string &Bytes,
                        Millis Timeout) {
  std::string Received;
  try {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress(To.Address, To.Port));
    Socket.setReceiveTimeout(Poco::Timespan(Timeout.count() * 1000));
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    std::array<char, 4096> Buffer;
    while (true) {
      const int Size = Socket.receiveBytes(Buffer.data(), Buffer.size());
      if (Size <= 0)
        return Received;
      Received.append(Buffer.data(), static_cast<std::size_t>(Size));
    }
  } catch (const Poco::Exception &) {
    return Received;
  }
}

double readMetric(const TcpEndpoint &Local, const std::string &Name) {
  const ExchangeResult Result = request(Local, "GET", "/metrics");
  const std::string &Text = Result.Reply.Body;
  const std::size_t At = Text.find("\n" + Name + " ");
  double Value = -1;
  if (At == std::string::npos)
    return Value;
  const std::size_t Start = At + Name.size() + 2;
  const std::string Number = Text.substr(Start, Text.find('\n', Start) - Start);
  return absl::SimpleAtod(Number, &Value) ? Value : -1;
}

} // namespace persimmonquay::testing
