// Plain HTTP requests of tests.
#ifndef PERSIMMONQUAY_TESTING_FLEET_HTTP_H
#define PERSIMMONQUAY_TESTING_FLEET_HTTP_H

#include "persimmonquay/base/time.h"
#include "persimmonquay/node/http_pool.h"
#include <string>
#include <vector>

namespace persimmonquay::testing {

/// Where something listens.
struct TcpEndpoint {
  std::string Address;
  std::uint16_t Port = 0;
};

/// Sends one request over a new connection.
ExchangeResult request(const TcpEndpoint &To, const std::string &Method,
                       const std::string &Target, const std::string &Body = "",
                       const std::vector<HeaderField> &Headers = {},
                       Millis Timeout = Millis(5000));

/// Sends `Bytes` as they are and returns what comes back until the other end
/// closes or is silent for `Timeout`.
std::string rawExchange(const TcpEndpoint &To, const std::string &Bytes,
                        Millis Timeout = Millis(2000));

/// Returns a metric of a node; -1 when it can't be read.
double readMetric(const TcpEndpoint &Local, const std::string &Name);

/// Checks `Condition` again and again until it holds; returns false when it
/// doesn't within `Timeout`.
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
