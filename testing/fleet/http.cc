#include "testing/fleet/http.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <array>

namespace persimmonquay::testing {

ExchangeResult request(const TcpEndpoint &Server, const std::string &Method,
                       const std::string &Target, const std::string &Body,
                       const std::vector<HeaderField> &Headers,
                       Millis Timeout) {
  HttpPool Pool;
  return Pool.exchange(Server.Address, Server.Port,
                       CallRequest{Method, Target, Headers, Body}, Timeout);
}

std::string rawExchange(const TcpEndpoint &Server, const std::string &Bytes,
                        Millis Timeout) {
  std::string Received;
  try {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress(Server.Address, Server.Port));
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

double readMetric(const TcpEndpoint &LocalEndpoint, const std::string &Name) {
  const ExchangeResult Result = request(LocalEndpoint, "GET", "/metrics");
  const std::string &Text = Result.Response.Body;
  const std::size_t LineBreak = Text.find("\n" + Name + " ");
  double Value = -1;
  if (LineBreak == std::string::npos)
    return Value;
  const std::size_t ValueStart = LineBreak + Name.size() + 2;
  const std::string ValueText =
      Text.substr(ValueStart, Text.find('\n', ValueStart) - ValueStart);
  return absl::SimpleAtod(ValueText, &Value) ? Value : -1;
}

} // namespace persimmonquay::testing
