// Plain HTTP requests for tests.
#ifndef PERSIMMONQUAY_TESTING_FLEET_HTTP_H
#define PERSIMMONQUAY_TESTING_FLEET_HTTP_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/node/http_pool.h"
#include <string>
#include <vector>

namespace persimmonquay::testing {

/// Address and port on which a process listens.
struct TcpEndpoint {
  std::string Address;
  std::uint16_t Port = 0;
};

/// Sends one request over a new connection and waits for its response.
ExchangeResult request(const TcpEndpoint &Server, const std::string &Method,
                       const std::string &Target, const std::string &Body = "",
                       const std::vector<HeaderField> &Headers = {},
                       Millis Timeout = Millis(5000));

/// Sends `Bytes` unchanged over a new connection and returns the bytes received
/// until the server closes the connection or is silent for `Timeout`.
std::string rawExchange(const TcpEndpoint &Server, const std::string &Bytes,
                        Millis Timeout = Millis(2000));

/// Returns the value of a node's metric, or -1 if it cannot be read.
double readMetric(const TcpEndpoint &LocalEndpoint, const std::string &Name);

/// Polls `Condition` every 20 milliseconds until it holds. Returns false if it
/// does not hold within `Timeout`.
template <typename F> bool eventually(Millis Timeout, F &&Condition);

} // namespace persimmonquay::testing

#include <thread>

template <typename F>
bool persimmonquay::testing::eventually(Millis Timeout, F &&Condition) {
  const MonoTime Deadline = monoNow() + Timeout;
  while (!Condition()) {
    if (monoNow() >= Deadline)
      return false;
    std::this_thread::sleep_for(Millis(20));
  }
  return true;
}

#endif // PERSIMMONQUAY_TESTING_FLEET_HTTP_H
