// Chooses ports for servers in tests.
#ifndef PERSIMMONQUAY_TESTING_FREE_PORT_H
#define PERSIMMONQUAY_TESTING_FREE_PORT_H

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <cstdint>

namespace persimmonquay::testing {

/// Returns a port of 127.0.0.1 that is free at the time of the call. Another
/// process may take it before the caller binds it.
inline std::uint16_t freePort() {
  const Poco::Net::ServerSocket Socket(
      Poco::Net::SocketAddress("127.0.0.1", 0));
  return Socket.address().port();
}

} // namespace persimmonquay::testing

#endif // PERSIMMONQUAY_TESTING_FREE_PORT_H
