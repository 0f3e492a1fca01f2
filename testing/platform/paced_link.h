// A network link of limited bandwidth in front of a node, within the test's
// process.
#ifndef PERSIMMONQUAY_TESTING_PLATFORM_PACED_LINK_H
#define PERSIMMONQUAY_TESTING_PLATFORM_PACED_LINK_H

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmonquay::testing {

/// Forwards the TCP connections to a port of `Address` to the same port of
/// 127.0.0.1. What the node there sends passes at `BytesPerSecond`, over all
/// connections together, with small windows.
class PacedLink {
public:
  PacedLink(const std::string &Address, std::uint16_t PortNumber,
            double BytesPerSecond);
  ~PacedLink();

private:
  void accept();
  void copy(Poco::Net::StreamSocket Source, Poco::Net::StreamSocket Destination,
            bool IsPaced);

  std::uint16_t Port;
  double Rate;
  /// Held while bytes pass.
  std::mutex Link;
  std::atomic<bool> Stopping = false;
  Poco::Net::ServerSocket Listener;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_PLATFORM_PACED_LINK_H
